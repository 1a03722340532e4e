//! Identities of replicas: each belongs to the contents of one store.

use std::net::{IpAddr, SocketAddr};

use dunelink_replication::{HardState, Member, ReplicaId};
use minicbor::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

/// The metadata record of the store: identity, term and vote of its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct StoreMetadata {
    /// Identity of the replica whose data the store holds; a wiped store gets a new one.
    #[n(0)]
    pub id: ReplicaId,
    /// Term and vote.
    #[n(1)]
    pub hard_state: HardState,
}

/// Identity of a founding replica: XXH3 (64 bits) of its control address written as `ip:port`. All founders
/// derive the same identities from the same seeds.
pub fn founding_id(control: SocketAddr) -> ReplicaId {
    ReplicaId(xxh3_64(control.to_string().as_bytes()))
}

/// Identity for a store that starts empty after the founding: random and mixed with the control address, so
/// that two machines differ even if the system gives both the same random bytes.
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

/// Members that found the group, or `None` if this start does not found it. The group is founded once, by the
/// machines whose control addresses are the seeds, on empty disks. The zones of other machines are unknown
/// and left empty.
pub fn founding_members(bootstrap: bool, seeds: &[SocketAddr], me: &Member) -> Option<Vec<Member>> {
    if !bootstrap || !seeds.contains(&me.control_address) {
        return None;
    }
    let mut seeds = seeds.to_vec();
    seeds.sort_unstable();
    seeds.dedup();
    let internal_port = me.internal_address.port();
    Some(seeds.into_iter().map(|control| founding_member(control, internal_port)).collect())
}

fn founding_member(control: SocketAddr, internal_port: u16) -> Member {
    let internal = internal_address(control.ip(), internal_port);
    Member {
        id: founding_id(control),
        internal_address: internal,
        control_address: control,
        zone: String::new(),
    }
}

/// Internal address of a machine. All machines use the same internal port.
pub fn internal_address(ip: IpAddr, internal_port: u16) -> SocketAddr {
    SocketAddr::new(ip, internal_port)
}
