//! Fault soak: fleets of gateways under schedules of faults that are sampled from seeds. A play that breaks a rule prints its
//! seed, its fleet and its schedule.
//!
//! Two seeds are played here. `SOAK_SEEDS=3..53 cargo test --release --test soak` plays others, `SOAK_SEEDS=7..8` one of
//! them again; `SOAK_BESIDE` says how many at a time (2), `FLEET_LOG=debug` what gateways log.

mod faulty_fleet;

use faulty_fleet::schedule::Schedule;
use faulty_fleet::{play, rules};
use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Mutex;

/// Seeds that are played unless `SOAK_SEEDS` names others.
const SEEDS: Range<u64> = 1..3;
/// Plays at a time, unless `SOAK_BESIDE` says otherwise.
const CONCURRENT_PLAYS: usize = 2;

/// The result of a play.
struct Play {
    /// How its requests ended, and if a rule was broken, how that can be played again.
    report: String,
    is_broken: bool,
}

fn play_seed(seed: u64) -> Play {
    let schedule = Schedule::sample(seed);
    let text = format!("{schedule:?}");
    let fleet = play(schedule.plan, |fleet| schedule.play(fleet));
    let broken = rules::broken(&fleet);
    let mut report = format!("seed {seed}: {}", rules::summary(&fleet));
    if !broken.is_empty() {
        let history = fleet.history.borrow().join("\n  ");
        report = format!("{report}\n  {text}\n  {history}\n  broken: {}", broken.join("\n  broken: "));
    }
    Play { report, is_broken: !broken.is_empty() }
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return SEEDS };
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS is FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

#[test]
fn fleets_keep_the_rules_under_seeded_faults() {
    let beside =
        std::env::var("SOAK_BESIDE").map_or(CONCURRENT_PLAYS, |text| text.parse().expect("a number"));
    let waiting: Mutex<VecDeque<u64>> = Mutex::new(seeds().collect());
    let failed: Mutex<Vec<u64>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..beside {
            let (waiting, failed) = (&waiting, &failed);
            scope.spawn(move || loop {
                let next = waiting.lock().expect("no play has panicked").pop_front();
                let Some(seed) = next else { return };
                let Play { report, is_broken } = play_seed(seed);
                println!("{report}");
                if is_broken {
                    failed.lock().expect("no play has panicked").push(seed);
                }
            });
        }
    });
    let failed = failed.into_inner().expect("no play has panicked");
    assert!(failed.is_empty(), "seeds that broke a rule, printed above: {failed:?}");
}
