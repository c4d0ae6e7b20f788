//! Sharded leadership roles: five gateway processes, three of them acceptors, with a link between each pair
//! that can lose datagrams in one direction or both. Leaders are killed, stalled and partitioned.

mod gateway_fleet;

use gateway_fleet::{peer_addresses, Fleet, GATEWAYS};
use petrelgauge_test_support::{kinds, select, LoopbackNetwork};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Numbers of the acceptors among the five gateways.
const ACCEPTORS: [u16; 3] = [0, 1, 3];
/// Two kinds of roles with six shards each.
const ROLES: u64 = 12;
/// Roles that each acceptor leads while all acceptors run.
const ROLES_PER_ACCEPTOR: u64 = 4;
const FILE: &str = "ownership: {\n  secret: \"5e\"\n  electors: 3\n  lease: 800ms\n  delay: 40ms\n  drift_percent: 1\n  duties: [\"scout\", \"shares\"]\n  shards: 6\n}\n";
const LEASE: Duration = Duration::from_millis(800);

/// Last byte of the IP address of all links.
const LINKS_HOST: u8 = 2;

/// The links between gateways.
#[derive(Clone, Default)]
struct Links {
    /// Pairs of sender and receiver whose datagrams are all dropped.
    cut: Arc<Mutex<BTreeSet<(u16, u16)>>>,
    /// Share of datagrams that is lost at random, in thousandths.
    loss_per_mille: Arc<AtomicU64>,
}

impl Links {
    /// Opens a link from one gateway to another, and returns the address to which the first must send.
    fn open(&self, network: LoopbackNetwork, link: (u16, u16), to: String) -> String {
        let socket = network.udp_socket(LINKS_HOST);
        let address = socket.local_addr().expect("an address").to_string();
        let links = self.clone();
        std::thread::spawn(move || {
            let (mut bytes, mut random) = ([0; 300], u64::from(link.0) * 31 + u64::from(link.1));
            loop {
                // An error only means that the receiving gateway is down.
                let Ok((count, _)) = socket.recv_from(&mut bytes) else { continue };
                random =
                    random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                let lost = (random >> 33) % 1_000 < links.loss_per_mille.load(Ordering::Relaxed);
                if !lost && !links.cut.lock().expect("not poisoned").contains(&link) {
                    let _ = socket.send_to(&bytes[..count], &to);
                }
            }
        });
        address
    }

    /// Cuts the links from each gateway of `from` to each of `to`.
    fn cut(&self, from: &[u16], to: &[u16]) {
        let links = from.iter().flat_map(|from| to.iter().map(|to| (*from, *to)));
        self.cut.lock().expect("not poisoned").extend(links);
    }

    fn heal(&self) {
        self.cut.lock().expect("not poisoned").clear();
    }
}

/// Starts five gateways with a link between each pair.
fn fleet_with_links() -> (Fleet, Links) {
    let links = Links::default();
    let network = LoopbackNetwork::claim();
    let listen = peer_addresses(network);
    let peers_of = |sender: u16| {
        let peer_address = |(to, address): (u16, &String)| match to == sender {
            true => address.clone(),
            false => links.open(network, (sender, to), address.clone()),
        };
        (0..GATEWAYS).zip(&listen).map(peer_address).collect()
    };
    (Fleet::start_all(FILE, &listen, peers_of), links)
}

impl Fleet {
    /// Waits until each of these gateways holds the number of leases given with it.
    fn wait_for_held_leases(&self, held: &[(u16, u64)]) {
        for (gateway, leases) in held {
            self.gateway(*gateway).wait_for_counter_value("leases_held=", |count| count == *leases);
        }
    }

    /// Waits until each of these gateways knows the leaders of `roles` roles.
    fn wait_for_known_leaders(&self, gateways: &[u16], roles: u64) {
        gateways.iter().for_each(|gateway| {
            self.gateway(*gateway).wait_for_counter_value("leaders_known=", |count| count == roles);
        });
    }

    fn wait_until_balanced(&self) {
        self.wait_for_held_leases(&ACCEPTORS.map(|gateway| (gateway, ROLES_PER_ACCEPTOR)));
        self.wait_for_known_leaders(&[0, 1, 2, 3, 4], ROLES);
    }
}

#[test]
fn shards_are_spread_evenly_and_those_of_a_killed_acceptor_fail_over_and_return() {
    let (mut fleet, _links) = fleet_with_links();
    fleet.wait_until_balanced();
    fleet.kill(1);
    // The next acceptor in order leads the shards of the killed one beside its own.
    fleet.wait_for_held_leases(&[(0, ROLES_PER_ACCEPTOR), (3, 2 * ROLES_PER_ACCEPTOR)]);
    fleet.wait_for_known_leaders(&[0, 2, 3, 4], ROLES);
    fleet.start(1);
    fleet.wait_until_balanced();
}

#[test]
fn shards_of_a_stalled_acceptor_fail_over_and_it_has_lost_its_leases() {
    let (fleet, _links) = fleet_with_links();
    fleet.wait_until_balanced();
    fleet.gateway(3).signal("STOP");
    fleet.wait_for_held_leases(&[(0, 2 * ROLES_PER_ACCEPTOR), (1, ROLES_PER_ACCEPTOR)]);
    fleet.gateway(3).signal("CONT");
    fleet.gateway(3).wait_for_counter_value("leases_lost=", |lost| lost >= ROLES_PER_ACCEPTOR);
    fleet.wait_until_balanced();
}

#[test]
fn in_a_partition_the_side_with_most_acceptors_leads_all_shards_and_the_other_still_serves_clients() {
    let (fleet, links) = fleet_with_links();
    fleet.wait_until_balanced();
    let (majority, minority) = ([0, 1, 2], [3, 4]);
    links.cut(&majority, &minority);
    links.cut(&minority, &majority);
    fleet.wait_for_held_leases(&[(0, 2 * ROLES_PER_ACCEPTOR), (1, ROLES_PER_ACCEPTOR), (3, 0)]);
    fleet.wait_for_known_leaders(&majority, ROLES);
    fleet.wait_for_known_leaders(&minority, 0);
    // Without a leader of quota lending, no quota is lent, but clients are still served.
    fleet.gateway(4).wait_for_counter_value("quota_lent=", |lent| lent == 0);
    assert_eq!(kinds(&fleet.gateway(4).client().query(&select("a", "view", 20000))), "TDCZ");
    links.heal();
    fleet.wait_until_balanced();
}

#[test]
fn an_acceptor_that_can_only_receive_loses_its_shards() {
    let (fleet, links) = fleet_with_links();
    fleet.wait_until_balanced();
    links.cut(&[1], &[0, 2, 3, 4]);
    fleet.wait_for_held_leases(&[(0, ROLES_PER_ACCEPTOR), (1, 0), (3, 2 * ROLES_PER_ACCEPTOR)]);
    fleet.wait_for_known_leaders(&[0, 2, 3, 4], ROLES);
    links.heal();
    fleet.wait_until_balanced();
}

#[test]
fn with_a_fifth_of_datagrams_lost_shards_mostly_stay_with_their_leaders() {
    let (fleet, links) = fleet_with_links();
    fleet.wait_until_balanced();
    links.loss_per_mille.store(200, Ordering::Relaxed);
    std::thread::sleep(6 * LEASE);
    links.loss_per_mille.store(0, Ordering::Relaxed);
    fleet.wait_until_balanced();
}
