//! Session consistency of an instance, for deployments in which gateways track their clients' writes.

use petrelgauge::settings::deployment::DeploymentSettings;
use petrelgauge::{GroupId, Need, RequestId, Time};
use petrelgauge_sessions::{SessionKey, SessionTracker};
use std::collections::BTreeMap;

/// Tracks session watermarks from the answers of one instance since its start.
pub struct Sessions {
    tracker: SessionTracker,
    /// Session keys of the writes in flight.
    open_writes: BTreeMap<RequestId, SessionKey>,
}

impl Sessions {
    /// Creates the session state. Returns `None` if the deployment has no class with session consistency, or
    /// if clients specify the commits that reads must see.
    pub fn new(info: &DeploymentSettings, needs: &[Need]) -> Option<Sessions> {
        if !info.tracks_sessions() || !needs.contains(&Need::Session) {
            return None;
        }
        let settings = petrelgauge_sessions::Settings { roams: false, ..Default::default() };
        let tracker = SessionTracker::new(settings, 0).ok()?;
        Some(Sessions { tracker, open_writes: BTreeMap::new() })
    }

    /// Records the start of a request. Returns the minimum position if the request is a session read.
    pub fn begin_request(
        &mut self,
        now: Time,
        request: &RequestId,
        need: Need,
        group: GroupId,
        session: &str,
    ) -> Option<Time> {
        let key = self.tracker.session_key(group, session);
        if need == Need::Write {
            self.open_writes.insert(request.clone(), key);
        }
        (need == Need::Session).then(|| self.tracker.begin_read(now, key, None).position())
    }

    /// Records the commit position of a served write. Requests that are not writes are ignored.
    pub fn record_commit(&mut self, now: Time, request: &RequestId, commit: Time) {
        if let Some(key) = self.open_writes.get(request) {
            self.tracker.record_write(now, *key, 0, Some(commit));
        }
    }

    /// Records the end of a request.
    pub fn end_request(&mut self, request: &RequestId) {
        self.open_writes.remove(request);
    }
}
