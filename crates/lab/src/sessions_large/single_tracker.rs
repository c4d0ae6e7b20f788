//! The memory of one tracker with millions of sessions: its size and bound, the measured and the predicted
//! share of overestimated watermarks, and the time of operations, compared with an unbounded map.

use super::{nanoseconds_each, share, SECRET, START};
use crate::report::Verdict;
use crate::Options;
use petrelgauge::Time;
use petrelgauge_sessions::{overestimate_rate, SessionKey, SessionMemory, Settings, Watermark};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// Time between the writes of two sessions (microseconds).
const WRITE_INTERVAL: Time = 20;
/// Number of groups.
const GROUPS: u64 = 16;
/// Number of lookups.
const LOOKUPS: u64 = 200_000;
/// A watermark in this last span is overestimated if its session wrote nothing in it (microseconds).
const RECENT: Time = 10_000_000;
/// Maximum size of an exact session (bytes).
const BYTES_OF_SESSION: usize = 120;
/// Maximum difference of the measured and the predicted share of overestimated watermarks.
const SHARE_TOLERANCE: f64 = 0.05;
/// Maximum mean duration of a merge or a lookup (nanoseconds).
const MAX_OPERATION_NS: f64 = 2_000.0;
/// Maximum number of names in the unbounded map.
const MAX_BASELINE_NAMES: u64 = 1_000_000;
/// Size of a session in the unbounded map (bytes): text, reference counts, value, and a share of the tree's
/// nodes.
const BASELINE_BYTES_OF_SESSION: u64 = 70;

/// Results of the lookups.
#[derive(Default)]
struct LookupCounts {
    /// Watermarks below the true one.
    too_low: u64,
    /// Sessions that wrote nothing in the recent span.
    idle: u64,
    /// Of these, watermarks in that span.
    overestimated: u64,
}

fn key(session: u64) -> SessionKey {
    SessionKey { group: session % GROUPS, name_hash: mixed(session) & ((1 << 40) - 1) }
}

fn mixed(session: u64) -> u64 {
    session.wrapping_mul(0x9E37_79B9)
}

/// When a session wrote.
fn written_at(session: u64) -> Time {
    START + session as Time * WRITE_INTERVAL
}

/// Simulates this many sessions, checks the memory, and returns the figures.
pub(super) fn play(verdict: &mut Verdict, options: &Options, sessions: u64) -> Value {
    let settings = Settings { secret: SECRET, ..Settings::default() };
    let new_memory = || SessionMemory::new(settings.exact_sessions, settings.sketch_width, SECRET);
    let mut memory = new_memory();
    let began_at = Instant::now();
    for session in 0..sessions {
        memory.join(key(session), Watermark { written: written_at(session), read: 0 }, 0);
    }
    let merge_ns = nanoseconds_each(began_at, sessions);
    if options.injected_fault.as_deref() == Some("forgets") {
        memory = new_memory();
    }
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let looked_up: Vec<u64> = (0..LOOKUPS).map(|_| rng.random_range(0..sessions)).collect();
    let began_at = Instant::now();
    let watermarks: Vec<Watermark> =
        looked_up.iter().map(|session| memory.get(key(*session)).watermark).collect();
    let lookup_ns = nanoseconds_each(began_at, LOOKUPS);

    let end = written_at(sessions);
    let recent = end - RECENT;
    let counts = count_lookups(&looked_up, &watermarks, recent);
    let evicted = sessions.saturating_sub(settings.exact_sessions as u64);
    // Sessions with watermarks after `recent` that are in the sketch.
    let higher = evicted.saturating_sub((recent - START).max(0) as u64 / WRITE_INTERVAL as u64);
    let predicted = overestimate_rate(higher as f64, settings.sketch_width);
    let measured = share(counts.overestimated, counts.idle);
    let sketch_bytes = 2 * settings.sketch_width * std::mem::size_of::<Watermark>();
    let bound = settings.exact_sessions * BYTES_OF_SESSION + sketch_bytes;

    verdict.check("no remembered watermark is below the true one", counts.too_low == 0);
    verdict.check("memory stays under its bound", memory.bytes() <= bound);
    let is_predicted = (measured - predicted).abs() < SHARE_TOLERANCE;
    verdict.check("false floors are as many as predicted, give or take 0.05", is_predicted);
    let is_fast = merge_ns < MAX_OPERATION_NS && lookup_ns < MAX_OPERATION_NS;
    verdict.check("a merge and a lookup take under 2 us each", is_fast);
    let baseline_names = sessions.min(MAX_BASELINE_NAMES);
    json!({
        "sessions": sessions, "bytes": memory.bytes(), "bound_bytes": bound, "evicted": memory.evicted(),
        "merge_ns": merge_ns, "lookup_ns": lookup_ns, "at": end - START,
        "false_floors_measured": measured, "false_floors_reckoned": predicted,
        "baseline_map_sessions": baseline_names, "baseline_map_merge_ns": unbounded_map_ns(baseline_names),
        "baseline_map_bytes_a_session": BASELINE_BYTES_OF_SESSION,
    })
}

fn count_lookups(sessions: &[u64], watermarks: &[Watermark], recent: Time) -> LookupCounts {
    let mut counts = LookupCounts::default();
    for (session, watermark) in sessions.iter().zip(watermarks) {
        let truth = written_at(*session);
        counts.too_low += u64::from(watermark.written < truth);
        if truth < recent {
            counts.idle += 1;
            counts.overestimated += u64::from(watermark.written >= recent);
        }
    }
    counts
}

/// Mean duration of an insertion into an unbounded map by name (nanoseconds).
fn unbounded_map_ns(names: u64) -> f64 {
    let mut map: BTreeMap<Arc<str>, Time> = BTreeMap::new();
    let began_at = Instant::now();
    for name in 0..names {
        map.insert(mixed(name).to_string().into(), START + name as Time);
    }
    nanoseconds_each(began_at, names)
}
