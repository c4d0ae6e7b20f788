//! The settings that a seeded workload goes through.

use super::{settings, MS};
use petrelgauge_policy::*;

/// The settings of a phase; all phases have the same classes, so that open requests keep theirs.
pub fn phase_settings(phase: usize) -> Settings {
    let base = Settings { crossing_price: 0.01, hold: 60 * MS, ..settings() };
    match phase % 5 {
        0 => base,
        1 => Settings { may_probe: false, routers: 20, list_role: ListRole::Trailing, ..base },
        2 => Settings { behind: Behind::Serve, list_on_request: true, ask_every: 1_000 * MS, ..base },
        3 => Settings { may_probe: false, soft_removal: true, scout_every: 3, most_open: 60, ..base },
        _ => Settings {
            may_hedge: true,
            routers: 3,
            list_role: ListRole::Absent,
            cold_for: 4_000 * MS,
            ..base
        },
    }
}
