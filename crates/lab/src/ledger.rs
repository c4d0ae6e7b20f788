//! The checker of sessions: it knows what each session was told, and what each later answer shows.

use std::collections::{BTreeMap, HashMap};

/// What a session is expected by a read that is under way: the versions it had been told of when the read began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpectedVersions {
    /// Its own last write of the row.
    pub wrote: u64,
    /// The newest version of the row that it has read.
    pub read: u64,
}

/// What the ledger found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Reads answered with a row.
    pub reads: u64,
    /// Writes answered as served.
    pub writes: u64,
    /// Reads that did not show the session's own write.
    pub stale: u64,
    /// Reads that showed less than an earlier one.
    pub backwards: u64,
    /// Of either kind, but the version was lost by a take-over: nobody can show it.
    pub excused: u64,
}

/// Versions by session and row. Versions of a row only rise.
#[derive(Debug, Default)]
pub struct Ledger {
    rows: HashMap<(u32, u64), ExpectedVersions>,
    found: Findings,
}

impl Ledger {
    /// A write of the session was answered.
    pub fn wrote(&mut self, session: u32, row: u64, version: u64) {
        let expected = self.rows.entry((session, row)).or_default();
        expected.wrote = expected.wrote.max(version);
        self.found.writes += 1;
    }

    /// A read of the session begins.
    pub fn begins(&self, session: u32, row: u64) -> ExpectedVersions {
        self.rows.get(&(session, row)).copied().unwrap_or_default()
    }

    /// It was answered with this version. Tells whether it was sound.
    pub fn read(
        &mut self,
        session: u32,
        row: u64,
        expected: ExpectedVersions,
        version: u64,
        lost: &BTreeMap<u64, i64>,
    ) -> bool {
        let known = self.rows.entry((session, row)).or_default();
        known.read = known.read.max(version);
        self.found.reads += 1;
        let (stale, backwards) = (version < expected.wrote, version < expected.read);
        let excused = (!stale || lost.contains_key(&expected.wrote))
            && (!backwards || lost.contains_key(&expected.read));
        match (stale || backwards, excused) {
            (false, _) => {}
            (true, true) => self.found.excused += 1,
            (true, false) => {
                self.found.stale += u64::from(stale);
                self.found.backwards += u64::from(backwards);
                return false;
            }
        }
        true
    }

    /// What was found so far.
    pub fn findings(&self) -> Findings {
        self.found
    }
}
