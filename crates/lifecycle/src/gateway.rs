//! The life of the gateway itself: serving, draining and resuming, graceful shutdown.
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
//! How clients are treated is the [`ServingState`], which follows from the state alone. A drained gateway keeps its
//! process, its endpoint list and what it has learned, and still accepts new clients; it only asks the load balancer in
//! front of it (the front) to send none.
//!
//! After SIGTERM new clients are accepted for a while, since the front learns of the stop with a delay. Idle clients are
//! closed after that, the others get their answers, and the process ends when no connection and no attempt is left.

use crate::client::Idleness;
use petrelgauge_policy::{mutant, Mutant, Time};

/// After SIGTERM, and after the command to drain, clients are served as before for this time (microseconds): the front
/// needs it to notice and to send no more clients.
pub const FRONT_NOTICE: Time = 450_000;

/// After SIGTERM the platform leaves a process the longest deadline of its classes, up to this limit, and
/// [`KILL_DELAY`] more before it is killed (microseconds; as the platform's protocol says).
const MAX_COUNTED_DEADLINE: Time = 3_000_000;
/// See [`MAX_COUNTED_DEADLINE`] (microseconds).
const KILL_DELAY: Time = 700_000;
/// How long before the kill the last answers are given (microseconds): a machine that is short of processor time takes
/// some tenths of a second to send them.
const KILL_MARGIN: Time = 250_000;

/// The state of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GatewayState {
    /// It serves.
    Serving,
    /// It is to be drained: the readiness check fails, and clients are served as before.
    DrainAnnounced {
        /// Clock time until which they are.
        until: Time,
    },
    /// Clients are closed as soon as they have their answers.
    Drained,
    /// It is to stop, and clients are served as before.
    StopAnnounced {
        /// Clock time until which they are.
        until: Time,
    },
    /// No new client is accepted, and idle ones are closed.
    Closing,
    /// Over.
    Ended,
}

/// How clients are treated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ServingState {
    /// They are accepted and served.
    #[default]
    Serving,
    /// The readiness check (the empty query) fails, all else is as before.
    Unready,
    /// The same, and clients are closed as soon as they have their answers.
    Draining,
    /// No new client is accepted either.
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
    /// Whether the readiness check succeeds, so that the front continues to send clients.
    pub fn reports_ready(self) -> bool {
        // A stop is announced by the platform itself.
        matches!(self, ServingState::Serving | ServingState::Stopped)
    }

    /// Whether clients that have their answers are closed.
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
    /// An operator's command to serve again.
    Resume,
    /// SIGHUP: the settings were read again.
    Reload {
        /// The new settings can be used.
        usable: bool,
    },
    /// The time that [`Gateway::timeout_at`] gave has come.
    Timeout,
    /// What has not ended yet.
    Remaining {
        /// Clients' connections, including those that wait to be accepted.
        clients: usize,
        /// Attempts without a report.
        attempts: usize,
    },
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Nothing.
    Wait,
    /// Apply the new settings.
    ApplySettings,
    /// Keep the old settings, and report that the new ones can't be used.
    KeepSettings,
    /// Treat clients as [`Gateway::serving_state`] says now.
    ApplyServingState,
    /// End the process.
    End,
}

/// Until when messages of clients are read during a stop (clock times).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadDeadlines {
    /// Clients that have had no answer: they are read until the last answers are given, so that none is closed without
    /// one.
    new: Time,
    /// Clients that have had one. What is read from them has half of the remaining time to be answered: later it would be
    /// rejected for lack of time, while the client of an unread query sends it again to another gateway.
    answered: Time,
}

impl Default for ReadDeadlines {
    /// No stop: messages are always read.
    fn default() -> ReadDeadlines {
        ReadDeadlines { new: Time::MAX, answered: Time::MAX }
    }
}

impl ReadDeadlines {
    /// The deadline for a client with this idleness.
    pub fn of(self, why: Idleness) -> Time {
        match why {
            Idleness::Answered => self.answered,
            Idleness::New | Idleness::CutOff => self.new,
        }
    }
}

/// The life of one gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Gateway {
    state: GatewayState,
    /// The listening socket for clients outlives this process: those that connect after a stop are accepted by the next
    /// process.
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

    /// The state of the gateway.
    pub fn state(&self) -> GatewayState {
        self.state
    }

    /// Clock time by which every request admitted from now on must be answered, however long its client would wait: the
    /// process is killed soon after. `longest`: the longest deadline of any class (microseconds).
    pub fn answer_deadline(&self, longest: Time) -> Time {
        let limit = longest.min(MAX_COUNTED_DEADLINE) + KILL_DELAY - KILL_MARGIN;
        self.stopped_at.map_or(Time::MAX, |at| at + limit)
    }

    /// Until when messages of clients are read. `longest`: the longest deadline of any class (microseconds).
    pub fn read_deadlines(&self, longest: Time) -> ReadDeadlines {
        let Some(at) = self.stopped_at else { return ReadDeadlines::default() };
        let new = self.answer_deadline(longest);
        ReadDeadlines { new, answered: at + ((new - at) / 2).max(FRONT_NOTICE) }
    }

    fn is_running(&self) -> bool {
        matches!(
            self.state,
            GatewayState::Serving | GatewayState::DrainAnnounced { .. } | GatewayState::Drained
        )
    }

    /// How clients are to be treated now.
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

    /// Steps the machine. An event that does not fit the state changes nothing: a second SIGTERM hurries nothing, and a
    /// stopping gateway neither applies new settings nor drains or resumes.
    pub fn on(&mut self, now: Time, event: Event) -> Action {
        if event == Event::Stop {
            self.stopped_at.get_or_insert(now);
        }
        match (self.state, event) {
            // No client connects any more, or those that do are accepted by the next process.
            (state, Event::Stop)
                if state == GatewayState::Drained
                    || (self.sharing == ListenerSharing::WithSuccessor && self.is_running()) =>
            {
                self.state = GatewayState::Closing;
                Action::ApplyServingState
            }
            (GatewayState::Serving | GatewayState::DrainAnnounced { .. }, Event::Stop) => {
                self.state = GatewayState::StopAnnounced { until: now + FRONT_NOTICE };
                Action::ApplyServingState
            }
            (GatewayState::Serving, Event::Drain) => {
                self.state = GatewayState::DrainAnnounced { until: now + FRONT_NOTICE };
                Action::ApplyServingState
            }
            (GatewayState::DrainAnnounced { .. } | GatewayState::Drained, Event::Resume) => {
                self.state = if mutant(Mutant::StaysDrained) { self.state } else { GatewayState::Serving };
                Action::ApplyServingState
            }
            (GatewayState::DrainAnnounced { until }, Event::Timeout) if now >= until => {
                self.state = GatewayState::Drained;
                Action::ApplyServingState
            }
            (
                GatewayState::Serving | GatewayState::DrainAnnounced { .. } | GatewayState::Drained,
                Event::Reload { usable },
            ) => {
                if usable {
                    Action::ApplySettings
                } else {
                    Action::KeepSettings
                }
            }
            (GatewayState::StopAnnounced { until }, Event::Timeout) if now >= until => {
                self.state = GatewayState::Closing;
                Action::ApplyServingState
            }
            (GatewayState::Closing, Event::Remaining { clients, attempts })
                if (clients, attempts) == (0, 0) || mutant(Mutant::ExitsWithRequestsInFlight) =>
            {
                self.state = GatewayState::Ended;
                Action::End
            }
            _ => Action::Wait,
        }
    }
}
