//! Session consistency through the facade and over sockets: tokens as a client library sees them, and that no
//! answer is older than what its session has seen.

mod facade_simulation;

use facade_simulation::*;
use petrelgauge::facade::{Attempt, Outcome, RequestHandle};
use petrelgauge::settings::operator::OperatorConfig;
use petrelgauge::*;
use petrelgauge_sessions::{BroadcastEntry, BroadcastSender, Token, Watermark, WatermarkBroadcast};
use petrelgauge_test_support::{
    gateway_program, gateway_with_primary, insert, kinds, select, unix_ms, Harness, Reply,
};
use std::future::Future;
use std::pin::pin;
use tokio_postgres::error::SqlState;
use tokio_postgres::{NoTls, SimpleQueryMessage};

/// Maximum steps that a read waits for its attempt.
const MAX_STEPS: usize = 100;

fn simulation(sessions: petrelgauge_sessions::Settings) -> Simulation {
    let settings = Settings { may_probe: false, read_wait_bound: 30 * MS, ..settings() };
    Simulation::new(START, settings, Some(sessions))
}

fn admit(simulation: &mut Simulation, class: usize, tokens: &[&str]) -> RequestHandle {
    simulation.admit(class, 900 * MS, tokens)
}

fn send(simulation: &mut Simulation, handle: &mut RequestHandle) -> Attempt {
    simulation.send_within(handle, MAX_STEPS)
}

fn served(position: Time, role: Role) -> Outcome {
    Outcome { position: Some(position), role: Some(role), ..Outcome::without_report(Ending::Served) }
}

/// Makes a write that is served at position `commit`, and returns the session's token.
fn write(simulation: &mut Simulation, commit: Time) -> String {
    let mut handle = admit(simulation, WRITE, &[]);
    let attempt = send(simulation, &mut handle);
    assert!(attempt.report(simulation.now, served(commit, Role::Primary)));
    let session = simulation.session_ref(&[]).expect("sessions are kept");
    simulation.facade.read(|table| table.token(simulation.now, session.key)).expect("tokens are on")
}

#[test]
fn an_answer_older_than_its_session_has_seen_is_withheld() {
    let mut simulation = simulation(petrelgauge_sessions::Settings::default());
    let commit = simulation.now + MS;
    let token = write(&mut simulation, commit);
    for _ in 0..10 {
        simulation.step();
    }
    let mut handle = admit(&mut simulation, READ, &[&token]);
    let attempt = send(&mut simulation, &mut handle);
    assert!(!attempt.report(simulation.now, served(commit - 1, Role::Replica)), "the answer lacks the write");
    let attempt = send(&mut simulation, &mut handle);
    assert!(attempt.report(simulation.now, served(commit, Role::Replica)), "the answer has the write");
    // After a read of data 40 ms newer than the write, no later read may see older data.
    let newer = simulation.now;
    let mut handle = admit(&mut simulation, READ, &["new"]);
    let attempt = send(&mut simulation, &mut handle);
    assert!(attempt.report(simulation.now, served(newer, Role::Replica)));
    let mut handle = admit(&mut simulation, READ, &["new"]);
    let attempt = send(&mut simulation, &mut handle);
    assert!(
        !attempt.report(simulation.now, served(newer - MS, Role::Replica)),
        "the answer is older than the last read"
    );
    let counts = simulation.facade.read(|table| table.session_counts()).expect("sessions are kept").counts;
    assert_eq!((counts.unproven, counts.by_token), (2, 3));
}

#[test]
fn reads_after_an_unconfirmed_write_must_see_it() {
    let mut simulation = simulation(petrelgauge_sessions::Settings { roams: false, ..Default::default() });
    for drop_request in [true, false] {
        let mut handle = admit(&mut simulation, WRITE, &["new"]);
        let attempt = send(&mut simulation, &mut handle);
        // The client disconnects or the deadline passes; the attempt may have committed until then.
        let mut latest_commit = simulation.now;
        if drop_request {
            drop(handle);
        } else {
            while ready(handle.next_decision()).is_none() {
                simulation.step();
            }
            latest_commit = simulation.now;
        }
        drop(attempt);
        simulation.step();
        let mut handle = admit(&mut simulation, READ, &["new"]);
        let attempt = send(&mut simulation, &mut handle);
        assert!(!attempt.report(simulation.now, served(latest_commit - MS, Role::Replica)));
        drop(handle);
    }
}

