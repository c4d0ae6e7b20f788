//! One fleet of hollow and real gateways before a list service, and what each of its roles costs.

use super::addresses::{of_gateway, port, zone, zone_name};
use super::list_service::ListService;
use super::protocol::{Command, GatewayStats, HollowPlan, Plant, Stats};
use crate::gateways::settings_of_tier;
use crate::group::Part;
use crate::hosts::Farm;
use crate::measure::{cpu_ns, resident_kb};
use crate::stage::{program, BOUND};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command as Process, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Real gateways beside the hollow ones: the first places that have no elector.
pub const REAL: usize = 4;
/// Hollow gateways that report no demand, compared with the real ones while these serve nobody: the next places.
pub const QUIET: usize = 4;
/// Groups and members of the real hosts that real gateways serve from.
const FARM: (usize, usize) = (4, 5);
/// Hollow gateways of one process at most, but for electors, which have processes of their own.
const PER_PROCESS: usize = 50;
/// Secret of the fleet's datagrams.
const SECRET: &str = "5ca1e";

/// What gateways tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Family {
    /// Duties: leases, primaries' words, the share-out.
    Duties,
    /// Marks of sessions.
    Sessions,
}

/// A fleet to be played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Gateways, real ones included.
    pub gateways: usize,
    /// Entries of the list.
    pub hosts: usize,
    /// Changes of the list.
    pub changes_per_minute: f64,
    /// What they tell each other.
    pub family: Family,
    /// The record `ownership` beside its secret.
    pub ownership: String,
    /// Places of the electors.
    pub electors: Vec<usize>,
    /// How many of them share the owners' work; the others only grant leases.
    pub owners: usize,
    /// Seed of all chance.
    pub seed: u64,
    /// A fault that is injected.
    pub plant: Option<Plant>,
}

impl Plan {
    /// Groups of the list, those of the real hosts included.
    pub fn groups(&self) -> usize {
        self.phantoms().div_ceil(super::list_service::MEMBERS) + FARM.0
    }

    fn phantoms(&self) -> usize {
        self.hosts.saturating_sub(FARM.0 * FARM.1)
    }

    /// Gateways that grant no leases, in order.
    fn plain(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.gateways).filter(|number| !self.electors.contains(number))
    }

    fn real(&self) -> Vec<usize> {
        self.plain().take(REAL).collect()
    }

    /// Hollow gateways without demand.
    pub fn quiet(&self) -> BTreeSet<usize> {
        self.plain().skip(REAL).take(QUIET).collect()
    }

    /// The places of so many electors among so many gateways, as the operator's file has them.
    pub fn spread(electors: usize, gateways: usize) -> Vec<usize> {
        (0..electors).map(|place| place * gateways / electors).collect()
    }
}

/// A hollow process, as the experiment speaks to it.
pub struct Hollow {
    /// Its gateways.
    pub gateways: Vec<usize>,
    child: Child,
    stream: BufReader<TcpStream>,
}

impl Hollow {
    /// Asks for something and waits for the answer.
    pub async fn ask(&mut self, command: &Command) -> std::io::Result<Stats> {
        let line = serde_json::to_string(command).map_err(std::io::Error::other)? + "\n";
        self.stream.get_mut().write_all(line.as_bytes()).await?;
        let mut answer = String::new();
        if self.stream.read_line(&mut answer).await? == 0 {
            return Err(std::io::Error::other("a hollow process ended"));
        }
        serde_json::from_str(&answer).map_err(std::io::Error::other)
    }
}

