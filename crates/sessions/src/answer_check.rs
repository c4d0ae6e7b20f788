//! Whether an answer proves that its data have reached a read's minimum position.

use crate::minimum_position::MinimumPosition;
#[cfg(doc)]
use crate::settings::MAX_CLOCK_ERROR;
use crate::settings::{PositionScope, Settings};
use petrelgauge_policy::{mutant, Mutant, Role, Time};

/// Whether an answer proves a minimum position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The data contain everything that the session must see.
    Proven,
    /// Something may be missing: the answer must not reach the client.
    Unproven,
}

/// What a host reported of itself with an answer, and before it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerEvidence {
    /// Position reported with the answer, in microseconds.
    pub position: Option<Time>,
    /// Highest position that the host had reported when the read was sent. Positions never go back.
    pub position_at_send: Option<Time>,
    /// The role that the host reported.
    pub role: Option<Role>,
}

/// Checks whether the answer's data have reached the minimum position.
///
/// A primary reads its position shortly before it answers, by a clock that may differ, and is allowed that
/// much slack. The log of a deposed primary has ended; what it lacks was committed after the failover, later
/// by more than [`MAX_CLOCK_ERROR`] allows.
pub(crate) fn verify(settings: &Settings, minimum: &MinimumPosition, answer: &AnswerEvidence) -> Verdict {
    let required = minimum.position();
    let position = position_of_data(settings, answer);
    let has_reached = position.is_some_and(|position| position + slack(settings, answer.role) >= required);
    let is_enforced = position.is_none() && is_proven_without_position(settings, answer.role);
    let is_proven = has_reached || required == 0 || is_enforced || mutant(Mutant::StaleAnswerDelivered);
    if is_proven {
        Verdict::Proven
    } else {
        Verdict::Unproven
    }
}

/// The position that the data are known to have reached.
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

/// Whether an answer without a position is proof where hosts never report one: either the host itself rejects
/// reads for which it lags too far, or it is the primary.
fn is_proven_without_position(settings: &Settings, role: Option<Role>) -> bool {
    let is_implied = settings.hosts_enforce_positions || role == Some(Role::Primary);
    !settings.hosts_report_positions && is_implied
}
