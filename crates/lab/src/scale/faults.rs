//! Faults of a whole fleet: a tenth of it restarts at once, a zone stops and starts, the regions are cut and
//! joined, list and settings change. Measures the worst and the mean costs, and the time until all gateways
//! have the newest state.

use super::addresses::{zone, ZONES};
use super::fleet::{Fleet, Snapshot};
use super::protocol::{Command, GatewayStats, Stats};
use crate::error::LabError;
use crate::report::Verdict;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Maximum time until a list or settings are in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);
/// Maximum time that the experiment waits for a state.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// One in this many gateways is restarted.
const RESTARTED_EVERY: usize = 10;
/// Interval of snapshots during a fault.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(250);
/// Duration of observations without a fault and after a restart.
const OBSERVATION: Duration = Duration::from_secs(1);
/// Duration of the region cut, in leases.
const CUT_LEASES: u32 = 3;

/// The costs of a gateway that is no acceptor, per second.
#[derive(Clone, Copy, Default)]
struct Rate {
    bytes: f64,
    cpu_us: f64,
}

impl Rate {
    fn between(fleet: &Fleet, before: &Snapshot, after: &Snapshot) -> Rate {
        let gateway = fleet.costs(before, after).gateway;
        Rate { bytes: gateway.control_bytes(), cpu_us: gateway.cpu_us }
    }
}

/// The rates during one fault.
#[derive(Clone, Copy, Default)]
struct ObservedRates {
    worst: Rate,
    sum: Rate,
    count: f64,
}

impl ObservedRates {
    fn add(&mut self, rate: Rate) {
        self.worst.bytes = self.worst.bytes.max(rate.bytes);
        self.worst.cpu_us = self.worst.cpu_us.max(rate.cpu_us);
        self.sum.bytes += rate.bytes;
        self.sum.cpu_us += rate.cpu_us;
        self.count += 1.0;
    }

    fn json(&self) -> Value {
        let count = self.count.max(1.0);
        json!({
            "worst_bytes": self.worst.bytes.round(), "mean_bytes": (self.sum.bytes / count).round(),
            "worst_cpu_us": self.worst.cpu_us.round(), "mean_cpu_us": (self.sum.cpu_us / count).round(),
        })
    }
}

/// The leases of a fleet, by the reports of its gateways.
#[derive(Clone, Copy)]
struct Leases {
    /// Number of leases held, over all gateways.
    held: u64,
    /// Maximum number of lease holders that any gateway knows.
    known: u64,
}

impl Leases {
    fn of(stats: &[Stats]) -> Leases {
        let gateways = || stats.iter().flat_map(|process| &process.gateways);
        Leases {
            held: gateways().map(|gateway| gateway.held_leases).sum(),
            known: gateways().map(|gateway| gateway.known_lease_holders).max().unwrap_or(0),
        }
    }
}

/// Injects all faults, checks the fleet, and returns the figures.
///
/// # Errors
///
/// Fails if a process ends, or if the fleet does not recover from a fault.
pub async fn play(fleet: &mut Fleet, lease: Duration, verdict: &mut Verdict) -> Result<Value, LabError> {
    let calm = observe(fleet, OBSERVATION).await?;
    let restart = play_restart(fleet, verdict).await?;
    let zone_gone = play_zone_outage(fleet, lease, verdict).await?;
    let regions_cut = play_region_cut(fleet, lease, verdict).await?;
    let list = publish_change(fleet).await?;
    let settings = publish_settings(fleet).await?;
    let limit = IN_FORCE_LIMIT;
    verdict.check(format!("a change of the list is held by all within {limit:?}: {list:?}"), list <= limit);
    verdict.check(format!("new settings are held by all within {limit:?}: {settings:?}"), settings <= limit);
    Ok(json!({
        "calm": calm.json(), "restart": restart, "zone_gone": zone_gone, "regions_cut": regions_cut,
        "list_held_by_all_ms": list.as_millis() as u64, "settings_held_by_all_ms": settings.as_millis() as u64,
    }))
}

/// Measures rates for this long.
async fn observe(fleet: &mut Fleet, duration: Duration) -> Result<ObservedRates, LabError> {
    let mut rates = ObservedRates::default();
    let mut before = fleet.snapshot().await?;
    let end = Instant::now() + duration;
    while Instant::now() < end {
        tokio::time::sleep(SNAPSHOT_INTERVAL).await;
        let after = fleet.snapshot().await?;
        rates.add(Rate::between(fleet, &before, &after));
        before = after;
    }
    Ok(rates)
}

/// Hollow gateways that are no acceptors.
fn plain_hollow_gateways(fleet: &Fleet) -> BTreeSet<usize> {
    let hollow = fleet.hollow.iter().flat_map(|process| process.gateways.iter().copied());
    hollow.filter(|number| !fleet.plan.acceptors.contains(number)).collect()
}

