//! The state of session consistency at one instance.
//!
//! | file | contents |
//! | --- | --- |
//! | `mod.rs` | the state, and how it starts, restarts and is saved |
//! | `reads.rs` | minimum positions of reads, verification of answers |
//! | `recording.rs` | watermarks of answered reads and writes |
//! | `tokens.rs` | tokens of clients |
//! | `broadcasts.rs` | exchange of watermarks with other instances |

mod broadcasts;
mod reads;
mod recording;
mod tokens;

use crate::counts::Counts;
use crate::peer_exchange::PeerExchange;
use crate::session_key::SessionKey;
use crate::session_memory::SessionMemory;
use crate::settings::{Settings, SettingsError};
use crate::snapshot::Snapshot;
use petrelgauge_policy::{mutant, GroupId, Mutant, Time};

/// Broadcast intervals after which a missing broadcast is given up.
const GAP_TIMEOUT_INTERVALS: Time = 3;

/// Everything that one instance knows of sessions. It has no clock: every call takes the current time `now`
/// in microseconds. A time slightly before that of the previous call does no harm.
#[derive(Clone, Debug)]
pub struct SessionTracker {
    settings: Settings,
    /// Watermarks recorded here up to then may be lost; 0 if none are.
    lost_until: Time,
    /// Upper bound of watermarks that a clean snapshot omitted.
    omitted_bound: Time,
    memory: SessionMemory,
    peers: PeerExchange,
    /// When broadcasts were last sent.
    broadcast_at: Time,
    /// Latest time of any call that recorded or sent watermarks.
    latest: Time,
    counts: Counts,
}

impl SessionTracker {
    /// A tracker that starts now and knows nothing: whatever was acknowledged before is taken to be lost.
    ///
    /// # Errors
    ///
    /// Settings that are out of range.
    pub fn new(settings: Settings, now: Time) -> Result<SessionTracker, SettingsError> {
        settings.check()?;
        Ok(SessionTracker {
            memory: SessionMemory::new(settings.exact_sessions, settings.sketch_width, settings.secret),
            peers: PeerExchange::new(&settings, now),
            settings,
            lost_until: if mutant(Mutant::WatermarkLossForgotten) { 0 } else { now },
            omitted_bound: 0,
            broadcast_at: now,
            latest: now,
            counts: Counts::default(),
        })
    }

    /// A tracker that starts now from a snapshot. Its watermarks hold at any age; what was recorded after it
    /// is lost unless it is clean. A snapshot from the future was taken by another clock and is ignored.
    ///
    /// # Errors
    ///
    /// Settings that are out of range.
    pub fn restore(
        settings: Settings,
        now: Time,
        snapshot: &Snapshot,
    ) -> Result<SessionTracker, SettingsError> {
        let mut tracker = SessionTracker::new(settings, now)?;
        if snapshot.taken_at > now {
            return Ok(tracker);
        }
        for (key, entry) in snapshot.entries.iter().rev() {
            let complete_until = entry.complete_until.min(snapshot.taken_at);
            tracker.memory.join(*key, entry.watermark, complete_until);
        }
        if snapshot.clean {
            tracker.lost_until = snapshot.lost_until.min(now);
            tracker.omitted_bound = snapshot.omitted_bound;
        }
        Ok(tracker)
    }

    /// Starts over with a clock that shows `now` from here on, since the one used so far was wrong. What is known of
    /// sessions is kept and taken for incomplete; intervals of the other instances are awaited anew.
    pub fn restart(&mut self, now: Time) {
        self.memory.distrust(self.latest_clock(now));
        self.peers.restart(now);
        self.omitted_bound = self.omitted_bound.min(now);
        self.lost_until = now;
        self.broadcast_at = now;
        self.latest = now;
    }

    /// The watermarks of this moment. `clean` states that nothing will be answered any more.
    pub fn snapshot(&self, now: Time, clean: bool) -> Snapshot {
        let highest_evicted = self.memory.highest_evicted().required_position(self.settings.promise);
        Snapshot {
            taken_at: now,
            clean,
            lost_until: self.lost_until,
            omitted_bound: self.omitted_bound.max(highest_evicted),
            entries: self.memory.iter().collect(),
        }
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The watermarks remembered here.
    pub fn memory(&self) -> &SessionMemory {
        &self.memory
    }

    /// The key of a session by its name.
    pub fn session_key(&self, group: GroupId, name: &str) -> SessionKey {
        SessionKey::new(self.settings.secret, group, name)
    }

    /// Gaps in the broadcasts of other instances that were closed with an upper bound, over all groups.
    pub fn gaps(&self) -> u64 {
        self.peers.gaps()
    }

    /// Entries held about other instances, over all groups.
    pub fn peer_entries(&self) -> usize {
        self.peers.range_count()
    }

    /// Whether watermarks are exchanged with other instances.
    fn exchanges(&self) -> bool {
        self.settings.roams && self.settings.instances > 1
    }

    /// The latest time that any clock may show now.
    fn latest_clock(&self, now: Time) -> Time {
        now + self.settings.clock_error
    }

    /// The highest position that a host may report now.
    fn latest_position(&self, now: Time) -> Time {
        self.latest_clock(now) + self.settings.position_granularity
    }

    fn expire_gaps(&mut self, now: Time) {
        self.peers.expire_gaps(now, GAP_TIMEOUT_INTERVALS * self.settings.broadcast_interval);
    }
}
