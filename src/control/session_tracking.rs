//! Builds the session tracking from the configuration.

use crate::control::config::Config;
use crate::control::error::ControlError;
use crate::facade::SessionTracking;
use crate::settings::operator::{SessionClassesError, SessionsRecord};
use crate::{Class, Need, Time};
use petrelgauge_sessions::{SessionTracker, Settings};
use std::net::SocketAddr;

/// One SESSION_MEMORY_DIVISOR-th of the memory limit is for the exact watermarks of sessions.
const SESSION_MEMORY_DIVISOR: usize = 8;

/// Session tracking and the address for its broadcasts.
#[derive(Default)]
pub(super) struct SessionSetup {
    /// The tracker and the classes it applies to; `None` if no class has sessions.
    pub(super) tracking: Option<SessionTracking>,
    /// Listen address for watermark broadcasts from other gateways, if they are exchanged.
    pub(super) broadcast_address: Option<SocketAddr>,
}

/// Builds session tracking from the operator's `sessions` record. Without that record, the session reads of
/// the deployment see only the writes that this gateway has answered since it started.
pub(super) fn session_tracking(
    config: &Config,
    classes: &[Class],
    now: Time,
) -> Result<SessionSetup, ControlError> {
    let session_classes = session_class_indices(config, classes)?;
    match &config.operator.sessions {
        Some(record) => operator_sessions(config, record, session_classes, now),
        None if session_classes.is_empty() => Ok(SessionSetup::default()),
        None => local_sessions(config, session_classes),
    }
}

/// Builds session tracking from the operator's `sessions` record.
fn operator_sessions(
    config: &Config,
    record: &SessionsRecord,
    classes: Vec<usize>,
    now: Time,
) -> Result<SessionSetup, ControlError> {
    let mut settings = record.settings.clone();
    let mut broadcast_address = None;
    if record.peers {
        let address = config.peer_listen.ok_or(ControlError::MissingPeerListen { record: "sessions" })?;
        let instance = config.peer_index().ok_or(ControlError::NotListedFor { record: "sessions" })?;
        settings.instance = instance as u16;
        settings.instances = config.peers.len().min(u16::MAX.into()) as u16;
        broadcast_address = Some(address);
    }
    let tracker = SessionTracker::new(within_memory(config, settings), now)?;
    Ok(SessionSetup { tracking: Some(SessionTracking { tracker, classes }), broadcast_address })
}

/// Builds session tracking that is local to this gateway: no tokens, no broadcasts.
fn local_sessions(config: &Config, classes: Vec<usize>) -> Result<SessionSetup, ControlError> {
    let settings = Settings {
        roams: false,
        tokens: false,
        hosts_report_positions: config.deployment.hosts_report_positions(),
        hosts_enforce_positions: config.deployment.hosts_enforce_positions(),
        ..Settings::default()
    };
    let tracker = SessionTracker::new(within_memory(config, settings), 0)?;
    Ok(SessionSetup { tracking: Some(SessionTracking { tracker, classes }), broadcast_address: None })
}

/// Limits the sessions that are kept exactly to their share of the process's memory. The others share the
/// sketch, which is never too low.
fn within_memory(config: &Config, settings: Settings) -> Settings {
    let configured = settings.exact_sessions;
    let limited = settings.within_memory(config.max_memory / SESSION_MEMORY_DIVISOR);
    if limited.exact_sessions < configured {
        log::info!("exact sessions limited configured={configured} used={}", limited.exact_sessions);
    }
    limited
}

/// Returns the indices of the classes with sessions: those that the operator's record names, or else the
/// write and session-read classes of a deployment that tracks sessions.
pub(super) fn session_class_indices(
    config: &Config,
    classes: &[Class],
) -> Result<Vec<usize>, SessionClassesError> {
    if let Some(record) = &config.operator.sessions {
        return record.class_indices(classes);
    }
    let has_session_reads = classes.iter().any(|class| class.need == Need::Session);
    if !has_session_reads || !config.deployment.tracks_sessions() {
        return Ok(Vec::new());
    }
    let has_sessions = |index: &usize| matches!(classes[*index].need, Need::Write | Need::Session);
    Ok((0..classes.len()).filter(has_sessions).collect())
}
