//! The control part of a gateway: its watch of discovery, its table of hosts, its decisions, and what gateways tell each
//! other. It serves no client by itself. The program builds one and puts a front before it; the laboratory builds many
//! in one process and gives each of them demand that nobody sent.

pub mod config;
pub mod ops;

use crate::control::config::Config;
use crate::discovery::host_names::HostNames;
use crate::discovery::watch::DiscoveryWatch;
use crate::facade::{Facade, SessionTracking, SettingsRejected};
use crate::fleet::leadership::{FleetLeadership, LeadershipConfig};
use crate::fleet::peers::Peers;
use crate::fleet::primary_discovery::PrimaryDiscovery;
use crate::fleet::quota_lending::{Demand, QuotaLending};
use crate::host::pool::Hosts;
use crate::os::clock::Clock;
use crate::os::datagram::DatagramSocket;
use crate::os::socket::{self, SocketError};
use crate::postgres::read_buffer::ReadBuffer;
use crate::resources::budget::Budget;
use crate::resources::counters::Counters;
use crate::settings::deployment::DeploymentError;
use crate::settings::operator::SessionClassesError;
use crate::{Class, MemberId, Need, Settings, SettingsError, Time};
use petrelgauge_lifecycle::backoff::Backoff;
use petrelgauge_ownership::LeaseManager;
use petrelgauge_sessions::SessionTracker;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Between two closings of idle connections that are of no more use (microseconds).
const IDLE_SWEEP_INTERVAL: Time = 500_000;
/// Between two checks for clients that are too many (microseconds).
const SHED_INTERVAL: Time = 50_000;
/// What a query waits here before it is read, the decisions before they are stepped, and a refusal before its client has
/// it (microseconds): the 99th percentile of one of the three with the processor shared. More is no better: a client that
/// is refused sooner has more time left than its Retry-After says, and comes back with nothing of it left.
const QUEUEING_ALLOWANCE: Time = 3_000;

/// Times that a start tries to open the socket for datagrams while the machine lacks descriptors or memory (count).
const BIND_ATTEMPTS: u32 = 500;

