//! One connection to a database host: its messages, and what the kernel says of it.

use crate::net::budget::DescriptorSlot;
use crate::net::pg::{self, Framer, Message};
use crate::net::read_buffer::ReadBuffer;
use crate::net::socket::{self, SocketError, Unread};
use crate::Time;
use petrelgauge_lifecycle::exchange::Event;
use petrelgauge_lifecycle::idle_connection::{IdleConnection, SocketState};
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Where a host listens and since when it runs. A connection to another address or an earlier run is of no
/// more use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its address.
    pub address: SocketAddr,
    /// When it last started.
    pub started: Time,
    /// It takes new work.
    pub up: bool,
}

/// A connection that is up.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) framer: Framer,
    pub(super) endpoint: Endpoint,
    /// The last answer, hashed, if no other can be alike to it but a copy.
    pub(super) last: Option<u64>,
    /// The last answer is so recent that a copy of it may come.
    pub(super) recent: bool,
    pub(super) _slot: DescriptorSlot,
}

impl Connection {
    /// The next message, if it is there whole.
    pub(super) fn next(&mut self) -> Result<Option<Message>, Event> {
        match self.framer.kind() {
            Some(kind) if !pg::HOST_MESSAGE_TYPES.contains(&kind) => Err(Event::Malformed),
            Some(b'D') if self.framer.long_row().is_some() => Err(Event::Flows),
            _ => self.framer.message().map_err(|_| Event::Malformed),
        }
    }

    pub(super) fn resting(&self, since: Time) -> IdleConnection {
        IdleConnection { since, detects_copies: self.last.is_some() }
    }

    /// Reads once, so many bytes at most. The framer bounds what is kept: no message is longer than `pg::MAX_MESSAGE_BYTES`.
    pub(super) async fn read(&mut self, room: &ReadBuffer, most: usize) -> Result<(), Event> {
        loop {
            self.stream.readable().await.map_err(|_| Event::Broke)?;
            let stream = &self.stream;
            match room.read(|bytes| stream.try_read(&mut bytes[..most]), Some(&mut self.framer)) {
                Ok(Some(1..)) => return Ok(()),
                Ok(None) => {}
                Err(SocketError::OwnShortage(_)) => socket::pause_after_shortage().await,
                Ok(Some(0)) | Err(_) => return Err(Event::Broke),
            }
        }
    }

    /// What the kernel says of it while it rests.
    pub(super) fn socket_state(&self) -> SocketState {
        match socket::unread_on(&self.stream) {
            Unread::Nothing => SocketState::Quiet,
            Unread::End => SocketState::Closed,
            Unread::Bytes => SocketState::UnexpectedBytes,
        }
    }
}
