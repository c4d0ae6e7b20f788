//! The time by which the retry of a request with an idempotency key must be written.

use petrelgauge_lifecycle::request_table::{Order, Outcome, Request, RequestTable, Send};
use petrelgauge_policy::{
    Class, Effect, Ending, Entry, MemberStatus, Need, Scope, Settings, Time, RETRY_WINDOW_MARGIN,
};

const SECOND: Time = 1_000_000;
const WINDOW: Time = 5 * SECOND;

fn settings() -> Settings {
    let effect = Effect::Keyed { window: WINDOW, scope: Scope::Group };
    let class = Class {
        name: "pay".into(),
        need: Need::Write,
        effect,
        attempts: 4,
        latency_target: SECOND,
        deadline: 20 * SECOND,
        priority_weight: 1.0,
        late_share: 0.5,
    };
    Settings { classes: vec![class], ..Settings::default() }
}

fn primary() -> Entry {
    Entry {
        member: 1,
        group: 9,
        zone: "here".into(),
        weight: 1.0,
        started: 0,
        status: MemberStatus::Up,
        primary: true,
    }
}

/// Steps the request table until it orders the next attempt, which is returned.
fn next_send(table: &mut RequestTable, from: Time) -> Send {
    let mut now = from;
    while now < from + 2 * SECOND {
        let (orders, _) = table.tick(now);
        let send = orders.into_iter().find_map(|order| match order {
            Order::Send(send) => Some(send),
            _ => None,
        });
        if let Some(send) = send {
            return send;
        }
        now += 5_000;
    }
    panic!("no attempt is ordered");
}

#[test]
fn a_retry_is_to_be_written_so_early_that_a_process_held_up_is_inside_the_window() {
    let start = 100 * SECOND;
    let mut table = RequestTable::new(settings(), 7, None).expect("sound settings");
    table.update_endpoints(true, vec![primary()]);
    let until = start + 20 * SECOND;
    table.admit(Request {
        class: 0,
        group: 9,
        until,
        is_retry: false,
        at: start,
        after: None,
        session: None,
    });
    let first = next_send(&mut table, start);
    assert_eq!(first.write_by, Time::MAX, "no window is open");
    let broke_at = first.at + SECOND / 10;
    assert!(!table.report(broke_at, &first, Outcome::silent(Ending::ConnectionLost)));
    let retry = next_send(&mut table, broke_at);
    assert_eq!(retry.write_by, first.at + WINDOW - RETRY_WINDOW_MARGIN);
}
