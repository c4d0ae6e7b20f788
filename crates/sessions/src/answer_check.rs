//! Whether an answer proves that its data have reached a read's minimum position.

use crate::minimum_position::MinimumPosition;
#[cfg(doc)]
use crate::settings::MAX_CLOCK_ERROR;
use crate::settings::{PositionScope, Settings};
use petrelgauge_policy::{mutant, Mutant, Role, Time};

/// What an answer proves of a minimum position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The data hold everything that the session must see.
    Proven,
    /// They may not: the answer must not reach the client.
    Unproven,
}

/// What a host reported of itself with an answer, and before it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerEvidence {
    /// Position reported with the answer, in microseconds.
    pub position: Option<Time>,
    /// Highest position that the host had reported when the read was sent: positions never go back.
    pub position_at_send: Option<Time>,
    /// The role that the host reported.
    pub role: Option<Role>,
}

/// What the answer proves.
///
/// A primary reads its position a moment before it answers, by a clock that may differ, and is given that
/// much slack. A deposed primary stands where its log ended; what it lacks was committed after the take-over,
/// later by more than [`MAX_CLOCK_ERROR`] allows.
pub(crate) fn verify(settings: &Settings, minimum: &MinimumPosition, answer: &AnswerEvidence) -> Verdict {
    let required = minimum.position();
    let position = position_of_data(settings, answer);
    let reached = position.is_some_and(|position| position + slack(settings, answer.role) >= required);
    let enforced = position.is_none() && proven_without_position(settings, answer.role);
    match reached || required == 0 || enforced || mutant(Mutant::StaleAnswerDelivered) {
        true => Verdict::Proven,
        false => Verdict::Unproven,
    }
}

/// The position that the data are known to have had.
fn position_of_data(settings: &Settings, answer: &AnswerEvidence) -> Option<Time> {
    match (settings.position_scope, answer.role) {
        (PositionScope::DataRead, _) | (_, Some(Role::Primary)) => answer.position,
        (PositionScope::HostAtAnswer, _) => answer.position_at_send,
    }
}

/// How far (microseconds) a reported position may lie below the required one.
fn slack(settings: &Settings, role: Option<Role>) -> Time {
    match role {
        Some(Role::Primary) => 2 * settings.clock_error + settings.position_granularity,
        _ => 0,
    }
}

/// Whether an answer without a position proves what is needed: where hosts never report one, because the host
/// itself rejects reads for which it lags too far, or because it is the primary.
fn proven_without_position(settings: &Settings, role: Option<Role>) -> bool {
    let enforced = settings.hosts_enforce_positions || role == Some(Role::Primary);
    !settings.hosts_report_positions && enforced
}
