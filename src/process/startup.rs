//! Builds a gateway from its configuration, opens its sockets and starts its tasks.

use crate::process::error::GatewayError;
use crate::process::gateway::{Channels, GatewayProcess};
use petrelgauge::client::cancel_registry::CancelRegistry;
use petrelgauge::client::context::ClientContext;
use petrelgauge::control::config::Config;
use petrelgauge::control::ops::{CommandListener, CommandRequest};
use petrelgauge::control::{ControlPlane, Dependencies, RoutingDecisions};
use petrelgauge::discovery::host_names::HostNames;
use petrelgauge::facade::Facade;
use petrelgauge::handover::{ExchangeOptions, HandoverExchange, HeartbeatTask, InheritedRecord};
use petrelgauge::host::pool::HostPool;
use petrelgauge::os::clock::Clock;
use petrelgauge::os::datagram::{self, DatagramSocket};
use petrelgauge::os::signals::Signals;
use petrelgauge::os::socket::{self, SocketError};
use petrelgauge::postgres::read_buffer::ReadBuffer;
use petrelgauge::resources::budget::Budget;
use petrelgauge::resources::counters::{Counters, Gauge};
use petrelgauge::{MemberId, Time};
use petrelgauge_handover::Reservation;
use petrelgauge_lifecycle::gateway::{Gateway, ListenerSharing, ServingState};
use petrelgauge_lifecycle::ops::MAX_CALLERS;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Time after the start for which the gateway waits for an endpoint list from discovery before it accepts the
/// configuration's (microseconds).
const INITIAL_LIST_TIMEOUT: Time = 1_500_000;
/// Interval between checks whether hosts are known (microseconds).
const HOSTS_POLL_INTERVAL: Time = 10_000;
/// Maximum number of attempts to listen at startup while the machine lacks descriptors or memory.
const LISTEN_ATTEMPTS: u32 = 500;

/// State shared by the components of a gateway.
struct SharedState {
    clock: Clock,
    facade: Facade,
    budget: Rc<Budget>,
    read_buffer: Rc<ReadBuffer>,
    counters: Rc<Counters>,
    /// Limits of the gateway, which its processes share during a handover.
    limits: Rc<Cell<Reservation>>,
}

/// The socket that clients connect to.
struct ClientListener {
    socket: TcpListener,
    /// Whether a sibling process may also accept connections from it.
    sharing: ListenerSharing,
    has_received_list: Rc<Cell<bool>>,
    /// Clock time from which the configuration's endpoint list is accepted, if discovery has sent none.
    initial_list_deadline: Time,
}

/// A gateway whose tasks have not been started.
struct UnstartedGateway<S> {
    shared: SharedState,
    control: ControlPlane<S>,
    handover: Option<Rc<HandoverExchange>>,
    client_listener: ClientListener,
}

/// Builds the gateway and starts all of its tasks. `inherited` is the clients' listening socket, if it is
/// inherited from the platform.
///
/// # Errors
///
/// Fails if the configuration is invalid or an address cannot be bound.
pub async fn start(
    mut config: Config,
    inherited: Option<StdTcpListener>,
    signals: Signals,
) -> Result<GatewayProcess<impl DatagramSocket>, GatewayError> {
    let UnstartedGateway { shared, mut control, handover, client_listener } =
        build(&mut config, inherited).await?;
    let ClientListener { sharing, initial_list_deadline, .. } = client_listener;
    let (discovery_address, discovery_address_changes) = watch::channel(config.discovery);
    let (serving_state, serving_state_changes) = watch::channel(ServingState::Serving);
    let (command_sender, commands) = mpsc::channel(MAX_CALLERS);
    let client_context =
        Rc::new(shared.client_context(&config, control.host_pool.clone(), serving_state_changes));

    let mut tasks = JoinSet::new();
    control.start(&mut tasks, discovery_address_changes);
    if let Some(address) = config.ops {
        let command_listener = shared.command_listener(command_sender.clone(), control.host_pool.clone());
        tasks.spawn_local(command_listener.accept(listen_for_operators(address).await?));
    }
    if let Some(exchange) = &handover {
        let heartbeats = shared.heartbeat_task(exchange.clone(), control.host_names.clone());
        tasks.spawn_local(heartbeats.run());
    }
    tasks.spawn_local(client_listener.accept(client_context.clone()));
    log::info!("gateway serving name={} address={}", config.name, config.listen);
    Ok(GatewayProcess {
        config,
        clock: shared.clock,
        control,
        counters: shared.counters,
        client_context,
        handover,
        initial_list_deadline,
        limits: shared.limits,
        lifecycle: Gateway::new(sharing),
        channels: Channels { serving_state, discovery_address, commands, _command_sender: command_sender },
        signals,
        tasks,
    })
}

