//! What gateways report of groups, and the limits of it.

use petrelgauge_policy::GroupId;
use serde::{Deserialize, Serialize};

/// Thousandths of an even quota.
pub type Milli = i16;

/// Most that a gateway lends of its even quota, as the decisions know it too.
pub const MAX_LENT: Milli = (1000.0 * (1.0 - petrelgauge_policy::Share::LEAST)) as Milli;
/// Most that one is granted beside its own: more than any fleet of this size can bring together.
pub const MAX_GRANTED: Milli = 30_000;
/// Bytes of lines of one datagram, beside its head.
pub(super) const DEMAND_BYTES: usize = 198;
/// The longest line (bytes): a group, a rate, what is asked for.
pub(super) const LONGEST_DEMAND: usize = 18;
/// Lines of one datagram at most (count): of the shortest ones.
pub const MAX_DEMANDS: usize = DEMAND_BYTES / 3;
/// Lines that fit into one datagram however long they are (count).
pub(super) const MIN_DEMANDS: usize = DEMAND_BYTES / LONGEST_DEMAND;
/// Groups that are shared out (count); the others keep even quotas.
pub const MAX_GROUPS: usize = 256;
/// Rounds whose time a lease holder knows (count): answers to older ones lend nothing any more.
pub(super) const MAX_ROUNDS: usize = 4;
/// RequestRates told at most (thousandths of a request a second).
pub const MAX_RATE: u32 = 1 << 30;
/// What a gateway keeps beyond what its share of the traffic needs, so that a burst finds it there (ratio).
pub(super) const HEADROOM: f64 = 1.25;

/// What a gateway says of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupDemand {
    /// The group.
    pub group: GroupId,
    /// Requests that it gets for it (thousandths of one a second).
    pub rate: u32,
    /// What it asks for; what it lends is under 0.
    pub requested: Milli,
}

/// Lines in pieces of one datagram each.
pub(super) fn pieces<T: Serialize + Clone>(lines: &[T]) -> Vec<Vec<T>> {
    let mut pieces: Vec<Vec<T>> = Vec::new();
    let mut left = 0;
    for line in lines {
        // A line that cannot be written is as long as any.
        let bytes = postcard::to_allocvec(line).map_or(LONGEST_DEMAND, |bytes| bytes.len());
        match pieces.last_mut().filter(|_| bytes <= left) {
            Some(piece) => piece.push(line.clone()),
            None => {
                pieces.push(vec![line.clone()]);
                left = DEMAND_BYTES;
            }
        }
        left -= bytes.min(left);
    }
    pieces
}
