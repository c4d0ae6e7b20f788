//! Commands of the operators' address: parsing, answers and their effect on the gateway.

use petrelgauge_lifecycle::gateway::{Action, Event, Gateway, ServingState, Stage, LAST_CLIENTS};
use petrelgauge_lifecycle::ops::*;
use petrelgauge_policy::Time;

const KNOWN: Known = Known { hosts: 3, told: true, patience_until: 0, version: 1 };

fn say(life: &mut Gateway, now: Time, word: Call) -> bool {
    call(life, now, word, KNOWN).0.yes
}

#[test]
fn calls_are_read_with_any_space_round_them_and_nothing_else_is() {
    assert_eq!(read(b"ready"), Ok(Call::Ready));
    assert_eq!(read(b" drain \r"), Ok(Call::Drain));
    assert_eq!(read(b"resume"), Ok(Call::Resume));
    for line in [&b""[..], b"READY", b"ready now", b"rea", b"\xff\xfe"] {
        assert_eq!(read(line), Err(Flaw::Unknown));
    }
    assert_eq!(read(&[b' '; MOST_LINE + 1]), Err(Flaw::Long));
}

#[test]
fn it_is_emptied_and_comes_back_and_calls_may_be_said_twice() {
    let mut life = Gateway::default();
    assert!(say(&mut life, 0, Call::Resume), "at work already");
    assert!(say(&mut life, 0, Call::Drain) && !say(&mut life, 1, Call::Ready));
    assert_eq!((life.door(), life.due()), (ServingState::Unready, Some(LAST_CLIENTS)));
    // The second call does not put off the first one's end.
    assert!(say(&mut life, LAST_CLIENTS / 2, Call::Drain));
    assert_eq!(life.due(), Some(LAST_CLIENTS));
    assert_eq!(life.on(LAST_CLIENTS, Event::Due), Action::Doors);
    assert_eq!((life.door(), life.due()), (ServingState::Draining, None));
    assert!(say(&mut life, LAST_CLIENTS, Call::Drain) && !say(&mut life, LAST_CLIENTS, Call::Ready));
    assert!(say(&mut life, 9_000_000, Call::Resume) && say(&mut life, 9_000_000, Call::Ready));
    assert_eq!(life.door(), ServingState::Serving);
}

#[test]
fn a_stopping_gateway_says_no_to_every_call_and_goes_on_stopping() {
    let mut life = Gateway::default();
    life.on(0, Event::Drain);
    life.on(0, Event::Stop);
    for word in [Call::Ready, Call::Drain, Call::Resume] {
        assert!(!say(&mut life, 1, word));
    }
    assert!(matches!(life.stage(), Stage::LastClients { .. }));
}

#[test]
fn it_is_ready_with_hosts_that_discovery_named_or_after_a_wait_with_those_of_the_start() {
    let says = |now, hosts, told| {
        let known = Known { hosts, told, patience_until: 100, version: 1 };
        call(&mut Gateway::default(), now, Call::Ready, known).0.yes
    };
    assert!(!says(0, 0, true) && !says(200, 0, false), "nobody to send to");
    assert!(says(0, 1, true));
    assert!(!says(99, 1, false) && says(100, 1, false));
}

#[test]
fn a_reload_is_taken_while_drained() {
    let mut life = Gateway::default();
    life.on(0, Event::Drain);
    assert_eq!(life.on(0, Event::Reload { usable: true }), Action::Take);
    assert_eq!(life.on(0, Event::Reload { usable: false }), Action::Keep);
    assert_eq!(life.door(), ServingState::Unready);
}
