//! Version 3 of PostgreSQL's wire protocol, for both sides of the gateway: [`Framer`] cuts the bytes of a connection into
//! messages, the `put_` functions append messages to what is written, and [`AnswerAssembler`] puts the messages of a
//! database host together to an answer. Only simple queries are spoken.
//!
//! Everything that is read is bounded by [`MAX_MESSAGE_BYTES`], but for a row that is streamed: see [`Framer::long_row`].
//!
//! May import: `os`, for reading a socket into a [`Framer`].

pub mod answer_assembler;
pub mod cancel;
pub mod framer;
pub mod message;
pub mod message_type;
pub mod message_writer;
pub mod read_buffer;
pub mod sqlstate;

pub use crate::postgres::answer_assembler::{Answer, AnswerAssembler, Reply};
pub use crate::postgres::framer::{
    Framer, Opening, MAX_BUFFERED_ROW_BYTES, MAX_MESSAGE_BYTES, MAX_ROW_BYTES,
};
pub use crate::postgres::message::{error_field, parameter, Malformed, Message};
pub use crate::postgres::message_writer::{
    put, put_complete, put_empty, put_error, put_parameter_status, put_ready, put_startup,
    put_startup_answer, query, Severity,
};
