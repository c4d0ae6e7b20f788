//! Restart of a tracker after its clock was found to be wrong.

mod common;
use common::*;
use petrelgauge_policy::Time;
use petrelgauge_sessions::*;

const HOUR: Time = 3_600_000 * MS;
const CORRECT_TIME: Time = 1_000_000_000 * MS;

/// Creates two instances without tokens that exchange watermarks of [`GROUP`].
fn two_trackers(now: Time) -> [SessionTracker; 2] {
    [0, 1].map(|instance| {
        let settings = Settings { tokens: false, ..settings(2, instance) };
        let mut tracker = SessionTracker::new(settings, now).expect("valid settings");
        tracker.track_group(GROUP);
        tracker
    })
}

/// Exchanges five broadcasts between both trackers, each at the time of its own clock.
fn exchange_broadcasts(trackers: &mut [SessionTracker; 2], now: [Time; 2]) {
    for interval in 1..6 {
        let local_now = now.map(|now| now + interval * 100 * MS);
        let broadcasts = [trackers[0].due_broadcasts(local_now[0]), trackers[1].due_broadcasts(local_now[1])];
        for (to, bytes) in [(1, &broadcasts[0]), (0, &broadcasts[1])] {
            for datagram in bytes {
                // Datagrams from the future, by the receiver's clock, are rejected.
                let _ = trackers[to].receive(local_now[to] + MS, datagram);
            }
        }
    }
}

// Intervals received while the clock was ahead cover times in the future: without the restart, reads would
// count as covered by them.
#[test]
fn intervals_received_by_a_clock_that_was_ahead_cover_no_read() {
    let mut trackers = two_trackers(CORRECT_TIME + HOUR);
    exchange_broadcasts(&mut trackers, [CORRECT_TIME + HOUR; 2]);
    trackers[0].restart(CORRECT_TIME + 700 * MS);
    let key = trackers[0].session_key(GROUP, "one");
    let minimum = trackers[0].begin_read(CORRECT_TIME + 800 * MS, key, None);
    assert_eq!((minimum.source, minimum.position()), (PositionSource::Unknown, CORRECT_TIME + 800 * MS));
}

#[test]
fn watermarks_of_a_clock_that_was_ahead_require_no_future_position() {
    let mut trackers = two_trackers(CORRECT_TIME + HOUR);
    let key = trackers[0].session_key(GROUP, "one");
    trackers[0].record_unconfirmed_write(CORRECT_TIME + HOUR, key);
    trackers[0].restart(CORRECT_TIME + MS);
    assert_eq!(trackers[0].begin_read(CORRECT_TIME + 2 * MS, key, None).position(), CORRECT_TIME + 2 * MS);
}

#[test]
fn watermarks_recorded_by_a_clock_that_was_behind_count_as_lost() {
    let settings = Settings { roams: false, tokens: false, ..settings(0, 0) };
    let mut tracker = SessionTracker::new(settings, CORRECT_TIME - HOUR).expect("valid settings");
    let key = tracker.session_key(GROUP, "one");
    tracker.record_unconfirmed_write(CORRECT_TIME - HOUR, key);
    tracker.restart(CORRECT_TIME);
    assert!(tracker.begin_read(CORRECT_TIME + MS, key, None).position() >= CORRECT_TIME);
}

#[test]
fn after_both_have_restarted_broadcasts_cover_reads_again() {
    for clock_error in [HOUR, -HOUR] {
        let mut trackers = two_trackers(CORRECT_TIME + clock_error);
        exchange_broadcasts(&mut trackers, [CORRECT_TIME + clock_error; 2]);
        trackers[0].restart(CORRECT_TIME + 700 * MS);
        exchange_broadcasts(&mut trackers, [CORRECT_TIME + 700 * MS, CORRECT_TIME + clock_error + 700 * MS]);
        trackers[1].restart(CORRECT_TIME + 1_400 * MS);
        exchange_broadcasts(&mut trackers, [CORRECT_TIME + 1_400 * MS; 2]);
        let key = trackers[0].session_key(GROUP, "one");
        for tracker in &mut trackers {
            // The read arrives well before the last broadcast interval ends.
            let minimum = tracker.begin_read(CORRECT_TIME + 1_600 * MS, key, None);
            assert_eq!(minimum.source, PositionSource::Peers, "clock error {clock_error}");
        }
    }
}
