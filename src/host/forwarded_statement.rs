//! A statement on its way to hosts, with the memory that it holds.

use crate::resources::budget::MemoryReservation;
use crate::sql::statement::Statement;
use std::ops::Deref;

/// A client's statement that is forwarded to hosts. Its memory is accounted for as long as the request or one
/// of its attempts needs it: an attempt may outlive the connection of its client.
pub struct ForwardedStatement {
    statement: Statement,
    _memory: MemoryReservation,
}

impl ForwardedStatement {
    /// Accounts for the statement's memory with this reservation.
    pub fn new(statement: Statement, mut memory: MemoryReservation) -> ForwardedStatement {
        memory.resize(statement.held_bytes());
        ForwardedStatement { statement, _memory: memory }
    }
}

impl Deref for ForwardedStatement {
    type Target = Statement;

    fn deref(&self) -> &Statement {
        &self.statement
    }
}
