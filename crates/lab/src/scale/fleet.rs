//! One running fleet of hollow and real gateways with a list service, and the costs of each role.

use super::configuration_files::{change_settings, client_address, config_path, operator_path, write_all};
use super::fleet_plan::{FleetPlan, EMULATED_GROUPS, EMULATED_MEMBERS};
use super::list_service::ChangingList;
use super::processes::{HollowProcess, RealGateway};
use super::protocol::{Command, GatewayStats, HollowPlan, Stats};
use super::role_costs::{cost, Cost, Costs, ProcessUse};
use crate::emulated_hosts::emulated_host_entries;
use crate::emulated_hosts::EmulatedHosts;
use crate::error::LabError;
use crate::test_cluster::{gateway_program, STALENESS_BOUND};
use petrelgauge_test_support::ChildProcess;
use petrelgauge_test_support::TemporaryFolder;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::process::{Command as ProcessCommand, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of hollow gateways in one process. Acceptors have processes of their own.
const GATEWAYS_PER_PROCESS: usize = 50;
/// Maximum time until a hollow process connects.
const CONNECT_LIMIT: Duration = Duration::from_secs(20);
/// Maximum time until all gateways have a list.
const LIST_LIMIT: Duration = Duration::from_secs(20);
/// Interval of connection attempts to a starting real gateway.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of these attempts: ten seconds altogether.
const READY_POLLS: usize = 1_000;
/// Interval at which hollow gateways are polled for a state.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running fleet. Dropping it ends all of its processes.
pub struct Fleet {
    /// Its plan.
    pub plan: FleetPlan,
    /// The endpoint list and its service.
    pub list: Rc<ChangingList>,
    /// The hollow processes.
    pub hollow: Vec<HollowProcess>,
    real: Vec<RealGateway>,
    _emulated_hosts: Rc<EmulatedHosts>,
    folder: TemporaryFolder,
}

/// The statistics of a fleet at one time.
pub struct Snapshot {
    taken_at: Instant,
    hollow: Vec<Stats>,
    real: Vec<Stats>,
    service_bytes: u64,
    changes: u64,
}

impl Fleet {
    /// Starts all processes and waits until every gateway has a list.
    ///
    /// # Errors
    ///
    /// Fails if a file, socket or process cannot be made, or if a gateway does not get its list in time.
    pub async fn start(plan: FleetPlan) -> Result<Fleet, LabError> {
        let rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let emulated_hosts =
            EmulatedHosts::start(EMULATED_GROUPS, EMULATED_MEMBERS, STALENESS_BOUND, 0, rng).await?;
        let fixed_entries = emulated_host_entries(&emulated_hosts);
        let list = ChangingList::start(plan.listed_only_hosts(), fixed_entries).await?;
        let discovery = list.service.address;
        let name = format!("petrelgauge-scale-{}-{}", std::process::id(), discovery.port());
        let folder = TemporaryFolder::create(&name)?;
        write_all(&plan, folder.path(), discovery)?;
        let (hollow, real) = (Vec::new(), Vec::new());
        let mut fleet = Fleet { plan, list, hollow, real, _emulated_hosts: emulated_hosts, folder };
        fleet.start_real_gateways()?;
        fleet.start_hollow_processes().await?;
        fleet.wait_for_lists().await?;
        Ok(fleet)
    }

    fn start_real_gateways(&mut self) -> Result<(), LabError> {
        for number in self.plan.real() {
            let log = self.folder.path().join(format!("log{number}"));
            let process = ChildProcess::spawn(
                ProcessCommand::new(gateway_program()?)
                    .env("GW_CONFIG", config_path(self.folder.path(), number))
                    .env("PETRELGAUGE_FILE", operator_path(self.folder.path()))
                    .stdin(Stdio::null())
                    .stdout(Stdio::null())
                    .stderr(std::fs::File::create(&log)?),
            )?;
            self.real.push(RealGateway { process, listen: client_address(number), log, number });
        }
        Ok(())
    }

    /// The numbers of the gateways of each hollow process.
    fn gateways_of_processes(&self) -> Vec<Vec<usize>> {
        let mut processes: Vec<Vec<usize>> =
            self.plan.acceptors.iter().map(|acceptor| vec![*acceptor]).collect();
        // Idle gateways have a process each, like the real gateways that they are compared with.
        processes.extend(self.plan.idle().into_iter().map(|number| vec![number]));
        processes.extend(self.plan.busy().chunks(GATEWAYS_PER_PROCESS).map(<[usize]>::to_vec));
        processes.retain(|gateways| !gateways.is_empty());
        processes
    }

    async fn start_hollow_processes(&mut self) -> Result<(), LabError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let mut started = Vec::new();
        for (index, gateways) in self.gateways_of_processes().into_iter().enumerate() {
            let process = self.spawn_hollow_process(index, &gateways, &listener)?;
            started.push((gateways, process));
        }
        for _ in 0..started.len() {
            let accepted = tokio::time::timeout(CONNECT_LIMIT, listener.accept()).await;
            let (stream, _) = accepted.map_err(|_| LabError::HollowProcessNotStarted)??;
            stream.set_nodelay(true)?;
            // The first line identifies the process by the number of its first gateway.
            let (mut stream, mut line) = (BufReader::new(stream), String::new());
            stream.read_line(&mut line).await?;
            let first: Option<usize> = line.trim().parse().ok();
            let index = started.iter().position(|(gateways, _)| gateways.first().copied() == first);
            let (gateways, process) = started.swap_remove(index.ok_or(LabError::UnknownHollowProcess)?);
            self.hollow.push(HollowProcess::new(gateways, process, stream));
        }
        self.hollow.sort_by_key(|hollow| hollow.gateways.first().copied());
        Ok(())
    }

    fn spawn_hollow_process(
        &self,
        index: usize,
        gateways: &[usize],
        listener: &TcpListener,
    ) -> Result<ChildProcess, LabError> {
        let folder = self.folder.path();
        let plan = HollowPlan {
            experiment: listener.local_addr()?,
            folder: folder.to_path_buf(),
            gateways: gateways.to_vec(),
            idle: self.plan.idle(),
            fleet: self.plan.size.gateways,
            seed: self.plan.seed,
            injected_fault: self.plan.injected_fault,
        };
        let file = folder.join(format!("hollow{index}"));
        std::fs::write(&file, serde_json::to_string(&plan)?)?;
        let log = std::fs::File::create(folder.join(format!("hollowlog{index}")))?;
        let process = ChildProcess::spawn(
            ProcessCommand::new(std::env::current_exe()?)
                .arg("hollow")
                .arg(&file)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log),
        )?;
        Ok(process)
    }

    async fn wait_for_lists(&mut self) -> Result<(), LabError> {
        for real in &self.real {
            for _ in 0..READY_POLLS {
                if TcpStream::connect(real.listen).await.is_ok() {
                    break;
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        self.wait_until(LIST_LIMIT, "a list", |gateway| gateway.list_revision > 0).await?;
        Ok(())
    }

    /// Waits until all running hollow gateways have reached a state. Returns how long that took.
    ///
    /// # Errors
    ///
    /// Fails if one of them does not reach it within the limit, or if a hollow process has ended.
    pub async fn wait_until(
        &mut self,
        limit: Duration,
        state: &str,
        is_reached: impl Fn(&GatewayStats) -> bool,
    ) -> Result<Duration, LabError> {
        let began_at = Instant::now();
        loop {
            let stats = self.request_all(&Command::Stats).await?;
            if stats.iter().flat_map(|process| &process.gateways).all(&is_reached) {
                return Ok(began_at.elapsed());
            }
            if began_at.elapsed() > limit {
                return Err(LabError::StateNotReached { state: state.into(), limit });
            }
            tokio::time::sleep(STATE_POLL_INTERVAL).await;
        }
    }

    /// Sends a command to all hollow processes, one after the other, and returns their answers.
    ///
    /// # Errors
    ///
    /// Fails if a hollow process has ended.
    pub async fn request_all(&mut self, command: &Command) -> Result<Vec<Stats>, LabError> {
        let mut answers = Vec::new();
        for hollow in &mut self.hollow {
            answers.push(hollow.request(command).await?);
        }
        Ok(answers)
    }

    /// The statistics of all gateways and of the list service.
    ///
    /// # Errors
    ///
    /// Fails if a process has ended or does not report.
    pub async fn snapshot(&mut self) -> Result<Snapshot, LabError> {
        let mut real = Vec::new();
        for gateway in &self.real {
            real.push(gateway.stats().await?);
        }
        let hollow = self.request_all(&Command::Stats).await?;
        let (service_bytes, changes) = (self.list.service.bytes_sent(), self.list.changes.get());
        Ok(Snapshot { taken_at: Instant::now(), hollow, real, service_bytes, changes })
    }

    /// The costs between two snapshots.
    pub fn costs(&self, before: &Snapshot, after: &Snapshot) -> Costs {
        let seconds = (after.taken_at - before.taken_at).as_secs_f64();
        let acceptors: BTreeSet<usize> = self.plan.acceptors.iter().copied().collect();
        let idle = self.plan.idle();
        let (mut of_gateways, mut of_acceptors, mut of_idle) = (Vec::new(), Vec::new(), Vec::new());
        for GatewayCost { number, cost } in costs_of_gateways(&before.hollow, &after.hollow, seconds) {
            if acceptors.contains(&number) {
                of_acceptors.push(cost);
            } else if idle.contains(&number) {
                of_idle.push(cost);
            } else {
                of_gateways.push(cost);
            }
        }
        let real = costs_of_gateways(&before.real, &after.real, seconds);
        let of_real: Vec<Cost> = real.into_iter().map(|gateway| gateway.cost).collect();
        let acceptors_per_holder = of_acceptors.len() as f64 / self.plan.lease_holders.max(1) as f64;
        Costs {
            gateway: Cost::mean(&of_gateways),
            lease_holder: Cost::mean(&of_acceptors) * acceptors_per_holder,
            real: Cost::mean(&of_real),
            idle: Cost::mean(&of_idle),
            service_bytes: (after.service_bytes - before.service_bytes) as f64 / seconds,
            complete_list_bytes: self.list.service.complete_list_bytes() as f64,
            changes: (after.changes - before.changes) as f64 / seconds,
        }
    }

    /// Rewrites the configurations of all gateways with other settings.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or written.
    pub fn change_settings(&self) -> Result<(), LabError> {
        change_settings(self.folder.path(), self.plan.size.gateways)?;
        Ok(())
    }
}

/// The cost of one gateway.
struct GatewayCost {
    number: usize,
    cost: Cost,
}

/// The costs of all gateways. Processor time and memory of a process are divided evenly among its gateways.
fn costs_of_gateways(before: &[Stats], after: &[Stats], seconds: f64) -> Vec<GatewayCost> {
    let mut costs = Vec::new();
    for (before, after) in before.iter().zip(after) {
        let gateways = after.gateways.len().max(1) as f64;
        let process = ProcessUse {
            seconds,
            cpu_us: (after.cpu_ns - before.cpu_ns) as f64 / 1_000.0 / gateways / seconds,
            rss_kb: after.rss_kb.saturating_sub(after.base_kb) as f64 / gateways,
        };
        for gateway in &after.gateways {
            let earlier = before.gateways.iter().find(|earlier| earlier.number == gateway.number);
            let earlier = earlier.copied().unwrap_or_default();
            costs.push(GatewayCost { number: gateway.number, cost: cost(&earlier, gateway, &process) });
        }
    }
    costs
}
