//! Experiment `cost`: processor time of the gateway per 10,000 requests, compared with an earlier build. The
//! two builds are measured in turns.

use crate::client::{ask, Answer};
use crate::error::LabError;
use crate::gateways::CLASSES;
use crate::report::Verdict;
use crate::statements::{group_of_row, insert_row, select_row};
use crate::test_cluster::{gateway_program, ClusterPlan, TestCluster};
use crate::Options;
use petrelgauge_test_support::{block_on, Connection};
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Faults that can be injected and must make the experiment fail: `slow` multiplies the measured cost of this
/// build by `SLOW_FACTOR`.
pub const INJECTED_FAULTS: [&str; 1] = ["slow"];

/// Number of concurrent clients.
const CLIENTS: u64 = 24;
/// Number of rows that are read and written.
const ROWS: u64 = 97;
/// Number of request ids reserved for each client.
const IDS_OF_CLIENT: u64 = 100_000;
/// The first request id after the warm-up.
const FIRST_MEASURED_ID: u64 = 1_000_000;
/// The warm-up sends 1 / `WARM_UP_DIVISOR` of the measured requests.
const WARM_UP_DIVISOR: u64 = 10;
/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum ratio of this build's cost to the earlier one's.
const MAX_RATIO: f64 = 1.10;
/// Factor of the injected fault `slow`.
const SLOW_FACTOR: f64 = 1.5;
/// Title of the plot.
const PLOT: &str = "ms of processor per 10,000 requests";

/// The size of the experiment.
struct Size {
    /// Measurements of each build.
    turns: u64,
    /// Requests of each measurement.
    requests: u64,
}

const FULL_SIZE: Size = Size { turns: 7, requests: 20_000 };
const SHORT_SIZE: Size = Size { turns: 3, requests: 8_000 };

/// Runs the experiment.
///
/// # Errors
///
/// Fails if a cluster cannot be started.
pub fn run(options: &Options) -> Result<Verdict, LabError> {
    block_on(measure_builds(options))
}

async fn measure_builds(options: &Options) -> Result<Verdict, LabError> {
    let Size { turns, requests } = if options.short { SHORT_SIZE } else { FULL_SIZE };
    let present_program = gateway_program()?;
    let earlier_program = options.baseline.clone().unwrap_or_else(|| present_program.clone());
    let (mut present, mut earlier) = (Vec::new(), Vec::new());
    for turn in 0..turns {
        // The builds take turns in being first, so that changes of the machine's speed affect both.
        let seed = options.seed + turn;
        if turn % 2 == 0 {
            present.push(measure(&present_program, seed, requests).await?);
            earlier.push(measure(&earlier_program, seed, requests).await?);
        } else {
            earlier.push(measure(&earlier_program, seed, requests).await?);
            present.push(measure(&present_program, seed, requests).await?);
        }
    }
    if options.injected_fault.is_some() {
        present.iter_mut().for_each(|cost| *cost *= SLOW_FACTOR);
    }
    Ok(judge(options, &present, &earlier))
}

fn judge(options: &Options, present: &[f64], earlier: &[f64]) -> Verdict {
    let mut verdict = Verdict::new("cost", options.seed);
    let (present_ms, earlier_ms) = (median(present), median(earlier));
    let ratio = present_ms / earlier_ms.max(1e-9);
    let text = format!("no more than {MAX_RATIO} of the earlier build's processor time");
    verdict.check(text, ratio <= MAX_RATIO);
    verdict.check("an earlier build was given", options.baseline.is_some());
    verdict.figures = json!({
        "ms_per_10000_requests": present_ms, "earlier_ms_per_10000_requests": earlier_ms, "ratio": ratio,
        "turns": { "present": present, "earlier": earlier },
    });
    verdict.bar(PLOT, "present", "middle of the turns", present_ms);
    verdict.bar(PLOT, "earlier", "middle of the turns", earlier_ms);
    verdict
}

fn median(costs: &[f64]) -> f64 {
    let mut sorted = costs.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

/// Processor time of one gateway per 10,000 requests (milliseconds).
async fn measure(program: &Path, seed: u64, requests: u64) -> Result<f64, LabError> {
    let cluster = TestCluster::start(ClusterPlan::new(program.to_path_buf(), seed)).await?;
    let address = cluster.addresses[0];
    // The warm-up makes connections and collects the first samples.
    send_requests(address, requests / WARM_UP_DIVISOR, 0).await;
    let before = cluster.processor_ms(0)?;
    let served = send_requests(address, requests, FIRST_MEASURED_ID).await;
    let used = cluster.processor_ms(0)? - before;
    Ok(used * 10_000.0 / served.max(1) as f64)
}

/// Sends this many requests from all clients together. Returns the number of served ones.
async fn send_requests(address: SocketAddr, requests: u64, first_id: u64) -> u64 {
    let mut clients = tokio::task::JoinSet::new();
    for client in 0..CLIENTS {
        let first_id = first_id + client * IDS_OF_CLIENT;
        clients.spawn_local(run_client(address, requests / CLIENTS, first_id));
    }
    let mut served = 0;
    while let Some(served_of_client) = clients.join_next().await {
        served += served_of_client.unwrap_or(0);
    }
    served
}

async fn run_client(address: SocketAddr, requests: u64, first_id: u64) -> u64 {
    let Ok(mut connection) = Connection::open(address).await else { return 0 };
    let mut served = 0;
    for number in 0..requests {
        let (id, class) = (first_id + number, (number % 4).min(2) as usize);
        let row = id % ROWS;
        let comment = format!("id={id},c={},d=1200,cluster={},k={id}", CLASSES[class], group_of_row(row));
        let is_write = class == 2;
        let text = if is_write { insert_row(row, &comment) } else { select_row(row, &comment) };
        let answer = ask(&mut connection, &text, ANSWER_TIMEOUT).await;
        served += u64::from(matches!(answer, Answer::Row { .. }));
    }
    served
}
