//! Cuts the bytes of a connection into messages.

use crate::postgres::cancel::CancelKey;
use crate::postgres::message::{Malformed, Message};
use crate::postgres::message_type;
use bytes::{Buf, Bytes, BytesMut};

/// Longest message taken from either side, without its type (bytes). A value has 64 KiB at most and twice that as
/// hexadecimal digits.
pub const MAX_MESSAGE_BYTES: usize = 160 * 1024;
/// Length of a row's message beyond which it is passed on as it comes (bytes): a value of 64 KiB and what stands before
/// it.
pub const MAX_BUFFERED_ROW_BYTES: usize = 64 * 1024 + ROW_HEADER_BYTES;
/// The longest row (bytes): a value of 4 MiB and what stands before it.
pub const MAX_ROW_BYTES: usize = 4 * 1024 * 1024 + ROW_HEADER_BYTES;
/// Of a row of one value: length, count of columns and length of the value, before the value itself (bytes).
const ROW_HEADER_BYTES: usize = 4 + 2 + 4;
/// Shortest opening message (bytes): its length and its code.
const MIN_STARTUP_BYTES: usize = 8;
/// Longest opening message (bytes), as PostgreSQL has it.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Bytes of a length field, which counts itself.
const LENGTH_BYTES: usize = 4;
/// Bytes of a message's type.
const TYPE_BYTES: usize = 1;

/// Major "version" of an opening message that is no startup message.
const REQUEST_CODE: u16 = 1234;
/// With [`REQUEST_CODE`]: a cancel request.
const CANCEL_REQUEST: u16 = 5678;
/// With [`REQUEST_CODE`]: a wish for SSL.
const SSL_REQUEST: u16 = 5679;
/// With [`REQUEST_CODE`]: a wish for GSS encryption.
const GSS_REQUEST: u16 = 5680;
/// Bytes of a cancel request's key.
const CANCEL_KEY_BYTES: usize = 8;
/// The protocol's major version.
const PROTOCOL_MAJOR: u16 = 3;

/// What a client may open with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Opening {
    /// A wish for encryption, SSL's or GSS's.
    Encryption,
    /// A cancel request, with the key that it brings.
    Cancel(CancelKey),
    /// The startup message, with the protocol's minor version.
    Startup {
        /// Minor version asked for.
        minor: u16,
    },
}

/// Cuts the bytes of a connection into messages. It holds what was fed and not taken: whoever feeds it sets the bound.
#[derive(Debug, Default)]
pub struct Framer {
    buffer: BytesMut,
}

impl Framer {
    /// Takes bytes as they come.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes of messages that are incomplete or have not been taken.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Nothing is left over.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Forgets what is there.
    pub fn clear(&mut self) {
        self.buffer = BytesMut::new();
    }

    /// The type of the next message, as soon as its first byte is there.
    pub fn kind(&self) -> Option<u8> {
        self.buffer.first().copied()
    }

    /// The opening message is complete.
    pub fn has_opening(&self) -> bool {
        self.length_at(0).is_some_and(|length| self.buffer.len() >= length)
    }

    /// Takes the opening message, if it is complete.
    ///
    /// # Errors
    ///
    /// Fails if there is no opening message with these bytes.
    pub fn opening(&mut self) -> Result<Option<Opening>, Malformed> {
        let Some(length) = self.length_at(0) else { return Ok(None) };
        if !(MIN_STARTUP_BYTES..=MAX_STARTUP_BYTES).contains(&length) {
            return Err(Malformed("invalid length of startup packet"));
        }
        if self.buffer.len() < length {
            return Ok(None);
        }
        let mut packet = self.buffer.split_to(length);
        packet.advance(LENGTH_BYTES);
        match (packet.get_u16(), packet.get_u16()) {
            (REQUEST_CODE, SSL_REQUEST | GSS_REQUEST) => Ok(Some(Opening::Encryption)),
            (REQUEST_CODE, CANCEL_REQUEST) if packet.len() == CANCEL_KEY_BYTES => {
                let (process, secret) = (packet.get_u32(), packet.get_u32());
                Ok(Some(Opening::Cancel(CancelKey { process, secret })))
            }
            (REQUEST_CODE, CANCEL_REQUEST) => Err(Malformed("invalid length of cancel request")),
            (PROTOCOL_MAJOR, _) if packet.last() != Some(&0) => {
                Err(Malformed("invalid startup packet layout"))
            }
            (PROTOCOL_MAJOR, minor) => Ok(Some(Opening::Startup { minor })),
            _ => Err(Malformed("unsupported frontend protocol")),
        }
    }

    /// Takes the next message, if it is complete.
    ///
    /// # Errors
    ///
    /// Fails as soon as its length is there, if that is none that a message has.
    pub fn message(&mut self) -> Result<Option<Message>, Malformed> {
        let Some(length) = self.length_at(TYPE_BYTES) else { return Ok(None) };
        if !(LENGTH_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
            return Err(Malformed("invalid message length"));
        }
        if self.buffer.len() < TYPE_BYTES + length {
            return Ok(None);
        }
        let raw = self.buffer.split_to(TYPE_BYTES + length).freeze();
        self.free_empty_buffer();
        Ok(Some(Message { raw }))
    }

    /// The next message begins a long row of one value: the bytes of all of it.
    pub fn long_row(&self) -> Option<usize> {
        let lengths = MAX_BUFFERED_ROW_BYTES + 1..=MAX_ROW_BYTES;
        let length = self.length_at(TYPE_BYTES).filter(|length| lengths.contains(length))?;
        let columns_at = TYPE_BYTES + LENGTH_BYTES;
        let has_one_column = self.buffer.get(columns_at..columns_at + 2) == Some(&[0, 1]);
        let fits = self.length_at(columns_at + 2).is_some_and(|value| value + ROW_HEADER_BYTES == length);
        let is_row = self.kind() == Some(message_type::DATA_ROW);
        (is_row && has_one_column && fits).then_some(TYPE_BYTES + length)
    }

    /// Takes what is there, `max_bytes` at most, whatever it means.
    pub fn take_raw(&mut self, max_bytes: usize) -> Bytes {
        let taken = self.buffer.split_to(max_bytes.min(self.buffer.len())).freeze();
        self.free_empty_buffer();
        taken
    }

    /// Its memory would stay with an idle connection, as large as the largest message was.
    fn free_empty_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    fn length_at(&self, place: usize) -> Option<usize> {
        let bytes = self.buffer.get(place..place + LENGTH_BYTES)?;
        Some(u32::from_be_bytes(bytes.try_into().ok()?) as usize)
    }
}