impl Drop for Hollow {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A real gateway.
struct Real {
    child: Child,
    listen: SocketAddr,
    log: PathBuf,
    number: usize,
}

impl Drop for Real {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Real {
    /// Its counters, asked for by a signal and read from its log.
    async fn stats(&self) -> std::io::Result<Stats> {
        let id = self.child.id();
        let lines = |text: &str| text.matches("requests=").count();
        let before = lines(&std::fs::read_to_string(&self.log)?);
        let sent = Process::new("kill").args(["-USR1", &id.to_string()]).status()?;
        if !sent.success() {
            return Err(std::io::Error::other("a real gateway ended"));
        }
        for _ in 0..200 {
            let text = std::fs::read_to_string(&self.log)?;
            if lines(&text) > before {
                let last = text.lines().rev().find(|line| line.contains("requests=")).unwrap_or_default();
                return Ok(Stats {
                    cpu_ns: cpu_ns(id)?,
                    rss_kb: resident_kb(id)?,
                    base_kb: 0,
                    gateways: vec![self.counted(last)],
                });
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Err(std::io::Error::other("a real gateway does not tell its counters"))
    }

    fn counted(&self, line: &str) -> GatewayStats {
        let count = |name: &str| {
            let mut words = line.split_ascii_whitespace();
            let value =
                words.find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok());
            value.unwrap_or(0)
        };
        GatewayStats {
            number: self.number,
            up: true,
            told: count("told"),
            told_bytes: count("told_bytes"),
            heard: count("heard"),
            heard_bytes: count("heard_bytes"),
            list_bytes: count("list_bytes"),
            ..GatewayStats::default()
        }
    }
}

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
    pub plan: Plan,
    /// The list service.
    pub service: Rc<ListService>,
    /// Hollow processes.
    pub hollow: Vec<Hollow>,
    real: Vec<Real>,
    _farm: Rc<Farm>,
    folder: Folder,
}

/// All figures of a fleet at one time.
pub struct Snapshot {
    at: std::time::Instant,
    hollow: Vec<Stats>,
    real: Vec<Stats>,
    service: [u64; 3],
}

/// What one gateway of a role costs in a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Datagrams heard.
    pub datagrams_in: f64,
    /// Datagrams told.
    pub datagrams_out: f64,
    /// Bytes heard in datagrams.
    pub bytes_in: f64,
    /// Bytes told in datagrams.
    pub bytes_out: f64,
    /// Bytes of discovery's watch.
    pub list_bytes: f64,
    /// Processor time (microseconds).
    pub cpu_us: f64,
    /// Resident memory (kB).
    pub rss_kb: f64,
    /// Entries of state.
    pub entries: f64,
}

impl Cost {
    /// So many times this cost; what is there once, entries and memory, included.
    fn times(self, factor: f64) -> Cost {
        Cost {
            datagrams_in: self.datagrams_in * factor,
            datagrams_out: self.datagrams_out * factor,
            bytes_in: self.bytes_in * factor,
            bytes_out: self.bytes_out * factor,
            list_bytes: self.list_bytes * factor,
            cpu_us: self.cpu_us * factor,
            rss_kb: self.rss_kb * factor,
            entries: self.entries * factor,
        }
    }
}

/// What a fleet cost between two snapshots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// A gateway that is no elector: the mean.
    pub gateway: Cost,
    /// An owner of duties: all that electors cost, over those that share the work.
    pub owner: Cost,
    /// A real gateway: the mean.
    pub real: Cost,
    /// A hollow gateway without demand: the mean.
    pub quiet: Cost,
    /// Bytes that the list service sent in a second.
    pub service_bytes: f64,
    /// Bytes of a whole list.
    pub whole_list_bytes: f64,
    /// Changes of the list in a second.
    pub changes: f64,
}

impl Costs {
    /// The same with the lesser processor time of the two, role by role.
    pub fn with_least_cpu(self, other: Costs) -> Costs {
        let least = |one: Cost, other: Cost| Cost { cpu_us: one.cpu_us.min(other.cpu_us), ..one };
        Costs {
            gateway: least(self.gateway, other.gateway),
            owner: least(self.owner, other.owner),
            real: least(self.real, other.real),
            quiet: least(self.quiet, other.quiet),
            ..self
        }
    }
}

