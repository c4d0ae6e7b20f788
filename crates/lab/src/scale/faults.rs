//! Troubles of a whole fleet: a tenth restarted at once, a zone gone, the regions cut and joined, a new list and new
//! settings; what the worst second costs beside the mean, and how long it takes until all hold the newest.

use super::addresses::{zone, ZONES};
use super::fleet::{Fleet, Snapshot};
use super::protocol::{Command, Stats};
use crate::report::Verdict;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a list, or settings, may take to be in force everywhere (the operators' letter).
const IN_FORCE: Duration = Duration::from_secs(10);
/// One gateway in so many is restarted at once.
const RESTARTED: usize = 10;
/// Between two looks while something is going on.
const LOOK: Duration = Duration::from_millis(250);

/// Bytes and processor time of the whole fleet in a second, for each gateway.
#[derive(Clone, Copy, Default)]
struct Second {
    bytes: f64,
    cpu_us: f64,
}

/// What happened in the seconds of one trouble.
#[derive(Clone, Copy, Default)]
struct Worst {
    worst: Second,
    sum: Second,
    looks: f64,
}

impl Worst {
    fn add(&mut self, one: Second) {
        self.worst.bytes = self.worst.bytes.max(one.bytes);
        self.worst.cpu_us = self.worst.cpu_us.max(one.cpu_us);
        self.sum.bytes += one.bytes;
        self.sum.cpu_us += one.cpu_us;
        self.looks += 1.0;
    }

    fn json(&self) -> Value {
        let looks = self.looks.max(1.0);
        json!({
            "worst_bytes": self.worst.bytes.round(), "mean_bytes": (self.sum.bytes / looks).round(),
            "worst_cpu_us": self.worst.cpu_us.round(), "mean_cpu_us": (self.sum.cpu_us / looks).round(),
        })
    }
}

/// Plays all troubles and says what they cost.
pub async fn play(
    fleet: &mut Fleet,
    lease: Duration,
    verdict: &mut Verdict,
) -> Result<Value, crate::error::LabError> {
    let calm = look_for(fleet, Duration::from_secs(1)).await?;
    let restart = restart(fleet, verdict).await?;
    let zone_gone = zone_gone(fleet, lease, verdict).await?;
    let cut = cut(fleet, lease, verdict).await?;
    let list = newest_list(fleet).await?;
    let settings = newest_settings(fleet).await?;
    verdict.check(
        format!("a change of the list is held by all within {IN_FORCE:?}: {list:?}"),
        list <= IN_FORCE,
    );
    verdict.check(
        format!("new settings are held by all within {IN_FORCE:?}: {settings:?}"),
        settings <= IN_FORCE,
    );
    Ok(json!({
        "calm": calm.json(), "restart": restart, "zone_gone": zone_gone, "regions_cut": cut,
        "list_held_by_all_ms": list.as_millis() as u64, "settings_held_by_all_ms": settings.as_millis() as u64,
    }))
}

/// Looks every second, or part of one, for this long.
async fn look_for(fleet: &mut Fleet, span: Duration) -> Result<Worst, crate::error::LabError> {
    let mut worst = Worst::default();
    let mut before = fleet.snapshot().await?;
    let until = tokio::time::Instant::now() + span;
    while tokio::time::Instant::now() < until {
        tokio::time::sleep(LOOK).await;
        let after = fleet.snapshot().await?;
        worst.add(second(fleet, &before, &after));
        before = after;
    }
    Ok(worst)
}

fn second(fleet: &Fleet, before: &Snapshot, after: &Snapshot) -> Second {
    let costs = fleet.costs(before, after);
    let bytes = costs.gateway.bytes_in + costs.gateway.bytes_out + costs.gateway.list_bytes;
    Second { bytes, cpu_us: costs.gateway.cpu_us }
}

/// Hollow gateways that are no acceptors.
fn plain(fleet: &Fleet) -> BTreeSet<usize> {
    let acceptors: BTreeSet<usize> = fleet.plan.acceptors.iter().copied().collect();
    let hollow = fleet.hollow.iter().flat_map(|one| one.gateways.iter().copied());
    hollow.filter(|number| !acceptors.contains(number)).collect()
}

async fn restart(fleet: &mut Fleet, verdict: &mut Verdict) -> Result<Value, crate::error::LabError> {
    let restarted: BTreeSet<usize> = plain(fleet).into_iter().step_by(RESTARTED).collect();
    let count = restarted.len();
    fleet.request_all(&Command::Start(restarted)).await?;
    let took = until_newest(fleet).await?;
    let worst = look_for(fleet, Duration::from_secs(1)).await?;
    verdict.check(
        format!("a tenth that starts at once holds the list within {IN_FORCE:?}: {took:?}"),
        took <= IN_FORCE,
    );
    Ok(json!({ "gateways": count, "list_held_ms": took.as_millis() as u64, "seconds": worst.json() }))
}

async fn zone_gone(
    fleet: &mut Fleet,
    lease: Duration,
    verdict: &mut Verdict,
) -> Result<Value, crate::error::LabError> {
    let gone: BTreeSet<usize> =
        plain(fleet).into_iter().filter(|number| zone(*number) == ZONES - 1).collect();
    let count = gone.len();
    fleet.request_all(&Command::Stop(gone.clone())).await?;
    let away = look_for(fleet, lease).await?;
    fleet.request_all(&Command::Start(gone)).await?;
    let took = until_newest(fleet).await?;
    verdict.check(
        format!("a zone that comes back holds the list within {IN_FORCE:?}: {took:?}"),
        took <= IN_FORCE,
    );
    Ok(json!({ "gateways": count, "list_held_ms": took.as_millis() as u64, "seconds": away.json() }))
}

/// The regions hear nothing of each other for several leases.
async fn cut(
    fleet: &mut Fleet,
    lease: Duration,
    verdict: &mut Verdict,
) -> Result<Value, crate::error::LabError> {
    let known = |all: &[Stats]| {
        let gateways = || all.iter().flat_map(|stats| &stats.gateways);
        (
            gateways().map(|one| one.owned).sum::<u64>(),
            gateways().map(|one| one.known_lease_holders).max().unwrap_or(0),
        )
    };
    let (_, duties) = known(&fleet.request_all(&Command::Stats).await?);
    fleet.request_all(&Command::Cut(true)).await?;
    let until = tokio::time::Instant::now() + 3 * lease;
    let (mut most_held, mut worst) = (0, Worst::default());
    let mut before = fleet.snapshot().await?;
    while tokio::time::Instant::now() < until {
        tokio::time::sleep(LOOK).await;
        most_held = most_held.max(known(&fleet.request_all(&Command::Stats).await?).0);
        let after = fleet.snapshot().await?;
        worst.add(second(fleet, &before, &after));
        before = after;
    }
    let list = newest_list(fleet).await?;
    fleet.request_all(&Command::Cut(false)).await?;
    let joined =
        fleet.until(Duration::from_secs(30), "all owners", |one| one.known_lease_holders >= duties).await?;
    verdict.check("somebody owned each duty before the cut", duties > 0);
    verdict.check(
        format!("no duty has two owners while regions are cut: {most_held} of {duties}"),
        most_held <= duties,
    );
    verdict.check(
        format!("lists reach all while regions are cut, within {IN_FORCE:?}: {list:?}"),
        list <= IN_FORCE,
    );
    Ok(json!({
        "duties": duties, "most_owned": most_held, "list_held_ms": list.as_millis() as u64,
        "owners_known_after_ms": joined.as_millis() as u64, "seconds": worst.json(),
    }))
}

async fn until_newest(fleet: &mut Fleet) -> Result<Duration, crate::error::LabError> {
    let revision = fleet.service.revision();
    fleet.until(Duration::from_secs(30), "the newest list", |one| one.revision >= revision).await
}

async fn newest_list(fleet: &mut Fleet) -> Result<Duration, crate::error::LabError> {
    fleet.service.change(0, 0);
    until_newest(fleet).await
}

async fn newest_settings(fleet: &mut Fleet) -> Result<Duration, crate::error::LabError> {
    let begun = std::time::Instant::now();
    fleet.change_settings()?;
    fleet.request_all(&Command::Reload).await?;
    fleet.until(Duration::from_secs(30), "the new settings", |one| one.version >= 2).await?;
    Ok(begun.elapsed())
}
