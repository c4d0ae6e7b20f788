//! Session consistency settings and their validation.

use petrelgauge_policy::Time;
use std::ops::RangeInclusive;
use thiserror::Error;

/// Maximum number of instances that exchange watermarks. Each adds state to every group.
pub const MAX_INSTANCES: u16 = 1024;
/// Maximum clock error (microseconds). Every failover of a primary takes longer than twice this time.
pub const MAX_CLOCK_ERROR: Time = 100_000;
/// Maximum number of sessions whose watermarks are stored exactly.
pub const MAX_EXACT_SESSIONS: usize = 16 * 1024 * 1024;

/// Memory of an exact session, with its share of the index (bytes).
pub const BYTES_PER_EXACT_SESSION: usize = 160;

const MAX_SKETCH_WIDTH: usize = 1 << 24;
/// Valid position granularities (microseconds).
const POSITION_GRANULARITIES: RangeInclusive<Time> = 1..=10_000;
/// Valid broadcast intervals (microseconds).
const BROADCAST_INTERVALS: RangeInclusive<Time> = 1_000..=10_000_000;
/// Valid values of the longest read wait (microseconds).
const READ_WAITS: RangeInclusive<Time> = 0..=1_000_000;

/// The consistency guarantee of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionGuarantee {
    /// Read-your-writes: a read sees all earlier writes of its session.
    ReadYourWrites,
    /// Read-your-writes and monotonic reads: a read also sees everything that earlier reads of its session
    /// saw.
    ReadYourWritesAndMonotonicReads,
}

/// What the position that is reported with an answer refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionScope {
    /// The data that were read.
    DataRead,
    /// The host at the time of the answer; the data may be older. Only positions reported before the read was
    /// sent are proof.
    HostAtAnswer,
}

/// Session consistency settings. Durations are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The consistency guarantee of a session.
    pub guarantee: SessionGuarantee,
    /// What a reported position refers to.
    pub position_scope: PositionScope,
    /// Whether hosts report positions. If not, an answer of a primary proves any minimum position.
    pub hosts_report_positions: bool,
    /// Whether hosts reject reads for which they lag too far. If they do, and if they report no positions,
    /// any answer proves its minimum position.
    pub hosts_enforce_positions: bool,
    /// Whether reads require everything that their session may have seen. If not, they require only what is
    /// known, and a session can get a stale read after a restart or at another instance.
    pub conservative: bool,
    /// Whether a session may use several instances.
    pub roams: bool,
    /// Whether clients carry tokens and return the newest one with every request.
    pub tokens: bool,
    /// Number of instances that exchange watermarks, including this one; 0 if none do.
    pub instances: u16,
    /// Number of this instance among them, counted from 0.
    pub instance: u16,
    /// Number of sessions whose watermarks are stored exactly. All others share the cells of a sketch.
    pub exact_sessions: usize,
    /// Number of cells in each row of the sketch, a power of two.
    pub sketch_width: usize,
    /// Age after which a token no longer counts as covering all earlier requests of its session.
    pub token_age: Time,
    /// Maximum difference between any two clocks of instances or hosts.
    pub clock_error: Time,
    /// Step to which hosts round positions down and commit times up.
    pub position_granularity: Time,
    /// Time between two broadcasts of a group.
    pub broadcast_interval: Time,
    /// Maximum time that a read waits for a replica to reach its minimum position.
    pub max_read_wait: Time,
    /// Key of the hashes and checksums; the same at all instances.
    pub secret: u64,
}

impl Default for Settings {
    /// The defaults use 27 MB for exact watermarks (about 100 bytes each) and 2 MB for the sketch (16 bytes
    /// per cell).
    fn default() -> Settings {
        Settings {
            guarantee: SessionGuarantee::ReadYourWritesAndMonotonicReads,
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
            max_read_wait: 30_000,
            secret: 0,
        }
    }
}

