//! Listener for operators' commands: each connection sends one command line and receives one reply line.
//! Commands and replies are defined in `petrelgauge_lifecycle::ops`; the gateway's event loop executes them.

use crate::host::pool::HostPool;
use crate::os::clock::Clock;
use crate::os::socket::{self, ByteStream, SocketError};
use crate::resources::counters::Counters;
use crate::Time;
use petrelgauge_lifecycle::ops::{
    self, Command, CommandError, Reply, LINE_TIMEOUT, MAX_CALLERS, MAX_LINE_BYTES,
};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

/// Time limit for the caller to read the reply and close the connection (microseconds).
const REPLY_TIMEOUT: Time = 500_000;
/// Pause after a failed accept (microseconds).
const ACCEPT_RETRY_PAUSE: Time = 10_000;

/// A command for the event loop, with the channel for its reply.
pub struct CommandRequest {
    /// The command.
    pub command: Command,
    /// Channel for the reply. If it is dropped unused, the caller is told that the gateway is stopping.
    pub reply: oneshot::Sender<Reply>,
}

/// Accepts operators' commands and forwards them to the gateway's event loop.
pub struct CommandListener {
    /// Channel to the event loop.
    pub commands: mpsc::Sender<CommandRequest>,
    /// Closes an idle connection if accepting fails for lack of descriptors.
    pub host_pool: Rc<HostPool>,
    /// Clock for all deadlines.
    pub clock: Clock,
    /// Counts callers.
    pub counters: Rc<Counters>,
}

impl CommandListener {
    /// Accepts callers; never returns. With [`MAX_CALLERS`] connected, the oldest connection is closed to
    /// accept a new one.
    pub async fn accept(self, listener: TcpListener) {
        let this = Rc::new(self);
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let Some(stream) = this.accept_one(&listener).await else { continue };
            callers.retain(|caller| !caller.is_finished());
            if callers.len() >= MAX_CALLERS {
                callers.pop_front().into_iter().for_each(|caller| caller.abort());
                // The runtime drops the aborted task, and with it the descriptor, only after a yield.
                tokio::task::yield_now().await;
            }
            let caller = tokio::task::spawn_local(this.clone().serve(stream));
            callers.push_back(caller.abort_handle());
        }
    }

    /// Accepts one caller. After a failure, waits as long as its cause requires and returns `None`.
    async fn accept_one(&self, listener: &TcpListener) -> Option<TcpStream> {
        match socket::accept(listener).await {
            Ok(stream) => return Some(stream),
            // This caller has disconnected; another connection may already be pending.
            Err(SocketError::Broken(_)) => tokio::task::yield_now().await,
            Err(_) => {
                self.host_pool.ensure_descriptor();
                self.clock.sleep_until(self.clock.now() + ACCEPT_RETRY_PAUSE).await;
            }
        }
        None
    }

    /// Reads one command, executes it on the event loop and writes the reply.
    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        self.counters.calls.add();
        let Some(reply) = self.read_and_execute(&stream).await else { return };
        if !reply.yes {
            self.counters.calls_denied.add();
        }
        let clock = self.clock;
        tokio::select! {
            // The reply is best effort, because a caller may disconnect without reading it.
            _ = write_reply(&mut stream, &reply) => {}
            () = clock.sleep_until(clock.now() + REPLY_TIMEOUT) => {}
        }
    }

    /// Reads a command line, executes it and returns the reply. Returns `None` if the caller disconnects
    /// without sending a line.
    async fn read_and_execute(&self, stream: &TcpStream) -> Option<Reply> {
        let clock = self.clock;
        let line = tokio::select! {
            line = read_line(stream) => line,
            () = clock.sleep_until(clock.now() + LINE_TIMEOUT) => {
                Err(LineError::Invalid(CommandError::TimedOut))
            }
        };
        match line {
            Ok(line) => match ops::parse(&line) {
                Ok(command) => Some(self.execute(command).await),
                Err(error) => Some(error.into()),
            },
            Err(LineError::Invalid(error)) => Some(error.into()),
            Err(LineError::Disconnected) => None,
        }
    }

    async fn execute(&self, command: Command) -> Reply {
        let (reply, replied) = oneshot::channel();
        let sent = self.commands.send(CommandRequest { command, reply }).await;
        let reply = match sent {
            Ok(()) => replied.await.ok(),
            Err(_) => None,
        };
        reply.unwrap_or(Reply { yes: false, reason: "stopping, it ends by itself".into() })
    }
}

/// Error from reading a caller's line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineError {
    /// The line is not a valid command; the caller is sent the reason.
    Invalid(CommandError),
    /// The caller disconnected without sending a line, or the connection failed.
    Disconnected,
}

async fn write_reply(stream: &mut TcpStream, reply: &Reply) -> Result<(), SocketError> {
    socket::write_all(stream, &mut reply.to_string().as_bytes()).await?;
    stream.shutdown().await.map_err(SocketError::Broken)?;
    // Closing a socket with unread bytes resets the connection, which would discard the reply.
    let mut discarded = [0; MAX_LINE_BYTES];
    while socket::read(stream, &mut discarded).await? > 0 {}
    Ok(())
}

/// Reads a caller's line and returns it without the line terminator. End of stream also terminates a line.
///
/// # Errors
///
/// Fails if the line exceeds [`MAX_LINE_BYTES`], the caller sends nothing, or the connection fails.
pub async fn read_line(stream: &impl ByteStream) -> Result<Vec<u8>, LineError> {
    let (mut line, mut bytes) = (Vec::new(), [0; MAX_LINE_BYTES]);
    loop {
        let count = socket::read(stream, &mut bytes).await.map_err(|_| LineError::Disconnected)?;
        if let Some(end) = bytes[..count].iter().position(|byte| *byte == b'\n') {
            line.extend_from_slice(&bytes[..end]);
            return Ok(line);
        }
        line.extend_from_slice(&bytes[..count]);
        if line.len() > MAX_LINE_BYTES {
            return Err(LineError::Invalid(CommandError::TooLong));
        }
        if count == 0 {
            return if line.is_empty() { Err(LineError::Disconnected) } else { Ok(line) };
        }
    }
}
