//! Datagrams between instances: watermark broadcasts, sent at their pace and received as they come, whose contents the
//! sessions decide; and datagrams about leadership roles, which `leadership.rs` reads and writes.

use crate::facade::Facade;
use crate::net::clock::Clock;
use crate::net::counters::Counters;
use crate::net::fleet_codec::OutgoingDatagram;
use crate::net::leadership::FleetLeadership;
use crate::Time;
use petrelgauge_sessions::{BroadcastError, MAX_DATAGRAM_BYTES};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// A socket for datagrams between instances.
pub trait DatagramSocket {
    /// Sends one at once, or drops it.
    fn send(&self, bytes: &[u8], to: SocketAddr);

    /// Waits for one: its length. May be cancelled without loss.
    fn receive(&self, bytes: &mut [u8]) -> impl Future<Output = std::io::Result<usize>>;
}

impl DatagramSocket for UdpSocket {
    fn send(&self, bytes: &[u8], to: SocketAddr) {
        let _ = self.try_send_to(bytes, to);
    }

    async fn receive(&self, bytes: &mut [u8]) -> std::io::Result<usize> {
        Ok(self.recv_from(bytes).await?.0)
    }
}

/// Where this instance hears the others, and where they hear it.
pub struct Peers<S> {
    socket: S,
    /// One address for each, in the order of their numbers.
    all: Vec<SocketAddr>,
    /// This one's number.
    me: usize,
}

impl<S: DatagramSocket> Peers<S> {
    /// With this socket, as the one of this number among all.
    pub fn new(socket: S, me: usize, all: Vec<SocketAddr>) -> Peers<S> {
        Peers { socket, all, me }
    }

    /// Sends and receives datagrams for as long as the gateway runs. One that cannot be sent is lost like any other.
    pub async fn talk(
        self,
        facade: Facade,
        clock: Clock,
        counters: Rc<Counters>,
        leadership: Option<Rc<FleetLeadership>>,
    ) {
        // One byte more than any that can be used, to recognize those that are cut.
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let mut rejecting = false;
        loop {
            let (datagrams, next) = facade.due_broadcasts(clock.now());
            datagrams.iter().for_each(|datagram| self.broadcast(datagram, &counters));
            let due = leadership.iter().map(|leadership| leadership.next_deadline());
            let Some(next) = next.into_iter().chain(due).min() else { return std::future::pending().await };
            tokio::select! {
                biased;
                () = clock.sleep_until(next) => {}
                received = self.socket.receive(&mut bytes) => {
                    let Ok(length) = received else {
                        // The other instance's machine answers that nobody listens there: that instance is not up.
                        continue;
                    };
                    counters.heard.add();
                    counters.heard_bytes.add_many(length);
                    let rejected = self.take(&bytes[..length], &facade, clock, &leadership, &counters);
                    log_first_rejection(rejected, &mut rejecting);
                }
            }
            self.act(&leadership, clock.now(), &counters);
        }
    }

    /// Sends a datagram to all other instances.
    fn broadcast(&self, datagram: &[u8], counters: &Counters) {
        for (_, other) in self.all.iter().enumerate().filter(|(number, _)| *number != self.me) {
            counters.told.add();
            counters.told_bytes.add_many(datagram.len());
            self.socket.send(datagram, *other);
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
            _ => facade.receive_broadcast(clock.now(), datagram),
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
                counters.told.add();
                counters.told_bytes.add_many(bytes.len());
                self.socket.send(&bytes, *address);
            }
        }
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
