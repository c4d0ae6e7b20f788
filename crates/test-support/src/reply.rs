//! Replies of a scripted host, and the messages of complete answers.

use crate::messages::{error, parameter_status, ready_for_query, row};
use crate::time::unix_ms;

/// The reaction of a scripted host to a query. "On release" means after
/// [`Host::release`](crate::Host::release).
pub enum Reply {
    /// Answers with a row.
    Row(&'static [u8]),
    /// Answers as the primary with a row, at this position (Unix milliseconds).
    RowAt(&'static [u8], u64),
    /// Answers as a replica with a row, at this position.
    ReplicaAt(&'static [u8], u64),
    /// Answers with a row at the current position by a clock that is this many milliseconds ahead of the
    /// machine's.
    RowByClock(&'static [u8], i64),
    /// Like [`Reply::RowByClock`], from a replica whose lag is the second number (milliseconds).
    ReplicaByClock(&'static [u8], i64, i64),
    /// Answers with a row and sends these bytes after ReadyForQuery.
    RowThenBytes(&'static [u8], &'static [u8]),
    /// Sends these bytes.
    Bytes(&'static [u8]),
    /// Sends these bytes and closes the connection.
    BytesThenClose(&'static [u8]),
    /// Answers with a row in pieces of this many bytes, this many milliseconds apart.
    RowInPieces(&'static [u8], usize, u64),
    /// Answers with a row and resets the connection on release.
    ResetOnRelease(&'static [u8]),
    /// Answers with a row on release.
    WaitForRelease(&'static [u8]),
    /// Answers with a row at this position on release.
    RowAtOnRelease(&'static [u8], u64),
    /// Closes the connection on release, without an answer.
    CloseOnRelease,
    /// Answers with an error of this SQLSTATE.
    Error(&'static str),
    /// Answers as a replica with an error of this SQLSTATE, at this position.
    ErrorAt(&'static str, u64),
    /// Closes the connection without an answer.
    Close,
    /// Sends no answer.
    NoAnswer,
    /// Sends no answer to a query that contains this text; answers other queries with a row.
    NoAnswerTo(&'static str, &'static [u8]),
    /// Sends this reply after a delay (milliseconds).
    Delayed(u64, Box<Reply>),
    /// Answers with a row that contains the text of the query, in this role.
    Echo(&'static str),
}

impl Reply {
    /// The messages of a complete answer: a row or an error, the host's position and role, and ReadyForQuery.
    pub(crate) fn messages(&self, query: &str) -> Vec<u8> {
        let answer = match self {
            Reply::Row(value) | Reply::WaitForRelease(value) | Reply::NoAnswerTo(_, value) => row(value),
            Reply::RowAt(value, at) | Reply::ReplicaAt(value, at) | Reply::RowAtOnRelease(value, at) => {
                [row(value), log_position(*at)].concat()
            }
            Reply::RowByClock(value, ahead) => [row(value), log_position_by_clock(*ahead)].concat(),
            Reply::ReplicaByClock(value, ahead, behind) => {
                [row(value), log_position_by_clock(ahead - behind)].concat()
            }
            Reply::Delayed(_, reply) => return reply.messages(query),
            Reply::Error(code) => error(code),
            Reply::Echo(_) => row(query.as_bytes()),
            Reply::ErrorAt(code, at) => [error(code), log_position(*at)].concat(),
            _ => unreachable!("not a complete answer"),
        };
        [answer, parameter_status("replication_role", self.role()), ready_for_query()].concat()
    }

    fn role(&self) -> &'static str {
        match self {
            Reply::ReplicaAt(..) | Reply::ReplicaByClock(..) | Reply::ErrorAt(..) => "standby",
            Reply::Echo(role) => role,
            _ => "primary",
        }
    }
}

fn log_position(unix_ms: u64) -> Vec<u8> {
    parameter_status("log_position", &unix_ms.to_string())
}

/// The current position by a clock that is this many milliseconds ahead of the machine's.
fn log_position_by_clock(ahead_ms: i64) -> Vec<u8> {
    log_position(unix_ms().checked_add_signed(ahead_ms).expect("a time after 1970"))
}
