//! The share-out of limits: gateways with little traffic lend a piece of their even quota in what a group's members bear,
//! and the lease holder of the role grants it to those with more.
//!
//! ```text
//! lease holder                                          gateway
//!   | -- Round n, mean rates, sent at T ---------> |
//!   |                                              | lends x up to its own now + life, sent at W
//!   | <-- Lines for round n, number m: lends x --- |   (or asks for y)
//!   | counts x up to T + life, less drift          |
//!   | -- Grant for number m: y ------------------> | uses y up to W + grant life
//!   | counts y up to its now + grant life, and drift
//! ```
//!
//! **The sum of all quotas in force is never above the even ones together.** Every span is reckoned by its own clock from
//! the moment at which its bearer *sent* something: a gateway's loan from when it promised, which is after the lease holder's
//! round; the lease holder's count of it from that round; the use of a grant from when it was asked for, the lease holder's count of it
//! from when the asking came, which is later. So what is used was lent at every instant, whatever is lost, late, doubled
//! or out of order, whoever stalls, and also while two gateways both take themselves for the lease holder: a loan is made to
//! one term, and no other is made while it lasts.
//!
//! Who hears nothing has its even quota, which was never granted away: with all links cut that is so after a loan's life.
//! Who starts has forgotten its loans; it uses no more than the least quota, and lends nothing, for a loan's life.

mod own_quota;
mod pool;
mod rates;

pub use own_quota::{Quota, QuotaReport};
pub use pool::QuotaPool;
pub use rates::RequestRates;

use crate::Settings;
use petrelgauge_policy::{mutant, GroupId, Mutant, Time};
use serde::{Deserialize, Serialize};

/// Thousandths of an even quota.
pub type Milli = i16;

/// Most that a gateway lends of its even quota, as the decisions know it too.
pub const MAX_LENT: Milli = (1000.0 * (1.0 - petrelgauge_policy::Share::LEAST)) as Milli;
/// Most that one is granted beside its own: more than any fleet of this size can bring together.
pub const MAX_GRANTED: Milli = 30_000;
/// Bytes of lines of one datagram, beside its head.
const DEMAND_BYTES: usize = 198;
/// The longest line (bytes): a group, a rate, what is asked for.
const LONGEST_DEMAND: usize = 18;
/// Lines of one datagram at most (count): of the shortest ones.
pub const MAX_DEMANDS: usize = DEMAND_BYTES / 3;
/// Lines that fit into one datagram however long they are (count).
const MIN_DEMANDS: usize = DEMAND_BYTES / LONGEST_DEMAND;
/// Groups that are shared out (count); the others keep even quotas.
pub const MAX_GROUPS: usize = 256;
/// Rounds whose time a lease holder knows (count): answers to older ones lend nothing any more.
const MAX_ROUNDS: usize = 4;
/// RequestRates told at most (thousandths of a request a second).
pub const MAX_RATE: u32 = 1 << 30;
/// What a gateway keeps beyond what its share of the traffic needs, so that a burst finds it there (ratio).
const HEADROOM: f64 = 1.25;

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
fn pieces<T: Serialize + Clone>(lines: &[T]) -> Vec<Vec<T>> {
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

/// Spans of the share-out (microseconds), all from the lease.
impl Settings {
    /// How long a loan binds, by the clock of whoever made it.
    pub fn loan_duration(&self) -> Time {
        self.lease
    }

    /// The same as a lease holder may count on it, by its own clock, from its round on: both may be off, one each way.
    pub fn counted_loan_duration(&self) -> Time {
        (self.lease as f64 * (1.0 - self.drift_bound) / (1.0 + self.drift_bound)).floor() as Time
    }

    /// How long a grant may be used, from when it was asked for.
    pub fn grant_duration(&self) -> Time {
        self.lease / 2
    }

    /// The same as a lease holder counts it, from when the asking came.
    pub fn counted_grant_duration(&self) -> Time {
        let life = self.grant_duration() / if mutant(Mutant::GrantUncounted) { 4 } else { 1 };
        (life as f64 * (1.0 + self.drift_bound) / (1.0 - self.drift_bound)).ceil() as Time
    }

    /// Whether what is lent in a round lasts for what is granted in it: else clocks are too far off, or datagrams too slow,
    /// for this lease, and all that is lent would lie idle.
    pub fn loans_outlast_grants(&self) -> bool {
        self.counted_loan_duration() >= self.lease / 16 + 2 * self.max_delay + self.counted_grant_duration()
    }

    /// Between two rounds of a lease holder.
    pub fn round_interval(&self) -> Time {
        self.lease / 4
    }

    /// When a gateway answers a round: each has a moment of its own, for hundreds at once would fill the lease holder's socket.
    pub fn turn(&self) -> Time {
        self.lease / 16 * Time::from(self.self_id) / Time::from(self.gateways.max(1))
    }
}
