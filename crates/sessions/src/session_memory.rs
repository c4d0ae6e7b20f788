//! The watermarks that this instance remembers: exactly for the recent sessions, in a summary for the rest.

use crate::sketch::MaxSketch;
use crate::watermark::{SessionKey, Watermark};
use lru::LruCache;
use petrelgauge_policy::Time;
use std::hash::{BuildHasherDefault, Hasher};
use std::num::NonZeroUsize;

/// What is known of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionEntry {
    /// Its watermark.
    pub watermark: Watermark,
    /// The watermark covers all that the session did before this clock time, at whatever instance.
    pub complete_until: Time,
}

/// Keys are hashes already, of a secret seed; mixing them once more is for the group.
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
        self.0 = (self.0.rotate_left(25) ^ word).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    }
}

/// Marks by session. Holds `exact` entries; the one that was used longest ago gives way to the summary, which
/// keeps its watermark (an upper bound of it) and forgets how far that covers.
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
    /// An empty memory for so many sessions, at least one, and a summary with rows of so many cells.
    pub fn new(exact_sessions: usize, sketch_width: usize, secret: u64) -> SessionMemory {
        let capacity = NonZeroUsize::new(exact_sessions).unwrap_or(NonZeroUsize::MIN);
        // Grown as it fills: most instances never see so many.
        let mut exact = LruCache::unbounded_with_hasher(BuildHasherDefault::default());
        exact.resize(capacity);
        SessionMemory {
            exact,
            sketch: MaxSketch::new(sketch_width, secret),
            evicted: 0,
            highest_evicted: Watermark::NONE,
        }
    }

    /// What is known of a session. Of one that is not kept exactly the summary tells a bound, which covers
    /// nothing that other instances did.
    pub fn get(&self, key: SessionKey) -> SessionEntry {
        match self.exact.peek(&key) {
            Some(entry) => *entry,
            None => SessionEntry { watermark: self.sketch.upper_bound(key), complete_until: 0 },
        }
    }

    /// Joins what was learned into what is known. `seen` may be 0 where nothing is said of what it covers.
    pub fn join(&mut self, key: SessionKey, watermark: Watermark, complete_until: Time) -> Watermark {
        let known = self.get(key);
        let entry = SessionEntry {
            watermark: known.watermark.join(watermark),
            complete_until: known.complete_until.max(complete_until),
        };
        if let Some((gone, old)) = self.exact.push(key, entry) {
            if gone != key {
                self.sketch.insert(gone, old.watermark);
                self.highest_evicted = self.highest_evicted.join(old.watermark);
                self.evicted += 1;
            }
        }
        entry.watermark
    }

    /// All that is kept exactly, the latest used first.
    pub fn iter(&self) -> impl Iterator<Item = (SessionKey, SessionEntry)> + '_ {
        self.exact.iter().map(|(key, entry)| (*key, *entry))
    }

    /// Sessions kept exactly.
    pub fn len(&self) -> usize {
        self.exact.len()
    }

    /// Nothing is kept exactly.
    pub fn is_empty(&self) -> bool {
        self.exact.is_empty()
    }

    /// Sessions that went into the summary so far.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// No watermark that went into the summary lies above this.
    pub fn highest_evicted(&self) -> Watermark {
        self.highest_evicted
    }

    /// Bytes that it holds, reckoned: an entry with its links and its place in the table, and the summary.
    pub fn bytes(&self) -> usize {
        const LINKS: usize = 2 * std::mem::size_of::<usize>();
        const TABLE: usize = 2 * (std::mem::size_of::<usize>() * 2 + 1);
        self.exact.len() * (std::mem::size_of::<(SessionKey, SessionEntry)>() + LINKS + TABLE)
            + self.sketch.bytes()
    }
}
