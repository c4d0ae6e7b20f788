//! The classes of the clients' requests: their mix, work and settings.

use super::{uniform, Plan};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// A class of requests.
pub struct Class {
    pub name: &'static str,
    /// Mean time that a warm host works on one.
    pub work: Duration,
    pub latency_target: Duration,
    pub deadline: Duration,
    pub is_write: bool,
}

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub const LONG: usize = 2;
pub const WRITE: usize = 3;
/// Span after a write's first attempt in which its key is remembered.
pub const KEY_WINDOW: Duration = ms(3_000);
pub const LONGEST_DEADLINE: Duration = ms(3_000);
/// Attempts that a request may have.
pub const ATTEMPTS: usize = 8;
/// What is not a long statement: bounded reads, reads of any age, writes (shares).
const MIX: [(usize, f64); 3] = [(0, 0.46), (1, 0.24), (WRITE, 0.30)];

pub const CLASSES: [Class; 4] = [
    Class { name: "view", work: ms(60), latency_target: ms(300), deadline: ms(1_200), is_write: false },
    Class { name: "browse", work: ms(60), latency_target: ms(400), deadline: ms(1_500), is_write: false },
    Class { name: "report", work: ms(600), latency_target: ms(2_400), deadline: ms(3_000), is_write: false },
    Class { name: "post", work: ms(35), latency_target: ms(300), deadline: ms(3_000), is_write: true },
];

/// Draws the class of a request.
pub fn draw(plan: &Plan, rng: &mut Pcg64Mcg) -> usize {
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

/// Mean work of a request.
pub fn mean_work(plan: &Plan) -> Duration {
    let short = MIX.iter().map(|(class, share)| CLASSES[*class].work.mul_f64(*share)).sum::<Duration>();
    short.mul_f64(1.0 - plan.long_share) + CLASSES[LONG].work.mul_f64(plan.long_share)
}

/// The class of this name.
pub fn by_name(name: &str) -> Option<usize> {
    CLASSES.iter().position(|class| class.name == name)
}

/// The settings of a gateway in this fleet.
pub fn settings(plan: &Plan) -> String {
    let class = |class: &Class| {
        let effect = if class.is_write {
            format!(r#""idempotency":"keyed","group":"cell","window_us":{}"#, KEY_WINDOW.as_micros())
        } else {
            r#""idempotency":"safe""#.to_string()
        };
        format!(
            r#"{{"name":"{}","aim_us":{},"deadline_us":{},"points":2.0,"late_share":0.2,{effect}}}"#,
            class.name,
            class.latency_target.as_micros(),
            class.deadline.as_micros(),
        )
    };
    let classes: Vec<String> = CLASSES.iter().map(class).collect();
    let slow_start = plan.slow_start;
    format!(
        r#"{{"balancers":{gateways},"zone":"a","granularity_us":5000,"membership_mode":"pushed",
"bounds":{{"attempts_cap":{ATTEMPTS},"cancel":true,"conn_idle_us":30000000,"connect_timeout_us":250000,
"max_retry_after_us":500000,"retry_after":true,"probes":false,"second_copies":false}},
"classes":[{classes}],
"family_info":{{"read_level":["lag_bound","eventual","eventual","mutate"],"staleness_bound_us":[300000,0,0,0],
"when_behind":"bounce","shows_role":"trailing","session_marks":"kept","stamps":true}},
"obligations":{{"answer_slack_us":20000,"cold_from":{from},"cold_us":{span},"drain_grace_us":2000000,
"fall_us":{window},"overload_factor":{factor}}}}}"#,
        gateways = plan.gateways,
        classes = classes.join(","),
        from = slow_start.initial_share,
        span = slow_start.span.as_micros(),
        window = slow_start.overload_span.as_micros(),
        factor = slow_start.overload_factor,
    )
}
