//! Checks whether an answer proves that its data have reached the minimum position of a read.

use crate::minimum_position::MinimumPosition;
#[cfg(doc)]
use crate::settings::MAX_CLOCK_ERROR;
use crate::settings::{PositionScope, Settings};
use petrelgauge_policy::{mutant, Mutant, Role, Time};

/// Result of checking an answer against a minimum position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The data have reached the minimum position.
    Proven,
    /// The data may be older than the minimum position, so the answer must not reach the client.
    Unproven,
}

/// The position and role that a host reported with an answer and before it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerEvidence {
    /// Position (microseconds) reported with the answer.
    pub position: Option<Time>,
    /// Highest position that the host had reported when the read was sent. Positions never decrease.
    pub position_at_send: Option<Time>,
    /// Role that the host reported.
    pub role: Option<Role>,
}

/// Checks whether the answer's data have reached the minimum position.
///
/// A primary reads its position shortly before it answers, from a clock that may differ, so its position may
/// be lower than required by a small tolerance. The tolerance cannot accept a deposed primary: its log has
/// ended, and the commits that it lacks came after the failover, which takes longer than the tolerance (see
/// [`MAX_CLOCK_ERROR`]).
pub(crate) fn verify(settings: &Settings, minimum: &MinimumPosition, answer: &AnswerEvidence) -> Verdict {
    let required = minimum.position();
    let position = position_of_data(settings, answer);
    let has_reached =
        position.is_some_and(|position| position + position_tolerance(settings, answer.role) >= required);
    let is_implied = position.is_none() && is_proven_without_position(settings, answer.role);
    let is_proven = has_reached || required == 0 || is_implied || mutant(Mutant::StaleAnswerDelivered);
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

/// How far (microseconds) a reported position may be below the required one.
fn position_tolerance(settings: &Settings, role: Option<Role>) -> Time {
    match role {
        Some(Role::Primary) => 2 * settings.clock_error + settings.position_granularity,
        _ => 0,
    }
}

/// Whether an answer without a position counts as proof. This requires that hosts never report positions, and
/// that either hosts reject reads for which they lag too far or the host is the primary.
fn is_proven_without_position(settings: &Settings, role: Option<Role>) -> bool {
    let is_up_to_date = settings.hosts_enforce_positions || role == Some(Role::Primary);
    !settings.hosts_report_positions && is_up_to_date
}
