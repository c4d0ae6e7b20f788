//! Frees descriptors for new connections by closing idle clients and idle host connections in a fixed order.

use crate::host::pool::HostPool;
use crate::resources::budget::Idleness;
use crate::Time;

/// Minimum idle time before a client is closed while clients hold more than their share of the descriptors
/// (microseconds). The next query of a client that was active more recently may be in transit.
const MIN_IDLE_OF_EXCESS_CLIENT: Time = 100_000;
/// Minimum idle time before a client that has sent no query is closed when no descriptor is left
/// (microseconds).
const MIN_IDLE_OF_NEW_CLIENT: Time = 20_000;
/// Minimum idle time before a client that has been answered is closed when no descriptor is left
/// (microseconds). A client that was answered more recently is likely to send another query, so idle host
/// connections are closed before it.
const MIN_IDLE_OF_ANSWERED_CLIENT: Time = 1_000_000;

impl HostPool {
    /// Closes idle clients while clients hold more than their share of the descriptors. Clients keep their
    /// connections open even if they never send another query, so new clients would get no descriptor
    /// otherwise.
    pub fn shed_excess_clients(&self) {
        let idle_since = self.clock.now() - MIN_IDLE_OF_EXCESS_CLIENT;
        for _ in 0..self.budget.excess_clients() {
            let is_closed = self.budget.shed_client(Idleness::CutOff, idle_since)
                || self.budget.shed_client(Idleness::New, idle_since)
                || self.budget.shed_client(Idleness::Answered, idle_since);
            if !is_closed {
                return;
            }
            self.counters.descriptors_freed.add();
        }
    }

    /// Ensures that a descriptor is available for a new connection, closing an idle client or host connection
    /// if necessary. Returns whether one is available.
    pub fn ensure_descriptor(&self) -> bool {
        if !self.budget.is_exhausted() {
            return true;
        }
        let now = self.clock.now();
        let is_closed = self.budget.shed_client(Idleness::CutOff, now)
            || self.budget.shed_client(Idleness::New, now - MIN_IDLE_OF_NEW_CLIENT)
            || self.budget.shed_client(Idleness::Answered, now - MIN_IDLE_OF_ANSWERED_CLIENT)
            || self.close_longest_idle()
            || self.budget.shed_client(Idleness::Answered, now)
            || self.budget.shed_client(Idleness::New, now);
        if is_closed {
            self.counters.descriptors_freed.add();
        }
        is_closed
    }
}
