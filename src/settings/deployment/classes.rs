//! Converts request classes from their JSON form to the router's.

use crate::settings::deployment::error::DeploymentError;
use crate::settings::deployment::json_form::{DeploymentSettings, Family, WireClass};
use crate::{Class, Effect, Need, Scope, Time};

/// Replaces a missing bound; `Settings::check` rejects it.
const INVALID_STALENESS_BOUND: Time = -1;

/// Converts the classes of a deployment.
pub(super) fn classes(deployment: &DeploymentSettings) -> Result<Vec<Class>, DeploymentError> {
    let mut classes = Vec::new();
    for (index, class) in deployment.classes.iter().enumerate() {
        classes.push(Class {
            name: class.name.clone(),
            need: need(&deployment.family_info, index, &class.name)?,
            effect: effect(class)?,
            attempts: deployment.bounds.attempts_cap,
            // A target after the deadline must not prevent an attempt from being started.
            latency_target: class.aim_us.min(class.deadline_us),
            deadline: class.deadline_us,
            priority_weight: class.points,
            late_share: class.late_share,
        });
    }
    Ok(classes)
}

fn need(family: &Family, index: usize, class: &str) -> Result<Need, DeploymentError> {
    Ok(match family.read_level.get(index).map(String::as_str) {
        Some("mutate") => Need::Write,
        Some("strong") => Need::Strong,
        Some("causal") => Need::Session,
        Some("lag_bound") => {
            Need::Bounded(family.staleness_bound_us.get(index).copied().unwrap_or(INVALID_STALENESS_BOUND))
        }
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
