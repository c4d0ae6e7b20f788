//! Deployment settings of gateways under test, and modifications that several tests share.

use std::time::Duration;

/// Maximum attempts of a request.
pub const MAX_ATTEMPTS: usize = 8;

/// The settings of a class of requests.
#[derive(Clone, Copy, Debug)]
pub struct ClassSettings {
    /// Its name.
    pub name: &'static str,
    /// Required freshness of reads, as a value of the setting `read_level`; `mutate` for writes.
    pub read_level: &'static str,
    /// Maximum staleness of reads, if `read_level` sets a bound.
    pub staleness_bound: Duration,
    /// The latency target.
    pub latency_target: Duration,
    /// How long clients wait for an answer.
    pub deadline: Duration,
    /// How long the idempotency key of a write is remembered; `None` for reads.
    pub key_window: Option<Duration>,
    /// The value of an answer on time.
    pub points: f64,
    /// The share of the value that a late answer retains.
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

/// Slow start of hosts, and the limit on the requests that a gateway sends to a started host.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Share of its capacity that a host has immediately after its start.
    pub initial_share: f64,
    /// Time from the start until full capacity.
    pub span: Duration,
    /// Limit on the requests to a host, as a multiple of its capacity.
    pub overload_factor: f64,
    /// The window in which these requests are counted.
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

    /// The share of its capacity that a host has at this age.
    pub fn share(&self, age: Duration) -> f64 {
        let progress = age.as_secs_f64() / self.span.as_secs_f64();
        (self.initial_share + (1.0 - self.initial_share) * progress).min(1.0)
    }
}

/// The settings of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSettings {
    /// Number of gateways.
    pub gateways: usize,
    /// Zone of the gateway that reads the settings.
    pub zone: char,
    /// The classes of requests.
    pub classes: Vec<ClassSettings>,
    /// Slow start of the hosts.
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

    /// Settings for one gateway, with a class of reads and a class of keyed writes.
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

/// Replaces the first text of each pair by the second in a configuration. Panics if a text is missing.
pub fn replace_parts(config: &str, changes: &[(&str, &str)]) -> String {
    changes.iter().fold(config.to_string(), |config, (old, new)| {
        assert!(config.contains(old), "the configuration lacks {old}");
        config.replace(old, new)
    })
}

/// Sets a connect timeout so long that a busy machine does not exceed it.
pub fn with_long_connect_timeout(config: &str) -> String {
    replace_parts(config, &[("\"connect_timeout_us\":250000", "\"connect_timeout_us\":50000000")])
}

/// An additional class of reads.
pub struct ReadClass {
    /// Its name.
    pub name: &'static str,
    /// Its read level.
    pub read_level: &'static str,
    /// Maximum staleness of the data (microseconds).
    pub staleness_bound_us: u64,
}

/// Changes a configuration to hosts that do not check their lag, and adds classes of reads.
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
