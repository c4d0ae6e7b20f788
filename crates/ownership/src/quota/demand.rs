//! Entries of reports, rounds and grants: their bounds, and how lists of them are split into datagrams.

use crate::Term;
use petrelgauge_policy::{GroupId, QuotaAdjustment};
use serde::{Deserialize, Serialize};

/// An amount of quota, in thousandths of an even quota.
pub type Thousandths = i16;

/// Thousandths in one even quota.
pub(super) const EVEN_QUOTA: f64 = 1000.0;
/// Maximum loan. It leaves the lender [`QuotaAdjustment::MIN_QUOTA`], on which the routing policy relies.
pub const MAX_LENT: Thousandths = (EVEN_QUOTA * (1.0 - QuotaAdjustment::MIN_QUOTA)) as Thousandths;
/// Maximum grant of a group to one gateway: 30 even quotas.
pub const MAX_GRANTED: Thousandths = 30_000;
/// Maximum number of groups whose quotas are lent. All other groups keep their even quotas.
pub const MAX_GROUPS: usize = 256;
/// Maximum number of rounds that a lease holder keeps. Loans reported for older rounds have expired.
pub(super) const MAX_ROUNDS: usize = 4;
/// Maximum rate that is reported (thousandths of a request per second).
pub const MAX_RATE: u32 = 1 << 30;

/// Space for entries in one datagram (bytes).
const ENTRIES_BYTES: usize = 198;
/// Length of the shortest entry (bytes): a group, a rate and an amount of one byte each.
const SHORTEST_ENTRY: usize = 3;
/// Length of the longest entry (bytes): ten for a group, five for a rate and three for an amount.
const LONGEST_ENTRY: usize = 18;
/// Maximum number of entries in one datagram, reached if all of them are as short as possible.
pub const MAX_ENTRIES_PER_DATAGRAM: usize = ENTRIES_BYTES / SHORTEST_ENTRY;
/// Number of entries that fit into one datagram even if all of them are as long as possible.
pub(super) const GUARANTEED_ENTRIES_PER_DATAGRAM: usize = ENTRIES_BYTES / LONGEST_ENTRY;

/// One gateway's demand for a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupDemand {
    /// The group whose limits the quota applies to.
    pub group: GroupId,
    /// Rate of the group's requests at this gateway (thousandths of a request per second).
    pub rate: u32,
    /// The amount requested if positive; the amount lent if negative.
    pub requested: Thousandths,
}

/// The mean rate of a group over all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MeanRate {
    /// The group that the requests are for.
    pub group: GroupId,
    /// Mean rate of a gateway (thousandths of a request per second).
    pub rate: u32,
}

/// Quota of a group that is granted to a gateway in addition to its even quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupGrant {
    /// The group whose limits the quota applies to.
    pub group: GroupId,
    /// The additional quota. More than [`MAX_GRANTED`] counts as that much.
    pub amount: Thousandths,
}

/// A gateway's report for a round, or as much of it as fits into one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Term of the lease holder that opened the round and that the loans are made to.
    pub term: Term,
    /// Number of the round that the report responds to.
    pub round: u32,
    /// Number of the report, consecutive at each gateway.
    pub number: u32,
    /// What the gateway lends or requests, at most one entry per group.
    pub demands: Vec<GroupDemand>,
}

/// Splits entries into parts that fit into one datagram each.
pub(super) fn split_into_datagrams<T: Serialize + Clone>(entries: &[T]) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut remaining = 0;
    for entry in entries {
        let length = encoded_length(entry);
        match parts.last_mut().filter(|_| length <= remaining) {
            Some(part) => part.push(entry.clone()),
            None => {
                parts.push(vec![entry.clone()]);
                remaining = ENTRIES_BYTES;
            }
        }
        remaining -= length.min(remaining);
    }
    parts
}

/// Length of an encoded entry (bytes). An entry that can't be encoded counts as the longest.
fn encoded_length<T: Serialize>(entry: &T) -> usize {
    postcard::to_allocvec(entry).map_or(LONGEST_ENTRY, |bytes| bytes.len())
}
