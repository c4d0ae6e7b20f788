//! Experiment `sessions-large`: the session tracker alone, in simulated time, at a size that no one machine holds.
//!
//! Three parts. One tracker under ten million sessions: memory against its bound, false floors against the predicted
//! share, time for each operation against the map without a bound that the router had before. A tier of 200
//! instances at 50,000 requests a second with a restart wave: nothing stale, and how often a replica 15 ms behind
//! will do. And what watermark broadcasts cost as a tier grows.

use crate::report::Verdict;
use crate::Options;
use petrelgauge::{Role, Time};
use petrelgauge_sessions::{
    overestimate_rate, AnswerEvidence, Counts, MinimumPosition, SessionKey, SessionMemory, SessionTracker,
    Settings, Token, Watermark,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

/// Faults that must make the experiment fail.
pub const INJECTED_FAULTS: [&str; 2] = ["forgets", "zeroed"];

const MS: Time = 1_000;
const START: Time = 1_000_000_000_000;
const SECRET: u64 = 0x1a46e;
/// A replica in calm: behind by this much when it answers.
const LAG: Time = 15 * MS;

/// Runs it.
pub fn run(options: &Options) -> std::io::Result<Verdict> {
    let mut verdict = Verdict::new("sessions-large", options.seed);
    let scale = if options.short { 10 } else { 1 };
    let tracker = one_tracker(&mut verdict, options, 10_000_000 / scale);
    let tier = tier(&mut verdict, options, 200, 50_000, 60 / scale);
    let growth = growth(&mut verdict, options.seed);
    verdict.figures = json!({ "one_keeper": tracker, "tier": tier, "bulletins": growth });
    Ok(verdict)
}

fn nanos(since: Instant, count: u64) -> f64 {
    (since.elapsed().as_nanos() as f64 / count.max(1) as f64).round()
}

fn one_tracker(verdict: &mut Verdict, options: &Options, sessions: u64) -> Value {
    let set = Settings { secret: SECRET, ..Settings::default() };
    let mut memory = SessionMemory::new(set.exact_sessions, set.sketch_width, SECRET);
    let (gap, key) = (20, |name: u64| SessionKey {
        group: name % 16,
        name_hash: name.wrapping_mul(0x9E37_79B9) & ((1 << 40) - 1),
    });
    let began = Instant::now();
    for name in 0..sessions {
        memory.join(key(name), Watermark { written: START + name as Time * gap, read: 0 }, 0);
    }
    let merge_ns = nanos(began, sessions);
    if options.injected_fault.as_deref() == Some("forgets") {
        memory = SessionMemory::new(set.exact_sessions, set.sketch_width, SECRET);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let sample = 200_000;
    let (mut low, mut false_floors) = (0u64, 0u64);
    let evicted = sessions.saturating_sub(set.exact_sessions as u64);
    let asked: Vec<u64> = (0..sample).map(|_| rng.random_range(0..sessions)).collect();
    let began = Instant::now();
    let watermarks: Vec<Watermark> = asked.iter().map(|name| memory.get(key(*name)).watermark).collect();
    let lookup_ns = nanos(began, sample);
    // A floor is false where it asks for the last 5 s though the session wrote nothing then.
    let recent = START + sessions as Time * gap - 10_000_000;
    let (mut idle, now) = (0u64, START + sessions as Time * gap);
    for (name, watermark) in asked.iter().zip(&watermarks) {
        let truth = START + *name as Time * gap;
        low += u64::from(watermark.written < truth);
        if truth < recent {
            idle += 1;
            false_floors += u64::from(watermark.written >= recent);
        }
    }
    // Keys with marks after `recent` that are in the summary.
    let higher = evicted.saturating_sub((recent - START).max(0) as u64 / gap as u64);
    let predicted = overestimate_rate(higher as f64, set.sketch_width);
    let measured = false_floors as f64 / idle.max(1) as f64;
    let bound = set.exact_sessions * 120 + 2 * set.sketch_width * std::mem::size_of::<Watermark>();
    verdict.check("no remembered watermark is below the true one", low == 0);
    verdict.check("memory stays under its bound", memory.bytes() <= bound);
    verdict.check(
        "false floors are as many as predicted, give or take 0.05",
        (measured - predicted).abs() < 0.05,
    );
    verdict.check("a merge and a lookup take under 2 us each", merge_ns < 2_000.0 && lookup_ns < 2_000.0);
    // As it was before: a map by name, for good.
    let mut before: BTreeMap<Arc<str>, Time> = BTreeMap::new();
    let names = sessions.min(1_000_000);
    let began = Instant::now();
    for name in 0..names {
        before.insert(name.wrapping_mul(0x9E37_79B9).to_string().into(), START + name as Time);
    }
    let before_ns = nanos(began, names);
    json!({
        "sessions": sessions, "bytes": memory.bytes(), "bound_bytes": bound, "evicted": memory.evicted(),
        "merge_ns": merge_ns, "lookup_ns": lookup_ns, "at": now - START,
        "false_floors_measured": measured, "false_floors_reckoned": predicted,
        "baseline_map_sessions": names, "baseline_map_merge_ns": before_ns,
        // Text, counts, value, and a share of the tree's nodes.
        "baseline_map_bytes_a_session": 70,
    })
}

/// One instance of a tier.
struct Instance {
    tracker: SessionTracker,
    down_until: Time,
}

#[expect(clippy::too_many_lines, reason = "to be split by its steps")]
fn tier(verdict: &mut Verdict, options: &Options, instances: usize, rate: u64, seconds: u64) -> Value {
    let set =
        Settings { secret: SECRET, exact_sessions: 16_384, sketch_width: 16_384, ..Settings::default() };
    let tracker = |now: Time| match SessionTracker::new(set.clone(), now) {
        Ok(tracker) => tracker,
        Err(cause) => unreachable!("constant settings: {cause}"),
    };
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed ^ 0x7134);
    let mut tier: Vec<Instance> =
        (0..instances).map(|_| Instance { tracker: tracker(START), down_until: 0 }).collect();
    // Sessions come and go: 200,000 are active at a time, of ten million names.
    let mut active: Vec<u64> = (0..200_000).map(|_| rng.random_range(0..10_000_000)).collect();
    let mut truth: HashMap<u64, (Time, Vec<Token>)> = HashMap::new();
    let (mut reads, mut at_replicas, mut oracle, mut stale, mut open, mut asked) =
        (0u64, 0u64, 0u64, 0u64, 0u64, 0u64);
    let (step, total) = (1_000_000 / rate as Time, rate * seconds);
    // The wave: 86% of the instances within 8.9 s (or as much of the run as there is), spread over a third of it.
    let span = (seconds as Time * 1_000_000 / 3).min(8_900_000);
    let (first, mut restarted) = (START + seconds as Time * 1_000_000 / 3, 0usize);
    let mut wave = (0u64, 0u64);
    let began = Instant::now();
    for number in 0..total {
        let now = START + number as Time * step;
        let due = ((now - first).clamp(0, span) * (instances as Time * 86 / 100) / span) as usize;
        while restarted < due {
            tier[restarted] = Instance { tracker: tracker(now + 300 * MS), down_until: now + 300 * MS };
            restarted += 1;
        }
        if number % 5 == 0 {
            let place = rng.random_range(0..active.len());
            truth.remove(&active[place]);
            active[place] = rng.random_range(0..10_000_000);
        }
        let session = active[rng.random_range(0..active.len())];
        let home =
            if rng.random_bool(0.2) { rng.random_range(0..instances) } else { session as usize % instances };
        let instance = &mut tier[home];
        if instance.down_until > now {
            continue;
        }
        asked += 1;
        let key = instance.tracker.session_key(session % 16, &session.to_string());
        let (mark, tokens) = truth.entry(session).or_default();
        // Three in a hundred clients carry no token.
        let carries = session % 100 >= 3;
        let initial = [Token::new_session(key, now)];
        let held = if tokens.is_empty() { &initial[..] } else { &tokens[..] };
        let token = held.iter().copied().reduce(Token::join).filter(|_| carries);
        let token = token.map(|token| match options.injected_fault.as_deref() {
            Some("zeroed") => Token { watermark: Watermark::NONE, ..token },
            _ => token,
        });
        if rng.random_bool(0.26) {
            if let Some(token) = &token {
                instance.tracker.merge_token(now, key, token);
            }
            instance.tracker.record_write(now + 2 * MS, key, now, Some(now + MS));
            *mark = now + MS;
        } else {
            reads += 1;
            let floor: MinimumPosition = instance.tracker.begin_read(now, key, token.as_ref());
            open += u64::from(floor.unknown_until.is_some());
            let position = now - LAG;
            oracle += u64::from(position >= *mark);
            let good = petrelgauge_sessions::Verdict::Proven;
            let replica = AnswerEvidence {
                position: Some(position),
                position_at_send: None,
                role: Some(Role::Replica),
            };
            let shown = if instance.tracker.verify_answer(&floor, &replica) == good {
                at_replicas += 1;
                position
            } else {
                now
            };
            // What one session did in this step is answered before its next request comes.
            stale += u64::from(shown < *mark && *mark <= now);
            instance.tracker.record_read(now + MS, key, &floor, shown);
            *mark = (*mark).max(shown);
        }
        if restarted > 0 && now < first + span {
            wave.0 += 1;
            wave.1 += u64::from(stale > 0);
        }
        let watermark = instance.tracker.memory().get(key).watermark;
        *tokens = vec![Token { key, watermark, issued_at: now + 2 * MS }];
    }
    let op_ns = nanos(began, asked);
    let most = tier.iter().map(|one| one.tracker.memory().bytes()).max().unwrap_or(0);
    let share = at_replicas as f64 / oracle.max(1) as f64;
    verdict.check("tier: nothing stale, the restart wave included", stale == 0 && reads > 0);
    verdict.check("tier: replicas take at least 0.8 of what an oracle gives them", share >= 0.8);
    let counts = tier.iter().map(|one| one.tracker.counts());
    let by_token = counts.map(|one: Counts| one.by_token).sum::<u64>();
    json!({
        "instances": instances, "requests_a_second": rate, "seconds": seconds, "asked": asked, "reads": reads,
        "stale": stale, "open_share": open as f64 / reads.max(1) as f64, "by_token_since_restart": by_token,
        "replica_share": at_replicas as f64 / reads.max(1) as f64,
        "oracle_share": oracle as f64 / reads.max(1) as f64,
        "restarted": restarted, "most_bytes_an_instance": most, "ns_a_request_with_the_model": op_ns,
        "requests_in_the_wave": wave.0,
    })
}

/// Watermark broadcasts of tiers that grow with their traffic: each gateway carries 54 requests a second, each group 135.
fn growth(verdict: &mut Verdict, seed: u64) -> Value {
    let mut rows = Vec::new();
    for instances in [5u16, 20, 50] {
        let groups = u64::from(instances) * 2 / 5;
        let set = |instance| Settings {
            secret: SECRET,
            instances,
            instance,
            tokens: false,
            exact_sessions: 16_384,
            ..Settings::default()
        };
        let trackers = (0..instances).filter_map(|instance| SessionTracker::new(set(instance), START).ok());
        let mut trackers: Vec<SessionTracker> = trackers.collect();
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ u64::from(instances));
        let (rate, seconds) = (54 * u64::from(instances), 3);
        let (mut datagrams, mut bytes, mut received) = (0u64, 0u64, 0u64);
        let began = Instant::now();
        for number in 0..rate * seconds {
            let now = START + (number * 1_000_000 / rate) as Time;
            let tracker = &mut trackers[rng.random_range(0..usize::from(instances))];
            let key =
                SessionKey { group: rng.random_range(0..groups), name_hash: rng.random_range(0..100_000) };
            tracker.record_write(now, key, now - MS, Some(now - MS));
            for place in 0..trackers.len() {
                for datagram in trackers[place].due_broadcasts(now) {
                    for other in (0..trackers.len()).filter(|other| *other != place) {
                        datagrams += 1;
                        bytes += datagram.len() as u64;
                        received += u64::from(trackers[other].receive(now + 5 * MS, &datagram).is_ok());
                    }
                }
            }
        }
        let asked = rate * seconds;
        let full = bytes as f64 / 256.0 / asked as f64;
        rows.push(json!({
            "instances": instances, "groups": groups, "messages_a_request": datagrams as f64 / asked as f64,
            "full_messages_a_request": full, "ns_a_datagram": nanos(began, datagrams),
        }));
        verdict.check(
            format!("broadcasts of {instances} instances are received by all"),
            received == datagrams && received > 0,
        );
        verdict.bar("full messages a request", "pace 100 ms", &format!("{instances} instances"), full);
    }
    Value::Array(rows)
}
