//! Parses what a host reports about itself with an answer: its role, its log position and its load.

use crate::facade::Outcome;
use crate::postgres::Parameter;
use crate::resources::counters::Counters;
use crate::settings::deployment;
use crate::{Report, Role};
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::verdict;

/// Builds the outcome of an attempt from its ending and the parameters that the host sent with its answer. A
/// malformed or implausible load report is ignored and counted.
pub(super) fn parse_outcome(end: End, parameters: &[Parameter], counters: &Counters) -> Outcome {
    let mut outcome = Outcome::without_report(end.to_router_ending());
    outcome.is_unusable = end == End::Unusable;
    for Parameter { name, value } in parameters {
        match name.as_str() {
            "replication_role" => {
                outcome.role = match value.as_str() {
                    "primary" => Some(Role::Primary),
                    "standby" => Some(Role::Replica),
                    _ => None,
                }
            }
            "log_position" => {
                outcome.position = value.parse().ok().and_then(verdict::position_from_millis);
            }
            "pressure" => match parse_load_report(value) {
                Some(report) => outcome.report = report,
                None => counters.bad_reports.add(),
            },
            _ => {}
        }
    }
    outcome
}

/// Parses a load report: comma-separated `name=value` pairs, with positions as Unix times in seconds. Returns
/// none if it is malformed or implausible.
fn parse_load_report(text: &str) -> Option<Report> {
    let parse_pair = |pair: &str| -> Option<(String, f64)> {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0)?;
        Some((name.trim().to_string(), value))
    };
    let pairs: Vec<(String, f64)> = text.split(',').map(parse_pair).collect::<Option<_>>()?;
    let report = deployment::load_report(0, pairs.iter().map(|(name, value)| (name.as_str(), *value)));
    verdict::is_plausible_report(&report).then_some(report)
}
