//! Exchange of datagrams between gateways: sends due watermark broadcasts and leadership messages, and
//! dispatches received ones. Session tracking and `leadership` decide on their content.

use crate::facade::Facade;
use crate::fleet::codec::OutgoingDatagram;
use crate::fleet::leadership::FleetLeadership;
use crate::os::clock::Clock;
use crate::os::datagram::{self, DatagramSocket};
use crate::os::socket::{self, SocketError};
use crate::resources::counters::Counters;
use petrelgauge_lifecycle::request_table::DueBroadcasts;
use petrelgauge_sessions::{BroadcastError, MAX_DATAGRAM_BYTES};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Options of [`PeerExchange::new`].
pub struct PeerOptions {
    /// Addresses of all gateways, ordered by gateway number.
    pub addresses: Vec<SocketAddr>,
    /// This gateway's index in `addresses`.
    pub self_index: usize,
    /// The decisions, which include the sessions whose watermarks are exchanged.
    pub facade: Facade,
    /// This gateway's participation in the leadership roles, if any are enabled.
    pub leadership: Option<Rc<FleetLeadership>>,
    /// Clock for all deadlines.
    pub clock: Clock,
    /// Counts sent and received datagrams.
    pub counters: Rc<Counters>,
}

/// The exchange of datagrams with the other gateways.
pub struct PeerExchange<S> {
    /// Bound to this gateway's address.
    socket: S,
    options: PeerOptions,
    failure_log: FailureLog,
}

/// Logs failures; of consecutive failures of a kind, only the first.
#[derive(Default)]
struct FailureLog {
    is_send_failing: Cell<bool>,
    is_receive_failing: Cell<bool>,
    is_rejecting: Cell<bool>,
}

impl<S: DatagramSocket> PeerExchange<S> {
    /// Creates an exchange over a socket that is bound to this gateway's address.
    pub fn new(socket: S, options: PeerOptions) -> PeerExchange<S> {
        PeerExchange { socket, options, failure_log: FailureLog::default() }
    }

    /// Sends and receives datagrams. Never returns, even after failures.
    pub async fn run(self) {
        let clock = self.options.clock;
        // One byte more than the longest valid datagram, so that longer ones are detected by their length.
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let DueBroadcasts { datagrams: broadcasts, next_at: next_broadcast_at } =
                self.options.facade.update(|table| table.due_broadcasts(clock.now()));
            broadcasts.iter().for_each(|datagram| self.broadcast(datagram));
            let leadership_deadline =
                self.options.leadership.as_ref().map(|leadership| leadership.next_deadline());
            let next_at = next_broadcast_at.into_iter().chain(leadership_deadline).min();
            let Some(next_at) = next_at else { return std::future::pending().await };
            tokio::select! {
                biased;
                () = clock.sleep_until(next_at) => {}
                received = datagram::receive(&self.socket, &mut bytes) => match received {
                    Ok(length) => self.on_datagram(&bytes[..length]),
                    Err(error) => {
                        self.failure_log.on_receive_error(&error);
                        // Without a pause, a receive that keeps failing would use all CPU time.
                        socket::pause_after_shortage().await;
                    }
                }
            }
            self.send_due_leadership_messages();
        }
    }

    /// Processes a received datagram.
    fn on_datagram(&self, datagram: &[u8]) {
        self.failure_log.is_receive_failing.set(false);
        self.options.counters.datagrams_received.add();
        self.options.counters.datagram_bytes_received.add_many(datagram.len());
        let dispatched = self.dispatch(datagram);
        self.failure_log.on_dispatched(dispatched);
    }

    fn dispatch(&self, datagram: &[u8]) -> Result<(), BroadcastError> {
        match &self.options.leadership {
            Some(leadership) if FleetLeadership::is_leadership_datagram(datagram) => {
                self.send_all(leadership.on_datagram(datagram));
                Ok(())
            }
            _ => {
                let now = self.options.clock.now();
                self.options.facade.update(|table| table.receive_broadcast(now, datagram))
            }
        }
    }

    fn send_due_leadership_messages(&self) {
        let Some(leadership) = &self.options.leadership else { return };
        if self.options.clock.now() >= leadership.next_deadline() {
            self.send_all(leadership.on_deadline());
        }
    }

    /// Sends a datagram to all other gateways.
    fn broadcast(&self, datagram: &[u8]) {
        let PeerOptions { addresses, self_index, .. } = &self.options;
        for (index, address) in addresses.iter().enumerate() {
            if index != *self_index {
                self.send(datagram, *address);
            }
        }
    }

    /// Sends datagrams to the configured addresses of their receivers, never to the source address of a
    /// datagram.
    fn send_all(&self, datagrams: Vec<OutgoingDatagram>) {
        for OutgoingDatagram { to, bytes } in datagrams {
            if let Some(address) = self.options.addresses.get(usize::from(to)) {
                self.send(&bytes, *address);
            }
        }
    }

    /// Sends a datagram. It is not retried on failure, because any datagram may be lost anyway.
    fn send(&self, datagram: &[u8], to: SocketAddr) {
        self.options.counters.datagrams_sent.add();
        self.options.counters.datagram_bytes_sent.add_many(datagram.len());
        match datagram::send(&self.socket, datagram, to) {
            Ok(()) => self.failure_log.is_send_failing.set(false),
            Err(error) => self.failure_log.on_send_error(&error),
        }
    }
}

impl FailureLog {
    /// Logs a failed send, unless the peer is unreachable, which is not a local failure.
    fn on_send_error(&self, error: &SocketError) {
        if is_local_shortage(error) && !self.is_send_failing.replace(true) {
            log::warn!("peer datagram not sent cause={error}");
        }
    }

    /// Logs a failed receive, unless the kernel reports that no peer listens at an address.
    fn on_receive_error(&self, error: &SocketError) {
        if is_local_shortage(error) && !self.is_receive_failing.replace(true) {
            log::warn!("peer datagram not received cause={error}");
        }
    }

    fn on_dispatched(&self, dispatched: Result<(), BroadcastError>) {
        let was_rejecting = self.is_rejecting.replace(dispatched.is_err());
        if let (Err(cause), false) = (dispatched, was_rejecting) {
            log::warn!("peer datagram rejected cause={cause}");
        }
    }
}

/// Whether an error is caused by a lack of local resources.
fn is_local_shortage(error: &SocketError) -> bool {
    matches!(error, SocketError::ResourceShortage(_))
}