/// Why the control part cannot start, or cannot follow a configuration that was read again.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A value of the deployment's settings is missing or not known.
    #[error("settings: {0}")]
    Deployment(#[from] DeploymentError),
    /// A figure of the deployment's settings is out of range.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The running gateway cannot take the settings.
    #[error("settings: {0}")]
    SettingsRejected(SettingsRejected),
    /// Sessions cannot be kept for the classes that the operator names.
    #[error(transparent)]
    SessionClasses(#[from] SessionClassesError),
    /// The settings of the sessions are out of range.
    #[error("sessions: {0}")]
    Sessions(#[from] petrelgauge_sessions::SettingsError),
    /// The settings of the shared duties are out of range.
    #[error("ownership: {0}")]
    Ownership(#[from] petrelgauge_ownership::SettingsError),
    /// The operator's record needs other instances, and the configuration does not say where they reach this one.
    #[error("{record}: the configuration names no peer_listen")]
    MissingPeerListen {
        /// The record of the operator's file.
        record: &'static str,
    },
    /// The operator's record needs other instances, and this gateway is not listed among them.
    #[error("{record}: this gateway is none of the peers")]
    NotListedFor {
        /// The record of the operator's file.
        record: &'static str,
    },
    /// This gateway is not listed among the peers.
    #[error("peers: this gateway is none of them")]
    NotListed,
    /// The address for datagrams of other instances cannot be bound.
    #[error("cannot listen to other instances at {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: SocketError,
    },
}

/// The decisions of one gateway, before the first list.
pub struct Decisions {
    /// The decisions.
    pub facade: Facade,
    /// Requests that clients can hold open.
    pub max_open_requests: u32,
    /// Longest that a read is held for a replica (microseconds).
    pub read_wait_bound: Time,
    gateways: u32,
    /// Where the watermark broadcasts of other gateways are received.
    exchange: Option<SocketAddr>,
}

impl Decisions {
    /// Those of this configuration.
    ///
    /// # Errors
    ///
    /// Fails if the settings, or what the operator has set of sessions, cannot be used.
    pub fn new(config: &Config, now: Time) -> Result<Decisions, ControlError> {
        let mut settings = settings(config)?;
        let (sessions, exchange) = sessions(config, &settings.classes, now)?;
        let read_wait_bound =
            sessions.as_ref().map_or(0, |sessions| sessions.tracker.settings().max_read_wait);
        settings.read_wait_bound = read_wait_bound;
        let (max_open_requests, gateways) = (settings.max_open_requests, settings.routers);
        let facade = Facade::with_sessions(settings, config.seed, sessions)?;
        Ok(Decisions { facade, max_open_requests, read_wait_bound, gateways, exchange })
    }
}

/// What the control part stands on.
pub struct Environment {
    /// The clock.
    pub clock: Clock,
    /// Descriptors and memory.
    pub budget: Rc<Budget>,
    /// What connections read into.
    pub read_buffer: Rc<ReadBuffer>,
    /// Counts.
    pub counters: Rc<Counters>,
    /// Requests that came for each group so far.
    pub demand: Demand,
    /// Numbers that another process of this gateway has assigned to hosts.
    pub assigned: Vec<(String, MemberId)>,
}

/// The control part of one gateway.
pub struct Control<S> {
    /// The decisions.
    pub facade: Facade,
    /// The database hosts.
    pub hosts: Rc<Hosts>,
    /// This gateway's part in the fleet's leadership roles, if they are switched on.
    pub leadership: Option<Rc<FleetLeadership>>,
    /// The names and numbers of the hosts.
    pub names: Rc<HostNames>,
    /// Discovery has sent a usable list since the start.
    pub has_spoken: Rc<Cell<bool>>,
    /// The revision of the list that is held.
    pub revision: Rc<Cell<u64>>,
    clock: Clock,
    counters: Rc<Counters>,
    discovery_watch: Option<DiscoveryWatch>,
    peers: Option<Peers<S>>,
}

impl<S: DatagramSocket + 'static> Control<S> {
    /// Builds it. `bind` gives the socket for datagrams between gateways; it is called only where some are exchanged.
    ///
    /// # Errors
    ///
    /// Fails if the configuration cannot be used, or the socket for datagrams not be opened.
    pub async fn new<F: Future<Output = Result<S, SocketError>>>(
        config: &mut Config,
        decisions: Decisions,
        environment: Environment,
        bind: impl Fn(SocketAddr) -> F,
    ) -> Result<Control<S>, ControlError> {
        let Environment { clock, budget, read_buffer, counters, demand, assigned } = environment;
        let Decisions { facade, gateways, exchange, .. } = decisions;
        let (connect, idle) = (config.info.connect_span(), config.info.idle_span());
        let hosts = Hosts::new(clock, budget, counters.clone(), read_buffer, connect, idle);
        let backoff = Backoff::new(gateways, config.seed.rotate_left(32));
        let known = config.known.take();
        let discovery_watch = DiscoveryWatch::new(
            facade.clone(),
            hosts.clone(),
            counters.clone(),
            clock,
            known,
            backoff,
            assigned,
        );
        let (has_spoken, names) = (discovery_watch.has_spoken(), discovery_watch.names());
        let revision = discovery_watch.revision();
        let leadership = leadership(config, &facade, clock, &counters, &names, demand)?;
        let listen = exchange.or(config.peer_listen.filter(|_| leadership.is_some()));
        let mut peers = None;
        if let Some(listen) = listen {
            let place = config.place().ok_or(ControlError::NotListed)?;
            let socket = socket::through_shortages(BIND_ATTEMPTS, || bind(listen)).await;
            let socket = socket.map_err(|source| ControlError::Bind { address: listen, source })?;
            peers = Some(Peers::new(socket, place, config.peers.clone()));
        }
        let discovery_watch = Some(discovery_watch);
        Ok(Control {
            facade,
            hosts,
            leadership,
            names,
            has_spoken,
            revision,
            clock,
            counters,
            discovery_watch,
            peers,
        })
    }

    /// Starts its tasks, none of which ends by itself. The watch is kept at the address that `discovery` names last.
    pub fn start(&mut self, tasks: &mut JoinSet<()>, discovery: watch::Receiver<SocketAddr>) {
        if let Some(watch) = self.discovery_watch.take() {
            tasks.spawn_local(watch.follow(discovery));
        }
        tasks.spawn_local(step_decisions(self.facade.clone(), self.clock));
        tasks.spawn_local(close_unused_connections(self.hosts.clone(), self.clock));
        if let Some(peers) = self.peers.take() {
            let (facade, counters) = (self.facade.clone(), self.counters.clone());
            tasks.spawn_local(peers.talk(facade, self.clock, counters, self.leadership.clone()));
        }
    }

    /// Entries of state that grow with the fleet: hosts, parts of limits, watermarks of other gateways.
    pub fn entries(&self) -> usize {
        let leadership = self.leadership.as_ref().map_or(0, |leadership| leadership.entries());
        self.names.len() + leadership + self.facade.session_entries()
    }
}

/// The configuration was read again: its settings hold from now on, or nothing has changed. Gives what is in force, and
/// how many requests clients can hold open by it.
///
/// # Errors
///
/// Fails if the new configuration or its settings cannot be used. The old ones stay in force then.
pub fn reload(
    new: Config,
    old: &Config,
    read_wait_bound: Time,
    now: Time,
    facade: &Facade,
    hosts: &Hosts,
) -> Result<(Config, u32), ControlError> {
    let mut settings = settings(&new)?;
    let carrying = carrying(&new, &settings.classes)?;
    (settings.read_wait_bound, settings.max_open_requests) =
        (read_wait_bound, settings.max_open_requests.min(old.sockets as u32 / 3));
    let open = settings.max_open_requests;
    let (connect, idle) = (new.info.connect_span(), new.info.idle_span());
    facade.apply_settings(now, settings, &carrying).map_err(ControlError::SettingsRejected)?;
    hosts.reconfigure(connect, idle);
    let unmoved = old.unmoved(&new);
    if !unmoved.is_empty() {
        log::warn!("configuration keys need a restart keys={}", unmoved.join(","));
    }
    // What only a start can follow stays as it was, to be named again by the next file.
    Ok((old.with(new), open))
}

/// This gateway's part in the fleet's leadership roles, if the operator has switched them on.
fn leadership(
    config: &Config,
    facade: &Facade,
    clock: Clock,
    counters: &Rc<Counters>,
    names: &Rc<HostNames>,
    demand: Demand,
) -> Result<Option<Rc<FleetLeadership>>, ControlError> {
    let Some(set) = &config.operator.ownership else { return Ok(None) };
    if config.peer_listen.is_none() {
        return Err(ControlError::MissingPeerListen { record: "ownership" });
    }
    let me = config.place().ok_or(ControlError::NotListedFor { record: "ownership" })?;
    let settings = set.settings(me, config.peers.len())?;
    let now = clock.now();
    let lease_manager = LeaseManager::new(settings, now, config.seed)?;
    // A restarted process must not accept what was granted to the one before it.
    let number = Pcg64Mcg::seed_from_u64(config.seed ^ now as u64).next_u32();
    let quota_lending = set
        .quota_lending
        .then(|| QuotaLending::new(&lease_manager, set.shards, number, facade.clone(), clock, demand));
    let (facade, counters, names) = (facade.clone(), counters.clone(), names.clone());
    let config =
        LeadershipConfig { primary_discovery: set.primary_discovery, shards: set.shards, secret: set.secret };
    let discovery = PrimaryDiscovery::new(set.shards, facade, clock, counters.clone(), names);
    Ok(Some(FleetLeadership::new(lease_manager, discovery, quota_lending, config, clock, counters)))
}

/// The session tracker with the classes that carry sessions, and where broadcasts of others are received.
type TrackedSessions = (Option<SessionTracking>, Option<SocketAddr>);

/// The sessions that the operator has switched on, or else what the deployment asks for by itself: watermarks of this
/// instance's own answers, since its start.
fn sessions(config: &Config, classes: &[Class], now: Time) -> Result<TrackedSessions, ControlError> {
    if let Some(set) = &config.operator.sessions {
        let (classes, mut settings) = (carrying(config, classes)?, set.settings.clone());
        let mut exchange = None;
        if set.peers {
            let listen = config.peer_listen.ok_or(ControlError::MissingPeerListen { record: "sessions" })?;
            let me = config.place().ok_or(ControlError::NotListedFor { record: "sessions" })?;
            (settings.instance, settings.instances) =
                (me as u16, config.peers.len().min(u16::MAX.into()) as u16);
            exchange = Some(listen);
        }
        let tracker = SessionTracker::new(settings, now)?;
        return Ok((Some(SessionTracking { tracker, classes }), exchange));
    }
    let classes = carrying(config, classes)?;
    if classes.is_empty() {
        return Ok((None, None));
    }
    let (hosts_report_positions, hosts_enforce_positions) =
        (config.info.tells_positions(), config.info.checks());
    let defaults = petrelgauge_sessions::Settings {
        hosts_report_positions,
        hosts_enforce_positions,
        ..Default::default()
    };
    let settings = petrelgauge_sessions::Settings { roams: false, tokens: false, ..defaults };
    let tracker = SessionTracker::new(settings, 0)?;
    Ok((Some(SessionTracking { tracker, classes }), None))
}

/// Places of the classes that carry sessions: those that the operator names, or else those that the deployment asks
/// for by itself.
fn carrying(config: &Config, classes: &[Class]) -> Result<Vec<usize>, SessionClassesError> {
    if let Some(set) = &config.operator.sessions {
        return set.places(classes);
    }
    if !classes.iter().any(|class| class.need == Need::Session) || !config.info.remembers_sessions() {
        return Ok(Vec::new());
    }
    let carrying = |place: &usize| matches!(classes[*place].need, Need::Write | Need::Session);
    Ok((0..classes.len()).filter(carrying).collect())
}

/// The settings of a configuration, as this gateway keeps them.
fn settings(config: &Config) -> Result<Settings, DeploymentError> {
    let mut settings = config.info.settings()?;
    // The protocol has no probes, and the watch of discovery is always open.
    settings.may_probe = false;
    settings.list_on_request = false;
    settings.clock_may_be_wrong = true;
    settings.client_round_trip = QUEUEING_ALLOWANCE;
    // Clients hold at most a third of the descriptors.
    settings.max_open_requests = settings.max_open_requests.min(config.sockets as u32 / 3);
    Ok(settings)
}

/// Steps the decisions when something came in or a timer is due.
async fn step_decisions(facade: Facade, clock: Clock) {
    loop {
        match facade.tick(clock.now()) {
            Some(at) => tokio::select! {
                () = clock.sleep_until(at) => {}
                () = facade.woken() => {}
            },
            None => facade.woken().await,
        }
    }
}

/// Closes idle connections to hosts that are of no more use, and idle clients that are too many.
async fn close_unused_connections(hosts: Rc<Hosts>, clock: Clock) {
    loop {
        let by = clock.now() + IDLE_SWEEP_INTERVAL;
        while clock.now() < by {
            clock.sleep_until(clock.now() + SHED_INTERVAL).await;
            hosts.shed_excess_clients();
        }
        hosts.sweep();
    }
}
