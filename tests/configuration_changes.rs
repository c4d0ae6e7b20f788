//! Configuration changes: reloads, handover records of another gateway, clients with an earlier deadline,
//! unusual settings.

use petrelgauge_test_support::{field, gateway_program, kinds, select, Harness, Reply};
use std::io::Write;
use std::process::Command;

fn rows() -> Vec<Reply> {
    (0..50).map(|_| Reply::Row(b"v")).collect()
}

// Regression: SIGHUP before its handler was installed ended the process. This happens when a new
// configuration is signalled to an entire fleet while it starts.
#[test]
fn a_reload_that_is_signalled_during_a_reload_is_made_too() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(rows());
    let harness = harness.list(&[(&host, "up", "primary")]);
    let config = harness.config();
    // With a named pipe, the test decides how long the gateway reads its configuration.
    let path = format!("{}/{}.pipe", env!("CARGO_TARGET_TMPDIR"), harness.listen);
    let _ = std::fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo is installed").success());
    let gateway = harness.spawn_with_env(&config, &[("GW_CONFIG", &path)]);
    let mut file = std::fs::OpenOptions::new().write(true).open(&path).expect("the gateway reads the pipe");
    file.write_all(&config.as_bytes()[..20]).expect("the gateway reads the pipe");
    gateway.signal("HUP");
    file.write_all(&config.as_bytes()[20..]).expect("the gateway reads the rest");
    drop(file);
    gateway.wait_for_log_line("gateway serving");
    std::fs::write(&path, config.replace("30000000", "20000000")).expect("the pipe is read again");
    gateway.wait_for_log_line("configuration reloaded");
    let _ = std::fs::remove_file(&path);
}

// Regression: two gateways that share a handover folder read each other's records. Each adopted the other's
// learned state and restricted itself to what the other left of its limits.
#[test]
fn handover_records_of_another_gateway_are_ignored() {
    let (mut one, mut other) = (
        Harness::new(gateway_program!()).with_shared_listener(),
        Harness::new(gateway_program!()).with_shared_listener(),
    );
    let hosts = [one.host(rows()), other.host(rows())];
    one = one.list(&[(&hosts[0], "up", "primary")]);
    other = other.list(&[(&hosts[1], "up", "primary")]).with_handover_folder(one.handover_folder());
    [&one, &other].iter().for_each(|harness| harness.serve_discovery());
    let first = one.start_another();
    first.repeat_operator_request(b"ready\n", "YES");
    assert_eq!(kinds(&first.client().query(&select("a", "view", 20_000))), "TDCZ");
    let records =
        || std::fs::read_dir(one.handover_folder()).expect("the handover folder is readable").count();
    // The first gateway has learned state and has written its record before the second one starts.
    let started = std::time::Instant::now();
    while records() == 0 && started.elapsed().as_secs() < 60 {
        first.wait_until_reusable();
    }
    let second = other.spawn_with_env(&other.config(), &[]);
    let line = second.wait_for_log_line("foreign handover records ignored");
    assert!(
        line.contains("foreign handover records ignored count=1 ") && line.contains(&one.listen),
        "{line}"
    );
    second.wait_for_log_line("gateway serving");
    let mut client = second.client();
    assert_eq!(kinds(&client.query(&select("a", "view", 20_000))), "TDCZ");
    second.wait_until_reusable();
    for mut gateway in [first, second] {
        gateway.signal("TERM");
        let (code, log) = gateway.wait_for_exit();
        assert_eq!(code, Some(0), "{log}");
        assert!(!log.contains("other processes of this gateway"), "{log}");
        assert!(!log.contains("learned state adopted"), "{log}");
    }
}

// Regression: requests with the previous deadline were checked against the new one as soon as it was loaded.
#[test]
fn clients_with_the_previous_longer_deadline_are_still_served() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(rows());
    let harness = harness.list(&[(&host, "up", "primary")]);
    let config = harness.config();
    let gateway = harness.start_with_config(&config);
    let mut client = gateway.client();
    assert_eq!(kinds(&client.query(&select("a", "view", 25_000))), "TDCZ");
    gateway.reload_config(&config.replace("\"deadline_us\":30000000", "\"deadline_us\":6000000"));
    gateway.wait_for_log_line("configuration reloaded");
    assert_eq!(kinds(&client.query(&select("b", "view", 25_000))), "TDCZ");
    std::thread::sleep(std::time::Duration::from_millis(2_200));
    let answer = client.query(&select("c", "view", 25_000));
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "22023"));
}

#[test]
fn unusual_but_usable_settings_do_not_prevent_the_start() {
    let changes = [
        ("\"aim_us\":4000000", "\"aim_us\":40000000"),
        ("\"connect_timeout_us\":250000", "\"connect_timeout_us\":20000000"),
        ("\"max_retry_after_us\":500000,\"retry_after\":true", "\"retry_after\":false"),
        ("\"attempts_cap\":8", "\"attempts_cap\":1"),
        ("\"cold_us\":16000000", "\"cold_us\":0"),
        ("\"fall_us\":1000000", "\"fall_us\":0"),
        ("\"name\":\"post\"", "\"name\":\"view-2\""),
        ("\"late_share\":0.5", "\"late_share\":0.0"),
        ("\"points\":4.0", "\"points\":0.0"),
        ("\"window_us\":30000000", "\"window_us\":0"),
        ("\"granularity_us\":5000", "\"granularity_us\":20000"),
        ("\"cancel\":true", "\"cancel\":false"),
    ];
    let harness = Harness::new(gateway_program!());
    let host = harness.host((0..50).map(|_| Reply::Row(b"v")).collect());
    let harness = harness.list(&[(&host, "up", "primary")]);
    for (usual, unusual) in changes {
        let config = harness.config();
        assert!(config.contains(usual), "{usual}");
        let mut gateway = harness.spawn(&config.replace(usual, unusual));
        gateway.wait_for_log_line("gateway serving");
        assert_eq!(kinds(&gateway.client().query(&select("a", "view", 20_000))), "TDCZ", "{unusual}");
        gateway.signal("TERM");
        assert_eq!(gateway.wait_for_exit().0, Some(0), "{unusual}");
    }
}
