//! Watermark broadcasts in deployments whose size grows with their traffic.

use super::{nanoseconds_each, MILLISECOND, SECRET, START};
use crate::report::Verdict;
use petrelgauge::Time;
use petrelgauge_sessions::{SessionKey, SessionTracker, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::time::Instant;

/// Sizes of the simulated deployments (instances).
const DEPLOYMENTS: [u16; 3] = [5, 20, 50];
/// Writes per second at each instance.
const WRITES_PER_SECOND: u64 = 54;
/// Simulated time (seconds).
const SECONDS: u64 = 3;
/// Sessions of each group.
const SESSIONS: u64 = 100_000;
/// Delay of a broadcast (microseconds).
const DELAY: Time = 5 * MILLISECOND;
/// Length of a full datagram, the unit of the cost (bytes).
const FULL_DATAGRAM: f64 = 256.0;

#[derive(Default)]
struct BroadcastCounts {
    datagrams: u64,
    bytes: u64,
    received: u64,
}

/// Simulates and checks all deployments, and returns the figures.
pub(super) fn play(verdict: &mut Verdict, seed: u64) -> Value {
    Value::Array(DEPLOYMENTS.map(|instances| play_deployment(verdict, seed, instances)).into())
}

fn play_deployment(verdict: &mut Verdict, seed: u64, instances: u16) -> Value {
    // Each group gets 135 writes per second.
    let groups = u64::from(instances) * 2 / 5;
    let mut trackers = trackers(instances);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ u64::from(instances));
    let rate = WRITES_PER_SECOND * u64::from(instances);
    let writes = rate * SECONDS;
    let mut counts = BroadcastCounts::default();
    let began_at = Instant::now();
    for number in 0..writes {
        let now = START + (number * 1_000_000 / rate) as Time;
        let tracker = &mut trackers[rng.random_range(0..usize::from(instances))];
        let key = SessionKey { group: rng.random_range(0..groups), name_hash: rng.random_range(0..SESSIONS) };
        tracker.record_write(now, key, now - MILLISECOND, Some(now - MILLISECOND));
        exchange_broadcasts(&mut trackers, now, &mut counts);
    }
    let datagram_ns = nanoseconds_each(began_at, counts.datagrams);
    let full_datagrams = counts.bytes as f64 / FULL_DATAGRAM / writes as f64;
    let is_received = counts.received == counts.datagrams && counts.received > 0;
    verdict.check(format!("broadcasts of {instances} instances are received by all"), is_received);
    verdict.bar("full messages a request", "pace 100 ms", &format!("{instances} instances"), full_datagrams);
    json!({
        "instances": instances, "groups": groups, "messages_a_request": counts.datagrams as f64 / writes as f64,
        "full_messages_a_request": full_datagrams, "ns_a_datagram": datagram_ns,
    })
}

fn trackers(instances: u16) -> Vec<SessionTracker> {
    let settings = |instance| Settings {
        secret: SECRET,
        instances,
        instance,
        tokens: false,
        exact_sessions: 16_384,
        ..Settings::default()
    };
    (0..instances).filter_map(|instance| SessionTracker::new(settings(instance), START).ok()).collect()
}

/// Delivers all due broadcasts to all other instances.
fn exchange_broadcasts(trackers: &mut [SessionTracker], now: Time, counts: &mut BroadcastCounts) {
    for sender in 0..trackers.len() {
        for datagram in trackers[sender].due_broadcasts(now) {
            for receiver in (0..trackers.len()).filter(|receiver| *receiver != sender) {
                let is_received = trackers[receiver].receive(now + DELAY, &datagram).is_ok();
                counts.datagrams += 1;
                counts.bytes += datagram.len() as u64;
                counts.received += u64::from(is_received);
            }
        }
    }
}
