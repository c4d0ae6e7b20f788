//! Load reports of hosts. The deployment's settings name their values.

use crate::{Report, Role, Time};

/// Microseconds in a second, the unit of reported positions.
const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// Smallest value of a reported role that means a primary.
const MIN_PRIMARY_ROLE: f64 = 0.5;

/// Builds a load report from named values. Positions are in seconds since `position_origin` (microseconds).
/// Unknown names are ignored.
pub fn load_report<'a>(position_origin: Time, values: impl Iterator<Item = (&'a str, f64)>) -> Report {
    let mut report = Report::default();
    for (name, value) in values {
        match name {
            "x0" if value > 0.0 => {
                let position = (value * MICROSECONDS_PER_SECOND) as Time;
                report.position = Some(position_origin.saturating_add(position));
            }
            "x1" => {
                report.role = Some(if value >= MIN_PRIMARY_ROLE { Role::Primary } else { Role::Replica });
            }
            "q" => report.waiting = Some(value),
            "busy" => report.busy = Some(value),
            _ => {}
        }
    }
    report
}
