//! Experiment `sessions`: real gateways, replicas with a controlled lag, and a ledger that counts stale
//! reads.
//!
//! | file | contents |
//! | --- | --- |
//! | `variants.rs` | the configurations that are compared |
//! | `schedule.rs` | phases and their faults |
//! | `run_state.rs` | the state that clients of a run share |
//! | `session_client.rs`, `gateway_connections.rs` | requests and connections of a session |
//! | `invalid_token_client.rs` | requests with invalid and expired tokens |
//! | `comparison.rs` | checks and figures |

mod comparison;
mod gateway_connections;
mod invalid_token_client;
mod run_state;
mod schedule;
mod session_client;
mod variants;

use crate::error::LabError;
use crate::report::Verdict;
use crate::test_cluster::{gateway_program, ClusterPlan, TestCluster};
use crate::Options;
use comparison::{judge, SessionCounter, VariantResult};
use petrelgauge::Time;
use petrelgauge_test_support::block_on;
use run_state::{InvalidTokenCounts, RunState, GATEWAYS};
use schedule::{empty_statistics, PhaseDurations};
use session_client::SessionClient;
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use variants::{Variant, EARLIER_BUILD, VARIANTS};

/// Faults that can be injected and must make the experiment fail: replicas that report a position ahead of
/// their data; tokens whose watermarks were erased; gateways' clocks that differ by more than the operator's
/// file says.
pub const INJECTED_FAULTS: [&str; 3] = ["boast", "unverified", "skew"];

/// Number of concurrent sessions.
const SESSIONS: u32 = 100;
/// Number of the session that sends invalid tokens.
const INVALID_TOKEN_SESSION: u32 = SESSIONS + 7;
/// Number of members of each group.
const MEMBERS: usize = 5;
/// Share of datagrams between gateways that are lost.
const DATAGRAM_LOSS: f64 = 0.3;
/// Share of writes whose answer is lost after they were executed.
const LOST_ANSWER_SHARE: f64 = 0.02;
/// Maximum difference of clocks, in runs where they differ (milliseconds).
const CLOCK_DIFFERENCE_MS: u64 = 50;
/// How far gateways' clocks lag the hosts' with the fault `skew` (milliseconds).
const SKEW_MS: u64 = 500;
/// How far ahead of their data replicas report with the fault `boast` (microseconds).
const POSITION_OVERSTATEMENT: Time = 400_000;

/// A counter that gateways log.
struct CounterName {
    /// Its key in the report, and its name in the log of earlier builds, which a baseline may be.
    key: &'static str,
    /// Its name in the log.
    logged: &'static str,
}

const SESSION_COUNTERS: [CounterName; 8] = [
    CounterName { key: "by_token", logged: "by_token" },
    CounterName { key: "by_memory", logged: "by_memory" },
    CounterName { key: "by_peers", logged: "by_peers" },
    CounterName { key: "open", logged: "unknown" },
    CounterName { key: "settled", logged: "lowered" },
    CounterName { key: "behind", logged: "unproven" },
    CounterName { key: "bad_bulletins", logged: "broadcasts_rejected" },
    CounterName { key: "gaps", logged: "gaps" },
];

/// Runs the experiment.
///
/// # Errors
///
/// Fails if a cluster cannot be started.
pub fn run(options: &Options) -> Result<Verdict, LabError> {
    block_on(play_variants(options))
}

async fn play_variants(options: &Options) -> Result<Verdict, LabError> {
    let program = gateway_program()?;
    let mut results = Vec::new();
    for variant in &VARIANTS {
        results.push(play(variant, options, program.clone()).await?);
    }
    if let Some(earlier) = &options.baseline {
        results.push(play(&EARLIER_BUILD, options, earlier.clone()).await?);
    }
    Ok(judge(options.seed, &results))
}

/// Runs all phases with one variant.
async fn play(
    variant: &'static Variant,
    options: &Options,
    program: PathBuf,
) -> Result<VariantResult, LabError> {
    let fault = options.injected_fault.as_deref();
    let durations = PhaseDurations::new(options.short);
    let cluster = TestCluster::start(cluster_plan(variant, options, program)).await?;
    let hosts = &cluster.emulated_hosts;
    hosts.lost_answer_share.set(LOST_ANSWER_SHARE);
    if fault == Some("boast") {
        hosts.position_overstatement.set(POSITION_OVERSTATEMENT);
    }
    let state = Rc::new(RunState {
        ledger: RefCell::default(),
        phases: RefCell::new(empty_statistics()),
        current_phase: Cell::new(0),
        requests: Cell::new(0),
        uses_tokens: variant.uses_tokens,
        erases_watermarks: fault == Some("unverified"),
        end: hosts.clock.now() + durations.total(),
        invalid_tokens: Cell::new(InvalidTokenCounts::default()),
        cluster: cluster.clone(),
    });
    let mut clients = tokio::task::JoinSet::new();
    for number in 0..SESSIONS {
        clients.spawn_local(SessionClient::new(state.clone(), number, options.seed).run());
    }
    if variant.uses_tokens {
        clients.spawn_local(invalid_token_client::run(state.clone(), INVALID_TOKEN_SESSION, options.seed));
    }
    schedule::play(&state, durations).await?;
    while clients.join_next().await.is_some() {}
    cluster.shut_down().await;
    let result = result(variant, &state);
    eprintln!("{:16} {:?}", variant.name, result.findings);
    Ok(result)
}

fn cluster_plan(variant: &Variant, options: &Options, program: PathBuf) -> ClusterPlan {
    // For even seeds clocks differ, with the hosts' clock in the middle.
    let difference_ms = if options.seed.is_multiple_of(2) { CLOCK_DIFFERENCE_MS } else { 0 };
    // The injected fault: gateways' clocks lag the hosts', and the operator's file does not state it.
    let has_skew = options.injected_fault.as_deref() == Some("skew");
    let (stated_error_ms, hosts_ahead_ms) =
        if has_skew { (0, SKEW_MS) } else { (difference_ms, difference_ms / 2) };
    ClusterPlan {
        gateways: GATEWAYS,
        members: MEMBERS,
        operator_file: variant.operator_file(stated_error_ms),
        primary_reads: variant.primary_reads,
        datagram_loss: DATAGRAM_LOSS,
        max_clock_shift_ms: difference_ms,
        hosts_ahead_ms,
        ..ClusterPlan::new(program, options.seed)
    }
}

fn result(variant: &'static Variant, state: &RunState) -> VariantResult {
    let cluster = &state.cluster;
    let counter = |CounterName { key, logged }: &CounterName| SessionCounter {
        key,
        value: match cluster.counter(logged) {
            0 if key != logged => cluster.counter(key),
            value => value,
        },
    };
    VariantResult {
        variant,
        findings: state.ledger.borrow().findings(),
        phases: state.phases.take(),
        invalid_tokens: state.invalid_tokens.get(),
        counters: SESSION_COUNTERS.iter().map(counter).collect(),
        datagrams: cluster.relay.delivered_datagrams.get(),
        datagram_bytes: cluster.relay.delivered_bytes.get(),
        requests: state.requests.get(),
    }
}
