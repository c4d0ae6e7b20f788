//! Experiment `sessions-large`: the heart alone, in simulated time, at a size that no one machine holds.
//!
//! Three parts. One keeper under ten million sessions: memory against its bound, false floors against the reckoned
//! share, time for each operation against the map without a bound that the router had before. A tier of 200
//! instances at 50,000 requests a second with a restart wave: nothing stale, and how often a replica 15 ms behind
//! will do. And what bulletins cost as a tier grows.

use crate::report::Verdict;
use crate::Options;
use petrelgauge::{Role, Time};
use petrelgauge_sessions::{false_share, Counts, Floor, Keeper, Key, Mark, Memory, Settings, Token};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

/// Faults that must make the experiment fail.
pub const PLANTS: [&str; 2] = ["forgets", "zeroed"];

const MS: Time = 1_000;
const START: Time = 1_000_000_000_000;
const SECRET: u64 = 0x1a46e;
/// A replica in calm: behind by this much when it answers.
const LAG: Time = 15 * MS;

/// Runs it.
pub fn run(options: &Options) -> std::io::Result<Verdict> {
    let mut verdict = Verdict::new("sessions-large", options.seed);
    let scale = if options.short { 10 } else { 1 };
    let keeper = one_keeper(&mut verdict, options, 10_000_000 / scale);
    let tier = tier(&mut verdict, options, 200, 50_000, 60 / scale);
    let growth = growth(&mut verdict, options.seed);
    verdict.figures = json!({ "one_keeper": keeper, "tier": tier, "bulletins": growth });
    Ok(verdict)
}

fn nanos(since: Instant, count: u64) -> f64 {
    (since.elapsed().as_nanos() as f64 / count.max(1) as f64).round()
}

fn one_keeper(verdict: &mut Verdict, options: &Options, sessions: u64) -> Value {
    let set = Settings { secret: SECRET, ..Settings::default() };
    let mut memory = Memory::new(set.exact, set.cells, SECRET);
    let (gap, key) =
        (20, |name: u64| Key { group: name % 16, name: name.wrapping_mul(0x9E37_79B9) & ((1 << 40) - 1) });
    let began = Instant::now();
    for name in 0..sessions {
        memory.join(key(name), Mark { wrote: START + name as Time * gap, read: 0 }, 0);
    }
    let merge_ns = nanos(began, sessions);
    if options.plant.as_deref() == Some("forgets") {
        memory = Memory::new(set.exact, set.cells, SECRET);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let sample = 200_000;
    let (mut low, mut false_floors) = (0u64, 0u64);
    let evicted = sessions.saturating_sub(set.exact as u64);
    let asked: Vec<u64> = (0..sample).map(|_| rng.random_range(0..sessions)).collect();
    let began = Instant::now();
    let marks: Vec<Mark> = asked.iter().map(|name| memory.get(key(*name)).mark).collect();
    let lookup_ns = nanos(began, sample);
    // A floor is false where it asks for the last 5 s though the session wrote nothing then.
    let recent = START + sessions as Time * gap - 10_000_000;
    let (mut idle, now) = (0u64, START + sessions as Time * gap);
    for (name, mark) in asked.iter().zip(&marks) {
        let truth = START + *name as Time * gap;
        low += u64::from(mark.wrote < truth);
        if truth < recent {
            idle += 1;
            false_floors += u64::from(mark.wrote >= recent);
        }
    }
    // Keys with marks after `recent` that are in the summary.
    let higher = evicted.saturating_sub((recent - START).max(0) as u64 / gap as u64);
    let reckoned = false_share(higher as f64, set.cells);
    let measured = false_floors as f64 / idle.max(1) as f64;
    let bound = set.exact * 120 + 2 * set.cells * std::mem::size_of::<Mark>();
    verdict.promise("no remembered mark is below the true one", low == 0);
    verdict.promise("memory stays under its bound", memory.bytes() <= bound);
    verdict.promise(
        "false floors are as many as reckoned, give or take 0.05",
        (measured - reckoned).abs() < 0.05,
    );
    verdict.promise("a merge and a lookup take under 2 us each", merge_ns < 2_000.0 && lookup_ns < 2_000.0);
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
        "false_floors_measured": measured, "false_floors_reckoned": reckoned,
        "baseline_map_sessions": names, "baseline_map_merge_ns": before_ns,
        // Text, counts, value, and a share of the tree's nodes.
        "baseline_map_bytes_a_session": 70,
    })
}

/// One instance of a tier.
struct Instance {
    keeper: Keeper,
    down_until: Time,
}

