//! When an id of a request may come again.

use petrelgauge_lifecycle::request_ids::{
    IdConflict, Repetition, RequestIds, MAX_USED_IDS, USED_ID_RETENTION,
};

#[test]
fn an_open_id_is_rejected_until_it_is_released() {
    let mut ids = RequestIds::default();
    assert!(ids.reserve(0, "a", Repetition::Forbidden).is_ok());
    assert_eq!(ids.reserve(1, "a", Repetition::Forbidden), Err(IdConflict::Open));
    assert!(ids.reserve(1, "b", Repetition::Forbidden).is_ok());
    ids.release("a", None);
    assert!(ids.reserve(2, "a", Repetition::Forbidden).is_ok(), "it never ran");
}

// Issue 59: an id was free again when its client had left, and its request ran twice.
#[test]
fn a_used_id_is_rejected_for_the_retention_time() {
    let mut ids = RequestIds::default();
    assert!(ids.reserve(0, "a", Repetition::Forbidden).is_ok());
    ids.release("a", Some(5));
    assert_eq!(ids.reserve(5, "a", Repetition::Forbidden), Err(IdConflict::Used));
    assert_eq!(ids.reserve(5 + USED_ID_RETENTION - 1, "a", Repetition::Forbidden), Err(IdConflict::Used));
    // A read has no effect, whatever ran under its id.
    assert!(ids.reserve(6, "a", Repetition::Harmless).is_ok());
    ids.release("a", None);
    assert!(ids.reserve(5 + USED_ID_RETENTION, "a", Repetition::Forbidden).is_ok());
    assert_eq!(ids.used_count(), 0);
}

#[test]
fn the_oldest_used_ids_are_forgotten_beyond_the_bound() {
    let mut ids = RequestIds::default();
    for number in 0..=MAX_USED_IDS {
        ids.release(&number.to_string(), Some(number as i64));
    }
    assert_eq!(ids.used_count(), MAX_USED_IDS);
    assert!(ids.reserve(0, "0", Repetition::Forbidden).is_ok());
    assert_eq!(ids.reserve(0, "1", Repetition::Forbidden), Err(IdConflict::Used));
}
