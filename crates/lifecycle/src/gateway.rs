//! The state machine of the gateway process: serving, draining and resuming, graceful shutdown.
//!
//! ```text
//!    +------------Resume------------------+
//!    v                                    |
//! Serving --Drain--> DrainAnnounced --Timeout--> Drained
//!    |                  |                      +---Stop----+
//!    |                  |                                  v
//!    +-------Stop-------+--> StopAnnounced --Timeout------> Closing --Remaining(0, 0)--> Ended
//! ```
//!
//! How clients are treated is the [`ServingState`], which follows from the state alone. A drained gateway
//! keeps running, keeps its endpoint list and learned state, and still accepts new clients; its readiness
//! check only tells the load balancer in front of it to send none.
//!
//! After SIGTERM new clients are accepted for [`LOAD_BALANCER_NOTICE`], since the load balancer learns of the
//! stop with a delay. Then idle clients are closed, the others get their answers, and the process ends when
//! no connection and no attempt is left.

use crate::client::Idleness;
use petrelgauge_policy::{mutant, Mutant, Time};

/// Time after SIGTERM or the command to drain during which clients are served as before (microseconds). The
/// load balancer needs it to detect the change and to stop sending clients.
pub const LOAD_BALANCER_NOTICE: Time = 450_000;

/// Limit of the longest deadline in the shutdown time (microseconds): after SIGTERM the platform waits for
/// the longest deadline of the process's classes, up to this limit, plus [`KILL_DELAY`] before it kills the
/// process.
const MAX_COUNTED_DEADLINE: Time = 3_000_000;
/// Time that the platform waits in addition to the longest deadline; see [`MAX_COUNTED_DEADLINE`]
/// (microseconds).
const KILL_DELAY: Time = 700_000;
/// How long before the kill the last answers must be ready (microseconds): a machine with little processor
/// time takes some tenths of a second to send them.
const KILL_MARGIN: Time = 250_000;

/// The state of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GatewayState {
    /// It serves clients.
    Serving,
    /// It will be drained: the readiness check fails, and clients are served as before.
    DrainAnnounced {
        /// Clock time until which they are served.
        until: Time,
    },
    /// Clients are closed as soon as they have their answers.
    Drained,
    /// It will stop, and clients are served as before.
    StopAnnounced {
        /// Clock time until which they are served.
        until: Time,
    },
    /// No new client is accepted, and idle ones are closed.
    Closing,
    /// The process can end.
    Ended,
}

/// How clients are treated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ServingState {
    /// They are accepted and served.
    #[default]
    Serving,
    /// They are accepted and served, but the readiness check (the empty query) fails.
    Unready,
    /// The readiness check fails, and clients are closed as soon as they have their answers.
    Draining,
    /// No new client is accepted, and clients are closed as soon as they have their answers.
    Stopped,
}

/// Whether the listening socket for clients outlives this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ListenerSharing {
    /// It belongs to this process alone.
    #[default]
    Exclusive,
    /// A successor process accepts the clients that this one leaves in the listen backlog.
    WithSuccessor,
}

impl ServingState {
    /// Whether the readiness check succeeds, so that the load balancer continues to send clients.
    pub fn reports_ready(self) -> bool {
        // It need not fail during a stop, of which the platform itself informs the load balancer.
        matches!(self, ServingState::Serving | ServingState::Stopped)
    }

    /// Whether clients are closed once they have their answers.
    pub fn closes_idle_clients(self) -> bool {
        matches!(self, ServingState::Draining | ServingState::Stopped)
    }
}

/// What happens to the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// SIGTERM or SIGINT.
    Stop,
    /// An operator's command to drain.
    Drain,
    /// An operator's command to resume serving.
    Resume,
    /// SIGHUP: the settings were read again.
    Reload {
        /// The new settings can be used.
        usable: bool,
    },
    /// The time that [`Gateway::timeout_at`] returned has come.
    Timeout,
    /// The gateway counted the connections and attempts that have not ended.
    Remaining {
        /// Clients' connections, including those that are waiting to be accepted.
        clients: usize,
        /// Attempts without a report.
        attempts: usize,
    },
}

/// What the caller has to do after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Nothing.
    Wait,
    /// Apply the new settings.
    ApplySettings,
    /// Keep the old settings, and report that the new ones can't be used.
    KeepSettings,
    /// Treat clients according to the new [`Gateway::serving_state`].
    ApplyServingState,
    /// End the process.
    End,
}

/// Clock times until which messages of clients are read during a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadDeadlines {
    /// For clients that have had no answer: their messages are read until the last answers are given, so that
    /// none of them is closed without an answer.
    new: Time,
    /// For clients that have had an answer: half of the remaining time is left to answer what is read from
    /// them. A query read later would be rejected for lack of time, while the client of an unread query can
    /// retry it at another gateway.
    answered: Time,
}

impl Default for ReadDeadlines {
    /// The deadlines while the gateway is not stopping: messages are always read.
    fn default() -> ReadDeadlines {
        ReadDeadlines { new: Time::MAX, answered: Time::MAX }
    }
}

impl ReadDeadlines {
    /// The deadline for a client with this idleness.
    pub fn of(self, kind: Idleness) -> Time {
        match kind {
            Idleness::Answered | Idleness::Stalled => self.answered,
            Idleness::New | Idleness::CutOff => self.new,
        }
    }
}

