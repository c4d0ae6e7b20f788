//! The consistency checker of sessions: records the versions that each session has seen, and compares all
//! later answers with them.

use std::collections::{BTreeMap, HashMap};

/// The lowest versions of a row that a read may return: those that its session knew when the read began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpectedVersions {
    /// The session's own last write of the row.
    pub written: u64,
    /// The newest version of the row that the session has read.
    pub read: u64,
}

/// Counts of reads, writes and violations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Reads answered with a row.
    pub reads: u64,
    /// Writes answered as served.
    pub writes: u64,
    /// Reads that missed the session's own write.
    pub stale: u64,
    /// Reads that returned an older version than an earlier read of the session.
    pub backwards: u64,
    /// Violations of either kind whose expected version was lost in a failover, so that no host has it.
    pub excused: u64,
}

impl Findings {
    /// Reads that violated a guarantee without an excuse.
    pub fn violations(&self) -> u64 {
        self.stale + self.backwards
    }
}

/// A session and a row.
type SessionRow = (u32, u64);

/// The versions that each session knows of each row. The versions of a row only increase.
#[derive(Debug, Default)]
pub struct Ledger {
    rows: HashMap<SessionRow, ExpectedVersions>,
    findings: Findings,
}

impl Ledger {
    /// Records that a write of the session was answered with this version.
    pub fn record_write(&mut self, session: u32, row: u64, version: u64) {
        let known = self.rows.entry((session, row)).or_default();
        known.written = known.written.max(version);
        self.findings.writes += 1;
    }

    /// What a read of the session that begins now must return.
    pub fn expected(&self, session: u32, row: u64) -> ExpectedVersions {
        self.rows.get(&(session, row)).copied().unwrap_or_default()
    }

    /// Records that a read was answered with this version, and compares it with what was expected when the
    /// read began. `lost` has the versions that were lost in failovers.
    pub fn record_read(
        &mut self,
        session: u32,
        row: u64,
        expected: ExpectedVersions,
        version: u64,
        lost: &BTreeMap<u64, i64>,
    ) {
        let known = self.rows.entry((session, row)).or_default();
        known.read = known.read.max(version);
        self.findings.reads += 1;
        let is_stale = version < expected.written;
        let is_backwards = version < expected.read;
        if !is_stale && !is_backwards {
            return;
        }
        let stale_excused = !is_stale || lost.contains_key(&expected.written);
        let backwards_excused = !is_backwards || lost.contains_key(&expected.read);
        if stale_excused && backwards_excused {
            self.findings.excused += 1;
        } else {
            self.findings.stale += u64::from(is_stale);
            self.findings.backwards += u64::from(is_backwards);
        }
    }

    /// The counts so far.
    pub fn findings(&self) -> Findings {
        self.findings
    }
}
