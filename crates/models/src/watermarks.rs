//! Model `marks`: one session writes and reads through two instances, which broadcast its watermarks to each
//! other. Messages are lost, late and reordered, and one instance restarts without a snapshot. The session
//! trackers are the gateway's own code.

use crate::check::{check, Report, World};
use crate::Size;
use petrelgauge_policy::{Role, Time};
use petrelgauge_sessions::{
    AnswerEvidence, MinimumPosition, SessionGuarantee, SessionKey, SessionTracker, Settings, Verdict,
};

/// Clock time at the start (microseconds).
const START: Time = 1_000_000_000;
/// Duration of each step (microseconds).
const STEP: Time = 10_000;
/// Time between two broadcasts of an instance (microseconds).
const BROADCAST_INTERVAL: Time = 20_000;
const GROUP: u64 = 2;
/// Maximum number of datagrams in flight, to keep the model small.
const MAX_IN_FLIGHT: usize = 3;
/// Maximum age of a replica's data, in half steps.
const MAX_AGE: i64 = 30;

const NO_STALE_READ: &str = "no read is answered from data below its session's watermark";
const PRIMARY_ACCEPTED: &str = "the true primary's answer is never held back";

/// A step of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The session writes at this instance.
    Writes(usize),
    /// It reads at this instance.
    Reads(usize),
    /// The read is answered from the oldest data that the session tracker accepts.
    Answered,
    /// An instance broadcasts its watermarks.
    Broadcasts(usize),
    /// A datagram arrives.
    Arrives(usize),
    /// A datagram is lost.
    Lost(usize),
    /// An instance restarts without a snapshot.
    Restarts(usize),
}

/// A read of the session that has not been answered.
#[derive(Clone, Copy, Debug)]
struct OpenRead {
    instance: usize,
    minimum: MinimumPosition,
    /// The session's last commit when the read began.
    last_commit: Time,
    /// The newest data that the session had seen when the read began.
    last_seen: Time,
}

/// A broadcast in flight.
#[derive(Clone, Debug)]
struct Datagram {
    to: usize,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug)]
struct Instances {
    now: Time,
    trackers: [SessionTracker; 2],
    key: SessionKey,
    /// Commit time of the session's last write.
    last_commit: Time,
    /// The newest data that the session has seen.
    last_seen: Time,
    read: Option<OpenRead>,
    /// Datagrams in flight.
    in_flight: Vec<Datagram>,
    steps_taken: usize,
    max_steps: usize,
    restarts_left: usize,
    violated: Option<&'static str>,
}

