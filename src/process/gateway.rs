//! The event loop of a running gateway: handles signals and operators' commands, and advances the lifecycle.

use crate::process::error::{GatewayError, ReloadError};
use petrelgauge::client::context::ClientContext;
use petrelgauge::control::config::{Config, ConfigError};
use petrelgauge::control::ops::CommandRequest;
use petrelgauge::control::{ControlPlane, Reloaded};
use petrelgauge::handover::HandoverExchange;
use petrelgauge::os::clock::Clock;
use petrelgauge::os::process_memory;
use petrelgauge::os::signals::{Signal, Signals};
use petrelgauge::resources::budget::MemoryUsage;
use petrelgauge::resources::counters::Counters;
use petrelgauge::Time;
use petrelgauge_handover::Reservation;
use petrelgauge_lifecycle::gateway::{Action, Event, Gateway, GatewayState, ServingState};
use petrelgauge_lifecycle::ops::{self, Execution, ReadinessInputs};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Interval between checks for open sessions and attempts while the gateway is closing (microseconds).
const CLOSING_POLL_INTERVAL: Time = 10_000;

/// A gateway whose tasks are running. `S` is the socket for datagrams between gateways.
pub struct GatewayProcess<S> {
    /// The active configuration.
    pub config: Config,
    /// Clock for the lifecycle's timeouts.
    pub clock: Clock,
    /// Routing decisions, hosts, discovery and communication with the other gateways.
    pub control: ControlPlane<S>,
    /// Counters reported to operators.
    pub counters: Rc<Counters>,
    /// State shared by all client sessions.
    pub client_context: Rc<ClientContext>,
    /// State exchange with sibling processes, if the clients' socket is inherited from the platform.
    pub handover: Option<Rc<HandoverExchange>>,
    /// Clock time from which the configuration's endpoint list is accepted, if discovery has sent none
    /// (microseconds).
    pub initial_list_deadline: Time,
    /// Limits of the gateway, which its processes share during a handover.
    pub limits: Rc<Cell<Reservation>>,
    /// The lifecycle of the gateway, from start to end.
    pub lifecycle: Gateway,
    /// Channels between the event loop and the tasks.
    pub channels: Channels,
    /// Signals received by the process.
    pub signals: Signals,
    /// The background tasks. None of them ends while the gateway is serving.
    pub tasks: JoinSet<()>,
}

/// Channels between the event loop and the tasks.
pub struct Channels {
    /// Notifies the client sessions of changes of the serving state.
    pub serving_state: watch::Sender<ServingState>,
    /// Notifies the discovery watch of changes of its address.
    pub discovery_address: watch::Sender<SocketAddr>,
    /// Operators' commands.
    pub commands: mpsc::Receiver<CommandRequest>,
    /// Keeps the command channel open if no address for operators is configured.
    pub _command_sender: mpsc::Sender<CommandRequest>,
}

/// The next event for the event loop.
enum LoopEvent {
    Signal(Signal),
    Command(CommandRequest),
    Lifecycle(Event),
}

impl<S> GatewayProcess<S> {
    /// Runs until the gateway has stopped.
    ///
    /// # Errors
    ///
    /// Fails if a task ends, because the gateway would keep running without serving clients.
    pub async fn run(mut self) -> Result<(), GatewayError> {
        loop {
            self.publish_serving_state();
            match self.next_event().await? {
                LoopEvent::Signal(signal) => self.handle_signal(signal),
                LoopEvent::Command(command) => self.execute(command),
                LoopEvent::Lifecycle(event) => {
                    if self.lifecycle.on(self.clock.now(), event) == Action::End {
                        break;
                    }
                }
            }
        }
        if let Some(handover) = &self.handover {
            handover.withdraw();
        }
        self.log_counters();
        Ok(())
    }

    fn publish_serving_state(&self) {
        let new = self.lifecycle.serving_state();
        self.channels.serving_state.send_if_modified(|state| std::mem::replace(state, new) != new);
    }

    async fn next_event(&mut self) -> Result<LoopEvent, GatewayError> {
        let clock = self.clock;
        let timeout_at = self.lifecycle.timeout_at();
        let is_serving = self.lifecycle.state() == GatewayState::Serving;
        let is_closing = self.lifecycle.state() == GatewayState::Closing;
        tokio::select! {
            signal = self.signals.next() => Ok(LoopEvent::Signal(signal)),
            Some(command) = self.channels.commands.recv() => Ok(LoopEvent::Command(command)),
            () = clock.sleep_until(timeout_at.unwrap_or_default()), if timeout_at.is_some() => {
                Ok(LoopEvent::Lifecycle(Event::Timeout))
            }
            () = clock.sleep_until(clock.now() + CLOSING_POLL_INTERVAL), if is_closing => {
                let clients = self.client_context.open_sessions.get();
                let attempts = self.control.host_pool.open_attempts();
                Ok(LoopEvent::Lifecycle(Event::Remaining { clients, attempts }))
            }
            Some(ended) = self.tasks.join_next(), if is_serving => {
                Err(GatewayError::TaskEnded(ended))
            }
        }
    }

