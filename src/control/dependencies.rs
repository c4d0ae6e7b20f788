//! Resources that the process provides to the control plane.

use crate::fleet::quota_lending::Demand;
use crate::os::clock::Clock;
use crate::postgres::read_buffer::ReadBuffer;
use crate::resources::budget::Budget;
use crate::resources::counters::Counters;
use crate::MemberId;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Resources that the process provides to the control plane.
pub struct Dependencies {
    /// Clock of all deadlines.
    pub clock: Clock,
    /// Limits on descriptors and message memory.
    pub budget: Rc<Budget>,
    /// Read buffer shared by all connections.
    pub read_buffer: Rc<ReadBuffer>,
    /// Counters reported to operators.
    pub counters: Rc<Counters>,
    /// Requests received per group, the input of quota lending.
    pub demand: Demand,
    /// Host IDs by host name, handed over by a previous process of this gateway; empty without a handover.
    pub assigned_ids: BTreeMap<String, MemberId>,
}
