//! The pause before a watch of discovery that ended is taken up again: exponential backoff with full jitter.
//!
//! The address of discovery is that of an agent on the gateway's own machine, which answers at once. A first call
//! costs nobody anything and goes out at once, however many gateways there are: what the agent holds counts as told,
//! and a gateway that starts again with an old list must not wait. Only a call that is answered with a refusal tells of
//! a service that all gateways overload. Then the number of gateways sets the pause: with a fixed one of 200 ms a hundred
//! of them call 500 times a second, and a service that can answer fewer turns nearly all of them away, for good.

use petrelgauge_policy::Time;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Mean pause after a watch that fell silent, broke or never came up (microseconds). Two silences of 3 s, with the
/// pauses after them, then fit into the 8 s in which news counts as told (6 s) and has to be heeded (2 s).
pub const FIRST_MEAN: Time = 200_000;
/// Most doublings of any mean (count).
const MAX_DOUBLINGS: u32 = 2;
/// The longest mean while nobody answers (microseconds): what the agent gets when discovery returns counts at once and
/// binds 2 s later, and a return may fall into the beginning of a pause.
const MAX_MEAN_UNANSWERED: Time = 400_000;
/// After a refusal, the part of the mean for each gateway (microseconds): together they call so many times a second.
const MEAN_PER_GATEWAY: Time = 25_000;
/// The longest mean after a refusal (microseconds), so that no pause is over twice that.
pub const MAX_MEAN: Time = 4_000_000;

/// Why the last call or watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It was rejected with a status that means: retry later.
    Rejected,
    /// It broke, timed out or was never established.
    Lost,
}

/// Backoff state of one gateway; of fixed size.
#[derive(Clone, Debug)]
pub struct Backoff {
    mean_after_refusal: Time,
    failures: u32,
    rng: Pcg64Mcg,
}

impl Backoff {
    /// For one of so many gateways. The jitter is seeded by `seed`.
    pub fn new(gateways: u32, seed: u64) -> Backoff {
        let mean_after_refusal = MEAN_PER_GATEWAY.saturating_mul(gateways.into()).clamp(FIRST_MEAN, MAX_MEAN);
        Backoff { mean_after_refusal, failures: 0, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// A call succeeded: the next pause is a first one again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The pause (microseconds) after a failure: uniform up to twice the mean, which doubles with each consecutive failure.
    pub fn pause(&mut self, cause: Cause) -> Time {
        let (mean, max_mean) = match cause {
            Cause::Rejected => (self.mean_after_refusal, MAX_MEAN),
            Cause::Lost => (FIRST_MEAN, MAX_MEAN_UNANSWERED),
        };
        let mean = mean.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS)).min(max_mean);
        self.failures = self.failures.saturating_add(1);
        (self.rng.next_u64() % (2 * mean) as u64) as Time
    }
}
