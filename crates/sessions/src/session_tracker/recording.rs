//! Answered reads and writes: recording what their sessions have seen.

use crate::minimum_position::MinimumPosition;
use crate::session_key::SessionKey;
use crate::session_tracker::SessionTracker;
use crate::settings::Promise;
use crate::watermark::Watermark;
use petrelgauge_policy::Time;

impl SessionTracker {
    /// Records that a read was answered from data that proved its minimum position.
    pub fn record_read(&mut self, now: Time, key: SessionKey, minimum: &MinimumPosition, position: Time) {
        // The position was rounded down: what was read may be newer by one step.
        let newest = position + self.settings.position_granularity;
        let watermark = match self.settings.promise {
            // Everything that the session must see of its own writes is in the data read.
            Promise::Writes => Watermark { written: minimum.position().min(newest), read: 0 },
            Promise::WritesAndReads => Watermark { written: 0, read: newest.min(self.latest_position(now)) },
        };
        self.record(now, key, watermark, minimum.arrived_at);
    }

    /// Records that a write which arrived at `arrived_at` was answered as served, with its commit if the host
    /// reported it. Times in microseconds.
    pub fn record_write(&mut self, now: Time, key: SessionKey, arrived_at: Time, commit: Option<Time>) {
        let commit = commit.unwrap_or(self.latest_clock(now));
        let watermark = Watermark { written: commit.min(self.latest_position(now)), read: 0 };
        // The commit follows everything that the session did before; with a single clock, so does its time.
        let complete_until = if self.settings.clock_error == 0 { arrived_at } else { 0 };
        self.record(now, key, watermark, complete_until);
    }

    /// Records that an attempt of a write ended without an answer that can be trusted. If it has run, it was
    /// committed before now; if it runs later, nobody has seen its answer.
    pub fn record_unconfirmed_write(&mut self, now: Time, key: SessionKey) {
        let watermark = Watermark { written: self.latest_clock(now), read: 0 };
        self.record(now, key, watermark, 0);
    }

    fn record(&mut self, now: Time, key: SessionKey, watermark: Watermark, complete_until: Time) {
        // A watermark must not fall into an interval that was sent already.
        self.latest = self.latest.max(now);
        let watermark = self.memory.join(key, watermark, complete_until);
        if self.exchanges() {
            self.peers.push(self.latest, key.group, key.name_hash, watermark);
        }
    }
}
