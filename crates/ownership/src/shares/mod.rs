//! The share-out of limits: gateways with little traffic lend a piece of their even part in what a group's members bear,
//! and the owner of the duty gives it to those with more.
//!
//! ```text
//! owner                                          gateway
//!   | -- Round n, mean rates, sent at T ---------> |
//!   |                                              | lends x up to its own now + life, sent at W
//!   | <-- Lines for round n, number m: lends x --- |   (or asks for y)
//!   | counts x up to T + life, less drift          |
//!   | -- Grant for number m: y ------------------> | uses y up to W + grant life
//!   | counts y up to its now + grant life, and drift
//! ```
//!
//! **The sum of all parts in force is never above the even ones together.** Every span is reckoned by its own clock from
//! the moment at which its bearer *sent* something: a gateway's pledge from when it promised, which is after the owner's
//! round; the owner's count of it from that round; the use of a grant from when it was asked for, the owner's count of it
//! from when the asking came, which is later. So what is used was lent at every instant, whatever is lost, late, doubled
//! or out of order, whoever stalls, and also while two gateways both take themselves for the owner: a pledge is made to
//! one term, and no other is made while it lasts.
//!
//! Who hears nothing has its even part, which was never given away: with all links cut that is so after a pledge's life.
//! Who starts has forgotten its pledges; it uses no more than the least part, and lends nothing, for a pledge's life.

mod part;
mod pool;
mod rates;

pub use part::{Answer, Part};
pub use pool::Pool;
pub use rates::Rates;

use crate::Settings;
use petrelgauge_policy::{mutant, GroupId, Mutant, Time};
use serde::{Deserialize, Serialize};

/// Thousandths of an even part.
pub type Milli = i16;

/// Most that a gateway lends of its even part, as the decisions know it too.
pub const MOST_LENT: Milli = (1000.0 * (1.0 - petrelgauge_policy::Share::LEAST)) as Milli;
/// Most that one is given beside its own: more than any fleet of this size can bring together.
pub const MOST_GIVEN: Milli = 30_000;
/// Bytes of lines of one datagram, beside its head.
const LINE_BYTES: usize = 198;
/// The longest line (bytes): a group, a rate, what is asked for.
const LONGEST_LINE: usize = 18;
/// Lines of one datagram at most (count): of the shortest ones.
pub const MOST_LINES: usize = LINE_BYTES / 3;
/// Lines that fit into one datagram however long they are (count).
const LEAST_LINES: usize = LINE_BYTES / LONGEST_LINE;
/// Groups that are shared out (count); the others keep even parts.
pub const MOST_GROUPS: usize = 256;
/// Rounds whose time an owner knows (count): answers to older ones lend nothing any more.
const MOST_ROUNDS: usize = 4;
/// Rates told at most (thousandths of a request a second).
pub const MOST_RATE: u32 = 1 << 30;
/// What a gateway keeps beyond what its share of the traffic needs, so that a burst finds it there (ratio).
const HEADROOM: f64 = 1.25;

/// What a gateway says of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Line {
    /// The group.
    pub group: GroupId,
    /// Requests that it gets for it (thousandths of one a second).
    pub rate: u32,
    /// What it asks for; what it lends is under 0.
    pub asks: Milli,
}

/// Lines in pieces of one datagram each.
fn pieces<T: Serialize + Clone>(lines: &[T]) -> Vec<Vec<T>> {
    let mut pieces: Vec<Vec<T>> = Vec::new();
    let mut left = 0;
    for line in lines {
        // A line that cannot be written is as long as any.
        let bytes = postcard::to_allocvec(line).map_or(LONGEST_LINE, |bytes| bytes.len());
        match pieces.last_mut().filter(|_| bytes <= left) {
            Some(piece) => piece.push(line.clone()),
            None => {
                pieces.push(vec![line.clone()]);
                left = LINE_BYTES;
            }
        }
        left -= bytes.min(left);
    }
    pieces
}

/// Spans of the share-out (microseconds), all from the lease.
impl Settings {
    /// How long a pledge binds, by the clock of whoever made it.
    pub fn pledge_life(&self) -> Time {
        self.lease
    }

    /// The same as an owner may count on it, by its own clock, from its round on: both may be off, one each way.
    pub fn pledge_counted(&self) -> Time {
        (self.lease as f64 * (1.0 - self.drift) / (1.0 + self.drift)).floor() as Time
    }

    /// How long a grant may be used, from when it was asked for.
    pub fn grant_life(&self) -> Time {
        self.lease / 2
    }

    /// The same as an owner counts it, from when the asking came.
    pub fn grant_counted(&self) -> Time {
        let life = self.grant_life() / if mutant(Mutant::GrantUncounted) { 4 } else { 1 };
        (life as f64 * (1.0 + self.drift) / (1.0 - self.drift)).ceil() as Time
    }

    /// Whether what is lent in a round lasts for what is given in it: else clocks are too far off, or datagrams too slow,
    /// for this lease, and all that is lent would lie idle.
    pub fn shares_last(&self) -> bool {
        self.pledge_counted() >= self.lease / 16 + 2 * self.delay + self.grant_counted()
    }

    /// Between two rounds of an owner.
    pub fn round_every(&self) -> Time {
        self.lease / 4
    }

    /// When a gateway answers a round: each has a moment of its own, for hundreds at once would fill the owner's socket.
    pub fn turn(&self) -> Time {
        self.lease / 16 * Time::from(self.me) / Time::from(self.gateways.max(1))
    }
}
