//! A tier of many instances with roaming sessions and a wave of restarts: no read may be stale, and replicas
//! must serve nearly as many reads as an oracle would send them.

use super::{nanoseconds_each, share, MILLISECOND, SECRET, START};
use crate::report::Verdict;
use crate::Options;
use petrelgauge::{Role, Time};
use petrelgauge_sessions::{AnswerEvidence, SessionKey, SessionTracker, Settings, Token, Watermark};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::time::Instant;

const SECOND: Time = 1_000_000;
/// Number of sessions that are active at a time.
const ACTIVE_SESSIONS: usize = 200_000;
/// Number of sessions overall.
const SESSION_NAMES: u64 = 10_000_000;
/// Number of requests after which one active session is replaced by another.
const REQUESTS_PER_CHANGE: u64 = 5;
/// Share of requests that go to another instance than the session's usual one.
const ROAMING_SHARE: f64 = 0.2;
/// Number of groups.
const GROUPS: u64 = 16;
/// Clients that carry no token (percent).
const WITHOUT_TOKEN_PERCENT: u64 = 3;
/// Share of writes among the requests.
const WRITE_SHARE: f64 = 0.26;
/// Lag of the replicas (microseconds).
const REPLICA_LAG: Time = 15 * MILLISECOND;
/// Time from the arrival of a write to its commit (microseconds).
const COMMIT_TIME: Time = MILLISECOND;
/// Time from the arrival of a write to its answer (microseconds).
const WRITE_TIME: Time = 2 * MILLISECOND;
/// Time from the arrival of a read to its answer (microseconds).
const READ_TIME: Time = MILLISECOND;
/// Duration of a restart (microseconds).
const DOWNTIME: Time = 300 * MILLISECOND;
/// Instances that restart in the wave (percent).
const RESTARTED_PERCENT: Time = 86;
/// Maximum duration of the wave (microseconds).
const MAX_WAVE: Time = 8_900_000;
/// The wave begins after 1 / `WAVE_DIVISOR` of the run, and lasts at most as long.
const WAVE_DIVISOR: Time = 3;
/// Keeps the random numbers apart from those of other parts of the experiment.
const SEED_MASK: u64 = 0x7134;
/// Minimum ratio of reads at replicas to those that an oracle would send there.
const MIN_REPLICA_RATIO: f64 = 0.8;

/// The size of a tier.
#[derive(Clone, Copy)]
pub(super) struct TierSize {
    pub(super) instances: usize,
    pub(super) requests_per_second: u64,
    pub(super) seconds: u64,
}

/// One instance of the tier.
struct Instance {
    tracker: SessionTracker,
    /// It rejects requests until then.
    down_until: Time,
}

/// What a session has really seen.
#[derive(Default)]
struct SessionTruth {
    /// The newest commit that it has seen.
    seen: Time,
    /// Its newest token.
    token: Option<Token>,
}

/// A wave of restarts.
struct RestartWave {
    begins_at: Time,
    duration: Time,
}

impl RestartWave {
    fn new(size: TierSize) -> RestartWave {
        let third = size.seconds as Time * SECOND / WAVE_DIVISOR;
        RestartWave { begins_at: START + third, duration: third.min(MAX_WAVE) }
    }

    /// Number of instances that have restarted by now.
    fn restarted_count(&self, now: Time, instances: usize) -> usize {
        let elapsed = (now - self.begins_at).clamp(0, self.duration);
        let all = instances as Time * RESTARTED_PERCENT / 100;
        (elapsed * all / self.duration) as usize
    }

    fn is_over(&self, now: Time) -> bool {
        now >= self.begins_at + self.duration
    }
}

#[derive(Default)]
struct TierCounts {
    requests: u64,
    requests_in_wave: u64,
    reads: u64,
    at_replicas: u64,
    /// Reads that an oracle would send to a replica.
    oracle: u64,
    stale: u64,
    /// Reads whose minimum position was unknown.
    unknown_minimum: u64,
}

struct Simulation {
    size: TierSize,
    settings: Settings,
    wave: RestartWave,
    rng: Pcg64Mcg,
    instances: Vec<Instance>,
    restarted: usize,
    active: Vec<u64>,
    sessions: HashMap<u64, SessionTruth>,
    /// Whether tokens lose their watermarks: an injected fault.
    zeroes_tokens: bool,
    counts: TierCounts,
}

/// Simulates and checks a tier, and returns the figures.
pub(super) fn play(verdict: &mut Verdict, options: &Options, size: TierSize) -> Value {
    let mut simulation = Simulation::new(options, size);
    let began_at = Instant::now();
    let interval = SECOND / size.requests_per_second as Time;
    for request in 0..size.requests_per_second * size.seconds {
        simulation.play_request(request, START + request as Time * interval);
    }
    let request_ns = nanoseconds_each(began_at, simulation.counts.requests);
    let Simulation { instances, counts, restarted, .. } = &simulation;
    let is_consistent = counts.stale == 0 && counts.reads > 0;
    verdict.check("tier: nothing stale, the restart wave included", is_consistent);
    let oracle_part = counts.at_replicas as f64 / counts.oracle.max(1) as f64;
    let text = "tier: replicas take at least 0.8 of what an oracle gives them";
    verdict.check(text, oracle_part >= MIN_REPLICA_RATIO);
    let most_bytes = instances.iter().map(|one| one.tracker.memory().bytes()).max().unwrap_or(0);
    let by_token: u64 = instances.iter().map(|one| one.tracker.counts().by_token).sum();
    json!({
        "instances": size.instances, "requests_a_second": size.requests_per_second, "seconds": size.seconds,
        "asked": counts.requests, "reads": counts.reads, "stale": counts.stale,
        "open_share": share(counts.unknown_minimum, counts.reads), "by_token_since_restart": by_token,
        "replica_share": share(counts.at_replicas, counts.reads),
        "oracle_share": share(counts.oracle, counts.reads),
        "restarted": restarted, "most_bytes_an_instance": most_bytes, "ns_a_request_with_the_model": request_ns,
        "requests_in_the_wave": counts.requests_in_wave,
    })
}

