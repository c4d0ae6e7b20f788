//! Streams a long row from a database host to a client in chunks. Once its first byte is sent the request
//! cannot be retried: either the client gets the complete row, or its connection is closed in the middle of
//! the row, which the client detects.

use crate::facade::Outcome;
use crate::host::connection::HostConnection;
use crate::host::load_report::parse_outcome;
use crate::host::pool::HostPool;
use crate::os::socket;
use crate::postgres::read_buffer;
use crate::postgres::{Answer, AnswerAssembler, Parameter, Reply};
use crate::{MemberId, Time};
use bytes::{Buf, Bytes};
use petrelgauge_lifecycle::ending::End;
use std::rc::Rc;
use tokio::net::tcp::WriteHalf;

/// Maximum number of bytes per read. Bounds the memory used by a row whose client reads slowly.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Time within which the host must send at least one byte and the client must read at least one
/// (microseconds). Tolerates delays of some seconds on either side, but keeps a side that has disappeared
/// from holding the other's connection forever.
const PROGRESS_TIMEOUT: Time = 10_000_000;

/// A row of which the beginning was received, and the host connection that carries it.
pub struct StreamedRow {
    pool: Rc<HostPool>,
    host: MemberId,
    connection: HostConnection,
    assembler: AnswerAssembler,
    /// Bytes of the row's message that have not been forwarded.
    remaining_bytes: usize,
}

/// The end of the host's answer, after the row.
pub struct RowCompletion {
    /// The CommandComplete message, for the client.
    pub command_complete: Bytes,
    /// The outcome of the attempt, with what the host reported after the row.
    pub outcome: Outcome,
}

impl StreamedRow {
    pub(super) fn new(
        pool: Rc<HostPool>,
        host: MemberId,
        connection: HostConnection,
        assembler: AnswerAssembler,
    ) -> StreamedRow {
        let remaining_bytes = connection.framer.long_row().unwrap_or_default();
        StreamedRow { pool, host, connection, assembler, remaining_bytes }
    }

    /// The parameters that the host reported before the row.
    pub(super) fn parameters(&self) -> &[Parameter] {
        self.assembler.parameters()
    }

    /// The host that sends the row.
    pub fn host(&self) -> MemberId {
        self.host
    }

    /// Forwards the row up to its end. Not cancel safe: a chunk that was read but not written is lost.
    ///
    /// # Errors
    ///
    /// Fails if a connection broke or stalled: the host's ([`End::BrokenSent`], [`End::HostStalled`]) or the
    /// client's ([`End::ClientLeft`], [`End::ClientStuck`]).
    pub async fn forward(&mut self, writer: &mut WriteHalf<'_>) -> Result<(), End> {
        let description = self.assembler.begin_streamed_row();
        self.write(writer, description).await?;
        while self.remaining_bytes > 0 {
            if self.connection.framer.is_empty() {
                self.read(MAX_CHUNK_BYTES).await?;
            }
            let chunk = self.connection.framer.take_raw(self.remaining_bytes);
            self.remaining_bytes -= chunk.len();
            self.write(writer, chunk).await?;
        }
        Ok(())
    }

    /// Reads what the host sends after the row, and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Fails with [`End::HostMalformed`], [`End::BrokenSent`] or [`End::HostStalled`].
    pub async fn complete(mut self) -> Result<RowCompletion, End> {
        let reply = self.read_reply().await?;
        let Answer::Row(mut messages) = reply.answer else { return Err(End::HostMalformed) };
        let outcome = parse_outcome(End::Served, &reply.parameters, &self.pool.counters);
        let StreamedRow { pool, host, connection, .. } = self;
        if reply.is_ready && connection.framer.is_empty() {
            pool.return_connection(host, connection);
        } else {
            pool.counters.ended(End::HostSurplus);
        }
        Ok(RowCompletion { command_complete: messages.pop().unwrap_or_default(), outcome })
    }

    async fn read_reply(&mut self) -> Result<Reply, End> {
        loop {
            let message = match self.connection.next_message() {
                Ok(Some(message)) => message,
                Ok(None) => {
                    self.read(read_buffer::SIZE).await?;
                    continue;
                }
                Err(_) => return Err(End::HostMalformed),
            };
            match self.assembler.push(message) {
                Ok(Some(reply)) => return Ok(reply),
                Ok(None) => {}
                Err(_) => return Err(End::HostMalformed),
            }
        }
    }

    async fn read(&mut self, max_bytes: usize) -> Result<(), End> {
        let clock = self.pool.clock;
        let deadline = clock.now() + PROGRESS_TIMEOUT;
        tokio::select! {
            biased;
            read = self.connection.read(&self.pool.read_buffer, max_bytes) => read.map_err(|_| End::BrokenSent),
            () = clock.sleep_until(deadline) => Err(End::HostStalled),
        }
    }

    async fn write(&self, writer: &mut WriteHalf<'_>, mut bytes: Bytes) -> Result<(), End> {
        let clock = self.pool.clock;
        while bytes.has_remaining() {
            let deadline = clock.now() + PROGRESS_TIMEOUT;
            tokio::select! {
                biased;
                written = socket::write(writer.as_ref(), &mut bytes) => written.map_err(|_| End::ClientLeft)?,
                () = clock.sleep_until(deadline) => return Err(End::ClientStuck),
            }
        }
        Ok(())
    }
}
