//! Exhaustive models: every order of events in small cases, executed on the code that runs in the gateway.
//!
//! A model adds an environment to that code: clients, hosts, an endpoint list, time. For each state it lists
//! every possible next step. The checker explores all of them breadth first, so that the first violation
//! comes with a shortest run. The gateway's own code is part of the state and cloned with it. Two states are
//! the same if everything in code and environment has the same 128-bit hash.
//!
//! | file | model |
//! | --- | --- |
//! | `attempts/` | requests, members and attempts with the real router: models `attempt`, `primary`, `request_table` |
//! | `connection/` | connections to one host that are reused: model `connection` |
//! | `stop.rs` | SIGTERM, drain, resume and reload with requests open: model `stop` |
//! | `watermarks.rs` | watermarks of a session, broadcast between two gateways: model `marks` |
//! | `rules.rs` | settings that change under waiting queries and open requests: model `rules` |
//! | `reloads.rs` | the same with attempts in flight and the router's steps: model `reloads` |
//! | `ownership.rs` | acceptors, candidates and a fence: model `ownership` |
//! | `placement.rs` | which acceptor should hold which shard: model `placement` |
//! | `quota.rs` | quotas lent and granted: model `shares` |
//! | `coverage.rs` | which transitions of an attempt's state machine the models take |
//! | `fleet_settings.rs` | settings of leases for the models of leadership |
//! | `check.rs` | the checker, its report, and the replay of a single run |
//!
//! The faults of [`petrelgauge_policy::Mutant`], which can be injected into the gateway's code, are compiled
//! in for this crate only.

pub mod attempts;
pub mod check;
pub mod connection;
pub mod coverage;
mod fleet_settings;
pub mod ownership;
pub mod placement;
pub mod quota;
pub mod reloads;
pub mod rules;
pub mod stop;
pub mod watermarks;

use check::Report;
use petrelgauge_policy::Mutant;

/// The size of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// Small enough for CI.
    Small,
    /// Takes minutes on four cores.
    Large,
}

/// A model.
pub struct ModelEntry {
    /// Its name.
    pub name: &'static str,
    /// Explores all runs, or replays one if its path is given.
    pub run: fn(Size, &[String]) -> Report,
    /// The injected faults that it has to detect.
    pub detects: &'static [Mutant],
}

/// All models.
pub const MODELS: [ModelEntry; 11] = [
    ModelEntry {
        // One payment, two members, three attempts, one drain; time-out against late answer.
        name: "attempt",
        run: attempts::attempt,
        detects: &[
            Mutant::DrainIgnored,
            Mutant::RetriedAfterKeyWindow,
            Mutant::RetryWrittenLate,
            Mutant::ResetCountsAsUnsent,
            Mutant::UnwantedHedge,
            Mutant::RejectedAsRetryable,
            Mutant::RejectedAfterAnswer,
        ],
    },
    ModelEntry {
        // A payment and a bounded read, two members, one a stale primary; one list change, one host restart.
        name: "primary",
        run: attempts::primary,
        detects: &[],
    },
    ModelEntry {
        // A write that must not run twice and a read; outcome, rejection, abandonment, cancellation in every
        // order.
        name: "request_table",
        run: attempts::request_table,
        detects: &[Mutant::UnsafeRetried, Mutant::SentAfterDeadline, Mutant::CancellationUnreported],
    },
    ModelEntry {
        // One host, requests one after the other; reuse, idle close, unexpected bytes, copies, stalls, age
        // limit.
        name: "connection",
        run: connection::run,
        detects: &[
            Mutant::ReportedBeforeClose,
            Mutant::StallLimitBeforeAnswer,
            Mutant::UnreadConnectionPooled,
            Mutant::UnexpectedBytesReused,
            Mutant::DuplicateAnswerAccepted,
            Mutant::StreamingConnectionPooled,
            Mutant::ExpiredConnectionReused,
        ],
    },
    ModelEntry {
        // SIGTERM, drain, resume and reloads while clients connect, send queries, wait and leave.
        name: "stop",
        run: stop::run,
        detects: &[
            Mutant::ClosedBeforeAnswer,
            Mutant::ClosedUnread,
            Mutant::ExitsWithRequestsInFlight,
            Mutant::StaysDrained,
        ],
    },
    ModelEntry {
        // Three changes of settings while two queries wait, are admitted, stay open and end.
        name: "rules",
        run: rules::run,
        detects: &[
            Mutant::ClassIndexReused,
            Mutant::ClassFoundAtTurn,
            Mutant::OverlapCutShort,
            Mutant::RepeatsAllowedEarly,
        ],
    },
    ModelEntry {
        // Three changes of settings while a query waits, its request is in flight, and its end is stepped.
        name: "reloads",
        run: reloads::run,
        detects: &[Mutant::ReportedClassForgotten],
    },
    ModelEntry {
        // Three acceptors, two candidates; messages lost, late and duplicated, one restart, a stalled lease
        // holder.
        name: "ownership",
        run: ownership::run,
        detects: &[
            Mutant::SilentPeriodSkipped,
            Mutant::PromiseForgotten,
            Mutant::GrantHidden,
            Mutant::LeaseEndIncluded,
            Mutant::TermNotRaised,
            Mutant::MinorityEnough,
            Mutant::LeaseFromAnswer,
            Mutant::OldRoundRenews,
            Mutant::FenceReversed,
            Mutant::GrantExpiresEarly,
            Mutant::LateAnswerAccepted,
        ],
    },
    ModelEntry {
        // Two lease holders, a lender to both, two borrowers; reports and grants lost or late, one restart.
        name: "shares",
        run: quota::run,
        detects: &[
            Mutant::LoanForgotten,
            Mutant::LentTwice,
            Mutant::LoanCountedFromArrival,
            Mutant::GrantUsedFromArrival,
            Mutant::GrantReturnedEarly,
        ],
    },
    ModelEntry {
        // Three acceptors, three shards of a role; acceptors stop and start, heartbeats are lost.
        name: "placement",
        run: placement::run,
        detects: &[
            Mutant::ShardKept,
            Mutant::PrefersItself,
            Mutant::AbsenceIgnored,
            Mutant::YieldedAtOnce,
            Mutant::PresenceGapIgnored,
        ],
    },
    ModelEntry {
        // Two instances, one session; messages lost, late and out of order, one restart.
        name: "marks",
        run: watermarks::run,
        detects: &[
            Mutant::MergeTakesNewer,
            Mutant::WatermarkLossForgotten,
            Mutant::BroadcastGapIgnored,
            Mutant::StaleAnswerDelivered,
        ],
    },
];
