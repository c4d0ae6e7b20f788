//! Converts a deployment's settings from their JSON form to [`Settings`]. The gateway and the simulator's
//! adapter both use this code, so that they decide by the same values.

mod classes;
mod error;
mod json_form;
mod load_report;

pub use error::DeploymentError;
pub use json_form::DeploymentSettings;
pub use load_report::load_report;

use crate::settings::deployment::classes::classes;
use crate::settings::deployment::json_form::Family;
use crate::{ListRole, Settings, StaleReadPolicy, Time};

impl DeploymentSettings {
    /// This gateway's number among the gateways, counted from 0, if the settings specify it.
    pub fn gateway_number(&self) -> Option<usize> {
        self.my_number
    }

    /// The time from which reported positions are counted (Unix time, microseconds); 0 if they are Unix
    /// times.
    pub fn position_origin(&self) -> Time {
        self.family_info.origin_time_us
    }

    /// Whether session reads must see the writes that this gateway has answered. Otherwise the client
    /// specifies the commit that a read must see.
    pub fn tracks_sessions(&self) -> bool {
        self.family_info.session_marks == "kept"
    }

    /// Whether hosts report their replication position with each answer.
    pub fn hosts_report_positions(&self) -> bool {
        self.family_info.stamps
    }

    /// Whether a host rejects or delays a read if its position is too old for it.
    pub fn hosts_enforce_positions(&self) -> bool {
        self.family_info.when_behind != "off"
    }

    /// Names of the values in a load report, in order.
    pub fn report_names(&self) -> &[String] {
        &self.reporting.names
    }

    /// Time within which a connection to a host must be established (microseconds).
    pub fn connect_timeout(&self) -> Time {
        self.bounds.connect_timeout_us
    }

    /// Time after which a host closes an idle connection (microseconds).
    pub fn host_idle_timeout(&self) -> Time {
        self.bounds.conn_idle_us
    }

    /// Converts the settings to the router's.
    ///
    /// # Errors
    ///
    /// Fails if a value is missing or unknown. [`Settings::check`] checks the ranges.
    pub fn settings(&self) -> Result<Settings, DeploymentError> {
        let (bounds, obligations) = (&self.bounds, &self.obligations);
        Ok(Settings {
            classes: classes(self)?,
            routers: self.balancers,
            zone: self.zone.clone(),
            granularity: self.granularity_us,
            max_open_requests: bounds.max_open,
            may_cancel: bounds.cancel,
            may_hedge: bounds.second_copies,
            may_probe: bounds.probes,
            list_on_request: self.membership_mode == "on_request",
            max_retry_after: if bounds.retry_after { bounds.max_retry_after_us } else { 0 },
            answer_slack: obligations.answer_slack_us,
            client_round_trip: 0,
            final_answer_by: Time::MAX,
            slow_start_initial_share: obligations.cold_from,
            slow_start_span: obligations.cold_us,
            overload_factor: obligations.overload_factor,
            overload_span: obligations.fall_us,
            drain_grace: obligations.drain_grace_us,
            list_poll_interval: obligations.ask_every_us,
            soft_removal: obligations.soft_removal,
            stale_read_policy: stale_read_policy(&self.family_info)?,
            list_role: list_role(&self.family_info),
            read_wait_bound: 0,
            discovery_interval_factor: 1,
            // Set by the caller, which knows the clock that the router uses.
            clock_may_be_wrong: false,
            crossing_price: self.penalties.cross_zone,
            probe_price: self.penalties.probe,
        })
    }
}

fn stale_read_policy(family: &Family) -> Result<StaleReadPolicy, DeploymentError> {
    match family.when_behind.as_str() {
        "off" => Ok(StaleReadPolicy::Serve),
        "bounce" => Ok(StaleReadPolicy::Reject),
        "await" => Ok(StaleReadPolicy::Wait(family.catch_up_wait_us)),
        other => Err(DeploymentError::UnknownWhenBehind(other.to_string())),
    }
}

fn list_role(family: &Family) -> ListRole {
    match family.shows_role.as_str() {
        "trailing" => ListRole::Trailing,
        "static" => ListRole::Static,
        _ => ListRole::Absent,
    }
}
