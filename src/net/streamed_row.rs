//! A long row on its way from a database host to a client, piece by piece. Once its first byte has gone out nothing is
//! tried again: either the client gets all of it, or its connection ends in the middle, which it can tell.

use crate::facade::Outcome;
use crate::net::ending::End;
use crate::net::host_connection::Connection;
use crate::net::host_report::outcome;
use crate::net::hosts::Hosts;
use crate::net::pg::{Answer, AnswerAssembler};
use crate::net::read_buffer;
use crate::net::socket;
use crate::{MemberId, Time};
use bytes::{Buf, Bytes};
use std::rc::Rc;
use tokio::net::tcp::WriteHalf;

/// Bytes that are read at once: what a row holds here while its client does not take it.
const PIECE: usize = 16 * 1024;
/// Span in which the host must go on, and the client take something (microseconds). Either may be slow by seconds; one
/// that vanished must not keep the other's connection for good.
const SILENCE: Time = 10_000_000;

/// A row that has begun, and the connection that it comes on.
pub struct StreamedRow {
    hosts: Rc<Hosts>,
    host: MemberId,
    connection: Connection,
    assembler: AnswerAssembler,
    /// Bytes of the row's message that have not been passed on.
    left: usize,
}

impl StreamedRow {
    pub(super) fn new(
        hosts: Rc<Hosts>,
        host: MemberId,
        connection: Connection,
        assembler: AnswerAssembler,
    ) -> StreamedRow {
        let left = connection.framer.long_row().unwrap_or_default();
        StreamedRow { hosts, host, connection, assembler, left }
    }

    /// What the host has said of itself so far.
    pub(super) fn parameters(&self) -> &[(String, String)] {
        self.assembler.parameters()
    }

    /// The host that it comes from.
    pub fn host(&self) -> MemberId {
        self.host
    }

    /// Passes the row on, up to its end.
    pub async fn pass(&mut self, writer: &mut WriteHalf<'_>) -> Result<(), End> {
        let description = self.assembler.begin_streamed_row();
        self.write(writer, description).await?;
        while self.left > 0 {
            if self.connection.framer.is_empty() {
                self.read(PIECE).await?;
            }
            let piece = self.connection.framer.take_raw(self.left);
            self.left -= piece.len();
            self.write(writer, piece).await?;
        }
        Ok(())
    }

    /// What the host says behind the row: the message that completes it, for the client, and its word on itself. Its
    /// connection then rests.
    pub async fn end(mut self) -> Result<(Bytes, Outcome), End> {
        let reply = loop {
            let message = match self.connection.next() {
                Ok(Some(message)) => message,
                Ok(None) => {
                    self.read(read_buffer::SIZE).await?;
                    continue;
                }
                Err(_) => return Err(End::HostMalformed),
            };
            match self.assembler.push(message) {
                Ok(Some(reply)) => break reply,
                Ok(None) => {}
                Err(_) => return Err(End::HostMalformed),
            }
        };
        let Answer::Row(mut row) = reply.answer else { return Err(End::HostMalformed) };
        let said = outcome(End::Served, &reply.parameters, &self.hosts.counters);
        let StreamedRow { hosts, host, connection, .. } = self;
        match (reply.ready, connection.framer.is_empty()) {
            (true, true) => hosts.put_back(host, connection),
            _ => hosts.counters.ended(End::HostSurplus),
        }
        Ok((row.pop().unwrap_or_default(), said))
    }

    async fn read(&mut self, most: usize) -> Result<(), End> {
        let clock = self.hosts.clock;
        let by = clock.now() + SILENCE;
        tokio::select! {
            biased;
            read = self.connection.read(&self.hosts.read_buffer, most) => read.map_err(|_| End::BrokenSent),
            () = clock.sleep_until(by) => Err(End::HostStalled),
        }
    }

    async fn write(&self, writer: &mut WriteHalf<'_>, mut bytes: Bytes) -> Result<(), End> {
        let clock = self.hosts.clock;
        while bytes.has_remaining() {
            let by = clock.now() + SILENCE;
            tokio::select! {
                biased;
                written = socket::write(writer.as_ref(), &mut bytes) => written.map_err(|_| End::ClientLeft)?,
                () = clock.sleep_until(by) => return Err(End::ClientStuck),
            }
        }
        Ok(())
    }
}
