//! What a host's answer says of an attempt.

use crate::ending::End;
use petrelgauge_policy::{Report, Time};

/// How an attempt ended that was answered with an error of this code.
pub fn end_for_code(code: &str) -> End {
    match code {
        // Not the primary; too far behind.
        "25006" | "72000" => End::Rejected,
        "53300" => End::QueueFull,
        // Of these classes the statement is at fault: a further host would say the same.
        code if ["08P01", "0A", "22", "42"].iter().any(|class| code.starts_with(class)) => End::Unusable,
        _ => End::HostError,
    }
}

/// Whether a load report can be: nothing in it is negative or not a number. One that cannot is dropped whole; the answer
/// that it came with holds. Whether its position can be is asked of the hosts' clock; see
/// [`RequestTable::validate_times`](crate::request_table::RequestTable::validate_times).
pub fn is_plausible_report(report: &Report) -> bool {
    let sound = |figure: Option<f64>| figure.is_none_or(|figure| figure.is_finite() && figure >= 0.0);
    report.position.is_none_or(|at| at >= 0) && sound(report.waiting) && sound(report.busy)
}

/// A position that was told in Unix milliseconds, by the hosts' clock.
pub fn position_from_millis(ms: Time) -> Option<Time> {
    ms.checked_mul(1000).filter(|at| *at > 0)
}
