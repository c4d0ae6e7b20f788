//! Request classes that change while requests of clients are queued, open or have just ended.

use petrelgauge_test_support::{
    gateway_program, kinds, query, replace_parts, select, Gateway, Harness, Reply,
};
use std::time::Duration;

/// Longer than clients may go on to use the classes before a reload.
const OVERLAP: Duration = Duration::from_millis(2_200);

/// Reloads the configuration and waits until it is in force.
fn reload(gateway: &Gateway, config: &str) {
    gateway.reload_config(config);
    gateway.wait_for_log_line("configuration reloaded");
}

/// A read with this id.
fn read(id: &str) -> String {
    select(id, "view", 20_000).replace("9b1f", id)
}

// Regression: a SIGHUP between the answer to a request and the router's next step ended the process, if the
// request's class was no longer in force. Steps are half a second apart here, so that the reload always comes
// between them.
#[test]
fn a_reload_right_behind_an_answer_of_an_earlier_class_is_survived() {
    let harness = Harness::new(gateway_program!());
    let others = (0..3).map(|_| Reply::Row(b"other"));
    let host = harness.host(std::iter::once(Reply::WaitForRelease(b"first")).chain(others).collect());
    let harness = harness.list(&[(&host, "up", "primary")]);
    let eight_attempts =
        replace_parts(&harness.config(), &[("\"granularity_us\":5000", "\"granularity_us\":500000")]);
    let seven_attempts = replace_parts(&eight_attempts, &[("\"attempts_cap\":8", "\"attempts_cap\":7")]);
    let gateway = harness.start_with_config(&eight_attempts);
    let (mut first, mut other) = (gateway.client(), gateway.client());
    reload(&gateway, &seven_attempts);
    first.write(&query(&read("f1")));
    host.next_query();
    reload(&gateway, &eight_attempts);
    std::thread::sleep(OVERLAP);
    // The router has just stepped when this is answered, and steps again half a second later.
    assert_eq!(kinds(&other.query(&read("b1"))), "TDCZ");
    host.release();
    assert_eq!(kinds(&first.read_until_ready()), "TDCZ");
    reload(&gateway, &eight_attempts);
    assert_eq!(kinds(&other.query(&read("b2"))), "TDCZ");
    assert_eq!(kinds(&first.query(&read("f2"))), "TDCZ");
}
