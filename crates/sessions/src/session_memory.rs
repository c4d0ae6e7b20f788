//! The watermarks stored in this instance: exact ones for recent sessions, upper bounds for all others.

use crate::session_key::SessionKey;
use crate::sketch::MaxSketch;
use crate::watermark::Watermark;
use lru::LruCache;
use petrelgauge_policy::Time;
use std::hash::{BuildHasherDefault, Hasher};
use std::num::NonZeroUsize;

/// The stored state of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionEntry {
    /// Its watermark.
    pub watermark: Watermark,
    /// The watermark covers all of the session's requests at any instance before this time (microseconds).
    pub complete_until: Time,
}

/// Multiplier of the golden ratio (Knuth), as used by Fibonacci hashing.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
const HASH_ROTATION: u32 = 25;

/// Hashes a session key. Its name is a keyed hash already, so only the group has to be mixed in.
#[derive(Clone, Default)]
pub struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u64(&mut self, word: u64) {
        self.0 = (self.0.rotate_left(HASH_ROTATION) ^ word).wrapping_mul(HASH_MULTIPLIER);
    }
}

/// Watermarks by session. When the exact entries are full, the least recently used one is evicted into a
/// sketch, which keeps an upper bound of its watermark but not `complete_until`.
#[derive(Clone)]
pub struct SessionMemory {
    exact: LruCache<SessionKey, SessionEntry, BuildHasherDefault<KeyHasher>>,
    sketch: MaxSketch,
    evicted: u64,
    highest_evicted: Watermark,
}

impl std::fmt::Debug for SessionMemory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.iter()).finish()?;
        write!(f, " and {:?}", self.sketch)
    }
}

impl SessionMemory {
    /// Creates an empty memory with room for `exact_sessions` sessions (at least one) and a sketch with
    /// `sketch_width` cells per row.
    pub fn new(exact_sessions: usize, sketch_width: usize, secret: u64) -> SessionMemory {
        let capacity = NonZeroUsize::new(exact_sessions).unwrap_or(NonZeroUsize::MIN);
        // Starts unbounded so that it allocates as it fills: most instances never reach the capacity.
        let mut exact = LruCache::unbounded_with_hasher(BuildHasherDefault::default());
        exact.resize(capacity);
        SessionMemory {
            exact,
            sketch: MaxSketch::new(sketch_width, secret),
            evicted: 0,
            highest_evicted: Watermark::NONE,
        }
    }

    /// The state of a session. Without an exact entry it is the upper bound of the sketch, which says nothing
    /// about requests at other instances.
    pub fn get(&self, key: SessionKey) -> SessionEntry {
        match self.exact.peek(&key) {
            Some(entry) => *entry,
            None => SessionEntry { watermark: self.sketch.upper_bound(key), complete_until: 0 },
        }
    }

    /// Joins a watermark into the state of a session and returns the joined watermark. `complete_until` is 0
    /// if it is unknown what the watermark covers.
    pub fn join(&mut self, key: SessionKey, watermark: Watermark, complete_until: Time) -> Watermark {
        let known = self.get(key);
        let entry = SessionEntry {
            watermark: known.watermark.join(watermark),
            complete_until: known.complete_until.max(complete_until),
        };
        if let Some((replaced, old)) = self.exact.push(key, entry) {
            if replaced != key {
                self.record_eviction(replaced, old.watermark);
            }
        }
        entry.watermark
    }

    /// Corrects watermarks recorded with a wrong clock: caps them at `ceiling` and marks them as incomplete.
    pub fn cap_and_mark_incomplete(&mut self, ceiling: Time) {
        for (_, entry) in self.exact.iter_mut() {
            *entry = SessionEntry { watermark: entry.watermark.capped_at(ceiling), complete_until: 0 };
        }
        self.sketch.cap(ceiling);
        self.highest_evicted = self.highest_evicted.capped_at(ceiling);
    }

    /// All exact entries, most recently used first.
    pub fn iter(&self) -> impl Iterator<Item = (SessionKey, SessionEntry)> + '_ {
        self.exact.iter().map(|(key, entry)| (*key, *entry))
    }

    /// Number of exact entries.
    pub fn len(&self) -> usize {
        self.exact.len()
    }

    /// Whether there are no exact entries.
    pub fn is_empty(&self) -> bool {
        self.exact.is_empty()
    }

    /// Number of sessions evicted into the sketch so far.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// The join of all evicted watermarks.
    pub fn highest_evicted(&self) -> Watermark {
        self.highest_evicted
    }

    /// Estimated size (bytes) of the exact entries, with their list links and hash table slots, and the
    /// sketch.
    pub fn bytes(&self) -> usize {
        const LINKS: usize = 2 * std::mem::size_of::<usize>();
        const TABLE_SLOT: usize = 2 * (std::mem::size_of::<usize>() * 2 + 1);
        let entry = std::mem::size_of::<(SessionKey, SessionEntry)>() + LINKS + TABLE_SLOT;
        self.exact.len() * entry + self.sketch.bytes()
    }

    fn record_eviction(&mut self, key: SessionKey, watermark: Watermark) {
        self.sketch.insert(key, watermark);
        self.highest_evicted = self.highest_evicted.join(watermark);
        self.evicted += 1;
    }
}
