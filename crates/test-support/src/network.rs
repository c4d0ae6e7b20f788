//! Loopback networks and ports reserved for one test.

use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;

/// Number of networks of 256 addresses in 127.128.0.0/9, a range that no other part of the project uses.
const NETWORKS: u32 = 1 << 15;
/// Second byte of the first network's addresses.
const FIRST_SECOND_BYTE: u32 = 128;
/// Binding this address claims its network. The port is below the ephemeral range, so the kernel never
/// assigns it.
const CLAIM_HOST: u8 = 254;
const CLAIM_PORT: u16 = 20_177;

/// The claims of this process, held until it exits.
static CLAIMS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());
/// Number of networks that this process has tried to claim.
static ATTEMPTED_CLAIMS: AtomicU32 = AtomicU32::new(0);

/// A network of 256 loopback addresses that no other test on this machine receives while this process runs.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackNetwork {
    second_byte: u8,
    third_byte: u8,
}

impl LoopbackNetwork {
    /// Claims a free network.
    pub fn claim() -> LoopbackNetwork {
        // Processes start their search far apart, so that they rarely try the same networks.
        let first = std::process::id().wrapping_mul(251);
        for _ in 0..NETWORKS {
            let index = first.wrapping_add(ATTEMPTED_CLAIMS.fetch_add(1, Ordering::Relaxed)) % NETWORKS;
            let second_byte = (FIRST_SECOND_BYTE + index / 256) as u8;
            let network = LoopbackNetwork { second_byte, third_byte: (index % 256) as u8 };
            if let Ok(claim) = UdpSocket::bind((network.address(CLAIM_HOST), CLAIM_PORT)) {
                CLAIMS.lock().expect("lock the claims").push(claim);
                return network;
            }
        }
        panic!("no loopback network is free");
    }

    /// The address of the network with this last byte.
    pub fn address(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second_byte, self.third_byte, host)
    }

    /// Binds a TCP listener at a free port of the address with this last byte.
    pub fn tcp_listener(self, host: u8) -> TcpListener {
        TcpListener::bind((self.address(host), 0)).expect("bind a free port")
    }

    /// Binds a UDP socket at a free port of the address with this last byte.
    pub fn udp_socket(self, host: u8) -> UdpSocket {
        UdpSocket::bind((self.address(host), 0)).expect("bind a free port")
    }
}

/// A port that the kernel does not assign to another socket while this value exists.
///
/// Closing a listener does not reliably free its port: a child process that another thread starts holds a
/// copy of the descriptor until its `exec`. This socket is bound with `SO_REUSEADDR` and never listens, so a
/// process that sets the same option can listen at the port.
pub struct ReservedPort {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves a free port at an address.
    pub fn at(ip: Ipv4Addr) -> ReservedPort {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
        socket.set_reuse_address(true).expect("set a socket option");
        socket.bind(&SocketAddr::from((ip, 0)).into()).expect("bind a free port");
        let address =
            socket.local_addr().expect("valid socket address").as_socket().expect("an IP socket address");
        ReservedPort { address, _socket: socket }
    }

    /// The address with its port, in the format of the settings.
    pub fn address(&self) -> String {
        self.address.to_string()
    }
}
