//! The pause before a watch of the discovery service is retried: exponential backoff with full jitter.
//!
//! The discovery address is that of an agent on the gateway's own machine, which responds at once. The first
//! call is cheap and is sent without a pause, however many gateways there are: a gateway is expected to know
//! the agent's endpoint list, and one that restarts with an old list must not wait. Only a rejected call
//! indicates that the gateways together overload the service. The pause then depends on the number of
//! gateways: with a fixed pause of 200 ms, a hundred gateways send 500 calls per second, and a service with a
//! lower capacity would reject nearly all of them, permanently.

use petrelgauge_policy::Time;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Mean pause after a watch that timed out, broke or was never established (microseconds). Two timeouts of
/// 3 s and the pauses after them then fit into the 8 s within which an endpoint update has to be known (6 s)
/// and applied (2 s).
pub const FIRST_MEAN: Time = 200_000;
/// Maximum number of doublings of a mean.
const MAX_DOUBLINGS: u32 = 2;
/// The longest mean while calls are not answered (microseconds): an update that the agent gets when the
/// service recovers has to be applied within 2 s, and the service may recover at the beginning of a pause.
const MAX_MEAN_UNANSWERED: Time = 400_000;
/// Mean pause after a rejected call, per gateway (microseconds): all gateways together then send one call per
/// this interval on average.
const MEAN_PER_GATEWAY: Time = 25_000;
/// The longest mean after a rejected call (microseconds). Pauses are shorter than twice this.
pub const MAX_MEAN: Time = 4_000_000;

/// Why a call or watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The service rejected it with a status that means to retry later.
    Rejected,
    /// It broke, timed out or was never established.
    Lost,
}

/// Backoff state of one gateway, of fixed size.
#[derive(Clone, Debug)]
pub struct Backoff {
    mean_after_rejection: Time,
    failures: u32,
    rng: Pcg64Mcg,
}

impl Backoff {
    /// The backoff of a gateway in a fleet of `gateways`. `seed` seeds the jitter.
    pub fn new(gateways: u32, seed: u64) -> Backoff {
        let mean_after_rejection =
            MEAN_PER_GATEWAY.saturating_mul(gateways.into()).clamp(FIRST_MEAN, MAX_MEAN);
        Backoff { mean_after_rejection, failures: 0, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Records that a call succeeded: the next pause has the initial mean.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The pause (microseconds) after a failure: uniformly distributed between 0 and twice the mean, which
    /// doubles with each consecutive failure.
    pub fn pause(&mut self, cause: Cause) -> Time {
        let (mean, max_mean) = match cause {
            Cause::Rejected => (self.mean_after_rejection, MAX_MEAN),
            Cause::Lost => (FIRST_MEAN, MAX_MEAN_UNANSWERED),
        };
        let mean = mean.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS)).min(max_mean);
        self.failures = self.failures.saturating_add(1);
        (self.rng.next_u64() % (2 * mean) as u64) as Time
    }
}
