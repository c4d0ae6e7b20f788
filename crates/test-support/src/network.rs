//! Loopback networks and ports that belong to one test.

use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;

/// Networks of 256 addresses in 127.128.0.0/9, where no other part of the project takes addresses.
const NETWORKS: u32 = 1 << 15;
/// Second byte of the first network's addresses.
const FIRST_SECOND_BYTE: u32 = 128;
/// Who binds this address of a network has claimed it. The kernel gives the port to nobody: it is below the ephemeral ones.
const CLAIM_HOST: u8 = 254;
const CLAIM_PORT: u16 = 20_177;

/// Claims of this process, held until it ends.
static CLAIMS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());
/// Networks that this process has tried to claim.
static ATTEMPTED_CLAIMS: AtomicU32 = AtomicU32::new(0);

/// A network of 256 loopback addresses that no other test of this machine is given while this process runs.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackNetwork {
    second_byte: u8,
    third_byte: u8,
}

impl LoopbackNetwork {
    /// Claims a network that is free.
    pub fn claim() -> LoopbackNetwork {
        // Processes begin far apart, so that they seldom try the same ones.
        let first = std::process::id().wrapping_mul(251);
        for _ in 0..NETWORKS {
            let index = first.wrapping_add(ATTEMPTED_CLAIMS.fetch_add(1, Ordering::Relaxed)) % NETWORKS;
            let second_byte = (FIRST_SECOND_BYTE + index / 256) as u8;
            let network = LoopbackNetwork { second_byte, third_byte: (index % 256) as u8 };
            if let Ok(claim) = UdpSocket::bind((network.address(CLAIM_HOST), CLAIM_PORT)) {
                CLAIMS.lock().expect("no claim panics").push(claim);
                return network;
            }
        }
        panic!("no loopback network is free");
    }

    /// The address with this last byte.
    pub fn address(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second_byte, self.third_byte, host)
    }

    /// A listener at a free port of the address with this last byte.
    pub fn tcp_listener(self, host: u8) -> TcpListener {
        TcpListener::bind((self.address(host), 0)).expect("a free port")
    }

    /// A socket at a free port of the address with this last byte.
    pub fn udp_socket(self, host: u8) -> UdpSocket {
        UdpSocket::bind((self.address(host), 0)).expect("a free port")
    }
}

/// A port that the kernel assigns to nobody else while this value exists.
///
/// Closing a listener to free its port is not enough: a child process that another thread starts holds a copy of it until
/// its `exec`. This socket is bound with `SO_REUSEADDR` and never listens, so that a process that sets the same option can
/// listen at the port.
pub struct ReservedPort {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// A free port at this address.
    pub fn at(ip: Ipv4Addr) -> ReservedPort {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("an option");
        socket.bind(&SocketAddr::from((ip, 0)).into()).expect("a free port");
        let address = socket.local_addr().expect("an address").as_socket().expect("an address of a port");
        ReservedPort { address, _socket: socket }
    }

    /// The address with its port, as settings name it.
    pub fn address(&self) -> String {
        self.address.to_string()
    }
}
