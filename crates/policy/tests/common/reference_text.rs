//! The textual form of actions from which digests are computed.

use petrelgauge_policy::{Action, LogEntry, Note};

/// Formats the actions of one step as they were formatted when the digests were computed, so that renaming an
/// action or rewording a note does not change a digest.
pub fn reference_text(actions: &[Action]) -> String {
    let texts: Vec<String> = actions.iter().map(action_text).collect();
    format!("[{}]\n", texts.join(", "))
}

fn action_text(action: &Action) -> String {
    match action {
        Action::Log(entry) => format!("Note {{ text: {:?} }}", note_text(entry)),
        other => format!("{other:?}").replace("Cancel {", "CallOff {").replace("Reject {", "Refuse {"),
    }
}

fn note_text(entry: &LogEntry) -> String {
    let text = match entry.note {
        Note::MemberSuspected { member, silence, unanswered_targets, .. } => {
            format!("member {member} is silent: {unanswered_targets:.1} aims, {silence} us at the longest")
        }
        Note::MemberDown { member } => format!("member {member} does not answer, nothing new goes there"),
        Note::MemberRecovered { member } => format!("member {member} answers again"),
    };
    match entry.suppressed {
        0 => text,
        count => format!("{text} ({count} left out before)"),
    }
}
