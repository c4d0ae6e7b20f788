//! Experiment `ownership`: seven gateways, three of them acceptors, and a relay between them that loses, duplicates,
//! delays and cuts; the leader of primary discovery is killed, stalled and cut off, all from the seed. Effects are read by
//! a witness among the gateways' peers, never from a gateway's own counters.

mod effect_ledger;
mod takeover_run;

use crate::error::LabError;
use crate::report::Verdict;
use crate::test_cluster::{gateway_program, ClusterPlan, TestCluster};
use crate::Options;
use petrelgauge::Time;
use petrelgauge_ownership::Settings;
use petrelgauge_test_support::block_on;
use serde_json::json;
use takeover_run::{Faults, TakeoverRun};

/// Faults that can be injected and must make the experiment fail: a second lease holder under the same term; a witness
/// without a fence that receives an old notification again; acceptors that stay away.
pub const INJECTED_FAULTS: [&str; 3] = ["impostor", "fenceless", "deserted"];

/// Gateways of the cluster.
const GATEWAYS: usize = 7;
/// Numbers of the gateways that grant leases.
const ACCEPTORS: [u16; 3] = [0, 2, 5];
/// Secret of the datagrams; the operator's file states the same one.
const SECRET: u64 = 0x0a;
const OPERATOR_FILE: &str =
    "ownership: {\n  secret: \"a\"\n  electors: 3\n  lease: 1200ms\n  delay: 150ms\n  drift_percent: 2\n}\n";
/// Duration of a lease, as the operator's file has it (microseconds).
const LEASE: Time = 1_200_000;
/// Longest delay of a datagram, as the operator's file has it (microseconds).
const MAX_DELAY: Time = 150_000;
/// How far clocks drift apart, as the operator's file has it.
const DRIFT_BOUND: f64 = 0.02;
/// What the machine that runs all of it may add to a takeover (microseconds): timers, eight processes, the relay's own
/// delay.
const MACHINE_ALLOWANCE: Time = 1_500_000;
/// Members of the one replicated group.
const MEMBERS: usize = 3;
/// Share of datagrams that is lost.
const DATAGRAM_LOSS: f64 = 0.02;
/// By how much the gateways' clocks differ (milliseconds).
const CLOCK_DIFFERENCE_MS: u64 = 20;
/// Rounds of a full and of a short run.
const FULL_ROUNDS: u64 = 24;
const SHORT_ROUNDS: u64 = 5;

/// Runs the experiment.
///
/// # Errors
///
/// Fails if the cluster or a gateway of it cannot be started.
pub fn run(options: &Options) -> Result<Verdict, LabError> {
    block_on(play(options))
}

async fn play(options: &Options) -> Result<Verdict, LabError> {
    let plan = ClusterPlan {
        gateways: GATEWAYS,
        groups: 1,
        members: MEMBERS,
        operator_file: OPERATOR_FILE.into(),
        datagram_loss: DATAGRAM_LOSS,
        max_clock_shift_ms: CLOCK_DIFFERENCE_MS,
        witness: true,
        ..ClusterPlan::new(gateway_program()?, options.seed)
    };
    // The witness is one more peer that grants nothing.
    let settings = Settings {
        self_id: GATEWAYS as u16,
        gateways: GATEWAYS as u16 + 1,
        acceptors: ACCEPTORS.to_vec(),
        lease: LEASE,
        max_delay: MAX_DELAY,
        drift_bound: DRIFT_BOUND,
    };
    let limit = settings.takeover_bound() + MACHINE_ALLOWANCE;
    let has_fault = |fault: &str| options.injected_fault.as_deref() == Some(fault);
    let faults = Faults {
        impostor: has_fault("impostor"),
        without_fence: has_fault("fenceless"),
        without_acceptors: has_fault("deserted"),
    };
    let cluster = TestCluster::start(plan).await?;
    let mut run = TakeoverRun::new(cluster.clone(), settings, faults, limit, options.seed);
    run.play(if options.short { SHORT_ROUNDS } else { FULL_ROUNDS }).await?;
    cluster.shut_down().await;
    Ok(judge(options.seed, &run, limit))
}

fn judge(seed: u64, run: &TakeoverRun, limit: Time) -> Verdict {
    let mut verdict = Verdict::new("ownership", seed);
    let (ledger, limit_ms) = (&run.ledger, limit / 1000);
    verdict.check("somebody comes to own the role", run.had_holder);
    let text = "no two owners whose effects are taken, and no older term after a newer";
    verdict.check(text, ledger.violations.is_empty());
    verdict.check(format!("a new owner within {limit_ms} ms of the last one's end"), run.late == 0);
    let text = "nothing is taken from the side that was cut off, once there is a new owner";
    verdict.check(text, run.from_disturbed_holder == 0);
    let mut takeovers: Vec<Time> = run.takeovers.iter().map(|duration| duration / 1000).collect();
    takeovers.sort_unstable();
    for (rank, duration) in takeovers.iter().enumerate() {
        verdict.bar("take-overs, from the shortest (ms)", "ms", &rank.to_string(), *duration as f64);
    }
    verdict.figures = json!({
        "takeovers": takeovers.len(), "median_ms": takeovers.get(takeovers.len() / 2), "longest_ms": takeovers.last(),
        "limit_ms": limit_ms, "late": run.late, "words_taken": ledger.admitted.len(), "words_turned": ledger.rejected,
        "altered": ledger.undecodable, "faults": ledger.violations, "from_the_cut_side": run.from_disturbed_holder,
    });
    verdict
}
