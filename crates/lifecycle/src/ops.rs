//! Commands of the operators' address: parsing, execution and replies.
//!
//! One line per connection, one line back: `YES` or `NO` and a short reason. Commands change the gateway only
//! through [`Event`]; they are idempotent, and a repeated one gets the reply that suits the state it finds.

use crate::gateway::{Action, Event, Gateway, GatewayState};
use petrelgauge_policy::Time;
use std::fmt;
use thiserror::Error;

/// Longest line of a caller, without its line end (bytes).
pub const MAX_LINE_BYTES: usize = 64;
/// Time within which a caller's line must be complete (microseconds).
pub const LINE_TIMEOUT: Time = 3_000_000;
/// Most concurrent callers (count). A further one replaces the one that has waited longest.
pub const MAX_CALLERS: usize = 16;

/// A command of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Check whether the gateway can serve.
    Ready,
    /// Drain all clients.
    Drain,
    /// Serve again.
    Resume,
}

/// Why a caller's line is no command. The texts are sent to the caller.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// No command of this name exists.
    #[error("the calls are ready, drain and resume")]
    Unknown,
    /// It is longer than [`MAX_LINE_BYTES`].
    #[error("the line is too long for a call")]
    TooLong,
    /// It did not end within [`LINE_TIMEOUT`].
    #[error("the line did not end in time")]
    TimedOut,
}

/// Parses a line without its line end.
///
/// # Errors
///
/// Fails if the line is too long or no command.
pub fn parse(line: &[u8]) -> Result<Command, CommandError> {
    match line.trim_ascii() {
        _ if line.len() > MAX_LINE_BYTES => Err(CommandError::TooLong),
        b"ready" => Ok(Command::Ready),
        b"drain" => Ok(Command::Drain),
        b"resume" => Ok(Command::Resume),
        _ => Err(CommandError::Unknown),
    }
}

/// What readiness depends on besides the state of the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct KnownState {
    /// Hosts in the endpoint list.
    pub hosts: usize,
    /// A list was received from discovery since the start.
    pub list_received: bool,
    /// Clock time (microseconds) from which the initial list is good enough, if discovery sends none.
    pub accept_initial_list_at: Time,
    /// Version of the settings in force: 1 at the start, one more for each file applied since.
    pub version: u64,
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Whether it says `YES`.
    pub yes: bool,
    /// A short reason for the operator.
    pub reason: String,
}

impl Reply {
    fn yes(reason: impl Into<String>) -> Reply {
        Reply { yes: true, reason: reason.into() }
    }

    fn no(reason: impl Into<String>) -> Reply {
        Reply { yes: false, reason: reason.into() }
    }
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} {}", if self.yes { "YES" } else { "NO" }, self.reason)
    }
}

impl From<CommandError> for Reply {
    fn from(error: CommandError) -> Reply {
        Reply { yes: false, reason: error.to_string() }
    }
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The reply to the operator.
    pub reply: Reply,
    /// What the gateway has to do.
    pub action: Action,
}

/// Executes a command on the gateway.
pub fn execute(gateway: &mut Gateway, now: Time, command: Command, known: KnownState) -> Execution {
    let before = gateway.state();
    let action = match command {
        Command::Ready => Action::Wait,
        Command::Drain => gateway.on(now, Event::Drain),
        Command::Resume => gateway.on(now, Event::Resume),
    };
    let stopping =
        matches!(before, GatewayState::StopAnnounced { .. } | GatewayState::Closing | GatewayState::Ended);
    let reply = match (command, before) {
        _ if stopping => Reply::no("stopping, it ends by itself"),
        (Command::Ready, GatewayState::Serving) => readiness(now, known),
        (Command::Ready, _) => Reply::no(format!("drained; call resume, settings {}", known.version)),
        (Command::Drain, GatewayState::Serving) => Reply::yes("draining, clients are gone within 4 s"),
        (Command::Drain, _) => Reply::yes("drained already"),
        (Command::Resume, GatewayState::Serving) => Reply::yes("at work already"),
        (Command::Resume, _) => Reply::yes("back at work"),
    };
    Execution { reply, action }
}

/// Whether a serving gateway is ready: it needs hosts, and a list that is no older than necessary.
fn readiness(now: Time, known: KnownState) -> Reply {
    let KnownState { hosts, list_received, accept_initial_list_at, version } = known;
    match (hosts, list_received) {
        (0, _) => Reply::no("the list names no host yet"),
        (_, false) if now < accept_initial_list_at => {
            Reply::no(format!("waiting for discovery's first word, settings {version}"))
        }
        (_, false) => {
            Reply::yes(format!("serving with the list of the start, {hosts} hosts, settings {version}"))
        }
        (_, true) => Reply::yes(format!("serving, {hosts} hosts, settings {version}")),
    }
}
