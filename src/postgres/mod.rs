//! Version 3 of PostgreSQL's wire protocol, for both sides of the gateway. Only simple queries are supported.
//!
//! | file | concern |
//! | --- | --- |
//! | [`framer`] | bytes of a connection, split into messages |
//! | [`message`] | one message and its body |
//! | [`message_type`] | the type bytes of messages |
//! | [`message_writer`] | the `put_` functions, which append messages to a buffer |
//! | [`answer_assembler`] | the messages of a database host, assembled to an answer |
//! | [`read_buffer`] | the buffer that all connections read into |
//! | [`cancel`] | the key of a cancel request |
//! | [`sqlstate`] | codes of the errors that the gateway sends |
//!
//! Messages that are read are bounded by [`MAX_MESSAGE_BYTES`], except for a row that is streamed: see
//! [`Framer::long_row`]. The folder owns no connection and keeps no state but what was fed and not taken.
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
pub use crate::postgres::message::{error_field, parameter, Malformed, Message, Parameter};
pub use crate::postgres::message_writer::{
    put, put_complete, put_empty, put_error, put_parameter_status, put_ready, put_startup,
    put_startup_answer, query, Severity,
};
