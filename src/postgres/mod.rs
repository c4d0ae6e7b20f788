//! PostgreSQL's wire protocol, version 3, for connections to clients and to hosts. Only the simple query
//! protocol is supported.
//!
//! | file | concern |
//! | --- | --- |
//! | [`framer`] | splits a byte stream into messages |
//! | [`message`] | a message, and parsers for message bodies |
//! | [`message_type`] | the type bytes of messages |
//! | [`message_writer`] | the `put_` functions, which append messages to a buffer |
//! | [`answer_assembler`] | assembles a host's messages into an answer |
//! | `receive_buffer` | the bytes of one connection that are not taken yet |
//! | [`read_buffer`] | the read buffer that all connections share |
//! | [`cancel`] | the key of a cancel request |
//! | [`sqlstate`] | SQLSTATE codes of the gateway's own errors |
//!
//! Received messages are limited to [`MAX_MESSAGE_BYTES`], except for a row that is streamed: see
//! [`Framer::long_row`]. The folder owns no connections; its only state is the bytes fed to a framer and
//! not yet taken.
//!
//! May import: `os`, to read a socket into a [`Framer`].

pub mod answer_assembler;
pub mod cancel;
pub mod framer;
pub mod message;
pub mod message_type;
pub mod message_writer;
pub mod read_buffer;
mod receive_buffer;
pub mod sqlstate;

pub use crate::postgres::answer_assembler::{Answer, AnswerAssembler, Reply};
pub use crate::postgres::framer::{
    Framer, Opening, MAX_BUFFERED_ROW_BYTES, MAX_MESSAGE_BYTES, MAX_ROW_BYTES,
};
pub use crate::postgres::message::{error_field, parse_parameter, Malformed, Message, Parameter};
pub use crate::postgres::message_writer::{
    put, put_complete, put_empty, put_error, put_parameter_status, put_ready, put_startup,
    put_startup_answer, query, Severity,
};
