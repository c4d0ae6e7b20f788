//! A simulated network between gateways that loses, delays, duplicates and reorders datagrams, cuts links and
//! partitions gateways off, all determined by a seed. Messages are delivered in order of arrival time, and
//! those with equal arrival times in order of sending.

use petrelgauge_ownership::GatewayId;
use petrelgauge_policy::Time;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// One datagram in this many arrives twice.
const DUPLICATED_ONE_IN: u64 = 20;

/// A proportion of all datagrams: `count` of `of`.
#[derive(Clone, Copy)]
pub struct Ratio {
    pub count: u64,
    pub of: u64,
}

impl Ratio {
    pub const fn one_in(of: u64) -> Ratio {
        Ratio { count: 1, of }
    }
}

/// The faults to which the network subjects datagrams.
#[derive(Clone, Copy)]
pub struct NetworkFaults {
    /// Maximum delay of a datagram that is not slow.
    pub max_delay: Time,
    pub lost: Ratio,
    /// Datagrams whose delay may be up to `slow_factor` times the maximum delay.
    pub slow: Ratio,
    pub slow_factor: Time,
    /// Whether a datagram from a gateway to itself may be lost too.
    pub loopback_is_lossy: bool,
}

/// A message in transit.
#[derive(Clone)]
pub struct Envelope<M> {
    pub from: GatewayId,
    pub to: GatewayId,
    pub message: M,
}

/// A message that has arrived.
pub struct Delivery<M> {
    pub at: Time,
    pub envelope: Envelope<M>,
}

pub struct SimulatedNetwork<M> {
    pub faults: NetworkFaults,
    /// Links that are cut in the direction from sender to receiver.
    pub cut_links: BTreeSet<(GatewayId, GatewayId)>,
    /// Gateways that are partitioned off from all others.
    pub partitioned: BTreeSet<GatewayId>,
    pub sent: u64,
    /// Number of the last scheduled message.
    pub sequence: u64,
    pub rng: Pcg64Mcg,
    /// Messages by arrival time and sequence number.
    in_flight: BTreeMap<(Time, u64), Envelope<M>>,
}

impl<M: Clone> SimulatedNetwork<M> {
    pub fn new(rng: Pcg64Mcg, faults: NetworkFaults) -> SimulatedNetwork<M> {
        SimulatedNetwork {
            faults,
            cut_links: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            sent: 0,
            sequence: 0,
            rng,
            in_flight: BTreeMap::new(),
        }
    }

    /// Samples a uniformly distributed number below the bound.
    pub fn sample(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    /// Sends a datagram at `now`, subject to the faults of the network.
    pub fn send(&mut self, now: Time, envelope: &Envelope<M>) {
        self.sent += 1;
        if self.is_cut(envelope.from, envelope.to) {
            return;
        }
        let is_duplicated = self.occurs(Ratio::one_in(DUPLICATED_ONE_IN));
        for _ in 0..1 + u64::from(is_duplicated) {
            self.transmit(now, envelope);
        }
    }

    /// Schedules a message for delivery at the given time, without faults.
    pub fn schedule(&mut self, at: Time, envelope: Envelope<M>) {
        self.sequence += 1;
        self.in_flight.insert((at, self.sequence), envelope);
    }

    /// Removes and returns the next message that arrives at `now` or earlier.
    pub fn next_delivery(&mut self, now: Time) -> Option<Delivery<M>> {
        let next = self.in_flight.first_entry()?;
        let (at, _) = *next.key();
        (at <= now).then(|| Delivery { at, envelope: next.remove() })
    }

    fn transmit(&mut self, now: Time, envelope: &Envelope<M>) {
        let is_loopback = envelope.from == envelope.to;
        let is_lost = self.occurs(self.faults.lost);
        if is_lost && (self.faults.loopback_is_lossy || !is_loopback) {
            return;
        }
        let is_slow = self.occurs(self.faults.slow);
        let factor = if is_slow { self.faults.slow_factor } else { 1 };
        let delay = self.sample((factor * self.faults.max_delay) as u64) as Time;
        self.schedule(now + 1 + delay, envelope.clone());
    }

    fn occurs(&mut self, ratio: Ratio) -> bool {
        self.sample(ratio.of) < ratio.count
    }

    fn is_cut(&self, from: GatewayId, to: GatewayId) -> bool {
        let is_across_partition = self.partitioned.contains(&from) != self.partitioned.contains(&to);
        is_across_partition || self.cut_links.contains(&(from, to))
    }
}
