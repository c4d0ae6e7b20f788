//! Datagrams between instances: watermark broadcasts are sent when they are due and handled as they arrive; their content
//! is for the session tracker. Datagrams about leadership roles are handled by `leadership.rs`.

use crate::facade::Facade;
use crate::net::clock::Clock;
use crate::net::counters::Counters;
use crate::net::fleet_codec::OutgoingDatagram;
use crate::net::leadership::FleetLeadership;
use crate::Time;
use petrelgauge_sessions::MAX_DATAGRAM_BYTES;
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

    /// Speaks and listens for as long as the gateway runs. A datagram that cannot be sent is lost like any other.
    pub async fn talk(
        self,
        facade: Facade,
        clock: Clock,
        counters: Rc<Counters>,
        leadership: Option<Rc<FleetLeadership>>,
    ) {
        // One byte more than any that can be used, to tell those that are cut.
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let mut failing = false;
        loop {
            let (told, next) = facade.due_broadcasts(clock.now());
            for datagram in &told {
                for (_, other) in self.all.iter().enumerate().filter(|(number, _)| *number != self.me) {
                    counters.told.add();
                    counters.told_bytes.add_many(datagram.len());
                    self.socket.send(datagram, *other);
                }
            }
            let due = leadership.iter().map(|leadership| leadership.next_deadline());
            let Some(next) = next.into_iter().chain(due).min() else { return std::future::pending().await };
            tokio::select! {
                biased;
                () = clock.sleep_until(next) => {}
                heard = self.socket.receive(&mut bytes) => {
                    let Ok(length) = heard else {
                        // What another instance's machine says of a datagram to it: it is not up.
                        continue;
                    };
                    counters.heard.add();
                    counters.heard_bytes.add_many(length);
                    let cause = match &leadership {
                        Some(leadership) if FleetLeadership::is_for(&bytes[..length]) => {
                            let datagrams = leadership.on_datagram(&bytes[..length]);
                            self.send(datagrams, &counters);
                            None
                        }
                        _ => facade.receive_broadcast(clock.now(), &bytes[..length]).err(),
                    };
                    // Once for each row of them.
                    if let Some(cause) = &cause {
                        if !std::mem::replace(&mut failing, true) {
                            log::warn!("a datagram of another instance cannot be used: {cause}");
                        }
                    } else {
                        failing = false;
                    }
                }
            }
            self.act(&leadership, clock.now(), &counters);
        }
    }

    /// Sends what the leadership roles have to send by now, at once: nothing of it waits for another turn.
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
