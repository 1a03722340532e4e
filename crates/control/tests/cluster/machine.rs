//! One control machine: a clock, a disk that outlasts the process, and the process if it runs.

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
use super::mistake::Mistake;

const INTERNAL_PORT: u16 = 7680;
/// Segments end early, so that runs see many of them.
const LIMITS: Limits = Limits { segment_bytes: 4_096, disk_bytes: 64 << 20 };

/// Control address of the machine with this number.
pub(crate) fn control(number: usize) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, number as u8], 8665))
}

/// Internal address of the machine with this number.
pub(crate) fn internal(number: usize) -> SocketAddr {
    internal_address(control(number).ip(), INTERNAL_PORT)
}

/// A running process.
pub(crate) struct Process {
    pub(crate) node: Node,
    pub(crate) generation: u64,
    pub(crate) orders: Sender<DiskCommand>,
    inbox: Receiver<DiskCommand>,
    events: UnboundedReceiver<DiskEvent>,
    worker: DiskWorker<MachineDisk>,
    next: Option<DiskCommand>,
    /// Whether a turn of the disk is under way.
    pub(crate) disk_busy: bool,
    /// Newest version that was fed.
    pub(crate) fed: u64,
    /// Number of the start.
    pub(crate) number: u64,
    /// It was told to end.
    pub(crate) ending: bool,
}

pub(crate) struct Machine {
    pub(crate) number: usize,
    pub(crate) disk: MachineDisk,
    pub(crate) process: Option<Process>,
    /// It never comes back.
    pub(crate) gone: bool,
    /// When the last stop of its processes began and ends.
    pub(crate) frozen_from: u64,
    pub(crate) frozen_until: u64,
    /// A turn of the disk takes so many times the usual.
    pub(crate) disk_slowness: u64,
    /// Steady clock: what it showed at the start of the run, and its rate in parts per thousand.
    clock: (u64, u64),
    pub(crate) bootstrap: bool,
}

impl Machine {
    pub(crate) fn new(number: usize, bootstrap: bool, random: &mut Rng, mistake: Option<Mistake>) -> Self {
        let rates = if mistake == Some(Mistake::NoDriftMargin) { 600..1_400 } else { 991..1_009 };
        Self {
            number,
            disk: MachineDisk {
                inner: SimulatedDisk::new(),
                skips_files: mistake == Some(Mistake::FilesNotSynced),
                skips_folder: mistake == Some(Mistake::FolderNotSynced),
            },
            process: None,
            gone: false,
            frozen_from: 0,
            frozen_until: 0,
            disk_slowness: 1,
            clock: (random.u64(0..100 * SECOND), random.u64(rates)),
            bootstrap,
        }
    }

    /// What its steady clock shows.
    pub(crate) fn local(&self, now: u64) -> u64 {
        self.clock.0 + now * self.clock.1 / 1_000
    }

    /// The time of the run at which its clock shows `local`.
    pub(crate) fn global(&self, local: u64) -> u64 {
        (local.saturating_sub(self.clock.0)).saturating_mul(1_000) / self.clock.1 + 1
    }

    pub(crate) fn is_up(&self) -> bool {
        self.process.is_some()
    }

    /// Starts the process; false if the disk does not allow it yet.
    pub(crate) fn start(
        &mut self,
        now: u64,
        seeds: &[SocketAddr],
        tolerated: usize,
        random: &mut Rng,
    ) -> bool {
        let Ok((store, recovered)) = LogStore::open(self.disk.clone(), LIMITS) else { return false };
        let control = control(self.number);
        let me = Member {
            id: founding_id(control),
            internal_address: internal(self.number),
            control_address: control,
            zone: format!("z{}", self.number),
        };
        let opened = decode_recovered(recovered);
        assert!(!opened.damaged, "machine {}: loss of power is no damage: {:?}", self.number, opened.notes);
        let fresh = ReplicaId(random.u64(..));
        let start = InitialState::determine(self.bootstrap, seeds, me, opened, |_| fresh);
        self.bootstrap = false;
        let mut replication = replication_settings(tolerated);
        replication.snapshot_every_entries = 12;
        replication.keep_entries = 4;
        let quota = QuotaBounds { window_s: 8.0, overshoot: 0.1, slack: 0.0 };
        let settings = NodeSettings { replication, quota, seeds: seeds.to_vec() };
        let (orders, inbox) = channel();
        let (outbox, events) = unbounded_channel();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let node = Node::new(
            settings,
            start.me,
            start.founding,
            start.recovered,
            random.u64(..),
            self.local(now),
            log,
        );
        orders.send(start.disk_command).expect("the inbox is there");
        self.process = Some(Process {
            node,
            generation: 1,
            orders,
            inbox,
            events,
            worker: DiskWorker::new(store, outbox),
            next: None,
            disk_busy: false,
            fed: 0,
            number: random.u64(..),
            ending: false,
        });
        true
    }

    /// The processes stop for a while; a stop that is under way is not made shorter.
    pub(crate) fn freeze(&mut self, now: u64, time: u64) {
        if self.frozen_until <= now {
            self.frozen_from = now;
        }
        self.frozen_until = self.frozen_until.max(now + time);
    }

    /// The process ends at once; a turn of the disk may be cut off anywhere. What the system has taken stays.
    pub(crate) fn kill(&mut self, random: &mut Rng) {
        let Some(mut process) = self.process.take() else { return };
        if process.disk_busy {
            self.disk.inner.fail_at(self.disk.inner.operation_count() + random.u64(0..8), Fault::PowerLoss);
            process.turn();
        }
        self.disk.inner = self.disk.inner.fork();
        self.frozen_until = 0;
        self.disk_slowness = 1;
    }

    /// The power is lost: what no sync covers may be there, torn or gone.
    pub(crate) fn lose_power(&mut self, random: &mut Rng) {
        self.kill(random);
        self.disk.inner.lose_power(|_| match random.u32(0..3) {
            0 => CrashOutcome::Kept,
            1 => CrashOutcome::Lost,
            _ => CrashOutcome::Torn(random.usize(0..200)),
        });
    }

    /// The disk is empty when the process is started again.
    pub(crate) fn wipe(&mut self, random: &mut Rng) {
        self.kill(random);
        self.disk.inner = SimulatedDisk::new();
    }
}

impl Process {
    /// Whether the disk has something to do.
    pub(crate) fn has_orders(&mut self) -> bool {
        if self.next.is_none() {
            self.next = self.inbox.try_recv().ok();
        }
        self.next.is_some()
    }

    /// Lets the disk carry out what waits; what it tells.
    pub(crate) fn turn(&mut self) -> Vec<DiskEvent> {
        self.disk_busy = false;
        if self.has_orders()
            && let Some(order) = self.next.take()
        {
            self.next = match self.worker.carry_out(order, &self.inbox) {
                NextStep::Idle => None,
                NextStep::Next(order) | NextStep::Retry(order) => Some(order),
            };
        }
        let mut told = Vec::new();
        while let Ok(event) = self.events.try_recv() {
            told.push(event);
        }
        told
    }
}
