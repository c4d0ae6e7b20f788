//! Ports that stay free for whoever is to listen at them later.

use socket2::{Domain, Socket, Type};
use std::net::{IpAddr, SocketAddr};

/// A port that the kernel gives to nobody else for as long as this value lives.
///
/// A listener that is closed to free its port does not do: a child process that another thread starts has a copy of
/// it until its `exec`, and the port stays in use for so long. This socket is bound with `SO_REUSEADDR` and never
/// listens, so that a process that sets the same option can listen at the port, also while such a copy is there.
pub struct ReservedPort {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// A free port at this address.
    pub fn at(ip: &str) -> ReservedPort {
        let ip: IpAddr = ip.parse().expect("an address");
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("an option");
        socket.bind(&SocketAddr::new(ip, 0).into()).expect("a free port");
        let address = socket.local_addr().expect("an address").as_socket().expect("an address of a port");
        ReservedPort { address, _socket: socket }
    }

    /// The address with its port, as settings name it.
    pub fn address(&self) -> String {
        self.address.to_string()
    }
}
