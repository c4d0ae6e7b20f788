//! Frees descriptors for new connections: closes idle clients and idle connections to hosts in a fixed order.

use crate::host::pool::HostPool;
use crate::resources::budget::Idleness;
use crate::Time;

/// While clients hold more than their share of the descriptors: how long a client must have been idle to be
/// closed (microseconds). Its next query may be on its way.
const MIN_IDLE_OF_EXCESS_CLIENT: Time = 100_000;
/// When no descriptor is left: how long a client without a query must have been idle to be closed
/// (microseconds).
const MIN_IDLE_OF_NEW_CLIENT: Time = 20_000;
/// When no descriptor is left: how long a client that has been answered must have been idle to be closed
/// (microseconds). It is likely to send another query, so connections to hosts are closed before one that was
/// answered more recently.
const MIN_IDLE_OF_ANSWERED_CLIENT: Time = 1_000_000;

impl HostPool {
    /// Closes idle clients while clients hold more than their share of the descriptors. Clients keep their
    /// connections, also those that never send another query; without this, new clients would get none.
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

    /// Ensures that a descriptor is left for a new connection, and closes an idle client or connection if it
    /// has to. Returns whether there is one.
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
