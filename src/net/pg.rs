//! Version 3 of PostgreSQL's wire protocol, for both sides of the gateway: [`Framer`] cuts the bytes of a connection into
//! messages, the `put_` functions append messages to what is written, and [`AnswerAssembler`] puts the messages of a
//! database host together to an answer. Only simple queries are spoken.
//!
//! Everything that is read is bounded by [`MAX_MESSAGE_BYTES`], but for a row that is streamed: see [`Framer::long_row`].

pub use crate::net::answer_assembler::{Answer, AnswerAssembler, Reply};
pub use crate::net::framer::{Framer, Opening, MAX_BUFFERED_ROW_BYTES, MAX_MESSAGE_BYTES, MAX_ROW_BYTES};
pub use crate::net::message::{error_field, parameter, Malformed, Message};
pub use crate::net::message_writer::{
    put, put_complete, put_empty, put_error, put_parameter_status, put_ready, put_startup,
    put_startup_answer, query, Severity,
};
