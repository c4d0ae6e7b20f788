//! Limits of a process whose own record cannot be replaced.

use petrelgauge_handover::publication::{FileRefresh, Publication, PUBLICATION_TIMEOUT, RECOVERY_DELAY};
use petrelgauge_handover::siblings::{HEARTBEAT_INTERVAL, LIVENESS_TIMEOUT};
use petrelgauge_handover::Reservation;

const LIMITS: Reservation = Reservation { sockets: 384, memory: 48 << 20, open_requests: 128 };
const AVAILABLE: Reservation = Reservation { sockets: 300, memory: 40 << 20, open_requests: 100 };
const PUBLISHED: Reservation = Reservation { sockets: 200, memory: 8 << 20, open_requests: 30 };

/// A process whose first record, which contains `PUBLISHED`, was written at time 0.
fn published() -> Publication {
    let mut publication = Publication::default();
    publication.begin(0);
    assert!(!publication.record_success(0, PUBLISHED));
    publication
}

#[test]
fn a_published_process_uses_what_is_available() {
    assert_eq!(published().limit(HEARTBEAT_INTERVAL, LIMITS, AVAILABLE), AVAILABLE);
}

#[test]
fn failed_writes_limit_a_process_to_what_it_published_and_then_to_the_minimum_share() {
    let mut publication = published();
    assert!(publication.record_failure(HEARTBEAT_INTERVAL, FileRefresh::Failed), "the first failure");
    assert!(!publication.record_failure(2 * HEARTBEAT_INTERVAL, FileRefresh::Failed), "the second failure");
    assert_eq!(publication.limit(PUBLICATION_TIMEOUT, LIMITS, AVAILABLE), PUBLISHED);
    assert_eq!(publication.limit(PUBLICATION_TIMEOUT + 1, LIMITS, AVAILABLE), LIMITS.minimum_share());
    const { assert!(PUBLICATION_TIMEOUT + HEARTBEAT_INTERVAL < LIVENESS_TIMEOUT) };
}

#[test]
fn a_refreshed_file_keeps_the_published_reservation_in_force() {
    let mut publication = published();
    for heartbeat in 1..400 {
        publication.record_failure(heartbeat * HEARTBEAT_INTERVAL, FileRefresh::Refreshed);
        assert_eq!(publication.limit(heartbeat * HEARTBEAT_INTERVAL, LIMITS, AVAILABLE), PUBLISHED);
    }
}

#[test]
fn a_hanging_write_has_the_same_effect_as_a_failed_one() {
    let mut publication = published();
    publication.begin(HEARTBEAT_INTERVAL);
    assert_eq!(publication.limit(PUBLICATION_TIMEOUT + 1, LIMITS, AVAILABLE), LIMITS.minimum_share());
    let mut publication = Publication::default();
    publication.begin(7);
    assert_eq!(publication.limit(7 + PUBLICATION_TIMEOUT, LIMITS, AVAILABLE), AVAILABLE);
    assert_eq!(publication.limit(8 + PUBLICATION_TIMEOUT, LIMITS, AVAILABLE), LIMITS.minimum_share());
}

#[test]
fn a_process_that_has_never_written_keeps_to_the_minimum_share() {
    let mut publication = Publication::default();
    publication.begin(0);
    publication.record_failure(0, FileRefresh::Failed);
    assert_eq!(publication.limit(0, LIMITS, AVAILABLE), LIMITS.minimum_share());
}

#[test]
fn after_a_failure_the_earlier_limit_holds_until_siblings_have_read_the_new_record() {
    let mut publication = published();
    publication.record_failure(HEARTBEAT_INTERVAL, FileRefresh::Failed);
    let larger = Reservation { sockets: 250, ..PUBLISHED };
    let begun_at = 2 * HEARTBEAT_INTERVAL;
    assert!(publication.record_success(begun_at, larger), "the write before it had failed");
    assert_eq!(publication.limit(begun_at, LIMITS, AVAILABLE), PUBLISHED);
    assert!(!publication.record_success(begun_at + HEARTBEAT_INTERVAL, larger));
    assert_eq!(publication.limit(begun_at + HEARTBEAT_INTERVAL, LIMITS, AVAILABLE), PUBLISHED);
    publication.record_success(begun_at + RECOVERY_DELAY, larger);
    assert_eq!(publication.limit(begun_at + RECOVERY_DELAY, LIMITS, AVAILABLE), AVAILABLE);
}

#[test]
fn a_process_that_cannot_see_its_siblings_uses_at_most_what_it_has_published() {
    assert_eq!(published().limit_unobserved(HEARTBEAT_INTERVAL, LIMITS, AVAILABLE), PUBLISHED);
    let small = Reservation { sockets: 3, memory: 1, open_requests: 0 };
    let mut publication = Publication::default();
    publication.record_success(0, small);
    assert_eq!(publication.limit_unobserved(0, LIMITS, AVAILABLE), LIMITS.minimum_share());
}
