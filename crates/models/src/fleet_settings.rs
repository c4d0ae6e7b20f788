//! Settings of leases for the models of leadership: three gateways, all of them acceptors, and clocks that
//! don't drift.

use petrelgauge_ownership::{GatewayId, Settings};
use petrelgauge_policy::Time;

/// Duration of a lease (microseconds).
pub(crate) const LEASE: Time = 8_000;

/// The settings of one gateway.
pub(crate) fn settings(self_id: GatewayId) -> Settings {
    Settings {
        self_id,
        gateways: 3,
        acceptors: vec![0, 1, 2],
        lease: LEASE,
        drift_bound: 0.0,
        max_delay: 1_000,
    }
}
