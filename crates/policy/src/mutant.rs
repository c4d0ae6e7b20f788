//! Bugs that somebody could really write, planted for the models to find. Without the feature `mutants`, which no
//! release build has, every switch is a constant false and leaves no code behind.

/// A planted bug.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// The decisions send on to a member that the list calls draining.
    DrainIgnored,
    /// A write is repeated after its key's window.
    WindowIgnored,
    /// A write that may have run is repeated though its class allows none.
    UnsafeRepeated,
    /// A connection that broke after the request is taken for one that never carried it.
    ResetUnproved,
    /// A second attempt goes out beside the first.
    SecondCopy,
    /// A request that nobody waits for any more is sent.
    SentAfterEnd,
    /// What may have run is refused as harmless.
    RefusedAsHarmless,
    /// An answer leaves its request open, and a refusal follows.
    RefusalOvertakes,
    /// An attempt is told before its connection is closed.
    ToldBeforeClosed,
    /// An attempt that is called off is not told.
    LostReport,
    /// The limit for an answer that has begun ends one that has not.
    EarlyStall,
    /// A repeat is written whenever its connection comes up.
    LateRepeat,
    /// A connection with unread bytes goes back to rest.
    UnreadRests,
    /// A connection whose host spoke unasked is used again.
    SurplusReused,
    /// The copy of the last answer is taken for this one.
    CopyTaken,
    /// A connection older than hosts keep is used.
    OldReused,
    /// A merge of marks takes the newer one, not the higher.
    MergeLowers,
    /// A restart forgets that marks were lost.
    LossForgotten,
    /// A gap in bulletins is passed over.
    GapPassed,
    /// An answer behind its session's mark is given.
    BehindGiven,
    /// The stop closes a client whose answer is owed.
    ClosedWhileOwed,
    /// A client is closed though something of it lies unread.
    ClosedUnread,
    /// The gateway ends while something is held.
    EndsWhileHeld,
    /// A drained gateway does not come back.
    StaysDrained,
    /// A class takes the place of one that an open request has.
    PlaceReused,
    /// A connection on which a row is still coming goes back to rest.
    LentRests,
    /// An elector that starts again answers at once.
    SilenceSkipped,
    /// An elector grants a bid under the one that it promised.
    PromiseForgotten,
    /// An elector does not tell of a grant that holds.
    GrantHidden,
    /// An owner acts at the very end of its lease.
    LeaseEndIncluded,
    /// A candidate asks under the term of the owner before it.
    TermNotRaised,
    /// One elector too few is taken for a majority.
    MinorityEnough,
    /// A lease is reckoned from the answer, not from the bid.
    LeaseFromAnswer,
    /// A late answer to an earlier bid renews the lease.
    OldRoundRenews,
    /// The fence turns newer terms away and lets older ones pass.
    FenceReversed,
    /// An elector holds a grant for less than the lease.
    GrantKeptShort,
    /// A bid goes on however late its answers come.
    LateAnswerCounts,
    /// A gateway that started again lends what it may have lent before.
    PledgeForgotten,
    /// What is lent to one owner is lent to the next as well.
    PledgedTwice,
    /// An owner counts on a pledge from when it came.
    PledgeFromAnswer,
    /// A grant is used from when it came.
    GrantFromArrival,
    /// An owner counts on a grant's being back before it is.
    GrantUncounted,
    /// An elector keeps a shard that another should own.
    ShardKept,
    /// Each elector takes itself for the first choice.
    PreferenceOwn,
    /// An elector that is gone is taken for present.
    AbsenceIgnored,
    /// An elector that has just come is yielded to.
    SettledAtOnce,
    /// A gap in an elector's presence is passed over.
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
