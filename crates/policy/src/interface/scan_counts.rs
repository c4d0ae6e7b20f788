//! The cost of the health checks, counted and not timed.

/// Entries that the health checks have scanned since the router was made (counts).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScanCounts {
    /// Members.
    pub members: u64,
    /// Attempts in flight, scanned to cancel those at a silent member.
    pub requests: u64,
}
