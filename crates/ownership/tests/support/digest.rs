//! A digest of everything that a run puts out: 64-bit FNV-1a, the same on every platform.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// The digest so far.
pub struct Digest(u64);

impl Digest {
    /// Of nothing.
    pub fn new() -> Digest {
        Digest(OFFSET_BASIS)
    }

    /// Adds bytes.
    pub fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    /// Adds a number.
    pub fn add_number(&mut self, number: u64) {
        self.add(&number.to_be_bytes());
    }

    /// Adds a time or a span.
    pub fn add_time(&mut self, time: i64) {
        self.add(&time.to_be_bytes());
    }

    /// The digest of all that was added.
    pub fn value(&self) -> u64 {
        self.0
    }
}
