//! One control machine: a clock, a disk that outlives the process, and the process while it runs.

use std::sync::mpsc::{Receiver, Sender, channel};

use dunelink_control::disk::{DiskCommand, DiskEvent, DiskWorker, NextStep, decode_recovered};
use dunelink_control::identity::{founding_id, internal_address};
use dunelink_control::node::{Node, NodeSettings};
use dunelink_control::start::{InitialState, replication_settings};
use dunelink_grants::QuotaBounds;
use dunelink_replication::{Member, ReplicaId};
use dunelink_storage::simulated::{CrashOutcome, Fault, SimulatedDisk};
use dunelink_storage::{Limits, LogStore};
use fastrand::Rng;
use std::net::SocketAddr;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::SECOND;
use super::disk::MachineDisk;
use super::mutation::Mutation;

const INTERNAL_PORT: u16 = 7680;
/// Segments are small, so that runs go through many of them.
const LIMITS: Limits = Limits { segment_bytes: 4_096, disk_bytes: 64 << 20 };

/// Control address of the machine with this number.
pub(crate) fn control_address(number: usize) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, number as u8], 8665))
}

/// Internal address of the machine with this number.
pub(crate) fn machine_internal_address(number: usize) -> SocketAddr {
    internal_address(control_address(number).ip(), INTERNAL_PORT)
}

/// A running control process.
pub(crate) struct Process {
    pub(crate) node: Node,
    /// Number of identities that the process has had; disk events of an earlier one are ignored.
    pub(crate) generation: u64,
    pub(crate) disk_commands: Sender<DiskCommand>,
    inbox: Receiver<DiskCommand>,
    events: UnboundedReceiver<DiskEvent>,
    worker: DiskWorker<MachineDisk>,
    next_command: Option<DiskCommand>,
    /// Whether a disk command is in progress.
    pub(crate) disk_busy: bool,
    /// Newest configuration version that the process has fed to agents.
    pub(crate) feed_version: u64,
    /// Random number that distinguishes this start of the process from others.
    pub(crate) number: u64,
    /// Whether the process was asked to terminate.
    pub(crate) terminating: bool,
}

/// A control machine.
pub(crate) struct Machine {
    pub(crate) number: usize,
    pub(crate) disk: MachineDisk,
    pub(crate) process: Option<Process>,
    /// Whether the machine was removed permanently.
    pub(crate) removed: bool,
    /// Start and end of the last pause of its processes, in simulation time.
    pub(crate) paused_from: u64,
    pub(crate) paused_until: u64,
    /// Factor by which disk commands take longer than usual.
    pub(crate) disk_slowness: u64,
    /// Monotonic clock: its reading in microseconds at the start of the run, and its rate in parts per
    /// thousand.
    clock_offset_and_rate: (u64, u64),
    /// Whether the next start may found the group.
    pub(crate) bootstrap: bool,
}

impl Machine {
    pub(crate) fn new(number: usize, bootstrap: bool, random: &mut Rng, mutation: Option<Mutation>) -> Self {
        let rates = if mutation == Some(Mutation::ClockDriftBeyondMargin) { 600..1_400 } else { 991..1_009 };
        Self {
            number,
            disk: MachineDisk {
                inner: SimulatedDisk::new(),
                skip_file_syncs: mutation == Some(Mutation::FileSyncSkipped),
                skip_folder_syncs: mutation == Some(Mutation::FolderSyncSkipped),
            },
            process: None,
            removed: false,
            paused_from: 0,
            paused_until: 0,
            disk_slowness: 1,
            clock_offset_and_rate: (random.u64(0..100 * SECOND), random.u64(rates)),
            bootstrap,
        }
    }

    /// Reading of its monotonic clock at simulation time `now`.
    pub(crate) fn local_time(&self, now: u64) -> u64 {
        self.clock_offset_and_rate.0 + now * self.clock_offset_and_rate.1 / 1_000
    }

    /// The simulation time at which its clock reads `local`.
    pub(crate) fn simulation_time(&self, local: u64) -> u64 {
        (local.saturating_sub(self.clock_offset_and_rate.0)).saturating_mul(1_000)
            / self.clock_offset_and_rate.1
            + 1
    }

