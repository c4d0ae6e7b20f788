//! A hollow gateway: the control plane of a gateway, with an address of its own and no clients. It reports
//! demand derived from the seed, and learns of primaries like a gateway that serves requests.

use super::addresses::{gateway_address, gateway_number, in_second_region};
use super::configuration_files::{config_path, operator_path};
use super::list_service::{member_name, FIRST_LISTED_ONLY_GROUP};
use super::protocol::{GatewayStats, HollowPlan, InjectedFault};
use crate::error::LabError;
use petrelgauge::control::config::{Config, ConfigError};
use petrelgauge::control::{ControlPlane, Dependencies, RoutingDecisions};
use petrelgauge::discovery::host_names::HostNames;
use petrelgauge::facade::{Facade, Outcome};
use petrelgauge::os::clock::Clock;
use petrelgauge::os::datagram::{self, DatagramSocket};
use petrelgauge::postgres::read_buffer::ReadBuffer;
use petrelgauge::resources::budget::Budget;
use petrelgauge::resources::counters::Counters;
use petrelgauge::{Ending, GroupId, Role, Time};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Requests per second and group at an ordinary gateway: 4.7 million per second over 1,500 gateways and 480
/// groups.
const REQUESTS_PER_GROUP: f64 = 6.5;
/// One in this many gateways is busy.
const BUSY_EVERY: usize = 10;
/// Remainder of the numbers of busy gateways.
const BUSY_REMAINDER: usize = 3;
/// Requests at a busy gateway, relative to the others.
const BUSY_FACTOR: f64 = 5.0;
/// Interval at which a gateway learns of each group's primary (microseconds).
const PRIMARY_INTERVAL: Time = 1_000_000;
/// Number of parts in which the groups are spread over this interval.
const PRIMARY_PARTS: u64 = 4;

/// What all gateways of a hollow process share.
pub(super) struct SharedState {
    pub(super) plan: HollowPlan,
    /// The port at which all gateways of the fleet listen for datagrams.
    pub(super) port: u16,
    /// Whether the regions are cut off from each other.
    pub(super) regions_cut: Cell<bool>,
    /// Datagrams that the injected fault keeps.
    pub(super) hoard: RefCell<Vec<Vec<u8>>>,
}

/// The socket of a hollow gateway, which can be cut off from the other region.
struct RegionSocket {
    socket: UdpSocket,
    number: usize,
    shared: Rc<SharedState>,
}

impl RegionSocket {
    fn is_cut_from(&self, other: SocketAddr) -> bool {
        let is_other_region = in_second_region(gateway_number(other)) != in_second_region(self.number);
        self.shared.regions_cut.get() && is_other_region
    }

    /// The injected fault `flood`: sends a datagram to every gateway of the fleet.
    fn send_to_all(&self, bytes: &[u8]) {
        for number in 0..self.shared.plan.fleet {
            let _ = DatagramSocket::try_send(&self.socket, bytes, gateway_address(number, self.shared.port));
        }
    }
}

