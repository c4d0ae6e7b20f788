//! What a scripted host does with a query, and the messages of complete answers.

use crate::messages::{error, parameter_status, ready_for_query, row};
use crate::time::unix_ms;

/// What a scripted host does with a query.
pub enum Reply {
    Row(&'static [u8]),
    /// A row at this position, in Unix milliseconds.
    RowAt(&'static [u8], u64),
    /// The same from a replica.
    ReplicaAt(&'static [u8], u64),
    /// A row of a host whose clock shows `ahead` milliseconds more than the machine's, at the position of this moment.
    RowByClock(&'static [u8], i64),
    /// The same from a replica that is so many milliseconds behind, in the second place.
    ReplicaByClock(&'static [u8], i64, i64),
    /// A complete answer, so many milliseconds later.
    Delayed(u64, Box<Reply>),
    /// A row, and these bytes right behind it.
    Surplus(&'static [u8], &'static [u8]),
    /// These bytes and no more.
    Bytes(&'static [u8]),
    /// These bytes, and the connection's end.
    Cut(&'static [u8]),
    /// A row, in so many bytes at a time and so many milliseconds apart.
    Pieces(&'static [u8], usize, u64),
    /// A row, and the connection reset when the test says so.
    ResetOnGo(&'static [u8]),
    WaitForGo(&'static [u8]),
    /// The same, at this position.
    RowAtOnGo(&'static [u8], u64),
    /// No answer, and the connection closed when the test says so.
    CloseOnGo,
    Error(&'static str),
    /// The same from a replica at this position.
    ErrorAt(&'static str, u64),
    Close,
    Nothing,
    /// No answer to a query that holds this text, and a row to another.
    NothingTo(&'static str, &'static [u8]),
    /// A row with the query's own text, from a host in this role.
    Echo(&'static str),
}

impl Reply {
    /// The messages of a complete answer to a query: a row or an error, what the host states of itself, and its end.
    pub(crate) fn messages(&self, query: &str) -> Vec<u8> {
        let answer = match self {
            Reply::Row(value) | Reply::WaitForGo(value) | Reply::NothingTo(_, value) => row(value),
            Reply::RowAt(value, at) | Reply::ReplicaAt(value, at) | Reply::RowAtOnGo(value, at) => {
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
            _ => unreachable!("it is no complete answer"),
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

/// The position of this moment by a clock that is ahead of the machine's by so many milliseconds.
fn log_position_by_clock(ahead_ms: i64) -> Vec<u8> {
    log_position(unix_ms().checked_add_signed(ahead_ms).expect("after 1970"))
}
