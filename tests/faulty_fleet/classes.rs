//! The classes of the clients' requests: their mix, work and settings.

use super::{uniform, Plan};
use petrelgauge_test_support::{ClassSettings, DeploymentSettings};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// A class of requests.
pub struct Class {
    /// Mean execution time at a warm host.
    pub work: Duration,
    /// What the deployment's settings say of it.
    pub settings: ClassSettings,
}

impl Class {
    /// Whether it is a write with an idempotency key.
    pub fn is_write(&self) -> bool {
        self.settings.key_window.is_some()
    }
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

/// A read of any age.
const READ: ClassSettings = ClassSettings {
    name: "browse",
    read_level: "eventual",
    staleness_bound: Duration::ZERO,
    latency_target: ms(400),
    deadline: ms(1_500),
    key_window: None,
    points: 2.0,
    late_share: 0.2,
};
const BOUNDED_READ: ClassSettings = ClassSettings {
    name: "view",
    read_level: "lag_bound",
    staleness_bound: ms(300),
    latency_target: ms(300),
    deadline: ms(1_200),
    ..READ
};
const LONG_STATEMENT: ClassSettings =
    ClassSettings { name: "report", latency_target: ms(2_400), deadline: ms(3_000), ..READ };
const KEYED_WRITE: ClassSettings = ClassSettings {
    name: "post",
    read_level: "mutate",
    latency_target: ms(300),
    deadline: ms(3_000),
    key_window: Some(KEY_WINDOW),
    ..READ
};

/// All classes.
pub const CLASSES: [Class; 4] = [
    Class { work: ms(60), settings: BOUNDED_READ },
    Class { work: ms(60), settings: READ },
    Class { work: ms(600), settings: LONG_STATEMENT },
    Class { work: ms(35), settings: KEYED_WRITE },
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
    CLASSES.iter().position(|class| class.settings.name == name)
}

/// The deployment's settings, as JSON.
pub fn settings(plan: &Plan) -> String {
    let classes = CLASSES.iter().map(|class| class.settings);
    let Plan { gateways, slow_start, .. } = *plan;
    DeploymentSettings { gateways, zone: 'a', classes: classes.collect(), slow_start }.json()
}
