//! Quota lending: gateways with little traffic lend part of their even quota of a group's limits to the
//! holder of the role's lease, which grants it to gateways with more traffic.
//!
//! The even quota of a limit is the limit divided by the number of gateways. Amounts are given in
//! [`Thousandths`] of the even quota.
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
//! one machine's clock, from an event on that machine, and is chosen conservatively:
//! - A loan binds its lender from the sending of the report, which follows the round. The lease holder counts
//!   the loan from the round, so it stops relying on the loan before the loan ends.
//! - A grant may be used from the sending of the report that requested it. The lease holder counts the grant
//!   from the arrival of that report, so it counts the grant until after its use has ended.
//!
//! At any instant, therefore, all additional quota in use has been lent, even if datagrams are lost, delayed,
//! duplicated or reordered. This holds even while two gateways both believe that they hold the lease, because
//! a loan is made to one term, and the lender makes no loan to another term while it is in force.
//!
//! A gateway that receives no messages returns to its even quota after the duration of a loan. A restarted
//! gateway has forgotten its loans, so it uses the minimum quota and lends nothing for that duration.

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
