//! Where the gateways of a scale run listen for datagrams, and in which zone and region each of them stands.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Zones of the fleet, over both regions.
pub const ZONES: usize = 7;
/// Zones of the first region; the second region has the others.
pub const ZONES_OF_FIRST_REGION: usize = 4;
/// Gateways for each value of an address's third byte.
const GATEWAYS_PER_NET: usize = 250;
/// The lowest port, and how many ports runs are spread over.
const FIRST_PORT: u16 = 20_000;
const PORTS: u32 = 20_000;

/// The port at which all gateways listen for datagrams: each has an address of its own, and each run a port of its own.
pub fn datagram_port() -> u16 {
    FIRST_PORT + (std::process::id() % PORTS) as u16
}

/// Where the gateway of this number listens.
pub fn gateway_address(number: usize, port: u16) -> SocketAddr {
    let third = (number / GATEWAYS_PER_NET) as u8;
    let fourth = (number % GATEWAYS_PER_NET) as u8 + 1;
    SocketAddr::from((Ipv4Addr::new(127, 20, third, fourth), port))
}

/// The number of the gateway with this address.
pub fn gateway_number(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [_, _, third, fourth] = ip.octets();
            usize::from(third) * GATEWAYS_PER_NET + usize::from(fourth) - 1
        }
        IpAddr::V6(_) => 0,
    }
}

/// The zone of the gateway, or of the host, of this number.
pub fn zone(number: usize) -> usize {
    number % ZONES
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> char {
    char::from(b'a' + (zone % ZONES) as u8)
}

/// Whether a gateway stands in the second of the two regions.
pub fn in_second_region(number: usize) -> bool {
    zone(number) >= ZONES_OF_FIRST_REGION
}
