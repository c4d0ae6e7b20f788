//! Exhaustive models: every order of events in small cases, played on the code that runs in the gateway.
//!
//! A model is a world around that code: clients, hosts, a list, time. From each state it names every event that could
//! come next; the checker plays them all, breadth first, so that the first broken property comes with a shortest run.
//! The machines of an attempt, of a connection, the desk with the real decision module, and the session tracker are
//! cloned with each state; what tells two states apart is a 128-bit hash of all that the code and the world hold.
//!
//! | file | model |
//! | --- | --- |
//! | `attempts/` | requests, members and attempts before the real decision module: models `attempt`, `primary`, `desk` |
//! | `connection/` | one connection that is used again: model `connection` |
//! | `stop.rs` | SIGTERM, drain, resume and reload with requests open: model `stop` |
//! | `watermarks.rs` | sessions' marks between two instances: model `marks` |
//! | `rules.rs` | settings that change under open requests: model `rules` |
//! | `ownership.rs` | acceptors, candidates and a fence: model `ownership` |
//! | `placement.rs` | which acceptor should hold which shard: model `placement` |
//! | `quota.rs` | quotas lent and granted: model `shares` |
//! | `coverage.rs` | the transitions that the models take, against those that there are |
//! | `check.rs` | the checker, its report, and how a run is told and replayed |
//!
//! The bugs of [`petrelgauge_policy::Mutant`] are compiled in here and nowhere else.

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

/// How large a model is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// For CI: all of them in under a minute.
    Small,
    /// Minutes on four cores.
    Large,
}

/// A model by name.
pub struct Named {
    /// Its name.
    pub name: &'static str,
    /// What it plays.
    pub plays: &'static str,
    /// Plays it; an empty path plays all, else that one run.
    pub run: fn(Size, &[String]) -> Report,
}

/// All models.
pub const MODELS: [Named; 10] = [
    Named {
        name: "attempt",
        plays: "one payment, two members, three attempts, one drain; time-out against late answer",
        run: attempts::attempt,
    },
    Named {
        name: "primary",
        plays: "a payment and a bounded read, two members, one a stale primary; one list change, one host restart",
        run: attempts::primary,
    },
    Named {
        name: "desk",
        plays: "a write that must not run twice and a read; outcome, refusal, withdrawal, call-off in every order",
        run: attempts::desk,
    },
    Named {
        name: "connection",
        plays: "one host, requests one after the other; reuse, idle close, surplus, copies, stalls, retiring",
        run: connection::run,
    },
    Named {
        name: "stop",
        plays: "SIGTERM, drain, resume and reloads while clients come, ask, wait and leave",
        run: stop::run,
    },
    Named {
        name: "rules",
        plays: "three changes of settings while two requests come, stay open and end",
        run: rules::run,
    },
    Named {
        name: "ownership",
        plays: "three acceptors, two candidates; messages lost, late and duplicated, one restart, a stalled lease holder",
        run: ownership::run,
    },
    Named {
        name: "shares",
        plays: "two lease holders, a lender to both, two borrowers; reports and grants lost or late, one restart",
        run: quota::run,
    },
    Named {
        name: "placement",
        plays: "three acceptors, three shards of a role; acceptors stop and start, heartbeats are lost",
        run: placement::run,
    },
    Named {
        name: "marks",
        plays: "two instances, one session; messages lost, late and out of order, one restart",
        run: watermarks::run,
    },
];

/// The model that is to find a bug.
pub fn finder(bug: Mutant) -> &'static str {
    match bug {
        Mutant::DrainIgnored
        | Mutant::RetriedAfterKeyWindow
        | Mutant::RetryWrittenLate
        | Mutant::ResetCountsAsUnsent
        | Mutant::UnwantedHedge
        | Mutant::RejectedAsRetryable
        | Mutant::RejectedAfterAnswer => "attempt",
        Mutant::UnsafeRetried | Mutant::SentAfterDeadline | Mutant::CancellationUnreported => "desk",
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
