//! A hollow process: the control parts of many gateways, each with an address of its own, and no clients. Each reports
//! demand drawn from the seed and hears of primaries as one does that serves.

use super::addresses::{in_second_region, number_of, of_gateway, port};
use super::list_service::{member_name, FIRST_GROUP};
use super::protocol::{Command, GatewayStats, HollowPlan, InjectedFault, Stats};
use crate::measure::{cpu_ns, resident_kb};
use petrelgauge::facade::{Facade, Outcome};
use petrelgauge::net::budget::Budget;
use petrelgauge::net::clock::Clock;
use petrelgauge::net::config::{Config, ConfigError};
use petrelgauge::net::control::{reload, Control, Decisions, Environment};
use petrelgauge::net::counters::Counters;
use petrelgauge::net::datagram::{self, DatagramSocket};
use petrelgauge::net::host_names::HostNames;
use petrelgauge::net::read_buffer::ReadBuffer;
use petrelgauge::{Ending, GroupId, Role, Time};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Requests a second that a usual gateway gets for each group: 4.7 million a second over 1,500 gateways and 480 groups.
const REQUESTS: f64 = 6.5;
/// One gateway in so many has several times the others' work.
const BUSY_EVERY: usize = 10;
/// How many times that is.
const BUSY: f64 = 5.0;
/// A gateway hears of each group's primary this often (microseconds).
const PRIMARY_EVERY: Time = 1_000_000;
/// It hears of a part of them at a time.
const PRIMARY_PARTS: u64 = 4;

/// Span in which the tasks of a gateway that was stopped have ended.
const CLOSING: Duration = Duration::from_millis(30);

/// The socket of a hollow gateway: what crosses between the regions can be cut.
struct RegionSocket {
    socket: UdpSocket,
    number: usize,
    shared: Rc<Shared>,
}

/// What all gateways of the process share.
struct Shared {
    plan: HollowPlan,
    port: u16,
    cut: Cell<bool>,
    /// Datagrams that the injected fault keeps.
    hoard: RefCell<Vec<Vec<u8>>>,
}

impl RegionSocket {
    fn is_cut_from(&self, other: SocketAddr) -> bool {
        self.shared.cut.get() && in_second_region(number_of(other)) != in_second_region(self.number)
    }
}

impl DatagramSocket for RegionSocket {
    fn try_send(&self, bytes: &[u8], to: SocketAddr) -> std::io::Result<()> {
        if self.shared.plan.injected_fault == Some(InjectedFault::Flood) {
            let all = (0..self.shared.plan.fleet).map(|number| of_gateway(number, self.shared.port));
            all.for_each(|to| drop(DatagramSocket::try_send(&self.socket, bytes, to)));
            Ok(())
        } else if self.is_cut_from(to) {
            Ok(())
        } else {
            DatagramSocket::try_send(&self.socket, bytes, to)
        }
    }

    async fn receive(&self, bytes: &mut [u8]) -> std::io::Result<usize> {
        loop {
            let (count, from) = self.socket.recv_from(bytes).await?;
            if self.is_cut_from(from) {
                continue;
            }
            if self.shared.plan.injected_fault == Some(InjectedFault::Hoard) {
                self.shared.hoard.borrow_mut().push(bytes[..count].to_vec());
            }
            return Ok(count);
        }
    }
}

/// One hollow gateway.
struct Hollow {
    number: usize,
    control: Control<RegionSocket>,
    counters: Rc<Counters>,
    config: Config,
    read_wait_bound: Time,
    clock: Clock,
    /// Its tasks end with this value.
    _tasks: JoinSet<()>,
    _discovery: watch::Sender<SocketAddr>,
}

fn read_config(folder: &Path, number: usize) -> Result<Config, ConfigError> {
    let path = |name: String| folder.join(name).to_str().map(str::to_string);
    Config::read(|name| match name {
        "GW_CONFIG" => path(format!("config{number}")),
        "PETRELGAUGE_FILE" => path("operator".into()),
        _ => None,
    })
}

