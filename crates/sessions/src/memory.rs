//! The marks that this instance remembers: exactly for the recent sessions, in a summary for the rest.

use crate::mark::{Key, Mark};
use crate::sketch::Sketch;
use lru::LruCache;
use petrelgauge_policy::Time;
use std::hash::{BuildHasherDefault, Hasher};
use std::num::NonZeroUsize;

/// What is known of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// Its mark.
    pub mark: Mark,
    /// The mark covers all that the session did before this clock time, at whatever instance.
    pub seen: Time,
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
/// keeps its mark (an upper bound of it) and forgets how far that covers.
#[derive(Clone)]
pub struct Memory {
    exact: LruCache<Key, Entry, BuildHasherDefault<KeyHasher>>,
    rest: Sketch,
    evicted: u64,
    highest_evicted: Mark,
}

impl std::fmt::Debug for Memory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.iter()).finish()?;
        write!(f, " and {:?}", self.rest)
    }
}

impl Memory {
    /// An empty memory for so many sessions, at least one, and a summary with rows of so many cells.
    pub fn new(exact: usize, cells: usize, secret: u64) -> Memory {
        let room = NonZeroUsize::new(exact).unwrap_or(NonZeroUsize::MIN);
        // Grown as it fills: most instances never see so many.
        let mut exact = LruCache::unbounded_with_hasher(BuildHasherDefault::default());
        exact.resize(room);
        Memory { exact, rest: Sketch::new(cells, secret), evicted: 0, highest_evicted: Mark::NONE }
    }

    /// What is known of a session. Of one that is not kept exactly the summary tells a bound, which covers
    /// nothing that other instances did.
    pub fn get(&self, key: Key) -> Entry {
        match self.exact.peek(&key) {
            Some(entry) => *entry,
            None => Entry { mark: self.rest.bound(key), seen: 0 },
        }
    }

    /// Joins what was learned into what is known. `seen` may be 0 where nothing is said of what it covers.
    pub fn join(&mut self, key: Key, mark: Mark, seen: Time) -> Mark {
        let known = self.get(key);
        let entry = Entry { mark: known.mark.join(mark), seen: known.seen.max(seen) };
        if let Some((gone, old)) = self.exact.push(key, entry) {
            if gone != key {
                self.rest.put(gone, old.mark);
                self.highest_evicted = self.highest_evicted.join(old.mark);
                self.evicted += 1;
            }
        }
        entry.mark
    }

    /// Marks were made by a clock that was wrong: none lies above this, and none covers what its session did.
    pub fn doubt(&mut self, ceiling: Time) {
        for (_, entry) in self.exact.iter_mut() {
            *entry = Entry { mark: entry.mark.at_most(ceiling), seen: 0 };
        }
        self.rest.lower(ceiling);
        self.highest_evicted = self.highest_evicted.at_most(ceiling);
    }

    /// All that is kept exactly, the latest used first.
    pub fn iter(&self) -> impl Iterator<Item = (Key, Entry)> + '_ {
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

    /// No mark that went into the summary lies above this.
    pub fn highest_evicted(&self) -> Mark {
        self.highest_evicted
    }

    /// Bytes that it holds, reckoned: an entry with its links and its place in the table, and the summary.
    pub fn bytes(&self) -> usize {
        const LINKS: usize = 2 * std::mem::size_of::<usize>();
        const TABLE: usize = 2 * (std::mem::size_of::<usize>() * 2 + 1);
        self.exact.len() * (std::mem::size_of::<(Key, Entry)>() + LINKS + TABLE) + self.rest.bytes()
    }
}
