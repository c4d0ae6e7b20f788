//! The settings of a deployment, from their JSON form to [`Settings`]. The adapter to the simulator and the
//! gateway read them here, so that both decide by the same figures.

use petrelgauge_policy::*;
use serde::Deserialize;
use thiserror::Error;

/// Why the settings of a deployment cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeploymentError {
    /// A class has no read level, or one that is not known.
    #[error("read_level: class {class:?} has unknown level {level:?}")]
    UnknownReadLevel {
        /// Name of the class.
        class: String,
        /// The level in the settings, if there is one.
        level: Option<String>,
    },
    /// The value of `idempotency` is not known.
    #[error("idempotency: class {class:?} has unknown effect {effect:?}")]
    UnknownEffect {
        /// Name of the class.
        class: String,
        /// The value in the settings.
        effect: String,
    },
    /// The scope of a class's idempotency keys is not known.
    #[error("group: class {class:?} has unknown scope {scope:?}")]
    UnknownScope {
        /// Name of the class.
        class: String,
        /// The value in the settings.
        scope: String,
    },
    /// A class with idempotency keys does not say how long they are remembered.
    #[error("class {class:?} is keyed and names no window_us")]
    MissingWindow {
        /// Name of the class.
        class: String,
    },
    /// The value of `when_behind` is not known.
    #[error("when_behind: unknown value {0:?}")]
    UnknownWhenBehind(String),
}

/// The settings as the operators write them. Keys that are not known are skipped.
#[derive(Debug, Deserialize)]
pub struct Info {
    balancers: u32,
    bounds: Bounds,
    classes: Vec<WireClass>,
    family_info: Family,
    granularity_us: Time,
    #[serde(default)]
    membership_mode: String,
    #[serde(default)]
    my_number: Option<usize>,
    obligations: Obligations,
    #[serde(default)]
    penalties: Penalties,
    #[serde(default)]
    reporting: Reporting,
    #[serde(default)]
    zone: String,
}

#[derive(Debug, Deserialize)]
struct Bounds {
    attempts_cap: u32,
    #[serde(default = "plenty")]
    max_open: u32,
    #[serde(default)]
    cancel: bool,
    #[serde(default = "half_minute")]
    conn_idle_us: Time,
    #[serde(default = "quarter_second")]
    connect_timeout_us: Time,
    #[serde(default)]
    second_copies: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_us: Time,
}

fn plenty() -> u32 {
    u32::MAX
}

fn half_minute() -> Time {
    30_000_000
}

fn quarter_second() -> Time {
    250_000
}

#[derive(Debug, Deserialize)]
struct WireClass {
    name: String,
    aim_us: Time,
    deadline_us: Time,
    #[serde(default)]
    group: String,
    idempotency: String,
    window_us: Option<Time>,
    #[serde(default)]
    late_share: f64,
    points: f64,
}

#[derive(Debug, Deserialize)]
struct Family {
    read_level: Vec<String>,
    #[serde(default)]
    staleness_bound_us: Vec<Time>,
    #[serde(default)]
    catch_up_wait_us: Time,
    #[serde(default)]
    origin_time_us: Time,
    #[serde(default)]
    session_marks: String,
    #[serde(default)]
    shows_role: String,
    #[serde(default = "yes")]
    stamps: bool,
    #[serde(default)]
    when_behind: String,
}

fn yes() -> bool {
    true
}

#[derive(Debug, Deserialize)]
struct Obligations {
    answer_slack_us: Time,
    #[serde(default)]
    ask_every_us: Time,
    cold_from: f64,
    cold_us: Time,
    drain_grace_us: Time,
    fall_us: Time,
    overload_factor: f64,
    #[serde(default)]
    soft_removal: bool,
}

#[derive(Debug, Default, Deserialize)]
struct Penalties {
    #[serde(default)]
    cross_zone: f64,
    #[serde(default)]
    probe: f64,
}

#[derive(Debug, Default, Deserialize)]
struct Reporting {
    #[serde(default)]
    names: Vec<String>,
}

impl Info {
    /// This gateway's number among those of its tier, from 0, if the settings tell it.
    pub fn number(&self) -> Option<usize> {
        self.my_number
    }

    /// The clock time that positions are counted from where they are not Unix times.
    pub fn origin(&self) -> Time {
        self.family_info.origin_time_us
    }

    /// Session reads must see the writes that this instance saw served; else their clients name the commit.
    pub fn remembers_sessions(&self) -> bool {
        self.family_info.session_marks == "kept"
    }

    /// Members tell positions with their answers.
    pub fn tells_positions(&self) -> bool {
        self.family_info.stamps
    }

    /// Members that are too far behind for a read do not answer it.
    pub fn checks(&self) -> bool {
        self.family_info.when_behind != "off"
    }

