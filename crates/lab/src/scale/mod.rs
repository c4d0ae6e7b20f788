//! Experiment `scale`: fleets of hollow gateways, with real ones beside them, at sizes that grow; what each role costs,
//! what that comes to at the operators' size, and what troubles cost the whole fleet.
//!
//! | file | what it holds |
//! | --- | --- |
//! | `addresses.rs` | where gateways hear each other, zones and regions |
//! | `list_service.rs` | the emulated list service |
//! | `protocol.rs`, `hollow.rs` | a process of hollow gateways, and what is said to it |
//! | `run_parameters.rs` | how duties are carried in a run, its spans and sizes |
//! | `fleet.rs`, `processes.rs`, `configuration_files.rs` | a fleet that runs, its processes, what they are told |
//! | `role_costs.rs` | what gateways of each role cost |
//! | `faults.rs` | restarts, a zone gone, regions cut, new settings |
//! | `fit.rs`, `metrics.rs` | slopes, predictions, budgets |
//! | `capacity.rs` | the tables of `docs/CAPACITY.md` from the committed JSON |

pub mod addresses;
pub mod capacity;
mod configuration_files;
pub mod faults;
pub mod fit;
pub mod fleet;
mod fleet_plan;
pub mod hollow;
pub mod list_service;
pub mod metrics;
mod processes;
pub mod protocol;
pub mod role_costs;
pub mod run_parameters;

use crate::measure::machine_kb;
use crate::report::Verdict;
use crate::Options;
use fleet::Fleet;
use fleet_plan::{FleetPlan, FleetTraffic};
use metrics::{Metric, Prediction, Projection, Size, LEADERSHIP_METRICS, SESSION_METRICS};
use protocol::InjectedFault;
use role_costs::{Cost, Costs};
use run_parameters::{Axes, Mode, Played, Spans, SHARDED, SINGLE_OWNER};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Faults that must make the experiment fail.
pub const INJECTED_FAULTS: [&str; 2] = ["flood", "hoard"];
/// Version of the JSON that is written.
pub const VERSION: u64 = 1;
/// Processes of one fleet at most.
const MOST_PROCESSES: usize = 200;
/// How long a run may take, and a short one.
const LONGEST: [Duration; 2] = [Duration::from_secs(180), Duration::from_secs(60)];
/// Spans of a window, each looked at by itself for its processor time.
const LOOKS: u32 = 4;
/// How long it may take until every duty has an owner that all know.
const OWNED: Duration = Duration::from_secs(20);
/// How much a hollow gateway may cost beside a real one, and the other way round.
const ALIKE: f64 = 0.2;
/// Part of its entries by which a gateway's state may grow within a play.
const GROWTH: f64 = 0.05;

/// All that a run has.
struct Run<'a> {
    mode: &'a Mode,
    options: &'a Options,
    spans: Spans,
    injected_fault: Option<InjectedFault>,
    /// Costs of quiet hollow gateways and of real ones, side by side.
    alike: Vec<(Cost, Cost)>,
    /// Entries of a gateway at the first and the second look.
    growth: Vec<(f64, f64)>,
    processes: usize,
    least_free_kb: u64,
}

/// Runs it with one owner of all duties.
pub fn run_single_owner(options: &Options) -> Result<Verdict, crate::error::LabError> {
    run_mode(&SINGLE_OWNER, options)
}

/// Runs it with duties in shards.
pub fn run_sharded(options: &Options) -> Result<Verdict, crate::error::LabError> {
    run_mode(&SHARDED, options)
}

fn run_mode(mode: &Mode, options: &Options) -> Result<Verdict, crate::error::LabError> {
    let injected_fault = match options.injected_fault.as_deref() {
        Some("flood") => Some(InjectedFault::Flood),
        Some(_) => Some(InjectedFault::Hoard),
        None => None,
    };
    let spans = Spans::of(options.short);
    let (alike, growth) = (Vec::new(), Vec::new());
    let run =
        Run { mode, options, spans, injected_fault, alike, growth, processes: 0, least_free_kb: u64::MAX };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run.all())
}

