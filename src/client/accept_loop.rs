//! The loop that accepts clients, up to the gateway's stop and through calls that fail.

use crate::os::clock::Clock;
use crate::os::socket::{self, Acceptor, SocketError};
use crate::Time;
use petrelgauge_lifecycle::gateway::ServingState;
use tokio::sync::watch;

/// Pause after a client could not be accepted for want of descriptors or memory (microseconds).
const SHORTAGE_PAUSE: Time = 2_000;

/// What is done with accepted clients.
pub trait ClientHandler<S> {
    /// A client was accepted.
    fn on_client(&self, stream: S);

    /// None could be, for want of descriptors or memory.
    fn on_shortage(&self);
}

/// Accepts clients until the gateway has stopped.
pub struct AcceptLoop {
    /// The clock.
    pub clock: Clock,
    /// What the gateway does with clients.
    pub state: watch::Receiver<ServingState>,
    /// The listening socket is shared with the process that comes next.
    pub shared: bool,
}

impl AcceptLoop {
    /// Runs up to the stop. Clients in the kernel's backlog count as taken, and so those that are there by then are
    /// accepted first, however many calls fail before; unless the socket is shared: the next process accepts those.
    pub async fn run<A: Acceptor>(mut self, acceptor: &A, handler: &impl ClientHandler<A::Stream>) {
        let mut short_before = false;
        let mut looked_again = false;
        loop {
            if self.shared && *self.state.borrow() == ServingState::Stopped {
                return;
            }
            let accepted = tokio::select! {
                biased;
                accepted = socket::accept(acceptor) => accepted,
                _ = self.state.wait_for(|state| *state == ServingState::Stopped) => {
                    if looked_again {
                        return;
                    }
                    // The reactor may not have heard yet of a client that came a moment ago. After this it has.
                    looked_again = true;
                    tokio::task::yield_now().await;
                    continue;
                }
            };
            looked_again = false;
            match accepted {
                Ok(stream) => {
                    short_before = false;
                    handler.on_client(stream);
                    // What was asked to close does so, and what came with the last ones is read.
                    tokio::task::yield_now().await;
                }
                // That client has left; the next may be there.
                Err(SocketError::Broken(_)) => tokio::task::yield_now().await,
                Err(error) => {
                    // Once for each row of failures: they come by the hundred.
                    if !std::mem::replace(&mut short_before, true) {
                        log::warn!("client accept failed cause={error}");
                    }
                    handler.on_shortage();
                    self.clock.sleep_until(self.clock.now() + SHORTAGE_PAUSE).await;
                }
            }
        }
    }
}
