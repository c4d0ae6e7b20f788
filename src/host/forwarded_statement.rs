//! A statement on its way to hosts, with the memory that it holds and the id of its request.

use crate::resources::budget::MemoryReservation;
use crate::resources::request_ids::ReservedRequestId;
use crate::sql::statement::Statement;
use crate::Time;
use std::ops::Deref;

/// A client's statement that is forwarded to hosts. Its memory is accounted for, and its id is reserved, as long
/// as the request or one of its attempts needs it: an attempt may outlive the connection of its client.
pub struct ForwardedStatement {
    statement: Statement,
    request_id: ReservedRequestId,
    _memory: MemoryReservation,
}

impl ForwardedStatement {
    /// Accounts for the statement's memory with this reservation.
    pub fn new(
        statement: Statement,
        request_id: ReservedRequestId,
        mut memory: MemoryReservation,
    ) -> ForwardedStatement {
        memory.resize(statement.held_bytes());
        ForwardedStatement { statement, request_id, _memory: memory }
    }

    /// Records that a host may have run the statement.
    pub fn record_use(&self, now: Time) {
        self.request_id.record_use(now);
    }
}

impl Deref for ForwardedStatement {
    type Target = Statement;

    fn deref(&self) -> &Statement {
        &self.statement
    }
}
