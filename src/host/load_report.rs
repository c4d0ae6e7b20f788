//! What a host says of itself beside an answer: its role, its log position and its load report.

use crate::facade::Outcome;
use crate::resources::counters::Counters;
use crate::settings::deployment;
use crate::{Report, Role};
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::verdict;

/// What the decisions learn from an answered attempt. `parameters` are the names and values of the ParameterStatus messages that came
/// with the answer; a load report that makes no sense is dropped and counted.
pub(super) fn outcome(end: End, parameters: &[(String, String)], counters: &Counters) -> Outcome {
    let mut outcome = Outcome::silent(end.as_ending());
    outcome.is_unusable = end == End::Unusable;
    for (name, value) in parameters {
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
            "pressure" => match load_report(value) {
                Some(report) => outcome.report = report,
                None => counters.bad_reports.add(),
            },
            _ => {}
        }
    }
    outcome
}

/// A load report: names and values, positions as Unix times in seconds. None if it makes no sense.
fn load_report(text: &str) -> Option<Report> {
    let pair = |pair: &str| -> Option<(String, f64)> {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0)?;
        Some((name.trim().to_string(), value))
    };
    let pairs: Vec<(String, f64)> = text.split(',').map(pair).collect::<Option<_>>()?;
    let report = deployment::load_report(0, pairs.iter().map(|(name, value)| (name.as_str(), *value)));
    verdict::is_plausible_report(&report).then_some(report)
}