    fn handle_signal(&mut self, signal: Signal) {
        match signal {
            Signal::LogCounters => self.log_counters(),
            Signal::Reload => self.reload(),
            Signal::Stop => self.stop(),
        }
    }

    /// Executes an operator's command and replies to it.
    fn execute(&mut self, command: CommandRequest) {
        let inputs = ReadinessInputs {
            hosts: self.control.host_pool.listed_count(),
            list_received: self.control.has_received_list.get(),
            accept_initial_list_at: self.initial_list_deadline,
            settings_version: self.settings_version(),
        };
        let Execution { reply, action } =
            ops::execute(&mut self.lifecycle, self.clock.now(), command.command, inputs);
        if action == Action::ApplyServingState {
            log::info!("command executed command={:?} answer={}", command.command, reply.reason);
        }
        // The caller may have disconnected.
        let _ = command.reply.send(reply);
    }

    /// Begins a graceful shutdown.
    fn stop(&mut self) {
        let action = self.lifecycle.on(self.clock.now(), Event::Stop);
        if action != Action::ApplyServingState {
            return;
        }
        log::info!("gateway stopping");
        let facade = &self.control.facade;
        let longest_deadline = facade.read(|table| table.longest_deadline(self.clock.now()));
        let final_answer_deadline = self.lifecycle.answer_deadline(longest_deadline);
        self.client_context.final_answer_deadline.set(final_answer_deadline);
        self.client_context.final_read_deadlines.set(self.lifecycle.read_deadlines(longest_deadline));
        facade.update(|table| table.set_final_answer_by(final_answer_deadline));
        if let Some(leadership) = &self.control.leadership {
            leadership.stop();
        }
    }

    /// Rereads the configuration and applies it. An invalid one is rejected without any change.
    fn reload(&mut self) {
        let new = self.config.reread(|name| std::env::var(name).ok());
        let event = Event::Reload { usable: new.is_ok() };
        let action = self.lifecycle.on(self.clock.now(), event);
        if !matches!(action, Action::ApplySettings | Action::KeepSettings) {
            return;
        }
        if let Err(cause) = self.apply(new) {
            self.counters.bad_configs.add();
            let version = self.settings_version();
            log::warn!("configuration rejected settings_version={version} cause={cause}");
        }
    }

    fn apply(&mut self, new: Result<Config, ConfigError>) -> Result<(), ReloadError> {
        let reloaded = self.control.reload(self.clock.now(), &self.config, new?)?;
        let Reloaded { config, max_open_requests } = reloaded;
        self.counters.reloads.add();
        let (address, version) = (config.discovery, self.settings_version());
        log::info!("configuration reloaded settings_version={version} discovery={address}");
        let open_requests = max_open_requests as usize;
        self.limits.set(Reservation { open_requests, ..self.limits.get() });
        if let Some(handover) = &self.handover {
            handover.set_settings_digest(config.settings_digest);
        }
        let discovery_address = &self.channels.discovery_address;
        discovery_address.send_if_modified(|current| std::mem::replace(current, address) != address);
        self.config = config;
        Ok(())
    }

    /// Version of the active settings; each reload increments it.
    fn settings_version(&self) -> u64 {
        self.control.facade.read(|table| table.settings_version())
    }

    /// Logs the message memory that the connections account for beside what the process really needs.
    fn log_memory(&self) {
        let budget = &self.client_context.budget;
        let MemoryUsage { used_bytes, peak_bytes, max_bytes } = budget.memory_usage();
        let clients = budget.client_count();
        let private_bytes = process_memory::private_bytes().unwrap_or_default();
        log::info!(
            "memory message_bytes={used_bytes} message_peak_bytes={peak_bytes} message_limit_bytes={max_bytes} private_bytes={private_bytes} clients={clients}"
        );
    }

    fn log_counters(&self) {
        let sessions = self.control.facade.read(|table| table.session_counts());
        let sessions =
            sessions.map(|sessions| format!(" {} gaps={}", sessions.counts, sessions.broadcast_gaps));
        let leadership = self.control.leadership.as_ref();
        let leadership = leadership.map(|leadership| format!(" {}", leadership.counts()));
        log::info!(
            "counters {}{}{}",
            self.counters,
            sessions.unwrap_or_default(),
            leadership.unwrap_or_default()
        );
        self.log_memory();
    }
}