    /// What the values of a load report are called, in their order.
    pub fn report_names(&self) -> &[String] {
        &self.reporting.names
    }

    /// Span in which a connection to a member must come up.
    pub fn connect_span(&self) -> Time {
        self.bounds.connect_timeout_us
    }

    /// Span after which a member closes an idle connection.
    pub fn idle_span(&self) -> Time {
        self.bounds.conn_idle_us
    }

    /// The settings as the routing decisions take them.
    ///
    /// # Errors
    ///
    /// Fails if a value is missing or is not one of those that are known.
    pub fn settings(&self) -> Result<Settings, DeploymentError> {
        let family = &self.family_info;
        let mut classes = Vec::new();
        for (place, class) in self.classes.iter().enumerate() {
            classes.push(Class {
                name: class.name.clone(),
                need: need(family, place, &class.name)?,
                effect: effect(class)?,
                attempts: self.bounds.attempts_cap,
                // An aim past the deadline is never looked at: it is no reason not to start.
                latency_target: class.aim_us.min(class.deadline_us),
                deadline: class.deadline_us,
                priority_weight: class.points,
                late_share: class.late_share,
            });
        }
        let duties = &self.obligations;
        Ok(Settings {
            routers: self.balancers,
            zone: self.zone.clone(),
            granularity: self.granularity_us,
            max_open_requests: self.bounds.max_open,
            may_cancel: self.bounds.cancel,
            may_hedge: self.bounds.second_copies,
            may_probe: self.bounds.probes,
            list_on_request: self.membership_mode == "on_request",
            max_retry_after: if self.bounds.retry_after { self.bounds.max_retry_after_us } else { 0 },
            answer_slack: duties.answer_slack_us,
            client_round_trip: 0,
            final_answer_by: Time::MAX,
            slow_start_initial_share: duties.cold_from,
            slow_start_span: duties.cold_us,
            overload_factor: duties.overload_factor,
            overload_span: duties.fall_us,
            drain_grace: duties.drain_grace_us,
            list_poll_interval: duties.ask_every_us,
            soft_removal: duties.soft_removal,
            stale_read_policy: match family.when_behind.as_str() {
                "off" => StaleReadPolicy::Serve,
                "bounce" => StaleReadPolicy::Reject,
                "await" => StaleReadPolicy::Wait(family.catch_up_wait_us),
                other => return Err(DeploymentError::UnknownWhenBehind(other.to_string())),
            },
            list_role: match family.shows_role.as_str() {
                "trailing" => ListRole::Trailing,
                "static" => ListRole::Static,
                _ => ListRole::Absent,
            },
            read_wait_bound: 0,
            discovery_interval_factor: 1,
            // Whoever embeds the decisions says whose clock it gives them.
            clock_may_be_wrong: false,
            crossing_price: self.penalties.cross_zone,
            probe_price: self.penalties.probe,
            classes,
        })
    }
}

fn need(family: &Family, place: usize, class: &str) -> Result<Need, DeploymentError> {
    Ok(match family.read_level.get(place).map(String::as_str) {
        Some("mutate") => Need::Write,
        Some("strong") => Need::Strong,
        Some("causal") => Need::Session,
        Some("lag_bound") => Need::Bounded(family.staleness_bound_us.get(place).copied().unwrap_or(-1)),
        Some("eventual") => Need::Eventual,
        other => {
            let (class, level) = (class.to_string(), other.map(str::to_string));
            return Err(DeploymentError::UnknownReadLevel { class, level });
        }
    })
}

fn effect(class: &WireClass) -> Result<Effect, DeploymentError> {
    let name = || class.name.clone();
    Ok(match class.idempotency.as_str() {
        "safe" => Effect::Safe,
        "unsafe" => Effect::Unsafe,
        "keyed" => Effect::Keyed {
            window: class.window_us.ok_or_else(|| DeploymentError::MissingWindow { class: name() })?,
            scope: match class.group.as_str() {
                "all" => Scope::All,
                "zone" => Scope::Zone,
                "cell" => Scope::Group,
                other => {
                    return Err(DeploymentError::UnknownScope { class: name(), scope: other.to_string() })
                }
            },
        },
        other => {
            return Err(DeploymentError::UnknownEffect { class: name(), effect: other.to_string() });
        }
    })
}

/// A load report from its named values; positions in it are seconds after `origin`.
pub fn report<'a>(origin: Time, values: impl Iterator<Item = (&'a str, f64)>) -> Report {
    let mut report = Report::default();
    for (name, value) in values {
        match name {
            "x0" if value > 0.0 => report.position = Some(origin.saturating_add((value * 1e6) as Time)),
            "x1" => report.role = Some(if value >= 0.5 { Role::Primary } else { Role::Replica }),
            "q" => report.waiting = Some(value),
            "busy" => report.busy = Some(value),
            _ => {}
        }
    }
    report
}
