//! A protocol message, and parsers for message bodies.

use bytes::Bytes;
use thiserror::Error;

/// Bytes of a message before its body: its type and its length.
pub(super) const HEADER_BYTES: usize = 5;

/// A client or host violated the protocol; the text says how.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct Malformed(pub &'static str);

/// One message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The whole message as received, including its type and length.
    pub raw: Bytes,
}

impl Message {
    /// The type byte: one of [`message_type`](crate::postgres::message_type) or an unknown one.
    pub fn kind(&self) -> u8 {
        self.raw[0]
    }

    /// The bytes after type and length.
    pub fn body(&self) -> &[u8] {
        &self.raw[HEADER_BYTES..]
    }

    /// The body of a message that consists of one string, without the terminating zero byte.
    ///
    /// # Errors
    ///
    /// Fails if the body is not one string.
    pub fn text(&self) -> Result<Bytes, Malformed> {
        match self.body().split_last() {
            Some((0, text)) if !text.contains(&0) => Ok(self.raw.slice(HEADER_BYTES..self.raw.len() - 1)),
            _ => Err(Malformed("invalid string in message")),
        }
    }
}

/// The field of type `wanted` in the body of an ErrorResponse.
pub fn error_field(body: &[u8], wanted: u8) -> Option<&str> {
    let mut fields = body.split(|byte| *byte == 0);
    fields
        .find(|field| field.first() == Some(&wanted))
        .and_then(|field| std::str::from_utf8(&field[1..]).ok())
}

/// A run-time parameter, as reported by a ParameterStatus message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parameter {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// Parses the body of a ParameterStatus message. Returns `None` if it is invalid.
pub fn parse_parameter(body: &[u8]) -> Option<Parameter> {
    let text = std::str::from_utf8(body.strip_suffix(&[0])?).ok()?;
    let (name, value) = text.split_once('\0').filter(|(_, value)| !value.contains('\0'))?;
    Some(Parameter { name: name.to_string(), value: value.to_string() })
}
