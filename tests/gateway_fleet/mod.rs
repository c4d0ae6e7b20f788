//! Five gateways that are each other's peers, with one host.

use petrelgauge_test_support::{gateway_program, Gateway, Harness, Host, LoopbackNetwork, Reply};
use std::net::UdpSocket;

/// Number of gateways in a fleet.
pub const GATEWAYS: u16 = 5;
/// Last byte of the IP address at which all gateways receive datagrams.
const GATEWAYS_HOST: u8 = 1;

/// Free addresses at which the gateways can receive datagrams.
pub fn peer_addresses(network: LoopbackNetwork) -> Vec<String> {
    let sockets: Vec<UdpSocket> = (0..GATEWAYS).map(|_| network.udp_socket(GATEWAYS_HOST)).collect();
    sockets.iter().map(|socket| socket.local_addr().expect("an address").to_string()).collect()
}

/// A gateway with its configuration, and its process while one runs.
struct FleetGateway {
    harness: Harness,
    config: String,
    process: Option<Gateway>,
}

/// A fleet of gateways.
pub struct Fleet {
    gateways: Vec<FleetGateway>,
    _host: Host,
}

impl Fleet {
    /// Starts all gateways with the operator's file `file`. Each receives datagrams at its address in
    /// `peer_listen` and sends them to the addresses that `peers_of` returns for its index, its own included.
    pub fn start_all(file: &str, peer_listen: &[String], peers_of: impl Fn(u16) -> Vec<String>) -> Fleet {
        let first = Harness::new(gateway_program!());
        let host = first.host((0..500).map(|_| Reply::RowAt(b"v", 1_700_000_000_000)).collect());
        let others = (1..GATEWAYS).map(|_| Harness::new(gateway_program!()));
        let harnesses = std::iter::once(first).chain(others);
        let gateways = (0..GATEWAYS).zip(harnesses).map(|(index, harness)| {
            let harness = harness.list(&[(&host, "up", "primary")]).operator_file(file);
            let peers: Vec<String> = peers_of(index).iter().map(|peer| format!("\"{peer}\"")).collect();
            let peer_listen = &peer_listen[usize::from(index)];
            let peer_settings =
                format!("{{\"peer_listen\":\"{peer_listen}\",\"peers\":[{}],", peers.join(","));
            let config = harness.config().replacen('{', &peer_settings, 1);
            FleetGateway { harness, config, process: None }
        });
        let mut fleet = Fleet { gateways: gateways.collect(), _host: host };
        (0..GATEWAYS).for_each(|index| fleet.start(index));
        fleet
    }

    /// Starts a process of this gateway and waits until it serves.
    pub fn start(&mut self, index: u16) {
        let gateway = &mut self.gateways[usize::from(index)];
        let process = gateway.harness.spawn(&gateway.config);
        process.wait_for_log_line("gateway serving");
        gateway.process = Some(process);
    }

    /// Removes the process from the fleet and returns it. Dropping it kills the process.
    pub fn take_process(&mut self, index: u16) -> Gateway {
        self.gateways[usize::from(index)].process.take().expect("the gateway runs")
    }

    /// Kills the process of this gateway.
    pub fn kill(&mut self, index: u16) {
        drop(self.take_process(index));
    }

    /// The running process of this gateway.
    pub fn gateway(&self, index: u16) -> &Gateway {
        self.gateways[usize::from(index)].process.as_ref().expect("the gateway runs")
    }
}
