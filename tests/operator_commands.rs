//! Operators' commands and reloads: readiness, draining, resuming, changed classes.

use petrelgauge_test_support::{
    field, gateway_program, insert, kinds, list_line, query, select, Client, Gateway, Harness, Host, Reply,
};
use std::io::{Read, Write};

const VIEW: &str = "view";

/// Starts a gateway with one host and waits until it reports ready.
fn start_ready_gateway(script: Vec<Reply>) -> (Gateway, Host) {
    let harness = Harness::new(gateway_program!()).ops();
    let host = harness.host(script);
    let line = list_line(42, true, &harness.entries(&[(&host, "up", "primary")]));
    let gateway = harness.updates(&[&line]).start();
    gateway.repeat_operator_request(b"ready\n", "YES");
    (gateway, host)
}

#[test]
fn a_draining_gateway_is_not_ready_closes_idle_clients_and_answers_open_requests() {
    let (gateway, host) = start_ready_gateway(vec![Reply::WaitForRelease(b"late"), Reply::Row(b"new")]);
    let (mut idle, mut busy) = (gateway.client(), gateway.client());
    busy.write(&query(&select("a", VIEW, 20000)));
    host.next_query();
    assert_eq!(kinds(&idle.query("")), "IZ");
    assert!(gateway.operator_request(b"drain\n").starts_with("YES"));
    assert!(gateway.operator_request(b"ready\n").starts_with("NO"));
    // The load balancer learns of the drain by an empty query, on any connection.
    let answer = idle.query("");
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "57P03"));
    assert!(
        idle.read_messages_until_end().is_empty(),
        "the connection is closed once the load balancer knows"
    );
    // Clients that still connect are served.
    let mut late = gateway.client();
    assert_eq!(late.query(&select("b", VIEW, 20000).replace("9b1f", "9b20"))[1].1[6..], *b"new");
    assert!(late.read_messages_until_end().is_empty(), "the connection is closed after the answer");
    host.release();
    assert_eq!(busy.read_until_ready()[1].1[6..], *b"late");
    assert!(busy.read_messages_until_end().is_empty());
}

#[test]
fn resume_ends_a_drain_and_repeated_commands_are_idempotent() {
    let (gateway, _host) = start_ready_gateway(vec![Reply::Row(b"one")]);
    for line in [b"drain\n", b"drain\n"] {
        assert!(gateway.operator_request(line).starts_with("YES"));
    }
    let mut idle = gateway.client();
    assert!(idle.read_messages_until_end().is_empty(), "a draining gateway closes idle clients");
    for line in [b"resume\n", b"resume\n"] {
        assert!(gateway.operator_request(line).starts_with("YES"));
    }
    assert!(gateway.operator_request(b"ready\n").starts_with("YES"));
    let mut client = gateway.client();
    assert_eq!(kinds(&client.query("")), "IZ");
    assert_eq!(client.query(&select("a", VIEW, 20000))[1].1[6..], *b"one");
}

#[test]
fn a_gateway_is_not_ready_without_hosts_and_stays_drained_through_a_reload() {
    let harness = Harness::new(gateway_program!()).ops();
    let config = harness.config();
    let gateway = harness.start();
    assert!(gateway.operator_request(b"ready\n").starts_with("NO"));
    assert!(gateway.operator_request(b"drain\n").starts_with("YES"), "also while the list is empty");
    gateway.reload_config(&config);
    gateway.wait_for_counter_value("reloads=", |count| count == 1);
    assert!(gateway.operator_request(b"ready\n").starts_with("NO"));
    assert!(gateway.operator_request(b"resume\n").starts_with("YES"));
}

#[test]
fn commands_during_a_shutdown_are_denied_and_do_not_delay_it() {
    let (mut gateway, _host) = start_ready_gateway(vec![]);
    gateway.signal("TERM");
    gateway.repeat_operator_request(b"ready\n", "NO stopping");
    assert!(gateway.operator_request(b"drain\n").starts_with("NO"));
    assert_eq!(gateway.wait_for_exit().0, Some(0));
}

#[test]
fn invalid_callers_are_denied_with_a_reason_and_do_not_block_others() {
    // With so few descriptors, the clients use up all of their share.
    let harness = Harness::new(gateway_program!()).ops().sockets(64);
    let host = harness.host(vec![]);
    let line = list_line(42, true, &harness.entries(&[(&host, "up", "primary")]));
    let gateway = harness.updates(&[&line]).start();
    for line in [&b"READY\n"[..], b"ready please\n", b"\n", b"dra", &[b'x'; 1 << 20]] {
        let mut caller = gateway.operator_connection();
        let _ = caller.write_all(line);
        let _ = caller.shutdown(std::net::Shutdown::Write);
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("an answer");
        assert!(answer.starts_with("NO ") && answer.ends_with('\n'), "{answer:?}");
    }
    let _clients: Vec<Client> = (0..24).map(|_| gateway.raw_client()).collect();
    let silent: Vec<_> = (0..40).map(|_| gateway.operator_connection()).collect();
    let mut partial = gateway.operator_connection();
    partial.write_all(b"rea").expect("it is read");
    gateway.repeat_operator_request(b"ready\n", "YES");
    partial.write_all(b"dy\n").expect("it is read");
    let mut answer = String::new();
    partial.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("YES"), "a partial line may be completed later");
    drop(silent);
}

