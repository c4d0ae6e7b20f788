//! A simulated gateway instance: its router and the translation of its events.

use crate::error::EventError;
use crate::sessions::Sessions;
use crate::wire::{self, OutcomeMessage, RequestMessage, WireEvent};
use petrelgauge::settings::deployment::{self, DeploymentSettings};
use petrelgauge::{
    Action, AttemptOutcome, Ending, Entry, Event, GroupId, Need, Report, RequestArrival, Router, Time, Update,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A simulated gateway instance.
pub struct Instance {
    router: Router,
    /// Class indices by class name.
    class_indices: BTreeMap<String, usize>,
    /// Consistency needs of the classes, by class index.
    needs: Vec<Need>,
    /// The clock time from which replication positions are counted.
    position_origin: Time,
    /// Names of the values in load reports, in order.
    report_names: Vec<String>,
    sessions: Option<Sessions>,
}

impl Instance {
    /// Creates an instance from the settings of its deployment.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid.
    pub fn new(seed: u64, info: &DeploymentSettings) -> Result<Instance, EventError> {
        let settings = info.settings()?;
        let needs: Vec<Need> = settings.classes.iter().map(|class| class.need).collect();
        let class_names = settings.classes.iter().map(|class| class.name.clone());
        let class_indices = class_names.enumerate().map(|(index, name)| (name, index)).collect();
        Ok(Instance {
            sessions: Sessions::new(info, &needs),
            needs,
            class_indices,
            position_origin: info.position_origin(),
            report_names: info.report_names().to_vec(),
            router: Router::new(settings, seed)?,
        })
    }

    /// Steps the router and returns its actions.
    pub fn step(&mut self, now: Time, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.step(now, events, &mut actions);
        actions
    }

    /// Translates an event of the simulator. Returns `None` if the router does not handle it.
    ///
    /// # Errors
    ///
    /// Fails if the event contains an unknown name.
    pub fn translate(
        &mut self,
        now: Time,
        event: WireEvent,
        lists: &BTreeMap<u64, Arc<[Entry]>>,
    ) -> Result<Option<Event>, EventError> {
        Ok(match event {
            WireEvent::List { mode, slot } => list_event(&mode, slot, lists)?,
            WireEvent::Request(request) => Some(self.request_event(now, request)?),
            WireEvent::Outcome(outcome) => Some(self.outcome_event(now, outcome)?),
            WireEvent::Abandoned { request } => Some(Event::Abandoned { request }),
            WireEvent::Timer { token } => Some(Event::Timer { token }),
            WireEvent::ProbeResult { member, status, report } => Some(Event::Probed {
                member,
                ending: wire::parse_ending(&status)?,
                report: self.load_report(report),
            }),
            WireEvent::Configure { .. }
            | WireEvent::Teardown
            | WireEvent::DefineList { .. }
            | WireEvent::AttemptStarted {}
            | WireEvent::PeerMessage {} => None,
        })
    }

    fn request_event(&mut self, now: Time, message: RequestMessage) -> Result<Event, EventError> {
        let class = *self
            .class_indices
            .get(&message.class)
            .ok_or_else(|| EventError::UnknownClass(message.class.clone()))?;
        let group = message.group as GroupId;
        let minimum_position = self.minimum_position(now, class, group, &message);
        Ok(Event::Request(RequestArrival {
            class,
            group,
            time_left: message.time_left,
            is_retry: message.is_marked_retry(),
            minimum_position,
            request: message.request,
        }))
    }

    /// The minimum position of a session read: that of the session's last write through this instance, or
    /// else of the commit that the client specifies.
    fn minimum_position(
        &mut self,
        now: Time,
        class: usize,
        group: GroupId,
        message: &RequestMessage,
    ) -> Option<Time> {
        let need = self.needs[class];
        let tracked = match (&mut self.sessions, &message.session) {
            (Some(sessions), Some(name)) => sessions.begin_request(now, &message.request, need, group, name),
            _ => None,
        };
        let commit_age = message.commit_age().filter(|_| need == Need::Session);
        tracked.or(commit_age.map(|age| now - age))
    }

    fn outcome_event(&mut self, now: Time, message: OutcomeMessage) -> Result<Event, EventError> {
        let position = message.stamp.position(self.position_origin);
        let ending = wire::parse_ending(&message.status)?;
        if let Some(sessions) = &mut self.sessions {
            if let Some(commit) = position.filter(|_| ending == Ending::Served) {
                sessions.record_commit(now, &message.request, commit);
            }
            if message.is_final {
                sessions.end_request(&message.request);
            }
        }
        Ok(Event::Outcome(AttemptOutcome {
            request: message.request,
            attempt: message.attempt,
            member: message.member,
            ending,
            took: message.took,
            closed: message.is_final,
            position,
            role: message.stamp.role(),
            report: self.load_report(message.report),
        }))
    }

    fn load_report(&self, values: Option<Vec<f64>>) -> Report {
        let names = self.report_names.iter().map(String::as_str);
        deployment::load_report(self.position_origin, names.zip(values.unwrap_or_default()))
    }
}

/// Translates a delivery of the endpoint list. Returns `None` for a failed delivery, after which the previous
/// list remains in use.
fn list_event(
    mode: &str,
    slot: u64,
    lists: &BTreeMap<u64, Arc<[Entry]>>,
) -> Result<Option<Event>, EventError> {
    let update = match mode {
        "X" => return Ok(None),
        "D" => Update::Partial,
        "F" | "C" => Update::Complete,
        other => return Err(EventError::UnknownMode(other.to_string())),
    };
    let entries = lists.get(&slot).ok_or(EventError::UnknownSlot(slot))?.clone();
    Ok(Some(Event::List { update, entries }))
}
