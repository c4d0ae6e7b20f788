//! Cost of the health checks, as counts of scanned entries rather than as time.

/// Entries scanned by the health checks since the router was created (counts).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScanCounts {
    /// Members scanned.
    pub members: u64,
    /// Attempts in flight that were scanned to cancel those at an unresponsive member.
    pub requests: u64,
}
