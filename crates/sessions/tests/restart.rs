//! A keeper whose clock turned out to be wrong, and starts its times over.

mod common;
use common::*;
use petrelgauge_policy::Time;
use petrelgauge_sessions::*;

const HOUR: Time = 3_600_000 * MS;
const NOON: Time = 1_000_000_000 * MS;

fn pair(now: Time) -> [Keeper; 2] {
    [0, 1].map(|me| {
        let set = Settings { tokens: false, ..settings(2, me) };
        let mut keeper = Keeper::new(set, now).expect("sound settings");
        keeper.serve(G);
        keeper
    })
}

/// Some paces in which they tell each other all that they made, each by its clock.
fn exchange(keepers: &mut [Keeper; 2], now: [Time; 2]) {
    for pace in 1..6 {
        let at = now.map(|now| now + pace * 100 * MS);
        let told = [keepers[0].tell(at[0]), keepers[1].tell(at[1])];
        for (to, bytes) in [(1, &told[0]), (0, &told[1])] {
            for datagram in bytes {
                // Turned away where the two clocks differ.
                let _ = keepers[to].receive(at[to] + MS, datagram);
            }
        }
    }
}

// What was heard by a clock that is ahead covers times that have not come: a read would pass for one that all is known of.
#[test]
fn what_was_heard_by_a_clock_that_was_ahead_covers_nothing() {
    let mut keepers = pair(NOON + HOUR);
    exchange(&mut keepers, [NOON + HOUR; 2]);
    keepers[0].restart(NOON + 700 * MS);
    let key = keepers[0].key(G, "one");
    let floor = keepers[0].ask(NOON + 800 * MS, key, None);
    assert_eq!((floor.source, floor.need()), (Source::Open, NOON + 800 * MS));
}

#[test]
fn marks_of_a_clock_that_was_ahead_ask_for_no_time_to_come() {
    let mut keepers = pair(NOON + HOUR);
    let key = keepers[0].key(G, "one");
    keepers[0].unsure(NOON + HOUR, key);
    keepers[0].restart(NOON + MS);
    assert_eq!(keepers[0].ask(NOON + 2 * MS, key, None).need(), NOON + 2 * MS);
}

#[test]
fn what_was_made_by_a_clock_that_was_behind_counts_as_lost() {
    let set = Settings { roams: false, tokens: false, ..settings(0, 0) };
    let mut keeper = Keeper::new(set, NOON - HOUR).expect("sound settings");
    let key = keeper.key(G, "one");
    keeper.unsure(NOON - HOUR, key);
    keeper.restart(NOON);
    assert!(keeper.ask(NOON + MS, key, None).need() >= NOON);
}

#[test]
fn after_a_restart_of_both_they_know_of_each_other_again() {
    for off in [HOUR, -HOUR] {
        let mut keepers = pair(NOON + off);
        exchange(&mut keepers, [NOON + off; 2]);
        keepers[0].restart(NOON + 700 * MS);
        exchange(&mut keepers, [NOON + 700 * MS, NOON + off + 700 * MS]);
        keepers[1].restart(NOON + 1_400 * MS);
        exchange(&mut keepers, [NOON + 1_400 * MS; 2]);
        let key = keepers[0].key(G, "one");
        for keeper in &mut keepers {
            // It came well before the last interval that was told.
            let floor = keeper.ask(NOON + 1_600 * MS, key, None);
            assert_eq!(floor.source, Source::Peers, "{off}");
        }
    }
}
