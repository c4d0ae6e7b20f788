//! Which revision of the endpoint list is current, and whether the complete list has to be requested.

use petrelgauge_lifecycle::watch::WatchState;
use petrelgauge_policy::Update;

#[test]
fn an_update_with_a_lower_revision_is_dropped_and_the_complete_list_needed() {
    let mut state = WatchState::default();
    assert!(state.on_update(41, Update::Complete) && state.on_update(42, Update::Partial));
    assert!(!state.on_update(40, Update::Partial));
    assert_eq!((state.needs_complete_list(), state.resume_after()), (true, None));
    // A source that restarted its numbering sends the complete list, whatever its revision.
    assert!(state.on_update(3, Update::Complete));
    assert_eq!((state.needs_complete_list(), state.resume_after()), (false, Some(3)));
}

#[test]
fn an_outdated_complete_list_is_requested_again_and_then_applied() {
    let mut state = WatchState::default();
    state.on_unusable_line();
    assert!(state.on_update(9, Update::Partial));
    assert!(!state.on_complete_list(8));
    assert!(state.needs_complete_list());
    assert!(state.on_complete_list(8), "the same revision twice: it is the current one of the source");
    assert_eq!((state.needs_complete_list(), state.resume_after()), (false, Some(8)));
}

#[test]
fn the_complete_list_stays_needed_after_a_source_change_and_partial_updates() {
    let mut state = WatchState::default();
    assert!(state.on_update(5, Update::Complete));
    state.on_unusable_line();
    state.on_source_changed();
    state.on_watch_opened();
    assert!(state.needs_complete_list() && state.is_first_list());
    assert!(state.on_update(6, Update::Partial) && state.needs_complete_list());
    assert!(state.on_update(7, Update::Complete) && !state.needs_complete_list());
}
