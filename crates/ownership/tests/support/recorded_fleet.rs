//! The fleet whose outputs are recorded as digests: five gateways, three of them acceptors.

use petrelgauge_ownership::{GatewayId, Settings};
use petrelgauge_policy::Time;

pub const GATEWAYS: u16 = 5;
pub const LEASE: Time = 400_000;
pub const MAX_DELAY: Time = 20_000;
/// Time between two steps of every gateway.
pub const STEP: Time = 5_000;

pub fn settings(self_id: GatewayId) -> Settings {
    Settings {
        self_id,
        gateways: GATEWAYS,
        acceptors: vec![0, 2, 4],
        lease: LEASE,
        drift_bound: 0.02,
        max_delay: MAX_DELAY,
    }
}
