//! The request classes of the clients: their shares, execution times and settings.

use super::{uniform, Plan};
use petrelgauge_test_support::{replace_parts, ClassSettings, DeploymentSettings};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// A class of requests.
pub struct Class {
    /// Mean execution time at a warm host.
    pub execution_time: Duration,
    /// Its entry in the deployment's settings.
    pub settings: ClassSettings,
}

impl Class {
    /// Whether its requests are writes with an idempotency key.
    pub fn is_write(&self) -> bool {
        self.settings.key_window.is_some()
    }
}

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Index of the class of long statements.
pub const LONG: usize = 2;
/// Index of the class of writes.
pub const WRITE: usize = 3;
/// Index of the class of orders. Its effect depends on the variant of the settings.
pub const ORDER: usize = 4;
/// How long hosts remember the idempotency key of a write.
pub const KEY_WINDOW: Duration = ms(3_000);
/// The longest deadline of any class.
pub const LONGEST_DEADLINE: Duration = ms(3_000);
/// Indices of the classes other than long statements, with their shares of the requests that are not long.
const SHORT_CLASS_SHARES: [(usize, f64); 3] = [(0, 0.46), (1, 0.24), (WRITE, 0.30)];

/// A read without a staleness bound.
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

/// A write without an idempotency key.
const ORDER_WRITE: ClassSettings = ClassSettings { name: "order", key_window: None, ..KEYED_WRITE };
/// A class that only some settings have, and that no client uses.
const EXTRA: ClassSettings = ClassSettings { name: "extra", ..READ };

/// What changes from one version of the settings to another.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    /// Whether orders must not be repeated.
    pub orders_are_unsafe: bool,
    /// Maximum attempts of a request.
    pub attempts: usize,
    /// Whether there is an extra class, before all others.
    pub has_extra: bool,
}

/// The versions of the settings. Gateways start with the first.
pub const VARIANTS: [Variant; 4] = [
    Variant { orders_are_unsafe: true, attempts: 8, has_extra: false },
    Variant { orders_are_unsafe: true, attempts: 7, has_extra: false },
    Variant { orders_are_unsafe: false, attempts: 8, has_extra: false },
    Variant { orders_are_unsafe: false, attempts: 6, has_extra: true },
];

pub const CLASSES: [Class; 5] = [
    Class { execution_time: ms(60), settings: BOUNDED_READ },
    Class { execution_time: ms(60), settings: READ },
    Class { execution_time: ms(600), settings: LONG_STATEMENT },
    Class { execution_time: ms(35), settings: KEYED_WRITE },
    Class { execution_time: ms(35), settings: ORDER_WRITE },
];

/// Samples the class of a request.
pub fn sample_class(plan: &Plan, rng: &mut Pcg64Mcg) -> usize {
    let mut sample = uniform(rng);
    if sample < plan.long_share {
        return LONG;
    }
    sample = (sample - plan.long_share) / (1.0 - plan.long_share);
    for (class, share) in SHORT_CLASS_SHARES {
        if sample < share {
            return class;
        }
        sample -= share;
    }
    WRITE
}

/// Mean execution time of a request at a warm host, over all classes.
pub fn mean_execution_time(plan: &Plan) -> Duration {
    let short = SHORT_CLASS_SHARES
        .iter()
        .map(|(class, share)| CLASSES[*class].execution_time.mul_f64(*share))
        .sum::<Duration>();
    short.mul_f64(1.0 - plan.long_share) + CLASSES[LONG].execution_time.mul_f64(plan.long_share)
}

/// The index of the class with this name.
pub fn class_index(name: &str) -> Option<usize> {
    CLASSES.iter().position(|class| class.settings.name == name)
}

/// A variant of the deployment's settings, as JSON.
pub fn settings_json(plan: &Plan, variant: Variant) -> String {
    let extra = variant.has_extra.then_some(EXTRA);
    let classes = extra.into_iter().chain(CLASSES.iter().map(|class| class.settings)).collect();
    let Plan { gateways, slow_start, .. } = *plan;
    let json = DeploymentSettings { gateways, zone: 'a', classes, slow_start }.json();
    let attempts = format!("\"attempts_cap\":{}", variant.attempts);
    let granularity = format!("\"granularity_us\":{}", plan.granularity.as_micros());
    let json =
        replace_parts(&json, &[("\"attempts_cap\":8", &attempts), ("\"granularity_us\":5000", &granularity)]);
    if variant.orders_are_unsafe {
        replace_parts(&json, &[("\"safe\",\"name\":\"order\"", "\"unsafe\",\"name\":\"order\"")])
    } else {
        json
    }
}
