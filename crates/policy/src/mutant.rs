//! Mutants as in mutation testing: plausible bugs that the models must detect. Without the feature `mutants`,
//! which no release build enables, every switch is a constant false and leaves no code behind.

/// An injected bug, by what it makes the code do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// Requests are sent to a member that the endpoint list calls draining.
    DrainIgnored,
    /// A write is retried after its key's window.
    RetriedAfterKeyWindow,
    /// A write that may have run is retried though its class allows no retry.
    UnsafeRetried,
    /// A connection that broke after the request was written counts as one that never carried it.
    ResetCountsAsUnsent,
    /// A second attempt is sent while the first is in flight.
    UnwantedHedge,
    /// A request is sent after its client has given up.
    SentAfterDeadline,
    /// A request that may have run is rejected as safe to retry.
    RejectedAsRetryable,
    /// An answer leaves its request open, and a rejection follows.
    RejectedAfterAnswer,
    /// The end of an attempt is reported before its connection is closed.
    ReportedBeforeClose,
    /// The end of a cancelled attempt is not reported.
    CancellationUnreported,
    /// The limit for an answer that has begun ends one that has not.
    StallLimitBeforeAnswer,
    /// A retry is written whenever its connection comes up.
    RetryWrittenLate,
    /// A connection with unread bytes returns to the pool.
    UnreadConnectionPooled,
    /// A connection on which the host sent unexpected bytes is reused.
    UnexpectedBytesReused,
    /// A duplicate of the last answer is taken for this one.
    DuplicateAnswerAccepted,
    /// A connection is used that the host may have closed for its age.
    ExpiredConnectionReused,
    /// A merge of watermarks takes the newer one instead of the higher.
    MergeTakesNewer,
    /// A restart forgets that watermarks were lost.
    WatermarkLossForgotten,
    /// A gap in the watermark broadcasts is ignored.
    BroadcastGapIgnored,
    /// An answer below its session's watermark is delivered.
    StaleAnswerDelivered,
    /// The shutdown closes a client that still waits for an answer.
    ClosedBeforeAnswer,
    /// A client is closed while bytes from it are unread.
    ClosedUnread,
    /// The gateway ends while requests are in flight.
    ExitsWithRequestsInFlight,
    /// A drained gateway does not return to service.
    StaysDrained,
    /// A class takes the index of one that an open request uses.
    ClassIndexReused,
    /// A connection on which rows are still arriving returns to the pool.
    StreamingConnectionPooled,
    /// An acceptor answers right after a restart, without its silent period.
    SilentPeriodSkipped,
    /// An acceptor accepts a lease offer below the one that it promised.
    PromiseForgotten,
    /// An acceptor does not report a lease that it has granted.
    GrantHidden,
    /// A lease holder acts at the very end of its lease.
    LeaseEndIncluded,
    /// A candidate uses the term of the previous lease holder.
    TermNotRaised,
    /// One acceptor too few counts as a majority.
    MinorityEnough,
    /// A lease is counted from the answer instead of the offer.
    LeaseFromAnswer,
    /// A late answer to an earlier offer renews the lease.
    OldRoundRenews,
    /// The fence rejects newer terms and lets older ones pass.
    FenceReversed,
    /// An acceptor keeps a grant for less than the lease.
    GrantExpiresEarly,
    /// An offer stays open however late its answers come.
    LateAnswerAccepted,
    /// A restarted gateway lends quota that it may have lent before.
    LoanForgotten,
    /// Quota lent to one lease holder is lent to the next as well.
    LentTwice,
    /// A lease holder counts a loan of quota from its arrival.
    LoanCountedFromArrival,
    /// A grant of quota is used from its arrival.
    GrantUsedFromArrival,
    /// A lease holder counts a grant as returned too early.
    GrantReturnedEarly,
    /// An acceptor keeps a shard that another should own.
    ShardKept,
    /// Each acceptor takes itself for the preferred lease holder.
    PrefersItself,
    /// An absent acceptor is taken for present.
    AbsenceIgnored,
    /// Leadership is yielded to an acceptor that has just appeared.
    YieldedAtOnce,
    /// A gap in an acceptor's presence is ignored.
    PresenceGapIgnored,
}

impl Mutant {
    /// All mutants.
    pub const ALL: [Mutant; 47] = [
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

/// The active mutant by its number, counted from 1; 0 for none.
#[cfg(feature = "mutants")]
static ACTIVE: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Whether this mutant is active in this process.
#[cfg(feature = "mutants")]
pub fn mutant(mutant: Mutant) -> bool {
    ACTIVE.load(std::sync::atomic::Ordering::Relaxed) == mutant as u8 + 1
}

/// Whether this mutant is active: never, without the feature `mutants`.
#[cfg(not(feature = "mutants"))]
#[inline(always)]
pub const fn mutant(_: Mutant) -> bool {
    false
}

/// Activates a mutant for the whole process, or none.
#[cfg(feature = "mutants")]
pub fn inject_mutant(mutant: Option<Mutant>) {
    ACTIVE.store(mutant.map_or(0, |mutant| mutant as u8 + 1), std::sync::atomic::Ordering::Relaxed);
}
