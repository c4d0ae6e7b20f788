//! A seeded run of several instances whose outputs are compared, as one digest, with those of commit a97f0e8:
//! renaming and moving code must change no token, no datagram, no decision and no count.

use petrelgauge_policy::{Role, Time};
use petrelgauge_sessions::*;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::Xxh3;

const MS: Time = 1_000;
const STEPS: usize = 4_000;
const GROUPS: u64 = 3;
const START: Time = 1_000_000_000;

/// Digests the outputs in the order of their making.
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
            counts.sent,
            counts.received,
            counts.rejected,
            tracker.gaps(),
            tracker.peer_entries() as u64,
            tracker.memory().evicted(),
            tracker.memory().len() as u64,
        ];
        numbers.iter().for_each(|number| self.number(*number as i64));
    }
}

/// A datagram under way.
struct Datagram {
    due: Time,
    to: usize,
    bytes: Vec<u8>,
}

/// A read that waits for its answer.
struct OpenRead {
    place: usize,
    key: SessionKey,
    minimum: MinimumPosition,
}

struct Run {
    rng: Pcg64Mcg,
    now: Time,
    settings: Settings,
    instances: Vec<SessionTracker>,
    datagrams: Vec<Datagram>,
    tokens: Vec<String>,
    reads: Vec<OpenRead>,
    digest: Digest,
}

impl Run {
    fn new(settings: Settings, seed: u64) -> Run {
        let instances = (0..settings.instances.max(2))
            .map(|instance| {
                SessionTracker::new(Settings { instance, ..settings.clone() }, START).expect("sound settings")
            })
            .collect();
        Run {
            rng: Pcg64Mcg::new(u128::from(seed) * 2 + 1),
            now: START,
            settings,
            instances,
            datagrams: Vec::new(),
            tokens: Vec::new(),
            reads: Vec::new(),
            digest: Digest::default(),
        }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(50..3 * MS);
        self.exchange();
        let place = self.rng.random_range(0..self.instances.len());
        match self.rng.random_range(0..100) {
            0..30 => self.write(place),
            30..65 => self.read(place),
            65..95 => self.answer(),
            95..97 => self.garbage(place),
            97..99 => self.serve(place),
            _ => self.restart(place),
        }
    }

    /// Sends what is due, with loss, delay and repetition, and delivers what has arrived.
    fn exchange(&mut self) {
        for from in 0..self.instances.len() {
            for bytes in self.instances[from].due_broadcasts(self.now) {
                self.digest.bytes(&bytes);
                for to in (0..self.instances.len()).filter(|to| *to != from) {
                    for _ in 0..self.rng.random_range(0..3) {
                        let due = self.now + self.rng.random_range(MS..60 * MS);
                        self.datagrams.push(Datagram { due, to, bytes: bytes.clone() });
                    }
                }
            }
        }
        let (arrived, in_transit) = self.datagrams.drain(..).partition(|datagram| datagram.due <= self.now);
        self.datagrams = in_transit;
        let arrived: Vec<Datagram> = arrived;
        for datagram in arrived {
            let received = self.instances[datagram.to].receive(self.now, &datagram.bytes);
            self.digest.number(i64::from(received.is_ok()));
        }
    }

    fn key(&mut self, place: usize) -> SessionKey {
        let group = self.rng.random_range(0..GROUPS);
        let session = self.rng.random_range(0..90u32).to_string();
        self.instances[place].session_key(group, &session)
    }

    /// A token that some client holds, when it is this session's or by chance another's.
    fn token(&mut self, place: usize, key: SessionKey) -> Option<Token> {
        let held = self
            .tokens
            .iter()
            .rev()
            .take(200)
            .find(|text| Token::decode(text, self.settings.secret).is_ok_and(|token| token.key == key));
        let brought = match self.rng.random_range(0..10) {
            0 => Some(NEW_SESSION.to_string()),
            1 => self.tokens.first().cloned(),
            2..8 => held.cloned(),
            _ => None,
        }?;
        let taken = self.instances[place].parse_token(self.now, &brought, key);
        self.digest.number(i64::from(taken.is_ok()));
        taken.ok()
    }

    fn write(&mut self, place: usize) {
        let key = self.key(place);
        if let Some(token) = self.token(place, key) {
            let watermark = self.instances[place].merge_token(self.now, key, &token);
            self.digest.number(watermark.written);
            self.digest.number(watermark.read);
        }
        let arrived = self.now;
        self.now += self.rng.random_range(10..MS);
        match self.rng.random_range(0..10) {
            0 => self.instances[place].record_unconfirmed_write(self.now, key),
            1 => self.instances[place].record_write(self.now, key, arrived, None),
            _ => self.instances[place].record_write(self.now, key, arrived, Some(self.now - 5)),
        }
        self.hand_out(place, key);
    }

