//! A test cluster: emulated hosts and list service, the datagram paths between gateways, and real gateway processes.

use crate::datagram_relay::{DatagramRelay, Link};
use crate::emulated_hosts::EmulatedHosts;
use crate::error::LabError;
use crate::gateways::{logged_counter, read_log, Gateway, GatewayPlan, GatewaySetup, PeerAddresses};
use crate::list_service::start_list_service;
use petrelgauge::Time;
use petrelgauge_test_support::TemporaryFolder;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::net::UdpSocket;

/// How old the data of a bounded read may be (microseconds).
pub const STALENESS_BOUND: Time = 300_000;
/// How late the list service publishes changes (microseconds).
const LIST_DELAY: Time = 1_800_000;
/// How long gateways get for a graceful shutdown (microseconds).
const SHUTDOWN_TIME: Time = 900_000;
/// Milliseconds of one tick of `/proc/PID/stat`.
const TICK_MS: f64 = 10.0;

/// What a test cluster consists of.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Gateways.
    pub gateways: usize,
    /// Replicated groups.
    pub groups: usize,
    /// Members of each group.
    pub members: usize,
    /// Seed of all random generators.
    pub seed: u64,
    /// The operator's file.
    pub operator_file: String,
    /// Reads need the primary.
    pub primary_reads: bool,
    /// Share of datagrams that is lost.
    pub datagram_loss: f64,
    /// Gateways' clocks are ahead by up to this many milliseconds, the last one the most.
    pub max_clock_shift_ms: u64,
    /// The hosts' clock is ahead by this many milliseconds.
    pub hosts_ahead_ms: u64,
    /// The gateway's program.
    pub program: PathBuf,
    /// Whether the laboratory itself is one more receiver of the gateways' datagrams.
    pub witness: bool,
}

impl ClusterPlan {
    /// One gateway of this program before two groups of four hosts, with clocks in step and no datagrams lost.
    pub fn new(program: PathBuf, seed: u64) -> ClusterPlan {
        ClusterPlan {
            gateways: 1,
            groups: 2,
            members: 4,
            seed,
            operator_file: String::new(),
            primary_reads: false,
            datagram_loss: 0.0,
            max_clock_shift_ms: 0,
            hosts_ahead_ms: 0,
            program,
            witness: false,
        }
    }
}

/// A running test cluster. Dropping it ends everything.
pub struct TestCluster {
    /// The emulated hosts.
    pub emulated_hosts: Rc<EmulatedHosts>,
    /// The datagram paths between gateways.
    pub relay: Rc<DatagramRelay>,
    /// The gateways.
    pub gateways: RefCell<Vec<Gateway>>,
    /// What all gateways have in common.
    pub setup: GatewaySetup,
    /// Where the gateways accept clients.
    pub addresses: Vec<SocketAddr>,
    /// What the cluster was made from.
    pub plan: ClusterPlan,
    /// Where the laboratory receives the gateways' datagrams.
    pub witness: Option<UdpSocket>,
    _folder: TemporaryFolder,
}

impl TestCluster {
    /// Starts everything and waits until all gateways accept clients.
    ///
    /// # Errors
    ///
    /// Fails if a socket, file or process cannot be made, or if a gateway does not accept clients in time.
    pub async fn start(plan: ClusterPlan) -> Result<Rc<TestCluster>, LabError> {
        let emulated_hosts = start_emulated_hosts(&plan).await?;
        let list_service = start_list_service(emulated_hosts.clone(), LIST_DELAY).await?;
        let address = list_service.address;
        let relay = DatagramRelay::new(emulated_hosts.clone(), plan.datagram_loss);
        let name = format!("petrelgauge-lab-{}-{}", std::process::id(), address.port());
        let folder = TemporaryFolder::create(&name)?;
        let witness = if plan.witness { Some(UdpSocket::bind("127.0.0.1:0").await?) } else { None };
        let mut gateways = prepare_gateways(&plan, folder.path(), &relay, witness.as_ref()).await?;
        let setup = GatewaySetup {
            folder: folder.path().to_path_buf(),
            list_service: address,
            initial_list: list_service.complete_list(),
            primary_reads: plan.primary_reads,
            operator_file: plan.operator_file.clone(),
        };
        start_gateways(&mut gateways, &setup, plan.seed).await?;
        let addresses = gateways.iter().map(|gateway| gateway.listen).collect();
        let gateways = RefCell::new(gateways);
        let cluster =
            TestCluster { emulated_hosts, relay, gateways, setup, addresses, plan, witness, _folder: folder };
        Ok(Rc::new(cluster))
    }

