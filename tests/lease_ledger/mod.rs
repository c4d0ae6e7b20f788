//! A sixth address among the peers of a fleet, which reads what its gateways send.

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

/// Five gateways, three of them acceptors, and what they send to the sixth address.
pub fn fleet_with_ledger(file: &str) -> (Fleet, Ledger) {
    let network = LoopbackNetwork::claim();
    let ledger = Ledger::new(network, peer_addresses(network));
    let observer = ledger.socket.local_addr().expect("an address").to_string();
    let peers = [ledger.gateways.clone(), vec![observer]].concat();
    (Fleet::start_all(file, &ledger.gateways, |_| peers.clone()), ledger)
}

/// What arrived at the sixth address, as any gateway would admit it.
pub struct Ledger {
    pub socket: UdpSocket,
    /// Where the gateways listen to each other.
    pub gateways: Vec<String>,
    pub settings: Settings,
    pub fence: Fence,
    pub admitted: Vec<Admitted>,
}

/// A notification that was admitted.
pub struct Admitted {
    pub holder: LeaseHolder,
    pub notification: Notification,
}

impl Ledger {
    pub fn new(network: LoopbackNetwork, gateways: Vec<String>) -> Ledger {
        let socket = network.udp_socket(OBSERVER_HOST);
        socket.set_read_timeout(Some(Duration::from_millis(20))).expect("a limit");
        // As the file has it for six gateways.
        let settings = Settings {
            self_id: 5,
            gateways: 6,
            acceptors: vec![0, 2, 4],
            lease: 800_000,
            max_delay: 40_000,
            drift_bound: 0.01,
        };
        Ledger { socket, gateways, settings, fence: Fence::default(), admitted: Vec::new() }
    }

    /// Reads what arrives for so long. No two gateways may send under the same term.
    pub fn read(&mut self, span: Duration) {
        let until = Instant::now() + span;
        let mut bytes = [0; 300];
        while Instant::now() < until {
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

    /// Reads until a gateway holds a lease under a higher term than this.
    pub fn holder_after(&mut self, term: Term) -> LeaseHolder {
        let begun = Instant::now();
        loop {
            self.read(Duration::from_millis(50));
            let mut holders = self.admitted.iter().rev().map(|admitted| admitted.holder);
            if let Some(holder) = holders.find(|holder| holder.term > term) {
                return holder;
            }
            assert!(begun.elapsed() < Duration::from_secs(30), "nobody holds the lease");
        }
    }

    /// The primary that was announced last.
    pub fn primary(&mut self) -> u64 {
        let begun = Instant::now();
        loop {
            let announced = self.admitted.iter().rev().find_map(|admitted| match &admitted.notification {
                Notification::Primary(primary) => Some(primary.member),
                _ => None,
            });
            if let Some(member) = announced {
                return member;
            }
            assert!(begun.elapsed() < Duration::from_secs(30), "no primary was announced");
            self.read(Duration::from_millis(50));
        }
    }
}
