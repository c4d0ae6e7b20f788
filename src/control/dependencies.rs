//! What the control plane needs from its process.

use crate::fleet::quota_lending::Demand;
use crate::os::clock::Clock;
use crate::postgres::read_buffer::ReadBuffer;
use crate::resources::budget::Budget;
use crate::resources::counters::Counters;
use crate::MemberId;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What a control plane needs from its process.
pub struct Dependencies {
    /// Clock of all deadlines.
    pub clock: Clock,
    /// Limits on descriptors and message memory.
    pub budget: Rc<Budget>,
    /// Buffer that all connections read into.
    pub read_buffer: Rc<ReadBuffer>,
    /// Counters that operators see.
    pub counters: Rc<Counters>,
    /// Requests received per group, the base of quota lending.
    pub demand: Demand,
    /// Numbers of the hosts that another process of this gateway knew, by their names; empty without one.
    pub assigned_ids: BTreeMap<String, MemberId>,
}
