//! The calls of the staff's second address: what a line asks for, and what is answered to it.
//!
//! One line to a connection, one line back: `YES` or `NO` and a short reason. A call changes the gateway's life through
//! [`Event`] alone; the same call twice is no mistake and is answered as if it had been said once.

use crate::gateway::{Action, Event, Gateway, Stage};
use petrelgauge_policy::Time;
use std::fmt;

/// Longest line of a caller (bytes), its end not counted.
pub const MOST_LINE: usize = 64;
/// Span in which a caller's line must be whole (microseconds).
pub const LINE: Time = 3_000_000;
/// Callers at a time (count). A further one takes the place of the one that has waited for longest.
pub const MOST_CALLERS: usize = 16;

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// Whether it can serve.
    Ready,
    /// To be emptied.
    Drain,
    /// To go back to work.
    Resume,
}

/// Why a caller's line is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// It is none of the calls.
    Unknown,
    /// It is too long to be one.
    Long,
    /// It did not end in time.
    Late,
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Flaw::Unknown => "the calls are ready, drain and resume",
            Flaw::Long => "the line is too long for a call",
            Flaw::Late => "the line did not end in time",
        })
    }
}

/// Reads a line, without the byte that ends it.
pub fn read(line: &[u8]) -> Result<Call, Flaw> {
    match line.trim_ascii() {
        _ if line.len() > MOST_LINE => Err(Flaw::Long),
        b"ready" => Ok(Call::Ready),
        b"drain" => Ok(Call::Drain),
        b"resume" => Ok(Call::Resume),
        _ => Err(Flaw::Unknown),
    }
}

/// What is known that a gateway needs to serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Known {
    /// Hosts that the list names.
    pub hosts: usize,
    /// Discovery has spoken since the start.
    pub told: bool,
    /// Clock time from which on the list that it started with will do, when discovery stays silent.
    pub patience_until: Time,
    /// Settings in force: 1 for those of the start, one more for each file taken since.
    pub version: u64,
}

/// What is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// `YES`.
    pub yes: bool,
    /// A short reason, for staff.
    pub reason: String,
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} {}", if self.yes { "YES" } else { "NO" }, self.reason)
    }
}

impl From<Flaw> for Reply {
    fn from(flaw: Flaw) -> Reply {
        Reply { yes: false, reason: flaw.to_string() }
    }
}

/// Carries a call out on the gateway's life: what is answered, and what is to be done.
pub fn call(life: &mut Gateway, now: Time, call: Call, known: Known) -> (Reply, Action) {
    let before = life.stage();
    let to_do = match call {
        Call::Ready => Action::Wait,
        Call::Drain => life.on(now, Event::Drain),
        Call::Resume => life.on(now, Event::Resume),
    };
    let stopping = matches!(before, Stage::LastClients { .. } | Stage::Closing | Stage::Ended);
    let (yes, reason) = match (call, before) {
        _ if stopping => (false, "stopping, it ends by itself".to_string()),
        (Call::Ready, Stage::Serving) => ready(now, known),
        (Call::Ready, _) => (false, format!("drained; call resume, settings {}", known.version)),
        (Call::Drain, Stage::Serving) => (true, "draining, clients are gone within 4 s".into()),
        (Call::Drain, _) => (true, "drained already".into()),
        (Call::Resume, Stage::Serving) => (true, "at work already".into()),
        (Call::Resume, _) => (true, "back at work".into()),
    };
    (Reply { yes, reason }, to_do)
}

/// Whether a gateway at work can serve: it has hosts to send to, and their list is not older than need be.
fn ready(now: Time, known: Known) -> (bool, String) {
    let Known { hosts, told, patience_until, version } = known;
    match (hosts, told) {
        (0, _) => (false, "the list names no host yet".into()),
        (_, false) if now < patience_until => {
            (false, format!("waiting for discovery's first word, settings {version}"))
        }
        (_, false) => {
            (true, format!("serving with the list of the start, {hosts} hosts, settings {version}"))
        }
        (_, true) => (true, format!("serving, {hosts} hosts, settings {version}")),
    }
}
