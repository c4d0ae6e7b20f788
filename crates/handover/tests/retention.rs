//! When files are considered abandoned.

use petrelgauge_handover::retention::{FileState, RetentionTracker, MAX_FILES, RECORD_RETENTION};
use petrelgauge_handover::siblings::{HEARTBEAT_INTERVAL, LIVENESS_TIMEOUT};

fn file(name: &str, modified_at: i64, age: i64) -> FileState {
    FileState { name: name.to_string(), modified_at, age }
}

#[test]
fn an_unchanged_file_is_abandoned_whatever_its_modification_time() {
    for modified_at in [0, 7_200_000_000, -5] {
        let mut tracker = RetentionTracker::default();
        let age = -modified_at;
        assert!(tracker.find_abandoned(0, &[file("a", modified_at, age.min(0))]).is_empty());
        assert!(tracker.find_abandoned(RECORD_RETENTION, &[file("a", modified_at, age.min(0))]).is_empty());
        assert_eq!(
            tracker.find_abandoned(RECORD_RETENTION + 1, &[file("a", modified_at, age.min(0))]),
            ["a"]
        );
    }
}

#[test]
fn a_changing_file_is_kept_though_its_modification_time_is_hours_off() {
    let mut tracker = RetentionTracker::default();
    for heartbeat in 0..1_000 {
        let now = heartbeat * HEARTBEAT_INTERVAL;
        assert!(tracker.find_abandoned(now, &[file("a", heartbeat, 3_600_000_000)]).is_empty());
    }
}

#[test]
fn a_file_with_an_old_modification_time_is_abandoned_after_one_liveness_timeout() {
    let mut tracker = RetentionTracker::default();
    let old = [file("a", 5, RECORD_RETENTION + 1)];
    assert!(tracker.find_abandoned(0, &old).is_empty());
    assert!(tracker.find_abandoned(LIVENESS_TIMEOUT, &old).is_empty());
    assert_eq!(tracker.find_abandoned(LIVENESS_TIMEOUT + 1, &old), ["a"]);
}

#[test]
fn the_number_of_tracked_files_is_bounded_and_all_are_removed_in_turn() {
    let mut tracker = RetentionTracker::default();
    let mut remaining: Vec<FileState> = (0..200).map(|number| file(&number.to_string(), 0, 0)).collect();
    let mut rounds = 0;
    while !remaining.is_empty() {
        let now = rounds * (RECORD_RETENTION + 1);
        let abandoned = tracker.find_abandoned(now, &remaining);
        assert!(abandoned.len() <= MAX_FILES);
        remaining.retain(|file| !abandoned.contains(&file.name));
        rounds += 1;
        assert!(rounds <= 2 + 2 * 200 / MAX_FILES as i64, "{} files are never removed", remaining.len());
    }
}
