//! A simulation with an oracle that detects stale reads. It has instances whose clocks differ, lost
//! datagrams, restarts, clients with and without tokens, and replicas whose data are as old as the minimum
//! position of a read allows.
#![allow(dead_code)]

use petrelgauge_policy::{Role, Time};
use petrelgauge_sessions::*;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

pub const MS: Time = 1_000;
pub const GROUP: u64 = 2;

/// Parameters of a simulation run.
#[derive(Clone)]
pub struct Scenario {
    pub settings: Settings,
    pub instances: u16,
    pub loss_probability: f64,
    pub restart_probability: f64,
    /// Whether clients return their tokens.
    pub tokens: bool,
    pub steps: usize,
    pub fault: InjectedFault,
}

/// An injected fault that the oracle must detect.
#[derive(Clone, Copy, PartialEq)]
pub enum InjectedFault {
    None,
    /// A restarted instance ignores that watermarks were lost.
    WatermarkLossIgnored,
    /// An old snapshot is restored as if it had been taken at a clean shutdown.
    SnapshotAgeIgnored,
    /// The watermark of a token is replaced by an empty one, as in a forged token.
    TokenWatermarkIgnored,
    /// A broadcast claims to cover the whole time since its instance started.
    BroadcastGapIgnored,
    /// Watermarks are replaced by lower ones from a snapshot instead of being joined with them.
    SnapshotReplacesWatermarks,
}

/// The true positions that a session has seen, as recorded by the oracle.
#[derive(Clone, Copy, Default)]
struct SeenPositions {
    written: Time,
    read: Time,
}

/// A read that is waiting for its answer.
struct Read {
    answered_at: Time,
    instance_index: usize,
    restart_count: u32,
    name: u64,
    key: SessionKey,
    minimum: MinimumPosition,
    /// The tokens sent with the request.
    request_tokens: Vec<String>,
    /// What the session had seen when the read arrived.
    seen_at_arrival: SeenPositions,
}

struct Instance {
    restart_count: u32,
    tracker: SessionTracker,
    /// How far the clock of the instance is ahead.
    clock_offset: Time,
    last_running_snapshot: Option<Snapshot>,
}

/// Counters of a simulation run.
#[derive(Debug, Default, PartialEq)]
pub struct Findings {
    pub reads: usize,
    /// Accepted answers that were older than what their session had seen.
    pub stale: usize,
    /// Reads for which the answer of a replica was accepted.
    pub by_replicas: usize,
    /// Of these, reads whose minimum position came from the broadcasts of other instances.
    pub by_replicas_via_broadcasts: usize,
    /// Answers of the current primary that were rejected.
    pub primary_unproven: usize,
    /// Accepted answers of a deposed primary that were older than what their session had seen.
    pub deposed_primary_stale: usize,
}

pub fn settings(instances: u16, instance: u16) -> Settings {
    Settings {
        instances,
        instance,
        exact_sessions: 64,
        sketch_width: 64,
        broadcast_interval: 20 * MS,
        secret: 99,
        ..Settings::default()
    }
}

pub fn run(scenario: &Scenario, seed: u64) -> Findings {
    let mut simulation = Simulation::new(scenario, seed);
    for _ in 0..scenario.steps {
        simulation.step();
    }
    simulation.findings
}

/// A datagram in flight.
struct Datagram {
    arrives_at: Time,
    to: usize,
    bytes: Vec<u8>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: Pcg64Mcg,
    now: Time,
    instances: Vec<Instance>,
    seen_by_session: BTreeMap<u64, SeenPositions>,
    tokens: BTreeMap<u64, Vec<String>>,
    in_flight: Vec<Datagram>,
    open_reads: Vec<Read>,
    findings: Findings,
}

