//! How long a connection to a host may take to come up before it is given up.
//!
//! The settings bound it, generously. Where connections come up in a millisecond, one that has not in forty is to a
//! machine that vanished, and the request that waits for it could be answered elsewhere by then. With a zone lost, each
//! gateway of a fleet learns that host by host, by its own requests.

use petrelgauge_policy::Time;

/// A connection is given this many times the longest that connections lately took (count).
const MARGIN: Time = 16;
/// And at least this long (microseconds): more than a process is kept from its processor.
pub const LEAST: Time = 40_000;
/// Connections that must have come up before that says anything (count).
pub const ENOUGH: u32 = 8;
/// Part of the longest that is forgotten with each that comes up (one in so many).
const FADE: Time = 64;

/// What connections lately took, to all hosts. One value: no bound needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// What the settings allow.
    most: Time,
    longest: Time,
    seen: u32,
}

impl Patience {
    /// Nothing seen yet: all that the settings allow is given.
    pub fn new(most: Time) -> Patience {
        Patience { most, longest: 0, seen: 0 }
    }

    /// The settings allow so much from now on.
    pub fn at_most(self, most: Time) -> Patience {
        Patience { most, ..self }
    }

    /// A connection came up and its host was ready after this span.
    pub fn came_up(&mut self, took: Time) {
        self.longest = took.clamp(self.longest - self.longest / FADE, self.most.max(0));
        self.seen = self.seen.saturating_add(1);
    }

    /// The span to give one to a host that let so many in a row not come up. Each doubles it: a host may be far away,
    /// and this gateway may be slow.
    pub fn span(&self, missed: u32) -> Time {
        let usual = (self.longest.saturating_mul(MARGIN)).max(LEAST);
        let doubled = usual.saturating_mul(1 << missed.min(16));
        if self.seen < ENOUGH {
            self.most
        } else {
            doubled.min(self.most)
        }
    }
}