#[test]
fn broadcasts_lower_the_minimum_position_of_a_waiting_read() {
    let session_settings =
        petrelgauge_sessions::Settings { instances: 2, tokens: false, ..Default::default() };
    let mut simulation = simulation(session_settings);
    let broadcast = |from: Time, until: Time| {
        WatermarkBroadcast {
            sender: BroadcastSender { instance: 1, group: GROUP, epoch: START - 9_000 * MS },
            from,
            until,
            omitted_bound: 0,
            entries: vec![BroadcastEntry { name_hash: 7, watermark: Watermark { written: until, read: 0 } }],
        }
        .encode(0)
    };
    let (start, end) = (START - 9_000 * MS, START + 10 * MS);
    simulation
        .facade
        .update(|table| table.receive_broadcast(simulation.now, &broadcast(start, START)))
        .expect("a valid broadcast");
    let mut handle = admit(&mut simulation, READ, &[]);
    let arrived = simulation.now;
    let attempt = send(&mut simulation, &mut handle);
    assert!(
        !attempt.report(simulation.now, served(arrived - MS, Role::Replica)),
        "the other gateway may have served a write"
    );
    // The other gateway broadcasts all commits up to after the read arrived; none is of this session.
    for _ in 0..10 {
        simulation.step();
    }
    assert!(arrived < end);
    simulation
        .facade
        .update(|table| table.receive_broadcast(simulation.now, &broadcast(START, end)))
        .expect("a valid broadcast");
    let attempt = send(&mut simulation, &mut handle);
    assert!(
        attempt.report(simulation.now, served(arrived - MS, Role::Replica)),
        "no commit of the session is missing"
    );
    let counts = simulation.facade.read(|table| table.session_counts()).expect("sessions are kept").counts;
    assert_eq!((counts.lowered, counts.broadcasts_received), (1, 2));
    assert!(simulation.facade.update(|table| table.receive_broadcast(simulation.now, b"garbage")).is_err());
}

const OPERATOR_FILE: &str = "sessions: {classes: [\"view\", \"post\"], secret: \"77\"}\n";

#[test]
fn a_client_library_receives_the_token_and_sends_it_back() {
    let harness = Harness::new(gateway_program!());
    let commit = unix_ms();
    let script = vec![
        Reply::RowAt(b"written", commit),
        Reply::RowAt(b"one", commit + 1),
        Reply::RowAt(b"two", commit + 2),
    ];
    let host = harness.host(script);
    let gateway = harness.list(&[(&host, "up", "primary")]).operator_file(OPERATOR_FILE).start();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let address = gateway.address().to_string();
        let (ip, port) = address.split_once(':').expect("an address");
        let text = format!("host={ip} port={port} user=backend dbname=store");
        let (client, mut connection) = tokio_postgres::connect(&text, NoTls).await.expect("connected");
        let query_for_token = async |text: String| {
            let mut query = pin!(client.simple_query(&text));
            let answer = std::future::poll_fn(|context| {
                let _ = connection.poll_message(context);
                query.as_mut().poll(context)
            });
            (answer.await, connection.parameter("petrelgauge.mark").map(str::to_string))
        };
        let mut query_for_token = query_for_token;
        let (written, token) = query_for_token(insert("a", 5000)).await;
        assert!(matches!(written.expect("a row")[..], [.., SimpleQueryMessage::CommandComplete(1)]));
        let token = token.expect("a token is issued");
        let known = Token::decode(&token, 0x77).expect("a valid token");
        assert_eq!((known.key.group, known.watermark.written), (2, commit as Time * 1000));
        let with_token =
            |token: &str| select("a", "view", 5000).replace("cluster=2", &format!("cluster=2,mark={token}"));
        let (read, newer) = query_for_token(with_token(&token)).await;
        assert!(read.is_ok());
        let newer = newer.expect("a token is issued");
        assert!(Token::decode(&newer, 0x77).expect("a valid token").watermark.read > known.watermark.written);
        let code = |answer: Result<Vec<SimpleQueryMessage>, tokio_postgres::Error>| {
            answer.err().and_then(|cause| cause.code().cloned())
        };
        let other =
            Token { key: petrelgauge_sessions::SessionKey { group: 3, ..known.key }, ..known }.encode(0x77);
        for invalid in ["x", &token[1..], &other, &Token { ..known }.encode(0x78)] {
            assert_eq!(
                code(query_for_token(with_token(invalid)).await.0),
                Some(SqlState::INVALID_PARAMETER_VALUE),
                "{invalid}"
            );
        }
        // A token set for the connection applies to all further requests.
        assert!(query_for_token(format!("SET petrelgauge.mark = '{newer}'")).await.0.is_ok());
        assert!(query_for_token(select("a", "view", 5000)).await.0.is_ok());
        assert_eq!(
            code(query_for_token("SET petrelgauge.mark TO 'x'".into()).await.0),
            Some(SqlState::INVALID_PARAMETER_VALUE)
        );
        assert!(query_for_token("RESET petrelgauge.mark".into()).await.0.is_ok());
    });
    assert_eq!(host.query_count(), 3, "requests with invalid tokens reach no host");
}

