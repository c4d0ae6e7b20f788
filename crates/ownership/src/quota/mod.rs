//! Quota lending: gateways with little traffic lend part of their even quota of a group's limits to the
//! holder of the role's lease, which grants it to gateways with more traffic.
//!
//! The even quota of a limit is the limit divided by the number of gateways. Amounts are [`Thousandths`] of
//! it.
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
//! **The sum of the quotas in force never exceeds the sum of the even quotas.** Each duration is measured by
//! one machine's clock, from an event at that machine, and errs on the safe side. A loan binds its lender
//! from the report on, which is sent after the round; the lease holder counts it from the round. A grant may
//! be used from the report that requested it; the lease holder counts it from that report's arrival, which is
//! later. So at every instant whatever is used has been lent, whichever datagrams are lost, late, duplicated
//! or reordered. It holds even while two gateways both believe that they hold the lease: a loan is made to
//! one term, and no other loan is made while it is in force.
//!
//! A gateway that receives nothing returns to its even quota after a loan's duration. A gateway that has
//! restarted has forgotten its loans: for that duration it uses the minimum quota and lends nothing.

mod demand;
mod own_quota;
mod pool;
mod pool_group;
mod rates;
mod timing;

pub use demand::{
    GroupDemand, GroupGrant, MeanRate, QuotaReport, Thousandths, MAX_ENTRIES_PER_DATAGRAM, MAX_GRANTED,
    MAX_GROUPS, MAX_LENT, MAX_RATE,
};
pub use own_quota::Quota;
pub use pool::{QuotaPool, QuotaRound, QuotaTotals};
pub use rates::RequestRates;
