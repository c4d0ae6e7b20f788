//! Assembles a database host's messages into its answer to a query.

use crate::postgres::message::{error_field, parse_parameter, Malformed, Message, Parameter};
use crate::postgres::message_type;
use bytes::Bytes;

/// Maximum number of ParameterStatus messages that are kept per answer.
const MAX_PARAMETERS: usize = 16;
/// Number of messages in an answer with a row: RowDescription, DataRow and CommandComplete.
const ROW_MESSAGES: usize = 3;
/// Bytes of a column in a RowDescription after its name: table, column number, type, size, modifier and
/// format.
const COLUMN_BYTES: usize = 18;
/// Type of the ErrorResponse field that holds the SQLSTATE.
const CODE_FIELD: u8 = b'C';

/// A database host's answer to a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// One row: RowDescription, DataRow and CommandComplete as received.
    Row(Vec<Bytes>),
    /// An error, identified by its SQLSTATE.
    Error(String),
}

/// A host's answer, with the parameters it reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The answer.
    pub answer: Answer,
    /// The parameters that were reported with the answer.
    pub parameters: Vec<Parameter>,
    /// Whether the host is ready for another query.
    pub is_ready: bool,
}

/// Assembles a host's messages into an answer: one row with one column, or an error. It buffers at most the
/// three messages of a row and 16 parameters.
#[derive(Debug, Default)]
pub struct AnswerAssembler {
    /// The messages of the row received so far.
    row: Vec<Bytes>,
    /// The SQLSTATE of the error, once one was received.
    error: Option<String>,
    parameters: Vec<Parameter>,
}

impl AnswerAssembler {
    /// Adds a message. Returns the reply once ReadyForQuery completes it.
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
                let code =
                    error_field(body, CODE_FIELD).ok_or(Malformed("ErrorResponse without an SQLSTATE"))?;
                self.error = Some(code.to_string());
            }
            (message_type::PARAMETER_STATUS, _) => self.push_parameter(body),
            (message_type::NOTICE_RESPONSE, _) => {}
            (message_type::READY_FOR_QUERY, _) if matches!(body, [b'I' | b'T' | b'E']) => {
                return self
                    .take_reply(true)
                    .map(Some)
                    .ok_or(Malformed("ReadyForQuery before a complete answer"))
            }
            _ => return Err(Malformed("unexpected or invalid message")),
        }
        Ok(None)
    }

    fn push_parameter(&mut self, body: &[u8]) {
        if self.parameters.len() >= MAX_PARAMETERS {
            return;
        }
        self.parameters.extend(parse_parameter(body));
    }

    /// Begins a row that is streamed instead of buffered. Returns its RowDescription, which is sent to the
    /// client first.
    pub fn begin_streamed_row(&mut self) -> Bytes {
        let description = self.row.first().cloned().unwrap_or_default();
        self.row.push(Bytes::new());
        description
    }

    /// Whether a DataRow is the next message expected.
    pub fn awaits_row(&self) -> bool {
        self.row.len() == 1 && self.error.is_none()
    }

    /// The parameters reported so far.
    pub fn parameters(&self) -> &[Parameter] {
        &self.parameters
    }

    /// Ends the answer when the connection is closed. A host may close the connection right after an error;
    /// the error is the reply then.
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

/// Whether `body` is that of a RowDescription with one column.
fn describes_one_column(body: &[u8]) -> bool {
    let name = body.strip_prefix(&[0, 1]).unwrap_or_default();
    name.iter().position(|byte| *byte == 0).is_some_and(|end| name.len() == end + 1 + COLUMN_BYTES)
}

/// Whether `body` is that of a DataRow with one column that is not null.
fn holds_one_value(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&[0, 1]) else { return false };
    let Some((length, value)) = column.split_first_chunk() else { return false };
    u32::from_be_bytes(*length) as usize == value.len()
}

/// Whether `body` is that of a CommandComplete for a statement that returns a row.
fn completes_row(body: &[u8]) -> bool {
    let tag = body.strip_suffix(&[0]).unwrap_or_default();
    let returns_row = tag.starts_with(b"SELECT ") || tag.starts_with(b"INSERT ");
    returns_row && tag.iter().all(|byte| byte.is_ascii_graphic() || *byte == b' ')
}
