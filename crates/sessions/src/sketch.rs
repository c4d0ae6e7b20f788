//! A summary of many watermarks that may only err upward: a max-sketch.

use crate::watermark::{SessionKey, Watermark};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rows, each with a hash of its own. A key's bound is the least of its cells.
pub const ROWS: usize = 2;

/// Cells that hold the highest watermark of the keys that fall on them. What a key is given is never below the
/// highest watermark that was put in for it; it is above where in each of its rows another key's higher watermark fell on
/// the same cell. With `n` keys put in and `w` cells a row, of which a share `p` has watermarks above the one asked
/// for, that happens to [`overestimate_rate`]`(p * n, w)` of the keys.
#[derive(Clone)]
pub struct MaxSketch {
    cells: Vec<Watermark>,
    width: usize,
    seed: u64,
}

impl std::fmt::Debug for MaxSketch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let used = self.cells.iter().enumerate().filter(|(_, watermark)| **watermark != Watermark::NONE);
        f.debug_map().entries(used).finish()
    }
}

impl MaxSketch {
    /// An empty summary with so many cells in each row, a power of two.
    pub fn new(width: usize, seed: u64) -> MaxSketch {
        debug_assert!(width.is_power_of_two());
        MaxSketch { cells: vec![Watermark::NONE; ROWS * width], width, seed }
    }

    /// Joins a watermark into the cells of its key.
    pub fn insert(&mut self, key: SessionKey, watermark: Watermark) {
        for place in self.cell_indices(key) {
            self.cells[place] = self.cells[place].join(watermark);
        }
        debug_assert!(self.upper_bound(key).covers(watermark));
    }

    /// At least the join of all that was put in for this key.
    pub fn upper_bound(&self, key: SessionKey) -> Watermark {
        let [first, second] = self.cell_indices(key).map(|place| self.cells[place]);
        Watermark { written: first.written.min(second.written), read: first.read.min(second.read) }
    }

    /// Bytes of its cells.
    pub fn bytes(&self) -> usize {
        self.cells.len() * std::mem::size_of::<Watermark>()
    }

    fn cell_indices(&self, key: SessionKey) -> [usize; ROWS] {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&key.group.to_le_bytes());
        bytes[8..].copy_from_slice(&key.name_hash.to_le_bytes());
        let hash = xxh3_64_with_seed(&bytes, self.seed);
        let mask = self.width - 1;
        [hash as usize & mask, self.width + ((hash >> 32) as usize & mask)]
    }
}

/// Share of keys whose bound is above their own watermark, where `higher` other keys with higher watermarks were put into
/// rows of `width` sketch_width: every row must have at least one of them on the key's cell.
pub fn overestimate_rate(higher: f64, width: usize) -> f64 {
    let hit = 1.0 - (-higher / width as f64).exp();
    hit.powi(ROWS as i32)
}
