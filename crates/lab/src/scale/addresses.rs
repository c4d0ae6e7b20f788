//! Where the gateways of a scale run hear each other, and in which zone and region each of them stands.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Zones of the fleet, over both regions.
pub const ZONES: usize = 7;
/// The first region has so many of the zones, the second one the others.
pub const ZONES_OF_FIRST_REGION: usize = 4;
/// Gateways that one third byte of an address numbers.
const PER_NET: usize = 250;

/// The port at which all gateways hear each other: each has an address of its own.
pub fn port() -> u16 {
    // Runs side by side keep apart.
    20_000 + (std::process::id() % 20_000) as u16
}

/// Where the gateway of this number is heard.
pub fn of_gateway(number: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(127, 20, (number / PER_NET) as u8, (number % PER_NET) as u8 + 1);
    SocketAddr::from((ip, port))
}

/// The number of the gateway with this address.
pub fn number_of(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => usize::from(ip.octets()[2]) * PER_NET + usize::from(ip.octets()[3]) - 1,
        IpAddr::V6(_) => 0,
    }
}

/// The zone of a gateway, or of a host, of this number.
pub fn zone(number: usize) -> usize {
    number % ZONES
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> char {
    char::from(b'a' + (zone % ZONES) as u8)
}

/// The region of a gateway: false for the first one.
pub fn in_second_region(number: usize) -> bool {
    zone(number) >= ZONES_OF_FIRST_REGION
}
