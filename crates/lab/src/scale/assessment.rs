//! The result of a scale run: its checks and its figures.

use super::metrics::{Metric, LEADERSHIP_METRICS, SESSION_METRICS};
use super::projection::{furthest_over_budget, Prediction, Projection};
use super::role_costs::{Cost, MeasuredFleet};
use super::run_parameters::Mode;
use super::FIGURES_VERSION;
use crate::error::LabError;
use crate::measure::machine_kb;
use crate::report::Verdict;
use crate::Options;
use serde_json::{json, Value};
use std::time::Duration;

/// Maximum number of processes of one fleet.
const MAX_PROCESSES: usize = 200;
/// Maximum duration of a full run.
const FULL_RUN_LIMIT: Duration = Duration::from_secs(180);
/// Maximum duration of a short run.
const SHORT_RUN_LIMIT: Duration = Duration::from_secs(60);
/// Maximum difference between the costs of hollow and real gateways, relative to the larger one.
const MAX_DIFFERENCE: f64 = 0.2;
/// Maximum growth of a gateway's state while a fleet is observed, relative to its entries.
const MAX_GROWTH: f64 = 0.05;
/// Growth that is always allowed (entries).
const MAX_GROWTH_ENTRIES: f64 = 10.0;

/// The entries of a gateway's state at two times.
pub(super) struct StateGrowth {
    pub(super) first: f64,
    pub(super) last: f64,
}

impl StateGrowth {
    fn is_bounded(&self) -> bool {
        self.last <= self.first * (1.0 + MAX_GROWTH) + MAX_GROWTH_ENTRIES
    }
}

/// The costs of idle hollow gateways and of real ones, in one fleet.
pub(super) struct CostPair {
    pub(super) hollow: Cost,
    pub(super) real: Cost,
}

/// A cost of hollow and of real gateways, over all fleets.
struct Comparison {
    name: &'static str,
    hollow: f64,
    real: f64,
}

impl Comparison {
    fn is_alike(&self) -> bool {
        let difference = (self.hollow - self.real).abs();
        difference / self.real.max(self.hollow).max(1e-9) <= MAX_DIFFERENCE
    }

    fn json(&self) -> Value {
        json!({ "figure": self.name, "hollow": rounded(self.hollow), "real": rounded(self.real) })
    }
}

/// Everything that a run measured.
pub(super) struct Measurements {
    /// Fleets with leadership roles.
    pub(super) leadership: Vec<MeasuredFleet>,
    /// Fleets that exchange watermarks of sessions.
    pub(super) sessions: Vec<MeasuredFleet>,
    pub(super) predictions: Vec<Prediction>,
    pub(super) projections: Vec<Projection>,
    /// Figures of the fleet's faults.
    pub(super) faults: Value,
    pub(super) cost_pairs: Vec<CostPair>,
    pub(super) growth: Vec<StateGrowth>,
    /// Maximum number of processes of one fleet.
    pub(super) processes: usize,
    /// Minimum of the available memory while a fleet ran (kB).
    pub(super) least_available_kb: u64,
    pub(super) lease_ms: u64,
    pub(super) duration: Duration,
}

impl Measurements {
    /// Checks everything but the faults.
    pub(super) fn judge(&self, verdict: &mut Verdict, options: &Options) -> Result<(), LabError> {
        self.check_predictions(verdict);
        for comparison in self.comparisons() {
            let Comparison { name, hollow, real } = &comparison;
            let text =
                format!("a hollow gateway costs in {name} what a real one does: {hollow:.0}, {real:.0}");
            verdict.check(text, comparison.is_alike());
        }
        for growth in self.growth.iter().filter(|growth| !growth.is_bounded()) {
            let StateGrowth { first, last } = growth;
            verdict
                .check(format!("state does not grow with time: {first:.0}, then {last:.0} entries"), false);
        }
        let (limit, duration) = (if options.short { SHORT_RUN_LIMIT } else { FULL_RUN_LIMIT }, self.duration);
        let text = format!("the run took no longer than {limit:?}: {duration:?}");
        verdict.check(text, duration <= limit);
        let text = format!("no more than {MAX_PROCESSES} processes: {}", self.processes);
        verdict.check(text, self.processes <= MAX_PROCESSES);
        let is_half_free = self.least_available_kb * 2 >= machine_kb()?;
        verdict.check("half of the machine's memory was free at each look", is_half_free);
        Ok(())
    }

    fn check_predictions(&self, verdict: &mut Verdict) {
        for Prediction { figure, predicted, measured, size, holds } in &self.predictions {
            if !holds {
                let text =
                    format!("{figure} at {size:?}: {predicted:.0} was predicted, {measured:.0} measured");
                verdict.check(text, false);
            }
        }
        verdict.check("the largest sizes were predicted", !self.predictions.is_empty());
    }

    fn comparisons(&self) -> [Comparison; 5] {
        let fleets = self.cost_pairs.len().max(1) as f64;
        let compare = |name, value: fn(&Cost) -> f64| Comparison {
            name,
            hollow: self.cost_pairs.iter().map(|pair| value(&pair.hollow)).sum::<f64>() / fleets,
            real: self.cost_pairs.iter().map(|pair| value(&pair.real)).sum::<f64>() / fleets,
        };
        [
            compare("datagrams in a second", |cost| cost.datagrams_in),
            compare("datagrams out a second", |cost| cost.datagrams_out),
            compare("bytes of datagrams a second", |cost| cost.bytes_in + cost.bytes_out),
            compare("bytes of lists a second", |cost| cost.list_bytes),
            compare("microseconds of processor time a second", |cost| cost.cpu_us),
        ]
    }

    /// All figures as JSON.
    pub(super) fn json(&self, mode: &Mode, options: &Options) -> Result<Value, LabError> {
        let compared: Vec<Value> = self.comparisons().iter().map(Comparison::json).collect();
        let furthest = furthest_over_budget(&self.projections);
        Ok(json!({
            "version": FIGURES_VERSION,
            "mode": mode.name,
            "short": options.short,
            "machine": { "cores": std::thread::available_parallelism()?.get(), "memory_kb": machine_kb()? },
            "commit": checked_out_commit(),
            "lease_ms": self.lease_ms,
            "took_s": self.duration.as_secs(),
            "processes": self.processes,
            "duties": measured_json(&self.leadership, &LEADERSHIP_METRICS),
            "marks": measured_json(&self.sessions, &SESSION_METRICS),
            "predictions": self.predictions,
            "reckoned": self.projections,
            "compared": compared,
            "troubles": self.faults,
            "missing_first": furthest.map(|projection| format!("{}: {}", projection.role, projection.name)),
        }))
    }
}

fn measured_json(measured: &[MeasuredFleet], metrics: &[Metric]) -> Vec<Value> {
    let fleet_json = |MeasuredFleet { size, costs }: &MeasuredFleet| {
        let values = metrics.iter().map(|metric| json!([metric.full_name(), rounded((metric.value)(costs))]));
        json!({ "size": size, "measured": values.collect::<Vec<Value>>() })
    };
    measured.iter().map(fleet_json).collect()
}

/// A figure with two decimals.
fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// The checked out commit, if any.
fn checked_out_commit() -> Option<String> {
    let output = std::process::Command::new("git").args(["rev-parse", "--short", "HEAD"]).output().ok()?;
    String::from_utf8(output.stdout).ok().map(|text| text.trim().to_string())
}
