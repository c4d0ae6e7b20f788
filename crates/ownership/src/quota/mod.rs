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

mod demand;
mod own_quota;
mod pool;
mod rates;
mod timing;

pub use demand::{GroupDemand, Milli, MAX_DEMANDS, MAX_GRANTED, MAX_GROUPS, MAX_LENT, MAX_RATE};
pub use own_quota::{Quota, QuotaReport};
pub use pool::QuotaPool;
pub use rates::RequestRates;
