//! Experiment `cost`: processor time of the gateway per 10,000 requests, in turns with an earlier build.

use crate::client::{Answer, Connection};
use crate::gateways::CLASSES;
use crate::report::Verdict;
use crate::test_cluster::{gateway_program, ClusterPlan, TestCluster};
use crate::Options;
use serde_json::json;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Faults that must make the experiment fail.
pub const INJECTED_FAULTS: [&str; 1] = ["slow"];

const CLIENTS: u64 = 24;
/// Share by which a build may need more than the earlier one before that counts.
const WORSE: f64 = 1.10;

/// Runs it.
pub fn run(options: &Options) -> std::io::Result<Verdict> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, all(options))
}

async fn all(options: &Options) -> std::io::Result<Verdict> {
    let (turns, requests) = if options.short { (3, 8_000) } else { (7, 20_000) };
    let baseline = options.baseline.clone().map_or_else(gateway_program, Ok)?;
    let mut verdict = Verdict::new("cost", options.seed);
    let (mut now, mut before) = (Vec::new(), Vec::new());
    for turn in 0..turns {
        // In turns, and each first as often as the other: the machine's moods hit both.
        let present = || one(gateway_program(), options.seed + turn, requests);
        let earlier = || one(Ok(baseline.clone()), options.seed + turn, requests);
        if turn % 2 == 0 {
            now.push(present().await?);
            before.push(earlier().await?);
        } else {
            before.push(earlier().await?);
            now.push(present().await?);
        }
    }
    // The fault: each request of this build costs half as much again.
    if options.injected_fault.is_some() {
        now.iter_mut().for_each(|cost| *cost *= 1.5);
    }
    let middle = |costs: &[f64]| {
        let mut sorted = costs.to_vec();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() / 2]
    };
    let ratio = middle(&now) / middle(&before).max(1e-9);
    verdict.check(format!("no more than {WORSE} of the earlier build's processor time"), ratio <= WORSE);
    verdict.check("an earlier build was given", options.baseline.is_some());
    verdict.figures = json!({
        "ms_per_10000_requests": middle(&now), "earlier_ms_per_10000_requests": middle(&before), "ratio": ratio,
        "turns": { "present": now, "earlier": before },
    });
    verdict.bar("ms of processor per 10,000 requests", "present", "middle of the turns", middle(&now));
    verdict.bar("ms of processor per 10,000 requests", "earlier", "middle of the turns", middle(&before));
    Ok(verdict)
}

/// Milliseconds of processor time per 10,000 requests of one run.
async fn one(program: std::io::Result<PathBuf>, seed: u64, requests: u64) -> std::io::Result<f64> {
    let plan = ClusterPlan {
        gateways: 1,
        groups: 2,
        members: 4,
        seed,
        operator: String::new(),
        strong: false,
        loss: 0.0,
        shift_ms: 0,
        hosts_ahead_ms: 0,
        program: program?,
        witness: false,
    };
    let cluster = TestCluster::start(plan).await?;
    // Warm: connections are up, and the first samples are there.
    load(&cluster, requests / 10, 0).await;
    let began = cluster.processor_ms(0)?;
    let served = load(&cluster, requests, 1_000_000).await;
    let used = cluster.processor_ms(0)? - began;
    Ok(used * 10_000.0 / served.max(1) as f64)
}

/// So many requests over all clients; how many were served.
async fn load(cluster: &Rc<TestCluster>, requests: u64, from: u64) -> u64 {
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..CLIENTS {
        let cluster = cluster.clone();
        tasks.spawn_local(async move {
            let mut served = 0;
            let Ok(mut connection) = Connection::open(cluster.addresses[0]).await else { return 0 };
            for asked in 0..requests / CLIENTS {
                let id = from + number * 100_000 + asked;
                let (class, row) = (CLASSES[(asked % 4).min(2) as usize], id % 97);
                let comment = format!("id={id},c={class},d=1200,cluster={},k={id}", row % 2 + 2);
                let text = match class {
                    "pay" => format!(
                        "INSERT INTO kv (name, content) VALUES ('r{row}', '\\x00') RETURNING content /* {comment} */"
                    ),
                    _ => format!("SELECT content FROM kv WHERE name = 'r{row}' /* {comment} */"),
                };
                let answer = connection.ask(&text, Duration::from_secs(3)).await;
                served += u64::from(matches!(answer, Answer::Row(..)));
            }
            served
        });
    }
    let mut sum = 0;
    while let Some(served) = tasks.join_next().await {
        sum += served.unwrap_or(0);
    }
    sum
}
