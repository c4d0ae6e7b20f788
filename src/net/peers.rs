//! Datagrams between instances: bulletins out at their pace, bulletins in as they come. What is in them, and what
//! follows from it, the sessions decide; and datagrams about duties, of which `duties.rs` sees to.

use crate::facade::Facade;
use crate::net::clock::Clock;
use crate::net::counters::Counters;
use crate::net::duties::{Duties, Parcel};
use crate::Time;
use petrelgauge_sessions::MOST_BYTES;
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
        duties: Option<Rc<Duties>>,
    ) {
        // One byte more than any that can be used, to tell those that are cut.
        let mut bytes = [0; MOST_BYTES + 1];
        let mut failing = false;
        loop {
            let (told, next) = facade.tell(clock.now());
            for datagram in &told {
                for (_, other) in self.all.iter().enumerate().filter(|(number, _)| *number != self.me) {
                    counters.told.add();
                    counters.told_bytes.add_many(datagram.len());
                    self.socket.send(datagram, *other);
                }
            }
            let due = duties.iter().map(|duties| duties.due_at());
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
                    let cause = match &duties {
                        Some(duties) if Duties::is_for(&bytes[..length]) => {
                            let parcels = duties.hear(&bytes[..length]);
                            self.send(parcels, &counters);
                            None
                        }
                        _ => facade.hear(clock.now(), &bytes[..length]).err(),
                    };
                    // Once for each row of them.
                    if let Some(cause) = &cause {
                        if !std::mem::replace(&mut failing, true) {
                            log::warn!("peer datagram rejected cause={cause}");
                        }
                    } else {
                        failing = false;
                    }
                }
            }
            self.act(&duties, clock.now(), &counters);
        }
    }

    /// What the duties have to say by now. It goes out at once: nothing of it waits for another turn.
    fn act(&self, duties: &Option<Rc<Duties>>, now: Time, counters: &Counters) {
        if let Some(duties) = duties.as_ref().filter(|duties| now >= duties.due_at()) {
            self.send(duties.due(), counters);
        }
    }

    fn send(&self, parcels: Vec<Parcel>, counters: &Counters) {
        for (to, bytes) in parcels {
            // Only addresses of the configuration, and none that a datagram named.
            if let Some(address) = self.all.get(usize::from(to)) {
                counters.told.add();
                counters.told_bytes.add_many(bytes.len());
                self.socket.send(&bytes, *address);
            }
        }
    }
}
