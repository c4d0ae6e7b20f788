//! Datagrams between instances: watermark broadcasts, sent at their pace and received as they come, whose contents the
//! sessions decide; and datagrams about leadership roles, which `leadership.rs` reads and writes.

use crate::facade::Facade;
use crate::fleet::codec::OutgoingDatagram;
use crate::fleet::leadership::FleetLeadership;
use crate::os::clock::Clock;
use crate::os::datagram::{self, DatagramSocket};
use crate::os::socket::{self, SocketError};
use crate::resources::counters::Counters;
use crate::Time;
use petrelgauge_lifecycle::request_table::DueBroadcasts;
use petrelgauge_sessions::{BroadcastError, MAX_DATAGRAM_BYTES};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Where this instance hears the others, and where they hear it.
pub struct Peers<S> {
    socket: S,
    /// One address for each, in the order of their numbers.
    all: Vec<SocketAddr>,
    /// This one's number.
    me: usize,
    /// The last datagram could not be sent for a fault of this machine: logged once in a row.
    failed_to_send: Cell<bool>,
}

impl<S: DatagramSocket> Peers<S> {
    /// With this socket, as the one of this number among all.
    pub fn new(socket: S, me: usize, all: Vec<SocketAddr>) -> Peers<S> {
        Peers { socket, all, me, failed_to_send: Cell::new(false) }
    }

    /// Sends and receives datagrams for as long as the gateway runs, whatever fails.
    pub async fn talk(
        self,
        facade: Facade,
        clock: Clock,
        counters: Rc<Counters>,
        leadership: Option<Rc<FleetLeadership>>,
    ) {
        // One byte more than any that can be used, to recognize those that are cut.
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let (mut rejecting, mut failing) = (false, false);
        loop {
            let DueBroadcasts { datagrams, next_at: next } =
                facade.update(|table| table.due_broadcasts(clock.now()));
            datagrams.iter().for_each(|datagram| self.broadcast(datagram, &counters));
            let due = leadership.iter().map(|leadership| leadership.next_deadline());
            let Some(next) = next.into_iter().chain(due).min() else { return std::future::pending().await };
            tokio::select! {
                biased;
                () = clock.sleep_until(next) => {}
                received = datagram::receive(&self.socket, &mut bytes) => match received {
                    Ok(length) => {
                        failing = false;
                        counters.heard.add();
                        counters.heard_bytes.add_many(length);
                        let rejected = self.take(&bytes[..length], &facade, clock, &leadership, &counters);
                        log_first_rejection(rejected, &mut rejecting);
                    }
                    Err(error) => {
                        log_first_failed_receive(&error, &mut failing);
                        // Calls that fail each time must not take up the processor.
                        socket::pause_after_shortage().await;
                    }
                }
            }
            self.act(&leadership, clock.now(), &counters);
        }
    }

    /// Sends a datagram to all other instances.
    fn broadcast(&self, datagram: &[u8], counters: &Counters) {
        for (_, other) in self.all.iter().enumerate().filter(|(number, _)| *number != self.me) {
            self.send_one(datagram, *other, counters);
        }
    }

    /// Sends a datagram. One that cannot be sent is lost like any other.
    fn send_one(&self, datagram: &[u8], to: SocketAddr, counters: &Counters) {
        counters.told.add();
        counters.told_bytes.add_many(datagram.len());
        match datagram::send(&self.socket, datagram, to) {
            Ok(()) => self.failed_to_send.set(false),
            Err(error) => log_first_failed_send(&error, &self.failed_to_send),
        }
    }

    /// Hands a datagram to the part of the gateway that it is for.
    fn take(
        &self,
        datagram: &[u8],
        facade: &Facade,
        clock: Clock,
        leadership: &Option<Rc<FleetLeadership>>,
        counters: &Counters,
    ) -> Result<(), BroadcastError> {
        match leadership {
            Some(leadership) if FleetLeadership::is_for(datagram) => {
                let datagrams = leadership.on_datagram(datagram);
                self.send(datagrams, counters);
                Ok(())
            }
            _ => facade.update(|table| table.receive_broadcast(clock.now(), datagram)),
        }
    }

    /// What the leadership have to say by now. It goes out at once: nothing of it waits for another turn.
    fn act(&self, leadership: &Option<Rc<FleetLeadership>>, now: Time, counters: &Counters) {
        if let Some(leadership) = leadership.as_ref().filter(|leadership| now >= leadership.next_deadline()) {
            self.send(leadership.on_deadline(), counters);
        }
    }

    fn send(&self, datagrams: Vec<OutgoingDatagram>, counters: &Counters) {
        for OutgoingDatagram { to, bytes } in datagrams {
            // Only addresses of the configuration, and none that a datagram named.
            if let Some(address) = self.all.get(usize::from(to)) {
                self.send_one(&bytes, *address, counters);
            }
        }
    }
}

/// Logs the first of several calls in a row that received nothing, for a fault of this machine. That a peer's machine
/// answers that nobody listens there means that this peer is not up.
fn log_first_failed_receive(error: &SocketError, failing: &mut bool) {
    if matches!(error, SocketError::OwnShortage(_)) && !std::mem::replace(failing, true) {
        log::warn!("peer datagram not received cause={error}");
    }
}

/// The same for datagrams that were not sent.
fn log_first_failed_send(error: &SocketError, failing: &Cell<bool>) {
    if matches!(error, SocketError::OwnShortage(_)) && !failing.replace(true) {
        log::warn!("peer datagram not sent cause={error}");
    }
}

/// Logs the first of several rejected datagrams in a row.
fn log_first_rejection(received: Result<(), BroadcastError>, rejecting: &mut bool) {
    let Err(cause) = received else {
        *rejecting = false;
        return;
    };
    if !std::mem::replace(rejecting, true) {
        log::warn!("peer datagram rejected cause={cause}");
    }
}
