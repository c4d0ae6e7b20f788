//! The life of the gateway itself: serving, emptied and back, its last clients, closing, ended.
//!
//! ```text
//!    +------------Resume-----------+
//!    v                             |
//! Serving --Drain--> Turning --Due--> Empty
//!    |                  |              +--------Stop-------+
//!    |                  |                                  v
//!    +-------Stop-------+--> LastClients --Due--------> Closing --Held(0, 0)--> Ended
//! ```
//!
//! What the front does at a time is its [`ServingState`], which follows from the stage alone. A drained gateway keeps its
//! process, its list and what it has learned, and accepts whoever still comes: it only wants nobody to.
//!
//! After SIGTERM clients are accepted for a while: the front learns of it only then. Idle ones are closed after that,
//! the others get their answers, and it ends when nothing is held any more.

use crate::client::Idleness;
use petrelgauge_policy::{mutant, Mutant, Time};

/// After SIGTERM, and after the call to drain, clients are served as before for this span (microseconds): the front
/// learns of it only then.
pub const FRONT_NOTICE: Time = 450_000;

/// After SIGTERM the platform leaves a process the longest deadline, counted as 3 s where it is longer, and 0.7 s more
/// (microseconds; the protocol page).
const MOST_DEADLINE: Time = 3_000_000;
const LEFT: Time = 700_000;
/// How much sooner the last answers are given (microseconds): a machine that is short of processor time takes some
/// tenths of a second to carry them out.
const SOONER: Time = 250_000;

/// Where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// It serves.
    Serving,
    /// It is to be emptied; the front is told so, and up to this time clients are served as before.
    DrainAnnounced {
        /// Clock time.
        until: Time,
    },
    /// It is emptied: clients are closed as soon as nothing is owed to them.
    Drained,
    /// It is to stop, and serves up to this time as before.
    StopAnnounced {
        /// Clock time.
        until: Time,
    },
    /// Nobody new is accepted, and idle clients are closed.
    Closing,
    /// Over.
    Ended,
}

/// What the front does with clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ServingState {
    /// All are welcome.
    #[default]
    Serving,
    /// The empty query is answered with no, all else as before.
    Unready,
    /// The same, and clients are closed as soon as nothing is owed to them.
    Draining,
    /// Nobody new is accepted either.
    Stopped,
}

impl ServingState {
    /// The empty query is answered so that the front goes on sending clients.
    pub fn reports_ready(self) -> bool {
        // A stop is announced by the platform itself.
        matches!(self, ServingState::Serving | ServingState::Stopped)
    }

    /// Clients to whom nothing is owed are closed.
    pub fn closes_idle_clients(self) -> bool {
        matches!(self, ServingState::Draining | ServingState::Stopped)
    }
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// SIGTERM or SIGINT.
    Stop,
    /// The staff wants it emptied.
    Drain,
    /// The staff wants it back at work.
    Resume,
    /// SIGHUP, and whether the file that was read then can be used.
    Reload {
        /// It can.
        usable: bool,
    },
    /// The time that [`Gateway::due`] named has come.
    Due,
    /// So much is held.
    Remaining {
        /// Clients' connections, those included that wait to be accepted.
        clients: usize,
        /// Attempts without a report.
        attempts: usize,
    },
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Go on.
    Wait,
    /// Follow what the new file says.
    ApplySettings,
    /// The old configuration holds; say so.
    KeepSettings,
    /// Do as the door says now.
    ApplyServingState,
    /// End.
    End,
}

/// Up to when clients are read in a stop (clock times).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadDeadlines {
    /// Those without any answer so far: to be closed without one costs them, and so they are read up to the last answers.
    new: Time,
    /// Those that have had one. What is read from them has half of the time that is left to be answered: later it would be
    /// refused for want of time, and unread its client sends it once more to another gateway.
    answered: Time,
}

impl Default for ReadDeadlines {
    /// No stop.
    fn default() -> ReadDeadlines {
        ReadDeadlines { new: Time::MAX, answered: Time::MAX }
    }
}

impl ReadDeadlines {
    /// For a client that would be closed for this reason.
    pub fn of(self, why: Idleness) -> Time {
        match why {
            Idleness::Answered => self.answered,
            Idleness::New | Idleness::CutOff => self.new,
        }
    }
}

