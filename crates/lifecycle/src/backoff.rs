//! The pause before a watch of the discovery service is retried: exponential backoff with full jitter.
//!
//! The discovery address is that of an agent on the gateway's own machine, which responds at once. The first
//! call is cheap and is sent without a pause, however many gateways there are: a gateway is expected to know
//! what the agent knows, and one that restarts with an old list must not wait. Only a rejected call is a sign
//! that the gateways together overload the service. The pause then depends on the number of gateways: with a
//! fixed pause of 200 ms, a hundred gateways call 500 times a second, and a service that can answer fewer
//! calls would reject nearly all of them, for good.

use petrelgauge_policy::Time;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Mean pause after a watch that fell silent, broke or was never established (microseconds). Two timeouts of
/// 3 s, with the pauses after them, then fit into the 8 s within which an endpoint update has to be known (6
/// s) and applied (2 s).
pub const FIRST_MEAN: Time = 200_000;
/// Most doublings of a mean (count).
const MAX_DOUBLINGS: u32 = 2;
/// The longest mean while calls are not answered (microseconds): an update that the agent gets when the
/// service returns has to be applied within 2 s, and the service may return at the beginning of a pause.
const MAX_MEAN_UNANSWERED: Time = 400_000;
/// After a rejected call, the part of the mean for each gateway (microseconds): together they send one call
/// in this time.
const MEAN_PER_GATEWAY: Time = 25_000;
/// The longest mean after a rejected call (microseconds). No pause is longer than twice that.
pub const MAX_MEAN: Time = 4_000_000;

/// Why a call or watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The service rejected it with a status that means to retry later.
    Rejected,
    /// It broke, timed out or was never established.
    Lost,
}

/// Backoff state of one gateway; of fixed size.
#[derive(Clone, Debug)]
pub struct Backoff {
    mean_after_rejection: Time,
    failures: u32,
    rng: Pcg64Mcg,
}

impl Backoff {
    /// The backoff of one of `gateways` gateways. The jitter is seeded by `seed`.
    pub fn new(gateways: u32, seed: u64) -> Backoff {
        let mean_after_rejection =
            MEAN_PER_GATEWAY.saturating_mul(gateways.into()).clamp(FIRST_MEAN, MAX_MEAN);
        Backoff { mean_after_rejection, failures: 0, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Records that a call succeeded: the next pause is as short as the first one.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The pause (microseconds) after a failure: uniform up to twice the mean, which doubles with each
    /// consecutive failure.
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
