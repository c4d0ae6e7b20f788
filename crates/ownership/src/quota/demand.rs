//! What gateways report of groups and are granted, the limits of it, and how it is split into datagrams.

use crate::Term;
use petrelgauge_policy::{GroupId, QuotaAdjustment};
use serde::{Deserialize, Serialize};

/// An amount of quota: thousandths of an even quota.
pub type Thousandths = i16;

/// Thousandths in one even quota.
pub(super) const EVEN_QUOTA: f64 = 1000.0;
/// Maximum that a gateway lends of its even quota; the decisions rely on the same minimum.
pub const MAX_LENT: Thousandths = (EVEN_QUOTA * (1.0 - QuotaAdjustment::MIN_QUOTA)) as Thousandths;
/// Maximum that a gateway is granted beside its even quota: more than any fleet of this size can lend.
pub const MAX_GRANTED: Thousandths = 30_000;
/// Maximum number of groups whose quotas are lent; the others keep even quotas.
pub const MAX_GROUPS: usize = 256;
/// Maximum number of rounds that a lease holder remembers: reports for older ones lend nothing any more.
pub(super) const MAX_ROUNDS: usize = 4;
/// Maximum rate that is reported (thousandths of a request per second).
pub const MAX_RATE: u32 = 1 << 30;

/// Room for entries in one datagram, beside its header (bytes).
const ENTRY_BYTES: usize = 198;
/// Length of the shortest entry (bytes): a group, a rate and an amount of one byte each.
const SHORTEST_ENTRY: usize = 3;
/// Length of the longest entry (bytes): 10 for a group, 5 for a rate, 3 for an amount.
const LONGEST_ENTRY: usize = 18;
/// Maximum number of entries in one datagram: of the shortest ones.
pub const MAX_DEMANDS: usize = ENTRY_BYTES / SHORTEST_ENTRY;
/// Number of entries that fit into one datagram whatever their length.
pub(super) const MIN_DEMANDS: usize = ENTRY_BYTES / LONGEST_ENTRY;

/// One gateway's demand for a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupDemand {
    /// The group.
    pub group: GroupId,
    /// Requests that arrive for it at this gateway (thousandths of a request per second).
    pub rate: u32,
    /// The amount that is requested; the amount that is lent if negative.
    pub requested: Thousandths,
}

/// The mean rate of a group over all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MeanRate {
    /// The group.
    pub group: GroupId,
    /// Requests at each gateway (thousandths of a request per second).
    pub rate: u32,
}

/// Quota of a group that is granted to a gateway beside its even quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupGrant {
    /// The group.
    pub group: GroupId,
    /// The amount.
    pub amount: Thousandths,
}

/// A gateway's report for a round, or the part of it that fits into one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaReport {
    /// The lease holder's term.
    pub term: Term,
    /// The round.
    pub round: u32,
    /// Number of the report among this gateway's.
    pub number: u32,
    /// What it lends and requests.
    pub demands: Vec<GroupDemand>,
}

/// Splits entries into parts that fit into one datagram each.
pub(super) fn split_into_datagrams<T: Serialize + Clone>(entries: &[T]) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut room = 0;
    for entry in entries {
        let length = encoded_length(entry);
        match parts.last_mut().filter(|_| length <= room) {
            Some(part) => part.push(entry.clone()),
            None => {
                parts.push(vec![entry.clone()]);
                room = ENTRY_BYTES;
            }
        }
        room -= length.min(room);
    }
    parts
}

/// An entry that can't be encoded counts as the longest.
fn encoded_length<T: Serialize>(entry: &T) -> usize {
    postcard::to_allocvec(entry).map_or(LONGEST_ENTRY, |bytes| bytes.len())
}
