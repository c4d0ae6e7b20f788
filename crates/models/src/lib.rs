//! Exhaustive models: every order of events in small cases, executed on the code that runs in the gateway.
//!
//! A model adds a world to that code: clients, hosts, an endpoint list, time. For each state it lists every step that could
//! come next; the checker takes them all, breadth first, so that the first violation is found with a shortest run. The
//! state machines of attempts and connections, the request table with the real router, and the session tracker are cloned
//! with each state. Two states are the same if all that the code and the world contain has the same 128-bit hash.
//!
//! | file | model |
//! | --- | --- |
//! | `attempts/` | requests, members and attempts with the real router: models `attempt`, `primary`, `request_table` |
//! | `connection/` | connections to one host that are reused: model `connection` |
//! | `stop.rs` | SIGTERM, drain, resume and reload with requests open: model `stop` |
//! | `watermarks.rs` | watermarks of a session, broadcast between two gateways: model `marks` |
//! | `rules.rs` | settings that change under open requests: model `rules` |
//! | `ownership.rs` | acceptors, candidates and a fence: model `ownership` |
//! | `placement.rs` | which acceptor should hold which shard: model `placement` |
//! | `quota.rs` | quotas lent and granted: model `shares` |
//! | `coverage.rs` | the transitions that the models take, of those that exist |
//! | `check.rs` | the checker, its report, and the replay of a run |
//!
//! The injected bugs of [`petrelgauge_policy::Mutant`] are compiled in for this crate only.

pub mod attempts;
pub mod check;
pub mod connection;
pub mod coverage;
pub mod ownership;
pub mod placement;
pub mod quota;
pub mod rules;
pub mod stop;
pub mod watermarks;

use check::Report;
use petrelgauge_policy::Mutant;

/// The size of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// For CI.
    Small,
    /// Minutes on four cores.
    Large,
}

/// A model by name.
pub struct ModelEntry {
    /// Its name.
    pub name: &'static str,
    /// What it explores.
    pub description: &'static str,
    /// Explores all runs if the path is empty, else replays that one run.
    pub run: fn(Size, &[String]) -> Report,
}

/// All models.
pub const MODELS: [ModelEntry; 10] = [
    ModelEntry {
        name: "attempt",
        description: "one payment, two members, three attempts, one drain; time-out against late answer",
        run: attempts::attempt,
    },
    ModelEntry {
        name: "primary",
        description: "a payment and a bounded read, two members, one a stale primary; one list change, one host restart",
        run: attempts::primary,
    },
    ModelEntry {
        name: "request_table",
        description: "a write that must not run twice and a read; outcome, rejection, abandonment, cancellation in every order",
        run: attempts::request_table,
    },
    ModelEntry {
        name: "connection",
        description: "one host, requests one after the other; reuse, idle close, unexpected bytes, copies, stalls, age limit",
        run: connection::run,
    },
    ModelEntry {
        name: "stop",
        description: "SIGTERM, drain, resume and reloads while clients connect, send queries, wait and leave",
        run: stop::run,
    },
    ModelEntry {
        name: "rules",
        description: "three changes of settings while two requests are admitted, stay open and end",
        run: rules::run,
    },
    ModelEntry {
        name: "ownership",
        description: "three acceptors, two candidates; messages lost, late and duplicated, one restart, a stalled lease holder",
        run: ownership::run,
    },
    ModelEntry {
        name: "shares",
        description: "two lease holders, a lender to both, two borrowers; reports and grants lost or late, one restart",
        run: quota::run,
    },
    ModelEntry {
        name: "placement",
        description: "three acceptors, three shards of a role; acceptors stop and start, heartbeats are lost",
        run: placement::run,
    },
    ModelEntry {
        name: "marks",
        description: "two instances, one session; messages lost, late and out of order, one restart",
        run: watermarks::run,
    },
];

/// The name of the model that has to find an injected bug.
pub fn model_for(bug: Mutant) -> &'static str {
    match bug {
        Mutant::DrainIgnored
        | Mutant::RetriedAfterKeyWindow
        | Mutant::RetryWrittenLate
        | Mutant::ResetCountsAsUnsent
        | Mutant::UnwantedHedge
        | Mutant::RejectedAsRetryable
        | Mutant::RejectedAfterAnswer => "attempt",
        Mutant::UnsafeRetried | Mutant::SentAfterDeadline | Mutant::CancellationUnreported => "request_table",
        Mutant::ReportedBeforeClose
        | Mutant::StallLimitBeforeAnswer
        | Mutant::UnreadConnectionPooled
        | Mutant::UnexpectedBytesReused
        | Mutant::DuplicateAnswerAccepted
        | Mutant::StreamingConnectionPooled
        | Mutant::ExpiredConnectionReused => "connection",
        Mutant::ClosedBeforeAnswer
        | Mutant::ClosedUnread
        | Mutant::ExitsWithRequestsInFlight
        | Mutant::StaysDrained => "stop",
        Mutant::ClassIndexReused => "rules",
        Mutant::SilentPeriodSkipped
        | Mutant::PromiseForgotten
        | Mutant::GrantHidden
        | Mutant::LeaseEndIncluded
        | Mutant::TermNotRaised
        | Mutant::MinorityEnough
        | Mutant::LeaseFromAnswer
        | Mutant::OldRoundRenews
        | Mutant::FenceReversed
        | Mutant::GrantExpiresEarly
        | Mutant::LateAnswerAccepted => "ownership",
        Mutant::LoanForgotten
        | Mutant::LentTwice
        | Mutant::LoanCountedFromArrival
        | Mutant::GrantUsedFromArrival
        | Mutant::GrantReturnedEarly => "shares",
        Mutant::ShardKept
        | Mutant::PrefersItself
        | Mutant::AbsenceIgnored
        | Mutant::YieldedAtOnce
        | Mutant::PresenceGapIgnored => "placement",
        Mutant::MergeTakesNewer
        | Mutant::WatermarkLossForgotten
        | Mutant::BroadcastGapIgnored
        | Mutant::StaleAnswerDelivered => "marks",
    }
}