impl Simulation<'_> {
    fn new(scenario: &Scenario, seed: u64) -> Simulation<'_> {
        let mut rng = Pcg64Mcg::new(u128::from(seed) * 2 + 1);
        let error = scenario.settings.clock_error;
        let now: Time = 1_000_000_000;
        let instances = (0..scenario.instances).map(|instance| {
            let clock_offset = if error > 0 { rng.random_range(0..=error) } else { 0 };
            let settings = Settings { instance, ..scenario.settings.clone() };
            let tracker = SessionTracker::new(settings, now + clock_offset).expect("valid settings");
            Instance { restart_count: 0, tracker, clock_offset, last_running_snapshot: None }
        });
        let instances = instances.collect();
        Simulation {
            scenario,
            rng,
            now,
            instances,
            seen_by_session: BTreeMap::new(),
            tokens: BTreeMap::new(),
            in_flight: Vec::new(),
            open_reads: Vec::new(),
            findings: Findings::default(),
        }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(100..4 * MS);
        self.send_broadcasts();
        self.deliver_broadcasts();
        self.answer_due_reads();
        if self.rng.random_bool(self.scenario.restart_probability) {
            let instance_index = self.rng.random_range(0..self.instances.len());
            let settings = Settings { instance: instance_index as u16, ..self.scenario.settings.clone() };
            restart(
                &mut self.instances[instance_index],
                settings,
                self.now,
                self.scenario.fault,
                &mut self.rng,
            );
        }
        self.request();
    }

    fn send_broadcasts(&mut self) {
        let secret = self.scenario.settings.secret;
        for instance_index in 0..self.instances.len() {
            let local_now = self.now + self.instances[instance_index].clock_offset;
            for bytes in self.instances[instance_index].tracker.due_broadcasts(local_now) {
                let bytes = match WatermarkBroadcast::decode(&bytes, secret) {
                    Ok(sent) if self.scenario.fault == InjectedFault::BroadcastGapIgnored => {
                        WatermarkBroadcast { from: sent.sender.epoch, ..sent }.encode(secret)
                    }
                    _ => bytes,
                };
                for other in (0..self.instances.len()).filter(|other| *other != instance_index) {
                    self.send_datagram(other, &bytes);
                }
            }
        }
    }

    /// Sends a datagram over a network that loses, duplicates and delays datagrams.
    fn send_datagram(&mut self, to: usize, bytes: &[u8]) {
        for _ in 0..1 + usize::from(self.rng.random_bool(0.1)) {
            if !self.rng.random_bool(self.scenario.loss_probability) {
                let max_delay = if self.rng.random_bool(0.05) { 300 * MS } else { 11 * MS };
                let arrives_at = self.now + self.rng.random_range(1_300..max_delay);
                self.in_flight.push(Datagram { arrives_at, to, bytes: bytes.to_vec() });
            }
        }
    }

    fn deliver_broadcasts(&mut self) {
        let (now, instances) = (self.now, &mut self.instances);
        self.in_flight.retain(|datagram| {
            let has_arrived = datagram.arrives_at <= now;
            if has_arrived {
                let instance = &mut instances[datagram.to];
                let _ = instance.tracker.receive(now + instance.clock_offset, &datagram.bytes);
            }
            !has_arrived
        });
    }

    fn answer_due_reads(&mut self) {
        while let Some(at) = self.open_reads.iter().position(|read| read.answered_at <= self.now) {
            let read = self.open_reads.swap_remove(at);
            let instance = &mut self.instances[read.instance_index];
            // A restart drops the requests that were in flight.
            if instance.restart_count != read.restart_count {
                continue;
            }
            let local_now = self.now + instance.clock_offset;
            let (tracker, offset) = (&mut instance.tracker, instance.clock_offset);
            let served_position = serve(tracker, &read, self.now, offset, &mut self.rng, &mut self.findings);
            let known = self.seen_by_session.entry(read.name).or_default();
            if self.scenario.settings.guarantee == SessionGuarantee::ReadYourWritesAndMonotonicReads {
                known.read = known.read.max(served_position);
            }
            replace_tokens(
                &mut self.tokens,
                read.name,
                &read.request_tokens,
                tracker.issue_token(local_now, read.key),
            );
        }
    }

    /// Sends a request of a random session: a write, or a read that is answered later.
    fn request(&mut self) {
        let name = self.rng.random_range(0..200u64).min(self.rng.random_range(0..200));
        // Without roaming, a session always uses the same instance.
        let instance_index = if self.scenario.settings.roams {
            self.rng.random_range(0..self.instances.len())
        } else {
            name as usize % self.instances.len()
        };
        let instance = &mut self.instances[instance_index];
        let local_now = self.now + instance.clock_offset;
        let key = instance.tracker.session_key(GROUP, &name.to_string());
        let request_tokens = match self.scenario.tokens {
            true => self.tokens.get(&name).cloned().unwrap_or_default(),
            false => Vec::new(),
        };
        let parsed = request_tokens
            .iter()
            .map(|text| instance.tracker.parse_token(local_now, text, key).expect("a valid token"));
        let token = parsed.reduce(Token::join).map(|token| match self.scenario.fault {
            InjectedFault::TokenWatermarkIgnored => Token { watermark: Watermark::NONE, ..token },
            _ => token,
        });
        if self.rng.random_bool(0.3) {
            self.write(name, instance_index, key, token.as_ref(), &request_tokens);
        } else {
            self.findings.reads += 1;
            let minimum = instance.tracker.begin_read(local_now, key, token.as_ref());
            let answered_at = self.now + self.rng.random_range(10..90 * MS);
            let (restart_count, seen_at_arrival) =
                (instance.restart_count, *self.seen_by_session.entry(name).or_default());
            self.open_reads.push(Read {
                answered_at,
                instance_index,
                restart_count,
                name,
                key,
                minimum,
                request_tokens,
                seen_at_arrival,
            });
        }
    }

    fn write(
        &mut self,
        name: u64,
        instance_index: usize,
        key: SessionKey,
        token: Option<&Token>,
        request_tokens: &[String],
    ) {
        let Instance { tracker, clock_offset, .. } = &mut self.instances[instance_index];
        let (commit, local_now) = (self.now, self.now + *clock_offset);
        if let Some(token) = token {
            tracker.merge_token(local_now, key, token);
        }
        self.now += self.rng.random_range(10..2 * MS);
        let answered = self.now + *clock_offset;
        if self.rng.random_bool(0.1) {
            tracker.record_unconfirmed_write(answered, key);
            return;
        }
        let reported = (commit + MS - 1) / MS * MS;
        tracker.record_write(answered, key, local_now, Some(reported));
        let known = self.seen_by_session.entry(name).or_default();
        known.written = known.written.max(commit);
        replace_tokens(&mut self.tokens, name, request_tokens, tracker.issue_token(answered, key));
    }
}

