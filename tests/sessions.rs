//! Session consistency through the facade and on sockets: what a client library sees of tokens, and that no
//! answer is older than its session has seen.

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

/// Most steps that a read waits for its attempt.
const MOST_STEPS: usize = 100;

fn simulation(sessions: petrelgauge_sessions::Settings) -> Simulation {
    let settings = Settings { may_probe: false, read_wait_bound: 30 * MS, ..settings() };
    Simulation::new(START, settings, Some(sessions))
}

fn admit(simulation: &mut Simulation, class: usize, tokens: &[&str]) -> RequestHandle {
    simulation.admit(class, 900 * MS, tokens)
}

fn send(simulation: &mut Simulation, ticket: &mut RequestHandle) -> Attempt {
    simulation.send_within(ticket, MOST_STEPS)
}

fn served(position: Time, role: Role) -> Outcome {
    Outcome { position: Some(position), role: Some(role), ..Outcome::without_report(Ending::Served) }
}

/// Makes a write that is served with this commit, and returns the session's token.
fn write(simulation: &mut Simulation, commit: Time) -> String {
    let mut ticket = admit(simulation, WRITE, &[]);
    let attempt = send(simulation, &mut ticket);
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
    let mut ticket = admit(&mut simulation, READ, &[&token]);
    let attempt = send(&mut simulation, &mut ticket);
    assert!(!attempt.report(simulation.now, served(commit - 1, Role::Replica)), "it lacks the write");
    let attempt = send(&mut simulation, &mut ticket);
    assert!(attempt.report(simulation.now, served(commit, Role::Replica)), "it has it");
    // After a read of data 40 ms newer than the write, no later read may see older data.
    let newer = simulation.now;
    let mut ticket = admit(&mut simulation, READ, &["new"]);
    let attempt = send(&mut simulation, &mut ticket);
    assert!(attempt.report(simulation.now, served(newer, Role::Replica)));
    let mut ticket = admit(&mut simulation, READ, &["new"]);
    let attempt = send(&mut simulation, &mut ticket);
    assert!(!attempt.report(simulation.now, served(newer - MS, Role::Replica)), "it would go back");
    let counts = simulation.facade.read(|table| table.session_counts()).expect("sessions are kept").counts;
    assert_eq!((counts.unproven, counts.by_token), (2, 3));
}

#[test]
fn reads_after_an_unconfirmed_write_must_see_it() {
    let mut simulation = simulation(petrelgauge_sessions::Settings { roams: false, ..Default::default() });
    for lose in [true, false] {
        let mut ticket = admit(&mut simulation, WRITE, &["new"]);
        let attempt = send(&mut simulation, &mut ticket);
        // Its client disconnects, or its deadline passes: the attempt may have run until then.
        let mut unsure = simulation.now;
        if lose {
            drop(ticket);
        } else {
            while ready(ticket.next_decision()).is_none() {
                simulation.step();
            }
            unsure = simulation.now;
        }
        drop(attempt);
        simulation.step();
        let mut ticket = admit(&mut simulation, READ, &["new"]);
        let attempt = send(&mut simulation, &mut ticket);
        assert!(!attempt.report(simulation.now, served(unsure - MS, Role::Replica)));
        drop(ticket);
    }
}

#[test]
fn broadcasts_lower_the_minimum_position_of_a_waiting_read() {
    let set = petrelgauge_sessions::Settings { instances: 2, tokens: false, ..Default::default() };
    let mut simulation = simulation(set);
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
    let (start, then) = (START - 9_000 * MS, START + 10 * MS);
    simulation
        .facade
        .update(|table| table.receive_broadcast(simulation.now, &broadcast(start, START)))
        .expect("sound");
    let mut ticket = admit(&mut simulation, READ, &[]);
    let arrived = simulation.now;
    let attempt = send(&mut simulation, &mut ticket);
    assert!(
        !attempt.report(simulation.now, served(arrived - MS, Role::Replica)),
        "the other may have served a write"
    );
    // The other gateway announces all commits before the read arrived, and none of this session.
    for _ in 0..10 {
        simulation.step();
    }
    assert!(arrived < then);
    simulation
        .facade
        .update(|table| table.receive_broadcast(simulation.now, &broadcast(START, then)))
        .expect("sound");
    let attempt = send(&mut simulation, &mut ticket);
    assert!(attempt.report(simulation.now, served(arrived - MS, Role::Replica)), "nothing stands against it");
    let counts = simulation.facade.read(|table| table.session_counts()).expect("sessions are kept").counts;
    assert_eq!((counts.lowered, counts.broadcasts_received), (1, 2));
    assert!(simulation.facade.update(|table| table.receive_broadcast(simulation.now, b"garbage")).is_err());
}

