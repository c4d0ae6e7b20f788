//! The event loop of a running gateway: signals, operators' commands, and the steps of its lifecycle.

use crate::process::error::{GatewayError, ReloadError};
use petrelgauge::client::context::ClientContext;
use petrelgauge::control::config::{Config, ConfigError};
use petrelgauge::control::ops::CommandRequest;
use petrelgauge::control::{ControlPlane, Reloaded};
use petrelgauge::handover::HandoverExchange;
use petrelgauge::os::clock::Clock;
use petrelgauge::os::signals::{Signal, Signals};
use petrelgauge::resources::counters::Counters;
use petrelgauge::Time;
use petrelgauge_handover::Reservation;
use petrelgauge_lifecycle::gateway::{Action, Event, Gateway, GatewayState, ServingState};
use petrelgauge_lifecycle::ops::{self, KnownState};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Between two looks at what is still open while the gateway closes (microseconds).
const CLOSING_POLL_INTERVAL: Time = 10_000;

/// A gateway whose tasks run. `S` is the socket for datagrams between gateways.
pub struct GatewayProcess<S> {
    /// The configuration in force.
    pub config: Config,
    /// The clock.
    pub clock: Clock,
    /// Decisions, hosts, discovery and the part in the fleet.
    pub control: ControlPlane<S>,
    /// Counts since the start.
    pub counters: Rc<Counters>,
    /// What the client sessions share.
    pub client_context: Rc<ClientContext>,
    /// Exchange with other processes of this gateway, where the platform holds the clients' socket.
    pub handover: Option<Rc<HandoverExchange>>,
    /// Clock time from which on the list of the configuration will do (microseconds).
    pub list_deadline: Time,
    /// The most that this process may reserve while it is the gateway's only one.
    pub full_reservation: Rc<Cell<Reservation>>,
    /// Where the gateway is between its start and its end.
    pub lifecycle: Gateway,
    /// Tells the client sessions how to treat clients.
    pub serving_state: watch::Sender<ServingState>,
    /// Tells the watch of discovery which address to use.
    pub discovery_address: watch::Sender<SocketAddr>,
    /// Commands of operators.
    pub commands: mpsc::Receiver<CommandRequest>,
    /// Keeps the channel of commands open where no address for operators is set.
    pub _command_sender: mpsc::Sender<CommandRequest>,
    /// Signals of the platform.
    pub signals: Signals,
    /// The tasks, none of which ends by itself.
    pub tasks: JoinSet<()>,
}

/// What the event loop has to act on.
enum Wakeup {
    Signal(Signal),
    Command(CommandRequest),
    Lifecycle(Event),
}

impl<S> GatewayProcess<S> {
    /// Runs until the gateway has stopped.
    ///
    /// # Errors
    ///
    /// Fails if a task ends: without one the gateway would go on and serve nobody.
    pub async fn run(mut self) -> Result<(), GatewayError> {
        loop {
            self.publish_serving_state();
            match self.next_wakeup().await? {
                Wakeup::Signal(signal) => self.handle_signal(signal),
                Wakeup::Command(command) => self.execute(command),
                Wakeup::Lifecycle(event) => {
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
        self.serving_state.send_if_modified(|state| std::mem::replace(state, new) != new);
    }

    async fn next_wakeup(&mut self) -> Result<Wakeup, GatewayError> {
        let clock = self.clock;
        let due = self.lifecycle.timeout_at();
        let state = self.lifecycle.state();
        tokio::select! {
            signal = self.signals.next() => Ok(Wakeup::Signal(signal)),
            Some(command) = self.commands.recv() => Ok(Wakeup::Command(command)),
            () = clock.sleep_until(due.unwrap_or_default()), if due.is_some() => Ok(Wakeup::Lifecycle(Event::Timeout)),
            () = clock.sleep_until(clock.now() + CLOSING_POLL_INTERVAL), if state == GatewayState::Closing => {
                let (clients, attempts) = (self.client_context.open_sessions.get(), self.control.host_pool.open_attempts());
                Ok(Wakeup::Lifecycle(Event::Remaining { clients, attempts }))
            }
            Some(ended) = self.tasks.join_next(), if state == GatewayState::Serving => Err(GatewayError::TaskEnded(ended)),
        }
    }

    fn handle_signal(&mut self, signal: Signal) {
        match signal {
            Signal::LogCounters => self.log_counters(),
            Signal::Reload => self.reload(),
            Signal::Stop => self.stop(),
        }
    }

    /// Carries out an operator's command and answers it.
    fn execute(&mut self, command: CommandRequest) {
        let known = KnownState {
            hosts: self.control.host_pool.listed_count(),
            list_received: self.control.has_received_list.get(),
            accept_initial_list_at: self.list_deadline,
            version: self.control.facade.read(|table| table.version()),
        };
        let (reply, action) = ops::execute(&mut self.lifecycle, self.clock.now(), command.command, known);
        if action == Action::ApplyServingState {
            log::info!("command executed command={:?} answer={}", command.command, reply.reason);
        }
        // A caller that has left needs no answer.
        let _ = command.reply.send(reply);
    }

    /// Begins a graceful shutdown.
    fn stop(&mut self) {
        let action = self.lifecycle.on(self.clock.now(), Event::Stop);
        if action != Action::ApplyServingState {
            return;
        }
        log::info!("gateway stopping");
        let longest = self.control.facade.read(|table| table.longest_deadline(self.clock.now()));
        self.client_context.final_answer_deadline.set(self.lifecycle.answer_deadline(longest));
        self.client_context.final_read_deadlines.set(self.lifecycle.read_deadlines(longest));
        self.control
            .facade
            .update(|table| table.set_final_answer_by(self.client_context.final_answer_deadline.get()));
        self.control.leadership.iter().for_each(|leadership| leadership.stop());
    }

    /// Reads the configuration again and follows it, if it can be used.
    fn reload(&mut self) {
        let new = self.config.reread(|name| std::env::var(name).ok());
        let event = Event::Reload { usable: new.is_ok() };
        let action = self.lifecycle.on(self.clock.now(), event);
        if !matches!(action, Action::ApplySettings | Action::KeepSettings) {
            return;
        }
        if let Err(cause) = self.follow(new) {
            self.counters.bad_configs.add();
            let version = self.control.facade.read(|table| table.version());
            log::warn!("configuration rejected settings_version={version} cause={cause}");
        }
    }

    fn follow(&mut self, new: Result<Config, ConfigError>) -> Result<(), ReloadError> {
        let reloaded = self.control.reload(self.clock.now(), &self.config, new?)?;
        let Reloaded { config: new, max_open_requests } = reloaded;
        self.counters.reloads.add();
        let (address, version) = (new.discovery, self.control.facade.read(|table| table.version()));
        log::info!("configuration reloaded settings_version={version} discovery={address}");
        self.full_reservation
            .set(Reservation { open_requests: max_open_requests as usize, ..self.full_reservation.get() });
        if let Some(handover) = &self.handover {
            handover.set_settings_digest(new.settings_digest);
        }
        self.discovery_address.send_if_modified(|known| std::mem::replace(known, address) != address);
        self.config = new;
        Ok(())
    }

    fn log_counters(&self) {
        let sessions = self
            .control
            .facade
            .read(|table| table.session_counts())
            .map(|sessions| format!(" {} gaps={}", sessions.counts, sessions.broadcast_gaps));
        let leadership =
            self.control.leadership.as_ref().map(|leadership| format!(" {}", leadership.counts()));
        log::info!(
            "counters {}{}{}",
            self.counters,
            sessions.unwrap_or_default(),
            leadership.unwrap_or_default()
        );
    }
}
