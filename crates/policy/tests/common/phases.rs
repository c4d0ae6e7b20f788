//! The settings of each phase of a seeded workload.

use super::{settings, MS};
use petrelgauge_policy::*;

/// The settings of a phase. All phases have the same classes, so that open requests stay valid.
pub fn phase_settings(phase: usize) -> Settings {
    let base = Settings { crossing_price: 0.01, read_wait_bound: 60 * MS, ..settings() };
    match phase % 5 {
        0 => base,
        1 => Settings { may_probe: false, routers: 20, list_role: ListRole::Trailing, ..base },
        2 => Settings {
            stale_read_policy: StaleReadPolicy::Serve,
            list_on_request: true,
            list_poll_interval: 1_000 * MS,
            ..base
        },
        3 => Settings {
            may_probe: false,
            soft_removal: true,
            discovery_interval_factor: 3,
            max_open_requests: 60,
            ..base
        },
        _ => Settings {
            may_hedge: true,
            routers: 3,
            list_role: ListRole::Absent,
            slow_start_span: 4_000 * MS,
            ..base
        },
    }
}
