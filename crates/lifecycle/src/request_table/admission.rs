//! What is taken in: requests, settings, lists.

use super::*;
use crate::class_table::TooManyClasses;

/// The settings with all classes that are in use.
pub(super) fn with_all_classes(settings: &Settings, rules: &ClassTable) -> Settings {
    Settings { classes: rules.table().to_vec(), ..settings.clone() }
}

impl RequestTable {
    /// Clients can hold so many requests open here from now on.
    pub fn set_max_open_requests(&mut self, most: u32) {
        self.settings.max_open_requests = most;
        // They were sound before, and the module makes nothing of this figure.
        let _ = self.router.apply_settings(with_all_classes(&self.settings, &self.rules));
    }

    /// The place of the class that a new request names, and the class; `keyed`: the request carries a key.
    pub fn find_class(&self, now: Time, name: &str, keyed: bool) -> Option<(usize, Class)> {
        let place = self.rules.find(now, name, keyed)?;
        Some((place, self.rules.class(place).clone()))
    }

    /// The longest that clients of this class wait; see [`ClassTable::longest_wait`].
    pub fn longest_wait(&self, now: Time, name: &str) -> Time {
        self.rules.longest_wait(now, name)
    }

    /// Every request that is taken in from now on has its final answer by this time.
    pub fn set_final_answer_by(&mut self, at: Time) {
        self.settings.final_answer_by = at;
        // They were sound before, and the module makes nothing of this figure.
        let _ = self.router.apply_settings(with_all_classes(&self.settings, &self.rules));
    }

    /// The longest deadline of any class in force; shortly after a change, when others may not know of it, that of the
    /// classes before it if that is shorter.
    pub fn longest_deadline(&self, now: Time) -> Time {
        let longest = |places: &[usize]| places.iter().map(|place| self.rules.class(*place).deadline).max();
        let force = longest(self.rules.in_force()).unwrap_or(0);
        longest(self.rules.previous(now)).map_or(force, |before| before.min(force))
    }

    /// Counts the settings that were in force, from 1.
    pub fn version(&self) -> u64 {
        self.rules.version()
    }

    /// New settings hold from now on, for requests to come; those that are open, and their attempts, keep the classes
    /// that they were admitted with. `carrying` are the places, in these settings, of classes that carry sessions.
    /// What is wrong with them is said before anything has changed.
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
        let out = self.out.values().map(|errand| errand.class);
        let used = self.open.values().map(|open| open.class).chain(out).collect();
        let mut rules = self.rules.clone();
        let classes = std::mem::take(&mut settings.classes);
        rules.update(now, classes, &used).map_err(|TooManyClasses| SettingsRejected::TooManyClasses)?;
        (settings.discovery_interval_factor, settings.final_answer_by) =
            (self.settings.discovery_interval_factor, self.settings.final_answer_by);
        self.settings = settings;
        self.granularity = self.settings.granularity;
        self.router
            .apply_settings(with_all_classes(&self.settings, &rules))
            .map_err(SettingsRejected::Invalid)?;
        let still = |place: &usize| rules.table()[*place] == *self.rules.class(*place);
        self.carrying.retain(|place| *place < rules.table().len() && still(place));
        self.carrying.extend(carrying.iter().map(|place| rules.in_force()[*place]));
        self.rules = rules;
        Ok(())
    }

    /// Takes a request in: it is open from now on, under a name of its own. What clients call their requests may
    /// come twice.
    pub fn admit(&mut self, request: Request) -> RequestId {
        let id: RequestId = self.next.to_string().into();
        self.next += 1;
        if self.groups.contains(&request.group) {
            *self.asked.entry(request.group).or_default() += 1;
        }
        self.look(request.at);
        let write = self.rules.class(request.class).need == Need::Write;
        let hosts_now = self.hosts_now(request.at);
        let watch = match (&mut self.session_tracker, request.session) {
            (Some(tracker), Some(SessionRef { key, token })) => {
                let floor = (!write).then(|| tracker.begin_read(hosts_now, key, token.as_ref()));
                // Of a write that is out nobody knows here whether it was committed and answered.
                let may_be_known = request.at - ASSUMED_KNOWN_AFTER;
                let writes = |errand: &OutAttempt| errand.writes.is_some_and(|(written, _)| written == key);
                let under_way = self.out.values().any(|out| writes(out) && out.at <= may_be_known);
                let floor = floor.map(|floor| {
                    if under_way {
                        floor.with_pending_write(hosts_now - ASSUMED_KNOWN_AFTER)
                    } else {
                        floor
                    }
                });
                if let (true, Some(token)) = (write, &token) {
                    tracker.merge_token(hosts_now, key, token);
                }
                Some(SessionWatch { key, arrived: request.at, floor, before: None })
            }
            _ => None,
        };
        let needed = watch.as_ref().and_then(|watch| watch.floor).map(|floor| floor.position());
        let Request { class, is_retry, .. } = request;
        self.open.insert(id.clone(), Open { class, attempts: 0, ran_from: None, is_retry, watch });
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

    /// News of the list: whole, or only what changed.
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
        self.told.retain(|id, _| self.listed.contains(id));
        self.asked.retain(|group, _| self.groups.contains(group));
        self.queue.push(Event::List { complete, entries: entries.into() });
    }

    /// Whether the list may hold this group: it named it since it was last whole, or has named none so far.
    pub fn may_serve_group(&self, group: GroupId) -> bool {
        self.groups.is_empty() || self.groups.contains(&group)
    }
}
