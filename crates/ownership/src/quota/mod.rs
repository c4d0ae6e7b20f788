//! Quota lending: gateways with little traffic lend a part of their even quota of a group's limits, and the holder of the
//! role's lease grants it to gateways with more.
//!
//! The even quota of a limit is the limit divided by the number of gateways. Amounts are [`Thousandths`] of it.
//!
//! ```text
//! lease holder                                   gateway
//!   | -- round n, mean rates, sent at T ---------> |
//!   |                                              | lends x until its own W + loan duration, sent at W
//!   | <-- report m for round n: lends x ---------- |   (or requests y)
//!   | counts x until T + loan duration, less drift |
//!   | -- grant for report m: y ------------------> | uses y until W + grant duration
//!   | counts y until its own now + grant duration, plus drift
//! ```
//!
//! **The quotas in force never exceed the even quotas together.** Every duration is counted by one machine's own clock from
//! the moment at which that machine *sent* or received something, on the safe side: a loan binds its lender from the
//! report, which is sent after the round; the lease holder counts it from the round. A grant may be used from the report
//! that requested it; the lease holder counts it from that report's arrival, which is later. So whatever is used was lent
//! at every instant, whichever datagrams are lost, late, duplicated or reordered, and even while two gateways both take
//! themselves for the lease holder: a loan is made to one term, and no other is made while it lasts.
//!
//! A gateway that hears nothing returns to its even quota after a loan's duration. A gateway that restarts has forgotten
//! its loans: for that duration it uses no more than the minimum quota and lends nothing.

mod demand;
mod own_quota;
mod pool;
mod pool_group;
mod rates;
mod timing;

pub use demand::{
    GroupDemand, GroupGrant, MeanRate, QuotaReport, Thousandths, MAX_DEMANDS, MAX_GRANTED, MAX_GROUPS,
    MAX_LENT, MAX_RATE,
};
pub use own_quota::Quota;
pub use pool::{QuotaPool, QuotaRound, QuotaTotals};
pub use rates::RequestRates;