fn settings(instance: u16) -> Settings {
    Settings {
        guarantee: SessionGuarantee::ReadYourWritesAndMonotonicReads,
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
    let new = SessionTracker::new(settings(instance as u16), now);
    let mut tracker = new.unwrap_or_else(|cause| unreachable!("constant settings: {cause}"));
    tracker.track_group(GROUP);
    tracker
}

/// What a host of this role reports with an answer.
fn evidence(position: Time, role: Role) -> AnswerEvidence {
    AnswerEvidence { position: Some(position), position_at_send: None, role: Some(role) }
}

impl Instances {
    /// Answers the open read from the oldest data that the session tracker accepts, or from the primary.
    fn answer(&mut self) {
        let Some(OpenRead { instance, minimum, last_commit, last_seen }) = self.read.take() else { return };
        let (now, key) = (self.now, self.key);
        let tracker = &mut self.trackers[instance];
        let minimum = tracker.recheck_read(now, key, &minimum).unwrap_or(minimum);
        let mut accepts =
            |position, role| tracker.verify_answer(&minimum, &evidence(position, role)) == Verdict::Proven;
        let mut positions = (0..MAX_AGE).rev().map(|age| now - age * STEP / 2);
        let replica = positions.find(|position| accepts(*position, Role::Replica));
        if !accepts(now, Role::Primary) {
            self.violated = Some(PRIMARY_ACCEPTED);
        }
        let seen = replica.unwrap_or(now);
        if seen < last_commit || seen < last_seen {
            self.violated = Some(NO_STALE_READ);
        }
        tracker.record_read(now, key, &minimum, seen);
        self.last_seen = self.last_seen.max(seen);
    }
}

impl World for Instances {
    type Step = Step;

    const PROPERTIES: &'static [&'static str] = &[NO_STALE_READ, PRIMARY_ACCEPTED];

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.steps_taken >= self.max_steps {
            return steps;
        }
        if self.read.is_some() {
            steps.push(Step::Answered);
        } else {
            steps.extend((0..2).flat_map(|instance| [Step::Writes(instance), Step::Reads(instance)]));
        }
        let is_due = |instance: &usize| {
            self.trackers[*instance].next_broadcast_at().is_some_and(|due| self.now >= due)
        };
        if self.in_flight.len() < MAX_IN_FLIGHT {
            steps.extend((0..2).filter(is_due).map(Step::Broadcasts));
        }
        let datagrams = 0..self.in_flight.len();
        steps.extend(datagrams.flat_map(|index| [Step::Arrives(index), Step::Lost(index)]));
        if self.restarts_left > 0 {
            steps.extend((0..2).map(Step::Restarts));
        }
        steps
    }

    fn apply(&mut self, step: &Step) {
        self.steps_taken += 1;
        self.now += STEP;
        let (now, key) = (self.now, self.key);
        match *step {
            Step::Writes(instance) => {
                let commit = now - STEP / 2;
                self.trackers[instance].record_write(now, key, now - STEP, Some(commit));
                self.last_commit = commit;
            }
            Step::Reads(instance) => {
                let minimum = self.trackers[instance].begin_read(now, key, None);
                let (last_commit, last_seen) = (self.last_commit, self.last_seen);
                self.read = Some(OpenRead { instance, minimum, last_commit, last_seen });
            }
            Step::Answered => self.answer(),
            Step::Broadcasts(instance) => {
                let broadcasts = self.trackers[instance].due_broadcasts(now);
                let to = 1 - instance;
                self.in_flight.extend(broadcasts.into_iter().map(|bytes| Datagram { to, bytes }));
            }
            Step::Arrives(index) => {
                let Datagram { to, bytes } = self.in_flight.remove(index);
                if self.trackers[to].receive(now, &bytes).is_err() {
                    self.violated = Some(PRIMARY_ACCEPTED);
                }
            }
            Step::Lost(index) => drop(self.in_flight.remove(index)),
            Step::Restarts(instance) => {
                self.restarts_left -= 1;
                self.trackers[instance] = tracker(instance, now);
                // The open read of a restarted instance is lost.
                self.read = self.read.filter(|read| read.instance != instance);
            }
        }
    }

    fn describe(&self, step: &Step) -> String {
        let at = (self.now - START) / 1000;
        let name = |instance: &usize| ["the first gateway", "the second gateway"][*instance];
        let what = match step {
            Step::Writes(instance) => format!("the session writes at {}", name(instance)),
            Step::Reads(instance) => format!("the session reads at {}", name(instance)),
            Step::Answered => "the read is answered from the oldest data that the tracker accepts".into(),
            Step::Broadcasts(instance) => format!("{} broadcasts its watermarks", name(instance)),
            Step::Arrives(index) => format!("a datagram arrives at {}", name(&self.in_flight[*index].to)),
            Step::Lost(index) => format!("a datagram to {} is lost", name(&self.in_flight[*index].to)),
            Step::Restarts(instance) => format!("{} restarts without a snapshot", name(instance)),
        };
        format!("after {at} ms {what}")
    }

    fn violated(&self) -> Option<&'static str> {
        self.violated
    }
}

/// Runs the model.
pub fn run(size: Size, path: &[String]) -> Report {
    let trackers = [tracker(0, START), tracker(1, START)];
    let start = Instances {
        now: START + 100 * STEP,
        key: trackers[0].session_key(GROUP, "one"),
        trackers,
        last_commit: 0,
        last_seen: 0,
        read: None,
        in_flight: Vec::new(),
        steps_taken: 0,
        max_steps: if size == Size::Small { 7 } else { 8 },
        restarts_left: 1,
        violated: None,
    };
    check(start, path)
}
