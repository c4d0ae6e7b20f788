//! Counters of a seeded workload.

/// The number of events sent to the router and of actions of each kind that it returned.
#[derive(Debug, Default)]
pub struct ActionCounts {
    pub events: usize,
    pub sends: usize,
    pub rejections: usize,
    pub failures: usize,
    pub cancellations: usize,
    pub health_checks: usize,
    pub list_watches: usize,
    pub timers: usize,
    pub notes: usize,
}
