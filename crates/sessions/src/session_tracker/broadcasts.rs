//! Watermark broadcasts: building those that are due and applying those of other instances.

use crate::session_key::SessionKey;
use crate::session_tracker::SessionTracker;
use crate::watermark_broadcast::{BroadcastError, WatermarkBroadcast};
use petrelgauge_policy::{GroupId, Time};

impl SessionTracker {
    /// Starts broadcasting for this group, even while nothing is recorded in it. Otherwise the other
    /// instances could not tell that this one has recorded nothing.
    pub fn track_group(&mut self, group: GroupId) {
        if self.has_peers() {
            self.peers.track(group);
        }
    }

    /// Applies a broadcast of another instance.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is not a valid broadcast of another instance. It is counted and otherwise
    /// ignored.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) -> Result<(), BroadcastError> {
        let applied = self.apply_broadcast(now, bytes);
        match applied {
            Ok(()) => self.counts.broadcasts_received += 1,
            Err(_) => self.counts.broadcasts_rejected += 1,
        }
        applied
    }

    /// Returns the datagrams that are due, each to be sent to every other instance. The next call is due at
    /// [`SessionTracker::next_broadcast_at`].
    pub fn due_broadcasts(&mut self, now: Time) -> Vec<Vec<u8>> {
        if self.next_broadcast_at().is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.last_broadcast_at = now;
        self.latest_call_at = self.latest_call_at.max(now);
        self.expire_gaps(now);
        let secret = self.settings.secret;
        let datagrams: Vec<Vec<u8>> =
            self.peers.next_broadcasts(now).map(|broadcast| broadcast.encode(secret)).collect();
        self.counts.broadcasts_sent += datagrams.len() as u64;
        datagrams
    }

    /// When the next broadcasts are due; `None` if there are no other instances.
    pub fn next_broadcast_at(&self) -> Option<Time> {
        self.has_peers().then(|| self.last_broadcast_at + self.settings.broadcast_interval)
    }

    fn apply_broadcast(&mut self, now: Time, bytes: &[u8]) -> Result<(), BroadcastError> {
        let broadcast = WatermarkBroadcast::decode(bytes, self.settings.secret)?;
        // An interval that ends in the future would also cover reads that have not arrived yet.
        if broadcast.until > self.latest_clock(now) {
            return Err(BroadcastError::InvalidInterval);
        }
        let instance = broadcast.sender.instance;
        if instance >= self.settings.instances || instance == self.settings.instance {
            return Err(BroadcastError::UnknownInstance);
        }
        // The sender's clock may be ahead of the local one, and a host's clock ahead of the sender's.
        let latest_position = self.latest_position(self.latest_clock(now));
        for entry in &broadcast.entries {
            let key = SessionKey { group: broadcast.sender.group, name_hash: entry.name_hash };
            self.memory.join(key, entry.watermark.capped_at(latest_position), 0);
        }
        self.peers.record_broadcast(now, &broadcast);
        Ok(())
    }
}
