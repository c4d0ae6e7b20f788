//! Invalid and unknown input: implausible load reports and unknown settings are ignored; an unusable
//! configuration fails the start with one sentence, or leaves the current settings in place on reload.

use petrelgauge_test_support::{
    gateway_program, gateway_with_primary, kinds, parameter_status, ready_for_query, row, select, unix_ms,
    Harness, Reply,
};

fn unix_s() -> f64 {
    unix_ms() as f64 / 1_000.0
}

/// A response with one row, followed by this load report.
fn row_with_load_report(report: &str) -> &'static [u8] {
    let parts = [
        row(b"v"),
        parameter_status("replication_role", "primary"),
        parameter_status("pressure", report),
        ready_for_query(),
    ];
    parts.concat().leak()
}

#[test]
fn an_implausible_load_report_is_dropped_and_counted_and_its_answer_is_delivered() {
    let ahead = format!("x0={:.3},x1=1", unix_s() + 60.0);
    let valid = format!("x0={:.3},x1=1", unix_s() - 1.0);
    let reports = ["x0=-5,x1=1", "x0=NaN", "x0=inf", "x0", "q=-1", &ahead, &valid, "inflight=7,util=0.61"];
    let (_host, gateway) = gateway_with_primary(
        gateway_program!(),
        reports.iter().map(|report| Reply::Bytes(row_with_load_report(report))).collect(),
    );
    let mut client = gateway.client();
    for report in reports {
        assert_eq!(kinds(&client.query(&select("a", "view", 20_000))), "TDCZ", "{report}");
    }
    gateway.wait_for_counter("bad_reports=6 ");
}

#[test]
fn a_keyed_class_without_its_window_is_reported_in_one_sentence_and_keeps_the_old_settings() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(vec![Reply::Row(b"v")]);
    let config = harness.config();
    let without_window = config.replace("\"window_us\":30000000,", "");
    let (code, log) = harness.spawn(&without_window).wait_for_exit();
    assert_eq!((code, log.lines().count()), (Some(2), 1), "{log}");
    assert!(log.contains("class \"post\" is keyed but has no window_us"), "{log}");
    let harness = harness.list(&[(&host, "up", "primary")]);
    let gateway = harness.start();
    gateway.reload_config(&without_window);
    gateway.wait_for_log_line("configuration rejected");
    assert_eq!(kinds(&gateway.client().query(&select("a", "view", 20_000))), "TDCZ");
}

#[test]
fn unknown_settings_are_logged_once_and_change_nothing() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(vec![Reply::Row(b"v")]);
    let harness = harness.list(&[(&host, "up", "primary")]);
    let config = harness.config().replace("\"balancers\":1,", "\"balancers\":1,\"weather\":{\"rain\":1},");
    let gateway = harness.spawn(&config);
    let line = gateway.wait_for_log_line("unknown setting ignored");
    assert!(line.contains("weather"), "{line}");
    gateway.wait_for_log_line("gateway serving");
    assert_eq!(kinds(&gateway.client().query(&select("a", "view", 20_000))), "TDCZ");
}

#[test]
fn an_unusable_start_is_reported_in_one_sentence() {
    let harness = Harness::new(gateway_program!());
    let valid = harness.config();
    let listener = harness.network().tcp_listener(1);
    let taken = listener.local_addr().expect("the listener has an address").to_string();
    let cases = [
        ("{".to_string(), "EOF"),
        (valid.replace("\"seed\":\"8c1f\"", "\"seed\":\"spring\""), "seed"),
        (valid.replace(&harness.listen, "nowhere"), "GW_LISTEN"),
        (valid.replace(&harness.listen, &taken), "cannot listen"),
        (valid.replace("\"mutate\"", "\"sometimes\""), "read_level"),
        (valid.replace("\"attempts_cap\":8", "\"attempts_cap\":0"), "the maximum number of attempts"),
    ];
    for (config, cause) in cases {
        let (code, log) = harness.spawn(&config).wait_for_exit();
        assert_eq!(code, Some(2), "{cause}: {log}");
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(log.starts_with("petrelgauge: ") && log.contains(cause), "{log} should name {cause}");
    }
}