impl Simulation {
    fn new(options: &Options, size: TierSize) -> Simulation {
        let settings =
            Settings { secret: SECRET, exact_sessions: 16_384, sketch_width: 16_384, ..Settings::default() };
        let mut rng = Pcg64Mcg::seed_from_u64(options.seed ^ SEED_MASK);
        let instance = |_| Instance { tracker: new_tracker(&settings, START), down_until: 0 };
        Simulation {
            size,
            wave: RestartWave::new(size),
            instances: (0..size.instances).map(instance).collect(),
            restarted: 0,
            active: (0..ACTIVE_SESSIONS).map(|_| rng.random_range(0..SESSION_NAMES)).collect(),
            sessions: HashMap::new(),
            zeroes_tokens: options.injected_fault.as_deref() == Some("zeroed"),
            counts: TierCounts::default(),
            rng,
            settings,
        }
    }

    fn play_request(&mut self, request: u64, now: Time) {
        self.restart_due_instances(now);
        if request.is_multiple_of(REQUESTS_PER_CHANGE) {
            self.replace_session();
        }
        let session = self.active[self.rng.random_range(0..self.active.len())];
        let number = if self.rng.random_bool(ROAMING_SHARE) {
            self.rng.random_range(0..self.size.instances)
        } else {
            session as usize % self.size.instances
        };
        if self.instances[number].down_until > now {
            return;
        }
        self.counts.requests += 1;
        let key = self.instances[number].tracker.session_key(session % GROUPS, &session.to_string());
        let token = self.token_of_request(session, key, now);
        if self.rng.random_bool(WRITE_SHARE) {
            self.write(number, session, key, token, now);
        } else {
            self.read(number, session, key, token, now);
        }
        let is_in_wave = self.restarted > 0 && !self.wave.is_over(now);
        self.counts.requests_in_wave += u64::from(is_in_wave);
        let watermark = self.instances[number].tracker.memory().get(key).watermark;
        let token = Token { key, watermark, issued_at: now + WRITE_TIME };
        self.sessions.entry(session).or_default().token = Some(token);
    }

    fn restart_due_instances(&mut self, now: Time) {
        let due = self.wave.restarted_count(now, self.size.instances);
        while self.restarted < due {
            let up_at = now + DOWNTIME;
            let tracker = new_tracker(&self.settings, up_at);
            self.instances[self.restarted] = Instance { tracker, down_until: up_at };
            self.restarted += 1;
        }
    }

    /// Replaces one active session by another.
    fn replace_session(&mut self) {
        let index = self.rng.random_range(0..self.active.len());
        self.sessions.remove(&self.active[index]);
        self.active[index] = self.rng.random_range(0..SESSION_NAMES);
    }

    /// The token in a request of the session, if it has one.
    fn token_of_request(&mut self, session: u64, key: SessionKey, now: Time) -> Option<Token> {
        if session % 100 < WITHOUT_TOKEN_PERCENT {
            return None;
        }
        let known = self.sessions.entry(session).or_default().token;
        let token = known.unwrap_or_else(|| Token::new_session(key, now));
        let watermark = if self.zeroes_tokens { Watermark::NONE } else { token.watermark };
        Some(Token { watermark, ..token })
    }

    fn write(&mut self, number: usize, session: u64, key: SessionKey, token: Option<Token>, now: Time) {
        let tracker = &mut self.instances[number].tracker;
        if let Some(token) = &token {
            tracker.merge_token(now, key, token);
        }
        let committed_at = now + COMMIT_TIME;
        tracker.record_write(now + WRITE_TIME, key, now, Some(committed_at));
        self.sessions.entry(session).or_default().seen = committed_at;
    }

    fn read(&mut self, number: usize, session: u64, key: SessionKey, token: Option<Token>, now: Time) {
        let tracker = &mut self.instances[number].tracker;
        let truth = self.sessions.entry(session).or_default();
        let minimum = tracker.begin_read(now, key, token.as_ref());
        let replica_position = now - REPLICA_LAG;
        let evidence = AnswerEvidence {
            position: Some(replica_position),
            position_at_send: None,
            role: Some(Role::Replica),
        };
        let is_proven = tracker.verify_answer(&minimum, &evidence) == petrelgauge_sessions::Verdict::Proven;
        // A read that the replica cannot serve goes to the primary.
        let shown = if is_proven { replica_position } else { now };
        tracker.record_read(now + READ_TIME, key, &minimum, shown);
        self.counts.reads += 1;
        self.counts.unknown_minimum += u64::from(minimum.unknown_until.is_some());
        self.counts.oracle += u64::from(replica_position >= truth.seen);
        self.counts.at_replicas += u64::from(is_proven);
        // All earlier requests of the session were answered before this one arrived.
        self.counts.stale += u64::from(shown < truth.seen && truth.seen <= now);
        truth.seen = truth.seen.max(shown);
    }
}

fn new_tracker(settings: &Settings, now: Time) -> SessionTracker {
    let tracker = SessionTracker::new(settings.clone(), now);
    tracker.unwrap_or_else(|cause| unreachable!("constant settings: {cause}"))
}
