//! Initial state of a replica: its identity, the recovered log and the first command for the disk thread.

use std::net::SocketAddr;

use dunelink_replication::{HardState, Member, RecoveredState, ReplicaId, Settings};

use crate::disk::{DiskCommand, OpenedStore, RecordTranslator};
use crate::identity::{founding_id, founding_members};

/// Bounds of the randomized election timeout, in microseconds. Messages between machines of one deployment
/// take milliseconds, and a replica answers heartbeats even while its disk is slow.
const ELECTION_TIMEOUT_MIN_US: u64 = 350_000;
const ELECTION_TIMEOUT_MAX_US: u64 = 600_000;
/// Generation of the identity that a process starts with. It grows each time that the process takes a new
/// identity.
const FIRST_GENERATION: u64 = 1;

/// Timing and target size of a replica group that tolerates the simultaneous loss of `tolerated` machines.
pub fn replication_settings(tolerated: usize) -> Settings {
    Settings {
        target_voters: 2 * tolerated + 1,
        election_timeout_min: ELECTION_TIMEOUT_MIN_US,
        election_timeout_max: ELECTION_TIMEOUT_MAX_US,
        ..Settings::default()
    }
}

/// What a replica starts from.
#[derive(Debug, Clone)]
pub struct InitialState {
    /// This replica as a member of the group.
    pub me: Member,
    /// All voters if this start founds the group; `None` if the replica resumes or joins.
    pub founding: Option<Vec<Member>>,
    /// Persistent state from the store; empty for a founder and for a new member.
    pub recovered: RecoveredState,
    /// First command for the disk thread: assigns the store to this identity.
    pub disk_command: DiskCommand,
}

impl InitialState {
    /// Resumes the identity of the store if it has one and is undamaged. Otherwise the replica founds the
    /// group, or joins it under an identity from `new_id`. `me` is given the identity of a founder by the
    /// caller.
    pub fn determine(
        bootstrap: bool,
        seeds: &[SocketAddr],
        mut me: Member,
        opened: OpenedStore,
        new_id: impl FnOnce(SocketAddr) -> ReplicaId,
    ) -> Self {
        if let Some(metadata) = opened.metadata.filter(|_| !opened.damaged) {
            me.id = metadata.id;
            if me.id == founding_id(me.control_address) {
                me.zone = String::new();
            }
            let translator = RecordTranslator::for_store(metadata, &opened.recovered);
            let disk_command = DiskCommand::Adopt { generation: FIRST_GENERATION, translator };
            return Self { me, founding: None, recovered: opened.recovered, disk_command };
        }
        let founding = founding_members(bootstrap, seeds, &me).filter(|_| !opened.damaged);
        if founding.is_some() {
            // The zones of the other founders are unknown, and the founding list must be the same on all of
            // them.
            me.zone = String::new();
        } else {
            me.id = new_id(me.control_address);
        }
        let disk_command = empty_store_command(me.id, opened.damaged);
        Self { me, founding, recovered: RecoveredState::default(), disk_command }
    }
}

fn empty_store_command(id: ReplicaId, damaged: bool) -> DiskCommand {
    if damaged {
        return DiskCommand::Wipe { generation: FIRST_GENERATION, id };
    }
    let translator = RecordTranslator::new(id, HardState::default(), 0, false);
    DiskCommand::Adopt { generation: FIRST_GENERATION, translator }
}
