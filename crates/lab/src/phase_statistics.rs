//! Counts and latencies of the reads of one phase of an experiment.

use hdrhistogram::Histogram;
use serde_json::{json, Value};

/// Maximum latency that the histogram distinguishes (microseconds): longer than any client waits.
const MAX_LATENCY_US: u64 = 10_000_000;
/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 2;

/// Statistics of the reads of one phase.
pub struct PhaseStatistics {
    /// Name of the phase.
    pub name: &'static str,
    /// Reads that clients sent.
    pub requested: u64,
    /// Reads answered with a row.
    pub served: u64,
    /// Reads that were rejected.
    pub rejected: u64,
    /// Reads that failed or got no answer.
    pub failed: u64,
    /// Reads that the primary executed.
    pub at_primary: u64,
    /// Reads that an oracle could have sent to a replica.
    pub oracle: u64,
    latencies: Histogram<u64>,
}

impl PhaseStatistics {
    /// Empty statistics.
    pub fn new(name: &'static str) -> PhaseStatistics {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
        let latencies = latencies.unwrap_or_else(|cause| unreachable!("constant bounds: {cause}"));
        PhaseStatistics {
            name,
            requested: 0,
            served: 0,
            rejected: 0,
            failed: 0,
            at_primary: 0,
            oracle: 0,
            latencies,
        }
    }

    /// Records the latency of a served read (microseconds).
    pub fn record_latency(&mut self, latency_us: i64) {
        self.latencies.saturating_record(latency_us.max(1) as u64);
    }

    /// Share of the served reads that replicas served.
    pub fn replica_share(&self) -> f64 {
        1.0 - self.at_primary as f64 / self.served.max(1) as f64
    }

    /// Share of the requested reads that an oracle could have sent to a replica.
    pub fn oracle_share(&self) -> f64 {
        self.oracle as f64 / self.requested.max(1) as f64
    }

    /// Share of the requested reads that were served.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.requested.max(1) as f64
    }

    /// The quantile of the served reads' latencies for this share (milliseconds).
    pub fn latency_quantile_ms(&self, share: f64) -> f64 {
        self.latencies.value_at_quantile(share) as f64 / 1000.0
    }

    /// All figures as JSON.
    pub fn json(&self) -> Value {
        let round = |value: f64| (value * 1000.0).round() / 1000.0;
        json!({
            "reads": self.requested, "served": self.served, "refused": self.rejected, "failed": self.failed,
            "replica_share": round(self.replica_share()), "oracle_share": round(self.oracle_share()),
            "p50_ms": round(self.latency_quantile_ms(0.5)), "p99_ms": round(self.latency_quantile_ms(0.99)),
        })
    }
}