    /// Kills a gateway, waits for `downtime` microseconds, and starts it again.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started again.
    pub async fn restart(&self, number: usize, downtime: Time) -> Result<(), LabError> {
        self.gateways.borrow_mut()[number].kill();
        self.emulated_hosts.clock.sleep_until(self.emulated_hosts.clock.now() + downtime).await;
        self.gateways.borrow_mut()[number].start(&self.setup, self.plan.seed)?;
        Ok(())
    }

    /// Processor time that a gateway has used since its start (milliseconds, in the system's ticks of 10 ms).
    ///
    /// # Errors
    ///
    /// Fails if the gateway is not running.
    pub fn processor_ms(&self, number: usize) -> Result<f64, LabError> {
        let id = self.gateways.borrow()[number].process_id().ok_or(LabError::GatewayDown(number))?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
        // After the name in parentheses, user and system time are the 12th and the 13th field.
        let fields = stat.rsplit(')').next().unwrap_or("").split_ascii_whitespace();
        let ticks: u64 = fields.skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
        Ok(ticks as f64 * TICK_MS)
    }

    /// Shuts all gateways down gracefully, so that their logs hold their counters.
    pub async fn shut_down(&self) {
        self.gateways.borrow().iter().for_each(Gateway::shut_down);
        self.emulated_hosts.clock.sleep_until(self.emulated_hosts.clock.now() + SHUTDOWN_TIME).await;
    }

    /// The sum of a counter over all gateways' logs.
    pub fn counter(&self, name: &str) -> u64 {
        let logs = (0..self.plan.gateways).map(|number| read_log(&self.setup.folder, number));
        logs.map(|log| logged_counter(&log, name)).sum()
    }
}

async fn start_emulated_hosts(plan: &ClusterPlan) -> std::io::Result<Rc<EmulatedHosts>> {
    let rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let ahead = plan.hosts_ahead_ms as Time * 1000;
    EmulatedHosts::start(plan.groups, plan.members, STALENESS_BOUND, ahead, rng).await
}

/// Chooses all addresses of the gateways and opens the datagram paths between them, and to the witness.
async fn prepare_gateways(
    plan: &ClusterPlan,
    folder: &Path,
    relay: &Rc<DatagramRelay>,
    witness: Option<&UdpSocket>,
) -> std::io::Result<Vec<Gateway>> {
    let mut receivers = Vec::new();
    for _ in 0..plan.gateways {
        receivers.push(UdpSocket::bind("127.0.0.1:0").await?.local_addr()?);
    }
    if let Some(socket) = witness {
        receivers.push(socket.local_addr()?);
    }
    let mut gateways = Vec::new();
    for number in 0..plan.gateways {
        let mut peers = Vec::new();
        for (to, address) in receivers.iter().enumerate() {
            let is_itself = to == number;
            let link = Link { from: number, to };
            peers.push(if is_itself { *address } else { relay.open(link, *address).await? });
        }
        let peer_addresses = PeerAddresses { listen: receivers[number], peers };
        let clock_shift_ms = plan.max_clock_shift_ms * number as u64 / (plan.gateways.max(2) as u64 - 1);
        let gateway = GatewayPlan { number, peer_addresses, clock_shift_ms };
        gateways.push(Gateway::new(gateway, plan.program.clone(), folder));
    }
    Ok(gateways)
}

/// Starts all gateways, then waits until each accepts clients.
async fn start_gateways(gateways: &mut [Gateway], setup: &GatewaySetup, seed: u64) -> Result<(), LabError> {
    for gateway in gateways.iter_mut() {
        gateway.start(setup, seed)?;
    }
    for gateway in gateways.iter() {
        if !gateway.is_ready().await {
            return Err(LabError::GatewayNotReady { log: read_log(&setup.folder, 0) });
        }
    }
    Ok(())
}

/// The gateway's program, built beside the laboratory's.
///
/// # Errors
///
/// Fails if it is not there.
pub fn gateway_program() -> Result<PathBuf, LabError> {
    let path = std::env::current_exe()?.with_file_name("petrelgauge");
    if path.exists() {
        Ok(path)
    } else {
        Err(LabError::GatewayNotBuilt)
    }
}