async fn play_restart(fleet: &mut Fleet, verdict: &mut Verdict) -> Result<Value, LabError> {
    let restarted: BTreeSet<usize> =
        plain_hollow_gateways(fleet).into_iter().step_by(RESTARTED_EVERY).collect();
    let count = restarted.len();
    fleet.request_all(&Command::Start(restarted)).await?;
    let duration = wait_for_newest_list(fleet).await?;
    let rates = observe(fleet, OBSERVATION).await?;
    let limit = IN_FORCE_LIMIT;
    let text = format!("a tenth that starts at once holds the list within {limit:?}: {duration:?}");
    verdict.check(text, duration <= limit);
    Ok(json!({ "gateways": count, "list_held_ms": duration.as_millis() as u64, "seconds": rates.json() }))
}

async fn play_zone_outage(
    fleet: &mut Fleet,
    lease: Duration,
    verdict: &mut Verdict,
) -> Result<Value, LabError> {
    let gateways = plain_hollow_gateways(fleet).into_iter();
    let stopped: BTreeSet<usize> = gateways.filter(|number| zone(*number) == ZONES - 1).collect();
    let count = stopped.len();
    fleet.request_all(&Command::Stop(stopped.clone())).await?;
    let rates = observe(fleet, lease).await?;
    fleet.request_all(&Command::Start(stopped)).await?;
    let duration = wait_for_newest_list(fleet).await?;
    let limit = IN_FORCE_LIMIT;
    let text = format!("a zone that comes back holds the list within {limit:?}: {duration:?}");
    verdict.check(text, duration <= limit);
    Ok(json!({ "gateways": count, "list_held_ms": duration.as_millis() as u64, "seconds": rates.json() }))
}

/// Cuts the regions off from each other for several leases.
async fn play_region_cut(
    fleet: &mut Fleet,
    lease: Duration,
    verdict: &mut Verdict,
) -> Result<Value, LabError> {
    let leases = Leases::of(&fleet.request_all(&Command::Stats).await?).known;
    fleet.request_all(&Command::CutRegions).await?;
    let ObservedLeases { most_held, rates } = observe_leases(fleet, CUT_LEASES * lease).await?;
    let list = publish_change(fleet).await?;
    fleet.request_all(&Command::JoinRegions).await?;
    let all_known = |gateway: &GatewayStats| gateway.known_lease_holders >= leases;
    let joined = fleet.wait_until(WAIT_LIMIT, "all lease holders", all_known).await?;
    let limit = IN_FORCE_LIMIT;
    verdict.check("every lease was held before the cut", leases > 0);
    let text = format!("no lease has two holders while regions are cut: {most_held} of {leases}");
    verdict.check(text, most_held <= leases);
    let text = format!("lists reach all while regions are cut, within {limit:?}: {list:?}");
    verdict.check(text, list <= limit);
    Ok(json!({
        "duties": leases, "most_owned": most_held, "list_held_ms": list.as_millis() as u64,
        "owners_known_after_ms": joined.as_millis() as u64, "seconds": rates.json(),
    }))
}

/// Leases and rates during a fault.
struct ObservedLeases {
    /// Maximum number of leases held at one time.
    most_held: u64,
    rates: ObservedRates,
}

/// Measures leases and rates for this long.
async fn observe_leases(fleet: &mut Fleet, duration: Duration) -> Result<ObservedLeases, LabError> {
    let (mut most_held, mut rates) = (0, ObservedRates::default());
    let end = Instant::now() + duration;
    let mut before = fleet.snapshot().await?;
    while Instant::now() < end {
        tokio::time::sleep(SNAPSHOT_INTERVAL).await;
        most_held = most_held.max(Leases::of(&fleet.request_all(&Command::Stats).await?).held);
        let after = fleet.snapshot().await?;
        rates.add(Rate::between(fleet, &before, &after));
        before = after;
    }
    Ok(ObservedLeases { most_held, rates })
}

async fn wait_for_newest_list(fleet: &mut Fleet) -> Result<Duration, LabError> {
    let revision = fleet.list.service.revision();
    fleet.wait_until(WAIT_LIMIT, "the newest list", |gateway| gateway.list_revision >= revision).await
}

/// Changes the list. Returns the time until all gateways have the change.
async fn publish_change(fleet: &mut Fleet) -> Result<Duration, LabError> {
    fleet.list.change(0, 0);
    wait_for_newest_list(fleet).await
}

/// Changes the settings. Returns the time until all gateways have them.
async fn publish_settings(fleet: &mut Fleet) -> Result<Duration, LabError> {
    let began_at = Instant::now();
    fleet.change_settings()?;
    fleet.request_all(&Command::Reload).await?;
    fleet.wait_until(WAIT_LIMIT, "the new settings", |gateway| gateway.settings_version >= 2).await?;
    Ok(began_at.elapsed())
}
