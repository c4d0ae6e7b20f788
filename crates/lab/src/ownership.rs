//! Experiment `ownership`: seven gateways, three of them acceptors, and a relay between them that loses, duplicates,
//! delays and cuts; the leader of primary discovery is killed, stalled and cut off, all from the seed. Effects are read by
//! a witness among their peers, never from a gateway's own counters.

use crate::report::Verdict;
use crate::test_cluster::{ClusterPlan, TestCluster};
use crate::Options;
use petrelgauge::Time;
use petrelgauge_ownership::{Fence, LeadershipRole, LeaseHolder, Message, Notification, Settings, Term};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::rc::Rc;

/// Faults that must make the experiment fail: a second lease holder under the same term; a witness without a fence that
/// receives an old notification again; acceptors that stay away.
pub const INJECTED_FAULTS: [&str; 3] = ["impostor", "fenceless", "deserted"];

const GATEWAYS: usize = 7;
const ACCEPTORS: [u16; 3] = [0, 2, 5];
const SECRET: u64 = 0x0a;
const DISCOVERY: LeadershipRole = LeadershipRole { kind: 1, shard: 0 };
const OPERATOR: &str =
    "ownership: {\n  secret: \"a\"\n  electors: 3\n  lease: 1200ms\n  delay: 150ms\n  drift_percent: 2\n}\n";
/// What the machine that all of it shares may add to a take-over (microseconds): timers, eight processes, the relay's
/// own wait.
const SLACK: Time = 1_500_000;

/// What the witness admitted.
struct Ledger {
    fence: Fence,
    fenced: bool,
    /// Sender and term of each notification that was admitted.
    admitted: Vec<LeaseHolder>,
    rejected: u64,
    faults: Vec<String>,
    undecodable: u64,
    last: Option<Message>,
}

impl Ledger {
    fn hear(&mut self, from: u16, message: Message) {
        let Message::Notification { role, term, .. } = message else { return };
        if role != DISCOVERY {
            return;
        }
        if self.fenced && self.fence.admit(role, term).is_err() {
            self.rejected += 1;
            return;
        }
        let holder = LeaseHolder { gateway: from, term };
        self.check(holder);
        self.admitted.push(holder);
        self.last = Some(message);
    }

    /// Records what is wrong with an effect of this holder after all that were admitted before.
    fn check(&mut self, holder: LeaseHolder) {
        let LeaseHolder { gateway, term } = holder;
        if let Some(last) = self.holder().filter(|last| term < last.term) {
            let last = last.term;
            self.faults.push(format!("an effect under term {term} was admitted after one under {last}"));
        }
        let mut others = self.admitted.iter().filter(|other| other.term == term && other.gateway != gateway);
        if let Some(LeaseHolder { gateway: other, .. }) = others.next() {
            self.faults.push(format!("gateways {other} and {gateway} both hold term {term}"));
        }
    }

    /// The last holder whose effect was admitted.
    fn holder(&self) -> Option<LeaseHolder> {
        self.admitted.last().copied()
    }
}

struct Play {
    cluster: Rc<TestCluster>,
    settings: Settings,
    ledger: Ledger,
    /// Duration of each takeover.
    takeovers: Vec<Time>,
    minority: u64,
}

impl Play {
    async fn read(&mut self, span: Time) {
        let clock = self.cluster.emulated_hosts.clock;
        let until = clock.now() + span;
        let cluster = self.cluster.clone();
        let Some(socket) = &cluster.witness else { return };
        let mut bytes = [0; 512];
        while clock.now() < until {
            tokio::select! {
                heard = socket.recv(&mut bytes) => {
                    let Ok(count) = heard else { continue };
                    match Message::read(&bytes[..count], self.settings.fingerprint(), SECRET) {
                        Ok((from, message)) => self.ledger.hear(from, message),
                        // The relay alters some.
                        Err(_) => self.ledger.undecodable += 1,
                    }
                }
                () = clock.sleep_until(until) => {}
            }
        }
    }

    /// Waits for a lease holder with a higher term, for this long at most.
    async fn successor(&mut self, term: Term, most: Time) -> Option<LeaseHolder> {
        let clock = self.cluster.emulated_hosts.clock;
        let begun = clock.now();
        while clock.now() - begun < most {
            if let Some(holder) = self.ledger.holder().filter(|holder| holder.term > term) {
                return Some(holder);
            }
            self.read(20_000).await;
        }
        None
    }
}

/// Runs it.
pub fn run(options: &Options) -> std::io::Result<Verdict> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, play(options))
}

