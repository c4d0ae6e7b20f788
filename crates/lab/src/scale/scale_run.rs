//! A run of a scale experiment: measures fleets of growing size, predicts the costs of the largest ones, and
//! injects faults.

use super::assessment::{CostPair, Measurements, StateGrowth};
use super::faults;
use super::fleet::Fleet;
use super::fleet_plan::{FleetPlan, FleetTraffic, REAL_GATEWAYS};
use super::fleet_size::FleetSize;
use super::metrics::{Metric, LEADERSHIP_METRICS, SESSION_METRICS};
use super::projection::{project, Prediction};
use super::protocol::InjectedFault;
use super::role_costs::{Costs, MeasuredFleet};
use super::run_parameters::{Axes, Mode, PlannedSize, RunDurations};
use crate::error::LabError;
use crate::measure::available_kb;
use crate::report::Verdict;
use crate::Options;
use serde_json::Value;
use std::time::{Duration, Instant};

/// Parts of a measuring window, whose processor times are compared.
const WINDOW_PARTS: u32 = 4;
/// Maximum time until all gateways know a lease holder of every leadership role.
const LEASES_LIMIT: Duration = Duration::from_secs(20);
/// Fleets that exchange watermarks are observed for 1 / `SESSION_WINDOW_DIVISOR` of the window: watermarks
/// are sent at a steady rate.
const SESSION_WINDOW_DIVISOR: u32 = 2;

/// A metric with its predicted value.
struct PredictedMetric {
    metric: &'static Metric,
    value: f64,
}

/// A run of the experiment.
pub(super) struct ScaleRun<'a> {
    mode: &'a Mode,
    options: &'a Options,
    durations: RunDurations,
    injected_fault: Option<InjectedFault>,
    cost_pairs: Vec<CostPair>,
    growth: Vec<StateGrowth>,
    processes: usize,
    least_available_kb: u64,
}

