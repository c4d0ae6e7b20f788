//! A tracker whose clock turned out to be wrong, and starts its times over.

mod common;
use common::*;
use petrelgauge_policy::Time;
use petrelgauge_sessions::*;

const HOUR: Time = 3_600_000 * MS;
const NOON: Time = 1_000_000_000 * MS;

fn pair(now: Time) -> [SessionTracker; 2] {
    [0, 1].map(|me| {
        let set = Settings { tokens: false, ..settings(2, me) };
        let mut tracker = SessionTracker::new(set, now).expect("sound settings");
        tracker.track_group(G);
        tracker
    })
}

/// Some paces in which they tell each other all that they made, each by its clock.
fn exchange(trackers: &mut [SessionTracker; 2], now: [Time; 2]) {
    for pace in 1..6 {
        let at = now.map(|now| now + pace * 100 * MS);
        let broadcasts = [trackers[0].due_broadcasts(at[0]), trackers[1].due_broadcasts(at[1])];
        for (to, bytes) in [(1, &broadcasts[0]), (0, &broadcasts[1])] {
            for datagram in bytes {
                // Turned away where the two clocks differ.
                let _ = trackers[to].receive(at[to] + MS, datagram);
            }
        }
    }
}

// What was heard by a clock that is ahead covers times that have not come: a read would pass for one that all is known of.
#[test]
fn what_was_heard_by_a_clock_that_was_ahead_covers_nothing() {
    let mut trackers = pair(NOON + HOUR);
    exchange(&mut trackers, [NOON + HOUR; 2]);
    trackers[0].restart(NOON + 700 * MS);
    let key = trackers[0].session_key(G, "one");
    let minimum = trackers[0].begin_read(NOON + 800 * MS, key, None);
    assert_eq!((minimum.source, minimum.position()), (PositionSource::Unknown, NOON + 800 * MS));
}

#[test]
fn marks_of_a_clock_that_was_ahead_ask_for_no_time_to_come() {
    let mut trackers = pair(NOON + HOUR);
    let key = trackers[0].session_key(G, "one");
    trackers[0].record_unconfirmed_write(NOON + HOUR, key);
    trackers[0].restart(NOON + MS);
    assert_eq!(trackers[0].begin_read(NOON + 2 * MS, key, None).position(), NOON + 2 * MS);
}

#[test]
fn what_was_made_by_a_clock_that_was_behind_counts_as_lost() {
    let set = Settings { roams: false, tokens: false, ..settings(0, 0) };
    let mut tracker = SessionTracker::new(set, NOON - HOUR).expect("sound settings");
    let key = tracker.session_key(G, "one");
    tracker.record_unconfirmed_write(NOON - HOUR, key);
    tracker.restart(NOON);
    assert!(tracker.begin_read(NOON + MS, key, None).position() >= NOON);
}

#[test]
fn after_a_restart_of_both_they_know_of_each_other_again() {
    for off in [HOUR, -HOUR] {
        let mut trackers = pair(NOON + off);
        exchange(&mut trackers, [NOON + off; 2]);
        trackers[0].restart(NOON + 700 * MS);
        exchange(&mut trackers, [NOON + 700 * MS, NOON + off + 700 * MS]);
        trackers[1].restart(NOON + 1_400 * MS);
        exchange(&mut trackers, [NOON + 1_400 * MS; 2]);
        let key = trackers[0].session_key(G, "one");
        for tracker in &mut trackers {
            // It came well before the last interval that was broadcast.
            let minimum = tracker.begin_read(NOON + 1_600 * MS, key, None);
            assert_eq!(minimum.source, PositionSource::Peers, "{off}");
        }
    }
}
