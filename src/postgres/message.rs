//! One message of the protocol, and what its body says.

use bytes::Bytes;
use thiserror::Error;

/// Bytes of a message before its body: its type and its length.
pub(super) const HEADER_BYTES: usize = 5;

/// The bytes of a peer make no sense; says why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct Malformed(pub &'static str);

/// One message: its type and all its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// As it was on the wire, with its type and length.
    pub raw: Bytes,
}

impl Message {
    /// Its type, one of [`message_type`](crate::postgres::message_type) or an unknown one.
    pub fn kind(&self) -> u8 {
        self.raw[0]
    }

    /// What follows type and length.
    pub fn body(&self) -> &[u8] {
        &self.raw[HEADER_BYTES..]
    }

    /// The one text that is its body, without the byte that ends it.
    ///
    /// # Errors
    ///
    /// Fails if the body is anything else.
    pub fn text(&self) -> Result<Bytes, Malformed> {
        match self.body().split_last() {
            Some((0, text)) if !text.contains(&0) => Ok(self.raw.slice(HEADER_BYTES..self.raw.len() - 1)),
            _ => Err(Malformed("invalid string in message")),
        }
    }
}

/// The text of a field of an ErrorResponse's body.
pub fn error_field(body: &[u8], wanted: u8) -> Option<&str> {
    let mut fields = body.split(|byte| *byte == 0);
    fields
        .find(|field| field.first() == Some(&wanted))
        .and_then(|field| std::str::from_utf8(&field[1..]).ok())
}

/// Name and value of a ParameterStatus' body.
pub fn parameter(body: &[u8]) -> Option<(&str, &str)> {
    let text = std::str::from_utf8(body.strip_suffix(&[0])?).ok()?;
    text.split_once('\0').filter(|(_, value)| !value.contains('\0'))
}
