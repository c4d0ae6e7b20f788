//! Interprets a host's answer: how the attempt ended, and whether its report is plausible.

use crate::ending::End;
use petrelgauge_policy::{Report, Time};

const MICROSECONDS_PER_MILLISECOND: Time = 1_000;

/// How an attempt ended that got this SQLSTATE as its answer.
pub fn end_for_code(code: &str) -> End {
    match code {
        // Not the primary; its data are too old.
        "25006" | "72000" => End::Rejected,
        "53300" => End::QueueFull,
        // Error classes for faults of the statement itself: another host would respond with the same.
        code if ["08P01", "0A", "22", "42"].iter().any(|class| code.starts_with(class)) => End::Unusable,
        _ => End::HostError,
    }
}

/// Whether a load report is plausible: nothing in it is negative or not a number. An implausible one is
/// dropped as a whole; the answer that it came with remains valid. Positions are compared with the hosts'
/// clock elsewhere; see [`RequestTable::validate_times`](crate::request_table::RequestTable::validate_times).
pub fn is_plausible_report(report: &Report) -> bool {
    let is_plausible = |figure: Option<f64>| figure.is_none_or(|figure| figure.is_finite() && figure >= 0.0);
    report.position.is_none_or(|at| at >= 0) && is_plausible(report.waiting) && is_plausible(report.busy)
}

/// The position (microseconds, by the hosts' clock) that a host reported in Unix milliseconds. None if it is
/// out of range.
pub fn position_from_millis(millis: Time) -> Option<Time> {
    millis.checked_mul(MICROSECONDS_PER_MILLISECOND).filter(|at| *at > 0)
}
