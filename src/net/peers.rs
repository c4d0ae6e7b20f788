//! Datagrams between instances: bulletins out at their pace, bulletins in as they come. What is in them, and what
//! follows from it, the sessions decide.

use crate::facade::Facade;
use crate::net::clock::Clock;
use crate::net::counters::Counters;
use petrelgauge_sessions::MOST_BYTES;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Where this instance hears the others, and where they hear it.
pub struct Peers {
    socket: UdpSocket,
    others: Vec<SocketAddr>,
}

impl Peers {
    /// Listens at this address.
    pub async fn new(listen: SocketAddr, others: Vec<SocketAddr>) -> Result<Peers, String> {
        let socket = UdpSocket::bind(listen).await;
        let socket =
            socket.map_err(|cause| format!("cannot listen to other instances at {listen}: {cause}"))?;
        Ok(Peers { socket, others })
    }

    /// Speaks and listens for as long as the gateway runs. A datagram that cannot be sent is lost like any other.
    pub async fn talk(self, facade: Facade, clock: Clock, counters: Rc<Counters>) {
        // One byte more than any that can be used, to tell those that are cut.
        let mut bytes = [0; MOST_BYTES + 1];
        let mut failing = false;
        loop {
            let (told, next) = facade.tell(clock.now());
            for datagram in &told {
                for other in &self.others {
                    counters.told.add();
                    let _ = self.socket.try_send_to(datagram, *other);
                }
            }
            let Some(next) = next else { return std::future::pending().await };
            tokio::select! {
                biased;
                () = clock.sleep_until(next) => {}
                heard = self.socket.recv_from(&mut bytes) => {
                    let cause = match heard {
                        Ok((length, _)) => facade.hear(clock.now(), &bytes[..length]).err().map(|e| e.to_string()),
                        // What another instance's machine says of a datagram to it: it is not up.
                        Err(_) => None,
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
        }
    }
}