impl Run<'_> {
    async fn all(mut self) -> Result<Verdict, crate::error::LabError> {
        let begun = Instant::now();
        let mut verdict = Verdict::new(self.mode.name, self.options.seed);
        let axes = Axes::of(self.options.short);
        let (small, largest) = axes.sizes();
        let mut played = Vec::new();
        for size in small {
            played.push(self.play(size, FleetTraffic::Leadership).await?);
        }
        let mut predictions = Vec::new();
        for size in largest {
            let predicted = self.predict(&LEADERSHIP_METRICS, &played, size);
            let (size, costs) = self.play(size, FleetTraffic::Leadership).await?;
            predictions.extend(predicted.iter().map(|(figure, value)| figure.compare(*value, size, &costs)));
            played.push((size, costs));
        }
        let mut marks = Vec::new();
        let (counts, hosts) = axes.sessions;
        for (place, gateways) in counts.into_iter().enumerate() {
            let predicted = self.predict(&SESSION_METRICS, &marks, (gateways, hosts, 60.0));
            let (size, costs) = self.play((gateways, hosts, 60.0), FleetTraffic::Sessions).await?;
            if place + 1 == counts.len() {
                predictions
                    .extend(predicted.iter().map(|(figure, value)| figure.compare(*value, size, &costs)));
            }
            marks.push((size, costs));
        }
        let troubles = self.troubles(axes.base, &mut verdict).await?;
        let shared = self.mode.shared;
        let mut reckoned: Vec<Projection> = project(&LEADERSHIP_METRICS, &played, shared);
        reckoned.extend(project(&SESSION_METRICS, &marks, f64::MAX));
        self.judge(&mut verdict, &predictions, begun.elapsed())?;
        verdict.figures =
            self.figures(&played, &marks, &predictions, &reckoned, troubles, begun.elapsed())?;
        Ok(verdict)
    }

    fn plan(&self, (gateways, hosts, changes_per_minute): Played, traffic: FleetTraffic) -> FleetPlan {
        let Mode { acceptors, record, .. } = self.mode;
        let lease_ms = self.spans.lease_ms;
        let ownership = format!("electors: {acceptors}\nlease: {lease_ms}ms\ndelay: 40ms\n{record}");
        FleetPlan {
            gateways,
            hosts,
            changes_per_minute,
            traffic,
            ownership,
            acceptors: match traffic {
                FleetTraffic::Leadership => FleetPlan::spread(*acceptors, gateways),
                // Nobody grants leases where only marks are exchanged.
                FleetTraffic::Sessions => Vec::new(),
            },
            owners: self.mode.owners,
            seed: self.options.seed,
            injected_fault: self.injected_fault,
        }
    }

    async fn start(&mut self, size: Played, traffic: FleetTraffic) -> Result<Fleet, crate::error::LabError> {
        let plan = self.plan(size, traffic);
        let (changes, seed) = (plan.changes_per_minute, plan.seed);
        let mut fleet = Fleet::start(plan).await?;
        self.processes = self.processes.max(fleet.hollow.len() + fleet_plan::REAL);
        let duties = if traffic == FleetTraffic::Leadership { self.mode.duties } else { 0 };
        fleet.until(OWNED, "all owners", |one| one.known_lease_holders >= duties).await?;
        if changes > 0.0 {
            tokio::task::spawn_local(fleet.service.clone().keep_changing(changes, seed));
        }
        Ok(fleet)
    }

    /// Plays one size: what each role costs there.
    async fn play(
        &mut self,
        size: Played,
        traffic: FleetTraffic,
    ) -> Result<(Size, Costs), crate::error::LabError> {
        let mut fleet = self.start(size, traffic).await?;
        tokio::time::sleep(self.spans.warm).await;
        let first = fleet.snapshot().await?;
        // Marks of sessions go out at a steady pace: half of the span tells as much.
        let part = if traffic == FleetTraffic::Sessions { 2 } else { 1 };
        let mut looks = vec![first];
        for _ in 0..LOOKS {
            tokio::time::sleep(self.spans.window / part / LOOKS).await;
            looks.push(fleet.snapshot().await?);
        }
        let (first, last) = (&looks[0], &looks[LOOKS as usize]);
        // Whatever else the machine does only adds to processor time: the least of some spans is the fleet's own.
        let costs = looks
            .windows(2)
            .map(|pair| fleet.costs(&pair[0], &pair[1]))
            .fold(fleet.costs(first, last), Costs::with_least_cpu);
        self.growth.push((fleet.costs(first, first).gateway.entries, costs.gateway.entries));
        self.alike.push((costs.quiet, costs.real));
        self.look_at_memory()?;
        let (gateways, hosts) = (fleet.plan.gateways as f64, fleet.plan.hosts as f64);
        let (groups, changes) = (fleet.plan.groups() as f64, size.2 / 60.0);
        let size = Size { gateways, hosts, groups, changes };
        eprintln!(
            "{traffic:?} {size:?}: owner {:.0} B/s, gateway {:.0} us/s",
            costs.owner.bytes_out, costs.gateway.cpu_us
        );
        Ok((size, costs))
    }

    fn look_at_memory(&mut self) -> Result<(), crate::error::LabError> {
        self.least_free_kb = self.least_free_kb.min(crate::measure::available_kb()?);
        Ok(())
    }

    fn predict<'f>(
        &self,
        figures: &'f [Metric],
        played: &[(Size, Costs)],
        (gateways, hosts, per_minute): Played,
    ) -> Vec<(&'f Metric, f64)> {
        let plan = self.plan((gateways, hosts, per_minute), FleetTraffic::Leadership);
        let groups = plan.groups() as f64;
        let size =
            Size { gateways: gateways as f64, hosts: hosts as f64, groups, changes: per_minute / 60.0 };
        let shared = self.mode.shared;
        let one = |figure: &'f Metric| {
            let fit = figure.fit(played, shared)?;
            Some((figure, figure.at(&fit, &size, shared)))
        };
        figures.iter().filter_map(one).collect()
    }

    async fn troubles(
        &mut self,
        size: Played,
        verdict: &mut Verdict,
    ) -> Result<Value, crate::error::LabError> {
        let mut fleet = self.start(size, FleetTraffic::Leadership).await?;
        tokio::time::sleep(self.spans.warm).await;
        let lease = Duration::from_millis(self.spans.lease_ms);
        let told = faults::play(&mut fleet, lease, verdict).await?;
        self.look_at_memory()?;
        Ok(told)
    }

    /// What a run promises beside the troubles.
    fn judge(
        &self,
        verdict: &mut Verdict,
        predictions: &[Prediction],
        took: Duration,
    ) -> Result<(), crate::error::LabError> {
        for one in predictions.iter().filter(|one| !one.holds) {
            let Prediction { figure, predicted, measured, size, .. } = one;
            let text = format!("{figure} at {size:?}: {predicted:.0} was predicted, {measured:.0} measured");
            verdict.check(text, false);
        }
        verdict.check("the largest sizes were predicted", !predictions.is_empty());
        for (name, [hollow, real]) in self.compared() {
            let off = (hollow - real).abs() / real.max(hollow).max(1e-9);
            verdict.check(
                format!("a hollow gateway costs in {name} what a real one does: {hollow:.0}, {real:.0}"),
                off <= ALIKE,
            );
        }
        for (first, second) in &self.growth {
            let text = format!("state does not grow with time: {first:.0}, then {second:.0} entries");
            if *second > first * (1.0 + GROWTH) + 10.0 {
                verdict.check(text, false);
            }
        }
        let longest = LONGEST[usize::from(self.options.short)];
        verdict.check(format!("the run took no longer than {longest:?}: {took:?}"), took <= longest);
        verdict.check(
            format!("no more than {MOST_PROCESSES} processes: {}", self.processes),
            self.processes <= MOST_PROCESSES,
        );
        verdict.check(
            "half of the machine's memory was free at each look",
            self.least_free_kb * 2 >= machine_kb()?,
        );
        Ok(())
    }

    /// What quiet hollow gateways and real ones cost, over all plays.
    fn compared(&self) -> [(&'static str, [f64; 2]); 5] {
        let sum = |of: fn(&Cost) -> f64| {
            let hollow = self.alike.iter().map(|(hollow, _)| of(hollow)).sum::<f64>();
            let real = self.alike.iter().map(|(_, real)| of(real)).sum::<f64>();
            [hollow / self.alike.len().max(1) as f64, real / self.alike.len().max(1) as f64]
        };
        [
            ("datagrams in a second", sum(|cost| cost.datagrams_in)),
            ("datagrams out a second", sum(|cost| cost.datagrams_out)),
            ("bytes of datagrams a second", sum(|cost| cost.bytes_in + cost.bytes_out)),
            ("bytes of lists a second", sum(|cost| cost.list_bytes)),
            ("microseconds of processor time a second", sum(|cost| cost.cpu_us)),
        ]
    }

    fn figures(
        &self,
        played: &[(Size, Costs)],
        marks: &[(Size, Costs)],
        predictions: &[Prediction],
        reckoned: &[Projection],
        troubles: Value,
        took: Duration,
    ) -> Result<Value, crate::error::LabError> {
        let told = |played: &[(Size, Costs)], figures: &[Metric]| -> Vec<Value> {
            let one = |(size, costs): &(Size, Costs)| {
                let measured: Vec<Value> = figures
                    .iter()
                    .map(|figure| {
                        json!([format!("{}: {}", figure.role, figure.name), round((figure.of)(costs))])
                    })
                    .collect();
                json!({ "size": size, "measured": measured })
            };
            played.iter().map(one).collect()
        };
        let compared: Vec<Value> = self
            .compared()
            .into_iter()
            .map(|(name, [hollow, real])| json!({ "figure": name, "hollow": round(hollow), "real": round(real) }))
            .collect();
        let first = missing_first(reckoned);
        Ok(json!({
            "version": VERSION,
            "mode": self.mode.name,
            "short": self.options.short,
            "machine": { "cores": std::thread::available_parallelism()?.get(), "memory_kb": machine_kb()? },
            "commit": commit(),
            "lease_ms": self.spans.lease_ms,
            "took_s": took.as_secs(),
            "processes": self.processes,
            "duties": told(played, &LEADERSHIP_METRICS),
            "marks": told(marks, &SESSION_METRICS),
            "predictions": predictions,
            "reckoned": reckoned,
            "compared": compared,
            "troubles": troubles,
            "missing_first": first.map(|one| format!("{}: {}", one.role, one.name)),
        }))
    }
}

fn project(figures: &[Metric], played: &[(Size, Costs)], shared: f64) -> Vec<Projection> {
    let one = |figure: &Metric| Some(figure.project(figure.fit(played, shared)?, shared));
    figures.iter().filter_map(one).collect()
}

/// The figure that is furthest over its budget, of what a fleet of the operators' size can switch on.
pub fn missing_first(reckoned: &[Projection]) -> Option<&Projection> {
    let on = reckoned.iter().filter(|one| one.role != SESSION_METRICS[0].role);
    let over = on.filter(|one| one.ratio().is_some_and(|ratio| ratio > 1.0));
    over.max_by(|a, b| f64::total_cmp(&a.ratio().unwrap_or(0.0), &b.ratio().unwrap_or(0.0)))
}

fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// The commit that is checked out, if there is one.
fn commit() -> Option<String> {
    let told = std::process::Command::new("git").args(["rev-parse", "--short", "HEAD"]).output().ok()?;
    String::from_utf8(told.stdout).ok().map(|text| text.trim().to_string())
}
