//! Commands of the operators' address: parsing, execution and replies.
//!
//! A caller sends one line per connection and gets one line back: `YES` or `NO` and a short reason. Commands
//! change the gateway only through [`Event`]. They are idempotent, and a repeated command gets the reply for
//! the state that the gateway is in.

use crate::gateway::{Action, Event, Gateway, GatewayState};
use petrelgauge_policy::Time;
use std::fmt;
use thiserror::Error;

/// Maximum length of a caller's line, without its line end (bytes).
pub const MAX_LINE_BYTES: usize = 64;
/// Time within which a caller's line must be complete (microseconds).
pub const LINE_TIMEOUT: Time = 3_000_000;
/// Maximum number of concurrent callers. Another one replaces the one that has been connected longest.
pub const MAX_CALLERS: usize = 16;

/// A command of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Check whether the gateway can serve.
    Ready,
    /// Drain the gateway of all clients.
    Drain,
    /// Resume serving.
    Resume,
}

/// Why a caller's line is not a command. The texts are sent to the caller.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// There is no command of this name.
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
/// Fails if the line is too long or is not a command.
pub fn parse(line: &[u8]) -> Result<Command, CommandError> {
    match line.trim_ascii() {
        _ if line.len() > MAX_LINE_BYTES => Err(CommandError::TooLong),
        b"ready" => Ok(Command::Ready),
        b"drain" => Ok(Command::Drain),
        b"resume" => Ok(Command::Resume),
        _ => Err(CommandError::Unknown),
    }
}

/// What readiness depends on in addition to the state of the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ReadinessInputs {
    /// Hosts in the endpoint list.
    pub hosts: usize,
    /// A list has been received from discovery since the start.
    pub list_received: bool,
    /// Clock time (microseconds) from which the initial list is accepted if discovery has sent none.
    pub accept_initial_list_at: Time,
    /// Version of the settings in force: 1 at the start, incremented with each file that is applied.
    pub settings_version: u64,
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

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The reply to the operator.
    pub reply: Reply,
    /// What the gateway has to do.
    pub action: Action,
}

/// Executes a command on the gateway.
pub fn execute(gateway: &mut Gateway, now: Time, command: Command, inputs: ReadinessInputs) -> Execution {
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
        (Command::Ready, GatewayState::Serving) => readiness(now, inputs),
        (Command::Ready, _) => {
            Reply::no(format!("drained; call resume, settings {}", inputs.settings_version))
        }
        (Command::Drain, GatewayState::Serving) => Reply::yes("draining, clients are gone within 4 s"),
        (Command::Drain, _) => Reply::yes("drained already"),
        (Command::Resume, GatewayState::Serving) => Reply::yes("at work already"),
        (Command::Resume, _) => Reply::yes("back at work"),
    };
    Execution { reply, action }
}

/// Whether a serving gateway is ready: its list must name hosts, and must come from discovery unless
/// discovery sends none in time.
fn readiness(now: Time, inputs: ReadinessInputs) -> Reply {
    let ReadinessInputs { hosts, list_received, accept_initial_list_at, settings_version } = inputs;
    match (hosts, list_received) {
        (0, _) => Reply::no("the list names no host yet"),
        (_, false) if now < accept_initial_list_at => {
            Reply::no(format!("waiting for discovery's first word, settings {settings_version}"))
        }
        (_, false) => Reply::yes(format!(
            "serving with the list of the start, {hosts} hosts, settings {settings_version}"
        )),
        (_, true) => Reply::yes(format!("serving, {hosts} hosts, settings {settings_version}")),
    }
}
