//! The address for operators' commands: one line in, one line out. What a line means and what is answered to it stands in
//! `petrelgauge_lifecycle::ops`.

use crate::host::pool::Hosts;
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

/// Span in which a caller may read its answer and close the connection (microseconds).
const REPLY_TIMEOUT: Time = 500_000;
/// Pause after a caller could not be accepted (microseconds).
const ACCEPT_RETRY_PAUSE: Time = 10_000;

/// A command of an operator.
pub struct CommandRequest {
    /// What is asked for.
    pub command: Command,
    /// Where the answer goes.
    pub answer: oneshot::Sender<Reply>,
}

/// Takes operators' commands and hands them to the gateway's event loop.
pub struct CommandListener {
    /// Where commands are carried out.
    pub commands: mpsc::Sender<CommandRequest>,
    /// What can be spared when there is no descriptor left.
    pub hosts: Rc<Hosts>,
    /// The clock.
    pub clock: Clock,
    /// Counts.
    pub counters: Rc<Counters>,
}

impl CommandListener {
    /// Accepts callers for as long as the gateway runs.
    pub async fn accept(self, listener: TcpListener) {
        let command_listener = Rc::new(self);
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let stream = match socket::accept(&listener).await {
                Ok(stream) => stream,
                // That caller has left; the next may be there.
                Err(SocketError::Broken(_)) => {
                    tokio::task::yield_now().await;
                    continue;
                }
                Err(_) => {
                    command_listener.hosts.ensure_descriptor();
                    let clock = command_listener.clock;
                    clock.sleep_until(clock.now() + ACCEPT_RETRY_PAUSE).await;
                    continue;
                }
            };
            callers.retain(|caller| !caller.is_finished());
            if callers.len() >= MAX_CALLERS {
                callers.pop_front().into_iter().for_each(|caller| caller.abort());
                // Its descriptor is free once it was dropped.
                tokio::task::yield_now().await;
            }
            callers
                .push_back(tokio::task::spawn_local(command_listener.clone().serve(stream)).abort_handle());
        }
    }

    /// Reads one command, carries it out and writes the answer.
    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        self.counters.calls.add();
        let Some(reply) = self.reply(&stream).await else { return };
        if !reply.yes {
            self.counters.calls_denied.add();
        }
        let clock = self.clock;
        tokio::select! {
            // A caller that does not read its answer has left.
            _ = write_reply(&mut stream, &reply) => {}
            () = clock.sleep_until(clock.now() + REPLY_TIMEOUT) => {}
        }
    }

    /// The answer to the line that comes; none if the caller leaves before it has sent anything.
    async fn reply(&self, stream: &TcpStream) -> Option<Reply> {
        let clock = self.clock;
        let line = tokio::select! {
            line = line(stream) => line,
            () = clock.sleep_until(clock.now() + LINE_TIMEOUT) => Err(Some(CommandError::TimedOut)),
        };
        match line {
            Ok(line) => match ops::parse(&line) {
                Ok(command) => Some(self.execute(command).await),
                Err(error) => Some(error.into()),
            },
            Err(error) => error.map(Reply::from),
        }
    }

    async fn execute(&self, command: Command) -> Reply {
        let (answer, answered) = oneshot::channel();
        let sent = self.commands.send(CommandRequest { command, answer }).await;
        let reply = match sent {
            Ok(()) => answered.await.ok(),
            Err(_) => None,
        };
        reply.unwrap_or(Reply { yes: false, reason: "stopping, it ends by itself".into() })
    }
}

async fn write_reply(stream: &mut TcpStream, reply: &Reply) -> Result<(), SocketError> {
    socket::write_all(stream, &mut reply.to_string().as_bytes()).await?;
    stream.shutdown().await.map_err(SocketError::Broken)?;
    // Closed with bytes unread, the connection would be reset and the answer lost.
    let mut rest = [0; MAX_LINE_BYTES];
    while socket::read(stream, &mut rest).await? > 0 {}
    Ok(())
}

/// A caller's line, without its end. Nothing if the caller left before it had said anything.
///
/// # Errors
///
/// Fails with the reply if the line is too long or not complete in time, and without one if the connection broke.
pub async fn line(stream: &impl ByteStream) -> Result<Vec<u8>, Option<CommandError>> {
    let (mut line, mut bytes) = (Vec::new(), [0; MAX_LINE_BYTES]);
    loop {
        let count = socket::read(stream, &mut bytes).await.map_err(|_| None)?;
        if let Some(end) = bytes[..count].iter().position(|byte| *byte == b'\n') {
            line.extend_from_slice(&bytes[..end]);
            return Ok(line);
        }
        line.extend_from_slice(&bytes[..count]);
        if line.len() > MAX_LINE_BYTES {
            return Err(Some(CommandError::TooLong));
        }
        if count == 0 {
            return if line.is_empty() { Err(None) } else { Ok(line) };
        }
    }
}
