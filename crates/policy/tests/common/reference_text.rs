//! The text of actions from which digests are taken.

use petrelgauge_policy::Action;

/// The text of some actions by the names that variants had when the digests were taken: a renamed variant is the same
/// action.
pub fn reference_text(actions: &[Action]) -> String {
    format!("{actions:?}\n")
        .replace("Cancel {", "CallOff {")
        .replace("Log {", "Note {")
        .replace("Reject {", "Refuse {")
}
