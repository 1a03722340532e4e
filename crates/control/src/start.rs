//! What a replica starts from.

use std::net::SocketAddr;

use dunelink_replication::{HardState, Member, RecoveredState, ReplicaId, Settings};

use crate::disk::{DiskCommand, OpenedStore, RecordTranslator};
use crate::identity::{founding_id, founding_members};

/// Bounds of the time without a leader after which a replica stands for election, in microseconds. Machines of one
/// deployment are milliseconds apart; a replica answers heartbeats whatever its disk does.
const ELECTION_MIN: u64 = 350_000;
const ELECTION_MAX: u64 = 600_000;
/// Number of the identity that a process starts with.
const FIRST_GENERATION: u64 = 1;

/// Timing of the replica group of a deployment in which so many machines may be lost at once.
pub fn replication_settings(tolerated: usize) -> Settings {
    Settings {
        target_voters: 2 * tolerated + 1,
        election_timeout_min: ELECTION_MIN,
        election_timeout_max: ELECTION_MAX,
        ..Settings::default()
    }
}

/// Who a replica is, and what it goes on from.
#[derive(Debug, Clone)]
pub struct InitialState {
    /// This replica.
    pub me: Member,
    /// The voters, if this start founds the group.
    pub founding: Option<Vec<Member>>,
    /// What the disk held.
    pub recovered: RecoveredState,
    /// The first order for the disk thread: whose the store is.
    pub disk_command: DiskCommand,
}

impl InitialState {
    /// Whoever the store says, a founder, or someone new, whose identity `fresh` makes. `me` has the identity of a
    /// founder.
    pub fn determine(
        bootstrap: bool,
        seeds: &[SocketAddr],
        mut me: Member,
        opened: OpenedStore,
        fresh: impl FnOnce(SocketAddr) -> ReplicaId,
    ) -> Self {
        if let Some(identity) = opened.metadata.filter(|_| !opened.damaged) {
            me.id = identity.id;
            if me.id == founding_id(me.control_address) {
                me.zone = String::new();
            }
            let translator = RecordTranslator::for_store(identity, &opened.recovered);
            let disk_command = DiskCommand::Adopt { generation: FIRST_GENERATION, translator };
            return Self { me, founding: None, recovered: opened.recovered, disk_command };
        }
        let founding = founding_members(bootstrap, seeds, &me).filter(|_| !opened.damaged);
        if founding.is_some() {
            // Zones of others are not known, and the founding list has to be the same on all.
            me.zone = String::new();
        } else {
            me.id = fresh(me.control_address);
        }
        let disk_command = begin_empty(me.id, opened.damaged);
        Self { me, founding, recovered: RecoveredState::default(), disk_command }
    }
}

fn begin_empty(id: ReplicaId, damaged: bool) -> DiskCommand {
    if damaged {
        return DiskCommand::Wipe { generation: FIRST_GENERATION, id };
    }
    let translator = RecordTranslator::new(id, HardState::default(), 0, false);
    DiskCommand::Adopt { generation: FIRST_GENERATION, translator }
}
