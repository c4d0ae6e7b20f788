//! A small simulation with an oracle: instances whose clocks differ, messages that get lost, restarts,
//! clients with and without tokens, and replicas that show the oldest data they may.
#![allow(dead_code)]

use petrelgauge_policy::{Role, Time};
use petrelgauge_sessions::*;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

pub const MS: Time = 1_000;
pub const G: u64 = 2;

/// What a run plays.
#[derive(Clone)]
pub struct Scenario {
    pub settings: Settings,
    pub instances: u16,
    pub loss: f64,
    pub restarts: f64,
    /// Clients hand back their newest token.
    pub tokens: bool,
    pub steps: usize,
    pub fault: InjectedFault,
}

/// An injected fault that the oracle must detect.
#[derive(Clone, Copy, PartialEq)]
pub enum InjectedFault {
    Nothing,
    /// A restarted instance does not count what it recorded before as lost.
    WatermarkLossForgotten,
    /// An old snapshot passes for one of a clean end.
    AgeForgotten,
    /// A token's watermark is taken for nothing, as an unverified one's could be.
    TokenUnverified,
    /// A broadcast claims to cover everything since its instance started.
    GapIgnored,
    /// A watermark of a snapshot is lowered where it should be joined.
    MergeTakesNewer,
}

#[derive(Clone, Copy, Default)]
struct Truth {
    written: Time,
    read: Time,
}

/// A read that waits for its answer.
struct Read {
    due: Time,
    place: usize,
    run: u32,
    name: u64,
    key: SessionKey,
    minimum: MinimumPosition,
    /// Tokens that it brought.
    held: Vec<String>,
    /// What its session had seen when it came.
    seen_before: Truth,
}

struct Instance {
    runs: u32,
    tracker: SessionTracker,
    /// Its clock is ahead by so much.
    clock_offset: Time,
    saved: Option<Snapshot>,
}

