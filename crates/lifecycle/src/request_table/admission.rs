//! Admission of requests, and what it depends on: the settings with their classes, and the endpoint list.

use super::{
    AttemptInFlight, ClassLookup, OpenRequest, Request, RequestTable, SessionNeed, SessionRef,
    SettingsRejected,
};
use crate::class_table::{ClassSetVersion, IdempotencyKey, TooManyClasses};
use petrelgauge_policy::{
    mutant, Class, Entry, Event, GroupId, MemberStatus, Mutant, Need, RequestArrival, RequestId, Settings,
    Time, Update, ASSUMED_KNOWN_AFTER,
};
use petrelgauge_sessions::{MinimumPosition, SessionKey};
use std::collections::BTreeSet;

impl RequestTable {
    /// Sets the maximum number of requests that can be open at a time.
    pub fn set_max_open_requests(&mut self, max_count: u32) {
        self.settings.max_open_requests = max_count;
        // The settings were valid before, and this value can't make them invalid.
        let _ = self.router.apply_settings(self.settings_with_classes());
    }

    /// The version of the classes in force, which changes whenever [`RequestTable::apply_settings`] has changed
    /// a class.
    pub fn class_version(&self) -> ClassSetVersion {
        self.classes.version_in_force()
    }

    /// Holds the classes in force for queries that are received and not admitted yet; see
    /// [`ClassTable::hold`](crate::class_table::ClassTable::hold).
    pub fn hold_classes(&mut self) -> ClassSetVersion {
        self.classes.hold()
    }

    /// Releases a hold.
    pub fn release_classes(&mut self, version: ClassSetVersion) {
        self.classes.release(version);
    }

    /// The class that a query names which was received under these settings at this time, by whether it
    /// carries an idempotency key; see [`ClassTable::find`](crate::class_table::ClassTable::find).
    pub fn find_class(
        &self,
        version: ClassSetVersion,
        received_at: Time,
        name: &str,
        key: IdempotencyKey,
    ) -> Option<ClassLookup> {
        let index = self.classes.find(version, received_at, name, key)?;
        Some(ClassLookup { index, class: self.classes.class(index).clone() })
    }

    /// The class with this index; none if the index is free and past the end of the table.
    pub fn class(&self, index: usize) -> Option<&Class> {
        self.classes.table().get(index)
    }

    /// The longest deadline of the classes with this name (microseconds); see
    /// [`ClassTable::longest_class_deadline`](crate::class_table::ClassTable::longest_class_deadline).
    pub fn longest_class_deadline(&self, version: ClassSetVersion, received_at: Time, name: &str) -> Time {
        self.classes.longest_class_deadline(version, received_at, name)
    }

    /// Sets the clock time by which every request that is admitted from now on must get its final answer.
    pub fn set_final_answer_by(&mut self, deadline: Time) {
        self.settings.final_answer_by = deadline;
        // The settings were valid before, and this value can't make them invalid.
        let _ = self.router.apply_settings(self.settings_with_classes());
    }

    /// The longest deadline by which open requests may be reckoned (microseconds); see
    /// [`ClassTable::longest_deadline`](crate::class_table::ClassTable::longest_deadline).
    pub fn longest_deadline(&self, now: Time) -> Time {
        self.classes.longest_deadline(now)
    }

    /// The version of the settings in force; see
    /// [`ClassTable::settings_version`](crate::class_table::ClassTable::settings_version).
    pub fn settings_version(&self) -> u64 {
        self.classes.settings_version()
    }

    /// Applies new settings to requests that are admitted from now on. Open requests and their attempts keep
    /// the classes that they were admitted with. `session_classes` are the indexes, in these settings, of
    /// classes with sessions.
    ///
    /// # Errors
    ///
    /// Returns why the settings were rejected; nothing has changed then.
    pub fn apply_settings(
        &mut self,
        now: Time,
        mut settings: Settings,
        session_classes: &[usize],
    ) -> Result<(), SettingsRejected> {
        settings.check().map_err(SettingsRejected::Invalid)?;
        if self.session_tracker.is_none() && !session_classes.is_empty() {
            return Err(SettingsRejected::SessionsDisabled);
        }
        let mut classes = self.classes.clone();
        let new_classes = std::mem::take(&mut settings.classes);
        classes
            .update(now, new_classes, &self.classes_in_use())
            .map_err(|TooManyClasses| SettingsRejected::TooManyClasses)?;
        // These two are set at run time and not by the settings.
        settings.discovery_interval_factor = self.settings.discovery_interval_factor;
        settings.final_answer_by = self.settings.final_answer_by;
        self.settings = settings;
        self.granularity = self.settings.granularity;
        let with_classes = Settings { classes: classes.table().to_vec(), ..self.settings.clone() };
        self.router.apply_settings(with_classes).map_err(SettingsRejected::Invalid)?;
        let is_unchanged = |index: &usize| classes.table()[*index] == *self.classes.class(*index);
        self.session_classes.retain(|index| *index < classes.table().len() && is_unchanged(index));
        self.session_classes.extend(session_classes.iter().map(|index| classes.in_force()[*index]));
        self.classes = classes;
        Ok(())
    }