impl<'a> ScaleRun<'a> {
    pub(super) fn new(mode: &'a Mode, options: &'a Options) -> ScaleRun<'a> {
        let injected_fault = match options.injected_fault.as_deref() {
            Some("flood") => Some(InjectedFault::Flood),
            Some(_) => Some(InjectedFault::Hoard),
            None => None,
        };
        ScaleRun {
            mode,
            options,
            durations: RunDurations::new(options.short),
            injected_fault,
            cost_pairs: Vec::new(),
            growth: Vec::new(),
            processes: 0,
            least_available_kb: u64::MAX,
        }
    }

    /// Runs and checks everything.
    pub(super) async fn play(mut self) -> Result<Verdict, LabError> {
        let began_at = Instant::now();
        let mut verdict = Verdict::new(self.mode.name, self.options.seed);
        let axes = Axes::new(self.options.short);
        let mut predictions = Vec::new();
        let leadership = self.play_leadership(&axes, &mut predictions).await?;
        let sessions = self.play_sessions(&axes, &mut predictions).await?;
        let faults = self.play_faults(axes.base, &mut verdict).await?;
        let mut projections = project(&LEADERSHIP_METRICS, &leadership, self.mode.quota_groups);
        projections.extend(project(&SESSION_METRICS, &sessions, f64::MAX));
        let measurements = Measurements {
            leadership,
            sessions,
            predictions,
            projections,
            faults,
            cost_pairs: self.cost_pairs,
            growth: self.growth,
            processes: self.processes,
            least_available_kb: self.least_available_kb,
            lease_ms: self.durations.lease_ms,
            duration: began_at.elapsed(),
        };
        measurements.judge(&mut verdict, self.options)?;
        verdict.figures = measurements.json(self.mode, self.options)?;
        Ok(verdict)
    }

    /// Measures the fleets with leadership roles. The largest ones are first predicted from the others.
    async fn play_leadership(
        &mut self,
        axes: &Axes,
        predictions: &mut Vec<Prediction>,
    ) -> Result<Vec<MeasuredFleet>, LabError> {
        let mut measured = Vec::new();
        for size in axes.small_sizes() {
            measured.push(self.play_fleet(size, FleetTraffic::Leadership).await?);
        }
        for size in axes.largest_sizes() {
            let predicted = self.predict(&LEADERSHIP_METRICS, &measured, size);
            let fleet = self.play_fleet(size, FleetTraffic::Leadership).await?;
            predictions.extend(compare(&predicted, &fleet));
            measured.push(fleet);
        }
        Ok(measured)
    }

    /// Measures the fleets that exchange watermarks. The last one is first predicted from the others.
    async fn play_sessions(
        &mut self,
        axes: &Axes,
        predictions: &mut Vec<Prediction>,
    ) -> Result<Vec<MeasuredFleet>, LabError> {
        let mut measured = Vec::new();
        let sizes = axes.session_sizes();
        for (index, size) in sizes.into_iter().enumerate() {
            let predicted = self.predict(&SESSION_METRICS, &measured, size);
            let fleet = self.play_fleet(size, FleetTraffic::Sessions).await?;
            if index + 1 == sizes.len() {
                predictions.extend(compare(&predicted, &fleet));
            }
            measured.push(fleet);
        }
        Ok(measured)
    }

    async fn play_faults(&mut self, size: PlannedSize, verdict: &mut Verdict) -> Result<Value, LabError> {
        let mut fleet = self.start_fleet(size, FleetTraffic::Leadership).await?;
        tokio::time::sleep(self.durations.warm_up).await;
        let lease = Duration::from_millis(self.durations.lease_ms);
        let figures = faults::play(&mut fleet, lease, verdict).await?;
        self.record_available_memory()?;
        Ok(figures)
    }

    fn plan(&self, size: PlannedSize, traffic: FleetTraffic) -> FleetPlan {
        let Mode { acceptors, record, lease_holders, .. } = self.mode;
        let lease_ms = self.durations.lease_ms;
        FleetPlan {
            size,
            traffic,
            ownership: format!("electors: {acceptors}\nlease: {lease_ms}ms\ndelay: 40ms\n{record}"),
            acceptors: match traffic {
                FleetTraffic::Leadership => FleetPlan::spread(*acceptors, size.gateways),
                // No leases are granted where only watermarks are exchanged.
                FleetTraffic::Sessions => Vec::new(),
            },
            lease_holders: *lease_holders,
            seed: self.options.seed,
            injected_fault: self.injected_fault,
        }
    }

    /// Starts a fleet and waits until all its leases are held.
    async fn start_fleet(&mut self, size: PlannedSize, traffic: FleetTraffic) -> Result<Fleet, LabError> {
        let mut fleet = Fleet::start(self.plan(size, traffic)).await?;
        self.processes = self.processes.max(fleet.hollow.len() + REAL_GATEWAYS);
        let leases = if traffic == FleetTraffic::Leadership { self.mode.leases } else { 0 };
        fleet
            .wait_until(LEASES_LIMIT, "all lease holders", |gateway| gateway.known_lease_holders >= leases)
            .await?;
        if size.changes_per_minute > 0.0 {
            let changes = fleet.list.clone().keep_changing(size.changes_per_minute, self.options.seed);
            tokio::task::spawn_local(changes);
        }
        Ok(fleet)
    }

    /// Measures the costs of each role in one fleet.
    async fn play_fleet(
        &mut self,
        size: PlannedSize,
        traffic: FleetTraffic,
    ) -> Result<MeasuredFleet, LabError> {
        let mut fleet = self.start_fleet(size, traffic).await?;
        tokio::time::sleep(self.durations.warm_up).await;
        let divisor = if traffic == FleetTraffic::Sessions { SESSION_WINDOW_DIVISOR } else { 1 };
        let mut snapshots = vec![fleet.snapshot().await?];
        for _ in 0..WINDOW_PARTS {
            tokio::time::sleep(self.durations.window / divisor / WINDOW_PARTS).await;
            snapshots.push(fleet.snapshot().await?);
        }
        let (first, last) = (&snapshots[0], &snapshots[WINDOW_PARTS as usize]);
        // Other work of the machine only adds processor time, so the lowest of the parts is closest to the
        // fleet's own.
        let parts = snapshots.windows(2).map(|pair| fleet.costs(&pair[0], &pair[1]));
        let costs = parts.fold(fleet.costs(first, last), Costs::with_least_cpu);
        let first_entries = fleet.costs(first, first).gateway.entries;
        self.growth.push(StateGrowth { first: first_entries, last: costs.gateway.entries });
        self.cost_pairs.push(CostPair { hollow: costs.idle, real: costs.real });
        self.record_available_memory()?;
        let size = fleet_size(&fleet.plan);
        eprintln!(
            "{traffic:?} {size:?}: lease holder {:.0} B/s, gateway {:.0} us/s",
            costs.lease_holder.bytes_out, costs.gateway.cpu_us
        );
        Ok(MeasuredFleet { size, costs })
    }

    fn record_available_memory(&mut self) -> Result<(), LabError> {
        self.least_available_kb = self.least_available_kb.min(available_kb()?);
        Ok(())
    }

    /// Predicts metrics at a size from the measurements so far.
    fn predict(
        &self,
        metrics: &'static [Metric],
        measured: &[MeasuredFleet],
        size: PlannedSize,
    ) -> Vec<PredictedMetric> {
        let size = fleet_size(&self.plan(size, FleetTraffic::Leadership));
        let quota_groups = self.mode.quota_groups;
        let predict_one = |metric: &'static Metric| {
            let fit = metric.fit(measured, quota_groups)?;
            Some(PredictedMetric { metric, value: metric.at(&fit, &size, quota_groups) })
        };
        metrics.iter().filter_map(predict_one).collect()
    }
}

fn fleet_size(plan: &FleetPlan) -> FleetSize {
    FleetSize {
        gateways: plan.size.gateways as f64,
        hosts: plan.size.hosts as f64,
        groups: plan.groups() as f64,
        changes: plan.size.changes_per_minute / 60.0,
    }
}

/// Compares the predicted metrics with the measured fleet.
fn compare(predicted: &[PredictedMetric], fleet: &MeasuredFleet) -> Vec<Prediction> {
    let compare_one = |PredictedMetric { metric, value }: &PredictedMetric| {
        Prediction::compare(metric, *value, fleet.size, &fleet.costs)
    };
    predicted.iter().map(compare_one).collect()
}
