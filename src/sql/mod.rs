//! The SQL that clients send: the statements that are forwarded, and the ones that the gateway answers itself.
//!
//! May import: `postgres`.

pub mod set_statement;
pub mod statement;
pub mod statement_error;
mod statement_scanner;
