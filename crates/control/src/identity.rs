//! Who this replica is: the identity of its disk's contents.

use std::net::{IpAddr, SocketAddr};

use dunelink_replication::{HardState, Member, ReplicaId};
use minicbor::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

/// The metadata record of the store: identity, term and vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct StoreMetadata {
    /// Identity of this generation of the disk.
    #[n(0)]
    pub id: ReplicaId,
    /// Term and vote.
    #[n(1)]
    pub hard_state: HardState,
}

/// Identity of a founding replica: XXH3 (64 bits) of its control address written as `ip:port`. Every founder works
/// out the same ones from the same seeds.
pub fn founding_id(control: SocketAddr) -> ReplicaId {
    ReplicaId(xxh3_64(control.to_string().as_bytes()))
}

/// Identity of a disk that begins empty after the founding: random, mixed with the control address, so that two
/// machines differ even if the system gives both the same random bytes.
pub fn random_id(control: SocketAddr) -> ReplicaId {
    let mut bytes = [0_u8; 16];
    if getrandom::fill(&mut bytes).is_err() {
        let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        bytes = time.map_or(0, |since| since.as_nanos()).to_le_bytes();
    }
    let mut text = control.to_string().into_bytes();
    text.extend_from_slice(&bytes);
    ReplicaId(xxh3_64(&text))
}

/// The founding members, if a start on an empty disk founds the group: the group is founded once, by the machines
/// whose control addresses are the seeds. Zones of other machines are not known yet and left empty.
pub fn founding_members(bootstrap: bool, seeds: &[SocketAddr], me: &Member) -> Option<Vec<Member>> {
    if !bootstrap || !seeds.contains(&me.control_address) {
        return None;
    }
    let mut seeds = seeds.to_vec();
    seeds.sort_unstable();
    seeds.dedup();
    let internal_port = me.internal_address.port();
    Some(seeds.into_iter().map(|control| founder(control, internal_port)).collect())
}

fn founder(control: SocketAddr, internal_port: u16) -> Member {
    let internal = internal_address(control.ip(), internal_port);
    Member {
        id: founding_id(control),
        internal_address: internal,
        control_address: control,
        zone: String::new(),
    }
}

/// Internal address of a machine: the internal ports are alike on all machines.
pub fn internal_address(ip: IpAddr, internal_port: u16) -> SocketAddr {
    SocketAddr::new(ip, internal_port)
}
