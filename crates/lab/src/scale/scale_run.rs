//! The run of a scale experiment: it plays fleets of growing size, predicts the largest ones, and injects faults.

use super::assessment::{CostPair, Measurements, StateGrowth};
use super::faults;
use super::fleet::Fleet;
use super::fleet_plan::{FleetPlan, FleetTraffic, REAL_GATEWAYS};
use super::fleet_size::FleetSize;
use super::metrics::{Metric, LEADERSHIP_METRICS, SESSION_METRICS};
use super::projection::{project, Prediction};
use super::protocol::InjectedFault;
use super::role_costs::Costs;
use super::run_parameters::{Axes, Mode, PlannedSize, RunDurations};
use crate::error::LabError;
use crate::measure::available_kb;
use crate::report::Verdict;
use crate::Options;
use serde_json::Value;
use std::time::{Duration, Instant};

/// Parts of a window, each measured by itself for its processor time.
const WINDOW_PARTS: u32 = 4;
/// How long it may take until every leadership role has a lease holder that all know.
const LEASES_LIMIT: Duration = Duration::from_secs(20);
/// Fleets that exchange watermarks are observed for this part of the window: watermarks go out at a steady pace.
const SESSION_WINDOW_PART: u32 = 2;

/// A size and what it cost.
type Measured = (FleetSize, Costs);

/// A run under way.
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

    /// Plays everything and checks it.
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

    /// Plays the fleets with leadership roles; the largest ones are predicted from those before.
    async fn play_leadership(
        &mut self,
        axes: &Axes,
        predictions: &mut Vec<Prediction>,
    ) -> Result<Vec<Measured>, LabError> {
        let mut measured = Vec::new();
        for size in axes.small_sizes() {
            measured.push(self.play_fleet(size, FleetTraffic::Leadership).await?);
        }
        for size in axes.largest_sizes() {
            let predicted = self.predict(&LEADERSHIP_METRICS, &measured, size);
            let (size, costs) = self.play_fleet(size, FleetTraffic::Leadership).await?;
            predictions.extend(compare(predicted, size, &costs));
            measured.push((size, costs));
        }
        Ok(measured)
    }

    /// Plays the fleets that exchange watermarks; the last one is predicted from those before.
    async fn play_sessions(
        &mut self,
        axes: &Axes,
        predictions: &mut Vec<Prediction>,
    ) -> Result<Vec<Measured>, LabError> {
        let mut measured = Vec::new();
        let sizes = axes.session_sizes();
        for (index, size) in sizes.into_iter().enumerate() {
            let predicted = self.predict(&SESSION_METRICS, &measured, size);
            let (size, costs) = self.play_fleet(size, FleetTraffic::Sessions).await?;
            if index + 1 == sizes.len() {
                predictions.extend(compare(predicted, size, &costs));
            }
            measured.push((size, costs));
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
                // Nobody grants leases where only watermarks are exchanged.
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
        fleet.wait_until(LEASES_LIMIT, "all owners", |gateway| gateway.known_lease_holders >= leases).await?;
        if size.changes_per_minute > 0.0 {
            let changes = fleet.list.clone().keep_changing(size.changes_per_minute, self.options.seed);
            tokio::task::spawn_local(changes);
        }
        Ok(fleet)
    }

    /// Plays one fleet: what each role costs there.
    async fn play_fleet(&mut self, size: PlannedSize, traffic: FleetTraffic) -> Result<Measured, LabError> {
        let mut fleet = self.start_fleet(size, traffic).await?;
        tokio::time::sleep(self.durations.warm_up).await;
        let window_part = if traffic == FleetTraffic::Sessions { SESSION_WINDOW_PART } else { 1 };
        let mut snapshots = vec![fleet.snapshot().await?];
        for _ in 0..WINDOW_PARTS {
            tokio::time::sleep(self.durations.window / window_part / WINDOW_PARTS).await;
            snapshots.push(fleet.snapshot().await?);
        }
        let (first, last) = (&snapshots[0], &snapshots[WINDOW_PARTS as usize]);
        // Whatever else the machine does only adds to processor time: the least of some parts is the fleet's own.
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
        Ok((size, costs))
    }

    fn record_available_memory(&mut self) -> Result<(), LabError> {
        self.least_available_kb = self.least_available_kb.min(available_kb()?);
        Ok(())
    }

    /// What metrics will be at a size, by what was measured before.
    fn predict<'m>(
        &self,
        metrics: &'m [Metric],
        measured: &[Measured],
        size: PlannedSize,
    ) -> Vec<(&'m Metric, f64)> {
        let size = fleet_size(&self.plan(size, FleetTraffic::Leadership));
        let quota_groups = self.mode.quota_groups;
        let predict_one = |metric: &'m Metric| {
            let fit = metric.fit(measured, quota_groups)?;
            Some((metric, metric.at(&fit, &size, quota_groups)))
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

/// Compares what was predicted of each metric with what was measured.
fn compare(predicted: Vec<(&Metric, f64)>, size: FleetSize, costs: &Costs) -> Vec<Prediction> {
    let compare_one = |(metric, value): (&Metric, f64)| Prediction::compare(metric, value, size, costs);
    predicted.into_iter().map(compare_one).collect()
}
