//! The revision of the endpoint list that is held, and whether the complete list has to be requested.

use petrelgauge_lifecycle::watch::*;

#[test]
fn changes_that_go_back_are_not_used_and_the_whole_list_is_owed() {
    let mut state = WatchState::default();
    assert!(state.on_update(41, true) && state.on_update(42, false));
    assert!(!state.on_update(40, false));
    assert_eq!((state.needs_complete_list(), state.resume_after()), (true, None));
    // A source that has begun anew says so with a whole list, whatever its number.
    assert!(state.on_update(3, true));
    assert_eq!((state.needs_complete_list(), state.resume_after()), (false, Some(3)));
}

#[test]
fn a_call_that_was_overtaken_by_the_watch_is_made_again_and_a_source_that_began_anew_is_believed() {
    let mut state = WatchState::default();
    state.on_unusable_line();
    assert!(state.on_update(9, false));
    assert!(!state.on_complete_list(8));
    assert!(state.needs_complete_list());
    assert!(state.on_complete_list(8), "twice the same: so it stands there");
    assert_eq!((state.needs_complete_list(), state.resume_after()), (false, Some(8)));
}

#[test]
fn what_is_owed_stays_owed_through_a_move_and_through_changes() {
    let mut state = WatchState::default();
    assert!(state.on_update(5, true));
    state.on_unusable_line();
    state.on_source_changed();
    state.on_watch_opened();
    assert!(state.needs_complete_list() && state.is_first_list());
    assert!(state.on_update(6, false) && state.needs_complete_list());
    assert!(state.on_update(7, true) && !state.needs_complete_list());
}
