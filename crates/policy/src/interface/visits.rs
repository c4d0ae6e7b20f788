//! What the health checks cost, counted and not timed.

/// Entries that health checks have looked at since the router started (counts).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VisitCounts {
    /// Members.
    pub members: u64,
    /// Requests and attempts in flight, to cancel what a silent member has.
    pub requests: u64,
}
