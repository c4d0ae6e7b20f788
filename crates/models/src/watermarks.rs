//! Model `marks`: one session that writes and reads through two instances which broadcast its watermarks to each other; messages
//! are lost, late and out of order, and one instance restarts without a snapshot. The trackers are the gateway's.

use crate::check::{check, Report, World};
use crate::Size;
use petrelgauge_policy::{Role, Time};
use petrelgauge_sessions::{
    AnswerEvidence, MinimumPosition, Promise, SessionKey, SessionTracker, Settings, Verdict,
};

const START: Time = 1_000_000_000;
/// Time that each event takes.
const STEP: Time = 10_000;
const BROADCAST_INTERVAL: Time = 20_000;
const GROUP: u64 = 2;

const LOW: &str = "no read is answered from data below its session's watermark";
const LET: &str = "the true primary's answer is never held back";

/// An event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Move {
    /// The session writes at this instance.
    Writes(usize),
    /// It reads at this instance.
    Reads(usize),
    /// The read is answered from the oldest data that passes, of data this many steps old at most.
    Answered,
    /// An instance broadcasts its watermarks.
    Broadcasts(usize),
    /// A datagram arrives.
    Arrives(usize),
    /// A datagram is lost.
    Lost(usize),
    /// An instance restarts and knows nothing.
    Restarts(usize),
}

#[derive(Clone, Debug)]
struct Pair {
    now: Time,
    trackers: [SessionTracker; 2],
    key: SessionKey,
    /// What the session has seen: its last commit, and the newest data that it saw.
    written: Time,
    saw: Time,
    reading: Option<(usize, MinimumPosition, Time, Time)>,
    /// Datagrams on their way to an instance.
    flying: Vec<(usize, Vec<u8>)>,
    events: usize,
    most: usize,
    restarts: usize,
    broken: Option<&'static str>,
}

fn settings(instance: u16) -> Settings {
    Settings {
        promise: Promise::WritesAndReads,
        instances: 2,
        instance,
        tokens: false,
        exact_sessions: 2,
        sketch_width: 2,
        broadcast_interval: BROADCAST_INTERVAL,
        secret: 3,
        ..Settings::default()
    }
}

fn tracker(instance: usize, now: Time) -> SessionTracker {
    let made = SessionTracker::new(settings(instance as u16), now);
    let mut tracker = made.unwrap_or_else(|cause| unreachable!("constant settings: {cause}"));
    tracker.track_group(GROUP);
    tracker
}

/// What a host of this role reports with an answer.
fn evidence(position: Time, role: Role) -> AnswerEvidence {
    AnswerEvidence { position: Some(position), position_at_send: None, role: Some(role) }
}

impl World for Pair {
    type Move = Move;

    const PROPERTIES: &'static [&'static str] = &[LOW, LET];

    fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        if self.events >= self.most {
            return moves;
        }
        if self.reading.is_some() {
            moves.push(Move::Answered);
        } else {
            moves.extend((0..2).flat_map(|place| [Move::Writes(place), Move::Reads(place)]));
        }
        let due =
            |place: &usize| self.trackers[*place].next_broadcast_at().is_some_and(|due| self.now >= due);
        if self.flying.len() < 3 {
            moves.extend((0..2).filter(due).map(Move::Broadcasts));
        }
        moves.extend((0..self.flying.len()).flat_map(|place| [Move::Arrives(place), Move::Lost(place)]));
        if self.restarts > 0 {
            moves.extend((0..2).map(Move::Restarts));
        }
        moves
    }

    fn play(&mut self, event: &Move) {
        self.events += 1;
        self.now += STEP;
        let (now, key) = (self.now, self.key);
        match *event {
            Move::Writes(place) => {
                let commit = now - STEP / 2;
                self.trackers[place].record_write(now, key, now - STEP, Some(commit));
                self.written = commit;
            }
            Move::Reads(place) => {
                let floor = self.trackers[place].begin_read(now, key, None);
                self.reading = Some((place, floor, self.written, self.saw));
            }
            Move::Answered => {
                let Some((place, floor, written, saw)) = self.reading.take() else { return };
                let floor = self.trackers[place].recheck_read(now, key, &floor).unwrap_or(floor);
                let tracker = &mut self.trackers[place];
                // The oldest data that a replica can show and that is let pass.
                let ages = (0..30).rev().map(|steps| now - steps * STEP / 2);
                let mut shown = None;
                for position in ages {
                    if tracker.verify_answer(&floor, &evidence(position, Role::Replica)) == Verdict::Proven {
                        shown = Some(position);
                        break;
                    }
                }
                if tracker.verify_answer(&floor, &evidence(now, Role::Primary)) != Verdict::Proven {
                    self.broken = Some(LET);
                }
                let shown = shown.unwrap_or(now);
                if shown < written || shown < saw {
                    self.broken = Some(LOW);
                }
                tracker.record_read(now, key, &floor, shown);
                self.saw = self.saw.max(shown);
            }
            Move::Broadcasts(place) => {
                let broadcasts = self.trackers[place].due_broadcasts(now);
                self.flying.extend(broadcasts.into_iter().map(|bytes| (1 - place, bytes)));
            }
            Move::Arrives(place) => {
                let (to, bytes) = self.flying.remove(place);
                if self.trackers[to].receive(now, &bytes).is_err() {
                    self.broken = Some(LET);
                }
            }
            Move::Lost(place) => drop(self.flying.remove(place)),
            Move::Restarts(place) => {
                self.restarts -= 1;
                self.trackers[place] = tracker(place, now);
                // A read that it had is gone with it.
                self.reading = self.reading.filter(|(at, ..)| *at != place);
            }
        }
    }

    fn told(&self, event: &Move) -> String {
        let at = (self.now - START) / 1000;
        let name = |place: &usize| ["the first gateway", "the second gateway"][*place];
        let what = match event {
            Move::Writes(place) => format!("the session pays at {}", name(place)),
            Move::Reads(place) => format!("the session reads at {}", name(place)),
            Move::Answered => "the read is answered from the oldest data that passes".into(),
            Move::Broadcasts(place) => format!("{} broadcasts its watermarks", name(place)),
            Move::Arrives(place) => format!("a datagram arrives at {}", name(&self.flying[*place].0)),
            Move::Lost(place) => format!("a datagram to {} is lost", name(&self.flying[*place].0)),
            Move::Restarts(place) => format!("{} restarts and knows nothing", name(place)),
        };
        format!("after {at} ms {what}")
    }

    fn broken(&self) -> Option<&'static str> {
        self.broken
    }
}

/// Plays it.
pub fn run(size: Size, path: &[String]) -> Report {
    let trackers = [tracker(0, START), tracker(1, START)];
    let start = Pair {
        now: START + 100 * STEP,
        key: trackers[0].session_key(GROUP, "one"),
        trackers,
        written: 0,
        saw: 0,
        reading: None,
        flying: Vec::new(),
        events: 0,
        most: if size == Size::Small { 7 } else { 8 },
        restarts: 1,
        broken: None,
    };
    check(start, path)
}