    pub(crate) fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Starts the process; returns false if the store cannot be opened yet.
    pub(crate) fn start(
        &mut self,
        now: u64,
        seeds: &[SocketAddr],
        tolerated_losses: usize,
        random: &mut Rng,
    ) -> bool {
        let Ok((store, recovered)) = LogStore::open(self.disk.clone(), LIMITS) else { return false };
        let address = control_address(self.number);
        let me = Member {
            id: founding_id(address),
            internal_address: machine_internal_address(self.number),
            control_address: address,
            zone: format!("z{}", self.number),
        };
        let opened = decode_recovered(recovered);
        assert!(
            !opened.damaged,
            "machine {}: a power loss was reported as damage: {:?}",
            self.number, opened.notes
        );
        let new_id = ReplicaId(random.u64(..));
        let start = InitialState::determine(self.bootstrap, seeds, me, opened, |_| new_id);
        self.bootstrap = false;
        let mut replication = replication_settings(tolerated_losses);
        replication.snapshot_every_entries = 12;
        replication.keep_entries = 4;
        let quota = QuotaBounds { window_s: 8.0, overshoot: 0.1, slack: 0.0 };
        let settings = NodeSettings { replication, quota, seeds: seeds.to_vec() };
        let (disk_commands, inbox) = channel();
        let (outbox, events) = unbounded_channel();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let node = Node::new(
            settings,
            start.me,
            start.founding,
            start.recovered,
            random.u64(..),
            self.local_time(now),
            log,
        );
        disk_commands.send(start.disk_command).expect("the process keeps the inbox open");
        self.process = Some(Process {
            node,
            generation: 1,
            disk_commands,
            inbox,
            events,
            worker: DiskWorker::new(store, outbox),
            next_command: None,
            disk_busy: false,
            feed_version: 0,
            number: random.u64(..),
            terminating: false,
        });
        true
    }

    /// Pauses the processes for `time` microseconds; never shortens a pause that is in progress.
    pub(crate) fn pause(&mut self, now: u64, time: u64) {
        if self.paused_until <= now {
            self.paused_from = now;
        }
        self.paused_until = self.paused_until.max(now + time);
    }

    /// Kills the process; a disk command in progress may be interrupted anywhere. Data that the operating
    /// system has accepted stays.
    pub(crate) fn kill(&mut self, random: &mut Rng) {
        let Some(mut process) = self.process.take() else { return };
        if process.disk_busy {
            self.disk.inner.fail_at(self.disk.inner.operation_count() + random.u64(0..8), Fault::PowerLoss);
            process.run_disk_command();
        }
        self.disk.inner = self.disk.inner.fork();
        self.paused_until = 0;
        self.disk_slowness = 1;
    }

    /// Cuts the power: data that no sync covers may be kept, torn or lost.
    pub(crate) fn lose_power(&mut self, random: &mut Rng) {
        self.kill(random);
        self.disk.inner.lose_power(|_| match random.u32(0..3) {
            0 => CrashOutcome::Kept,
            1 => CrashOutcome::Lost,
            _ => CrashOutcome::Torn(random.usize(0..200)),
        });
    }

    /// Kills the process and empties the disk.
    pub(crate) fn wipe(&mut self, random: &mut Rng) {
        self.kill(random);
        self.disk.inner = SimulatedDisk::new();
    }
}

impl Process {
    /// Whether a disk command is pending.
    pub(crate) fn has_pending_command(&mut self) -> bool {
        if self.next_command.is_none() {
            self.next_command = self.inbox.try_recv().ok();
        }
        self.next_command.is_some()
    }

    /// Runs the pending disk command and returns the events that it produced.
    pub(crate) fn run_disk_command(&mut self) -> Vec<DiskEvent> {
        self.disk_busy = false;
        if self.has_pending_command()
            && let Some(command) = self.next_command.take()
        {
            self.next_command = match self.worker.carry_out(command, &self.inbox) {
                NextStep::Idle => None,
                NextStep::Next(command) | NextStep::Retry(command) => Some(command),
            };
        }
        let mut disk_events = Vec::new();
        while let Ok(event) = self.events.try_recv() {
            disk_events.push(event);
        }
        disk_events
    }
}
