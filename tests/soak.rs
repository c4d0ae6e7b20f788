//! Soak test: runs fleets of gateways under fault schedules that are sampled from seeds. A run that violates
//! an invariant prints its seed, its fleet and its schedule.
//!
//! Two seeds run by default. `SOAK_SEEDS=3..53 cargo test --release --test soak` runs others,
//! `SOAK_SEEDS=7..8` repeats a single one. `SOAK_BESIDE` sets the number of concurrent runs (2), and
//! `FLEET_LOG=debug` the log level of the gateways.

mod faulty_fleet;

use faulty_fleet::schedule::Schedule;
use faulty_fleet::{invariants, run_fleet};
use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Mutex;

/// Seeds that run unless `SOAK_SEEDS` is set.
const SEEDS: Range<u64> = 1..3;
/// Number of concurrent runs unless `SOAK_BESIDE` is set.
const CONCURRENT_RUNS: usize = 2;

/// The result of a run.
struct RunResult {
    /// Counts of the requests by outcome. After a violation also the schedule, the history and the
    /// violations.
    report: String,
    has_violations: bool,
}

fn run_schedule(seed: u64, schedule: Schedule) -> RunResult {
    let text = format!("{schedule:?}");
    let fleet = run_fleet(schedule.plan, |fleet| schedule.run(fleet));
    let violations = invariants::violations(&fleet);
    let mut report = format!("seed {seed}: {}", invariants::summary(&fleet));
    if !violations.is_empty() {
        let history = fleet.history.borrow().join("\n  ");
        report =
            format!("{report}\n  {text}\n  {history}\n  violation: {}", violations.join("\n  violation: "));
    }
    RunResult { report, has_violations: !violations.is_empty() }
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return SEEDS };
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS has the form FIRST..END");
    first.parse().expect("the first seed is a number")..end.parse().expect("the end of the seeds is a number")
}

#[test]
fn fleets_keep_the_invariants_under_seeded_faults() {
    run_seeds(Schedule::sample);
}

// Queries wait behind slow statements while the settings change, and reloads come right behind answers.
#[test]
fn fleets_keep_the_invariants_while_their_settings_change() {
    run_seeds(Schedule::sample_changes);
}

// Issue 59: a gateway with 32 MB was killed beside hundreds of clients that sent hundreds of commands at once.
#[test]
fn fleets_keep_the_invariants_beside_crowds_of_clients() {
    run_seeds(Schedule::sample_crowds);
}

/// Runs the schedules of all seeds, some of them beside each other.
fn run_seeds(sample: fn(u64) -> Schedule) {
    let concurrency = std::env::var("SOAK_BESIDE")
        .map_or(CONCURRENT_RUNS, |text| text.parse().expect("SOAK_BESIDE is a number"));
    let pending: Mutex<VecDeque<u64>> = Mutex::new(seeds().collect());
    let failed: Mutex<Vec<u64>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..concurrency {
            let (pending, failed) = (&pending, &failed);
            scope.spawn(move || loop {
                let next = pending.lock().expect("no run has panicked").pop_front();
                let Some(seed) = next else { return };
                let RunResult { report, has_violations } = run_schedule(seed, sample(seed));
                println!("{report}");
                if has_violations {
                    failed.lock().expect("no run has panicked").push(seed);
                }
            });
        }
    });
    let failed = failed.into_inner().expect("no run has panicked");
    assert!(failed.is_empty(), "seeds that violated an invariant, reported above: {failed:?}");
}
