//! The classes of the clients' requests: their mix, work and settings.

use super::{uniform, Plan};
use petrelgauge_test_support::{ClassSettings, DeploymentSettings};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// A class of requests.
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Mean execution time at a warm host.
    pub work: Duration,
    /// The latency objective.
    pub latency_target: Duration,
    /// How long clients wait at most.
    pub deadline: Duration,
    /// It is a write with an idempotency key.
    pub is_write: bool,
    read_level: &'static str,
    staleness_bound: Duration,
}

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Index of the long statements.
pub const LONG: usize = 2;
/// Index of the writes.
pub const WRITE: usize = 3;
/// How long hosts remember the idempotency key of a write.
pub const KEY_WINDOW: Duration = ms(3_000);
/// The longest deadline of all classes.
pub const LONGEST_DEADLINE: Duration = ms(3_000);
/// The classes that are no long statements, and their shares.
const MIX: [(usize, f64); 3] = [(0, 0.46), (1, 0.24), (WRITE, 0.30)];

/// Bounded reads, reads of any age, long statements, writes.
pub const CLASSES: [Class; 4] = [
    Class {
        name: "view",
        work: ms(60),
        latency_target: ms(300),
        deadline: ms(1_200),
        is_write: false,
        read_level: "lag_bound",
        staleness_bound: ms(300),
    },
    Class {
        name: "browse",
        work: ms(60),
        latency_target: ms(400),
        deadline: ms(1_500),
        is_write: false,
        read_level: "eventual",
        staleness_bound: ms(0),
    },
    Class {
        name: "report",
        work: ms(600),
        latency_target: ms(2_400),
        deadline: ms(3_000),
        is_write: false,
        read_level: "eventual",
        staleness_bound: ms(0),
    },
    Class {
        name: "post",
        work: ms(35),
        latency_target: ms(300),
        deadline: ms(3_000),
        is_write: true,
        read_level: "mutate",
        staleness_bound: ms(0),
    },
];

/// Samples the class of a request.
pub fn sample_class(plan: &Plan, rng: &mut Pcg64Mcg) -> usize {
    let mut sample = uniform(rng);
    if sample < plan.long_share {
        return LONG;
    }
    sample = (sample - plan.long_share) / (1.0 - plan.long_share);
    for (class, share) in MIX {
        if sample < share {
            return class;
        }
        sample -= share;
    }
    WRITE
}

/// Mean execution time of a request at a warm host.
pub fn mean_work(plan: &Plan) -> Duration {
    let short = MIX.iter().map(|(class, share)| CLASSES[*class].work.mul_f64(*share)).sum::<Duration>();
    short.mul_f64(1.0 - plan.long_share) + CLASSES[LONG].work.mul_f64(plan.long_share)
}

/// The index of the class of this name.
pub fn class_index(name: &str) -> Option<usize> {
    CLASSES.iter().position(|class| class.name == name)
}

/// The deployment's settings, as JSON.
pub fn settings(plan: &Plan) -> String {
    let classes = CLASSES.iter().map(|class| ClassSettings {
        name: class.name,
        read_level: class.read_level,
        staleness_bound: class.staleness_bound,
        latency_target: class.latency_target,
        deadline: class.deadline,
        key_window: class.is_write.then_some(KEY_WINDOW),
        points: 2.0,
        late_share: 0.2,
    });
    let Plan { gateways, slow_start, .. } = *plan;
    DeploymentSettings { gateways, zone: 'a', classes: classes.collect(), slow_start }.json()
}
