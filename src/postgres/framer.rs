//! Splits a byte stream into protocol messages.

use crate::postgres::cancel::CancelKey;
use crate::postgres::message::{Malformed, Message};
use crate::postgres::message_type;
use crate::postgres::receive_buffer::ReceiveBuffer;
use bytes::{Buf, Bytes};

/// Longest message that is accepted, without its type (bytes). Values have at most 64 KiB, which take twice
/// that as hexadecimal digits.
pub const MAX_MESSAGE_BYTES: usize = 160 * 1024;
/// Longest DataRow that is buffered (bytes): a value of 64 KiB and its header. Longer ones are streamed.
pub const MAX_BUFFERED_ROW_BYTES: usize = 64 * 1024 + ROW_HEADER_BYTES;
/// Longest DataRow (bytes): a value of 4 MiB and its header.
pub const MAX_ROW_BYTES: usize = 4 * 1024 * 1024 + ROW_HEADER_BYTES;
/// Bytes of a DataRow with one column before its value: its length, the column count and the value's length.
const ROW_HEADER_BYTES: usize = 4 + 2 + 4;
/// Shortest opening message (bytes): its length and its version.
const MIN_STARTUP_BYTES: usize = 8;
/// Longest opening message (bytes), as in PostgreSQL.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Bytes of a length field, which includes itself.
const LENGTH_BYTES: usize = 4;
/// Bytes of a message type.
const TYPE_BYTES: usize = 1;

/// Major version in an opening message that is not a startup message.
const REQUEST_CODE: u16 = 1234;
/// Minor version of a cancel request, with [`REQUEST_CODE`].
const CANCEL_REQUEST: u16 = 5678;
/// Minor version of an SSL request, with [`REQUEST_CODE`].
const SSL_REQUEST: u16 = 5679;
/// Minor version of a GSS encryption request, with [`REQUEST_CODE`].
const GSS_REQUEST: u16 = 5680;
/// Bytes of the key in a cancel request.
const CANCEL_KEY_BYTES: usize = 8;
/// Major version of the supported protocol.
const PROTOCOL_MAJOR: u16 = 3;

/// The first message of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Opening {
    /// An SSL or GSS encryption request.
    Encryption,
    /// A cancel request, with the key of the client whose query is to be cancelled.
    Cancel(CancelKey),
    /// The startup message.
    Startup {
        /// Minor protocol version that the client requests.
        minor: u16,
    },
}

/// Splits a byte stream into messages. It buffers all bytes that were fed and not yet taken. The buffer
/// has no limit of its own: the caller limits how much it feeds.
#[derive(Debug, Default)]
pub struct Framer {
    buffer: ReceiveBuffer,
}

impl Framer {
    /// Appends bytes that were read from the connection.
    pub fn feed(&mut self, bytes: &[u8]) {
        let expected = self.length_at(TYPE_BYTES).filter(|length| *length <= MAX_MESSAGE_BYTES);
        self.buffer.append(bytes, expected.map(|length| TYPE_BYTES + length));
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.as_slice().len()
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Size of the memory that holds the buffered bytes: at least as many, and at most twice as many and one
    /// kibibyte.
    pub fn held_bytes(&self) -> usize {
        self.buffer.held_bytes()
    }

    /// Drops all buffered bytes.
    pub fn clear(&mut self) {
        self.buffer = ReceiveBuffer::default();
    }

    /// Type of the next message, if its first byte has been fed.
    pub fn kind(&self) -> Option<u8> {
        self.buffer.as_slice().first().copied()
    }

    /// Whether the opening message is complete.
    pub fn has_opening(&self) -> bool {
        self.length_at(0).is_some_and(|length| self.len() >= length)
    }

    /// Takes the opening message, if it is complete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid opening message.
    pub fn opening(&mut self) -> Result<Option<Opening>, Malformed> {
        let Some(length) = self.length_at(0) else { return Ok(None) };
        if !(MIN_STARTUP_BYTES..=MAX_STARTUP_BYTES).contains(&length) {
            return Err(Malformed("invalid length of startup packet"));
        }
        if self.len() < length {
            return Ok(None);
        }
        let mut packet = self.buffer.take(length);
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
    /// Fails if the length is out of range, as soon as it has been fed.
    pub fn message(&mut self) -> Result<Option<Message>, Malformed> {
        let Some(length) = self.length_at(TYPE_BYTES) else { return Ok(None) };
        if !(LENGTH_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
            return Err(Malformed("invalid message length"));
        }
        if self.len() < TYPE_BYTES + length {
            return Ok(None);
        }
        Ok(Some(Message { raw: self.buffer.take(TYPE_BYTES + length) }))
    }

    /// Size of the next message (bytes), if it is a DataRow with one column that is too long to be buffered.
    pub fn long_row(&self) -> Option<usize> {
        let lengths = MAX_BUFFERED_ROW_BYTES + 1..=MAX_ROW_BYTES;
        let length = self.length_at(TYPE_BYTES).filter(|length| lengths.contains(length))?;
        let columns_at = TYPE_BYTES + LENGTH_BYTES;
        let has_one_column = self.buffer.as_slice().get(columns_at..columns_at + 2) == Some(&[0, 1]);
        let fits = self.length_at(columns_at + 2).is_some_and(|value| value + ROW_HEADER_BYTES == length);
        let is_row = self.kind() == Some(message_type::DATA_ROW);
        (is_row && has_one_column && fits).then_some(TYPE_BYTES + length)
    }

    /// Takes up to `max_bytes` bytes without splitting them into messages.
    pub fn take_raw(&mut self, max_bytes: usize) -> Bytes {
        self.buffer.take(max_bytes.min(self.len()))
    }

    fn length_at(&self, offset: usize) -> Option<usize> {
        let bytes = self.buffer.as_slice().get(offset..offset + LENGTH_BYTES)?;
        Some(u32::from_be_bytes(bytes.try_into().ok()?) as usize)
    }
}