impl DatagramSocket for RegionSocket {
    fn try_send(&self, bytes: &[u8], to: SocketAddr) -> std::io::Result<()> {
        if self.shared.plan.injected_fault == Some(InjectedFault::Flood) {
            self.send_to_all(bytes);
            return Ok(());
        }
        if self.is_cut_from(to) {
            return Ok(());
        }
        DatagramSocket::try_send(&self.socket, bytes, to)
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

/// One hollow gateway. Dropping it ends its tasks.
pub(super) struct HollowGateway {
    number: usize,
    control: ControlPlane<RegionSocket>,
    counters: Rc<Counters>,
    config: Config,
    clock: Clock,
    _tasks: JoinSet<()>,
    _discovery: watch::Sender<SocketAddr>,
}

/// The environment variables of a gateway.
fn variable(folder: &Path, number: usize, name: &str) -> Option<String> {
    let path = match name {
        "GW_CONFIG" => config_path(folder, number),
        "PETRELGAUGE_FILE" => operator_path(folder),
        _ => return None,
    };
    path.to_str().map(str::to_string)
}

/// Reads a gateway's configuration.
pub(super) fn read_config(folder: &Path, number: usize) -> Result<Config, ConfigError> {
    Config::read(|name| variable(folder, number, name))
}

/// Requests per second at a gateway for a group, derived from the seed.
fn request_rate(plan: &HollowPlan, number: usize, group: GroupId) -> f64 {
    if plan.idle.contains(&number) {
        return 0.0;
    }
    let mixed = (number as u64 ^ group.rotate_left(20) ^ plan.seed.rotate_left(40))
        .wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let spread = 0.5 + (mixed >> 40) as f64 / (1u64 << 24) as f64;
    let busy = if number % BUSY_EVERY == BUSY_REMAINDER { BUSY_FACTOR } else { 1.0 };
    REQUESTS_PER_GROUP * busy * spread
}

/// Requests at a gateway for each group since its start.
fn demand(facade: &Facade, plan: &HollowPlan, number: usize, seconds: f64) -> BTreeMap<GroupId, u64> {
    let requests = |group| (request_rate(plan, number, group) * seconds) as u64;
    facade.read(|table| table.requests_by_group()).into_keys().map(|group| (group, requests(group))).collect()
}

impl HollowGateway {
    /// Builds the control plane of a gateway and starts its tasks.
    pub(super) async fn start(shared: &Rc<SharedState>, number: usize) -> Result<HollowGateway, LabError> {
        let mut config = read_config(&shared.plan.folder, number)?;
        let clock = Clock::start();
        let began_at = clock.now();
        let decisions = RoutingDecisions::new(&config, began_at)?;
        let facade = decisions.facade.clone();
        let counters = Rc::new(Counters::default());
        let (demand_facade, demand_shared) = (facade.clone(), shared.clone());
        let dependencies = Dependencies {
            clock,
            budget: Budget::new(config.max_descriptors, config.max_memory),
            read_buffer: ReadBuffer::new(),
            counters: counters.clone(),
            demand: Rc::new(move || {
                let seconds = (clock.now() - began_at) as f64 / 1e6;
                demand(&demand_facade, &demand_shared.plan, number, seconds)
            }),
            assigned_ids: BTreeMap::new(),
        };
        let bind = |listen: SocketAddr| async move {
            let socket = datagram::bind(listen).await?;
            Ok(RegionSocket { socket, number, shared: shared.clone() })
        };
        let mut control = ControlPlane::new(&mut config, decisions, dependencies, bind).await?;
        let (discovery, discovery_changes) = watch::channel(config.discovery);
        let mut tasks = JoinSet::new();
        control.start(&mut tasks, discovery_changes);
        if !shared.plan.idle.contains(&number) {
            tasks.spawn_local(learn_primaries(facade, control.host_names.clone(), clock, number as u64));
        }
        let (_tasks, _discovery) = (tasks, discovery);
        Ok(HollowGateway { number, control, counters, config, clock, _tasks, _discovery })
    }

    pub(super) fn stats(&self) -> GatewayStats {
        let counters = &self.counters;
        let leadership = self.control.leadership.as_ref();
        GatewayStats {
            number: self.number,
            datagrams_sent: counters.datagrams_sent.get(),
            bytes_sent: counters.datagram_bytes_sent.get(),
            datagrams_received: counters.datagrams_received.get(),
            bytes_received: counters.datagram_bytes_received.get(),
            list_bytes: counters.list_bytes.get(),
            list_revision: self.control.list_revision.get(),
            settings_version: self.control.facade.read(|table| table.settings_version()),
            entries: self.control.entry_count() as u64,
            held_leases: leadership.map_or(0, |leadership| leadership.held_leases() as u64),
            known_lease_holders: leadership.map_or(0, |leadership| leadership.known_lease_holders() as u64),
        }
    }

    /// Rereads and applies the configuration.
    pub(super) fn reload(&mut self, folder: &Path) -> Result<(), LabError> {
        let new = self.config.reread(|name| variable(folder, self.number, name))?;
        self.config = self.control.reload(self.clock.now(), &self.config, new)?.config;
        Ok(())
    }
}

/// Reports answers of primaries from time to time, as a gateway that serves requests does.
async fn learn_primaries(facade: Facade, names: Rc<HostNames>, clock: Clock, number: u64) {
    let mut turn = number;
    loop {
        clock.sleep_until(clock.now() + PRIMARY_INTERVAL / PRIMARY_PARTS as Time).await;
        turn += 1;
        let groups = facade
            .read(|table| table.requests_by_group())
            .into_keys()
            .filter(|group| *group >= FIRST_LISTED_ONLY_GROUP);
        for group in groups.filter(|group| (group + turn).is_multiple_of(PRIMARY_PARTS)) {
            let Some(member) = names.by_name(&member_name(group, 0)) else { continue };
            let now = clock.now();
            let outcome = Outcome {
                role: Some(Role::Primary),
                position: Some(now),
                ..Outcome::without_report(Ending::Served)
            };
            facade.update(|table| table.record_late_report(now, member, outcome));
        }
    }
}