#[expect(clippy::too_many_lines, reason = "to be split by its steps")]
async fn play(options: &Options) -> std::io::Result<Verdict> {
    let plan = ClusterPlan {
        gateways: GATEWAYS,
        groups: 1,
        members: 3,
        seed: options.seed,
        operator: OPERATOR.into(),
        strong: false,
        loss: 0.02,
        shift_ms: 20,
        hosts_ahead_ms: 0,
        program: crate::test_cluster::gateway_program()?,
        witness: true,
    };
    let settings = Settings {
        self_id: GATEWAYS as u16,
        gateways: GATEWAYS as u16 + 1,
        acceptors: ACCEPTORS.to_vec(),
        lease: 1_200_000,
        max_delay: 150_000,
        drift_bound: 0.02,
    };
    let limit = settings.takeover_bound() + SLACK;
    let planted = |fault: &str| options.injected_fault.as_deref() == Some(fault);
    let ledger = Ledger {
        fence: Fence::default(),
        fenced: !planted("fenceless"),
        admitted: Vec::new(),
        rejected: 0,
        faults: Vec::new(),
        undecodable: 0,
        last: None,
    };
    let cluster = TestCluster::start(plan).await?;
    let mut play = Play { cluster: cluster.clone(), settings, ledger, takeovers: Vec::new(), minority: 0 };
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let mut late = 0;
    let first = play.successor(0, 4 * limit).await;
    let nobody = LeaseHolder { gateway: 0, term: 0 };
    let LeaseHolder { gateway: mut who, mut term } = first.unwrap_or(nobody);
    for turn in 0..if options.short { 5 } else { 24 } {
        if first.is_none() {
            break;
        }
        let (begun, old) = (cluster.emulated_hosts.clock.now(), play.ledger.last.clone());
        match (turn + options.seed) % 4 {
            0 => cluster.gateways.borrow_mut()[who as usize].kill(),
            1 => cluster.gateways.borrow()[who as usize].signal("STOP"),
            // One way, from it to all the others.
            2 => cluster.relay.cut.borrow_mut().extend((0..GATEWAYS).map(|to| (who as usize, to))),
            _ => {
                let both = (0..GATEWAYS).flat_map(|other| [(who as usize, other), (other, who as usize)]);
                cluster.relay.cut.borrow_mut().extend(both);
            }
        }
        if planted("deserted") {
            ACCEPTORS.iter().for_each(|place| cluster.gateways.borrow_mut()[*place as usize].kill());
        }
        let next = play.successor(term, limit).await;
        play.takeovers.push(cluster.emulated_hosts.clock.now() - begun);
        late += u64::from(next.is_none());
        // Whatever those that are cut off send under their old term is rejected.
        let before = play.ledger.admitted.len();
        play.read(rng.random_range(100_000..600_000)).await;
        play.minority += play.ledger.admitted[before..]
            .iter()
            .filter(|admitted| next.is_some() && admitted.gateway == who)
            .count() as u64;
        cluster.relay.cut.borrow_mut().clear();
        cluster.gateways.borrow()[who as usize].signal("CONT");
        if cluster.gateways.borrow()[who as usize].id().is_none() {
            cluster.gateways.borrow_mut()[who as usize].start(&cluster.tier, options.seed + turn)?;
        }
        if planted("fenceless") {
            let words = old.into_iter().filter(|_| next.is_some());
            words.for_each(|word| play.ledger.hear(who, word));
        }
        if let (true, Some(LeaseHolder { gateway, term })) = (planted("impostor"), play.ledger.holder()) {
            let word = Message::Notification {
                role: DISCOVERY,
                term,
                notification: Notification::LeaseHeld { remaining: 1 },
            };
            play.ledger.hear((gateway + 1) % GATEWAYS as u16, word);
        }
        LeaseHolder { gateway: who, term } = next.or(play.ledger.holder()).unwrap_or(nobody);
        // An elector that was killed is silent for a lease: with another one gone there would be no majority.
        play.read(play.settings.startup_silence() + 300_000).await;
        LeaseHolder { gateway: who, term } =
            play.ledger.holder().unwrap_or(LeaseHolder { gateway: who, term });
    }
    cluster.stop().await;
    Ok(judge(options, &play, first.is_some(), late, limit))
}

fn judge(options: &Options, play: &Play, owned: bool, late: u64, limit: Time) -> Verdict {
    let mut verdict = Verdict::new("ownership", options.seed);
    let Ledger { faults, admitted, rejected, undecodable, .. } = &play.ledger;
    verdict.check("somebody comes to own the role", owned);
    verdict
        .check("no two owners whose effects are taken, and no older term after a newer", faults.is_empty());
    verdict.check(format!("a new owner within {} ms of the last one's end", limit / 1000), late == 0);
    verdict.check(
        "nothing is taken from the side that was cut off, once there is a new owner",
        play.minority == 0,
    );
    let mut takeovers: Vec<Time> = play.takeovers.iter().map(|duration| duration / 1000).collect();
    takeovers.sort_unstable();
    for (place, duration) in takeovers.iter().enumerate() {
        verdict.bar("take-overs, from the shortest (ms)", "ms", &place.to_string(), *duration as f64);
    }
    verdict.figures = json!({
        "takeovers": takeovers.len(), "median_ms": takeovers.get(takeovers.len() / 2), "longest_ms": takeovers.last(),
        "limit_ms": limit / 1000, "late": late, "words_taken": admitted.len(), "words_turned": rejected,
        "altered": undecodable, "faults": faults, "from_the_cut_side": play.minority,
    });
    verdict
}
