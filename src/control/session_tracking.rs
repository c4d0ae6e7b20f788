//! The session tracking that a configuration asks for.

use crate::control::config::Config;
use crate::control::error::ControlError;
use crate::facade::SessionTracking;
use crate::settings::operator::SessionClassesError;
use crate::{Class, Need, Time};
use petrelgauge_sessions::SessionTracker;
use std::net::SocketAddr;

/// The session tracker with the classes that carry sessions, and where broadcasts of others are received.
pub(super) type TrackedSessions = (Option<SessionTracking>, Option<SocketAddr>);

/// The sessions that the operator has switched on, or else what the deployment asks for by itself: watermarks of this
/// instance's own answers, since its start.
pub(super) fn sessions(
    config: &Config,
    classes: &[Class],
    now: Time,
) -> Result<TrackedSessions, ControlError> {
    if let Some(set) = &config.operator.sessions {
        let (classes, mut settings) = (carrying(config, classes)?, set.settings.clone());
        let mut exchange = None;
        if set.peers {
            let listen = config.peer_listen.ok_or(ControlError::MissingPeerListen { record: "sessions" })?;
            let me = config.place().ok_or(ControlError::NotListedFor { record: "sessions" })?;
            (settings.instance, settings.instances) =
                (me as u16, config.peers.len().min(u16::MAX.into()) as u16);
            exchange = Some(listen);
        }
        let tracker = SessionTracker::new(settings, now)?;
        return Ok((Some(SessionTracking { tracker, classes }), exchange));
    }
    let classes = carrying(config, classes)?;
    if classes.is_empty() {
        return Ok((None, None));
    }
    let (hosts_report_positions, hosts_enforce_positions) =
        (config.info.tells_positions(), config.info.checks());
    let defaults = petrelgauge_sessions::Settings {
        hosts_report_positions,
        hosts_enforce_positions,
        ..Default::default()
    };
    let settings = petrelgauge_sessions::Settings { roams: false, tokens: false, ..defaults };
    let tracker = SessionTracker::new(settings, 0)?;
    Ok((Some(SessionTracking { tracker, classes }), None))
}

/// Places of the classes that carry sessions: those that the operator names, or else those that the deployment asks
/// for by itself.
pub(super) fn carrying(config: &Config, classes: &[Class]) -> Result<Vec<usize>, SessionClassesError> {
    if let Some(set) = &config.operator.sessions {
        return set.places(classes);
    }
    if !classes.iter().any(|class| class.need == Need::Session) || !config.info.remembers_sessions() {
        return Ok(Vec::new());
    }
    let carrying = |place: &usize| matches!(classes[*place].need, Need::Write | Need::Session);
    Ok((0..classes.len()).filter(carrying).collect())
}
