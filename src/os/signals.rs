//! The signals of the platform. Their handlers are registered before anything else is done: a signal without one ends the
//! process, and a reload that is asked for while the configuration is being read must be done too.

use std::io;
use thiserror::Error;
use tokio::signal::unix::{self, signal, SignalKind};

/// The handler of a signal cannot be registered.
#[derive(Debug, Error)]
#[error("cannot listen to signals: {0}")]
pub struct SignalError(#[from] io::Error);

/// The signals that mean something here.
pub struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    user_defined1: unix::Signal,
    hangup: unix::Signal,
}

/// A signal that the gateway acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM or SIGINT: stop.
    Stop,
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGUSR1: log the counters.
    LogCounters,
}

impl Signals {
    /// Registers the handlers of all signals.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses one of them.
    pub fn listen() -> Result<Signals, SignalError> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            user_defined1: signal(SignalKind::user_defined1())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next one. May be cancelled without loss.
    pub async fn next(&mut self) -> Signal {
        tokio::select! {
            biased;
            // A reload that was asked for before the stop is done before it.
            _ = self.hangup.recv() => Signal::Reload,
            _ = self.terminate.recv() => Signal::Stop,
            _ = self.interrupt.recv() => Signal::Stop,
            _ = self.user_defined1.recv() => Signal::LogCounters,
        }
    }
}