/// Builds the components of a gateway and opens its sockets.
async fn build(
    config: &mut Config,
    inherited: Option<StdTcpListener>,
) -> Result<UnstartedGateway<impl DatagramSocket + 'static>, GatewayError> {
    let clock = Clock::start().ahead(config.operator.clock_shift);
    let decisions = RoutingDecisions::new(config, clock.now())?;
    let shared = SharedState::new(config, clock, &decisions);
    // If the clients' socket is inherited, another process of this gateway may still be running or have just
    // ended.
    let sharing =
        if inherited.is_some() { ListenerSharing::WithSuccessor } else { ListenerSharing::Exclusive };
    let handover = inherited.is_some().then(|| Rc::new(open_handover(config)));
    let assigned_ids = match &handover {
        Some(exchange) => shared.inherit_learned_state(exchange),
        None => BTreeMap::new(),
    };
    let dependencies = shared.dependencies(assigned_ids);
    let control = ControlPlane::new(config, decisions, dependencies, datagram::bind).await?;
    let initial_list_deadline = clock.now() + INITIAL_LIST_TIMEOUT;
    let socket = listen_for_clients(inherited, config.listen).await?;
    let has_received_list = control.has_received_list.clone();
    let client_listener = ClientListener { socket, sharing, has_received_list, initial_list_deadline };
    Ok(UnstartedGateway { shared, control, handover, client_listener })
}

impl SharedState {
    fn new(config: &Config, clock: Clock, decisions: &RoutingDecisions) -> SharedState {
        let limits = Reservation {
            sockets: config.max_descriptors,
            memory: config.max_memory,
            open_requests: decisions.max_open_requests as usize,
        };
        SharedState {
            clock,
            facade: decisions.facade.clone(),
            budget: Budget::new(config.max_descriptors, config.max_memory),
            read_buffer: ReadBuffer::new(),
            counters: Rc::new(Counters::default()),
            limits: Rc::new(Cell::new(limits)),
        }
    }

    /// The dependencies of the control plane. `assigned_ids` holds the member ids that another process of
    /// this gateway had assigned to hosts.
    fn dependencies(&self, assigned_ids: BTreeMap<String, MemberId>) -> Dependencies {
        let facade = self.facade.clone();
        Dependencies {
            clock: self.clock,
            budget: self.budget.clone(),
            read_buffer: self.read_buffer.clone(),
            counters: self.counters.clone(),
            demand: Rc::new(move || facade.read(|table| table.requests_by_group())),
            assigned_ids,
        }
    }

    /// The state shared by all client sessions.
    fn client_context(
        &self,
        config: &Config,
        host_pool: Rc<HostPool>,
        serving_state: watch::Receiver<ServingState>,
    ) -> ClientContext {
        ClientContext {
            facade: self.facade.clone(),
            host_pool,
            clock: self.clock,
            budget: self.budget.clone(),
            counters: self.counters.clone(),
            read_buffer: self.read_buffer.clone(),
            serving_state,
            open_sessions: Gauge::default(),
            cancel_registry: CancelRegistry::new(config.seed.rotate_left(16)),
            request_ids: Rc::default(),
            final_answer_deadline: Cell::new(Time::MAX),
            final_read_deadlines: Cell::default(),
        }
    }

    fn command_listener(
        &self,
        commands: mpsc::Sender<CommandRequest>,
        host_pool: Rc<HostPool>,
    ) -> CommandListener {
        CommandListener { commands, host_pool, clock: self.clock, counters: self.counters.clone() }
    }

    fn heartbeat_task(&self, exchange: Rc<HandoverExchange>, host_names: Rc<HostNames>) -> HeartbeatTask {
        HeartbeatTask {
            exchange,
            clock: self.clock,
            facade: self.facade.clone(),
            budget: self.budget.clone(),
            host_names,
            limits: self.limits.clone(),
        }
    }

    /// Adopts the learned state of another process of this gateway, if it left a usable record. Returns the
    /// member ids that it had assigned to hosts.
    fn inherit_learned_state(&self, exchange: &HandoverExchange) -> BTreeMap<String, MemberId> {
        let Some(InheritedRecord { record, age }) = exchange.inherit(self.clock.now()) else {
            return BTreeMap::new();
        };
        log::info!("learned state adopted hosts={} age_us={age}", record.member_ids.len());
        self.facade.update(|table| table.adopt_learned_state(record.learned_state));
        record.member_ids.into_iter().collect()
    }
}

fn open_handover(config: &Config) -> HandoverExchange {
    HandoverExchange::new(ExchangeOptions {
        directory: std::env::temp_dir(),
        gateway_name: &config.name,
        listen: config.listen,
        process_id: config.seed ^ u64::from(std::process::id()),
        settings_digest: config.settings_digest,
    })
}

async fn listen_for_clients(
    inherited: Option<StdTcpListener>,
    address: SocketAddr,
) -> Result<TcpListener, GatewayError> {
    match inherited {
        Some(listener) => TcpListener::from_std(listener).map_err(GatewayError::RegisterListener),
        None => listen(address).await.map_err(GatewayError::ListenForClients),
    }
}

async fn listen_for_operators(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    listen(address).await.map_err(|source| GatewayError::ListenForOperators { address, source })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, SocketError> {
    socket::retry_on_shortage(LISTEN_ATTEMPTS, || async { socket::listen(address) }).await
}

impl ClientListener {
    /// Accepts clients. If a sibling process may still be serving, first waits until hosts are known or the
    /// initial list's deadline has passed.
    async fn accept(self, client_context: Rc<ClientContext>) {
        let clock = client_context.clock;
        while self.sharing == ListenerSharing::WithSuccessor && self.is_missing_hosts(&client_context) {
            clock.sleep_until(clock.now() + HOSTS_POLL_INTERVAL).await;
        }
        client_context.accept(self.socket, self.sharing).await
    }

    fn is_missing_hosts(&self, client_context: &ClientContext) -> bool {
        let has_hosts = client_context.host_pool.listed_count() > 0 && self.has_received_list.get();
        client_context.clock.now() < self.initial_list_deadline && !has_hosts
    }
}
