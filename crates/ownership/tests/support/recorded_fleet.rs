//! Settings of the fleet in the golden tests: five gateways, of which three are acceptors.

use petrelgauge_ownership::{GatewayId, Settings};
use petrelgauge_policy::Time;

pub const GATEWAYS: u16 = 5;
pub const LEASE: Time = 400_000;
pub const MAX_DELAY: Time = 20_000;
/// Interval between steps of each gateway.
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
