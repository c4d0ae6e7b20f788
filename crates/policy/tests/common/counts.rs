//! What came of a seeded workload, in numbers.

/// How often each kind of action came.
#[derive(Debug, Default)]
pub struct Counts {
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
