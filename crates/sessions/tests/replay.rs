//! Regression test: seeded simulations of several instances. The digests of all outputs were recorded at
//! commit a97f0e8, so that a refactoring cannot change a token, a datagram, a decision or a counter
//! unnoticed.

use petrelgauge_policy::{Role, Time};
use petrelgauge_sessions::*;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::Xxh3;

const MS: Time = 1_000;
const STEPS: usize = 4_000;
const GROUPS: u64 = 3;
const START: Time = 1_000_000_000;

/// Digest of all outputs, in order.
#[derive(Default)]
struct Digest(Xxh3);

impl Digest {
    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as i64);
        self.0.update(bytes);
    }

    fn number(&mut self, number: i64) {
        self.0.update(&number.to_le_bytes());
    }

    fn minimum(&mut self, minimum: &MinimumPosition) {
        let source = match minimum.source {
            PositionSource::Token => 0,
            PositionSource::LocalMemory => 1,
            PositionSource::Peers => 2,
            PositionSource::Unknown => 3,
        };
        for number in [
            minimum.arrived_at,
            minimum.known,
            minimum.unknown_until.unwrap_or(-1),
            minimum.pending_write,
            minimum.position(),
            source,
        ] {
            self.number(number);
        }
    }

    fn verdict(&mut self, verdict: Verdict) {
        self.number(i64::from(verdict == Verdict::Proven));
    }

    fn snapshot(&mut self, snapshot: &Snapshot) {
        let is_clean = snapshot.kind == SnapshotKind::CleanShutdown;
        for number in [snapshot.taken_at, i64::from(is_clean), snapshot.lost_until, snapshot.omitted_bound] {
            self.number(number);
        }
        for (key, entry) in &snapshot.entries {
            for number in [
                key.group as i64,
                key.name_hash as i64,
                entry.watermark.written,
                entry.watermark.read,
                entry.complete_until,
            ] {
                self.number(number);
            }
        }
    }

    fn counts(&mut self, tracker: &SessionTracker) {
        let counts = tracker.counts();
        let numbers = [
            counts.by_token,
            counts.by_memory,
            counts.by_peers,
            counts.unknown,
            counts.lowered,
            counts.unproven,
            counts.expired_tokens,
            counts.future_tokens,
            counts.broadcasts_sent,
            counts.broadcasts_received,
            counts.broadcasts_rejected,
            tracker.closed_gaps(),
            tracker.peer_range_count() as u64,
            tracker.memory().evicted(),
            tracker.memory().len() as u64,
        ];
        numbers.iter().for_each(|number| self.number(*number as i64));
    }
}

/// A datagram in flight.
struct Datagram {
    arrives_at: Time,
    to: usize,
    bytes: Vec<u8>,
}

/// A read that is waiting for its answer.
struct OpenRead {
    instance_index: usize,
    key: SessionKey,
    minimum: MinimumPosition,
}

struct Simulation {
    rng: Pcg64Mcg,
    now: Time,
    settings: Settings,
    instances: Vec<SessionTracker>,
    datagrams: Vec<Datagram>,
    tokens: Vec<String>,
    open_reads: Vec<OpenRead>,
    digest: Digest,
}

impl Simulation {
    fn new(settings: Settings, seed: u64) -> Simulation {
        let instances = (0..settings.instances.max(2))
            .map(|instance| {
                SessionTracker::new(Settings { instance, ..settings.clone() }, START).expect("valid settings")
            })
            .collect();
        Simulation {
            rng: Pcg64Mcg::new(u128::from(seed) * 2 + 1),
            now: START,
            settings,
            instances,
            datagrams: Vec::new(),
            tokens: Vec::new(),
            open_reads: Vec::new(),
            digest: Digest::default(),
        }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(50..3 * MS);
        self.exchange_broadcasts();
        let instance_index = self.rng.random_range(0..self.instances.len());
        match self.rng.random_range(0..100) {
            0..30 => self.write(instance_index),
            30..65 => self.read(instance_index),
            65..95 => self.answer_random_read(),
            95..97 => self.receive_garbage(instance_index),
            97..99 => self.track_random_group(instance_index),
            _ => self.restart(instance_index),
        }
    }

