//! Hosts to which this machine has no route. The gateway runs as a process, as in `client_protocol.rs`.

use petrelgauge_test_support::{gateway_program, select, Harness, Reply};

/// Linux makes no TCP connection to the broadcast address: the call fails with ENETUNREACH.
const NO_ROUTE: &str = "255.255.255.255:9";

// Regression: the failed connect was counted as a refusal by the host.
#[test]
fn a_missing_route_to_a_host_is_not_counted_as_a_refusal() {
    let harness = Harness::new(gateway_program!());
    let rows = (0..40).map(|_| Reply::Row(b"served")).collect();
    let hosts = [harness.closed_host(), harness.host(rows)];
    let known = harness.entries(&[(&hosts[0], "up", "standby"), (&hosts[1], "up", "primary")]);
    let address = known.split("\"host_port\":\"").nth(1).and_then(|rest| rest.split('"').next());
    let closed_address = address.expect("the entry has an address").to_string();
    let mut gateway = harness
        .list(&[(&hosts[0], "up", "standby"), (&hosts[1], "up", "primary")])
        .start_with_changed_config(|config| config.replace(&closed_address, NO_ROUTE));
    let mut client = gateway.client();
    for _ in 0..30 {
        assert_eq!(client.query(&select("a", "view", 20_000))[1].1[6..], *b"served");
    }
    gateway.wait_for_counter_value("NoDescriptor=", |count| count >= 1);
    gateway.signal("TERM");
    let (_, log) = gateway.wait_for_exit();
    assert!(!log.contains("ConnectRefused="), "{log}");
}
