//! A process that runs many hollow gateways and carries out the experiment's commands.

use super::addresses::datagram_port;
use super::hollow_gateway::{read_config, HollowGateway, SharedState};
use super::protocol::{Command, GatewayStats, HollowPlan, Stats};
use crate::error::LabError;
use crate::measure::{cpu_ns, resident_kb};
use petrelgauge_test_support::block_on;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Time for the tasks of a stopped gateway to close its sockets.
const CLOSING_TIME: Duration = Duration::from_millis(30);

/// Runs the process of this plan until the experiment closes its connection.
///
/// # Errors
///
/// Fails if the plan cannot be read, the experiment cannot be reached, or a gateway cannot be built.
pub fn run(plan: &Path) -> Result<(), LabError> {
    let plan: HollowPlan = serde_json::from_str(&std::fs::read_to_string(plan)?)?;
    block_on(serve(plan))
}

async fn serve(plan: HollowPlan) -> Result<(), LabError> {
    let base_kb = resident_kb(std::process::id())?;
    let mut experiment = BufReader::new(TcpStream::connect(plan.experiment).await?);
    let first = plan.gateways.first().copied().unwrap_or_default();
    experiment.get_mut().write_all(format!("{first}\n").as_bytes()).await?;
    let mut process = HollowProcess::start(plan, base_kb).await?;
    let mut line = String::new();
    loop {
        line.clear();
        if experiment.read_line(&mut line).await? == 0 {
            return Ok(());
        }
        let stats = process.carry_out(serde_json::from_str(&line)?).await?;
        let answer = serde_json::to_string(&stats)? + "\n";
        experiment.get_mut().write_all(answer.as_bytes()).await?;
    }
}

/// The gateways of the process.
struct HollowProcess {
    shared: Rc<SharedState>,
    gateways: BTreeMap<usize, HollowGateway>,
    /// Resident memory before the first gateway was built (kB).
    base_kb: u64,
}

impl HollowProcess {
    /// Starts all gateways of the plan.
    async fn start(plan: HollowPlan, base_kb: u64) -> Result<HollowProcess, LabError> {
        let port = port_of_fleet(&plan)?;
        let numbers = plan.gateways.clone();
        let shared = SharedState { plan, port, regions_cut: Cell::new(false), hoard: RefCell::default() };
        let mut process = HollowProcess { shared: Rc::new(shared), gateways: BTreeMap::new(), base_kb };
        for number in numbers {
            process.start_gateway(number).await?;
        }
        Ok(process)
    }

    /// Carries out a command. Only the answer to [`Command::Stats`] has statistics.
    async fn carry_out(&mut self, command: Command) -> Result<Stats, LabError> {
        match command {
            Command::Stats => return self.stats(),
            Command::CutRegions => self.shared.regions_cut.set(true),
            Command::JoinRegions => self.shared.regions_cut.set(false),
            Command::Stop(stopped) => self.gateways.retain(|number, _| !stopped.contains(number)),
            Command::Start(started) => self.restart_gateways(&started).await?,
            Command::Reload => {
                let folder = &self.shared.plan.folder;
                self.gateways.values_mut().try_for_each(|gateway| gateway.reload(folder))?;
            }
        }
        Ok(Stats::default())
    }

    /// Restarts those of these gateways that belong to this process.
    async fn restart_gateways(&mut self, started: &BTreeSet<usize>) -> Result<(), LabError> {
        self.gateways.retain(|number, _| !started.contains(number));
        tokio::time::sleep(CLOSING_TIME).await;
        let own: BTreeSet<usize> = self.shared.plan.gateways.iter().copied().collect();
        for number in own.intersection(started) {
            self.start_gateway(*number).await?;
        }
        Ok(())
    }

    async fn start_gateway(&mut self, number: usize) -> Result<(), LabError> {
        let gateway = HollowGateway::start(&self.shared, number).await?;
        self.gateways.insert(number, gateway);
        Ok(())
    }

    fn stats(&self) -> Result<Stats, LabError> {
        let id = std::process::id();
        let hoarded = self.shared.hoard.borrow().len() as u64 / self.gateways.len().max(1) as u64;
        let with_hoard = |stats: GatewayStats| GatewayStats { entries: stats.entries + hoarded, ..stats };
        let gateways = self.gateways.values().map(|gateway| with_hoard(gateway.stats())).collect();
        Ok(Stats { cpu_ns: cpu_ns(id)?, rss_kb: resident_kb(id)?, base_kb: self.base_kb, gateways })
    }
}

/// The datagram port of the fleet, from a configuration file: it derives from the process id of the
/// experiment.
fn port_of_fleet(plan: &HollowPlan) -> Result<u16, LabError> {
    let Some(number) = plan.gateways.first() else { return Ok(datagram_port()) };
    let config = read_config(&plan.folder, *number)?;
    Ok(config.peer_listen.map_or_else(datagram_port, |address| address.port()))
}
