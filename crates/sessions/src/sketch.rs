//! A summary of many marks that may only err upward: a max-sketch.

use crate::mark::{Key, Mark};
use petrelgauge_policy::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rows, each with a hash of its own. A key's bound is the least of its cells.
pub const ROWS: usize = 2;

/// Cells that hold the highest mark of the keys that fall on them. What a key is given is never below the
/// highest mark that was put in for it; it is above where in each of its rows another key's higher mark fell on
/// the same cell. With `n` keys put in and `w` cells a row, of which a share `p` has marks above the one asked
/// for, that happens to [`false_share`]`(p * n, w)` of the keys.
#[derive(Clone)]
pub struct Sketch {
    cells: Vec<Mark>,
    width: usize,
    seed: u64,
}

impl std::fmt::Debug for Sketch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let used = self.cells.iter().enumerate().filter(|(_, mark)| **mark != Mark::NONE);
        f.debug_map().entries(used).finish()
    }
}

impl Sketch {
    /// An empty summary with so many cells in each row, a power of two.
    pub fn new(width: usize, seed: u64) -> Sketch {
        debug_assert!(width.is_power_of_two());
        Sketch { cells: vec![Mark::NONE; ROWS * width], width, seed }
    }

    /// Joins a mark into the cells of its key.
    pub fn put(&mut self, key: Key, mark: Mark) {
        for place in self.places(key) {
            self.cells[place] = self.cells[place].join(mark);
        }
        debug_assert!(self.bound(key).covers(mark));
    }

    /// At least the join of all that was put in for this key.
    pub fn bound(&self, key: Key) -> Mark {
        let [first, second] = self.places(key).map(|place| self.cells[place]);
        Mark { wrote: first.wrote.min(second.wrote), read: first.read.min(second.read) }
    }

    /// No mark that was put in was really above this.
    pub fn lower(&mut self, ceiling: Time) {
        self.cells.iter_mut().for_each(|cell| *cell = cell.at_most(ceiling));
    }

    /// Bytes of its cells.
    pub fn bytes(&self) -> usize {
        self.cells.len() * std::mem::size_of::<Mark>()
    }

    fn places(&self, key: Key) -> [usize; ROWS] {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&key.group.to_le_bytes());
        bytes[8..].copy_from_slice(&key.name.to_le_bytes());
        let hash = xxh3_64_with_seed(&bytes, self.seed);
        let mask = self.width - 1;
        [hash as usize & mask, self.width + ((hash >> 32) as usize & mask)]
    }
}

/// Share of keys whose bound is above their own mark, where `higher` other keys with higher marks were put into
/// rows of `width` cells: every row must have at least one of them on the key's cell.
pub fn false_share(higher: f64, width: usize) -> f64 {
    let hit = 1.0 - (-higher / width as f64).exp();
    hit.powi(ROWS as i32)
}
