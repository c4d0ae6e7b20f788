//! Experiment `ownership`: seven gateways, three of them electors, and a relay between them that loses, doubles, delays
//! and cuts; the scout is killed, stalled and cut off from the seed. What each does is read by a witness among their
//! peers, never from a gateway's own counters.

use crate::report::Verdict;
use crate::stage::{Plan, Stage};
use crate::Options;
use petrelgauge::Time;
use petrelgauge_ownership::{Fence, LeadershipRole, Message, Notification, Settings, Term};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::rc::Rc;

/// Faults that must make the experiment fail: a second owner under the same term; a witness without a fence that is
/// told an old word again; electors that stay away.
pub const PLANTS: [&str; 3] = ["impostor", "fenceless", "deserted"];

const GATEWAYS: usize = 7;
const ACCEPTORS: [u16; 3] = [0, 2, 5];
const SECRET: u64 = 0x0a;
const DISCOVERY: LeadershipRole = LeadershipRole { kind: 1, shard: 0 };
const OPERATOR: &str =
    "ownership: {\n  secret: \"a\"\n  electors: 3\n  lease: 1200ms\n  delay: 150ms\n  drift_percent: 2\n}\n";
/// What the machine that all of it shares may add to a take-over (microseconds): timers, eight processes, the relay's
/// own wait.
const SLACK: Time = 1_500_000;

/// What the witness took.
struct Ledger {
    fence: Fence,
    fenced: bool,
    /// Time, sender and term of each word that was taken.
    taken: Vec<(Time, u16, Term)>,
    turned: u64,
    faults: Vec<String>,
    odd: u64,
    last: Option<Message>,
}

impl Ledger {
    fn hear(&mut self, now: Time, from: u16, message: Message) {
        let Message::Notification { role, term, .. } = message else { return };
        if role != DISCOVERY {
            return;
        }
        if self.fenced && self.fence.admit(role, term).is_err() {
            self.turned += 1;
            return;
        }
        if let Some((_, _, last)) = self.taken.last().filter(|(_, _, last)| term < *last) {
            self.faults.push(format!("an effect under term {term} was taken after one under {last}"));
        }
        if let Some((_, who, _)) = self.taken.iter().find(|(_, who, known)| *known == term && *who != from) {
            self.faults.push(format!("gateways {who} and {from} both own term {term}"));
        }
        self.taken.push((now, from, term));
        self.last = Some(message);
    }

    fn owner(&self) -> Option<(u16, Term)> {
        self.taken.last().map(|(_, who, term)| (*who, *term))
    }
}

struct Play {
    stage: Rc<Stage>,
    settings: Settings,
    ledger: Ledger,
    /// How long each take-over took.
    took: Vec<Time>,
    minority: u64,
}

impl Play {
    async fn read(&mut self, span: Time) {
        let clock = self.stage.farm.clock;
        let until = clock.now() + span;
        let stage = self.stage.clone();
        let Some(socket) = &stage.witness else { return };
        let mut bytes = [0; 512];
        while clock.now() < until {
            tokio::select! {
                heard = socket.recv(&mut bytes) => {
                    let Ok(count) = heard else { continue };
                    match Message::read(&bytes[..count], self.settings.fingerprint(), SECRET) {
                        Ok((from, message)) => self.ledger.hear(clock.now(), from, message),
                        // The relay alters some.
                        Err(_) => self.ledger.odd += 1,
                    }
                }
                () = clock.sleep_until(until) => {}
            }
        }
    }

