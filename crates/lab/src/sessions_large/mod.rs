//! Experiment `sessions-large`: the session tracker in simulated time, at a size that no single machine could
//! run.
//!
//! | file | what it simulates |
//! | --- | --- |
//! | `single_tracker.rs` | one tracker with ten million sessions: memory, overestimated watermarks, time of operations |
//! | `tier.rs` | 200 instances at 50,000 requests per second, with a wave of restarts |
//! | `broadcasts.rs` | the cost of watermark broadcasts as a deployment grows |

mod broadcasts;
mod single_tracker;
mod tier;

use crate::error::LabError;
use crate::report::Verdict;
use crate::Options;
use petrelgauge::Time;
use serde_json::json;
use std::time::Instant;
use tier::TierSize;

/// Faults that can be injected and must make the experiment fail: a tracker that forgets all sessions; tokens
/// whose watermarks are zero.
pub const INJECTED_FAULTS: [&str; 2] = ["forgets", "zeroed"];

/// A millisecond in microseconds.
const MILLISECOND: Time = 1_000;
/// Start of the simulated time (microseconds).
const START: Time = 1_000_000_000_000;
/// Secret of tokens and broadcasts.
const SECRET: u64 = 0x1a46e;
/// Sessions of the single tracker.
const SESSIONS: u64 = 10_000_000;
/// The tier of a full run.
const FULL_TIER: TierSize = TierSize { instances: 200, requests_per_second: 50_000, seconds: 60 };
/// A short run is smaller by this factor.
const SHORT_DIVISOR: u64 = 10;

/// Runs the experiment.
///
/// # Errors
///
/// Never fails; the signature is that of all experiments.
pub fn run(options: &Options) -> Result<Verdict, LabError> {
    let mut verdict = Verdict::new("sessions-large", options.seed);
    let divisor = if options.short { SHORT_DIVISOR } else { 1 };
    let tier_size = TierSize { seconds: FULL_TIER.seconds / divisor, ..FULL_TIER };
    let tracker = single_tracker::play(&mut verdict, options, SESSIONS / divisor);
    let tier = tier::play(&mut verdict, options, tier_size);
    let broadcasts = broadcasts::play(&mut verdict, options.seed);
    verdict.figures = json!({ "one_keeper": tracker, "tier": tier, "bulletins": broadcasts });
    Ok(verdict)
}

/// Mean duration of this many operations since an instant (nanoseconds), rounded.
fn nanoseconds_each(since: Instant, operations: u64) -> f64 {
    (since.elapsed().as_nanos() as f64 / operations.max(1) as f64).round()
}

/// The share of a count in a whole.
fn share(count: u64, whole: u64) -> f64 {
    count as f64 / whole.max(1) as f64
}