/// What a run showed.
#[derive(Debug, Default, PartialEq)]
pub struct Findings {
    pub reads: usize,
    /// Answers accepted though their session had seen more.
    pub stale: usize,
    /// Reads that a replica's answer was accepted for.
    pub by_replicas: usize,
    /// Of these, of these, for a minimum position that the other instances had covered.
    pub by_replicas_known_from_peers: usize,
    /// Answers of the primary that were rejected.
    pub blocked: usize,
    /// Answers of a deposed primary that hid something and were accepted.
    pub deposed: usize,
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

#[expect(clippy::too_many_lines, reason = "to be split by its steps")]
pub fn run(scenario: &Scenario, seed: u64) -> Findings {
    let mut rng = Pcg64Mcg::new(u128::from(seed) * 2 + 1);
    let error = scenario.settings.clock_error;
    let mut now: Time = 1_000_000_000;
    let set = |instance: u16| Settings { instance, ..scenario.settings.clone() };
    let mut instances: Vec<Instance> = (0..scenario.instances)
        .map(|instance| {
            let clock_offset = if error > 0 { rng.random_range(0..=error) } else { 0 };
            let tracker = SessionTracker::new(set(instance), now + clock_offset).expect("sound settings");
            Instance { runs: 0, tracker, clock_offset, saved: None }
        })
        .collect();
    let mut truth: BTreeMap<u64, Truth> = BTreeMap::new();
    let mut tokens: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    let mut in_transit: Vec<(Time, usize, Vec<u8>)> = Vec::new();
    let mut findings = Findings::default();
    let mut waiting: Vec<Read> = Vec::new();
    for _ in 0..scenario.steps {
        now += rng.random_range(100..4 * MS);
        for place in 0..instances.len() {
            let local = now + instances[place].clock_offset;
            for bytes in instances[place].tracker.due_broadcasts(local) {
                let bytes = match WatermarkBroadcast::decode(&bytes, scenario.settings.secret) {
                    Ok(sent) if scenario.fault == InjectedFault::GapIgnored => {
                        WatermarkBroadcast { from: sent.sender.epoch, ..sent }
                            .encode(scenario.settings.secret)
                    }
                    _ => bytes,
                };
                for other in (0..instances.len()).filter(|other| *other != place) {
                    for _ in 0..1 + usize::from(rng.random_bool(0.1)) {
                        if !rng.random_bool(scenario.loss) {
                            let long = if rng.random_bool(0.05) { 300 * MS } else { 11 * MS };
                            in_transit.push((now + rng.random_range(1_300..long), other, bytes.clone()));
                        }
                    }
                }
            }
        }
        in_transit.retain(|(at, place, bytes)| {
            let due = *at <= now;
            if due {
                let local = now + instances[*place].clock_offset;
                let _ = instances[*place].tracker.receive(local, bytes);
            }
            !due
        });
        while let Some(at) = waiting.iter().position(|read| read.due <= now) {
            let read = waiting.swap_remove(at);
            let instance = &mut instances[read.place];
            // Requests of an earlier run are not answered.
            if instance.runs == read.run {
                let shown =
                    serve(&mut instance.tracker, &read, now, instance.clock_offset, &mut rng, &mut findings);
                let known = truth.entry(read.name).or_default();
                if scenario.settings.promise == Promise::WritesAndReads {
                    known.read = known.read.max(shown);
                }
                replace(
                    &mut tokens,
                    read.name,
                    &read.held,
                    instance.tracker.issue_token(now + instance.clock_offset, read.key),
                );
            }
        }
        if rng.random_bool(scenario.restarts) {
            let place = rng.random_range(0..instances.len());
            restart(&mut instances[place], set(place as u16), now, scenario.fault, &mut rng);
        }
        let name = rng.random_range(0..200u64).min(rng.random_range(0..200));
        // A session that does not roam has an instance of its own.
        let place = if scenario.settings.roams {
            rng.random_range(0..instances.len())
        } else {
            name as usize % instances.len()
        };
        let instance = &mut instances[place];
        let local = now + instance.clock_offset;
        let key = instance.tracker.session_key(G, &name.to_string());
        let known = truth.entry(name).or_default();
        let held = if scenario.tokens { tokens.get(&name).cloned().unwrap_or_default() } else { Vec::new() };
        let taken =
            held.iter().map(|text| instance.tracker.parse_token(local, text, key).expect("its own token"));
        let token = taken.reduce(Token::join).map(|token| match scenario.fault {
            InjectedFault::TokenUnverified => Token { watermark: Watermark::NONE, ..token },
            _ => token,
        });
        if rng.random_bool(0.3) {
            let commit = now;
            if let Some(token) = &token {
                instance.tracker.merge_token(local, key, token);
            }
            now += rng.random_range(10..2 * MS);
            let answered = now + instance.clock_offset;
            if rng.random_bool(0.1) {
                instance.tracker.record_unconfirmed_write(answered, key);
            } else {
                let reported = (commit + MS - 1) / MS * MS;
                instance.tracker.record_write(answered, key, local, Some(reported));
                known.written = known.written.max(commit);
                replace(&mut tokens, name, &held, instance.tracker.issue_token(answered, key));
            }
        } else {
            findings.reads += 1;
            let minimum = instance.tracker.begin_read(local, key, token.as_ref());
            let due = now + rng.random_range(10..90 * MS);
            waiting.push(Read {
                due,
                place,
                run: instance.runs,
                name,
                key,
                minimum,
                seen_before: *known,
                held,
            });
        }
    }
    findings
}

/// The token of an answer takes the place of those that came with its request.
fn replace(tokens: &mut BTreeMap<u64, Vec<String>>, name: u64, held: &[String], token: Option<String>) {
    let known = tokens.entry(name).or_default();
    known.retain(|text| !held.contains(text));
    known.extend(token);
}

/// What a host of this role reports that has reached `position`: whole milliseconds.
fn evidence(position: Time, role: Role) -> AnswerEvidence {
    AnswerEvidence { position: Some(position / MS * MS), position_at_send: None, role: Some(role) }
}

/// Answers a read from a replica that shows little, or else from the primary; gives the position shown.
fn serve(
    tracker: &mut SessionTracker,
    read: &Read,
    now: Time,
    clock_offset: Time,
    rng: &mut Pcg64Mcg,
    findings: &mut Findings,
) -> Time {
    let Read { key, seen_before, .. } = read;
    let minimum = tracker.recheck_read(now + clock_offset, *key, &read.minimum).unwrap_or(read.minimum);
    // A replica somewhere behind, often just where the minimum asks for; an old primary far behind.
    let least = ((minimum.position() + MS - 1) / MS * MS).clamp(now - 3_000 * MS, now);
    let position = if rng.random_bool(0.5) { least } else { now - rng.random_range(0..80 * MS) };
    let hidden = |position: Time| position < seen_before.written || position < seen_before.read;
    // No primary takes writes for 300 ms after one was deposed.
    let old = now - rng.random_range(1_000 * MS..4_000 * MS);
    let led = |tracker: &mut SessionTracker, at: Time| {
        tracker.verify_answer(&minimum, &evidence(at, Role::Primary))
    };
    findings.deposed += usize::from(led(tracker, old) == Verdict::Proven && hidden(old + 300 * MS));
    let by_replica = tracker.verify_answer(&minimum, &evidence(position, Role::Replica)) == Verdict::Proven;
    findings.by_replicas += usize::from(by_replica);
    findings.by_replicas_known_from_peers +=
        usize::from(by_replica && minimum.source == PositionSource::Peers);
    if !by_replica {
        findings.blocked += usize::from(led(tracker, now) == Verdict::Unproven);
    }
    let shown = if by_replica { position } else { now };
    findings.stale += usize::from(hidden(shown));
    tracker.record_read(now + clock_offset, *key, &minimum, shown / MS * MS);
    shown
}

fn restart(instance: &mut Instance, set: Settings, now: Time, fault: InjectedFault, rng: &mut Pcg64Mcg) {
    let local = now + instance.clock_offset;
    instance.runs += 1;
    if fault == InjectedFault::WatermarkLossForgotten {
        instance.tracker = SessionTracker::new(set, 0).expect("sound settings");
        return;
    }
    let clean = rng.random_bool(0.3);
    let latest = instance.tracker.snapshot(local, clean);
    let snapshot = match (clean, instance.saved.take()) {
        (true, _) => latest.clone(),
        (false, Some(old)) => old,
        (false, None) => Snapshot::default(),
    };
    let snapshot = match fault {
        InjectedFault::AgeForgotten => Snapshot { clean: true, ..snapshot },
        InjectedFault::MergeTakesNewer => {
            let lower = |(key, entry): (SessionKey, SessionEntry)| {
                (key, SessionEntry { watermark: Watermark::NONE, ..entry })
            };
            Snapshot { clean: true, entries: latest.entries.iter().copied().map(lower).collect(), ..latest }
        }
        _ => snapshot,
    };
    instance.tracker = SessionTracker::restore(set, local, &snapshot).expect("sound settings");
    instance.saved = Some(Snapshot { clean: false, ..latest });
}
