//! What an operator sets, and which settings make no sense.

use petrelgauge_policy::Time;
use thiserror::Error;

/// What is promised to a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promise {
    /// Its reads see its writes.
    Writes,
    /// And no read sees less than an earlier one did.
    WritesAndReads,
}

/// What the position that comes with an answer is the position of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Of the data that was read.
    WithRead,
    /// Of the host when it answered; the data may be older. Then only what the host told before counts.
    WithAnswer,
}

/// How sessions are kept. Spans in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// What is promised.
    pub promise: Promise,
    /// What a told position is the position of.
    pub told: Told,
    /// Hosts tell positions. Where they do not, a primary's answer proves what a read needs.
    pub positions: bool,
    /// Hosts that are too far behind for a session's read do not answer it. Where they tell no positions, any answer then
    /// proves what the read needs.
    pub checks: bool,
    /// What is not known is asked for; else only what is known is, and a session can see less than it should
    /// after a restart or at another instance.
    pub conservative: bool,
    /// A session may reach more than one instance.
    pub roams: bool,
    /// Clients carry tokens: they hand back the newest one with every request.
    pub tokens: bool,
    /// Instances that exchange marks, this one included; 0 where none do.
    pub instances: u16,
    /// Number of this instance among them, from 0.
    pub me: u16,
    /// Sessions whose marks are kept exactly. The older ones share the cells of a summary.
    pub exact: usize,
    /// Cells of each of the summary's rows; a power of two.
    pub cells: usize,
    /// Age after which a token no longer stands for all that its session did.
    pub token_age: Time,
    /// Most that two clocks, of instances or hosts, differ.
    pub clock_error: Time,
    /// Step in which hosts round positions down and commits up.
    pub granule: Time,
    /// Span between two bulletins to the other instances.
    pub pace: Time,
    /// Bulletins sent for a group in one pace at most.
    pub burst: usize,
    /// Longest that a read waits for a replica that is about to pass its floor.
    pub hold: Time,
    /// Seeds hashes and checks; the same at all instances.
    pub secret: u64,
}

impl Default for Settings {
    /// Exact marks take some 100 bytes each, the summary 16 bytes a cell: 27 MB and 1 MB.
    fn default() -> Settings {
        Settings {
            promise: Promise::WritesAndReads,
            told: Told::WithRead,
            positions: true,
            checks: false,
            conservative: true,
            roams: true,
            tokens: true,
            instances: 0,
            me: 0,
            exact: 262_144,
            cells: 65_536,
            token_age: 30_000_000,
            clock_error: 0,
            granule: 1_000,
            pace: 100_000,
            burst: 4,
            hold: 30_000,
            secret: 0,
        }
    }
}

/// Settings that cannot be used.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A figure that is out of its range.
    #[error("{0}")]
    Figure(&'static str),
    /// This instance has no place among the others.
    #[error("instance {me} is none of {instances}")]
    Instance {
        /// Number of this instance.
        me: u16,
        /// How many there are.
        instances: u16,
    },
}

/// Most instances that exchange marks: each costs some state for every group.
pub const MOST_INSTANCES: u16 = 1024;
/// Most that clocks may differ (microseconds). Twice that is less than any change of primary takes.
pub const MOST_CLOCK_ERROR: Time = 100_000;
/// Most sessions kept exactly.
pub const MOST_EXACT: usize = 16 * 1024 * 1024;

impl Settings {
    /// Whether the figures make sense.
    pub fn check(&self) -> Result<(), SettingsError> {
        let figures = [
            ((1..=MOST_EXACT).contains(&self.exact), "exact marks are from 1 to 16777216"),
            (
                self.cells.is_power_of_two() && self.cells <= 1 << 24,
                "the summary has a power of two of cells, 16777216 at most",
            ),
            (self.token_age > 0, "the age of a token is over 0"),
            ((0..=MOST_CLOCK_ERROR).contains(&self.clock_error), "clocks differ by 0 to 100 ms"),
            ((1..=10_000).contains(&self.granule), "positions are rounded to 1 us to 10 ms"),
            ((1_000..=10_000_000).contains(&self.pace), "bulletins go out every 1 ms to 10 s"),
            ((1..=64).contains(&self.burst), "1 to 64 bulletins go out at a time"),
            ((0..=1_000_000).contains(&self.hold), "a read is held for 0 to 1 s"),
            (self.instances <= MOST_INSTANCES, "at most 1024 instances exchange marks"),
        ];
        if let Some((_, cause)) = figures.iter().find(|(sound, _)| !sound) {
            return Err(SettingsError::Figure(cause));
        }
        if self.instances > 0 && self.me >= self.instances {
            return Err(SettingsError::Instance { me: self.me, instances: self.instances });
        }
        Ok(())
    }
}
