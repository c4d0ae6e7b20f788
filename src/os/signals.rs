//! The signals that the gateway handles. The handlers are registered before anything else: a signal without a
//! handler terminates the process, and a reload that is requested while the configuration is being read must
//! not be lost.

use std::io;
use thiserror::Error;
use tokio::signal::unix::{self, signal, SignalKind};

/// A signal handler could not be registered.
#[derive(Debug, Error)]
#[error("cannot register signal handlers: {0}")]
pub struct SignalError(#[from] io::Error);

/// The registered signal handlers.
pub struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    user_defined1: unix::Signal,
    hangup: unix::Signal,
}

/// A signal that the gateway handles.
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
    /// Registers handlers for all signals that the gateway handles.
    ///
    /// # Errors
    ///
    /// Fails if a handler cannot be registered.
    pub fn listen() -> Result<Signals, SignalError> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            user_defined1: signal(SignalKind::user_defined1())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal. Cancel safe.
    pub async fn next(&mut self) -> Signal {
        tokio::select! {
            biased;
            // Polled first, so that a reload that was requested before a stop is still handled.
            _ = self.hangup.recv() => Signal::Reload,
            _ = self.terminate.recv() => Signal::Stop,
            _ = self.interrupt.recv() => Signal::Stop,
            _ = self.user_defined1.recv() => Signal::LogCounters,
        }
    }
}
