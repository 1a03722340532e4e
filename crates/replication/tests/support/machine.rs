//! A simulated machine: its clock, its disk, its replica and the state kept by the replica's host.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dunelink_replication::{Input, Member, Output, RecoveredState, Replica, ReplicaId, Settings};

use super::disk::Disk;

pub struct Machine {
    /// Position of the machine in the cluster.
    pub position: usize,
    pub member: Member,
    pub disk: Disk,
    pub replica: Option<Replica>,
    /// Applied commands by index.
    pub state: BTreeMap<u64, u64>,
    pub applied_index: u64,
    pub paused_until: Option<u64>,
    /// Inputs received while the process is paused.
    pub queued_inputs: Vec<Input>,
    /// Whether the machine was removed permanently.
    pub removed: bool,
    pub is_initial_voter: bool,
    pub next_join_at: u64,
    /// How often the replica reported that it is no longer a member.
    pub removal_count: u32,
    /// Rate of the local clock in parts per million of global time.
    clock_rate_ppm: u64,
    clock_offset: u64,
}

pub fn address(position: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (position / 250) as u8, (position % 250) as u8 + 1], port))
}

pub fn member(position: usize, generation: u64) -> Member {
    Member {
        id: ReplicaId(position as u64 * 1_000 + generation),
        internal_address: address(position, 7000),
        control_address: address(position, 8000),
        zone: format!("zone-{}", position % 3),
    }
}

impl Machine {
    pub fn new(position: usize, is_initial_voter: bool, random: &mut fastrand::Rng) -> Self {
        Self {
            position,
            member: member(position, 1),
            disk: Disk::new(),
            replica: None,
            state: BTreeMap::new(),
            applied_index: 0,
            paused_until: None,
            queued_inputs: Vec::new(),
            removed: false,
            is_initial_voter,
            next_join_at: 0,
            removal_count: 0,
            clock_rate_ppm: random.u64(990_100..=1_009_900),
            clock_offset: random.u64(0..1_000_000_000),
        }
    }

    /// Reading of this machine's clock at the global time `now`.
    pub fn local_time(&self, now: u64) -> u64 {
        self.clock_offset + (u128::from(now) * u128::from(self.clock_rate_ppm) / 1_000_000) as u64
    }

    /// First global time at which this machine's clock reads at least `local`.
    pub fn global_time_of(&self, local: u64) -> u64 {
        let local = local.saturating_sub(self.clock_offset);
        (u128::from(local) * 1_000_000).div_ceil(u128::from(self.clock_rate_ppm)) as u64
    }

    pub fn next_tick_at(&self) -> Option<u64> {
        let replica = self.replica.as_ref()?;
        let deadline = replica.next_deadline();
        (deadline != u64::MAX).then(|| self.global_time_of(deadline))
    }

    pub fn start(&mut self, initial_voters: &[Member], settings: &Settings, seed: u64, now: u64) {
        let recovered: RecoveredState = self.disk.synced.clone();
        let initial_voters = self.is_initial_voter.then(|| initial_voters.to_vec());
        self.state.clear();
        self.applied_index = 0;
        let now = self.local_time(now);
        self.replica =
            Some(Replica::new(settings.clone(), self.member.clone(), initial_voters, recovered, seed, now));
    }

    pub fn lose_power(&mut self, random: &mut fastrand::Rng) {
        self.replica = None;
        self.paused_until = None;
        self.queued_inputs.clear();
        self.disk.lose_power(random);
    }

    /// Loses the disk's contents. The machine gets a new identity.
    pub fn wipe(&mut self) {
        let mode = self.disk.mode;
        self.disk = Disk::new();
        self.disk.mode = mode;
        self.is_initial_voter = false;
        self.member.id = ReplicaId(self.member.id.0 + 1);
    }

    pub fn is_paused(&self) -> bool {
        self.paused_until.is_some()
    }

    pub fn is_running(&self) -> bool {
        self.replica.is_some() && !self.is_paused()
    }

    pub fn holds_lease(&self, now: u64) -> bool {
        let local = self.local_time(now);
        self.is_running() && self.replica.as_ref().is_some_and(|replica| replica.holds_lease(local))
    }

    pub fn handle(&mut self, now: u64, input: Input) -> Vec<Output> {
        let local = self.local_time(now);
        let mut outputs = Vec::new();
        if let Some(replica) = &mut self.replica {
            replica.handle(local, input, &mut outputs);
        }
        outputs
    }

    /// Encodes the state, followed by meaningless padding.
    pub fn encode_state(&self, padding: usize) -> Vec<u8> {
        let mut bytes = (self.state.len() as u64).to_le_bytes().to_vec();
        for (index, command) in &self.state {
            bytes.extend(index.to_le_bytes());
            bytes.extend(command.to_le_bytes());
        }
        bytes.resize(bytes.len() + padding, 9);
        bytes
    }

    pub fn decode_state(bytes: &[u8]) -> BTreeMap<u64, u64> {
        let number = |bytes: &[u8]| u64::from_le_bytes(bytes.try_into().expect("eight bytes"));
        if bytes.is_empty() {
            return BTreeMap::new();
        }
        let count = number(&bytes[..8]) as usize;
        let pairs = bytes[8..].chunks_exact(16).take(count);
        pairs.map(|pair| (number(&pair[..8]), number(&pair[8..]))).collect()
    }
}
