//! Assembles the messages of a database host to its answer to a query.

use crate::postgres::message::{error_field, parameter, Malformed, Message, Parameter};
use crate::postgres::message_type;
use bytes::Bytes;

/// Most ParameterStatus messages that are kept of one answer (count).
const MAX_PARAMETERS: usize = 16;
/// Number of messages of a row: RowDescription, DataRow and CommandComplete.
const ROW_MESSAGES: usize = 3;
/// Bytes of a column in a RowDescription after its name: table, column number, type, size, modifier and
/// format.
const COLUMN_BYTES: usize = 18;
/// The field of an ErrorResponse with its SQLSTATE.
const CODE_FIELD: u8 = b'C';

/// The answer of a database host to a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// One row: RowDescription, DataRow and CommandComplete as they were on the wire.
    Row(Vec<Bytes>),
    /// An error, by its SQLSTATE.
    Error(String),
}

/// A host's answer, and what it reported about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The answer.
    pub answer: Answer,
    /// The parameters that were reported with the answer.
    pub parameters: Vec<Parameter>,
    /// The host is ready for another query.
    pub is_ready: bool,
}

/// Assembles the messages of a host to an answer: one row of one column, or an error. It holds at most the
/// three messages of a row and 16 parameters.
#[derive(Debug, Default)]
pub struct AnswerAssembler {
    /// The messages of a row so far.
    row: Vec<Bytes>,
    /// The SQLSTATE of an error.
    error: Option<String>,
    parameters: Vec<Parameter>,
}

impl AnswerAssembler {
    /// Adds a message. Returns the reply with ReadyForQuery.
    ///
    /// # Errors
    ///
    /// Fails if the message is malformed or not allowed at this point.
    pub fn push(&mut self, message: Message) -> Result<Option<Reply>, Malformed> {
        let body = message.body();
        match (message.kind(), self.row.len()) {
            (message_type::ROW_DESCRIPTION, 0) if self.error.is_none() && describes_one_column(body) => {
                self.row.push(message.raw);
            }
            (message_type::DATA_ROW, 1) if self.error.is_none() && holds_one_value(body) => {
                self.row.push(message.raw);
            }
            (message_type::COMMAND_COMPLETE, 2) if self.error.is_none() && completes_row(body) => {
                self.row.push(message.raw);
            }
            (message_type::ERROR_RESPONSE, _) if self.error.is_none() => {
                let code = error_field(body, CODE_FIELD).ok_or(Malformed("an error without a code"))?;
                self.error = Some(code.to_string());
            }
            (message_type::PARAMETER_STATUS, _) => self.push_parameter(body),
            (message_type::NOTICE_RESPONSE, _) => {}
            (message_type::READY_FOR_QUERY, _) if matches!(body, [b'I' | b'T' | b'E']) => {
                return self.take_reply(true).map(Some).ok_or(Malformed("an answer without a row"))
            }
            _ => return Err(Malformed("a message out of place, or one that does not fit its type")),
        }
        Ok(None)
    }

    fn push_parameter(&mut self, body: &[u8]) {
        if self.parameters.len() >= MAX_PARAMETERS {
            return;
        }
        self.parameters.extend(parameter(body));
    }

    /// Begins a row that is streamed and so not added. Returns its RowDescription for the client.
    pub fn begin_streamed_row(&mut self) -> Bytes {
        let description = self.row.first().cloned().unwrap_or_default();
        self.row.push(Bytes::new());
        description
    }

    /// Whether a DataRow may come next.
    pub fn awaits_row(&self) -> bool {
        self.row.len() == 1 && self.error.is_none()
    }

    /// The parameters that were reported so far.
    pub fn parameters(&self) -> &[Parameter] {
        &self.parameters
    }

    /// Ends the answer with the connection. A host may close the connection after an error; then that is the
    /// reply.
    pub fn finish(&mut self) -> Option<Reply> {
        self.error.as_ref()?;
        self.take_reply(false)
    }

    fn take_reply(&mut self, is_ready: bool) -> Option<Reply> {
        let answer = match self.error.take() {
            Some(code) => Answer::Error(code),
            None if self.row.len() == ROW_MESSAGES => Answer::Row(std::mem::take(&mut self.row)),
            None => return None,
        };
        Some(Reply { answer, parameters: std::mem::take(&mut self.parameters), is_ready })
    }
}

/// Whether this is the body of a RowDescription with one column.
fn describes_one_column(body: &[u8]) -> bool {
    let name = body.strip_prefix(&[0, 1]).unwrap_or_default();
    name.iter().position(|byte| *byte == 0).is_some_and(|end| name.len() == end + 1 + COLUMN_BYTES)
}

/// Whether this is the body of a DataRow with one column that is not null.
fn holds_one_value(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&[0, 1]) else { return false };
    let Some((length, value)) = column.split_first_chunk() else { return false };
    u32::from_be_bytes(*length) as usize == value.len()
}

/// Whether this is the body of a CommandComplete for a statement that returns a row.
fn completes_row(body: &[u8]) -> bool {
    let tag = body.strip_suffix(&[0]).unwrap_or_default();
    let returns_row = tag.starts_with(b"SELECT ") || tag.starts_with(b"INSERT ");
    returns_row && tag.iter().all(|byte| byte.is_ascii_graphic() || *byte == b' ')
}