/// The gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Gateway {
    stage: Stage,
    /// The platform holds the clients' listening socket: whoever comes after a stop is for the next process.
    shared: bool,
    /// When it was told to stop.
    stopped_at: Option<Time>,
}

impl Default for Gateway {
    fn default() -> Gateway {
        Gateway::new(false)
    }
}

impl Gateway {
    /// One at work. `shared`: the clients' listening socket outlives this process.
    pub fn new(shared: bool) -> Gateway {
        Gateway { stage: Stage::Serving, shared, stopped_at: None }
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Clock time up to which whatever is taken in from now on is to be answered, whatever its client would wait: the
    /// process is killed soon after. `longest`: the longest deadline of any class.
    pub fn answer_deadline(&self, longest: Time) -> Time {
        let limit = longest.min(MOST_DEADLINE) + LEFT - SOONER;
        self.stopped_at.map_or(Time::MAX, |at| at + limit)
    }

    /// Up to when what is read in a stop. `longest`: the longest deadline of any class.
    pub fn read_deadlines(&self, longest: Time) -> ReadDeadlines {
        let Some(at) = self.stopped_at else { return ReadDeadlines::default() };
        let new = self.answer_deadline(longest);
        ReadDeadlines { new, answered: at + ((new - at) / 2).max(FRONT_NOTICE) }
    }

    fn at_work(&self) -> bool {
        matches!(self.stage, Stage::Serving | Stage::DrainAnnounced { .. } | Stage::Drained)
    }

    /// What the front is to do now.
    pub fn serving_state(&self) -> ServingState {
        match self.stage {
            Stage::Serving | Stage::StopAnnounced { .. } => ServingState::Serving,
            Stage::DrainAnnounced { .. } => ServingState::Unready,
            Stage::Drained => ServingState::Draining,
            Stage::Closing | Stage::Ended => ServingState::Stopped,
        }
    }

    /// Clock time at which [`Event::Due`] is to be told, if any.
    pub fn due(&self) -> Option<Time> {
        match self.stage {
            Stage::StopAnnounced { until } | Stage::DrainAnnounced { until } => Some(until),
            _ => None,
        }
    }

    /// Something happened.
    pub fn on(&mut self, now: Time, event: Event) -> Action {
        if event == Event::Stop {
            self.stopped_at.get_or_insert(now);
        }
        match (self.stage, event) {
            // Nobody comes any more, or whoever does is accepted by the next process.
            (stage, Event::Stop) if stage == Stage::Drained || (self.shared && self.at_work()) => {
                self.stage = Stage::Closing;
                Action::ApplyServingState
            }
            (Stage::Serving | Stage::DrainAnnounced { .. }, Event::Stop) => {
                self.stage = Stage::StopAnnounced { until: now + FRONT_NOTICE };
                Action::ApplyServingState
            }
            (Stage::Serving, Event::Drain) => {
                self.stage = Stage::DrainAnnounced { until: now + FRONT_NOTICE };
                Action::ApplyServingState
            }
            (Stage::DrainAnnounced { .. } | Stage::Drained, Event::Resume) => {
                self.stage = if mutant(Mutant::StaysDrained) { self.stage } else { Stage::Serving };
                Action::ApplyServingState
            }
            (Stage::DrainAnnounced { until }, Event::Due) if now >= until => {
                self.stage = Stage::Drained;
                Action::ApplyServingState
            }
            (Stage::Serving | Stage::DrainAnnounced { .. } | Stage::Drained, Event::Reload { usable }) => {
                if usable {
                    Action::ApplySettings
                } else {
                    Action::KeepSettings
                }
            }
            (Stage::StopAnnounced { until }, Event::Due) if now >= until => {
                self.stage = Stage::Closing;
                Action::ApplyServingState
            }
            (Stage::Closing, Event::Remaining { clients, attempts })
                if (clients, attempts) == (0, 0) || mutant(Mutant::ExitsWithRequestsInFlight) =>
            {
                self.stage = Stage::Ended;
                Action::End
            }
            // A second SIGTERM hurries nothing, a stopping gateway has no use for a new file, and neither drains nor
            // comes back.
            _ => Action::Wait,
        }
    }
}
