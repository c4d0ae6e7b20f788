//! A stage for a person, and a short show of the gateway at work.

use crate::client::{Answer, Connection};
use crate::gateways::CLASSES;
use crate::test_cluster::{gateway_program, ClusterPlan, TestCluster};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

fn plan(gateways: usize, members: usize, operator: String) -> std::io::Result<ClusterPlan> {
    let program = gateway_program()?;
    Ok(ClusterPlan {
        gateways,
        groups: 2,
        members,
        seed: 1,
        operator,
        strong: false,
        loss: 0.0,
        shift_ms: 0,
        hosts_ahead_ms: 0,
        program,
        witness: false,
    })
}

fn on_stage<T>(play: impl std::future::Future<Output = std::io::Result<T>>) -> std::io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, play)
}

/// Starts a cluster, says where it is, and stays until it is interrupted.
pub fn up(gateways: usize, members: usize, operator: Option<PathBuf>, json: bool) -> std::io::Result<bool> {
    on_stage(async {
        let operator = operator.map_or(Ok(String::new()), std::fs::read_to_string)?;
        let cluster = TestCluster::start(plan(gateways.max(1), members.max(1), operator)?).await?;
        let listed: Vec<String> = cluster.addresses.iter().map(|address| format!("\"{address}\"")).collect();
        if json {
            println!(
                r#"{{"gateways":[{}],"groups":[2,3],"classes":["{}"]}}"#,
                listed.join(","),
                CLASSES.join("\",\"")
            );
        } else {
            println!("gateways at {}; groups 2 and 3; classes {}", listed.join(" "), CLASSES.join(", "));
            println!("SELECT content FROM kv WHERE name = 'r1' /* id=1,c=history,d=1000,cluster=2 */");
        }
        tokio::signal::ctrl_c().await?;
        Ok(true)
    })
}

/// Some load, and a table of what was served.
pub fn run() -> std::io::Result<bool> {
    on_stage(async {
        let secret = "sessions: {classes: [\"view\", \"history\", \"pay\"], secret: \"d3\"}\n";
        let cluster = TestCluster::start(plan(2, 4, secret.into())?).await?;
        println!("two gateways, two groups of four hosts, 24 clients for 3 s");
        let mut tasks = tokio::task::JoinSet::new();
        for number in 0..24 {
            tasks.spawn_local(client(cluster.clone(), number));
        }
        let mut counts = [[0u64; 3]; 3];
        while let Some(Ok(one)) = tasks.join_next().await {
            counts.iter_mut().flatten().zip(one.iter().flatten()).for_each(|(sum, count)| *sum += count);
        }
        println!("{:10} {:>8} {:>8} {:>8}", "class", "served", "refused", "failed");
        for (class, [served, refused, failed]) in CLASSES.iter().zip(counts) {
            println!("{class:10} {served:>8} {refused:>8} {failed:>8}");
        }
        let [replicas, primaries] = cluster.emulated_hosts.reads.each_ref().map(std::cell::Cell::get);
        println!("reads at replicas {replicas}, at primaries {primaries}");
        Ok(counts.iter().all(|[served, ..]| *served > 0))
    })
}

async fn client(cluster: Rc<TestCluster>, number: u64) -> [[u64; 3]; 3] {
    let mut counts = [[0; 3]; 3];
    let address = cluster.addresses[number as usize % cluster.addresses.len()];
    let Ok(mut connection) = Connection::open(address).await else { return counts };
    for asked in 0..100u64 {
        let class = (asked % 4).min(2) as usize;
        let (row, name) = (number * 7 + asked % 5, CLASSES[class]);
        let comment =
            format!("id={number}d{asked},c={name},d=1200,cluster={},k={number}k{asked}", row % 2 + 2);
        let text = match class {
            2 => format!(
                "INSERT INTO kv (name, content) VALUES ('r{row}', '\\x00') RETURNING content /* {comment} */"
            ),
            _ => format!("SELECT content FROM kv WHERE name = 'r{row}' /* {comment} */"),
        };
        let ended = match connection.ask(&text, Duration::from_secs(2)).await {
            Answer::Row(..) => 0,
            Answer::Error(code, _) if code == "53300" => 1,
            _ => 2,
        };
        counts[class][ended] += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    counts
}
