//! A long row that is passed on from a database host to a client piece by piece. After its first byte there
//! is no retry: either the client gets the complete row, or its connection is closed in the middle, which the
//! client notices.

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

/// Most bytes that are read at once. This bounds the memory of a row whose client reads slowly.
const PIECE_BYTES: usize = 16 * 1024;
/// Time within which the host must send something and the client must read something (microseconds). Either
/// may be slow by seconds; one that has vanished must not hold the other's connection for good.
const PROGRESS_TIMEOUT: Time = 10_000_000;

/// A row that has begun, and the host connection that it comes on.
pub struct StreamedRow {
    pool: Rc<HostPool>,
    host: MemberId,
    connection: HostConnection,
    assembler: AnswerAssembler,
    /// Bytes of the row's message that have not been passed on.
    remaining_bytes: usize,
}

/// What the host sent after the row.
pub struct RowCompletion {
    /// The CommandComplete message, for the client.
    pub command_complete: Bytes,
    /// What the host reported with it.
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

    /// The host that it comes from.
    pub fn host(&self) -> MemberId {
        self.host
    }

    /// Passes the row on, up to its end. Not cancel safe: a piece that was read and not written is lost.
    ///
    /// # Errors
    ///
    /// Whose connection broke or stalled: the host's ([`End::BrokenSent`], [`End::HostStalled`]) or the
    /// client's ([`End::ClientLeft`], [`End::ClientStuck`]).
    pub async fn pass_on(&mut self, writer: &mut WriteHalf<'_>) -> Result<(), End> {
        let description = self.assembler.begin_streamed_row();
        self.write(writer, description).await?;
        while self.remaining_bytes > 0 {
            if self.connection.framer.is_empty() {
                self.read(PIECE_BYTES).await?;
            }
            let piece = self.connection.framer.take_raw(self.remaining_bytes);
            self.remaining_bytes -= piece.len();
            self.write(writer, piece).await?;
        }
        Ok(())
    }

    /// Reads what the host sends after the row, and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// How the host failed: [`End::HostMalformed`], [`End::BrokenSent`] or [`End::HostStalled`].
    pub async fn complete(mut self) -> Result<RowCompletion, End> {
        let reply = self.read_reply().await?;
        let Answer::Row(mut messages) = reply.answer else { return Err(End::HostMalformed) };
        let outcome = parse_outcome(End::Served, &reply.parameters, &self.pool.counters);
        let StreamedRow { pool, host, connection, .. } = self;
        if reply.is_ready && connection.framer.is_empty() {
            pool.put_back(host, connection);
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
