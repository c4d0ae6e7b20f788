//! When a client without an open query is closed, and when a client with an incomplete message is cut off.

use petrelgauge_lifecycle::client::{
    Action, ClientConnection, CutOffReason, Event, IdleSince, Idleness, MessageKind, QueryOutcome,
    MESSAGE_TIMEOUT,
};
use petrelgauge_policy::Time;

const SECOND: Time = 1_000_000;

/// A client that got its first answer at this time.
fn served(at: Time) -> ClientConnection {
    let mut client = ClientConnection::new(at);
    client.on(at, Event::StartupReceived);
    client.on(at, Event::Message(MessageKind::Query));
    client.on(at, Event::Answered(QueryOutcome::Request));
    client
}

/// Simulates a client that sends a part of a message at each of these times. Returns when it is cut off.
fn cut_off_at(client: &mut ClientConnection, parts: &[Time]) -> Time {
    for _ in 0..100 {
        let now = client.timeout_at();
        let partial_at = parts.iter().copied().rfind(|at| *at <= now);
        match client.on(now, Event::Timeout { has_unread: false, partial_at }) {
            Action::Wait => {}
            Action::CutOff(CutOffReason::IncompleteMessage) => return now,
            other => panic!("{other:?} at {now}"),
        }
    }
    panic!("the client is never cut off");
}

// Issue 59: it counted as served, and other clients were closed in its place.
#[test]
fn a_client_that_stops_within_a_message_counts_as_stalled_since_its_last_byte() {
    let stalled = IdleSince { kind: Idleness::Stalled, since: 7 };
    assert_eq!(served(5).idle_since_with(Some(7)), stalled);
    assert_eq!(served(5).idle_since_with(None), IdleSince { kind: Idleness::Answered, since: 5 });
    // A new client has to complete its first message, however slowly it writes.
    let new = IdleSince { kind: Idleness::New, since: 5 };
    assert_eq!(ClientConnection::new(5).idle_since_with(Some(7)), new);
    assert!(Idleness::Stalled < Idleness::Answered, "it is closed first");
    // The part itself is no use of the connection.
    let mut client = served(5);
    assert_eq!(client.on(9, Event::PartialReceived), Action::Wait);
    assert_eq!(client.idle_since().since, 5);
}

#[test]
fn a_client_that_stalls_within_a_message_is_cut_off_within_three_seconds_of_its_last_byte() {
    for begun_at in [1, SECOND / 2, SECOND, 2 * SECOND] {
        let at = cut_off_at(&mut served(0), &[begun_at]);
        assert!((begun_at..begun_at + 3 * SECOND).contains(&at), "begun at {begun_at}, cut off at {at}");
    }
}

#[test]
fn a_slow_client_has_the_full_message_timeout() {
    let parts: Vec<Time> = (1..100).map(|number| number * SECOND).collect();
    assert_eq!(cut_off_at(&mut served(0), &parts), MESSAGE_TIMEOUT);
}
