//! A max-sketch: a fixed-size summary of many watermarks that never underestimates. It is the count-min
//! sketch of Cormode and Muthukrishnan (2005) with maxima in place of sums.

use crate::session_key::SessionKey;
use crate::watermark::Watermark;
use petrelgauge_policy::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of rows of the sketch, each with its own hash.
pub const ROWS: usize = 2;

/// Rows of cells. Each cell holds the highest watermark of all keys that hash to it, and the upper bound of a
/// key is the lowest of its cells.
///
/// The bound is never below the highest watermark inserted for the key. It is above that if, in every row, a
/// key with a higher watermark shares the key's cell; [`overestimate_rate`] predicts how often this happens.
#[derive(Clone)]
pub struct MaxSketch {
    cells: Vec<Watermark>,
    width: usize,
    seed: u64,
}

impl std::fmt::Debug for MaxSketch {
    /// Formats only the cells in use, by index.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let used = self.cells.iter().enumerate().filter(|(_, watermark)| **watermark != Watermark::NONE);
        f.debug_map().entries(used).finish()
    }
}

impl MaxSketch {
    /// Creates an empty sketch with `width` cells per row, a power of two.
    pub fn new(width: usize, seed: u64) -> MaxSketch {
        debug_assert!(width.is_power_of_two());
        MaxSketch { cells: vec![Watermark::NONE; ROWS * width], width, seed }
    }

    /// Joins a watermark into the cells of its key.
    pub fn insert(&mut self, key: SessionKey, watermark: Watermark) {
        for index in self.cell_indices(key) {
            self.cells[index] = self.cells[index].join(watermark);
        }
        debug_assert!(self.upper_bound(key).covers(watermark));
    }

    /// Caps every cell at `ceiling`. The cells remain upper bounds only if no true watermark is above
    /// `ceiling`.
    pub fn cap(&mut self, ceiling: Time) {
        self.cells.iter_mut().for_each(|cell| *cell = cell.capped_at(ceiling));
    }

    /// An upper bound of the join of all watermarks inserted for this key.
    pub fn upper_bound(&self, key: SessionKey) -> Watermark {
        let [first, second] = self.cell_indices(key).map(|index| self.cells[index]);
        Watermark { written: first.written.min(second.written), read: first.read.min(second.read) }
    }

    /// Size of the cells (bytes).
    pub fn bytes(&self) -> usize {
        self.cells.len() * std::mem::size_of::<Watermark>()
    }

    fn cell_indices(&self, key: SessionKey) -> [usize; ROWS] {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&key.group.to_le_bytes());
        bytes[8..].copy_from_slice(&key.name_hash.to_le_bytes());
        let hash = xxh3_64_with_seed(&bytes, self.seed);
        let mask = self.width - 1;
        let first = hash as usize & mask;
        let second = (hash >> 32) as usize & mask;
        [first, self.width + second]
    }
}

/// Expected fraction of keys whose bound is above their own watermark, after `higher` keys with higher
/// watermarks were inserted into rows of `width` cells: those for which in every row at least one of the
/// higher keys shares the cell.
pub fn overestimate_rate(higher: f64, width: usize) -> f64 {
    let collision = 1.0 - (-higher / width as f64).exp();
    collision.powi(ROWS as i32)
}