// The only host lags: reads are rejected before their deadline, but never served with its stale answer.
#[test]
fn a_stale_answer_is_never_delivered_even_without_another() {
    let harness = Harness::new(gateway_program!());
    let stale_position = unix_ms() - 60_000;
    let host = harness.host((0..100).map(|_| Reply::ReplicaAt(b"old", stale_position)).collect());
    let gateway = harness.list(&[(&host, "up", "standby")]).operator_file(OPERATOR_FILE).start();
    let answer = gateway.client().query(&select("a", "view", 1000));
    assert_eq!(kinds(&answer), "EZ");
    assert!(answer[0].1.windows(6).any(|code| code == b"C53300"));
    assert!(host.query_count() >= 1, "the host was queried");
    gateway.wait_for_counter_value("unproven=", |count| count >= 1);
}

#[test]
fn without_an_operators_file_no_token_is_issued_or_accepted() {
    let (_host, gateway) = gateway_with_primary(gateway_program!(), vec![Reply::Row(b"one")]);
    let mut client = gateway.client();
    assert_eq!(kinds(&client.query(&select("a", "view", 5000))), "TDCZ", "no token is issued");
    assert_eq!(kinds(&client.query("SET petrelgauge.mark = 'x'")), "CZ", "accepted like any other setting");
}

#[test]
fn an_invalid_operators_file_is_reported_in_one_line() {
    let cases = [
        ("sessions: {", "1:12: expected a closing brace"),
        ("sessions: {secret: \"1\"}", "classes must name the classes"),
        ("sessions: {classes: [\"view\"]}", "secret is missing"),
        ("sessions: {classes: [\"view\"], secret: \"x\"}", "hexadecimal"),
        ("sessions: {classes: [\"view\"], secret: \"1\", sources: [\"disk\"]}", "not \"disk\""),
        ("sessions: {classes: [\"view\"], secret: \"1\", cells: 3}", "power of two"),
        ("sessions: {classes: [\"view\"], secret: \"1\", hold: 2s}", "held for 0 to 1 s"),
        ("sessions: {classes: [\"view\"], secret: \"1\", pase: 2s}", "unknown field \"pase\""),
        ("other: {}", "unknown field \"other\""),
    ];
    for (text, cause) in cases {
        let message = OperatorConfig::parse("petrelgauge.cue", text)
            .err()
            .map(|cause| cause.to_string())
            .unwrap_or_default();
        assert!(message.starts_with("petrelgauge.cue:1:") && message.contains(cause), "{text}: {message}");
    }
    for (classes, cause) in [("\"view\"", "one class that writes"), ("\"view\", \"nope\"", "no class")] {
        let text = format!("sessions: {{classes: [{classes}], secret: \"1\"}}\n");
        let harness = Harness::new(gateway_program!()).operator_file(&text);
        let (code, log) = harness.spawn(&harness.config()).wait_for_exit();
        assert_eq!(code, Some(2), "{log}");
        assert!(log.contains(cause) && log.trim().lines().count() == 1, "{log}");
    }
}