    /// The indexes of all classes that anything will look up again: those of open requests, of attempts in
    /// flight, of queued arrivals, and of what the router knows. The router learns with its next step that a
    /// request or an attempt has ended, and looks up its class then.
    fn classes_in_use(&self) -> BTreeSet<usize> {
        let open = self.open_requests.values().map(|open| open.class);
        let in_flight = self.attempts_in_flight.values().map(|attempt| attempt.class);
        let arriving = self.pending_events.iter().filter_map(|event| match event {
            Event::Request(arrival) => Some(arrival.class),
            _ => None,
        });
        let reported_only = mutant(Mutant::ReportedClassForgotten);
        let queued = arriving.chain(self.router.classes_in_use()).filter(|_| !reported_only);
        open.chain(in_flight).chain(queued).collect()
    }

    /// The settings with all classes of the table.
    pub(super) fn settings_with_classes(&self) -> Settings {
        Settings { classes: self.classes.table().to_vec(), ..self.settings.clone() }
    }

    /// Admits a request and returns its id. The table assigns ids itself, since ids chosen by clients might
    /// not be unique.
    pub fn admit(&mut self, request: Request) -> RequestId {
        let id: RequestId = self.next_request_id.to_string().into();
        self.next_request_id += 1;
        if self.listed_groups.contains(&request.group) {
            *self.request_counts.entry(request.group).or_default() += 1;
        }
        self.record_unconfirmed_writes(request.arrived_at);
        let session = self.session_need(&request);
        let session_minimum =
            session.as_ref().and_then(|session| session.minimum_position).map(|minimum| minimum.position());
        let open = OpenRequest {
            class: request.class,
            attempts: 0,
            may_have_run_since: None,
            is_retry: request.is_retry,
            session,
        };
        self.open_requests.insert(id.clone(), open);
        self.pending_events.push(Event::Request(RequestArrival {
            request: id.clone(),
            class: request.class,
            group: request.group,
            time_left: request.deadline,
            is_retry: request.is_retry,
            minimum_position: session_minimum.max(request.required_position),
        }));
        id
    }

    /// What the session of a new request requires, if the request has a session.
    fn session_need(&mut self, request: &Request) -> Option<SessionNeed> {
        let hosts_now = self.latest_hosts_time(request.arrived_at);
        let is_write = self.classes.class(request.class).need == Need::Write;
        let tracker = self.session_tracker.as_mut()?;
        let SessionRef { key, token } = request.session.as_ref()?;
        let minimum_position = if is_write {
            if let Some(token) = token {
                tracker.merge_token(hosts_now, *key, token);
            }
            None
        } else {
            let minimum = tracker.begin_read(hosts_now, *key, token.as_ref());
            Some(self.with_pending_writes(minimum, request.arrived_at, *key))
        };
        Some(SessionNeed {
            key: *key,
            arrived_at: request.arrived_at,
            minimum_position,
            position_at_send: None,
        })
    }

    /// Raises the minimum position of a read that arrives while a write of its session is in flight: the
    /// write may have been committed, and its client may know of it, before its report arrives.
    fn with_pending_writes(
        &self,
        minimum: MinimumPosition,
        arrived_at: Time,
        key: SessionKey,
    ) -> MinimumPosition {
        let may_be_known = |attempt: &AttemptInFlight| {
            attempt.session_write.is_some_and(|write| write.key == key)
                && attempt.issued_at <= arrived_at - ASSUMED_KNOWN_AFTER
        };
        if self.attempts_in_flight.values().any(may_be_known) {
            minimum.with_pending_write(self.latest_hosts_time(arrived_at) - ASSUMED_KNOWN_AFTER)
        } else {
            minimum
        }
    }

    /// Applies an update of the endpoint list.
    pub fn update_endpoints(&mut self, update: Update, entries: Vec<Entry>) {
        if update == Update::Complete {
            self.listed_groups.clear();
            self.listed_members.clear();
        }
        self.listed_groups.extend(entries.iter().map(|entry| entry.group));
        if let Some(tracker) = &mut self.session_tracker {
            self.listed_groups.iter().for_each(|group| tracker.track_group(*group));
        }
        for entry in &entries {
            match entry.status {
                MemberStatus::Removed => self.listed_members.remove(&entry.member),
                MemberStatus::Up | MemberStatus::Draining => self.listed_members.insert(entry.member),
            };
        }
        self.reported_positions.retain(|id, _| self.listed_members.contains(id));
        self.request_counts.retain(|group, _| self.listed_groups.contains(group));
        self.pending_events.push(Event::List { update, entries: entries.into() });
    }

    /// Whether requests for this group may be served: the endpoint list names the group, or no list has been
    /// received.
    pub fn may_serve_group(&self, group: GroupId) -> bool {
        self.listed_groups.is_empty() || self.listed_groups.contains(&group)
    }
}
