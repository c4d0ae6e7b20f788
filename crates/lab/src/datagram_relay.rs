//! The path between instances: datagrams get lost, doubled, late, out of order, and garbage comes along.

use crate::emulated_hosts::EmulatedHosts;
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// What all paths of a stage count and suffer.
pub struct DatagramRelay {
    emulated_hosts: Rc<EmulatedHosts>,
    /// Share lost.
    pub loss: Cell<f64>,
    /// Links that carry nothing, from one instance to another.
    pub cut: RefCell<BTreeSet<(usize, usize)>>,
    /// Datagrams and bytes delivered.
    pub delivered: [Cell<u64>; 2],
}

impl DatagramRelay {
    /// DatagramRelay by the clock and the random numbers of these emulated hosts.
    pub fn new(emulated_hosts: Rc<EmulatedHosts>, loss: f64) -> Rc<DatagramRelay> {
        Rc::new(DatagramRelay {
            emulated_hosts,
            loss: Cell::new(loss),
            cut: RefCell::default(),
            delivered: [Cell::new(0), Cell::new(0)],
        })
    }

    /// Opens a path from one instance to another: what comes to the address it gives goes on there.
    pub async fn open(self: &Rc<Self>, link: (usize, usize), to: SocketAddr) -> std::io::Result<SocketAddr> {
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = socket.local_addr()?;
        let relay = self.clone();
        tokio::task::spawn_local(async move {
            let mut bytes = [0; 2048];
            loop {
                // An instance that is down is no reason to end.
                let Ok(count) = socket.recv(&mut bytes).await else { continue };
                if relay.cut.borrow().contains(&link) {
                    continue;
                }
                relay.clone().pass(socket.clone(), to, bytes[..count].to_vec());
            }
        });
        Ok(address)
    }

    fn pass(self: Rc<Self>, socket: Rc<UdpSocket>, to: SocketAddr, bytes: Vec<u8>) {
        let mut rng = self.emulated_hosts.rng.borrow_mut();
        let copies =
            if rng.random_bool(self.loss.get()) { 0 } else { 1 + usize::from(rng.random_bool(0.05)) };
        let mut sent: Vec<(i64, Vec<u8>)> = Vec::new();
        for _ in 0..copies {
            let late = if rng.random_bool(0.05) { 150_000 } else { 11_000 };
            sent.push((rng.random_range(1_300..late), bytes.clone()));
        }
        if rng.random_bool(0.02) {
            let mut garbage = bytes;
            let at = rng.random_range(0..garbage.len().max(1));
            if let Some(byte) = garbage.get_mut(at) {
                *byte ^= 1 << rng.random_range(0..8);
            }
            sent.push((2_000, garbage));
        }
        drop(rng);
        for (delay, bytes) in sent {
            let (relay, socket) = (self.clone(), socket.clone());
            tokio::task::spawn_local(async move {
                let clock = relay.emulated_hosts.clock;
                clock.sleep_until(clock.now() + delay).await;
                let [datagrams, sum] = &relay.delivered;
                datagrams.set(datagrams.get() + 1);
                sum.set(sum.get() + bytes.len() as u64);
                let _ = socket.send_to(&bytes, to).await;
            });
        }
    }
}
