//! Discovery that is away: at a start, while hosts begin to drain, and while idle clients hold all descriptors.

use petrelgauge_test_support::{
    chunk, gateway_program, kinds, list_line, select, Client, Gateway, Harness, Host, Reply, ReservedPort,
    ScriptedDiscovery, Step, RESPONSE_HEAD,
};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// A change counts as notified this long after discovery had it and could be reached (the protocol page).
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// A process that was started again serves by then (the page of the standing test).
const READY: Duration = Duration::from_secs(10);
/// Longer than any pause between two attempts.
const AWAY: Duration = Duration::from_secs(8);

/// Last byte of the address of what does not listen for now.
const CLOSED_HOST: u8 = 3;

/// A gateway whose discovery refuses connections, with two hosts of which the first is about to drain.
struct Refused {
    gateway: Gateway,
    discovery: ReservedPort,
    hosts: [Host; 2],
    drained: String,
}

impl Refused {
    fn new(sockets: usize) -> Refused {
        let harness = Harness::new(gateway_program!()).sockets(sockets);
        let rows = |value| (0..40).map(|_| Reply::Row(value)).collect();
        let hosts = [harness.host(rows(b"old")), harness.host(rows(b"new"))];
        let drained = harness.entries(&[(&hosts[0], "draining", "standby"), (&hosts[1], "up", "primary")]);
        let harness = harness.list(&[(&hosts[0], "up", "standby"), (&hosts[1], "up", "primary")]);
        let discovery = ReservedPort::at(harness.network().address(CLOSED_HOST));
        let gateway = harness.spawn_with_env(&harness.config(), &[("GW_DISCOVERY", &discovery.address())]);
        gateway.wait_for_log_line("gateway serving");
        Refused { gateway, discovery, hosts, drained }
    }

    /// Discovery is back and announces the drain. From then on nothing goes to the host that drains.
    fn back(&self) {
        let listener = TcpListener::bind(self.discovery.address()).expect("the port is still free");
        let begun = Instant::now();
        let line = format!("{}\n", list_line(42, true, &self.drained));
        let script = vec![Step::Write(RESPONSE_HEAD.to_vec()), Step::Write(chunk(&line)), Step::Heartbeat];
        let source = ScriptedDiscovery::play(listener, vec![script]);
        source.next_request();
        assert!(begun.elapsed() < NOTIFIED_WITHIN, "asked only after {:?}", begun.elapsed());
        self.gateway.wait_for_counter_value("lists=", |count| count >= 2);
        let before = self.hosts[0].query_count();
        let mut client = self.gateway.client();
        for _ in 0..30 {
            assert_eq!(client.query(&select("a", "view", 20_000))[1].1[6..], *b"new");
        }
        assert_eq!(self.hosts[0].query_count(), before);
    }
}

#[test]
fn a_drain_announced_during_a_discovery_outage_is_applied_afterwards() {
    let refused = Refused::new(1024);
    std::thread::sleep(AWAY);
    refused.back();
}

#[test]
fn idle_clients_that_hold_all_descriptors_do_not_block_discovery() {
    let refused = Refused::new(60);
    let idle: Vec<Client> = (0..80).map(|_| refused.gateway.raw_client()).collect();
    let until = Instant::now() + AWAY;
    let mut more = Vec::new();
    while Instant::now() < until {
        // They come again for as long as it lasts: whoever was closed is replaced.
        more.push(refused.gateway.raw_client());
        std::thread::sleep(Duration::from_millis(100));
    }
    refused.back();
    drop((idle, more));
}

#[test]
fn a_gateway_with_an_initial_list_is_ready_in_time_while_discovery_is_slow_or_refuses() {
    const HOSTS: usize = 120;
    for refuses in [false, true] {
        let harness = Harness::new(gateway_program!());
        let host = harness.host(vec![]);
        let hosts = vec![(&host, "up", "standby"); HOSTS];
        let harness = harness.list(&hosts);
        let silent = ScriptedDiscovery::play(harness.network().tcp_listener(CLOSED_HOST), vec![]);
        let slow = silent.address().to_string();
        let closed = ReservedPort::at(harness.network().address(CLOSED_HOST));
        let discovery = if refuses { closed.address() } else { slow };
        let begun = Instant::now();
        let gateway = harness.spawn_with_env(&harness.config(), &[("GW_DISCOVERY", &discovery)]);
        gateway.wait_for_log_line("gateway serving");
        assert_eq!(kinds(&gateway.client().query("")), "IZ");
        assert!(begun.elapsed() < READY, "ready only after {:?}", begun.elapsed());
    }
}
