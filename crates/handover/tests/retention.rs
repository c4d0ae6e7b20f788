//! Which files are removed, and when.

use petrelgauge_handover::retention::{FileState, RetentionTracker, MAX_FILES, RECORD_RETENTION};
use petrelgauge_handover::siblings::{HEARTBEAT_INTERVAL, LIVENESS_TIMEOUT};

fn file(name: &str, modified: i64, age: i64) -> FileState {
    FileState { name: name.to_string(), modified, age }
}

#[test]
fn a_file_that_never_changes_is_abandoned_whatever_its_time() {
    for modified in [0, 7_200_000_000, -5] {
        let mut tracker = RetentionTracker::default();
        let age = -modified;
        assert!(tracker.abandoned(0, &[file("a", modified, age.min(0))]).is_empty());
        assert!(tracker.abandoned(RECORD_RETENTION, &[file("a", modified, age.min(0))]).is_empty());
        assert_eq!(tracker.abandoned(RECORD_RETENTION + 1, &[file("a", modified, age.min(0))]), ["a"]);
    }
}

#[test]
fn a_file_that_changes_is_kept_though_its_time_is_hours_off() {
    let mut tracker = RetentionTracker::default();
    for heartbeat in 0..1_000 {
        let now = heartbeat * HEARTBEAT_INTERVAL;
        assert!(tracker.abandoned(now, &[file("a", heartbeat, 3_600_000_000)]).is_empty());
    }
}

#[test]
fn a_file_old_by_its_own_time_is_abandoned_once_it_was_seen_not_to_change() {
    let mut tracker = RetentionTracker::default();
    let old = [file("a", 5, RECORD_RETENTION + 1)];
    assert!(tracker.abandoned(0, &old).is_empty());
    assert!(tracker.abandoned(LIVENESS_TIMEOUT, &old).is_empty());
    assert_eq!(tracker.abandoned(LIVENESS_TIMEOUT + 1, &old), ["a"]);
}

#[test]
fn what_is_remembered_is_bounded_and_all_files_go_in_turn() {
    let mut tracker = RetentionTracker::default();
    let mut left: Vec<FileState> = (0..200).map(|number| file(&number.to_string(), 0, 0)).collect();
    let mut rounds = 0;
    while !left.is_empty() {
        let now = rounds * (RECORD_RETENTION + 1);
        let gone = tracker.abandoned(now, &left);
        assert!(gone.len() <= MAX_FILES);
        left.retain(|file| !gone.contains(&file.name));
        rounds += 1;
        assert!(rounds <= 2 + 2 * 200 / MAX_FILES as i64, "{} files are never removed", left.len());
    }
}
