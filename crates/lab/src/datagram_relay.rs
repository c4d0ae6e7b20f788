//! The datagram paths between gateways: datagrams are lost, duplicated, delayed and reordered, and altered copies arrive.

use crate::emulated_hosts::EmulatedHosts;
use petrelgauge::Time;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Share of the delivered datagrams that arrive twice.
const DUPLICATE_SHARE: f64 = 0.05;
/// Share of the delivered copies that may be late.
const LATE_SHARE: f64 = 0.05;
/// Share of datagrams beside which an altered copy arrives.
const ALTERED_SHARE: f64 = 0.02;
/// Shortest delay of a datagram (microseconds).
const MIN_DELAY: Time = 1_300;
/// Longest delay of a usual datagram (microseconds).
const MAX_DELAY: Time = 11_000;
/// Longest delay of a late datagram (microseconds).
const MAX_LATE_DELAY: Time = 150_000;
/// Delay of an altered copy (microseconds).
const ALTERED_DELAY: Time = 2_000;
/// Longest datagram that is relayed.
const MAX_DATAGRAM: usize = 2048;

/// The path from one gateway to another, by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The sender.
    pub from: usize,
    /// The receiver.
    pub to: usize,
}

/// All datagram paths of a cluster.
pub struct DatagramRelay {
    emulated_hosts: Rc<EmulatedHosts>,
    /// Share of datagrams that is lost.
    loss: f64,
    /// Links that carry nothing.
    pub cut: RefCell<BTreeSet<Link>>,
    /// Datagrams delivered.
    pub delivered_datagrams: Cell<u64>,
    /// Bytes delivered.
    pub delivered_bytes: Cell<u64>,
}

/// A datagram on its way.
struct Delivery {
    delay: Time,
    bytes: Vec<u8>,
}

impl DatagramRelay {
    /// A relay that uses the clock and the random generator of these emulated hosts.
    pub fn new(emulated_hosts: Rc<EmulatedHosts>, loss: f64) -> Rc<DatagramRelay> {
        Rc::new(DatagramRelay {
            emulated_hosts,
            loss,
            cut: RefCell::default(),
            delivered_datagrams: Cell::new(0),
            delivered_bytes: Cell::new(0),
        })
    }

    /// Opens the path of a link: what is sent to the returned address is forwarded to `to`.
    ///
    /// # Errors
    ///
    /// Fails if its socket cannot be opened.
    pub async fn open(self: &Rc<Self>, link: Link, to: SocketAddr) -> std::io::Result<SocketAddr> {
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = socket.local_addr()?;
        let relay = self.clone();
        tokio::task::spawn_local(async move {
            let mut buffer = [0; MAX_DATAGRAM];
            loop {
                // A receiver that is down shows as an error here, and comes back later.
                let Ok(count) = socket.recv(&mut buffer).await else { continue };
                if !relay.cut.borrow().contains(&link) {
                    relay.forward(&socket, to, &buffer[..count]);
                }
            }
        });
        Ok(address)
    }

    fn forward(self: &Rc<Self>, socket: &Rc<UdpSocket>, to: SocketAddr, bytes: &[u8]) {
        let deliveries = self.deliveries(&mut self.emulated_hosts.rng.borrow_mut(), bytes);
        for delivery in deliveries {
            let (relay, socket) = (self.clone(), socket.clone());
            tokio::task::spawn_local(async move {
                let clock = relay.emulated_hosts.clock;
                clock.sleep_until(clock.now() + delivery.delay).await;
                relay.delivered_datagrams.set(relay.delivered_datagrams.get() + 1);
                relay.delivered_bytes.set(relay.delivered_bytes.get() + delivery.bytes.len() as u64);
                let _ = socket.send_to(&delivery.bytes, to).await;
            });
        }
    }

    /// What becomes of a datagram: none, one or several copies.
    fn deliveries(&self, rng: &mut Pcg64Mcg, bytes: &[u8]) -> Vec<Delivery> {
        let is_lost = rng.random_bool(self.loss);
        let copies = if is_lost { 0 } else { 1 + usize::from(rng.random_bool(DUPLICATE_SHARE)) };
        let mut deliveries = Vec::new();
        for _ in 0..copies {
            let max_delay = if rng.random_bool(LATE_SHARE) { MAX_LATE_DELAY } else { MAX_DELAY };
            let delay = rng.random_range(MIN_DELAY..max_delay);
            deliveries.push(Delivery { delay, bytes: bytes.to_vec() });
        }
        if rng.random_bool(ALTERED_SHARE) {
            deliveries.push(Delivery { delay: ALTERED_DELAY, bytes: altered(rng, bytes) });
        }
        deliveries
    }
}

/// A copy with one bit inverted.
fn altered(rng: &mut Pcg64Mcg, bytes: &[u8]) -> Vec<u8> {
    let mut copy = bytes.to_vec();
    let index = rng.random_range(0..copy.len().max(1));
    if let Some(byte) = copy.get_mut(index) {
        *byte ^= 1 << rng.random_range(0..8);
    }
    copy
}
