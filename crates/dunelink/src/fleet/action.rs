//! Actions that the fleet's subsystems request from the thread that runs them.

use dunelink_gossip::MemberId;
use dunelink_reach::Condition;
use dunelink_view::{Change, LeaseKind, Micros, Name, PartitionSide, View};

/// An action to take, or a change to report.
pub(super) enum Action {
    /// Send these bytes to the member of this name.
    Send(MemberId, Vec<u8>),
    /// All engines of this node together take this fraction of the fleet's limits.
    Share(f64),
    /// A view was decided; the second is the one known before, if any.
    Decided(Box<View>, Option<Box<View>>),
    /// This node is now on this side of a partition; these electors can't be reached.
    Side(PartitionSide, Vec<Name>),
    /// This node now holds this lease, or has lost it this many microseconds ago: it may have been paused
    /// since.
    Lease(LeaseKind, bool, Micros),
    /// A requested change can't be decided.
    Rejected(Change),
    /// The condition of this node has changed from the second to the first.
    Condition(Condition, Condition),
    /// This node requests, or gives up, the exclusive right to report that it is not ready.
    RequestUnready(bool),
    /// This node now reports that it is ready, or not, because of this condition.
    Ready(bool, Condition),
}
