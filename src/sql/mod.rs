//! The SQL that clients send: statements that are forwarded to hosts, and statements that the gateway answers
//! by itself.
//!
//! | file | concern |
//! | --- | --- |
//! | [`statement`] | a statement for the hosts, and the fields of its comment |
//! | `statement_scanner` | the syntax of these statements |
//! | `statement_error` | why a statement is unusable |
//! | [`set_statement`] | SET, RESET and DISCARD, which the gateway answers by itself |
//!
//! The folder parses and keeps no state. It may import `postgres`.

pub mod set_statement;
pub mod statement;
pub mod statement_error;
mod statement_scanner;
