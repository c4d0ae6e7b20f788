//! Session consistency of an instance whose deployment has it remember the writes of its clients.

use petrelgauge::settings::deployment::Info;
use petrelgauge::{GroupId, Need, RequestId, Time};
use petrelgauge_sessions::{SessionKey, SessionTracker};
use std::collections::BTreeMap;

/// The watermarks of an instance: of its own answers, since its start.
pub struct Sessions {
    tracker: SessionTracker,
    /// Sessions of the open writes.
    open_writes: BTreeMap<RequestId, SessionKey>,
}

impl Sessions {
    /// None where the deployment has no class for it, or clients name the commits themselves.
    pub fn new(info: &Info, needs: &[Need]) -> Option<Sessions> {
        if !info.remembers_sessions() || !needs.contains(&Need::Session) {
            return None;
        }
        let settings = petrelgauge_sessions::Settings { roams: false, ..Default::default() };
        let tracker = SessionTracker::new(settings, 0).ok()?;
        Some(Sessions { tracker, open_writes: BTreeMap::new() })
    }

    /// The position that a request must see, if it reads what its session wrote.
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

    /// An attempt ended; `commit` is that of a served write, `is_final` says that its request ended with it.
    pub fn end_attempt(&mut self, now: Time, request: &RequestId, commit: Option<Time>, is_final: bool) {
        let key =
            if is_final { self.open_writes.remove(request) } else { self.open_writes.get(request).copied() };
        if let (Some(key), Some(commit)) = (key, commit) {
            self.tracker.record_write(now, key, 0, Some(commit));
        }
    }
}
