//! Puts the messages of a database host together to its answer to a query.

use crate::postgres::message::{error_field, parameter, Malformed, Message};
use crate::postgres::message_type;
use bytes::Bytes;

/// Most ParameterStatus messages kept of one answer.
const MAX_PARAMETERS: usize = 16;
/// Messages of a row: RowDescription, DataRow and CommandComplete.
const ROW_MESSAGES: usize = 3;
/// Bytes of a RowDescription's column behind its name: where it comes from and what it is.
const COLUMN_BYTES: usize = 18;
/// The field of an ErrorResponse that holds its SQLSTATE.
const CODE_FIELD: u8 = b'C';

/// What a database host answered to a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// One row: RowDescription, DataRow and CommandComplete as they were on the wire.
    Row(Vec<Bytes>),
    /// An error, by its SQLSTATE.
    Error(String),
}

/// A host's answer with what it reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The answer.
    pub answer: Answer,
    /// Names and values of the ParameterStatus messages that came with it.
    pub parameters: Vec<(String, String)>,
    /// The connection may carry another query.
    pub ready: bool,
}

/// Puts the messages of a host together to an answer, one row of one column or an error. What it holds is bounded by
/// three messages of a row and 16 parameters.
#[derive(Debug, Default)]
pub struct AnswerAssembler {
    /// The messages of a row that have come.
    row: Vec<Bytes>,
    /// The SQLSTATE of an error that has come.
    error: Option<String>,
    parameters: Vec<(String, String)>,
}

impl AnswerAssembler {
    /// Takes a message; the reply is complete at ReadyForQuery.
    ///
    /// # Errors
    ///
    /// Fails if the message is out of place or does not fit its type.
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
        if let Some((name, value)) = parameter(body) {
            self.parameters.push((name.to_string(), value.to_string()));
        }
    }

    /// A long row follows, which is not kept. Gives its RowDescription, for the client.
    pub fn begin_streamed_row(&mut self) -> Bytes {
        let description = self.row.first().cloned().unwrap_or_default();
        self.row.push(Bytes::new());
        description
    }

    /// Whether a row may come next.
    pub fn awaits_row(&self) -> bool {
        self.row.len() == 1 && self.error.is_none()
    }

    /// Names and values of the ParameterStatus messages so far.
    pub fn parameters(&self) -> &[(String, String)] {
        &self.parameters
    }

    /// The connection has ended. A host may close after an error without being ready for another query.
    pub fn finish(&mut self) -> Option<Reply> {
        self.error.as_ref()?;
        self.take_reply(false)
    }

    fn take_reply(&mut self, ready: bool) -> Option<Reply> {
        let answer = match self.error.take() {
            Some(code) => Answer::Error(code),
            None if self.row.len() == ROW_MESSAGES => Answer::Row(std::mem::take(&mut self.row)),
            None => return None,
        };
        Some(Reply { answer, parameters: std::mem::take(&mut self.parameters), ready })
    }
}

/// A RowDescription of one column: its name, and what describes it.
fn describes_one_column(body: &[u8]) -> bool {
    let name = body.strip_prefix(&[0, 1]).unwrap_or_default();
    name.iter().position(|byte| *byte == 0).is_some_and(|end| name.len() == end + 1 + COLUMN_BYTES)
}

/// A DataRow of one column that is not null.
fn holds_one_value(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&[0, 1]) else { return false };
    let Some((length, value)) = column.split_first_chunk() else { return false };
    u32::from_be_bytes(*length) as usize == value.len()
}

/// A CommandComplete: one text, the tag of a statement that gave a row.
fn completes_row(body: &[u8]) -> bool {
    let tag = body.strip_suffix(&[0]).unwrap_or_default();
    let gives_row = tag.starts_with(b"SELECT ") || tag.starts_with(b"INSERT ");
    gives_row && tag.iter().all(|byte| byte.is_ascii_graphic() || *byte == b' ')
}
