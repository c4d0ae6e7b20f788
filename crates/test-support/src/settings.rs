//! The settings of a deployment, as gateways are started with them, and changes that several tests make to them.

use std::time::Duration;

/// Attempts that a request may have.
pub const MAX_ATTEMPTS: usize = 8;

/// A class of requests in a deployment's settings.
#[derive(Clone, Copy, Debug)]
pub struct ClassSettings {
    /// Its name.
    pub name: &'static str,
    /// How new the data of its reads must be, as the settings name it; `mutate` for writes.
    pub read_level: &'static str,
    /// How old the data of its reads may be, where `read_level` sets a bound.
    pub staleness_bound: Duration,
    /// The latency objective.
    pub latency_target: Duration,
    /// How long clients wait.
    pub deadline: Duration,
    /// How long the idempotency key of a write is remembered; none for a read.
    pub key_window: Option<Duration>,
    /// What an answer is worth.
    pub points: f64,
    /// The share of that which a late answer is still worth.
    pub late_share: f64,
}

impl ClassSettings {
    fn json(&self) -> String {
        let idempotency = match self.key_window {
            Some(window) => {
                format!(r#""idempotency":"keyed","group":"cell","window_us":{}"#, window.as_micros())
            }
            None => r#""idempotency":"safe""#.to_string(),
        };
        let ClassSettings { name, latency_target, deadline, points, late_share, .. } = self;
        format!(
            r#"{{"aim_us":{},"deadline_us":{},{idempotency},"name":"{name}","points":{points:?},"late_share":{late_share:?}}}"#,
            latency_target.as_micros(),
            deadline.as_micros(),
        )
    }
}

/// How hosts start, and what a gateway may send to one that has started.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Share of its capacity that a host has right after its start.
    pub initial_share: f64,
    /// The time until it has all of it.
    pub span: Duration,
    /// How many times its capacity a host may be sent.
    pub overload_factor: f64,
    /// The window in which that is counted.
    pub overload_span: Duration,
}

impl SlowStart {
    /// The slow start of most deployments.
    pub const DEFAULT: SlowStart = SlowStart {
        initial_share: 0.24,
        span: Duration::from_secs(16),
        overload_factor: 4.0,
        overload_span: Duration::from_secs(1),
    };

    /// The share of its capacity that a host of this age has.
    pub fn share(&self, age: Duration) -> f64 {
        let grown = age.as_secs_f64() / self.span.as_secs_f64();
        (self.initial_share + (1.0 - self.initial_share) * grown).min(1.0)
    }
}

/// The settings of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSettings {
    /// How many gateways it has.
    pub gateways: usize,
    /// The zone of the gateway that reads them.
    pub zone: char,
    /// Its classes of requests.
    pub classes: Vec<ClassSettings>,
    /// How its hosts start.
    pub slow_start: SlowStart,
}

impl DeploymentSettings {
    /// The settings as JSON.
    pub fn json(&self) -> String {
        let DeploymentSettings { gateways, zone, classes, slow_start } = self;
        let SlowStart { initial_share, span, overload_factor, overload_span } = slow_start;
        let list =
            |text: fn(&ClassSettings) -> String| classes.iter().map(text).collect::<Vec<_>>().join(",");
        let read_levels = list(|class| format!("\"{}\"", class.read_level));
        let staleness_bounds = list(|class| class.staleness_bound.as_micros().to_string());
        let classes = list(ClassSettings::json);
        let (span, overload_span) = (span.as_micros(), overload_span.as_micros());
        format!(
            r#"{{"balancers":{gateways},"zone":"{zone}","granularity_us":5000,"membership_mode":"pushed",
"bounds":{{"attempts_cap":{MAX_ATTEMPTS},"cancel":true,"conn_idle_us":30000000,"connect_timeout_us":250000,
"max_retry_after_us":500000,"retry_after":true,"probes":false,"second_copies":false}},
"classes":[{classes}],
"family_info":{{"read_level":[{read_levels}],"staleness_bound_us":[{staleness_bounds}],"when_behind":"bounce",
"shows_role":"trailing","session_marks":"kept","stamps":true}},
"obligations":{{"answer_slack_us":20000,"cold_from":{initial_share:?},"cold_us":{span},"drain_grace_us":2000000,
"fall_us":{overload_span},"overload_factor":{overload_factor:?}}}}}"#
        )
        .replace('\n', "")
    }

    /// One gateway, a class of reads and one of keyed writes.
    pub(crate) fn single_gateway() -> DeploymentSettings {
        let read = ClassSettings {
            name: "view",
            read_level: "eventual",
            staleness_bound: Duration::ZERO,
            latency_target: Duration::from_secs(4),
            deadline: Duration::from_secs(30),
            key_window: None,
            points: 2.0,
            late_share: 0.2,
        };
        let write = ClassSettings {
            name: "post",
            read_level: "mutate",
            key_window: Some(Duration::from_secs(30)),
            points: 4.0,
            late_share: 0.5,
            ..read
        };
        DeploymentSettings {
            gateways: 1,
            zone: 'a',
            classes: vec![read, write],
            slow_start: SlowStart::DEFAULT,
        }
    }
}

/// The configuration with the first text of each pair replaced by the second. Panics if one is missing.
pub fn replace_parts(config: &str, changes: &[(&str, &str)]) -> String {
    changes.iter().fold(config.to_string(), |config, (old, new)| {
        assert!(config.contains(old), "{old}");
        config.replace(old, new)
    })
}

/// The configuration with so much time for a connection that a busy machine does not make it fail.
pub fn with_long_connect_timeout(config: &str) -> String {
    replace_parts(config, &[("\"connect_timeout_us\":250000", "\"connect_timeout_us\":50000000")])
}

/// A further class of reads.
pub struct ReadClass {
    /// Its name.
    pub name: &'static str,
    /// Its read level.
    pub read_level: &'static str,
    /// How old its data may be (microseconds).
    pub staleness_bound_us: u64,
}

/// The configuration for hosts that do not check how far behind they are, with these classes of reads added.
pub fn with_unchecked_reads(config: &str, classes: &[ReadClass]) -> String {
    let (mut levels, mut bounds, mut records) = (String::new(), String::new(), String::new());
    for ReadClass { name, read_level, staleness_bound_us } in classes {
        levels += &format!(",\"{read_level}\"");
        bounds += &format!(",{staleness_bound_us}");
        records += &format!(
            r#",{{"aim_us":4000000,"deadline_us":30000000,"idempotency":"safe","name":"{name}","points":2.0,"late_share":0.2}}"#
        );
    }
    let changes = [
        ("\"when_behind\":\"bounce\"", "\"when_behind\":\"off\""),
        ("[\"eventual\",\"mutate\"]", &format!("[\"eventual\",\"mutate\"{levels}]")),
        ("\"staleness_bound_us\":[0,0]", &format!("\"staleness_bound_us\":[0,0{bounds}]")),
        ("\"late_share\":0.5}]", &format!("\"late_share\":0.5}}{records}]")),
    ];
    replace_parts(config, &changes)
}
