//! The datagram socket between gateways: sends watermark broadcasts and messages about leadership roles when
//! they are due, and dispatches those that arrive. What they say is decided in the sessions and in
//! `leadership`.

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

/// What a [`PeerExchange`] is built from, beside its socket.
pub struct PeerOptions {
    /// Addresses of all gateways, in the order of their numbers.
    pub addresses: Vec<SocketAddr>,
    /// This gateway's index among them.
    pub self_index: usize,
    /// The decisions, with the sessions whose watermarks are exchanged.
    pub facade: Facade,
    /// This gateway's part in the leadership roles, if there are any.
    pub leadership: Option<Rc<FleetLeadership>>,
    /// Clock of all deadlines.
    pub clock: Clock,
    /// Counts datagrams.
    pub counters: Rc<Counters>,
}

/// The exchange of datagrams with the other gateways.
pub struct PeerExchange<S> {
    /// Bound to this gateway's address.
    socket: S,
    options: PeerOptions,
    failures: ReportedFailures,
}

/// Failures that persist. The first of several in a row is logged.
#[derive(Default)]
struct ReportedFailures {
    is_send_failing: Cell<bool>,
    is_receive_failing: Cell<bool>,
    is_rejecting: Cell<bool>,
}

impl<S: DatagramSocket> PeerExchange<S> {
    /// An exchange over the socket that is bound to this gateway's address.
    pub fn new(socket: S, options: PeerOptions) -> PeerExchange<S> {
        PeerExchange { socket, options, failures: ReportedFailures::default() }
    }

    /// Sends and receives datagrams. Never returns, whatever fails.
    pub async fn run(self) {
        let clock = self.options.clock;
        // One byte more than the longest valid datagram, so that truncated ones are recognized by their
        // length.
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
                        self.failures.on_receive_error(&error);
                        // Without a pause, a receive that fails each time would take all processor time.
                        socket::pause_after_shortage().await;
                    }
                }
            }
            self.send_due_leadership_messages();
        }
    }

    /// Handles a datagram of another gateway.
    fn on_datagram(&self, datagram: &[u8]) {
        self.failures.is_receive_failing.set(false);
        self.options.counters.datagrams_received.add();
        self.options.counters.datagram_bytes_received.add_many(datagram.len());
        let dispatched = self.dispatch(datagram);
        self.failures.on_dispatched(dispatched);
    }

    fn dispatch(&self, datagram: &[u8]) -> Result<(), BroadcastError> {
        match &self.options.leadership {
            Some(leadership) if FleetLeadership::is_for(datagram) => {
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

    /// Sends datagrams to the configured addresses of their receivers; never to an address that a datagram
    /// came from.
    fn send_all(&self, datagrams: Vec<OutgoingDatagram>) {
        for OutgoingDatagram { to, bytes } in datagrams {
            if let Some(address) = self.options.addresses.get(usize::from(to)) {
                self.send(&bytes, *address);
            }
        }
    }

    /// Sends a datagram. One that cannot be sent is lost, as any datagram may be.
    fn send(&self, datagram: &[u8], to: SocketAddr) {
        self.options.counters.datagrams_sent.add();
        self.options.counters.datagram_bytes_sent.add_many(datagram.len());
        match datagram::send(&self.socket, datagram, to) {
            Ok(()) => self.failures.is_send_failing.set(false),
            Err(error) => self.failures.on_send_error(&error),
        }
    }
}

impl ReportedFailures {
    /// A failed send. An unreachable peer is no fault of this machine and is not logged.
    fn on_send_error(&self, error: &SocketError) {
        if is_own_fault(error) && !self.is_send_failing.replace(true) {
            log::warn!("peer datagram not sent cause={error}");
        }
    }

    /// A failed receive. The kernel also reports here that no peer listens at an address; that is not logged.
    fn on_receive_error(&self, error: &SocketError) {
        if is_own_fault(error) && !self.is_receive_failing.replace(true) {
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

/// Whether an error is a fault of this machine.
fn is_own_fault(error: &SocketError) -> bool {
    matches!(error, SocketError::ResourceShortage(_))
}
