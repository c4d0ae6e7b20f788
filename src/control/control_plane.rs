//! The control part of one gateway and the tasks that it starts.

use crate::control::config::Config;
use crate::control::decisions::Decisions;
use crate::control::error::ControlError;
use crate::control::leadership::leadership;
use crate::control::tasks::{close_unused_connections, step_decisions};
use crate::discovery::host_names::HostNames;
use crate::discovery::watch::DiscoveryWatch;
use crate::facade::Facade;
use crate::fleet::leadership::FleetLeadership;
use crate::fleet::peers::Peers;
use crate::fleet::quota_lending::Demand;
use crate::host::pool::Hosts;
use crate::os::clock::Clock;
use crate::os::datagram::DatagramSocket;
use crate::os::socket::{self, SocketError};
use crate::postgres::read_buffer::ReadBuffer;
use crate::resources::budget::Budget;
use crate::resources::counters::Counters;
use crate::MemberId;
use petrelgauge_lifecycle::backoff::Backoff;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Times that a start tries to open the socket for datagrams while the machine lacks descriptors or memory (count).
const BIND_ATTEMPTS: u32 = 500;

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
