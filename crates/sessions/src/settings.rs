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
pub enum PositionScope {
    /// Of the data that was read.
    DataRead,
    /// Of the host when it answered; the data may be older. Then only what the host told before counts.
    HostAtAnswer,
}

/// How sessions are kept. Spans in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// What is promised.
    pub promise: Promise,
    /// What a told position is the position of.
    pub position_scope: PositionScope,
    /// Hosts tell positions. Where they do not, a primary's answer proves what a read needs.
    pub hosts_report_positions: bool,
    /// Hosts that are too far behind for a session's read do not answer it. Where they tell no positions, any answer then
    /// proves what the read needs.
    pub hosts_enforce_positions: bool,
    /// What is not known is asked for; else only what is known is, and a session can see less than it should
    /// after a restart or at another instance.
    pub conservative: bool,
    /// A session may reach more than one instance.
    pub roams: bool,
    /// Clients carry tokens: they hand back the newest one with every request.
    pub tokens: bool,
    /// Instances that exchange watermarks, this one included; 0 where none do.
    pub instances: u16,
    /// Number of this instance among them, from 0.
    pub instance: u16,
    /// Sessions whose watermarks are kept exactly. The older ones share the cells of a summary.
    pub exact_sessions: usize,
    /// Cells of each of the summary's rows; a power of two.
    pub sketch_width: usize,
    /// Age after which a token no longer stands for all that its session did.
    pub token_age: Time,
    /// Most that two clocks, of instances or hosts, differ.
    pub clock_error: Time,
    /// Step in which hosts round positions down and commits up.
    pub position_granularity: Time,
    /// Span between two broadcasts to the other instances.
    pub broadcast_interval: Time,
    /// Bulletins sent for a group in one broadcast_interval at most.
    pub broadcast_burst: usize,
    /// Longest that a read waits for a replica that is about to pass its floor.
    pub max_read_wait: Time,
    /// Seeds hashes and checks; the same at all instances.
    pub secret: u64,
}

impl Default for Settings {
    /// Exact watermarks take some 100 bytes each, the summary 16 bytes a cell: 27 MB and 1 MB.
    fn default() -> Settings {
        Settings {
            promise: Promise::WritesAndReads,
            position_scope: PositionScope::DataRead,
            hosts_report_positions: true,
            hosts_enforce_positions: false,
            conservative: true,
            roams: true,
            tokens: true,
            instances: 0,
            instance: 0,
            exact_sessions: 262_144,
            sketch_width: 65_536,
            token_age: 30_000_000,
            clock_error: 0,
            position_granularity: 1_000,
            broadcast_interval: 100_000,
            broadcast_burst: 4,
            max_read_wait: 30_000,
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
    #[error("instance {instance} is none of {instances}")]
    Instance {
        /// Number of this instance.
        instance: u16,
        /// How many there are.
        instances: u16,
    },
}

/// Most instances that exchange watermarks: each costs some state for every group.
pub const MAX_INSTANCES: u16 = 1024;
/// Most that clocks may differ (microseconds). Twice that is less than any change of primary takes.
pub const MAX_CLOCK_ERROR: Time = 100_000;
/// Most sessions kept exactly.
pub const MAX_EXACT_SESSIONS: usize = 16 * 1024 * 1024;

impl Settings {
    /// Whether the figures make sense.
    pub fn check(&self) -> Result<(), SettingsError> {
        let figures = [
            (
                (1..=MAX_EXACT_SESSIONS).contains(&self.exact_sessions),
                "exact watermarks are from 1 to 16777216",
            ),
            (
                self.sketch_width.is_power_of_two() && self.sketch_width <= 1 << 24,
                "the summary has a power of two of cells, 16777216 at most",
            ),
            (self.token_age > 0, "the age of a token is over 0"),
            ((0..=MAX_CLOCK_ERROR).contains(&self.clock_error), "clocks differ by 0 to 100 ms"),
            ((1..=10_000).contains(&self.position_granularity), "positions are rounded to 1 us to 10 ms"),
            ((1_000..=10_000_000).contains(&self.broadcast_interval), "broadcasts go out every 1 ms to 10 s"),
            ((1..=64).contains(&self.broadcast_burst), "1 to 64 broadcasts go out at a time"),
            ((0..=1_000_000).contains(&self.max_read_wait), "a read is held for 0 to 1 s"),
            (self.instances <= MAX_INSTANCES, "at most 1024 instances exchange watermarks"),
        ];
        if let Some((_, cause)) = figures.iter().find(|(sound, _)| !sound) {
            return Err(SettingsError::Figure(cause));
        }
        if self.instances > 0 && self.instance >= self.instances {
            return Err(SettingsError::Instance { instance: self.instance, instances: self.instances });
        }
        Ok(())
    }
}
