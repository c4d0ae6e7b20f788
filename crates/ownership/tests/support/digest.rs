//! Digest of all outputs of a run: 64-bit FNV-1a, which gives the same value on every platform.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Digest of the bytes added so far.
pub struct Digest(u64);

impl Digest {
    /// Creates the digest of no bytes.
    pub fn new() -> Digest {
        Digest(OFFSET_BASIS)
    }

    pub fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    /// Adds the big-endian bytes of a number.
    pub fn add_number(&mut self, number: u64) {
        self.add(&number.to_be_bytes());
    }

    /// Adds the big-endian bytes of a time or a duration.
    pub fn add_time(&mut self, time: i64) {
        self.add(&time.to_be_bytes());
    }

    /// The digest of all bytes added.
    pub fn value(&self) -> u64 {
        self.0
    }
}