const OPERATOR: &str = "sessions: {classes: [\"view\", \"post\"], secret: \"77\"}\n";

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
    let gateway = harness.list(&[(&host, "up", "primary")]).operator_file(OPERATOR).start();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let address = gateway.address().to_string();
        let (ip, port) = address.split_once(':').expect("an address");
        let text = format!("host={ip} port={port} user=backend dbname=store");
        let (client, mut connection) = tokio_postgres::connect(&text, NoTls).await.expect("it connects");
        let mark = async |text: String| {
            let mut asked = pin!(client.simple_query(&text));
            let answer = std::future::poll_fn(|context| {
                let _ = connection.poll_message(context);
                asked.as_mut().poll(context)
            });
            (answer.await, connection.parameter("petrelgauge.mark").map(str::to_string))
        };
        let mut mark = mark;
        let (written, token) = mark(insert("a", 5000)).await;
        assert!(matches!(written.expect("a row")[..], [.., SimpleQueryMessage::CommandComplete(1)]));
        let token = token.expect("a token is issued");
        let known = Token::decode(&token, 0x77).expect("it is sound");
        assert_eq!((known.key.group, known.watermark.written), (2, commit as Time * 1000));
        let with =
            |mark: &str| select("a", "view", 5000).replace("cluster=2", &format!("cluster=2,mark={mark}"));
        let (read, newer) = mark(with(&token)).await;
        assert!(read.is_ok());
        let newer = newer.expect("a token is issued");
        assert!(Token::decode(&newer, 0x77).expect("it is sound").watermark.read > known.watermark.written);
        let code = |answer: Result<Vec<SimpleQueryMessage>, tokio_postgres::Error>| {
            answer.err().and_then(|cause| cause.code().cloned())
        };
        let other =
            Token { key: petrelgauge_sessions::SessionKey { group: 3, ..known.key }, ..known }.encode(0x77);
        for bad in ["x", &token[1..], &other, &Token { ..known }.encode(0x78)] {
            assert_eq!(code(mark(with(bad)).await.0), Some(SqlState::INVALID_PARAMETER_VALUE), "{bad}");
        }
        // Set once for the connection, it applies to all further requests.
        assert!(mark(format!("SET petrelgauge.mark = '{newer}'")).await.0.is_ok());
        assert!(mark(select("a", "view", 5000)).await.0.is_ok());
        assert_eq!(
            code(mark("SET petrelgauge.mark TO 'x'".into()).await.0),
            Some(SqlState::INVALID_PARAMETER_VALUE)
        );
        assert!(mark("RESET petrelgauge.mark".into()).await.0.is_ok());
    });
    assert_eq!(host.query_count(), 3, "what cannot be used reaches no host");
}

// The only host is behind: reads are rejected in time, but never served from it.
#[test]
fn a_stale_answer_is_never_given_even_if_none_is() {
    let harness = Harness::new(gateway_program!());
    let old = unix_ms() - 60_000;
    let host = harness.host((0..100).map(|_| Reply::ReplicaAt(b"old", old)).collect());
    let gateway = harness.list(&[(&host, "up", "standby")]).operator_file(OPERATOR).start();
    let answer = gateway.client().query(&select("a", "view", 1000));
    assert_eq!(kinds(&answer), "EZ");
    assert!(answer[0].1.windows(6).any(|code| code == b"C53300"));
    assert!(host.query_count() >= 1, "it was asked");
    gateway.wait_for_counter_value("unproven=", |count| count >= 1);
}

#[test]
fn without_an_operators_file_no_token_is_issued_or_accepted() {
    let (_host, gateway) = gateway_with_primary(gateway_program!(), vec![Reply::Row(b"one")]);
    let mut client = gateway.client();
    assert_eq!(kinds(&client.query(&select("a", "view", 5000))), "TDCZ", "no token is issued");
    assert_eq!(kinds(&client.query("SET petrelgauge.mark = 'x'")), "CZ", "as any other setting");
}

#[test]
fn an_operators_file_that_cannot_be_used_is_named_in_one_sentence() {
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
        let said = OperatorConfig::parse("petrelgauge.cue", text)
            .err()
            .map(|cause| cause.to_string())
            .unwrap_or_default();
        assert!(said.starts_with("petrelgauge.cue:1:") && said.contains(cause), "{text}: {said}");
    }
    for (classes, cause) in [("\"view\"", "one class that writes"), ("\"view\", \"nope\"", "no class")] {
        let text = format!("sessions: {{classes: [{classes}], secret: \"1\"}}\n");
        let harness = Harness::new(gateway_program!()).operator_file(&text);
        let (code, log) = harness.spawn(&harness.config()).wait_for_exit();
        assert_eq!(code, Some(2), "{log}");
        assert!(log.contains(cause) && log.trim().lines().count() == 1, "{log}");
    }
}