/// Requests a second of this gateway for this group: the same for one seed.
fn rate(shared: &Shared, number: usize, group: GroupId) -> f64 {
    if shared.plan.quiet.contains(&number) {
        return 0.0;
    }
    let mixed = (number as u64 ^ group.rotate_left(20) ^ shared.plan.seed.rotate_left(40))
        .wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let spread = 0.5 + (mixed >> 40) as f64 / (1u64 << 24) as f64;
    let busy = if number % BUSY_EVERY == 3 { BUSY } else { 1.0 };
    REQUESTS * busy * spread
}

impl Hollow {
    async fn start(shared: &Rc<Shared>, number: usize) -> Result<Hollow, String> {
        let mut config = read_config(&shared.plan.folder, number).map_err(|cause| cause.to_string())?;
        let clock = Clock::start();
        let decisions = Decisions::new(&config, clock.now()).map_err(|cause| cause.to_string())?;
        let (facade, read_wait_bound) = (decisions.facade.clone(), decisions.read_wait_bound);
        let counters = Rc::new(Counters::default());
        let begun = clock.now();
        let (listed, demanded) = (facade.clone(), shared.clone());
        let demand = move || -> BTreeMap<GroupId, u64> {
            let seconds = (clock.now() - begun) as f64 / 1e6;
            let groups = listed.requests_by_group().into_keys();
            groups.map(|group| (group, (rate(&demanded, number, group) * seconds) as u64)).collect()
        };
        let environment = Environment {
            clock,
            budget: Budget::new(config.sockets, config.memory),
            read_buffer: ReadBuffer::new(),
            counters: counters.clone(),
            demand: Rc::new(demand),
            assigned: Vec::new(),
        };
        let bind = |listen: SocketAddr| async move {
            Ok(RegionSocket { socket: datagram::bind(listen).await?, number, shared: shared.clone() })
        };
        let control = Control::new(&mut config, decisions, environment, bind).await;
        let mut control = control.map_err(|cause| cause.to_string())?;
        let (discovery, moved) = watch::channel(config.discovery);
        let mut tasks = JoinSet::new();
        control.start(&mut tasks, moved);
        if !shared.plan.quiet.contains(&number) {
            tasks.spawn_local(hear_of_primaries(facade, control.names.clone(), clock, number as u64));
        }
        let (_tasks, _discovery) = (tasks, discovery);
        Ok(Hollow { number, control, counters, config, read_wait_bound, clock, _tasks, _discovery })
    }

    fn stats(&self) -> GatewayStats {
        let Counters { told, told_bytes, heard, heard_bytes, list_bytes, .. } = &*self.counters;
        let leadership = self.control.leadership.as_ref();
        GatewayStats {
            number: self.number,
            up: true,
            told: told.get(),
            told_bytes: told_bytes.get(),
            heard: heard.get(),
            heard_bytes: heard_bytes.get(),
            list_bytes: list_bytes.get(),
            revision: self.control.revision.get(),
            version: self.control.facade.version(),
            entries: self.control.entries() as u64,
            owned: leadership.map_or(0, |leadership| leadership.held_leases() as u64),
            known_lease_holders: leadership.map_or(0, |leadership| leadership.known_lease_holders() as u64),
        }
    }

    fn reload(&mut self, folder: &Path) -> Result<(), String> {
        let path = folder.join(format!("config{}", self.number));
        let new = self.config.reread(|name| match name {
            "GW_CONFIG" => path.to_str().map(str::to_string),
            "PETRELGAUGE_FILE" => folder.join("operator").to_str().map(str::to_string),
            _ => None,
        });
        let new = new.map_err(|cause| cause.to_string())?;
        let Control { facade, hosts, .. } = &self.control;
        let followed = reload(new, &self.config, self.read_wait_bound, self.clock.now(), facade, hosts);
        self.config = followed.map_err(|cause| cause.to_string())?.0;
        Ok(())
    }
}