/// Replaces the tokens sent with a request by the token of its answer.
fn replace_tokens(
    tokens: &mut BTreeMap<u64, Vec<String>>,
    name: u64,
    request_tokens: &[String],
    token: Option<String>,
) {
    let known = tokens.entry(name).or_default();
    known.retain(|text| !request_tokens.contains(text));
    known.extend(token);
}

/// What a host that has reached `position` reports. Hosts report whole milliseconds.
fn evidence(position: Time, role: Role) -> AnswerEvidence {
    AnswerEvidence { position: Some(position / MS * MS), position_at_send: None, role: Some(role) }
}

/// Answers a read from a lagging replica, or from the primary if the answer of the replica is not proven.
/// Returns the position of the data.
fn serve(
    tracker: &mut SessionTracker,
    read: &Read,
    now: Time,
    clock_offset: Time,
    rng: &mut Pcg64Mcg,
    findings: &mut Findings,
) -> Time {
    let Read { key, seen_at_arrival, .. } = read;
    let minimum = tracker.recheck_read(now + clock_offset, *key, &read.minimum).unwrap_or(read.minimum);
    // With probability 0.5 the replica has just reached the minimum position; otherwise its lag is random.
    let required = ((minimum.position() + MS - 1) / MS * MS).clamp(now - 3_000 * MS, now);
    let position = if rng.random_bool(0.5) { required } else { now - rng.random_range(0..80 * MS) };
    let is_stale = |position: Time| position < seen_at_arrival.written || position < seen_at_arrival.read;
    // After a primary is deposed, no primary accepts writes for 300 ms.
    let deposed_at = now - rng.random_range(1_000 * MS..4_000 * MS);
    let verify_primary = |tracker: &mut SessionTracker, position: Time| {
        tracker.verify_answer(&minimum, &evidence(position, Role::Primary))
    };
    findings.deposed_primary_stale += usize::from(
        verify_primary(tracker, deposed_at) == Verdict::Proven && is_stale(deposed_at + 300 * MS),
    );
    let is_replica_proven =
        tracker.verify_answer(&minimum, &evidence(position, Role::Replica)) == Verdict::Proven;
    findings.by_replicas += usize::from(is_replica_proven);
    findings.by_replicas_via_broadcasts +=
        usize::from(is_replica_proven && minimum.source == PositionSource::Peers);
    if !is_replica_proven {
        findings.primary_unproven += usize::from(verify_primary(tracker, now) == Verdict::Unproven);
    }
    let served_position = if is_replica_proven { position } else { now };
    findings.stale += usize::from(is_stale(served_position));
    tracker.record_read(now + clock_offset, *key, &minimum, served_position / MS * MS);
    served_position
}

fn restart(instance: &mut Instance, settings: Settings, now: Time, fault: InjectedFault, rng: &mut Pcg64Mcg) {
    let local_now = now + instance.clock_offset;
    instance.restart_count += 1;
    if fault == InjectedFault::WatermarkLossIgnored {
        instance.tracker = SessionTracker::new(settings, 0).expect("valid settings");
        return;
    }
    let is_clean = rng.random_bool(0.3);
    let kind = if is_clean { SnapshotKind::CleanShutdown } else { SnapshotKind::Running };
    let latest = instance.tracker.snapshot(local_now, kind);
    let snapshot = match (is_clean, instance.last_running_snapshot.take()) {
        (true, _) => latest.clone(),
        (false, Some(old)) => old,
        (false, None) => Snapshot::default(),
    };
    let snapshot = match fault {
        InjectedFault::SnapshotAgeIgnored => Snapshot { kind: SnapshotKind::CleanShutdown, ..snapshot },
        InjectedFault::SnapshotReplacesWatermarks => {
            let lower = |(key, entry): (SessionKey, SessionEntry)| {
                (key, SessionEntry { watermark: Watermark::NONE, ..entry })
            };
            let entries = latest.entries.iter().copied().map(lower).collect();
            Snapshot { kind: SnapshotKind::CleanShutdown, entries, ..latest }
        }
        _ => snapshot,
    };
    instance.tracker = SessionTracker::restore(settings, local_now, &snapshot).expect("valid settings");
    instance.last_running_snapshot = Some(Snapshot { kind: SnapshotKind::Running, ..latest });
}
