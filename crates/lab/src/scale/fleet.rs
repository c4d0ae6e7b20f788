//! One fleet of hollow and real gateways before a list service, and what each of its roles costs.

use super::configuration_files::{client_address, emulated_host_entries, write_files};
use super::fleet_plan::{FleetPlan, EMULATED_GROUPS_AND_MEMBERS, QUIET, REAL};
use super::list_service::ListService;
use super::processes::{Hollow, Real};
use super::protocol::{Command, GatewayStats, HollowPlan, Stats};
use super::role_costs::{cost, mean, Costs};
use crate::emulated_hosts::EmulatedHosts;
use crate::test_cluster::{gateway_program, STALENESS_BOUND};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::{Child, Command as Process, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Hollow gateways of one process at most, but for acceptors, which have processes of their own.
const PER_PROCESS: usize = 50;
/// A folder that is removed with this value.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A fleet that runs. It ends with this value.
pub struct Fleet {
    /// What it was made from.
    pub plan: FleetPlan,
    /// The list service.
    pub service: Rc<ListService>,
    /// Hollow processes.
    pub hollow: Vec<Hollow>,
    real: Vec<Real>,
    _emulated_hosts: Rc<EmulatedHosts>,
    folder: Folder,
}

/// All figures of a fleet at one time.
pub struct Snapshot {
    at: std::time::Instant,
    hollow: Vec<Stats>,
    real: Vec<Stats>,
    service: [u64; 3],
}

impl Fleet {
    /// Starts everything and waits until every gateway holds a list.
    pub async fn start(plan: FleetPlan) -> Result<Fleet, crate::error::LabError> {
        let rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let emulated_hosts = EmulatedHosts::start(
            EMULATED_GROUPS_AND_MEMBERS.0,
            EMULATED_GROUPS_AND_MEMBERS.1,
            STALENESS_BOUND,
            0,
            rng,
        )
        .await?;
        let (service, discovery) =
            ListService::start(plan.phantoms(), emulated_host_entries(&emulated_hosts)).await?;
        let folder = std::env::temp_dir().join(format!(
            "petrelgauge-scale-{}-{}",
            std::process::id(),
            discovery.port()
        ));
        let folder = Folder(folder);
        std::fs::create_dir_all(&folder.0)?;
        write_files(&plan, &folder.0, discovery)?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let mut fleet = Fleet {
            plan,
            service,
            hollow: Vec::new(),
            real: Vec::new(),
            _emulated_hosts: emulated_hosts,
            folder,
        };
        fleet.start_real()?;
        fleet.start_hollow(&listener).await?;
        fleet.wait_for_lists().await?;
        Ok(fleet)
    }

    fn start_real(&mut self) -> Result<(), crate::error::LabError> {
        for number in self.plan.real() {
            let log = self.folder.0.join(format!("log{number}"));
            let child = Process::new(gateway_program()?)
                .env("GW_CONFIG", self.folder.0.join(format!("config{number}")))
                .env("PETRELGAUGE_FILE", self.folder.0.join("operator"))
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(std::fs::File::create(&log)?)
                .spawn()?;
            self.real.push(Real { child, listen: client_address(number), log, number });
        }
        Ok(())
    }

    async fn start_hollow(&mut self, listener: &TcpListener) -> Result<(), crate::error::LabError> {
        let (plan, acceptors) = (&self.plan, self.plan.acceptors.clone());
        let quiet = plan.quiet();
        let others: Vec<usize> = plan.plain().skip(REAL + QUIET).collect();
        let mut groups: Vec<Vec<usize>> = acceptors.iter().map(|acceptor| vec![*acceptor]).collect();
        // A process for each, as real gateways have: they are compared.
        groups.extend(quiet.iter().map(|number| vec![*number]));
        groups.extend(others.chunks(PER_PROCESS).map(<[usize]>::to_vec));
        groups.retain(|gateways| !gateways.is_empty());
        let experiment = listener.local_addr()?;
        let mut started: Vec<(Vec<usize>, Child)> = Vec::new();
        for (place, gateways) in groups.into_iter().enumerate() {
            let folder = self.folder.0.clone();
            let told = HollowPlan {
                experiment,
                folder: folder.clone(),
                gateways: gateways.clone(),
                quiet: quiet.clone(),
                fleet: plan.gateways,
                seed: plan.seed,
                injected_fault: plan.injected_fault,
            };
            let file = folder.join(format!("hollow{place}"));
            std::fs::write(&file, serde_json::to_string(&told).map_err(std::io::Error::other)?)?;
            let child = Process::new(std::env::current_exe()?)
                .arg("hollow")
                .arg(&file)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(std::fs::File::create(folder.join(format!("hollowlog{place}")))?)
                .spawn()?;
            started.push((gateways, child));
        }
        for _ in 0..started.len() {
            let accepted = tokio::time::timeout(Duration::from_secs(20), listener.accept()).await;
            let (stream, _) = accepted.map_err(|_| crate::error::LabError::HollowProcessNotStarted)??;
            stream.set_nodelay(true)?;
            // Its first line says which of them it is.
            let (mut stream, mut first) = (BufReader::new(stream), String::new());
            stream.read_line(&mut first).await?;
            let first: Option<usize> = first.trim().parse().ok();
            let place = started.iter().position(|(gateways, _)| gateways.first().copied() == first);
            let place = place.ok_or(crate::error::LabError::UnknownHollowProcess)?;
            let (gateways, child) = started.swap_remove(place);
            self.hollow.push(Hollow { gateways, child, stream });
        }
        self.hollow.sort_by_key(|hollow| hollow.gateways.first().copied());
        Ok(())
    }

    async fn wait_for_lists(&mut self) -> Result<(), crate::error::LabError> {
        for real in &self.real {
            for _ in 0..1_000 {
                if TcpStream::connect(real.listen).await.is_ok() {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        self.until(Duration::from_secs(20), "a list", |one| one.revision > 0).await.map(|_| ())
    }

    /// Waits until this holds of every hollow gateway that runs; says how long that took.
    pub async fn until(
        &mut self,
        limit: Duration,
        what: &str,
        holds: impl Fn(&GatewayStats) -> bool,
    ) -> Result<Duration, crate::error::LabError> {
        let begun = std::time::Instant::now();
        loop {
            let all = self.request_all(&Command::Stats).await?;
            if all.iter().flat_map(|stats| &stats.gateways).all(&holds) {
                return Ok(begun.elapsed());
            }
            if begun.elapsed() > limit {
                return Err(crate::error::LabError::StateNotReached { state: what.into(), limit });
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Asks every hollow process, side by side in effect: each answers at once.
    pub async fn request_all(&mut self, command: &Command) -> Result<Vec<Stats>, crate::error::LabError> {
        let mut answers = Vec::new();
        for hollow in &mut self.hollow {
            answers.push(hollow.ask(command).await?);
        }
        Ok(answers)
    }

    /// All figures by now.
    pub async fn snapshot(&mut self) -> Result<Snapshot, crate::error::LabError> {
        let mut real = Vec::new();
        for one in &self.real {
            real.push(one.stats().await?);
        }
        let hollow = self.request_all(&Command::Stats).await?;
        let ListService { bytes, complete_lists, changes, .. } = &*self.service;
        let service = [bytes.get(), complete_lists.get(), changes.get()];
        Ok(Snapshot { at: std::time::Instant::now(), hollow, real, service })
    }

    /// What was spent in a second between two snapshots.
    pub fn costs(&self, before: &Snapshot, after: &Snapshot) -> Costs {
        let seconds = (after.at - before.at).as_secs_f64();
        let acceptors: BTreeSet<usize> = self.plan.acceptors.iter().copied().collect();
        let quiet = self.plan.quiet();
        let (mut gateways, mut electing, mut quiets) = (Vec::new(), Vec::new(), Vec::new());
        for (before, after) in before.hollow.iter().zip(&after.hollow) {
            let count = after.gateways.len().max(1) as f64;
            let cpu_us = (after.cpu_ns - before.cpu_ns) as f64 / 1_000.0 / count / seconds;
            let rss_kb = after.rss_kb.saturating_sub(after.base_kb) as f64 / count;
            for one in &after.gateways {
                let earlier = before.gateways.iter().find(|earlier| earlier.number == one.number);
                let cost = cost(earlier, one, seconds, cpu_us, rss_kb);
                match one.number {
                    number if acceptors.contains(&number) => electing.push(cost),
                    number if quiet.contains(&number) => quiets.push(cost),
                    _ => gateways.push(cost),
                }
            }
        }
        let real = before.real.iter().zip(&after.real).filter_map(|(before, after)| {
            let (earlier, one) = (before.gateways.first()?, after.gateways.first()?);
            let cpu_us = (after.cpu_ns - before.cpu_ns) as f64 / 1_000.0 / seconds;
            Some(cost(Some(earlier), one, seconds, cpu_us, after.rss_kb as f64))
        });
        Costs {
            gateway: mean(&gateways),
            owner: mean(&electing).times(electing.len() as f64 / self.plan.owners.max(1) as f64),
            real: mean(&real.collect::<Vec<_>>()),
            quiet: mean(&quiets),
            service_bytes: (after.service[0] - before.service[0]) as f64 / seconds,
            complete_list_bytes: self.service.complete_list_bytes.get() as f64,
            changes: (after.service[2] - before.service[2]) as f64 / seconds,
        }
    }

    /// Writes every gateway's configuration anew, with other settings.
    pub fn change_settings(&self) -> Result<(), crate::error::LabError> {
        for number in 0..self.plan.gateways {
            let file = self.folder.0.join(format!("config{number}"));
            let text = std::fs::read_to_string(&file)?;
            std::fs::write(&file, text.replace("\"aim_us\":500000", "\"aim_us\":490000"))?;
        }
        Ok(())
    }
}