/// Members answer as primaries now and then, as they do where requests are served.
async fn hear_of_primaries(facade: Facade, names: Rc<HostNames>, clock: Clock, number: u64) {
    let mut turn = number;
    loop {
        clock.sleep_until(clock.now() + PRIMARY_EVERY / PRIMARY_PARTS as Time).await;
        turn += 1;
        let groups = facade.requests_by_group().into_keys().filter(|group| *group >= FIRST_GROUP);
        for group in groups.filter(|group| (group + turn).is_multiple_of(PRIMARY_PARTS)) {
            let Some(member) = names.by_name(&member_name(group, 0)) else { continue };
            let (role, now) = (Some(Role::Primary), clock.now());
            let said = Outcome { role, position: Some(now), ..Outcome::silent(Ending::Served) };
            facade.record_late_report(now, member, said);
        }
    }
}

/// Runs until the experiment closes its connection.
pub fn run(plan: &Path) -> Result<(), crate::error::LabError> {
    let text = std::fs::read_to_string(plan)?;
    let plan: HollowPlan = serde_json::from_str(&text).map_err(std::io::Error::other)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(plan))
}

async fn serve(plan: HollowPlan) -> Result<(), crate::error::LabError> {
    let base_kb = resident_kb(std::process::id())?;
    let mut experiment = BufReader::new(TcpStream::connect(plan.experiment).await?);
    let first = plan.gateways.first().copied().unwrap_or_default();
    experiment.get_mut().write_all(format!("{first}\n").as_bytes()).await?;
    // The experiment's own port, which it has in the addresses that it wrote.
    let port = plan_port(&plan)?;
    let shared = Rc::new(Shared { plan, port, cut: Cell::new(false), hoard: RefCell::default() });
    let mut gateways = BTreeMap::new();
    for number in shared.plan.gateways.clone() {
        start(&shared, &mut gateways, number).await?;
    }
    let mut line = String::new();
    loop {
        line.clear();
        if experiment.read_line(&mut line).await? == 0 {
            return Ok(());
        }
        let answer = match serde_json::from_str(&line).map_err(std::io::Error::other)? {
            Command::Stats => stats(&shared, &gateways, base_kb)?,
            Command::Cut(cut) => {
                shared.cut.set(cut);
                Stats::default()
            }
            Command::Stop(stopped) => {
                gateways.retain(|number, _| !stopped.contains(number));
                Stats::default()
            }
            Command::Start(started) => {
                let here: BTreeSet<usize> = shared.plan.gateways.iter().copied().collect();
                gateways.retain(|number, _| !started.contains(number));
                // Sockets are closed when the tasks that hold them have ended.
                tokio::time::sleep(CLOSING).await;
                for number in here.intersection(&started) {
                    start(&shared, &mut gateways, *number).await?;
                }
                Stats::default()
            }
            Command::Reload => {
                let reloaded = gateways.values_mut().try_for_each(|one| one.reload(&shared.plan.folder));
                reloaded.map_err(std::io::Error::other)?;
                Stats::default()
            }
        };
        let answer = serde_json::to_string(&answer).map_err(std::io::Error::other)? + "\n";
        experiment.get_mut().write_all(answer.as_bytes()).await?;
    }
}

fn plan_port(plan: &HollowPlan) -> Result<u16, crate::error::LabError> {
    let Some(number) = plan.gateways.first() else { return Ok(port()) };
    let config = read_config(&plan.folder, *number).map_err(std::io::Error::other)?;
    Ok(config.peer_listen.map_or_else(port, |address| address.port()))
}

async fn start(
    shared: &Rc<Shared>,
    gateways: &mut BTreeMap<usize, Hollow>,
    number: usize,
) -> Result<(), crate::error::LabError> {
    let hollow = Hollow::start(shared, number).await.map_err(std::io::Error::other)?;
    gateways.insert(number, hollow);
    Ok(())
}

fn stats(
    shared: &Shared,
    gateways: &BTreeMap<usize, Hollow>,
    base_kb: u64,
) -> Result<Stats, crate::error::LabError> {
    let id = std::process::id();
    let hoarded = shared.hoard.borrow().len() as u64 / gateways.len().max(1) as u64;
    let each = gateways.values().map(|one| {
        let stats = one.stats();
        GatewayStats { entries: stats.entries + hoarded, ..stats }
    });
    Ok(Stats { cpu_ns: cpu_ns(id)?, rss_kb: resident_kb(id)?, base_kb, gateways: each.collect() })
}