    /// Sends due broadcasts with loss, delay and duplication, and delivers the datagrams that have arrived.
    fn exchange_broadcasts(&mut self) {
        for from in 0..self.instances.len() {
            for bytes in self.instances[from].due_broadcasts(self.now) {
                self.digest.bytes(&bytes);
                for to in (0..self.instances.len()).filter(|to| *to != from) {
                    for _ in 0..self.rng.random_range(0..3) {
                        let arrives_at = self.now + self.rng.random_range(MS..60 * MS);
                        self.datagrams.push(Datagram { arrives_at, to, bytes: bytes.clone() });
                    }
                }
            }
        }
        let now = self.now;
        let (arrived, in_flight): (Vec<_>, Vec<_>) =
            self.datagrams.drain(..).partition(|datagram| datagram.arrives_at <= now);
        self.datagrams = in_flight;
        for datagram in arrived {
            let received = self.instances[datagram.to].receive(self.now, &datagram.bytes);
            self.digest.number(i64::from(received.is_ok()));
        }
    }

    fn random_key(&mut self, instance_index: usize) -> SessionKey {
        let group = self.rng.random_range(0..GROUPS);
        let session = self.rng.random_range(0..90u32).to_string();
        self.instances[instance_index].session_key(group, &session)
    }

    /// The parsed token of a request, if it has a valid one. Usually this is the newest token of its session,
    /// sometimes one of another session, which is rejected.
    fn request_token(&mut self, instance_index: usize, key: SessionKey) -> Option<Token> {
        let newest = self
            .tokens
            .iter()
            .rev()
            .take(200)
            .find(|text| Token::decode(text, self.settings.secret).is_ok_and(|token| token.key == key));
        let text = match self.rng.random_range(0..10) {
            0 => Some(NEW_SESSION.to_string()),
            1 => self.tokens.first().cloned(),
            2..8 => newest.cloned(),
            _ => None,
        }?;
        let parsed = self.instances[instance_index].parse_token(self.now, &text, key);
        self.digest.number(i64::from(parsed.is_ok()));
        parsed.ok()
    }

    fn write(&mut self, instance_index: usize) {
        let key = self.random_key(instance_index);
        if let Some(token) = self.request_token(instance_index, key) {
            let watermark = self.instances[instance_index].merge_token(self.now, key, &token);
            self.digest.number(watermark.written);
            self.digest.number(watermark.read);
        }
        let arrived = self.now;
        self.now += self.rng.random_range(10..MS);
        match self.rng.random_range(0..10) {
            0 => self.instances[instance_index].record_unconfirmed_write(self.now, key),
            1 => self.instances[instance_index].record_write(self.now, key, arrived, None),
            _ => self.instances[instance_index].record_write(self.now, key, arrived, Some(self.now - 5)),
        }
        self.issue_token(instance_index, key);
    }

    fn issue_token(&mut self, instance_index: usize, key: SessionKey) {
        if let Some(token) = self.instances[instance_index].issue_token(self.now, key) {
            self.digest.bytes(token.as_bytes());
            self.tokens.push(token);
        }
    }

    fn read(&mut self, instance_index: usize) {
        let key = self.random_key(instance_index);
        let token = self.request_token(instance_index, key);
        let minimum = self.instances[instance_index].begin_read(self.now, key, token.as_ref());
        let minimum = match self.rng.random_range(0..10) {
            0 => minimum.with_pending_write(self.now - 3 * MS),
            _ => minimum,
        };
        self.digest.minimum(&minimum);
        self.open_reads.push(OpenRead { instance_index, key, minimum });
    }