impl Settings {
    /// The same settings with at most as many exact sessions as fit into `bytes` of memory, but at least one.
    #[must_use]
    pub fn within_memory(self, bytes: usize) -> Settings {
        let most = (bytes / BYTES_PER_EXACT_SESSION).max(1);
        Settings { exact_sessions: self.exact_sessions.min(most), ..self }
    }
}

/// Reason why settings are invalid. The texts are shown with the line of the operator's file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// [`Settings::exact_sessions`] is out of range.
    #[error("the number of exact watermarks must be from 1 to {MAX_EXACT_SESSIONS}, not {0}")]
    ExactSessions(usize),
    /// [`Settings::sketch_width`] is out of range.
    #[error("the number of cells per row must be a power of two of at most {MAX_SKETCH_WIDTH}, not {0}")]
    SketchWidth(usize),
    /// [`Settings::token_age`] is not positive.
    #[error("the maximum age of a token must be more than 0, not {0} us")]
    TokenAge(Time),
    /// [`Settings::clock_error`] is out of range.
    #[error("the clock error must be from 0 to 100 ms, not {0} us")]
    ClockError(Time),
    /// [`Settings::position_granularity`] is out of range.
    #[error("the position granularity must be from 1 us to 10 ms, not {0} us")]
    PositionGranularity(Time),
    /// [`Settings::broadcast_interval`] is out of range.
    #[error("the broadcast interval must be from 1 ms to 10 s, not {0} us")]
    BroadcastInterval(Time),
    /// [`Settings::max_read_wait`] is out of range.
    #[error("a read can be held for 0 to 1 s, not for {0} us")]
    ReadWait(Time),
    /// [`Settings::instances`] is out of range.
    #[error("at most {MAX_INSTANCES} instances can exchange watermarks, not {0}")]
    TooManyInstances(u16),
    /// [`Settings::instance`] is not below [`Settings::instances`].
    #[error("instance number {instance} is not below the number of instances, {instances}")]
    Instance {
        /// Number of this instance.
        instance: u16,
        /// Number of instances.
        instances: u16,
    },
}

impl Settings {
    /// Checks that every value is in its range.
    ///
    /// # Errors
    ///
    /// Fails with the first value that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_sizes()?;
        self.check_durations()?;
        self.check_instances()
    }

    fn check_sizes(&self) -> Result<(), SettingsError> {
        if !(1..=MAX_EXACT_SESSIONS).contains(&self.exact_sessions) {
            return Err(SettingsError::ExactSessions(self.exact_sessions));
        }
        if !self.sketch_width.is_power_of_two() || self.sketch_width > MAX_SKETCH_WIDTH {
            return Err(SettingsError::SketchWidth(self.sketch_width));
        }
        Ok(())
    }

    fn check_durations(&self) -> Result<(), SettingsError> {
        if self.token_age <= 0 {
            return Err(SettingsError::TokenAge(self.token_age));
        }
        if !(0..=MAX_CLOCK_ERROR).contains(&self.clock_error) {
            return Err(SettingsError::ClockError(self.clock_error));
        }
        if !POSITION_GRANULARITIES.contains(&self.position_granularity) {
            return Err(SettingsError::PositionGranularity(self.position_granularity));
        }
        if !BROADCAST_INTERVALS.contains(&self.broadcast_interval) {
            return Err(SettingsError::BroadcastInterval(self.broadcast_interval));
        }
        if !READ_WAITS.contains(&self.max_read_wait) {
            return Err(SettingsError::ReadWait(self.max_read_wait));
        }
        Ok(())
    }

    fn check_instances(&self) -> Result<(), SettingsError> {
        if self.instances > MAX_INSTANCES {
            return Err(SettingsError::TooManyInstances(self.instances));
        }
        if self.instances > 0 && self.instance >= self.instances {
            return Err(SettingsError::Instance { instance: self.instance, instances: self.instances });
        }
        Ok(())
    }
}
