//! Builds a gateway from its configuration and starts its tasks.

use crate::process::error::GatewayError;
use crate::process::gateway::GatewayProcess;
use petrelgauge::client::cancel_registry::CancelRegistry;
use petrelgauge::client::context::ClientContext;
use petrelgauge::control::config::Config;
use petrelgauge::control::ops::{CommandListener, CommandRequest};
use petrelgauge::control::{ControlPlane, Dependencies, RoutingDecisions};
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
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Span after the start in which the list of the configuration is taken to be old, until discovery sends one
/// (microseconds).
const INITIAL_LIST_TIMEOUT: Time = 1_500_000;
/// Between two looks whether there are hosts to serve clients with (microseconds).
const HOSTS_POLL_INTERVAL: Time = 10_000;
/// Times that a start tries to listen while the machine lacks descriptors or memory (count).
const LISTEN_ATTEMPTS: u32 = 500;

/// What the parts of a gateway share.
struct Resources {
    clock: Clock,
    facade: Facade,
    budget: Rc<Budget>,
    read_buffer: Rc<ReadBuffer>,
    counters: Rc<Counters>,
}

/// Builds the gateway and starts all of its tasks.
///
/// # Errors
///
/// Fails if the settings cannot be used or an address cannot be bound.
pub async fn start(
    mut config: Config,
    inherited: Option<StdTcpListener>,
    signals: Signals,
) -> Result<GatewayProcess<impl DatagramSocket>, GatewayError> {
    let clock = Clock::start().ahead(config.operator.clock_shift);
    let decisions = RoutingDecisions::new(&config, clock.now())?;
    let full_reservation = Rc::new(Cell::new(full_reservation(&config, decisions.max_open_requests)));
    let resources = Resources::new(&config, clock, decisions.facade.clone());
    // Where the platform holds the clients' socket, another process of this gateway may run, or have run a moment ago.
    let sharing =
        if inherited.is_some() { ListenerSharing::WithSuccessor } else { ListenerSharing::Exclusive };
    let handover = inherited.is_some().then(|| Rc::new(open_handover(&config)));
    let dependencies = resources.dependencies(adopt_learned_state(&handover, &resources));
    let mut control = ControlPlane::new(&mut config, decisions, dependencies, datagram::bind).await?;
    let list_deadline = clock.now() + INITIAL_LIST_TIMEOUT;
    let listener = listen_for_clients(inherited, config.listen).await?;
    let (discovery_address, followed_address) = watch::channel(config.discovery);
    let (serving_state, followed_state) = watch::channel(ServingState::Serving);
    let (command_sender, commands) = mpsc::channel(MAX_CALLERS);

    let mut tasks = JoinSet::new();
    control.start(&mut tasks, followed_address);
    if let Some(address) = config.ops {
        resources.listen_for_operators(address, &command_sender, &control.host_pool, &mut tasks).await?;
    }
    if let Some(handover) = &handover {
        let heartbeats = HeartbeatTask {
            exchange: handover.clone(),
            clock,
            facade: resources.facade.clone(),
            budget: resources.budget.clone(),
            host_names: control.host_names.clone(),
            limits: full_reservation.clone(),
        };
        tasks.spawn_local(heartbeats.run());
    }
    let client_context =
        Rc::new(resources.client_context(&config, control.host_pool.clone(), followed_state));
    let has_received_list = control.has_received_list.clone();
    tasks.spawn_local(accept_clients(
        client_context.clone(),
        listener,
        sharing,
        has_received_list,
        list_deadline,
    ));
    log::info!("gateway serving name={} address={}", config.name, config.listen);
    Ok(GatewayProcess {
        config,
        clock,
        control,
        counters: resources.counters,
        client_context,
        handover,
        list_deadline,
        full_reservation,
        lifecycle: Gateway::new(sharing),
        serving_state,
        discovery_address,
        commands,
        _command_sender: command_sender,
        signals,
        tasks,
    })
}

impl Resources {
    fn new(config: &Config, clock: Clock, facade: Facade) -> Resources {
        Resources {
            clock,
            facade,
            budget: Budget::new(config.max_descriptors, config.max_memory),
            read_buffer: ReadBuffer::new(),
            counters: Rc::new(Counters::default()),
        }
    }

    /// What the control plane needs. `assigned_ids` are the numbers that hosts have from another process.
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

    /// What the client sessions share.
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
            open_request_ids: RefCell::default(),
            final_answer_deadline: Cell::new(Time::MAX),
            final_read_deadlines: Cell::default(),
        }
    }

    /// Starts the task that takes operators' commands.
    async fn listen_for_operators(
        &self,
        address: SocketAddr,
        commands: &mpsc::Sender<CommandRequest>,
        host_pool: &Rc<HostPool>,
        tasks: &mut JoinSet<()>,
    ) -> Result<(), GatewayError> {
        let failed = |source| GatewayError::ListenForOperators { address, source };
        let listener = listen(address).await.map_err(failed)?;
        let command_listener = CommandListener {
            commands: commands.clone(),
            host_pool: host_pool.clone(),
            clock: self.clock,
            counters: self.counters.clone(),
        };
        tasks.spawn_local(command_listener.accept(listener));
        Ok(())
    }
}

/// The most that this process may reserve while it is the gateway's only one.
pub fn full_reservation(config: &Config, max_open_requests: u32) -> Reservation {
    Reservation {
        sockets: config.max_descriptors,
        memory: config.max_memory,
        open_requests: max_open_requests as usize,
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

/// Takes over what the process before this one has learned. Gives the numbers that it had assigned to hosts.
fn adopt_learned_state(
    handover: &Option<Rc<HandoverExchange>>,
    resources: &Resources,
) -> BTreeMap<String, MemberId> {
    let inherit = handover.as_ref().and_then(|handover| handover.inherit(resources.clock.now()));
    inherit.map_or_else(BTreeMap::new, |InheritedRecord { record, age }| {
        log::info!("learned state adopted hosts={} age_us={age}", record.member_ids.len());
        resources.facade.update(|table| table.adopt_learned_state(record.learned_state));
        record.member_ids.into_iter().collect()
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

async fn listen(address: SocketAddr) -> Result<TcpListener, SocketError> {
    socket::through_shortages(LISTEN_ATTEMPTS, || async { socket::listen(address) }).await
}

/// Accepts clients; beside a process that still serves, only from when they can be served.
async fn accept_clients(
    client_context: Rc<ClientContext>,
    listener: TcpListener,
    sharing: ListenerSharing,
    has_received_list: Rc<Cell<bool>>,
    list_deadline: Time,
) {
    let clock = client_context.clock;
    let hosts_are_missing = || {
        let incomplete = client_context.host_pool.listed_count() == 0 || !has_received_list.get();
        clock.now() < list_deadline && incomplete
    };
    while sharing == ListenerSharing::WithSuccessor && hosts_are_missing() {
        clock.sleep_until(clock.now() + HOSTS_POLL_INTERVAL).await;
    }
    client_context.accept(listener, sharing).await
}