    /// Answers a random open read with data of a random lag.
    fn answer_random_read(&mut self) {
        if self.open_reads.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.open_reads.len());
        let OpenRead { instance_index, key, mut minimum } = self.open_reads.swap_remove(index);
        if let Some(lower) = self.instances[instance_index].recheck_read(self.now, key, &minimum) {
            self.digest.minimum(&lower);
            minimum = lower;
        }
        let lag = self.rng.random_range(0..80 * MS);
        let position = (self.now - lag) / MS * MS;
        let position_at_send = self.rng.random_bool(0.5).then_some(position - MS);
        let tracker = &mut self.instances[instance_index];
        for role in [Some(Role::Replica), None, Some(Role::Primary)] {
            for position in [None, Some(position)] {
                let answer = AnswerEvidence { position, position_at_send, role };
                self.digest.verdict(tracker.verify_answer(&minimum, &answer));
            }
        }
        tracker.record_read(self.now, key, &minimum, position.max(minimum.position()));
        self.issue_token(instance_index, key);
    }

    fn receive_garbage(&mut self, instance_index: usize) {
        let bytes: Vec<u8> = (0..self.rng.random_range(0..300)).map(|_| self.rng.random()).collect();
        let received = self.instances[instance_index].receive(self.now, &bytes);
        self.digest.number(i64::from(received.is_ok()));
    }

    fn track_random_group(&mut self, instance_index: usize) {
        let group = self.rng.random_range(0..GROUPS);
        self.instances[instance_index].track_group(group);
    }

    fn restart(&mut self, instance_index: usize) {
        let is_clean = self.rng.random_bool(0.5);
        let kind = if is_clean { SnapshotKind::CleanShutdown } else { SnapshotKind::Running };
        let snapshot = self.instances[instance_index].snapshot(self.now, kind);
        self.digest.snapshot(&snapshot);
        self.digest.counts(&self.instances[instance_index]);
        self.now += self.rng.random_range(MS..200 * MS);
        let settings = Settings { instance: instance_index as u16, ..self.settings.clone() };
        self.instances[instance_index] = match self.rng.random_bool(0.3) {
            true => SessionTracker::new(settings, self.now),
            false => SessionTracker::restore(settings, self.now, &snapshot),
        }
        .expect("valid settings");
        self.open_reads.retain(|read| read.instance_index != instance_index);
    }
}

fn digest_of(settings: Settings, seed: u64) -> u64 {
    let mut simulation = Simulation::new(settings, seed);
    (0..STEPS).for_each(|_| simulation.step());
    for tracker in &simulation.instances {
        simulation.digest.counts(tracker);
        simulation.digest.snapshot(&tracker.snapshot(simulation.now, SnapshotKind::CleanShutdown));
    }
    simulation.digest.0.digest()
}

fn settings() -> Settings {
    Settings {
        instances: 4,
        exact_sessions: 48,
        sketch_width: 64,
        broadcast_interval: 20 * MS,
        token_age: 400 * MS,
        secret: 77,
        ..Settings::default()
    }
}

#[test]
fn outputs_are_as_recorded() {
    let clocks_differ =
        Settings { clock_error: 5 * MS, position_scope: PositionScope::HostAtAnswer, ..settings() };
    let writes_only = Settings { guarantee: SessionGuarantee::ReadYourWrites, tokens: false, ..settings() };
    let single_instance = Settings {
        instances: 0,
        roams: false,
        hosts_report_positions: false,
        hosts_enforce_positions: true,
        ..settings()
    };
    let not_conservative = Settings { conservative: false, hosts_report_positions: false, ..settings() };
    let digests = [
        digest_of(settings(), 1),
        digest_of(clocks_differ, 2),
        digest_of(writes_only, 3),
        digest_of(single_instance, 4),
        digest_of(not_conservative, 5),
    ];
    let recorded = [
        17072176271574537133,
        12557625366752115743,
        5879804311106528314,
        4652350228593771726,
        11400146706638230353,
    ];
    assert_eq!(digests, recorded);
}
