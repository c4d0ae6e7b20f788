//! Accepts clients until the gateway stops; failed accept calls do not end the loop.

use crate::os::clock::Clock;
use crate::os::socket::{self, Acceptor, SocketError};
use crate::Time;
use petrelgauge_lifecycle::gateway::{ListenerSharing, ServingState};
use tokio::sync::watch;

/// Pause after an accept that failed for lack of descriptors or memory (microseconds).
const SHORTAGE_PAUSE: Time = 2_000;

/// Handles accepted clients.
pub trait ClientHandler<S> {
    /// Called for each accepted client.
    fn on_client(&self, stream: S);

    /// Called when a client could not be accepted for lack of descriptors or memory.
    fn on_shortage(&self);
}

/// Accepts clients until the gateway has stopped.
pub struct AcceptLoop {
    /// The clock.
    pub clock: Clock,
    /// Whether clients are accepted, and whether idle ones are closed.
    pub state: watch::Receiver<ServingState>,
    /// Whether clients in the listen backlog are left to a successor process.
    pub sharing: ListenerSharing,
}

impl AcceptLoop {
    /// Accepts clients until the gateway has stopped. Clients in the listen backlog are accepted before the
    /// loop ends, however many calls fail, unless the listening socket is shared with a successor process.
    pub async fn run<A: Acceptor>(mut self, acceptor: &A, handler: &impl ClientHandler<A::Stream>) {
        let mut resource_exhausted = false;
        while let Some(accepted) = self.next(acceptor).await {
            match accepted {
                Ok(stream) => {
                    resource_exhausted = false;
                    handler.on_client(stream);
                    // Before the next accept, lets sessions run that are to close, and new ones read.
                    tokio::task::yield_now().await;
                }
                // The client has disconnected; others may be waiting.
                Err(SocketError::Broken(_)) => tokio::task::yield_now().await,
                Err(error) => {
                    // Logged once per series of failures: there can be hundreds of them.
                    if !std::mem::replace(&mut resource_exhausted, true) {
                        log::warn!("client accept failed cause={error}");
                    }
                    handler.on_shortage();
                    self.clock.sleep_until(self.clock.now() + SHORTAGE_PAUSE).await;
                }
            }
        }
    }

    /// Waits for the next client. None once the gateway has stopped and the backlog is empty or left to a
    /// successor.
    async fn next<A: Acceptor>(&mut self, acceptor: &A) -> Option<Result<A::Stream, SocketError>> {
        let mut backlog_checked = false;
        loop {
            let is_stopped = *self.state.borrow() == ServingState::Stopped;
            if is_stopped && self.sharing == ListenerSharing::WithSuccessor {
                return None;
            }
            tokio::select! {
                biased;
                accepted = socket::accept(acceptor) => return Some(accepted),
                _ = self.state.wait_for(|state| *state == ServingState::Stopped) => {
                    if backlog_checked {
                        return None;
                    }
                    // The reactor may not know yet of a client that has just connected; yielding lets it run.
                    backlog_checked = true;
                    tokio::task::yield_now().await;
                }
            }
        }
    }
}
