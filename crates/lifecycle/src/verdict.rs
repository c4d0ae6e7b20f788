//! Interprets a host's answer: how the attempt ended, and whether its report is plausible.

use crate::ending::End;
use petrelgauge_policy::{Report, Time};

const MICROSECONDS_PER_MILLISECOND: Time = 1_000;

/// How an attempt ended whose answer is an error with this SQLSTATE.
pub fn end_for_code(code: &str) -> End {
    match code {
        // The host is not the primary, or its data are too old.
        "25006" | "72000" => End::Rejected,
        "53300" => End::QueueFull,
        // Errors in the statement itself: any other host would return the same.
        code if ["08P01", "0A", "22", "42"].iter().any(|class| code.starts_with(class)) => End::Unusable,
        _ => End::HostError,
    }
}

/// Whether a load report is plausible: no value in it is negative, infinite or NaN. An implausible report is
/// dropped as a whole; the answer that it came with remains valid. Positions are compared with the hosts'
/// clock separately; see
/// [`RequestTable::validate_times`](crate::request_table::RequestTable::validate_times).
pub fn is_plausible_report(report: &Report) -> bool {
    let is_plausible = |value: Option<f64>| value.is_none_or(|value| value.is_finite() && value >= 0.0);
    report.position.is_none_or(|at| at >= 0) && is_plausible(report.waiting) && is_plausible(report.busy)
}

/// Converts a position from Unix milliseconds, as hosts report it, to microseconds on the hosts' clock. None
/// if it is out of range.
pub fn position_from_millis(millis: Time) -> Option<Time> {
    millis.checked_mul(MICROSECONDS_PER_MILLISECOND).filter(|at| *at > 0)
}
