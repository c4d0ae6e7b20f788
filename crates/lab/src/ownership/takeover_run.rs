//! A run of the experiment: in each round the lease holder is disturbed, and the witness waits for its
//! successor.

use super::effect_ledger::{EffectLedger, PRIMARY_DISCOVERY};
use super::{ACCEPTORS, GATEWAYS, SECRET};
use crate::datagram_relay::Link;
use crate::error::LabError;
use crate::test_cluster::TestCluster;
use petrelgauge::Time;
use petrelgauge_ownership::{LeaseHolder, Message, Notification, Settings, Term};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ops::Range;
use std::rc::Rc;

/// Maximum length of a datagram between gateways (bytes).
const MAX_DATAGRAM: usize = 512;
/// Interval at which the witness checks for a new holder (microseconds).
const POLL_INTERVAL: Time = 20_000;
/// How long the old holder stays disturbed once it has a successor (microseconds).
const EXTRA_DISTURBANCE: Range<Time> = 100_000..600_000;
/// Pause between two rounds, in addition to the silence of a restarted acceptor (microseconds).
const ROUND_PAUSE: Time = 300_000;
/// Takeover limits until there is a first holder: all processes start at the same time.
const FIRST_HOLDER_LIMITS: Time = 4;
/// Placeholder for a missing holder.
const NO_HOLDER: LeaseHolder = LeaseHolder { gateway: 0, term: 0 };

/// The fault that hits the lease holder in a round.
enum Disturbance {
    Kill,
    Stall,
    /// Its outgoing datagrams are lost.
    CutOutgoing,
    /// Its outgoing and incoming datagrams are lost.
    CutBothWays,
}

impl Disturbance {
    fn of_round(round: u64) -> Disturbance {
        match round % 4 {
            0 => Disturbance::Kill,
            1 => Disturbance::Stall,
            2 => Disturbance::CutOutgoing,
            _ => Disturbance::CutBothWays,
        }
    }
}

/// Faults of the witness and of the acceptors that a run can inject.
#[derive(Clone, Copy, Default)]
pub(super) struct Faults {
    /// A second gateway sends an effect under the holder's term.
    pub(super) impostor: bool,
    /// The witness has no fence, and an old effect arrives again.
    pub(super) without_fence: bool,
    /// All acceptors are killed.
    pub(super) without_acceptors: bool,
}

/// A run of the experiment.
pub(super) struct TakeoverRun {
    cluster: Rc<TestCluster>,
    settings: Settings,
    faults: Faults,
    /// Maximum duration of a takeover (microseconds).
    limit: Time,
    seed: u64,
    rng: Pcg64Mcg,
    pub(super) ledger: EffectLedger,
    /// Whether there has been a holder.
    pub(super) had_holder: bool,
    /// Duration of each takeover (microseconds).
    pub(super) takeovers: Vec<Time>,
    /// Number of takeovers that exceeded the limit.
    pub(super) late: u64,
    /// Number of effects of a disturbed holder that were admitted after it had a successor.
    pub(super) from_disturbed_holder: u64,
}

impl TakeoverRun {
    pub(super) fn new(
        cluster: Rc<TestCluster>,
        settings: Settings,
        faults: Faults,
        limit: Time,
        seed: u64,
    ) -> TakeoverRun {
        TakeoverRun {
            cluster,
            settings,
            faults,
            limit,
            seed,
            rng: Pcg64Mcg::seed_from_u64(seed),
            ledger: EffectLedger::new(faults.without_fence),
            had_holder: false,
            takeovers: Vec::new(),
            late: 0,
            from_disturbed_holder: 0,
        }
    }

    /// Waits for the first holder and plays this many rounds.
    pub(super) async fn play(&mut self, rounds: u64) -> Result<(), LabError> {
        let Some(mut holder) = self.wait_for_successor(0, FIRST_HOLDER_LIMITS * self.limit).await else {
            return Ok(());
        };
        self.had_holder = true;
        for round in 0..rounds {
            holder = self.play_round(round, holder).await?;
        }
        Ok(())
    }

