//! Mutants as in mutation testing: plausible bugs that the models must detect. Without the feature `mutants`,
//! which no release build enables, every switch is a constant false and leaves no code behind.

/// An injected bug.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// Requests are sent to a member that the endpoint list calls draining.
    DrainIgnored,
    /// A write is repeated after its key's window.
    WindowIgnored,
    /// A write that may have run is repeated though its class allows none.
    UnsafeRepeated,
    /// A connection that broke after the request was written counts as one that never carried it.
    ResetUnproved,
    /// A second attempt is sent while the first is in flight.
    SecondCopy,
    /// A request is sent after its client has given up.
    SentAfterEnd,
    /// A request that may have run is rejected as safe to retry.
    RefusedAsHarmless,
    /// An answer leaves its request open, and a rejection follows.
    RefusalOvertakes,
    /// The end of an attempt is reported before its connection is closed.
    ToldBeforeClosed,
    /// The end of a cancelled attempt is not reported.
    LostReport,
    /// The limit for an answer that has begun ends one that has not.
    EarlyStall,
    /// A repeat is written whenever its connection comes up.
    LateRepeat,
    /// A connection with unread bytes returns to the pool.
    UnreadRests,
    /// A connection on which the host sent unexpected bytes is reused.
    SurplusReused,
    /// A duplicate of the last answer is taken for this one.
    CopyTaken,
    /// A connection is used that the host may have closed for its age.
    OldReused,
    /// A merge of watermarks takes the newer one instead of the higher.
    MergeLowers,
    /// A restart forgets that watermarks were lost.
    LossForgotten,
    /// A gap in the watermark broadcasts is ignored.
    GapPassed,
    /// An answer below its session's watermark is delivered.
    BehindGiven,
    /// The shutdown closes a client that still waits for an answer.
    ClosedWhileOwed,
    /// A client is closed while bytes from it are unread.
    ClosedUnread,
    /// The gateway ends while requests are in flight.
    EndsWhileHeld,
    /// A drained gateway does not return to service.
    StaysDrained,
    /// A class takes the index of one that an open request uses.
    PlaceReused,
    /// A connection on which rows are still arriving returns to the pool.
    LentRests,
    /// An acceptor answers right after a restart, without its silent period.
    SilenceSkipped,
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
    GrantKeptShort,
    /// An offer stays open however late its answers come.
    LateAnswerCounts,
    /// A restarted gateway lends quota that it may have lent before.
    PledgeForgotten,
    /// Quota lent to one lease holder is lent to the next as well.
    PledgedTwice,
    /// A lease holder counts a loan of quota from its arrival.
    PledgeFromAnswer,
    /// A grant of quota is used from its arrival.
    GrantFromArrival,
    /// A lease holder counts a grant as returned too early.
    GrantUncounted,
    /// An acceptor keeps a shard that another should own.
    ShardKept,
    /// Each acceptor takes itself for the preferred lease holder.
    PreferenceOwn,
    /// An absent acceptor is taken for present.
    AbsenceIgnored,
    /// Leadership is yielded to an acceptor that has just appeared.
    SettledAtOnce,
    /// A gap in an acceptor's presence is ignored.
    PresenceKept,
}

impl Mutant {
    /// All of them.
    pub const ALL: [Mutant; 47] = [
        Mutant::DrainIgnored,
        Mutant::WindowIgnored,
        Mutant::UnsafeRepeated,
        Mutant::ResetUnproved,
        Mutant::SecondCopy,
        Mutant::SentAfterEnd,
        Mutant::RefusedAsHarmless,
        Mutant::RefusalOvertakes,
        Mutant::ToldBeforeClosed,
        Mutant::LostReport,
        Mutant::EarlyStall,
        Mutant::LateRepeat,
        Mutant::UnreadRests,
        Mutant::SurplusReused,
        Mutant::CopyTaken,
        Mutant::OldReused,
        Mutant::MergeLowers,
        Mutant::LossForgotten,
        Mutant::GapPassed,
        Mutant::BehindGiven,
        Mutant::ClosedWhileOwed,
        Mutant::ClosedUnread,
        Mutant::EndsWhileHeld,
        Mutant::StaysDrained,
        Mutant::PlaceReused,
        Mutant::LentRests,
        Mutant::SilenceSkipped,
        Mutant::PromiseForgotten,
        Mutant::GrantHidden,
        Mutant::LeaseEndIncluded,
        Mutant::TermNotRaised,
        Mutant::MinorityEnough,
        Mutant::LeaseFromAnswer,
        Mutant::OldRoundRenews,
        Mutant::FenceReversed,
        Mutant::GrantKeptShort,
        Mutant::LateAnswerCounts,
        Mutant::PledgeForgotten,
        Mutant::PledgedTwice,
        Mutant::PledgeFromAnswer,
        Mutant::GrantFromArrival,
        Mutant::GrantUncounted,
        Mutant::ShardKept,
        Mutant::PreferenceOwn,
        Mutant::AbsenceIgnored,
        Mutant::SettledAtOnce,
        Mutant::PresenceKept,
    ];
}

#[cfg(feature = "mutants")]
static ACTIVE: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Whether this bug is in the code of this process.
#[cfg(feature = "mutants")]
pub fn mutant(bug: Mutant) -> bool {
    ACTIVE.load(std::sync::atomic::Ordering::Relaxed) == bug as u8 + 1
}

/// Whether this bug is in the code: it never is.
#[cfg(not(feature = "mutants"))]
#[inline(always)]
pub const fn mutant(_: Mutant) -> bool {
    false
}

/// Plants a bug in the code of this process, or takes it out again.
#[cfg(feature = "mutants")]
pub fn plant(bug: Option<Mutant>) {
    ACTIVE.store(bug.map_or(0, |bug| bug as u8 + 1), std::sync::atomic::Ordering::Relaxed);
}
