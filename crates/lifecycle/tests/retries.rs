//! The deadline for writing the retry of a request with an idempotency key.

use petrelgauge_lifecycle::request_table::{AttemptSpec, Outcome, Request, RequestTable, TableCommand};
use petrelgauge_policy::{
    Class, Effect, Ending, Entry, MemberStatus, Need, Scope, Settings, Time, Update, RETRY_WINDOW_MARGIN,
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

/// Steps the request table until it issues the next attempt.
fn next_attempt(table: &mut RequestTable, from: Time) -> AttemptSpec {
    let mut now = from;
    while now < from + 2 * SECOND {
        let attempt = table.tick(now).commands.into_iter().find_map(|command| match command {
            TableCommand::Send(attempt) => Some(attempt),
            _ => None,
        });
        if let Some(attempt) = attempt {
            return attempt;
        }
        now += 5_000;
    }
    panic!("no attempt is issued");
}

#[test]
fn a_retry_must_be_written_early_enough_that_a_stalled_process_stays_within_the_window() {
    let start = 100 * SECOND;
    let mut table = RequestTable::new(settings(), 7, None).expect("valid settings");
    table.update_endpoints(Update::Complete, vec![primary()]);
    table.admit(Request {
        class: 0,
        group: 9,
        deadline: start + 20 * SECOND,
        is_retry: false,
        arrived_at: start,
        required_position: None,
        session: None,
    });
    let first = next_attempt(&mut table, start);
    assert_eq!(
        first.write_deadline,
        Time::MAX,
        "no attempt may have run yet, so no window limits the first one"
    );
    let lost_at = first.issued_at + SECOND / 10;
    assert!(!table.report(lost_at, &first, Outcome::without_report(Ending::ConnectionLost)));
    let retry = next_attempt(&mut table, lost_at);
    assert_eq!(retry.write_deadline, first.issued_at + WINDOW - RETRY_WINDOW_MARGIN);
}
