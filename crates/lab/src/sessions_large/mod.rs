//! Experiment `sessions-large`: the session tracker alone, in simulated time, at a size that no one machine holds.
//!
//! | file | what it plays |
//! | --- | --- |
//! | `single_tracker.rs` | one tracker under ten million sessions: memory, false minimum positions, time of each operation |
//! | `tier.rs` | 200 instances at 50,000 requests a second, with a wave of restarts |
//! | `broadcasts.rs` | what watermark broadcasts cost as a deployment grows |

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

/// Faults that can be injected and must make the experiment fail: a tracker that forgets all sessions; tokens whose
/// watermarks are zero.
pub const INJECTED_FAULTS: [&str; 2] = ["forgets", "zeroed"];

/// A millisecond in the tracker's unit of time.
const MILLISECOND: Time = 1_000;
/// When the simulated time begins (microseconds).
const START: Time = 1_000_000_000_000;
/// Secret of tokens and broadcasts.
const SECRET: u64 = 0x1a46e;
/// Sessions of the single tracker.
const SESSIONS: u64 = 10_000_000;
/// The tier of a full run.
const FULL_TIER: TierSize = TierSize { instances: 200, requests_per_second: 50_000, seconds: 60 };
/// How many times smaller a short run is.
const SHORT_PART: u64 = 10;

/// Runs the experiment.
///
/// # Errors
///
/// Never fails: it opens nothing that could. Every experiment has this signature.
pub fn run(options: &Options) -> Result<Verdict, LabError> {
    let mut verdict = Verdict::new("sessions-large", options.seed);
    let part = if options.short { SHORT_PART } else { 1 };
    let tier_size = TierSize { seconds: FULL_TIER.seconds / part, ..FULL_TIER };
    let tracker = single_tracker::play(&mut verdict, options, SESSIONS / part);
    let tier = tier::play(&mut verdict, options, tier_size);
    let broadcasts = broadcasts::play(&mut verdict, options.seed);
    verdict.figures = json!({ "one_keeper": tracker, "tier": tier, "bulletins": broadcasts });
    Ok(verdict)
}

/// Nanoseconds since an instant for each of this many operations, rounded.
fn nanoseconds_each(since: Instant, operations: u64) -> f64 {
    (since.elapsed().as_nanos() as f64 / operations.max(1) as f64).round()
}

/// The share of a count in a whole.
fn share(count: u64, whole: u64) -> f64 {
    count as f64 / whole.max(1) as f64
}