impl Fleet {
    /// Starts everything and waits until every gateway holds a list.
    pub async fn start(plan: Plan) -> std::io::Result<Fleet> {
        let rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let farm = Farm::start(FARM.0, FARM.1, BOUND, 0, rng).await?;
        let (service, discovery) = ListService::start(plan.phantoms(), farm_entries(&farm)).await?;
        let folder = std::env::temp_dir().join(format!(
            "petrelgauge-scale-{}-{}",
            std::process::id(),
            discovery.port()
        ));
        let folder = Folder(folder);
        std::fs::create_dir_all(&folder.0)?;
        write_files(&plan, &folder.0, discovery)?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let mut fleet = Fleet { plan, service, hollow: Vec::new(), real: Vec::new(), _farm: farm, folder };
        fleet.start_real()?;
        fleet.start_hollow(&listener).await?;
        fleet.wait_for_lists().await?;
        Ok(fleet)
    }

    fn start_real(&mut self) -> std::io::Result<()> {
        for number in self.plan.real() {
            let log = self.folder.0.join(format!("log{number}"));
            let child = Process::new(program()?)
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

    async fn start_hollow(&mut self, listener: &TcpListener) -> std::io::Result<()> {
        let (plan, electors) = (&self.plan, self.plan.electors.clone());
        let quiet = plan.quiet();
        let others: Vec<usize> = plan.plain().skip(REAL + QUIET).collect();
        let mut groups: Vec<Vec<usize>> = electors.iter().map(|elector| vec![*elector]).collect();
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
                plant: plan.plant,
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
            let (stream, _) =
                accepted.map_err(|_| std::io::Error::other("a hollow process does not start"))??;
            stream.set_nodelay(true)?;
            // Its first line says which of them it is.
            let (mut stream, mut first) = (BufReader::new(stream), String::new());
            stream.read_line(&mut first).await?;
            let first: Option<usize> = first.trim().parse().ok();
            let place = started.iter().position(|(gateways, _)| gateways.first().copied() == first);
            let place =
                place.ok_or_else(|| std::io::Error::other("a stranger among the hollow processes"))?;
            let (gateways, child) = started.swap_remove(place);
            self.hollow.push(Hollow { gateways, child, stream });
        }
        self.hollow.sort_by_key(|hollow| hollow.gateways.first().copied());
        Ok(())
    }

    async fn wait_for_lists(&mut self) -> std::io::Result<()> {
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
    ) -> std::io::Result<Duration> {
        let begun = std::time::Instant::now();
        loop {
            let all = self.ask_all(&Command::Stats).await?;
            if all.iter().flat_map(|stats| &stats.gateways).all(&holds) {
                return Ok(begun.elapsed());
            }
            if begun.elapsed() > limit {
                return Err(std::io::Error::other(format!("not all gateways hold {what} within {limit:?}")));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Asks every hollow process, side by side in effect: each answers at once.
    pub async fn ask_all(&mut self, command: &Command) -> std::io::Result<Vec<Stats>> {
        let mut answers = Vec::new();
        for hollow in &mut self.hollow {
            answers.push(hollow.ask(command).await?);
        }
        Ok(answers)
    }

    /// All figures by now.
    pub async fn snapshot(&mut self) -> std::io::Result<Snapshot> {
        let mut real = Vec::new();
        for one in &self.real {
            real.push(one.stats().await?);
        }
        let hollow = self.ask_all(&Command::Stats).await?;
        let ListService { bytes, whole_lists, changes, .. } = &*self.service;
        let service = [bytes.get(), whole_lists.get(), changes.get()];
        Ok(Snapshot { at: std::time::Instant::now(), hollow, real, service })
    }

    /// What was spent in a second between two snapshots.
    pub fn costs(&self, before: &Snapshot, after: &Snapshot) -> Costs {
        let seconds = (after.at - before.at).as_secs_f64();
        let electors: BTreeSet<usize> = self.plan.electors.iter().copied().collect();
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
                    number if electors.contains(&number) => electing.push(cost),
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
            whole_list_bytes: self.service.whole_bytes.get() as f64,
            changes: (after.service[2] - before.service[2]) as f64 / seconds,
        }
    }

    /// Writes every gateway's configuration anew, with other settings.
    pub fn change_settings(&self) -> std::io::Result<()> {
        for number in 0..self.plan.gateways {
            let file = self.folder.0.join(format!("config{number}"));
            let text = std::fs::read_to_string(&file)?;
            std::fs::write(&file, text.replace("\"aim_us\":500000", "\"aim_us\":490000"))?;
        }
        Ok(())
    }
}

fn cost(earlier: Option<&GatewayStats>, one: &GatewayStats, seconds: f64, cpu_us: f64, rss_kb: f64) -> Cost {
    let zero = GatewayStats::default();
    let earlier = earlier.unwrap_or(&zero);
    // One that was started anew counts from 0 again.
    let rate = |after: u64, before: u64| after.saturating_sub(before) as f64 / seconds;
    Cost {
        datagrams_in: rate(one.heard, earlier.heard),
        datagrams_out: rate(one.told, earlier.told),
        bytes_in: rate(one.heard_bytes, earlier.heard_bytes),
        bytes_out: rate(one.told_bytes, earlier.told_bytes),
        list_bytes: rate(one.list_bytes, earlier.list_bytes),
        cpu_us,
        rss_kb,
        entries: one.entries as f64,
    }
}

fn mean(costs: &[Cost]) -> Cost {
    let count = costs.len().max(1) as f64;
    let of = |figure: fn(&Cost) -> f64| costs.iter().map(figure).sum::<f64>() / count;
    Cost {
        datagrams_in: of(|cost| cost.datagrams_in),
        datagrams_out: of(|cost| cost.datagrams_out),
        bytes_in: of(|cost| cost.bytes_in),
        bytes_out: of(|cost| cost.bytes_out),
        list_bytes: of(|cost| cost.list_bytes),
        cpu_us: of(|cost| cost.cpu_us),
        rss_kb: of(|cost| cost.rss_kb),
        entries: of(|cost| cost.entries),
    }
}

/// Where clients reach a gateway: beside where other gateways do.
fn client_address(number: usize) -> SocketAddr {
    of_gateway(number, port() + 1)
}

fn write_files(plan: &Plan, folder: &Path, discovery: SocketAddr) -> std::io::Result<()> {
    let port = port();
    let peers: Vec<String> =
        (0..plan.gateways).map(|number| format!("\"{}\"", of_gateway(number, port))).collect();
    let peers = peers.join(",");
    for number in 0..plan.gateways {
        let (listen, heard, zone) =
            (client_address(number), of_gateway(number, port), zone_name(zone(number)));
        let seed = plan.seed.wrapping_mul(31).wrapping_add(101 + number as u64);
        let settings = settings_of_tier(false, plan.gateways, zone);
        let config = format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":2048}},"peer_listen":"{heard}","peers":[{peers}],"settings":{settings}}}"#
        );
        std::fs::write(folder.join(format!("config{number}")), config)?;
    }
    let operator = match plan.family {
        Family::Duties => format!("ownership: {{secret: \"{SECRET}\"\n{}}}\n", plan.ownership),
        Family::Sessions => format!(
            "sessions: {{classes: [\"view\", \"pay\"], secret: \"{SECRET}\", sources: [\"peers\"]}}\n"
        ),
    };
    std::fs::write(folder.join("operator"), operator)
}

/// The real hosts as entries of the list.
fn farm_entries(farm: &Farm) -> String {
    let addresses = farm.addresses.borrow();
    let mut rows = Vec::new();
    for (group, addresses) in farm.groups.iter().zip(addresses.iter()) {
        let group = group.borrow();
        for (member, address) in group.members.iter().zip(addresses) {
            let role = if matches!(member.part, Part::Follows) { "standby" } else { "primary" };
            let (name, cell) = (&member.name, group.id);
            rows.push(format!(
                r#"{{"id":"{name}","host_port":"{address}","locality":"a","cell":{cell},"phase":"up","replication":"{role}","size":1.0,"up_since_ms":0}}"#
            ));
        }
    }
    rows.join(",")
}
