//! One connection to a database host: its messages, and what the kernel says of it.

use crate::net::budget::Slot;
use crate::net::hosts::Site;
use crate::net::pg::{self, Framer, Message};
use crate::net::read_buffer::ReadBuffer;
use crate::Time;
use bytes::Buf;
use petrelgauge_lifecycle::exchange::Event;
use petrelgauge_lifecycle::rest::{Look, Resting};
use socket2::SockRef;
use std::io::{self, IoSlice};
use tokio::net::TcpStream;

/// Parts that are handed to the kernel at once (count): a query has five.
const MOST_SLICES: usize = 8;

/// A connection that is up.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) framer: Framer,
    pub(super) site: Site,
    /// The last answer, hashed, if no other can be alike to it but a copy.
    pub(super) last: Option<u64>,
    /// The last answer is so recent that a copy of it may come.
    pub(super) recent: bool,
    pub(super) _slot: Slot,
}

impl Connection {
    /// The next message, if it is there whole.
    pub(super) fn next(&mut self) -> Result<Option<Message>, Event> {
        match self.framer.kind() {
            Some(kind) if !pg::FROM_HOST.contains(&kind) => Err(Event::Malformed),
            Some(b'D') if self.framer.long_row().is_some() => Err(Event::Flows),
            _ => self.framer.message().map_err(|_| Event::Malformed),
        }
    }

    pub(super) fn resting(&self, since: Time) -> Resting {
        Resting { since, tells_copies: self.last.is_some() }
    }

    /// Writes as much as the kernel takes at once, without waiting.
    pub(super) fn write_some(&self, bytes: &mut impl Buf) -> io::Result<()> {
        let mut slices = [IoSlice::new(&[]); MOST_SLICES];
        let count = bytes.chunks_vectored(&mut slices);
        let written = self.stream.try_write_vectored(&slices[..count])?;
        bytes.advance(written);
        Ok(())
    }

    /// Reads once, so many bytes at most. The framer bounds what is kept: no message is longer than `pg::MOST`.
    pub(super) async fn read(&mut self, room: &ReadBuffer, most: usize) -> Result<(), Event> {
        loop {
            self.stream.readable().await.map_err(|_| Event::Broke)?;
            let stream = &self.stream;
            match room.read(|bytes| stream.try_read(&mut bytes[..most]), Some(&mut self.framer)) {
                Ok(Some(0)) | Err(_) => return Err(Event::Broke),
                Ok(Some(_)) => return Ok(()),
                Ok(None) => {}
            }
        }
    }

    /// What the kernel says of it while it rests. The kernel is asked itself: the reactor has not yet heard of what
    /// came a moment ago.
    pub(super) fn look(&self) -> Look {
        match SockRef::from(&self.stream).peek(&mut [std::mem::MaybeUninit::uninit()]) {
            Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => Look::Quiet,
            Ok(0) | Err(_) => Look::Closed,
            Ok(_) => Look::Spoke,
        }
    }
}
