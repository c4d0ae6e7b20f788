//! What the platform tells the process by signals. Listened to before anything else is done: a signal that nobody listens
//! to ends the process, and a configuration that is told of while the old one is being read must be read too.

use std::io;
use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The handler of a signal cannot be registered.
#[derive(Debug, Error)]
#[error("cannot listen to signals: {0}")]
pub struct SignalError(#[from] io::Error);

/// The signals that mean something here.
pub struct Signals {
    term: Signal,
    interrupt: Signal,
    usr1: Signal,
    hangup: Signal,
}

/// One that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// SIGTERM or SIGINT: stop.
    Stop,
    /// SIGHUP: read the configuration again.
    Reread,
    /// SIGUSR1: log the counters.
    Count,
}

impl Signals {
    /// Registers the handlers of all signals.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses one of them.
    pub fn listen() -> Result<Signals, SignalError> {
        Ok(Signals {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            usr1: signal(SignalKind::user_defined1())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next one. May be cancelled without loss.
    pub async fn next(&mut self) -> Told {
        tokio::select! {
            biased;
            // A configuration that came before the stop is told of before it.
            _ = self.hangup.recv() => Told::Reread,
            _ = self.term.recv() => Told::Stop,
            _ = self.interrupt.recv() => Told::Stop,
            _ = self.usr1.recv() => Told::Count,
        }
    }
}
