//! One connection to a database host: the messages that come on it, and what the kernel reports of it.

use crate::os::socket::{self, SocketError, Unread};
use crate::postgres::message_type;
use crate::postgres::read_buffer::ReadBuffer;
use crate::postgres::{Framer, Message};
use crate::resources::budget::DescriptorSlot;
use crate::Time;
use petrelgauge_lifecycle::exchange::Event;
use petrelgauge_lifecycle::idle_connection::{IdleConnection, SocketState};
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Where a host listens and since when it runs. A connection to another address, or to the host before its last start,
/// is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it last started (Unix time, microseconds).
    pub started: Time,
    /// It takes new requests: it is listed as up and is not draining.
    pub up: bool,
}

/// A connection that is up. Its descriptor is counted for as long as it lives.
pub(super) struct HostConnection {
    pub(super) stream: TcpStream,
    pub(super) framer: Framer,
    pub(super) endpoint: Endpoint,
    /// Hash of the last answer, if only a copy of it can be equal to it.
    pub(super) last_answer_hash: Option<u64>,
    /// The last answer is so recent that a copy of it may still come.
    pub(super) last_answer_is_recent: bool,
    _slot: DescriptorSlot,
}

impl HostConnection {
    /// On a stream that has just been connected.
    pub(super) fn new(stream: TcpStream, endpoint: Endpoint, slot: DescriptorSlot) -> HostConnection {
        HostConnection {
            stream,
            framer: Framer::default(),
            endpoint,
            last_answer_hash: None,
            last_answer_is_recent: false,
            _slot: slot,
        }
    }

    /// Takes the next message, if it was read completely.
    ///
    /// # Errors
    ///
    /// [`Event::LongRowBegan`] if it is the beginning of a row to be streamed, [`Event::Malformed`] if it is no message of a
    /// host.
    pub(super) fn next(&mut self) -> Result<Option<Message>, Event> {
        match self.framer.kind() {
            Some(kind) if !message_type::SENT_BY_HOSTS.contains(&kind) => Err(Event::Malformed),
            Some(message_type::DATA_ROW) if self.framer.long_row().is_some() => Err(Event::LongRowBegan),
            _ => self.framer.message().map_err(|_| Event::Malformed),
        }
    }

    /// What the policy for idle connections has to know of it.
    pub(super) fn idle(&self, since: Time) -> IdleConnection {
        IdleConnection { since, detects_copies: self.last_answer_hash.is_some() }
    }

    /// Reads once, `max_bytes` at most, into the framer. The framer bounds what is kept: no message is longer than
    /// [`MAX_MESSAGE_BYTES`](crate::postgres::MAX_MESSAGE_BYTES). Cancel safe: nothing is read by a call that did not return.
    ///
    /// # Errors
    ///
    /// [`Event::ConnectionLost`] if the connection ended or broke.
    pub(super) async fn read(&mut self, buffer: &ReadBuffer, max_bytes: usize) -> Result<(), Event> {
        loop {
            self.stream.readable().await.map_err(|_| Event::ConnectionLost)?;
            let stream = &self.stream;
            let once = |bytes: &mut [u8]| {
                let length = max_bytes.min(bytes.len());
                stream.try_read(&mut bytes[..length])
            };
            match buffer.read(once, Some(&mut self.framer)) {
                Ok(Some(1..)) => return Ok(()),
                Ok(None) => {}
                Err(SocketError::OwnShortage(_)) => socket::pause_after_shortage().await,
                Ok(Some(0)) | Err(_) => return Err(Event::ConnectionLost),
            }
        }
    }

    /// What the kernel reports of it while it is idle.
    pub(super) fn socket_state(&self) -> SocketState {
        match socket::unread_on(&self.stream) {
            Unread::Nothing => SocketState::Quiet,
            Unread::End => SocketState::Closed,
            Unread::Bytes => SocketState::UnexpectedBytes,
        }
    }
}