#[test]
fn without_an_operators_address_nothing_listens_and_an_invalid_one_is_reported() {
    let harness = Harness::new(gateway_program!());
    let config = harness.config().replacen('{', r#"{"ops":"nowhere","#, 1);
    let (code, log) = harness.spawn(&config).wait_for_exit();
    assert_eq!(code, Some(2));
    assert!(log.contains("ops: \"nowhere\" is not an address with a port"), "{log}");
}

/// Adds a third class to the configuration and changes the second from keyed to unsafe.
fn with_added_class(config: &str) -> String {
    let class = r#""classes":[{"aim_us":4000000,"deadline_us":30000000,"idempotency":"safe","name":"extra","points":2.0},"#;
    let config = config.replace(r#""classes":["#, class).replace(r#""keyed""#, r#""unsafe""#);
    config
        .replace(r#"["eventual","mutate"]"#, r#"["eventual","eventual","mutate"]"#)
        .replace("[0,0]", "[0,0,0]")
}

fn wait_for_reloads(gateway: &Gateway, reloads: u64) {
    gateway.wait_for_counter_value("reloads=", |count| count == reloads);
}

#[test]
fn an_added_class_is_served_at_once_and_a_removed_one_until_clients_know() {
    let harness = Harness::new(gateway_program!()).ops();
    let host = harness.host((0..4).map(|_| Reply::Row(b"v")).collect());
    let harness = harness.list(&[(&host, "up", "primary")]);
    let config = harness.config();
    let gateway = harness.start();
    let mut client = gateway.client();
    let extra = select("a", "extra", 20000);
    assert_eq!(field(&client.query(&extra)[0].1, b'C'), "22023", "the class is not configured yet");
    gateway.reload_config(&with_added_class(&config));
    wait_for_reloads(&gateway, 1);
    assert!(gateway.operator_request(b"ready\n").contains("settings 2"));
    assert_eq!(kinds(&client.query(&extra)), "TDCZ");
    assert_eq!(kinds(&client.query(&select("a", VIEW, 20000))), "TDCZ", "the other classes are still served");
    gateway.reload_config(&config);
    wait_for_reloads(&gateway, 2);
    assert_eq!(kinds(&client.query(&extra)), "TDCZ", "clients do not know of the removal yet");
    std::thread::sleep(std::time::Duration::from_millis(2100));
    let answer = client.query(&extra);
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "22023"));
    assert_eq!(kinds(&client.query(&select("a", VIEW, 20000))), "TDCZ");
}

#[test]
fn an_open_request_keeps_its_settings_through_a_reload_and_the_next_one_uses_the_new_ones() {
    let harness = Harness::new(gateway_program!()).ops();
    let host = harness.host(vec![Reply::CloseOnRelease, Reply::Row(b"again"), Reply::Close]);
    let harness = harness.list(&[(&host, "up", "primary")]);
    let config = harness.config();
    let gateway = harness.start();
    let mut client = gateway.client();
    client.write(&query(&insert("a", 20000)));
    host.next_query();
    gateway.reload_config(&with_added_class(&config));
    wait_for_reloads(&gateway, 1);
    host.release();
    // The class was keyed when the request arrived, so an attempt that may have run is retried.
    assert_eq!(client.read_until_ready()[1].1[6..], *b"again");
    host.next_query();
    let answer = client.query(&insert("b", 20000).replace("9b1f", "9b20"));
    assert_eq!(field(&answer[0].1, b'C'), "40003", "the class is now unsafe and not retried");
    assert_eq!(host.query_count(), 3, "the second request was sent once");
}

#[test]
fn an_unusable_configuration_changes_nothing_and_is_reported() {
    let harness = Harness::new(gateway_program!()).ops();
    let host = harness.host((0..20).map(|_| Reply::Row(b"v")).collect());
    let harness = harness.list(&[(&host, "up", "primary")]);
    let config = harness.config();
    let gateway = harness.start();
    let mut client = gateway.client();
    let extended = with_added_class(&config);
    let invalid = [
        String::new(),
        extended[..extended.len() / 2].to_string(),
        extended.replace(r#""classes""#, r#""klasses""#),
        extended.replace(r#""retry_after":true,"#, ""),
        extended.replace(r#""cold_us":16000000,"#, ""),
        extended.replace(r#""deadline_us":30000000"#, r#""deadline_us":0"#),
        extended.replace(r#""deadline_us":30000000"#, r#""deadline_us":-5"#),
        extended.replace(r#""attempts_cap":8"#, r#""attempts_cap":0"#),
        extended.replace(r#""attempts_cap":8"#, r#""attempts_cap":-1"#),
        extended.replace(r#""attempts_cap":8"#, r#""attempts_cap":"8""#),
        extended.replace("[0,0,0]", "[0,0]").replace(r#""eventual","eventual""#, r#""lag_bound""#),
    ];
    for (number, text) in invalid.iter().enumerate() {
        assert_ne!(*text, extended, "number {number} is not invalid");
        gateway.reload_config(text);
        gateway.wait_for_counter_value("bad_configs=", |count| count == number as u64 + 1);
        assert!(gateway.operator_request(b"ready\n").contains("settings 1"), "{text}");
        assert_eq!(field(&client.query(&select("a", "extra", 20000))[0].1, b'C'), "22023");
        assert_eq!(kinds(&client.query(&select("a", VIEW, 20000))), "TDCZ");
    }
    gateway.reload_config(&extended);
    wait_for_reloads(&gateway, 1);
    assert_eq!(kinds(&client.query(&select("a", "extra", 20000))), "TDCZ");
}
