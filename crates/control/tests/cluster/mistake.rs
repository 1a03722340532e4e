//! Mistakes made on purpose around the shipped state machines, to show that the checks find them.

/// A mistake of the host that carries out what the state machines ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mistake {
    /// A write is reported as durable before its sync.
    CountedBeforeSync,
    /// Syncs of files do nothing.
    FilesNotSynced,
    /// Syncs of the folder do nothing.
    FolderNotSynced,
    /// The clock is read before a stop of the process and used after it.
    ClockReadBeforeStop,
    /// A failed write is reported as durable.
    FailureCountedAsWritten,
    /// Term and vote are not kept.
    VoteNotKept,
    /// A wiped machine goes on under the identity that it had.
    SameIdentityAfterWipe,
    /// Clocks differ by more than the margin of the lease.
    NoDriftMargin,
    /// The operator is told of success as the entry is appended.
    AnsweredAtAppend,
    /// Reads are answered without a lease.
    ReadWithoutLease,
    /// An order that was taken is refused when it is sent again.
    RetryRefused,
    /// An order is said to be taken because a version as high is in force.
    RetryAnsweredBlindly,
}
