//! Frees descriptors for new connections by closing idle clients and idle host connections in a fixed order.

use crate::host::pool::HostPool;
use crate::resources::budget::Idleness;
use crate::Time;

/// Minimum idle time before a client is closed while clients hold more than their share of the descriptors
/// (microseconds), if it has not been answered or if answered clients hold much of the excess. The next query of
/// a client that was active more recently may be in transit.
const MIN_IDLE_OF_EXCESS_CLIENT: Time = 100_000;
/// Minimum idle time before a client that has been answered is closed in other cases (microseconds), as the
/// deployment allows.
const MIN_IDLE_OF_ANSWERED_CLIENT: Time = 2_000_000;
/// Minimum idle time before a client that has sent no query, or a part of one, is closed when no descriptor is
/// left (microseconds).
const MIN_IDLE_WITHOUT_DESCRIPTOR: Time = 20_000;

impl HostPool {
    /// Closes idle clients while clients hold more than their share of the descriptors. Clients keep their
    /// connections open even if they never send another query, so new clients would get no descriptor
    /// otherwise. Those that have sent no query, or stopped within one, are closed first, and answered ones
    /// early only as far as they hold much of the excess.
    pub fn shed_excess_clients(&self) {
        let now = self.clock.now();
        let excess_since = now - MIN_IDLE_OF_EXCESS_CLIENT;
        // Counted first: a client that is asked to close still counts as open.
        let excess_answered_clients = self.budget.excess_answered_clients();
        for _ in 0..self.budget.excess_clients() {
            let is_closed = self.shed_unserved_client(excess_since)
                || self.budget.shed_client(Idleness::Answered, now - MIN_IDLE_OF_ANSWERED_CLIENT);
            if !is_closed {
                break;
            }
            self.counters.descriptors_freed.add();
        }
        for _ in 0..excess_answered_clients {
            if !self.budget.shed_client(Idleness::Answered, excess_since) {
                break;
            }
            self.counters.descriptors_freed.add();
        }
    }

    /// Closes a client that has sent no query, or stopped within one, and has been idle since `idle_since` or
    /// longer. Returns whether there was one.
    fn shed_unserved_client(&self, idle_since: Time) -> bool {
        self.budget.shed_client(Idleness::CutOff, idle_since)
            || self.budget.shed_client(Idleness::New, idle_since)
            || self.budget.shed_client(Idleness::Stalled, idle_since)
    }

    /// Ensures that a descriptor is available for a new connection, closing an idle client or host connection
    /// if necessary. Returns whether one is available.
    pub fn ensure_descriptor(&self) -> bool {
        if !self.budget.is_exhausted() {
            return true;
        }
        let now = self.clock.now();
        let is_closed = self.budget.shed_client(Idleness::CutOff, now)
            || self.shed_unserved_client(now - MIN_IDLE_WITHOUT_DESCRIPTOR)
            || self.budget.shed_client(Idleness::Answered, now - MIN_IDLE_OF_ANSWERED_CLIENT)
            || self.close_longest_idle()
            || self.shed_unserved_client(now)
            || self.budget.shed_client(Idleness::Answered, now);
        if is_closed {
            self.counters.descriptors_freed.add();
        }
        is_closed
    }
}
