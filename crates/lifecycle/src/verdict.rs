//! What a host's answer says of an attempt.

use crate::ending::End;
use petrelgauge_policy::{Report, Time};

/// Span that a position may lie ahead of this gateway's clock (microseconds).
const AHEAD: Time = 1_000_000;

/// How an attempt ended that was answered with an error of this code.
pub fn of_code(code: &str) -> End {
    match code {
        // Not the primary; too far behind.
        "25006" | "72000" => End::TurnedAway,
        "53300" => End::Full,
        // Of these classes the statement is at fault: a further host would say the same.
        code if ["08P01", "0A", "22", "42"].iter().any(|class| code.starts_with(class)) => End::Unusable,
        _ => End::HostError,
    }
}

/// Whether a load report can be: nothing in it is negative, not a number, or a position further ahead of this gateway's
/// clock than clocks differ. One that cannot is dropped whole; the answer that it came with holds.
pub fn report_can_be(report: &Report, now: Time) -> bool {
    let sound = |figure: Option<f64>| figure.is_none_or(|figure| figure.is_finite() && figure >= 0.0);
    let position = report.position.is_none_or(|at| at >= 0 && at <= now + AHEAD);
    position && sound(report.waiting) && sound(report.busy)
}

/// A position that was told in Unix milliseconds. One clock is read by all: what lies ahead of it by more than clocks
/// may differ was not read but made up.
pub fn position(ms: Time, now: Time) -> Option<Time> {
    ms.checked_mul(1000).filter(|at| *at > 0 && *at <= now + AHEAD)
}
