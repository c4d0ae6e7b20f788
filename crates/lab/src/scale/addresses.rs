//! Addresses, zones and regions of the gateways of a scale run.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Number of zones, in both regions together.
pub const ZONES: usize = 7;
/// Number of zones in the first region. The others are in the second.
pub const ZONES_OF_FIRST_REGION: usize = 4;
/// Number of gateways for each third byte of an address.
const GATEWAYS_PER_NET: usize = 250;
/// The lowest datagram port.
const FIRST_PORT: u16 = 20_000;
/// Number of ports that runs are spread over.
const PORTS: u32 = 20_000;

/// The datagram port of all gateways of this run. Gateways differ by address, runs by port.
pub fn datagram_port() -> u16 {
    FIRST_PORT + (std::process::id() % PORTS) as u16
}

/// The datagram address of the gateway with this number.
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

/// The zone of the gateway or host with this number.
pub fn zone(number: usize) -> usize {
    number % ZONES
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> char {
    char::from(b'a' + (zone % ZONES) as u8)
}

/// Whether a gateway is in the second region.
pub fn in_second_region(number: usize) -> bool {
    zone(number) >= ZONES_OF_FIRST_REGION
}
