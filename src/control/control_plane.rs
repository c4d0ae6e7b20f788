//! The control plane of one gateway: connects its components and starts their background tasks.

use crate::control::config::Config;
use crate::control::decisions::RoutingDecisions;
use crate::control::dependencies::Dependencies;
use crate::control::error::ControlError;
use crate::control::leadership::fleet_leadership;
use crate::control::tasks::{close_unused_connections, step_decisions};
use crate::discovery::host_names::HostNames;
use crate::discovery::watch::{DiscoveryWatch, WatchOptions};
use crate::facade::Facade;
use crate::fleet::leadership::FleetLeadership;
use crate::fleet::peers::{PeerExchange, PeerOptions};
use crate::host::pool::{HostPool, HostPoolOptions};
use crate::os::clock::Clock;
use crate::os::datagram::DatagramSocket;
use crate::os::socket::{self, SocketError};
use crate::Time;
use petrelgauge_lifecycle::backoff::Backoff;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Maximum number of attempts to open the datagram socket at startup while descriptors or memory run out.
const BIND_ATTEMPTS: u32 = 500;

/// The control plane of one gateway. `S` is the type of the socket for datagrams between gateways.
pub struct ControlPlane<S> {
    /// The routing decisions.
    pub facade: Facade,
    /// Connections to the database hosts.
    pub host_pool: Rc<HostPool>,
    /// This gateway's participation in the fleet's leadership roles, if the operator has enabled any.
    pub leadership: Option<Rc<FleetLeadership>>,
    /// Names and IDs of the hosts.
    pub host_names: Rc<HostNames>,
    /// Whether discovery has sent a valid endpoint list since startup.
    pub has_received_list: Rc<Cell<bool>>,
    /// Revision of the current endpoint list.
    pub list_revision: Rc<Cell<u64>>,
    pub(super) read_wait_bound: Time,
    clock: Clock,
    /// Taken by [`ControlPlane::start`].
    discovery_watch: Option<DiscoveryWatch>,
    /// Taken by [`ControlPlane::start`]. `None` if gateways exchange no datagrams.
    peer_exchange: Option<PeerExchange<S>>,
}

impl<S: DatagramSocket + 'static> ControlPlane<S> {
    /// Builds a control plane and applies the initial endpoint list, which is moved out of `config`. `bind`
    /// opens the socket for datagrams between gateways; it is called only if the configuration requires one.
    ///
    /// # Errors
    ///
    /// Fails if the configuration is invalid or the datagram socket cannot be opened.
    pub async fn new<F: Future<Output = Result<S, SocketError>>>(
        config: &mut Config,
        decisions: RoutingDecisions,
        mut dependencies: Dependencies,
        bind: impl Fn(SocketAddr) -> F,
    ) -> Result<ControlPlane<S>, ControlError> {
        let RoutingDecisions { facade, read_wait_bound, gateway_count, broadcast_address, .. } = decisions;
        let clock = dependencies.clock;
        let host_pool = new_host_pool(config, &dependencies);
        let discovery_watch = DiscoveryWatch::new(WatchOptions {
            facade: facade.clone(),
            host_pool: host_pool.clone(),
            counters: dependencies.counters.clone(),
            clock,
            backoff: Backoff::new(gateway_count, config.seed.rotate_left(32)),
            initial_list: config.initial_list.take(),
            assigned_ids: std::mem::take(&mut dependencies.assigned_ids),
        });
        let host_names = discovery_watch.host_names();
        let leadership = fleet_leadership(config, &dependencies, &facade, &host_names)?;
        let datagram_address =
            broadcast_address.or_else(|| config.peer_listen.filter(|_| leadership.is_some()));
        let mut peer_exchange = None;
        if let Some(address) = datagram_address {
            let options = peer_options(config, &dependencies, &facade, &leadership)?;
            peer_exchange = Some(PeerExchange::new(open_socket(address, bind).await?, options));
        }
        Ok(ControlPlane {
            facade,
            host_pool,
            leadership,
            host_names,
            has_received_list: discovery_watch.has_received_list(),
            list_revision: discovery_watch.revision(),
            read_wait_bound,
            clock,
            discovery_watch: Some(discovery_watch),
            peer_exchange,
        })
    }

    /// Spawns the background tasks, none of which returns. The discovery watch connects to the latest address
    /// of `discovery`. A second call spawns only the periodic tasks.
    pub fn start(&mut self, tasks: &mut JoinSet<()>, discovery: watch::Receiver<SocketAddr>) {
        if let Some(discovery_watch) = self.discovery_watch.take() {
            tasks.spawn_local(discovery_watch.run(discovery));
        }
        tasks.spawn_local(step_decisions(self.facade.clone(), self.clock));
        tasks.spawn_local(close_unused_connections(self.host_pool.clone(), self.clock));
        if let Some(peer_exchange) = self.peer_exchange.take() {
            tasks.spawn_local(peer_exchange.run());
        }
    }

    /// Number of state entries that grow with the fleet: hosts, quotas, watermarks of other gateways.
    pub fn entry_count(&self) -> usize {
        let leadership_entries = self.leadership.as_ref().map_or(0, |leadership| leadership.entry_count());
        self.host_names.len() + leadership_entries + self.facade.read(|table| table.session_entries())
    }
}

fn new_host_pool(config: &Config, dependencies: &Dependencies) -> Rc<HostPool> {
    HostPool::new(HostPoolOptions {
        clock: dependencies.clock,
        budget: dependencies.budget.clone(),
        counters: dependencies.counters.clone(),
        read_buffer: dependencies.read_buffer.clone(),
        connect_timeout: config.deployment.connect_timeout(),
        host_idle_timeout: config.deployment.host_idle_timeout(),
    })
}

fn peer_options(
    config: &Config,
    dependencies: &Dependencies,
    facade: &Facade,
    leadership: &Option<Rc<FleetLeadership>>,
) -> Result<PeerOptions, ControlError> {
    Ok(PeerOptions {
        addresses: config.peers.clone(),
        self_index: config.peer_index().ok_or(ControlError::NotListed)?,
        facade: facade.clone(),
        leadership: leadership.clone(),
        clock: dependencies.clock,
        counters: dependencies.counters.clone(),
    })
}

/// Opens the socket for datagrams between gateways at `address`, retrying while system resources run out.
async fn open_socket<S, F: Future<Output = Result<S, SocketError>>>(
    address: SocketAddr,
    bind: impl Fn(SocketAddr) -> F,
) -> Result<S, ControlError> {
    let socket = socket::retry_on_shortage(BIND_ATTEMPTS, || bind(address)).await;
    socket.map_err(|source| ControlError::Bind { address, source })
}