    /// Waits for an owner under a higher term, for so long at most.
    async fn successor(&mut self, term: Term, most: Time) -> Option<(u16, Term)> {
        let clock = self.stage.farm.clock;
        let begun = clock.now();
        while clock.now() - begun < most {
            if let Some(owner) = self.ledger.owner().filter(|(_, found)| *found > term) {
                return Some(owner);
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

async fn play(options: &Options) -> std::io::Result<Verdict> {
    let plan = Plan {
        gateways: GATEWAYS,
        groups: 1,
        members: 3,
        seed: options.seed,
        operator: OPERATOR.into(),
        strong: false,
        loss: 0.02,
        shift_ms: 20,
        hosts_ahead_ms: 0,
        program: crate::stage::program()?,
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
    let planted = |fault: &str| options.plant.as_deref() == Some(fault);
    let ledger = Ledger {
        fence: Fence::default(),
        fenced: !planted("fenceless"),
        taken: Vec::new(),
        turned: 0,
        faults: Vec::new(),
        odd: 0,
        last: None,
    };
    let stage = Stage::start(plan).await?;
    let mut play = Play { stage: stage.clone(), settings, ledger, took: Vec::new(), minority: 0 };
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let mut late = 0;
    let first = play.successor(0, 4 * limit).await;
    let (mut who, mut term) = first.unwrap_or_default();
    for turn in 0..if options.short { 5 } else { 24 } {
        if first.is_none() {
            break;
        }
        let (begun, old) = (stage.farm.clock.now(), play.ledger.last.clone());
        match (turn + options.seed) % 4 {
            0 => stage.gateways.borrow_mut()[who as usize].kill(),
            1 => stage.gateways.borrow()[who as usize].signal("STOP"),
            // One way, from it to all the others.
            2 => stage.paths.cut.borrow_mut().extend((0..GATEWAYS).map(|to| (who as usize, to))),
            _ => {
                let both = (0..GATEWAYS).flat_map(|other| [(who as usize, other), (other, who as usize)]);
                stage.paths.cut.borrow_mut().extend(both);
            }
        }
        if planted("deserted") {
            ACCEPTORS.iter().for_each(|place| stage.gateways.borrow_mut()[*place as usize].kill());
        }
        let next = play.successor(term, limit).await;
        play.took.push(stage.farm.clock.now() - begun);
        late += u64::from(next.is_none());
        // Those cut off may say what they like: under their old term nothing of it is taken.
        let before = play.ledger.taken.len();
        play.read(rng.random_range(100_000..600_000)).await;
        play.minority +=
            play.ledger.taken[before..].iter().filter(|(_, from, _)| next.is_some() && *from == who).count()
                as u64;
        stage.paths.cut.borrow_mut().clear();
        stage.gateways.borrow()[who as usize].signal("CONT");
        if stage.gateways.borrow()[who as usize].id().is_none() {
            stage.gateways.borrow_mut()[who as usize].start(&stage.tier, options.seed + turn)?;
        }
        if planted("fenceless") {
            let words = old.into_iter().filter(|_| next.is_some());
            words.for_each(|word| play.ledger.hear(stage.farm.clock.now(), who, word));
        }
        if let (true, Some((owner, term))) = (planted("impostor"), play.ledger.owner()) {
            let word = Message::Notification {
                role: DISCOVERY,
                term,
                notification: Notification::LeaseHeld { remaining: 1 },
            };
            play.ledger.hear(stage.farm.clock.now(), (owner + 1) % GATEWAYS as u16, word);
        }
        (who, term) = next.or(play.ledger.owner()).unwrap_or_default();
        // An elector that was killed is silent for a lease: with another one gone there would be no majority.
        play.read(play.settings.startup_silence() + 300_000).await;
        (who, term) = play.ledger.owner().unwrap_or((who, term));
    }
    stage.stop().await;
    Ok(judge(options, &play, first.is_some(), late, limit))
}

fn judge(options: &Options, play: &Play, owned: bool, late: u64, limit: Time) -> Verdict {
    let mut verdict = Verdict::new("ownership", options.seed);
    let Ledger { faults, taken, turned, odd, .. } = &play.ledger;
    verdict.promise("somebody comes to own the role", owned);
    verdict
        .promise("no two owners whose effects are taken, and no older term after a newer", faults.is_empty());
    verdict.promise(format!("a new owner within {} ms of the last one's end", limit / 1000), late == 0);
    verdict.promise(
        "nothing is taken from the side that was cut off, once there is a new owner",
        play.minority == 0,
    );
    let mut took: Vec<Time> = play.took.iter().map(|took| took / 1000).collect();
    took.sort_unstable();
    for (place, took) in took.iter().enumerate() {
        verdict.bar("take-overs, from the shortest (ms)", "ms", &place.to_string(), *took as f64);
    }
    verdict.figures = json!({
        "takeovers": took.len(), "median_ms": took.get(took.len() / 2), "longest_ms": took.last(),
        "limit_ms": limit / 1000, "late": late, "words_taken": taken.len(), "words_turned": turned,
        "altered": odd, "faults": faults, "from_the_cut_side": play.minority,
    });
    verdict
}
