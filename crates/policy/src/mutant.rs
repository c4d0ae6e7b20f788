//! Mutants as in mutation testing: plausible bugs that the models must detect. Without the feature `mutants`,
//! which release builds never enable, every switch is a constant `false` and is compiled out.

/// An injected bug, named after its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// Requests are sent to a member that is listed as draining.
    DrainIgnored,
    /// A write is retried after the window of its idempotency key has expired.
    RetriedAfterKeyWindow,
    /// A write that may have run is retried though its class allows no retry.
    UnsafeRetried,
    /// A connection that broke after the request was written is treated as if the request was never sent.
    ResetCountsAsUnsent,
    /// A second attempt is sent while the first is in flight.
    UnwantedHedge,
    /// A request is sent after its deadline.
    SentAfterDeadline,
    /// A request that may have run is rejected as safe to retry.
    RejectedAsRetryable,
    /// An answer leaves its request open, and a rejection follows.
    RejectedAfterAnswer,
    /// The end of an attempt is reported before its connection is closed.
    ReportedBeforeClose,
    /// The end of a cancelled attempt is not reported.
    CancellationUnreported,
    /// The stall timeout for a partially received answer is applied before the answer has begun.
    StallLimitBeforeAnswer,
    /// A retry is written as soon as its connection is established, however late that is.
    RetryWrittenLate,
    /// A connection with unread bytes returns to the pool.
    UnreadConnectionPooled,
    /// A connection on which the host sent unexpected bytes is reused.
    UnexpectedBytesReused,
    /// A duplicate of the previous answer is accepted as the answer to the current request.
    DuplicateAnswerAccepted,
    /// A connection is reused although the host may already have closed it because of its age.
    ExpiredConnectionReused,
    /// Merging watermarks takes the newer one instead of the higher one.
    MergeTakesNewer,
    /// After a restart, the loss of watermarks is forgotten.
    WatermarkLossForgotten,
    /// A gap in the watermark broadcasts is ignored.
    BroadcastGapIgnored,
    /// An answer below its session's watermark is delivered.
    StaleAnswerDelivered,
    /// The shutdown closes a client that still waits for an answer.
    ClosedBeforeAnswer,
    /// A client is closed while bytes from it are unread.
    ClosedUnread,
    /// The gateway process exits while requests are in flight.
    ExitsWithRequestsInFlight,
    /// A drained gateway does not return to service.
    StaysDrained,
    /// A class gets the index of a class that an open request still uses.
    ClassIndexReused,
    /// The class of a query is looked up in the settings of the time when its turn comes.
    ClassFoundAtTurn,
    /// A class is forgotten as soon as its last attempt is reported, before the router has stepped.
    ReportedClassForgotten,
    /// A change of the settings ends the time for which clients may use the classes before the last one.
    OverlapCutShort,
    /// A class that may be repeated more freely is used before clients know of it.
    RepeatsAllowedEarly,
    /// A connection on which rows are still arriving returns to the pool.
    StreamingConnectionPooled,
    /// An acceptor answers immediately after a restart, without observing its silent period.
    SilentPeriodSkipped,
    /// An acceptor accepts a lease proposal with a lower ballot than the one it has promised.
    PromiseForgotten,
    /// An acceptor does not report a lease that it has granted.
    GrantHidden,
    /// A lease holder treats the expiry instant as part of its lease.
    LeaseEndIncluded,
    /// A candidate uses the term of the previous lease holder.
    TermNotRaised,
    /// A majority is assumed with one acceptor too few.
    MinorityEnough,
    /// A lease duration is counted from the answer instead of the proposal.
    LeaseFromAnswer,
    /// A late answer to an earlier proposal renews the lease.
    OldRoundRenews,
    /// The fence rejects newer terms and accepts older ones.
    FenceReversed,
    /// An acceptor's grant expires before the lease does.
    GrantExpiresEarly,
    /// Answers to a proposal are accepted regardless of how late they arrive.
    LateAnswerAccepted,
    /// A restarted gateway lends quota that it may have lent before.
    LoanForgotten,
    /// Quota lent to one lease holder is lent to the next as well.
    LentTwice,
    /// A lease holder counts the duration of a quota loan from its arrival.
    LoanCountedFromArrival,
    /// A grant of quota is used from its arrival.
    GrantUsedFromArrival,
    /// A lease holder treats a quota grant as returned too early.
    GrantReturnedEarly,
    /// An acceptor keeps a shard that another should own.
    ShardKept,
    /// Each acceptor considers itself the preferred lease holder.
    PrefersItself,
    /// An absent acceptor is treated as present.
    AbsenceIgnored,
    /// Leadership is yielded to an acceptor as soon as it appears.
    YieldedAtOnce,
    /// A gap in an acceptor's presence is ignored.
    PresenceGapIgnored,
}

impl Mutant {
    /// All mutants.
    pub const ALL: [Mutant; 51] = [
        Mutant::DrainIgnored,
        Mutant::RetriedAfterKeyWindow,
        Mutant::UnsafeRetried,
        Mutant::ResetCountsAsUnsent,
        Mutant::UnwantedHedge,
        Mutant::SentAfterDeadline,
        Mutant::RejectedAsRetryable,
        Mutant::RejectedAfterAnswer,
        Mutant::ReportedBeforeClose,
        Mutant::CancellationUnreported,
        Mutant::StallLimitBeforeAnswer,
        Mutant::RetryWrittenLate,
        Mutant::UnreadConnectionPooled,
        Mutant::UnexpectedBytesReused,
        Mutant::DuplicateAnswerAccepted,
        Mutant::ExpiredConnectionReused,
        Mutant::MergeTakesNewer,
        Mutant::WatermarkLossForgotten,
        Mutant::BroadcastGapIgnored,
        Mutant::StaleAnswerDelivered,
        Mutant::ClosedBeforeAnswer,
        Mutant::ClosedUnread,
        Mutant::ExitsWithRequestsInFlight,
        Mutant::StaysDrained,
        Mutant::ClassIndexReused,
        Mutant::ClassFoundAtTurn,
        Mutant::ReportedClassForgotten,
        Mutant::OverlapCutShort,
        Mutant::RepeatsAllowedEarly,
        Mutant::StreamingConnectionPooled,
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
        Mutant::LoanForgotten,
        Mutant::LentTwice,
        Mutant::LoanCountedFromArrival,
        Mutant::GrantUsedFromArrival,
        Mutant::GrantReturnedEarly,
        Mutant::ShardKept,
        Mutant::PrefersItself,
        Mutant::AbsenceIgnored,
        Mutant::YieldedAtOnce,
        Mutant::PresenceGapIgnored,
    ];
}

/// Number of the active mutant, counted from 1; 0 if none is active.
#[cfg(feature = "mutants")]
static ACTIVE: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Whether this mutant is active in this process.
#[cfg(feature = "mutants")]
pub fn mutant(mutant: Mutant) -> bool {
    ACTIVE.load(std::sync::atomic::Ordering::Relaxed) == mutant as u8 + 1
}

/// Whether this mutant is active: always `false` without the feature `mutants`.
#[cfg(not(feature = "mutants"))]
#[inline(always)]
pub const fn mutant(_: Mutant) -> bool {
    false
}

/// Activates a mutant for the whole process; `None` deactivates it.
#[cfg(feature = "mutants")]
pub fn inject_mutant(mutant: Option<Mutant>) {
    ACTIVE.store(mutant.map_or(0, |mutant| mutant as u8 + 1), std::sync::atomic::Ordering::Relaxed);
}
