//! Discovery outages: at startup, while hosts begin to drain, and while idle clients hold all descriptors.

use petrelgauge_test_support::{
    chunk, gateway_program, kinds, list_line, select, Client, Gateway, Harness, Host, Reply, ReservedPort,
    ScriptedDiscovery, Step, RESPONSE_HEAD,
};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// The protocol counts a change as notified this long after discovery has it and is reachable.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);
/// A restarted process must serve within this time.
const STARTUP_LIMIT: Duration = Duration::from_secs(10);
/// Longer than any pause between two attempts to reach discovery.
const OUTAGE: Duration = Duration::from_secs(8);

/// Last byte of the address of the discovery service that does not listen or stays silent.
const DISCOVERY_HOST: u8 = 3;

/// A gateway whose discovery refuses connections, with two hosts. The first drains when discovery returns.
struct DiscoveryOutage {
    gateway: Gateway,
    discovery: ReservedPort,
    hosts: [Host; 2],
    drained: String,
}

impl DiscoveryOutage {
    fn new(sockets: usize) -> DiscoveryOutage {
        let harness = Harness::new(gateway_program!()).sockets(sockets);
        let rows = |value| (0..40).map(|_| Reply::Row(value)).collect();
        let hosts = [harness.host(rows(b"old")), harness.host(rows(b"new"))];
        let drained = harness.entries(&[(&hosts[0], "draining", "standby"), (&hosts[1], "up", "primary")]);
        let harness = harness.list(&[(&hosts[0], "up", "standby"), (&hosts[1], "up", "primary")]);
        let discovery = ReservedPort::at(harness.network().address(DISCOVERY_HOST));
        let gateway = harness.spawn_with_env(&harness.config(), &[("GW_DISCOVERY", &discovery.address())]);
        gateway.wait_for_log_line("gateway serving");
        DiscoveryOutage { gateway, discovery, hosts, drained }
    }

    /// Makes discovery reachable and announces the drain, then checks that the draining host gets no queries.
    fn restore_and_drain(&self) {
        let listener = TcpListener::bind(self.discovery.address()).expect("the port is still free");
        let started = Instant::now();
        let line = format!("{}\n", list_line(42, true, &self.drained));
        let script = vec![Step::Write(RESPONSE_HEAD.to_vec()), Step::Write(chunk(&line)), Step::Heartbeat];
        let source = ScriptedDiscovery::play(listener, vec![script]);
        source.next_request();
        assert!(started.elapsed() < NOTIFICATION_LIMIT, "first request only after {:?}", started.elapsed());
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
    let outage = DiscoveryOutage::new(1024);
    std::thread::sleep(OUTAGE);
    outage.restore_and_drain();
}

#[test]
fn idle_clients_that_hold_all_descriptors_do_not_block_discovery() {
    let outage = DiscoveryOutage::new(60);
    let idle: Vec<Client> = (0..80).map(|_| outage.gateway.raw_client()).collect();
    let until = Instant::now() + OUTAGE;
    let mut more = Vec::new();
    while Instant::now() < until {
        // Clients that the gateway closes are replaced during the whole outage.
        more.push(outage.gateway.raw_client());
        std::thread::sleep(Duration::from_millis(100));
    }
    outage.restore_and_drain();
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
        let silent = ScriptedDiscovery::play(harness.network().tcp_listener(DISCOVERY_HOST), vec![]);
        let slow = silent.address().to_string();
        let closed = ReservedPort::at(harness.network().address(DISCOVERY_HOST));
        let discovery = if refuses { closed.address() } else { slow };
        let started = Instant::now();
        let gateway = harness.spawn_with_env(&harness.config(), &[("GW_DISCOVERY", &discovery)]);
        gateway.wait_for_log_line("gateway serving");
        assert_eq!(kinds(&gateway.client().query("")), "IZ");
        assert!(started.elapsed() < STARTUP_LIMIT, "ready only after {:?}", started.elapsed());
    }
}
