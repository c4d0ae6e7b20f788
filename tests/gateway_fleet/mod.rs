//! Five gateways that are each other's peers, with one host.

use petrelgauge_test_support::{gateway_program, Gateway, Harness, Host, LoopbackNetwork, Reply};
use std::net::UdpSocket;

/// How many gateways a fleet has.
pub const GATEWAYS: u16 = 5;
/// Last byte of the address at which all gateways receive datagrams.
const DATAGRAMS_HOST: u8 = 1;

/// Free addresses at which the gateways can receive datagrams.
pub fn peer_addresses(network: LoopbackNetwork) -> Vec<String> {
    let sockets: Vec<UdpSocket> = (0..GATEWAYS).map(|_| network.udp_socket(DATAGRAMS_HOST)).collect();
    sockets.iter().map(|socket| socket.local_addr().expect("an address").to_string()).collect()
}

/// A gateway with its configuration, and its process while it runs.
struct Member {
    harness: Harness,
    config: String,
    process: Option<Gateway>,
}

/// A fleet of gateways.
pub struct Fleet {
    members: Vec<Member>,
    _host: Host,
}

impl Fleet {
    /// Starts all gateways with this operator's file. Each receives datagrams at its address in `peer_listen` and sends them to
    /// the addresses that `peers_of` returns for its place, its own included.
    pub fn start_all(file: &str, peer_listen: &[String], peers_of: impl Fn(u16) -> Vec<String>) -> Fleet {
        let first = Harness::new(gateway_program!());
        let host = first.host((0..500).map(|_| Reply::RowAt(b"v", 1_700_000_000_000)).collect());
        let others = (1..GATEWAYS).map(|_| Harness::new(gateway_program!()));
        let harnesses = std::iter::once(first).chain(others);
        let members = (0..GATEWAYS).zip(harnesses).map(|(place, harness)| {
            let harness = harness.list(&[(&host, "up", "primary")]).operator_file(file);
            let peers: Vec<String> = peers_of(place).iter().map(|peer| format!("\"{peer}\"")).collect();
            let peer_listen = &peer_listen[usize::from(place)];
            let more = format!("{{\"peer_listen\":\"{peer_listen}\",\"peers\":[{}],", peers.join(","));
            let config = harness.config().replacen('{', &more, 1);
            Member { harness, config, process: None }
        });
        let mut fleet = Fleet { members: members.collect(), _host: host };
        (0..GATEWAYS).for_each(|place| fleet.start(place));
        fleet
    }

    /// Starts a process of this gateway and waits until it serves.
    pub fn start(&mut self, place: u16) {
        let member = &mut self.members[usize::from(place)];
        let gateway = member.harness.spawn(&member.config);
        gateway.wait_for_log_line("gateway serving");
        member.process = Some(gateway);
    }

    /// Takes the process out of the fleet. Dropping it kills it.
    pub fn take(&mut self, place: u16) -> Gateway {
        self.members[usize::from(place)].process.take().expect("it runs")
    }

    /// Kills the process of this gateway.
    pub fn kill(&mut self, place: u16) {
        drop(self.take(place));
    }

    /// The running process of this gateway.
    pub fn gateway(&self, place: u16) -> &Gateway {
        self.members[usize::from(place)].process.as_ref().expect("it runs")
    }
}
