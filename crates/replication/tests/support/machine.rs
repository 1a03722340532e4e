//! One machine: its clock, its disk, its replica and the state that the replica's host keeps.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dunelink_replication::{Input, Member, Output, RecoveredState, Replica, ReplicaId, Settings};

use super::disk::Disk;

pub struct Machine {
    pub place: usize,
    pub member: Member,
    pub disk: Disk,
    pub replica: Option<Replica>,
    /// Applied commands by index.
    pub state: BTreeMap<u64, u64>,
    pub applied: u64,
    pub paused_until: Option<u64>,
    /// Inputs that wait while the process is stopped.
    pub waiting: Vec<Input>,
    pub gone: bool,
    pub founder: bool,
    pub next_join: u64,
    pub was_removed: u32,
    rate: u64,
    offset: u64,
}

pub fn address(place: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8 + 1], port))
}

pub fn member(place: usize, generation: u64) -> Member {
    Member {
        id: ReplicaId(place as u64 * 1_000 + generation),
        internal_address: address(place, 7000),
        control_address: address(place, 8000),
        zone: format!("zone-{}", place % 3),
    }
}

impl Machine {
    pub fn new(place: usize, founder: bool, random: &mut fastrand::Rng) -> Self {
        Self {
            place,
            member: member(place, 1),
            disk: Disk::new(),
            replica: None,
            state: BTreeMap::new(),
            applied: 0,
            paused_until: None,
            waiting: Vec::new(),
            gone: false,
            founder,
            next_join: 0,
            was_removed: 0,
            rate: random.u64(990_100..=1_009_900),
            offset: random.u64(0..1_000_000_000),
        }
    }

    /// Reading of this machine's clock.
    pub fn clock(&self, now: u64) -> u64 {
        self.offset + (u128::from(now) * u128::from(self.rate) / 1_000_000) as u64
    }

    /// First time at which the clock reads at least `local`.
    pub fn time_of(&self, local: u64) -> u64 {
        let local = local.saturating_sub(self.offset);
        (u128::from(local) * 1_000_000).div_ceil(u128::from(self.rate)) as u64
    }

    pub fn next_tick(&self) -> Option<u64> {
        let replica = self.replica.as_ref()?;
        let deadline = replica.next_deadline();
        (deadline != u64::MAX).then(|| self.time_of(deadline))
    }

    pub fn start(&mut self, founders: &[Member], settings: &Settings, seed: u64, now: u64) {
        let recovered: RecoveredState = self.disk.synced.clone();
        let founding = self.founder.then(|| founders.to_vec());
        self.state.clear();
        self.applied = 0;
        let now = self.clock(now);
        self.replica =
            Some(Replica::new(settings.clone(), self.member.clone(), founding, recovered, seed, now));
    }

    pub fn lose_power(&mut self, random: &mut fastrand::Rng) {
        self.replica = None;
        self.paused_until = None;
        self.waiting.clear();
        self.disk.lose_power(random);
    }

    /// Loses the disk's contents: the machine comes back as a new identity.
    pub fn wipe(&mut self) {
        let mode = self.disk.mode;
        self.disk = Disk::new();
        self.disk.mode = mode;
        self.founder = false;
        self.member.id = ReplicaId(self.member.id.0 + 1);
    }

    pub fn is_paused(&self) -> bool {
        self.paused_until.is_some()
    }

    pub fn is_running(&self) -> bool {
        self.replica.is_some() && !self.is_paused()
    }

    pub fn holds_lease(&self, now: u64) -> bool {
        let local = self.clock(now);
        self.is_running() && self.replica.as_ref().is_some_and(|replica| replica.holds_lease(local))
    }

    pub fn handle(&mut self, now: u64, input: Input) -> Vec<Output> {
        let local = self.clock(now);
        let mut out = Vec::new();
        if let Some(replica) = &mut self.replica {
            replica.handle(local, input, &mut out);
        }
        out
    }

    /// The state with a number of bytes that mean nothing.
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