fn tier(verdict: &mut Verdict, options: &Options, instances: usize, rate: u64, seconds: u64) -> Value {
    let set = Settings { secret: SECRET, exact: 16_384, cells: 16_384, ..Settings::default() };
    let keeper = |now: Time| match Keeper::new(set.clone(), now) {
        Ok(keeper) => keeper,
        Err(cause) => unreachable!("constant settings: {cause}"),
    };
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed ^ 0x7134);
    let mut tier: Vec<Instance> =
        (0..instances).map(|_| Instance { keeper: keeper(START), down_until: 0 }).collect();
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
            tier[restarted] = Instance { keeper: keeper(now + 300 * MS), down_until: now + 300 * MS };
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
        let key = instance.keeper.key(session % 16, &session.to_string());
        let (mark, tokens) = truth.entry(session).or_default();
        // Three in a hundred clients carry no token.
        let carries = session % 100 >= 3;
        let fresh = [Token::fresh(key, now)];
        let held = if tokens.is_empty() { &fresh[..] } else { &tokens[..] };
        let token = held.iter().copied().reduce(Token::join).filter(|_| carries);
        let token = token.map(|token| match options.plant.as_deref() {
            Some("zeroed") => Token { mark: Mark::NONE, ..token },
            _ => token,
        });
        if rng.random_bool(0.26) {
            if let Some(token) = &token {
                instance.keeper.bring(now, key, token);
            }
            instance.keeper.wrote(now + 2 * MS, key, now, Some(now + MS));
            *mark = now + MS;
        } else {
            reads += 1;
            let floor: Floor = instance.keeper.ask(now, key, token.as_ref());
            open += u64::from(floor.open.is_some());
            let position = now - LAG;
            oracle += u64::from(position >= *mark);
            let good = petrelgauge_sessions::Verdict::Proven;
            let shown = if instance.keeper.judge(&floor, Some(position), None, Some(Role::Replica)) == good {
                at_replicas += 1;
                position
            } else {
                now
            };
            // What one session did in this step is answered before its next request comes.
            stale += u64::from(shown < *mark && *mark <= now);
            instance.keeper.read(now + MS, key, &floor, shown);
            *mark = (*mark).max(shown);
        }
        if restarted > 0 && now < first + span {
            wave.0 += 1;
            wave.1 += u64::from(stale > 0);
        }
        let mark = instance.keeper.memory().get(key).mark;
        *tokens = vec![Token { key, mark, issued: now + 2 * MS }];
    }
    let op_ns = nanos(began, asked);
    let most = tier.iter().map(|one| one.keeper.memory().bytes()).max().unwrap_or(0);
    let share = at_replicas as f64 / oracle.max(1) as f64;
    verdict.promise("tier: nothing stale, the restart wave included", stale == 0 && reads > 0);
    verdict.promise("tier: replicas take at least 0.8 of what an oracle gives them", share >= 0.8);
    let counts = tier.iter().map(|one| one.keeper.counts());
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

/// Bulletins of tiers that grow with their traffic: each gateway carries 54 requests a second, each group 135.
fn growth(verdict: &mut Verdict, seed: u64) -> Value {
    let mut rows = Vec::new();
    for instances in [5u16, 20, 50] {
        let groups = u64::from(instances) * 2 / 5;
        let set = |me| Settings {
            secret: SECRET,
            instances,
            me,
            tokens: false,
            exact: 16_384,
            ..Settings::default()
        };
        let keepers = (0..instances).filter_map(|me| Keeper::new(set(me), START).ok());
        let mut keepers: Vec<Keeper> = keepers.collect();
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ u64::from(instances));
        let (rate, seconds) = (54 * u64::from(instances), 3);
        let (mut datagrams, mut bytes, mut heard) = (0u64, 0u64, 0u64);
        let began = Instant::now();
        for number in 0..rate * seconds {
            let now = START + (number * 1_000_000 / rate) as Time;
            let keeper = &mut keepers[rng.random_range(0..usize::from(instances))];
            let key = Key { group: rng.random_range(0..groups), name: rng.random_range(0..100_000) };
            keeper.wrote(now, key, now - MS, Some(now - MS));
            for place in 0..keepers.len() {
                for datagram in keepers[place].tell(now) {
                    for other in (0..keepers.len()).filter(|other| *other != place) {
                        datagrams += 1;
                        bytes += datagram.len() as u64;
                        heard += u64::from(keepers[other].receive(now + 5 * MS, &datagram).is_ok());
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
        verdict.promise(
            format!("bulletins of {instances} instances are heard by all"),
            heard == datagrams && heard > 0,
        );
        verdict.bar("full messages a request", "pace 100 ms", &format!("{instances} instances"), full);
    }
    Value::Array(rows)
}
