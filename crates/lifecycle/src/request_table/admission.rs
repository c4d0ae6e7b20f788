//! Input of the request table: requests, settings, endpoint lists.

use super::*;
use crate::class_table::TooManyClasses;

impl RequestTable {
    /// Sets how many requests clients can have open from now on.
    pub fn set_max_open_requests(&mut self, most: u32) {
        self.settings.max_open_requests = most;
        // The settings were valid before, and this value can't make them invalid.
        let _ = self.router.apply_settings(self.settings_with_classes());
    }

    /// The index of the class that a new request names, and the class; `keyed`: the request carries an idempotency key.
    pub fn find_class(&self, now: Time, name: &str, keyed: bool) -> Option<(usize, Class)> {
        let index = self.classes.find(now, name, keyed)?;
        Some((index, self.classes.class(index).clone()))
    }

    /// The longest that clients of this class wait (microseconds); see [`ClassTable::longest_wait`].
    pub fn longest_wait(&self, now: Time, name: &str) -> Time {
        self.classes.longest_wait(now, name)
    }

    /// Every request that is admitted from now on has its final answer by this time.
    pub fn set_final_answer_by(&mut self, at: Time) {
        self.settings.final_answer_by = at;
        // The settings were valid before, and this value can't make them invalid.
        let _ = self.router.apply_settings(self.settings_with_classes());
    }

    /// The longest deadline of any class in force (microseconds); shortly after a change, when others may not know of it,
    /// that of the previous classes if it is shorter.
    pub fn longest_deadline(&self, now: Time) -> Time {
        let longest =
            |indexes: &[usize]| indexes.iter().map(|index| self.classes.class(*index).deadline).max();
        let in_force = longest(self.classes.in_force()).unwrap_or(0);
        longest(self.classes.previous(now)).map_or(in_force, |previous| previous.min(in_force))
    }

    /// How many settings have been in force so far, from 1.
    pub fn version(&self) -> u64 {
        self.classes.version()
    }

    /// Applies new settings to requests that are admitted from now on. Open requests and their attempts keep the classes
    /// that they were admitted with. `carrying` are the positions, in these settings, of classes with sessions.
    ///
    /// # Errors
    ///
    /// Why the settings were rejected. Nothing has changed then.
    pub fn apply_settings(
        &mut self,
        now: Time,
        mut settings: Settings,
        carrying: &[usize],
    ) -> Result<(), SettingsRejected> {
        settings.check().map_err(SettingsRejected::Invalid)?;
        if self.session_tracker.is_none() && !carrying.is_empty() {
            return Err(SettingsRejected::SessionsDisabled);
        }
        let of_attempts = self.in_flight.values().map(|attempt| attempt.class);
        let used = self.open.values().map(|open| open.class).chain(of_attempts).collect();
        let mut classes = self.classes.clone();
        let new_classes = std::mem::take(&mut settings.classes);
        classes.update(now, new_classes, &used).map_err(|TooManyClasses| SettingsRejected::TooManyClasses)?;
        (settings.discovery_interval_factor, settings.final_answer_by) =
            (self.settings.discovery_interval_factor, self.settings.final_answer_by);
        self.settings = settings;
        self.granularity = self.settings.granularity;
        let with_classes = Settings { classes: classes.table().to_vec(), ..self.settings.clone() };
        self.router.apply_settings(with_classes).map_err(SettingsRejected::Invalid)?;
        let is_unchanged = |index: &usize| classes.table()[*index] == *self.classes.class(*index);
        self.session_classes.retain(|index| *index < classes.table().len() && is_unchanged(index));
        self.session_classes.extend(carrying.iter().map(|position| classes.in_force()[*position]));
        self.classes = classes;
        Ok(())
    }

    /// The settings with all classes of the table.
    pub(super) fn settings_with_classes(&self) -> Settings {
        Settings { classes: self.classes.table().to_vec(), ..self.settings.clone() }
    }

    /// Admits a request. It is open from now on, and identified by the returned id: the identifiers that clients use for
    /// their requests need not be unique.
    pub fn admit(&mut self, request: Request) -> RequestId {
        let id: RequestId = self.next_id.to_string().into();
        self.next_id += 1;
        if self.groups.contains(&request.group) {
            *self.request_counts.entry(request.group).or_default() += 1;
        }
        self.record_unconfirmed_writes(request.at);
        let session = self.session_need(&request);
        let needed =
            session.as_ref().and_then(|session| session.minimum_position).map(|floor| floor.position());
        let is_retry = request.is_retry;
        let open =
            OpenRequest { class: request.class, attempts: 0, may_have_run_since: None, is_retry, session };
        self.open.insert(id.clone(), open);
        self.queue.push(Event::Request {
            request: id.clone(),
            class: request.class,
            group: request.group,
            time_left: request.until,
            is_retry: request.is_retry,
            minimum_position: needed.max(request.after),
        });
        id
    }

    /// What the session of a new request needs, if it has one: a read a minimum position of the answer's data.
    fn session_need(&mut self, request: &Request) -> Option<SessionNeed> {
        let hosts_now = self.hosts_now(request.at);
        let is_write = self.classes.class(request.class).need == Need::Write;
        let tracker = self.session_tracker.as_mut()?;
        let SessionRef { key, token } = request.session.as_ref()?;
        let key = *key;
        if is_write {
            if let Some(token) = token {
                tracker.merge_token(hosts_now, key, token);
            }
            return Some(SessionNeed {
                key,
                arrived: request.at,
                minimum_position: None,
                position_at_send: None,
            });
        }
        let minimum = tracker.begin_read(hosts_now, key, token.as_ref());
        // Whether a write in flight has been committed and answered is not known here.
        let may_be_known = request.at - ASSUMED_KNOWN_AFTER;
        let is_pending = |attempt: &AttemptInFlight| {
            attempt.writes.is_some_and(|(written, _)| written == key) && attempt.at <= may_be_known
        };
        let minimum = if self.in_flight.values().any(is_pending) {
            minimum.with_pending_write(hosts_now - ASSUMED_KNOWN_AFTER)
        } else {
            minimum
        };
        Some(SessionNeed {
            key,
            arrived: request.at,
            minimum_position: Some(minimum),
            position_at_send: None,
        })
    }

    /// An update of the endpoint list: the complete list, or only the changed entries.
    pub fn update_endpoints(&mut self, complete: bool, entries: Vec<Entry>) {
        if complete {
            self.groups.clear();
            self.listed.clear();
        }
        self.groups.extend(entries.iter().map(|entry| entry.group));
        if let Some(tracker) = &mut self.session_tracker {
            self.groups.iter().for_each(|group| tracker.track_group(*group));
        }
        for entry in &entries {
            match entry.status {
                MemberStatus::Removed => self.listed.remove(&entry.member),
                MemberStatus::Up | MemberStatus::Draining => self.listed.insert(entry.member),
            };
        }
        self.reported_positions.retain(|id, _| self.listed.contains(id));
        self.request_counts.retain(|group, _| self.groups.contains(group));
        self.queue.push(Event::List { complete, entries: entries.into() });
    }

    /// Whether requests for this group may be served: the endpoint list has named it since it was last complete, or has
    /// named no group so far.
    pub fn may_serve_group(&self, group: GroupId) -> bool {
        self.groups.is_empty() || self.groups.contains(&group)
    }
}
