//! One connection to a database host.

use crate::os::socket::{self, SocketError, Unread};
use crate::postgres::message_type;
use crate::postgres::read_buffer::ReadBuffer;
use crate::postgres::{Framer, Message};
use crate::resources::budget::DescriptorSlot;
use crate::Time;
use petrelgauge_lifecycle::exchange::Event;
use petrelgauge_lifecycle::idle_connection::SocketState;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// The address, start time and status of a host. When they change, connections to the earlier endpoint are
/// closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// When it last started (Unix time, microseconds).
    pub started_at: Time,
    /// Whether it accepts new requests: it is listed as up and is not draining.
    pub is_up: bool,
}

/// An established connection. Its descriptor counts against the budget until the connection is dropped.
pub(super) struct HostConnection {
    pub(super) stream: TcpStream,
    pub(super) framer: Framer,
    pub(super) endpoint: Endpoint,
    /// Hash of the last answer, if no other answer than a duplicate of it can have the same hash.
    pub(super) last_answer_hash: Option<u64>,
    /// Whether the last answer is so recent that a duplicate of it may still arrive.
    pub(super) is_last_answer_recent: bool,
    _slot: DescriptorSlot,
}

impl HostConnection {
    /// Creates the connection on a newly connected stream.
    pub(super) fn new(stream: TcpStream, endpoint: Endpoint, slot: DescriptorSlot) -> HostConnection {
        HostConnection {
            stream,
            framer: Framer::default(),
            endpoint,
            last_answer_hash: None,
            is_last_answer_recent: false,
            _slot: slot,
        }
    }

    /// Takes the next message; none if it is incomplete.
    ///
    /// # Errors
    ///
    /// [`Event::LongRowBegan`] at the beginning of a row that is to be streamed, [`Event::Malformed`] for
    /// anything that is not a valid backend message.
    pub(super) fn next_message(&mut self) -> Result<Option<Message>, Event> {
        match self.framer.kind() {
            Some(kind) if !message_type::SENT_BY_HOSTS.contains(&kind) => Err(Event::Malformed),
            Some(message_type::DATA_ROW) if self.framer.long_row().is_some() => Err(Event::LongRowBegan),
            _ => self.framer.message().map_err(|_| Event::Malformed),
        }
    }

    /// Reads once, at most `max_bytes`, into the framer. Buffered data is bounded, since no message is longer
    /// than [`MAX_MESSAGE_BYTES`](crate::postgres::MAX_MESSAGE_BYTES). Cancel safe.
    ///
    /// # Errors
    ///
    /// [`Event::ConnectionLost`] if the connection ended or broke.
    pub(super) async fn read(&mut self, buffer: &ReadBuffer, max_bytes: usize) -> Result<(), Event> {
        loop {
            self.stream.readable().await.map_err(|_| Event::ConnectionLost)?;
            let stream = &self.stream;
            let read_once = |bytes: &mut [u8]| {
                let length = max_bytes.min(bytes.len());
                stream.try_read(&mut bytes[..length])
            };
            match buffer.read(read_once, Some(&mut self.framer)) {
                Ok(Some(1..)) => return Ok(()),
                Ok(None) => {}
                Err(SocketError::ResourceShortage(_)) => socket::pause_after_shortage().await,
                Ok(Some(0)) | Err(_) => return Err(Event::ConnectionLost),
            }
        }
    }

    /// The state of the socket according to the kernel; consumes no bytes.
    pub(super) fn socket_state(&self) -> SocketState {
        match socket::unread_on(&self.stream) {
            Unread::Nothing => SocketState::Quiet,
            Unread::End => SocketState::Closed,
            Unread::Bytes => SocketState::UnexpectedBytes,
        }
    }
}
