//! The life of the gateway itself: serving, its last clients, closing, ended.
//!
//! ```text
//! Serving --Stop--> LastClients --Due--> Closing --Held(0, 0)--> Ended
//! ```
//!
//! After SIGTERM clients are accepted for a while: the front learns of it only then. Idle ones are closed after that,
//! the others get their answers, and it ends when nothing is held any more.

use petrelgauge_policy::{mutant, Mutant, Time};

/// After SIGTERM clients are accepted for this span (microseconds).
pub const LAST_CLIENTS: Time = 450_000;

/// Where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// It serves.
    Serving,
    /// It is to stop, and serves up to this time as before.
    LastClients {
        /// Clock time.
        until: Time,
    },
    /// Nobody new is accepted, and idle clients are closed.
    Closing,
    /// Over.
    Ended,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// SIGTERM or SIGINT.
    Stop,
    /// SIGHUP, and whether the file that was read then can be used.
    Reload {
        /// It can.
        usable: bool,
    },
    /// The time that [`Gateway::due`] named has come.
    Due,
    /// So much is held.
    Held {
        /// Clients' connections, those included that wait to be accepted.
        clients: usize,
        /// Attempts without a report.
        attempts: usize,
    },
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Do {
    /// Go on.
    Wait,
    /// Follow what the new file says.
    Take,
    /// The old configuration holds; say so.
    Keep,
    /// Close idle clients, and accept no more once all that came before is accepted.
    Close,
    /// End.
    End,
}

/// The gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Gateway {
    stage: Stage,
}

impl Default for Gateway {
    fn default() -> Gateway {
        Gateway { stage: Stage::Serving }
    }
}

impl Gateway {
    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Clock time at which [`Event::Due`] is to be told, if any.
    pub fn due(&self) -> Option<Time> {
        match self.stage {
            Stage::LastClients { until } => Some(until),
            _ => None,
        }
    }

    /// Something happened.
    pub fn on(&mut self, now: Time, event: Event) -> Do {
        match (self.stage, event) {
            (Stage::Serving, Event::Stop) => {
                self.stage = Stage::LastClients { until: now + LAST_CLIENTS };
                Do::Wait
            }
            (Stage::Serving, Event::Reload { usable: true }) => Do::Take,
            (Stage::Serving, Event::Reload { usable: false }) => Do::Keep,
            (Stage::LastClients { until }, Event::Due) if now >= until => {
                self.stage = Stage::Closing;
                Do::Close
            }
            (Stage::Closing, Event::Held { clients, attempts })
                if (clients, attempts) == (0, 0) || mutant(Mutant::EndsWhileHeld) =>
            {
                self.stage = Stage::Ended;
                Do::End
            }
            // A second SIGTERM hurries nothing, and a stopping gateway has no use for a new file.
            _ => Do::Wait,
        }
    }
}