/// One gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Gateway {
    state: GatewayState,
    sharing: ListenerSharing,
    /// Clock time of the first SIGTERM.
    stopped_at: Option<Time>,
}

impl Default for Gateway {
    fn default() -> Gateway {
        Gateway::new(ListenerSharing::Exclusive)
    }
}

impl Gateway {
    /// A serving gateway.
    pub fn new(sharing: ListenerSharing) -> Gateway {
        Gateway { state: GatewayState::Serving, sharing, stopped_at: None }
    }

    /// The current state.
    pub fn state(&self) -> GatewayState {
        self.state
    }

    /// Clock time by which every request that is admitted from now on must be answered, even if its client
    /// would wait longer: the process is killed soon after. `longest_deadline` is the longest of any class
    /// (microseconds).
    pub fn answer_deadline(&self, longest_deadline: Time) -> Time {
        let limit = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY - KILL_MARGIN;
        self.stopped_at.map_or(Time::MAX, |at| at + limit)
    }

    /// Clock times until which messages of clients are read. `longest_deadline` is the longest of any class
    /// (microseconds).
    pub fn read_deadlines(&self, longest_deadline: Time) -> ReadDeadlines {
        let Some(stopped_at) = self.stopped_at else { return ReadDeadlines::default() };
        let new = self.answer_deadline(longest_deadline);
        ReadDeadlines { new, answered: stopped_at + ((new - stopped_at) / 2).max(LOAD_BALANCER_NOTICE) }
    }

    fn is_running(&self) -> bool {
        matches!(
            self.state,
            GatewayState::Serving | GatewayState::DrainAnnounced { .. } | GatewayState::Drained
        )
    }

    /// How clients are treated in the current state.
    pub fn serving_state(&self) -> ServingState {
        match self.state {
            GatewayState::Serving | GatewayState::StopAnnounced { .. } => ServingState::Serving,
            GatewayState::DrainAnnounced { .. } => ServingState::Unready,
            GatewayState::Drained => ServingState::Draining,
            GatewayState::Closing | GatewayState::Ended => ServingState::Stopped,
        }
    }

    /// Clock time at which [`Event::Timeout`] is due, if any.
    pub fn timeout_at(&self) -> Option<Time> {
        match self.state {
            GatewayState::StopAnnounced { until } | GatewayState::DrainAnnounced { until } => Some(until),
            _ => None,
        }
    }

    /// Steps the machine. An event that does not fit the state changes nothing: a second SIGTERM does
    /// not speed up the shutdown, and a stopping gateway neither applies new settings nor drains or resumes.
    pub fn on(&mut self, now: Time, event: Event) -> Action {
        match event {
            Event::Stop => self.on_stop(now),
            Event::Drain => self.on_drain(now),
            Event::Resume => self.on_resume(),
            Event::Reload { usable } => self.on_reload(usable),
            Event::Timeout => self.on_timeout(now),
            Event::Remaining { clients, attempts } => self.on_remaining(clients, attempts),
        }
    }

    fn enter(&mut self, state: GatewayState) -> Action {
        self.state = state;
        Action::ApplyServingState
    }

    fn on_stop(&mut self, now: Time) -> Action {
        self.stopped_at.get_or_insert(now);
        let is_successor_accepting = self.sharing == ListenerSharing::WithSuccessor && self.is_running();
        match self.state {
            // The load balancer sends no clients any more, or a successor process accepts them.
            state if state == GatewayState::Drained || is_successor_accepting => {
                self.enter(GatewayState::Closing)
            }
            GatewayState::Serving | GatewayState::DrainAnnounced { .. } => {
                self.enter(GatewayState::StopAnnounced { until: now + LOAD_BALANCER_NOTICE })
            }
            _ => Action::Wait,
        }
    }

    fn on_drain(&mut self, now: Time) -> Action {
        match self.state {
            GatewayState::Serving => {
                self.enter(GatewayState::DrainAnnounced { until: now + LOAD_BALANCER_NOTICE })
            }
            _ => Action::Wait,
        }
    }

    fn on_resume(&mut self) -> Action {
        match self.state {
            state @ (GatewayState::DrainAnnounced { .. } | GatewayState::Drained) => {
                self.enter(if mutant(Mutant::StaysDrained) { state } else { GatewayState::Serving })
            }
            _ => Action::Wait,
        }
    }

    fn on_reload(&self, is_usable: bool) -> Action {
        match is_usable {
            _ if !self.is_running() => Action::Wait,
            true => Action::ApplySettings,
            false => Action::KeepSettings,
        }
    }

    fn on_timeout(&mut self, now: Time) -> Action {
        match self.state {
            GatewayState::DrainAnnounced { until } if now >= until => self.enter(GatewayState::Drained),
            GatewayState::StopAnnounced { until } if now >= until => self.enter(GatewayState::Closing),
            _ => Action::Wait,
        }
    }

    fn on_remaining(&mut self, clients: usize, attempts: usize) -> Action {
        let is_idle = (clients, attempts) == (0, 0) || mutant(Mutant::ExitsWithRequestsInFlight);
        if self.state != GatewayState::Closing || !is_idle {
            return Action::Wait;
        }
        self.state = GatewayState::Ended;
        Action::End
    }
}
