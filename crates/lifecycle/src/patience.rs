//! How long a connection to a host may take to come up before it is given up.
//!
//! The settings bound it, generously. Where connections come up in a millisecond, one that has not in forty is to a
//! machine that vanished, and the request that waits for it could be answered elsewhere by then. With a zone lost, each
//! gateway of a fleet learns that host by host, by its own requests.

use petrelgauge_policy::Time;

/// So many times the longest that connections lately took, one is given (count), and this at the least (microseconds):
/// more than a process is kept from its processor.
const MARGIN: Time = 16;
const LEAST: Time = 40_000;
/// Connections that must have come up before that says anything (count).
const ENOUGH: u32 = 8;
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

#[cfg(test)]
mod tests {
    use super::*;

    const MOST: Time = 250_000;

    fn used_to(took: Time) -> Patience {
        let mut patience = Patience::new(MOST);
        (0..20).for_each(|_| patience.came_up(took));
        patience
    }

    #[test]
    fn all_is_given_until_enough_was_seen() {
        let mut patience = Patience::new(MOST);
        for _ in 0..ENOUGH {
            assert_eq!(patience.span(0), MOST);
            patience.came_up(500);
        }
        assert_eq!(patience.span(0), LEAST);
    }

    #[test]
    fn where_connections_come_up_fast_a_silent_one_is_soon_given_up_and_longer_each_time() {
        let spans: Vec<Time> = (0..5).map(|missed| used_to(500).span(missed)).collect();
        assert_eq!(spans, [40_000, 80_000, 160_000, MOST, MOST]);
        assert_eq!(used_to(500).span(u32::MAX), MOST);
    }

    #[test]
    fn where_they_take_long_one_is_given_long_and_never_more_than_the_settings_allow() {
        assert_eq!(used_to(10_000).span(0), 160_000);
        assert_eq!(used_to(Time::MAX).span(3), MOST);
    }

    #[test]
    fn one_slow_connection_is_forgotten_in_time() {
        let mut patience = used_to(500);
        patience.came_up(10_000);
        assert_eq!(patience.span(0), 160_000);
        (0..400).for_each(|_| patience.came_up(500));
        assert_eq!(patience.span(0), LEAST);
    }
}