    /// Disturbs the holder, waits for its successor, and ends the disturbance. Returns the holder after that.
    async fn play_round(&mut self, round: u64, holder: LeaseHolder) -> Result<LeaseHolder, LabError> {
        let began_at = self.now();
        let old_message = self.ledger.last_message.clone();
        self.disturb(holder.gateway, &Disturbance::of_round(round + self.seed));
        let successor = self.wait_for_successor(holder.term, self.limit).await;
        self.takeovers.push(self.now() - began_at);
        self.late += u64::from(successor.is_none());
        self.watch_disturbed_holder(holder, successor.is_some()).await;
        self.end_disturbance(holder.gateway, round)?;
        if self.faults.without_fence && successor.is_some() {
            old_message.into_iter().for_each(|message| self.ledger.receive(holder.gateway, message));
        }
        if self.faults.impostor {
            self.add_impostor();
        }
        let expected = successor.or(self.ledger.holder()).unwrap_or(NO_HOLDER);
        // A killed acceptor is silent for a lease; if another one failed meanwhile, there would be no
        // majority.
        self.receive_for(self.settings.startup_silence() + ROUND_PAUSE).await;
        Ok(self.ledger.holder().unwrap_or(expected))
    }

    fn disturb(&self, gateway: u16, disturbance: &Disturbance) {
        let holder = usize::from(gateway);
        let outgoing = (0..GATEWAYS).map(|to| Link { from: holder, to });
        let incoming = (0..GATEWAYS).map(|from| Link { from, to: holder });
        match disturbance {
            Disturbance::Kill => self.cluster.gateways.borrow_mut()[holder].kill(),
            Disturbance::Stall => self.cluster.gateways.borrow()[holder].signal("STOP"),
            Disturbance::CutOutgoing => self.cluster.relay.cut.borrow_mut().extend(outgoing),
            Disturbance::CutBothWays => self.cluster.relay.cut.borrow_mut().extend(outgoing.chain(incoming)),
        }
        if self.faults.without_acceptors {
            let mut gateways = self.cluster.gateways.borrow_mut();
            ACCEPTORS.iter().for_each(|acceptor| gateways[usize::from(*acceptor)].kill());
        }
    }

    /// Counts effects of the disturbed holder that are admitted although it has a successor.
    async fn watch_disturbed_holder(&mut self, holder: LeaseHolder, has_successor: bool) {
        let before = self.ledger.admitted.len();
        let duration = self.rng.random_range(EXTRA_DISTURBANCE);
        self.receive_for(duration).await;
        let admitted = self.ledger.admitted[before..].iter();
        let from_holder = admitted.filter(|effect| effect.gateway == holder.gateway).count() as u64;
        if has_successor {
            self.from_disturbed_holder += from_holder;
        }
    }

    fn end_disturbance(&self, gateway: u16, round: u64) -> Result<(), LabError> {
        self.cluster.relay.cut.borrow_mut().clear();
        let mut gateways = self.cluster.gateways.borrow_mut();
        let gateway = &mut gateways[usize::from(gateway)];
        gateway.signal("CONT");
        if gateway.process_id().is_none() {
            gateway.start(&self.cluster.setup, self.seed + round)?;
        }
        Ok(())
    }

    /// Injects a fault: another gateway sends an effect under the holder's term.
    fn add_impostor(&mut self) {
        let Some(LeaseHolder { gateway, term }) = self.ledger.holder() else { return };
        let notification = Notification::LeaseHeld { remaining: 1 };
        let message = Message::Notification { role: PRIMARY_DISCOVERY, term, notification };
        self.ledger.receive((gateway + 1) % GATEWAYS as u16, message);
    }

    /// Waits for a lease holder with a higher term, at most this long (microseconds).
    async fn wait_for_successor(&mut self, term: Term, limit: Time) -> Option<LeaseHolder> {
        let began_at = self.now();
        while self.now() - began_at < limit {
            if let Some(holder) = self.ledger.holder().filter(|holder| holder.term > term) {
                return Some(holder);
            }
            self.receive_for(POLL_INTERVAL).await;
        }
        None
    }

    /// Receives the gateways' datagrams for this long (microseconds).
    async fn receive_for(&mut self, duration: Time) {
        let cluster = self.cluster.clone();
        let clock = cluster.emulated_hosts.clock;
        let end = clock.now() + duration;
        let Some(socket) = &cluster.witness else { return };
        let mut buffer = [0; MAX_DATAGRAM];
        while clock.now() < end {
            tokio::select! {
                received = socket.recv(&mut buffer) => {
                    let Ok(count) = received else { continue };
                    match Message::decode(&buffer[..count], self.settings.fingerprint(), SECRET) {
                        Ok(received) => self.ledger.receive(received.from, received.message),
                        // The relay alters some datagrams.
                        Err(_) => self.ledger.undecodable += 1,
                    }
                }
                () = clock.sleep_until(end) => {}
            }
        }
    }

    fn now(&self) -> Time {
        self.cluster.emulated_hosts.clock.now()
    }
}
