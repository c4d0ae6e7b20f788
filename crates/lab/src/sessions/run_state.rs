//! The state that all clients of one variant's run share.

use crate::ledger::Ledger;
use crate::phase_statistics::PhaseStatistics;
use crate::test_cluster::TestCluster;
use petrelgauge::os::clock::Clock;
use petrelgauge::Time;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Number of gateways.
pub(super) const GATEWAYS: usize = 5;
/// Number of rows.
pub(super) const ROWS: u64 = 60;

/// How gateways answered requests with invalid tokens.
#[derive(Default, Clone, Copy)]
pub(super) struct InvalidTokenCounts {
    /// Answered at all.
    pub(super) answered: u64,
    /// Answered with the error for an invalid token.
    pub(super) rejected: u64,
}

/// The state of one variant's run.
pub(super) struct RunState {
    pub(super) cluster: Rc<TestCluster>,
    pub(super) ledger: RefCell<Ledger>,
    pub(super) phases: RefCell<Vec<PhaseStatistics>>,
    /// Index of the current phase.
    pub(super) current_phase: Cell<usize>,
    pub(super) requests: Cell<u64>,
    pub(super) uses_tokens: bool,
    /// Whether clients erase the watermarks of their tokens: an injected fault.
    pub(super) erases_watermarks: bool,
    /// When clients stop (microseconds).
    pub(super) end: Time,
    pub(super) invalid_tokens: Cell<InvalidTokenCounts>,
}

impl RunState {
    pub(super) fn clock(&self) -> Clock {
        self.cluster.emulated_hosts.clock
    }

    pub(super) fn is_over(&self) -> bool {
        self.clock().now() >= self.end
    }

    /// Waits for this many microseconds.
    pub(super) async fn sleep(&self, duration: Time) {
        self.clock().sleep_until(self.clock().now() + duration).await;
    }

    pub(super) fn count_request(&self) {
        self.requests.set(self.requests.get() + 1);
    }

    /// Updates the statistics of the current phase.
    pub(super) fn with_phase(&self, change: impl FnOnce(&mut PhaseStatistics)) {
        change(&mut self.phases.borrow_mut()[self.current_phase.get()]);
    }
}
