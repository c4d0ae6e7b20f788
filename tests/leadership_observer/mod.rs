//! An observer at a sixth address among the peers of a fleet, which reads the messages that its gateways
//! send.

use crate::gateway_fleet::{peer_addresses, Fleet};
use petrelgauge_ownership::{
    Fence, LeadershipRole, LeaseHolder, Message, Notification, ReceivedMessage, Settings, Term,
};
use petrelgauge_test_support::LoopbackNetwork;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

/// Last byte of the address of the sixth peer.
const OBSERVER_HOST: u8 = 2;
pub const SECRET: u64 = 0x5e;
pub const DISCOVERY: LeadershipRole = LeadershipRole { kind: 1, shard: 0 };
pub const QUOTAS: LeadershipRole = LeadershipRole { kind: 2, shard: 0 };
pub const FILE: &str =
    "ownership: {\n  secret: \"5e\"\n  electors: 3\n  lease: 800ms\n  delay: 40ms\n  drift_percent: 1\n}\n";

/// Starts five gateways, three of them acceptors, and an observer of what they send to the sixth address.
pub fn fleet_with_observer(file: &str) -> (Fleet, LeadershipObserver) {
    let network = LoopbackNetwork::claim();
    let observer = LeadershipObserver::new(network, peer_addresses(network));
    let observer_address = observer.socket.local_addr().expect("an address").to_string();
    let peers = [observer.gateways.clone(), vec![observer_address]].concat();
    (Fleet::start_all(file, &observer.gateways, |_| peers.clone()), observer)
}

/// The notifications that arrived at the sixth address and passed the fence, as at any gateway.
pub struct LeadershipObserver {
    pub socket: UdpSocket,
    /// The addresses at which the gateways receive datagrams.
    pub gateways: Vec<String>,
    pub settings: Settings,
    pub fence: Fence,
    pub admitted: Vec<Admitted>,
}

/// A notification that the fence admitted.
pub struct Admitted {
    pub holder: LeaseHolder,
    pub notification: Notification,
}

impl LeadershipObserver {
    pub fn new(network: LoopbackNetwork, gateways: Vec<String>) -> LeadershipObserver {
        let socket = network.udp_socket(OBSERVER_HOST);
        socket.set_read_timeout(Some(Duration::from_millis(20))).expect("read timeout set");
        // The settings that follow from `FILE` for six gateways.
        let settings = Settings {
            self_id: 5,
            gateways: 6,
            acceptors: vec![0, 2, 4],
            lease: 800_000,
            max_delay: 40_000,
            drift_bound: 0.01,
        };
        LeadershipObserver { socket, gateways, settings, fence: Fence::default(), admitted: Vec::new() }
    }

    /// Reads messages for a duration. Panics if two gateways send notifications under the same term.
    pub fn read_for(&mut self, duration: Duration) {
        let deadline = Instant::now() + duration;
        let mut bytes = [0; 300];
        while Instant::now() < deadline {
            let Ok((count, _)) = self.socket.recv_from(&mut bytes) else { continue };
            let decoded = Message::decode(&bytes[..count], self.settings.fingerprint(), SECRET);
            let ReceivedMessage { from, message } = decoded.expect("a datagram of this fleet");
            let Message::Notification { role, term, notification } = message else { continue };
            if self.fence.admit(role, term).is_ok() {
                let holder = LeaseHolder { gateway: from, term };
                let mut holders = self.admitted.iter().map(|admitted| admitted.holder);
                let other = holders.find(|other| other.term == term && other.gateway != from);
                assert!(other.is_none(), "two lease holders under term {term}: {other:?} and {from}");
                self.admitted.push(Admitted { holder, notification });
            }
        }
    }

    /// Reads until a gateway holds a lease under a higher term than `term`.
    pub fn holder_after(&mut self, term: Term) -> LeaseHolder {
        let started_at = Instant::now();
        loop {
            self.read_for(Duration::from_millis(50));
            let mut holders = self.admitted.iter().rev().map(|admitted| admitted.holder);
            if let Some(holder) = holders.find(|holder| holder.term > term) {
                return holder;
            }
            assert!(started_at.elapsed() < Duration::from_secs(30), "no gateway holds the lease");
        }
    }

    /// The primary that was announced last; waits for the first announcement.
    pub fn announced_primary(&mut self) -> u64 {
        let started_at = Instant::now();
        loop {
            let announced = self.admitted.iter().rev().find_map(|admitted| match &admitted.notification {
                Notification::Primary(primary) => Some(primary.member),
                _ => None,
            });
            if let Some(member) = announced {
                return member;
            }
            assert!(started_at.elapsed() < Duration::from_secs(30), "no primary was announced");
            self.read_for(Duration::from_millis(50));
        }
    }
}