    fn hand_out(&mut self, place: usize, key: SessionKey) {
        if let Some(token) = self.instances[place].issue_token(self.now, key) {
            self.digest.bytes(token.as_bytes());
            self.tokens.push(token);
        }
    }

    fn read(&mut self, place: usize) {
        let key = self.key(place);
        let token = self.token(place, key);
        let minimum = self.instances[place].begin_read(self.now, key, token.as_ref());
        let minimum = match self.rng.random_range(0..10) {
            0 => minimum.with_pending_write(self.now - 3 * MS),
            _ => minimum,
        };
        self.digest.minimum(&minimum);
        self.reads.push(OpenRead { place, key, minimum });
    }

    /// One of the open reads is answered by hosts that are more or less behind.
    fn answer(&mut self) {
        if self.reads.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.reads.len());
        let OpenRead { place, key, mut minimum } = self.reads.swap_remove(at);
        if let Some(lower) = self.instances[place].recheck_read(self.now, key, &minimum) {
            self.digest.minimum(&lower);
            minimum = lower;
        }
        let behind = self.rng.random_range(0..80 * MS);
        let position = (self.now - behind) / MS * MS;
        let before = self.rng.random_bool(0.5).then_some(position - MS);
        let tracker = &mut self.instances[place];
        for role in [Some(Role::Replica), None, Some(Role::Primary)] {
            for position in [None, Some(position)] {
                let answer = AnswerEvidence { position, position_at_send: before, role };
                self.digest.verdict(tracker.verify_answer(&minimum, &answer));
            }
        }
        tracker.record_read(self.now, key, &minimum, position.max(minimum.position()));
        self.hand_out(place, key);
    }

    fn garbage(&mut self, place: usize) {
        let bytes: Vec<u8> = (0..self.rng.random_range(0..300)).map(|_| self.rng.random()).collect();
        let received = self.instances[place].receive(self.now, &bytes);
        self.digest.number(i64::from(received.is_ok()));
    }

    fn serve(&mut self, place: usize) {
        let group = self.rng.random_range(0..GROUPS);
        self.instances[place].track_group(group);
    }

    fn restart(&mut self, place: usize) {
        let is_clean = self.rng.random_bool(0.5);
        let kind = if is_clean { SnapshotKind::CleanShutdown } else { SnapshotKind::Running };
        let snapshot = self.instances[place].snapshot(self.now, kind);
        self.digest.snapshot(&snapshot);
        self.digest.counts(&self.instances[place]);
        self.now += self.rng.random_range(MS..200 * MS);
        let settings = Settings { instance: place as u16, ..self.settings.clone() };
        self.instances[place] = match self.rng.random_bool(0.3) {
            true => SessionTracker::new(settings, self.now),
            false => SessionTracker::restore(settings, self.now, &snapshot),
        }
        .expect("sound settings");
        self.reads.retain(|read| read.place != place);
    }
}

fn digest_of(settings: Settings, seed: u64) -> u64 {
    let mut run = Run::new(settings, seed);
    (0..STEPS).for_each(|_| run.step());
    for tracker in &run.instances {
        run.digest.counts(tracker);
        run.digest.snapshot(&tracker.snapshot(run.now, SnapshotKind::CleanShutdown));
    }
    run.digest.0.digest()
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
fn outputs_are_those_of_the_reference() {
    let clocks = Settings { clock_error: 5 * MS, position_scope: PositionScope::HostAtAnswer, ..settings() };
    let writes = Settings { promise: Promise::Writes, tokens: false, ..settings() };
    let alone = Settings {
        instances: 0,
        roams: false,
        hosts_report_positions: false,
        hosts_enforce_positions: true,
        ..settings()
    };
    let guessing = Settings { conservative: false, hosts_report_positions: false, ..settings() };
    let digests = [
        digest_of(settings(), 1),
        digest_of(clocks, 2),
        digest_of(writes, 3),
        digest_of(alone, 4),
        digest_of(guessing, 5),
    ];
    let reference = [
        17072176271574537133,
        12557625366752115743,
        5879804311106528314,
        4652350228593771726,
        11400146706638230353,
    ];
    assert_eq!(digests, reference);
}
