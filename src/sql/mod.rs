//! Parses the SQL that clients send: statements that are forwarded to hosts, and statements that the gateway
//! answers itself.
//!
//! | file | concern |
//! | --- | --- |
//! | [`statement`] | a statement that is forwarded to a host, and the fields of its comment |
//! | `statement_scanner` | scanner for the syntax of these statements |
//! | `statement_error` | why a statement is rejected |
//! | [`set_statement`] | SET, RESET and DISCARD, which the gateway answers itself |
//!
//! The folder keeps no state. It may import `postgres`.

pub mod set_statement;
pub mod statement;
pub mod statement_error;
mod statement_scanner;
