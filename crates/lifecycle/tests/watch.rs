//! The revision of the endpoint list that is held, and whether the complete list has to be requested.

use petrelgauge_lifecycle::watch::*;

#[test]
fn changes_that_go_back_are_not_used_and_the_whole_list_is_owed() {
    let mut held = Holding::default();
    assert!(held.news(41, true) && held.news(42, false));
    assert!(!held.news(40, false));
    assert_eq!((held.owed(), held.after()), (true, None));
    // A source that has begun anew says so with a whole list, whatever its number.
    assert!(held.news(3, true));
    assert_eq!((held.owed(), held.after()), (false, Some(3)));
}

#[test]
fn a_call_that_was_overtaken_by_the_watch_is_made_again_and_a_source_that_began_anew_is_believed() {
    let mut held = Holding::default();
    held.spoilt();
    assert!(held.news(9, false));
    assert!(!held.called(8));
    assert!(held.owed());
    assert!(held.called(8), "twice the same: so it stands there");
    assert_eq!((held.owed(), held.after()), (false, Some(8)));
}

#[test]
fn what_is_owed_stays_owed_through_a_move_and_through_changes() {
    let mut held = Holding::default();
    assert!(held.news(5, true));
    held.spoilt();
    held.moved();
    held.opened();
    assert!(held.owed() && held.is_new());
    assert!(held.news(6, false) && held.owed());
    assert!(held.news(7, true) && !held.owed());
}
