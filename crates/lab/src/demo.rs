//! A test cluster for manual use, and a short demonstration of the gateway.

use crate::client::{ask, Answer, SQLSTATE_REJECTED};
use crate::error::LabError;
use crate::gateways::CLASSES;
use crate::statements::{group_of_row, insert_row, select_row};
use crate::test_cluster::{gateway_program, ClusterPlan, TestCluster};
use petrelgauge_test_support::{block_on, Connection};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Seed of every demonstration.
const SEED: u64 = 1;
/// Number of concurrent clients.
const CLIENTS: usize = 24;
/// Number of requests of each client.
const REQUESTS: u64 = 100;
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(20);
/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// The operator's file of the demonstration.
const OPERATOR_FILE: &str = "sessions: {classes: [\"view\", \"history\", \"pay\"], secret: \"d3\"}\n";

/// Requests of one class, by result.
#[derive(Clone, Copy, Default)]
struct ClassCounts {
    served: u64,
    rejected: u64,
    failed: u64,
}

/// How addresses are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressFormat {
    /// As text with an example statement.
    Text,
    /// As one line of JSON.
    Json,
}

/// A cluster for manual use.
#[derive(Clone, Debug)]
pub struct UpOptions {
    /// Number of gateways, at least one.
    pub gateways: usize,
    /// Members of each group, at least one.
    pub members: usize,
    /// The operator's file, if any.
    pub operator_file: Option<PathBuf>,
    /// How the gateways' addresses are printed.
    pub format: AddressFormat,
}

/// Starts a cluster, prints the gateways' addresses, and runs until interrupted.
///
/// # Errors
///
/// Fails if the operator's file cannot be read or the cluster cannot be started.
pub fn up(options: UpOptions) -> Result<(), LabError> {
    block_on(async {
        let UpOptions { gateways, members, operator_file, format } = options;
        let operator_file = operator_file.map_or(Ok(String::new()), std::fs::read_to_string)?;
        let plan = ClusterPlan {
            gateways: gateways.max(1),
            members: members.max(1),
            operator_file,
            ..ClusterPlan::new(gateway_program()?, SEED)
        };
        let cluster = TestCluster::start(plan).await?;
        print_addresses(&cluster.addresses, format);
        tokio::signal::ctrl_c().await?;
        Ok(())
    })
}

fn print_addresses(addresses: &[SocketAddr], format: AddressFormat) {
    let quoted: Vec<String> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
    match format {
        AddressFormat::Json => {
            let (gateways, classes) = (quoted.join(","), CLASSES.join("\",\""));
            println!(r#"{{"gateways":[{gateways}],"groups":[2,3],"classes":["{classes}"]}}"#);
        }
        AddressFormat::Text => {
            println!("gateways at {}; groups 2 and 3; classes {}", quoted.join(" "), CLASSES.join(", "));
            println!("{}", select_row(1, "id=1,c=history,d=1000,cluster=2"));
        }
    }
}

/// Sends some load to a cluster and prints a table of the results. Returns whether requests of every class
/// were served.
///
/// # Errors
///
/// Fails if the cluster cannot be started.
pub fn run() -> Result<bool, LabError> {
    block_on(async {
        let plan = ClusterPlan {
            gateways: 2,
            operator_file: OPERATOR_FILE.into(),
            ..ClusterPlan::new(gateway_program()?, SEED)
        };
        let cluster = TestCluster::start(plan).await?;
        println!("two gateways, two groups of four hosts, {CLIENTS} clients for 3 s");
        let counts = send_requests(&cluster).await;
        println!("{:10} {:>8} {:>8} {:>8}", "class", "served", "refused", "failed");
        for (class, ClassCounts { served, rejected, failed }) in CLASSES.iter().zip(counts) {
            println!("{class:10} {served:>8} {rejected:>8} {failed:>8}");
        }
        let hosts = &cluster.emulated_hosts;
        let (replicas, primaries) = (hosts.replica_reads.get(), hosts.primary_reads.get());
        println!("reads at replicas {replicas}, at primaries {primaries}");
        Ok(counts.iter().all(|class| class.served > 0))
    })
}

async fn send_requests(cluster: &TestCluster) -> [ClassCounts; CLASSES.len()] {
    let mut clients = tokio::task::JoinSet::new();
    for number in 0..CLIENTS {
        let address = cluster.addresses[number % cluster.addresses.len()];
        clients.spawn_local(run_client(address, number as u64));
    }
    let mut sums = [ClassCounts::default(); CLASSES.len()];
    while let Some(Ok(counts)) = clients.join_next().await {
        for (sum, class) in sums.iter_mut().zip(counts) {
            sum.served += class.served;
            sum.rejected += class.rejected;
            sum.failed += class.failed;
        }
    }
    sums
}

async fn run_client(address: SocketAddr, client: u64) -> [ClassCounts; CLASSES.len()] {
    let mut counts = [ClassCounts::default(); CLASSES.len()];
    let Ok(mut connection) = Connection::open(address).await else { return counts };
    for request in 0..REQUESTS {
        let (class, row) = ((request % 4).min(2) as usize, client * 7 + request % 5);
        let (name, group) = (CLASSES[class], group_of_row(row));
        let comment = format!("id={client}d{request},c={name},d=1200,cluster={group},k={client}k{request}");
        let is_write = class == 2;
        let text = if is_write { insert_row(row, &comment) } else { select_row(row, &comment) };
        match ask(&mut connection, &text, ANSWER_TIMEOUT).await {
            Answer::Row { .. } => counts[class].served += 1,
            Answer::Error { code, .. } if code == SQLSTATE_REJECTED => counts[class].rejected += 1,
            _ => counts[class].failed += 1,
        }
        tokio::time::sleep(PAUSE).await;
    }
    counts
}
