//! Experiment `ownership`: seven gateways, three of them acceptors, and a relay between them that loses,
//! duplicates, delays and cuts datagrams. The leader of primary discovery is killed, stalled and cut off, all
//! from the seed. Effects are observed by a witness among the gateways' peers, never from a gateway's own
//! counters.

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

/// Faults that can be injected and must make the experiment fail: a second lease holder under the same term;
/// a witness without a fence that receives an old notification again; acceptors that stay away.
pub const INJECTED_FAULTS: [&str; 3] = ["impostor", "fenceless", "deserted"];

/// Number of gateways.
const GATEWAYS: usize = 7;
/// Numbers of the gateways that grant leases.
const ACCEPTORS: [u16; 3] = [0, 2, 5];
/// Secret of the datagrams; the operator's file states the same one.
const SECRET: u64 = 0x0a;
const OPERATOR_FILE: &str =
    "ownership: {\n  secret: \"a\"\n  electors: 3\n  lease: 1200ms\n  delay: 150ms\n  drift_percent: 2\n}\n";
/// Duration of a lease, as in the operator's file (microseconds).
const LEASE: Time = 1_200_000;
/// Maximum delay of a datagram, as in the operator's file (microseconds).
const MAX_DELAY: Time = 150_000;
/// Drift bound, as in the operator's file (fraction).
const DRIFT_BOUND: f64 = 0.02;
/// What a machine that runs all processes may add to a takeover (microseconds): timers, eight processes, the
/// delay of the relay.
const MACHINE_ALLOWANCE: Time = 1_500_000;
/// Number of members of the only group.
const MEMBERS: usize = 3;
/// Share of datagrams that are lost.
const DATAGRAM_LOSS: f64 = 0.02;
/// Maximum difference of the gateways' clocks (milliseconds).
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
    // The witness is an additional peer and no acceptor.
    let settings = Settings {
        self_id: GATEWAYS as u16,
        gateways: GATEWAYS as u16 + 1,
        acceptors: ACCEPTORS.to_vec(),
        lease: LEASE,
        max_delay: MAX_DELAY,
        drift_bound: DRIFT_BOUND,
    };
    let limit = settings.takeover_bound() + MACHINE_ALLOWANCE;
    let is_injected = |fault: &str| options.injected_fault.as_deref() == Some(fault);
    let faults = Faults {
        impostor: is_injected("impostor"),
        without_fence: is_injected("fenceless"),
        without_acceptors: is_injected("deserted"),
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
    verdict.check("a gateway acquires the lease", run.had_holder);
    let text = "no two lease holders whose effects are admitted, and no older term after a newer one";
    verdict.check(text, ledger.violations.is_empty());
    verdict.check(format!("a new lease holder within {limit_ms} ms of the last one's end"), run.late == 0);
    let text = "no effect of the side that was cut off is admitted once there is a new lease holder";
    verdict.check(text, run.from_disturbed_holder == 0);
    let mut takeovers: Vec<Time> = run.takeovers.iter().map(|duration| duration / 1000).collect();
    takeovers.sort_unstable();
    for (rank, duration) in takeovers.iter().enumerate() {
        verdict.bar("takeovers, from the shortest (ms)", "ms", &rank.to_string(), *duration as f64);
    }
    verdict.figures = json!({
        "takeovers": takeovers.len(), "median_ms": takeovers.get(takeovers.len() / 2), "longest_ms": takeovers.last(),
        "limit_ms": limit_ms, "late": run.late, "words_taken": ledger.admitted.len(), "words_turned": ledger.rejected,
        "altered": ledger.undecodable, "faults": ledger.violations, "from_the_cut_side": run.from_disturbed_holder,
    });
    verdict
}
