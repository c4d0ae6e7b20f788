//! Recording of watermarks for answered reads and writes.

use crate::minimum_position::MinimumPosition;
use crate::session_key::SessionKey;
use crate::session_tracker::SessionTracker;
use crate::settings::SessionGuarantee;
use crate::watermark::Watermark;
use petrelgauge_policy::Time;

impl SessionTracker {
    /// Records that a read was answered with data at `position` that proved its minimum position.
    pub fn record_read(&mut self, now: Time, key: SessionKey, minimum: &MinimumPosition, position: Time) {
        // Hosts round positions down, so the data read may be newer by up to one step.
        let newest = position + self.settings.position_granularity;
        let watermark = match self.settings.guarantee {
            // The data contain all of the session's own writes up to the minimum position.
            SessionGuarantee::ReadYourWrites => {
                Watermark { written: minimum.position().min(newest), read: 0 }
            }
            SessionGuarantee::ReadYourWritesAndMonotonicReads => {
                Watermark { written: 0, read: newest.min(self.latest_position(now)) }
            }
        };
        self.record(now, key, watermark, minimum.arrived_at);
    }

    /// Records that a write that arrived at `arrived_at` was answered. `commit` is its commit time, if the
    /// host reported one. Times are in microseconds.
    pub fn record_write(&mut self, now: Time, key: SessionKey, arrived_at: Time, commit: Option<Time>) {
        let commit = commit.unwrap_or(self.latest_clock(now));
        let watermark = Watermark { written: commit.min(self.latest_position(now)), read: 0 };
        // The commit follows all earlier requests of the session. Only without clock error is its time
        // certain to follow theirs too.
        let complete_until = if self.settings.clock_error == 0 { arrived_at } else { 0 };
        self.record(now, key, watermark, complete_until);
    }

    /// Records that an attempt of a write ended without a usable answer. If the write was executed, it was
    /// committed before now; if it is executed later, its answer reaches no client.
    pub fn record_unconfirmed_write(&mut self, now: Time, key: SessionKey) {
        let watermark = Watermark { written: self.latest_clock(now), read: 0 };
        self.record(now, key, watermark, 0);
    }

    fn record(&mut self, now: Time, key: SessionKey, watermark: Watermark, complete_until: Time) {
        // Must not fall into an interval that was already broadcast, even if the time has gone back.
        self.latest_call_at = self.latest_call_at.max(now);
        let watermark = self.memory.join(key, watermark, complete_until);
        if self.has_peers() {
            self.peers.push(self.latest_call_at, key.group, key.name_hash, watermark);
        }
    }
}
