//! Session consistency state of one instance.
//!
//! | file | contents |
//! | --- | --- |
//! | `mod.rs` | the state: creation, restart, snapshots |
//! | `reads.rs` | minimum positions of reads and verification of answers |
//! | `recording.rs` | watermarks of answered reads and writes |
//! | `tokens.rs` | session tokens of clients |
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
use crate::snapshot::{Snapshot, SnapshotKind};
use petrelgauge_policy::{mutant, GroupId, Mutant, Time};

/// Number of broadcast intervals after which a missing broadcast counts as lost.
const GAP_TIMEOUT_INTERVALS: Time = 3;

/// Session consistency state of one instance. It has no clock: every call takes the current time `now` in
/// microseconds. Time may go back slightly between calls.
#[derive(Clone, Debug)]
pub struct SessionTracker {
    settings: Settings,
    /// Watermarks that this instance recorded up to this time may be lost; 0 if none are.
    lost_until: Time,
    /// Upper bound of the watermarks omitted from the snapshot that was restored.
    omitted_bound: Time,
    memory: SessionMemory,
    peers: PeerExchange,
    /// When broadcasts were last built.
    last_broadcast_at: Time,
    /// Latest time of any call that recorded or broadcast watermarks.
    latest_call_at: Time,
    counts: Counts,
}

impl SessionTracker {
    /// Creates a tracker without a snapshot. All watermarks that this instance recorded before `now` count as
    /// lost.
    ///
    /// # Errors
    ///
    /// Fails if a setting is out of range.
    pub fn new(settings: Settings, now: Time) -> Result<SessionTracker, SettingsError> {
        settings.check()?;
        Ok(SessionTracker {
            memory: SessionMemory::new(settings.exact_sessions, settings.sketch_width, settings.secret),
            peers: PeerExchange::new(&settings, now),
            settings,
            lost_until: if mutant(Mutant::WatermarkLossForgotten) { 0 } else { now },
            omitted_bound: 0,
            last_broadcast_at: now,
            latest_call_at: now,
            counts: Counts::default(),
        })
    }

    /// Creates a tracker from a snapshot of any age. Unless the snapshot was taken at a clean shutdown,
    /// watermarks recorded after it count as lost. A snapshot from the future was taken with another clock
    /// and is ignored.
    ///
    /// # Errors
    ///
    /// Fails if a setting is out of range.
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
        if snapshot.kind == SnapshotKind::CleanShutdown {
            tracker.lost_until = snapshot.lost_until.min(now);
            tracker.omitted_bound = snapshot.omitted_bound;
        }
        Ok(tracker)
    }

    /// Restarts after the clock was corrected to `now`. Watermarks are kept but count as incomplete, and the
    /// known intervals of the other instances are cleared.
    pub fn restart(&mut self, now: Time) {
        self.memory.cap_and_mark_incomplete(self.latest_clock(now));
        self.peers.restart(now);
        self.omitted_bound = self.omitted_bound.min(now);
        self.lost_until = now;
        self.last_broadcast_at = now;
        self.latest_call_at = now;
    }

    /// Takes a snapshot of the exact watermarks, and of an upper bound of all others.
    pub fn snapshot(&self, now: Time, kind: SnapshotKind) -> Snapshot {
        let highest_evicted = self.memory.highest_evicted().required_position(self.settings.guarantee);
        Snapshot {
            taken_at: now,
            kind,
            lost_until: self.lost_until,
            omitted_bound: self.omitted_bound.max(highest_evicted),
            entries: self.memory.iter().collect(),
        }
    }

    /// The settings that the tracker was created with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Counters since the tracker was created. Snapshots do not contain them.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The stored watermarks: exact ones, and the sketch of those that were evicted.
    pub fn memory(&self) -> &SessionMemory {
        &self.memory
    }

    /// The key of a session, hashed with the secret of the settings.
    pub fn session_key(&self, group: GroupId, name: &str) -> SessionKey {
        SessionKey::new(self.settings.secret, group, name)
    }

    /// Number of gaps in the broadcasts of other instances that were closed with an upper bound, over all
    /// groups.
    pub fn closed_gaps(&self) -> u64 {
        self.peers.closed_gaps()
    }

    /// Number of known ranges of other instances, over all groups.
    pub fn peer_range_count(&self) -> usize {
        self.peers.range_count()
    }

    /// Whether there are other instances to exchange watermarks with.
    fn has_peers(&self) -> bool {
        self.settings.roams && self.settings.instances > 1
    }

    /// The latest time that the clock of any instance or host may show at `now`.
    fn latest_clock(&self, now: Time) -> Time {
        now + self.settings.clock_error
    }

    /// The highest position that a host may report at `now`.
    fn latest_position(&self, now: Time) -> Time {
        self.latest_clock(now) + self.settings.position_granularity
    }

    fn expire_gaps(&mut self, now: Time) {
        self.peers.expire_gaps(now, GAP_TIMEOUT_INTERVALS * self.settings.broadcast_interval);
    }
}
