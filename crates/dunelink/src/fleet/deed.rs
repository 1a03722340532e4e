//! What the fleet's subsystems want done by the thread that runs them.

use dunelink_gossip::MemberId;
use dunelink_reach::Condition;
use dunelink_view::{Change, LeaseKind, Micros, Name, PartitionSide, View};

/// What is to be done, or told.
pub(super) enum Deed {
    /// Have these bytes carried to a name.
    Carry(MemberId, Vec<u8>),
    /// All engines together take this part of what the fleet may.
    Part(f64),
    /// A view was decided, and this one was known before.
    Decided(Box<View>, Option<Box<View>>),
    /// This node is on another side; these electors it does not hear.
    Side(PartitionSide, Vec<Name>),
    /// It holds something, or has not for some time; it may have stood still since.
    Lease(LeaseKind, bool, Micros),
    /// What was wanted can't be decided.
    Dropped(Change),
    /// It is something else than it was before.
    Stance(Condition, Condition),
    /// It wants the right to say that it is not ready.
    WantsAside(bool),
    /// It says that it is ready, or not, being this.
    Ready(bool, Condition),
}
