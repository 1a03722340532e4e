//! The simulated cluster: a queue of events processed in time order.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;

use dunelink_control::change_queue::{CallId, Reply};
use dunelink_control::message::Envelope;
use dunelink_control::node::{Effect, Node};
use fastrand::Rng;

use super::checks::Checks;
use super::machine::{Machine, control_address};
use super::mutation::Mutation;
use super::operator::{Operator, OperatorRequest};
use super::{MILLISECOND, SECOND};

/// Seed addresses that a machine is started with.
const SEED_COUNT: usize = 3;
/// Most machines that may lose their disks at once in a large core.
const MAX_TOLERATED_LOSSES: usize = 2;
/// Interval of the periodic messages of a node, in microseconds.
const PERIODIC_INTERVAL_US: u64 = 100 * MILLISECOND;
/// How much older than claimed a fed configuration may be, in microseconds: covers a short pause of the
/// process and the network delay.
const FEED_AGE_TOLERANCE_US: u64 = 900 * MILLISECOND;
/// Interval at which agents read the feeds, in microseconds.
const AGENT_READ_INTERVAL_US: u64 = 150 * MILLISECOND;

/// A scheduled event; one that names a `process` is dropped when that process has ended.
pub(crate) enum Event {
    Message { to: usize, process: u64, envelope: Box<Envelope> },
    Tick { index: usize, process: u64 },
    Periodic { index: usize, process: u64 },
    Disk { index: usize, process: u64 },
    Start(usize),
    EndProcess { index: usize, process: u64 },
    Operator(usize),
    DeliverCall { call: CallId, index: usize },
    DeliverReply { operator: usize, call: CallId, reply: Reply },
    Agent,
    WipeAfterAcknowledgement { index: usize, power_loss: bool },
}

/// The simulation. Times are in microseconds.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) random: Rng,
    pub(crate) machines: Vec<Machine>,
    /// Machines that may lose their disks at the same time.
    pub(crate) tolerated_losses: usize,
    pub(crate) mutation: Option<Mutation>,
    /// Pairs of sender and receiver whose messages are dropped.
    pub(crate) blocked_links: HashSet<(usize, usize)>,
    /// Share of messages that are lost, in percent.
    pub(crate) message_loss_percent: u32,
    /// Whether messages between two machines arrive in order, for bulk and other messages separately.
    pub(crate) in_order_delivery: bool,
    pub(crate) checks: Checks,
    pub(crate) operators: Vec<Operator>,
    /// Machines that lost their disks and may not have caught up.
    pub(crate) lost_machines: Vec<usize>,
    /// If set, the machine that sends the next acknowledgement loses its disk; with `true`, all others lose
    /// power.
    pub(crate) wipe_after_acknowledgement: Option<bool>,
    /// Due time and event number of each scheduled event.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    /// Due time of the last message by sender, receiver and whether it is bulk.
    pub(crate) last_delivery: HashMap<(usize, usize, bool), u64>,
    /// Operator and request of each call.
    pub(crate) calls: HashMap<CallId, (usize, OperatorRequest)>,
    pub(crate) last_call_id: CallId,
    /// Number of processed events.
    pub(crate) steps: u64,
}

impl World {
    pub(crate) fn new(size: usize, seed: u64, mutation: Option<Mutation>) -> Self {
        let mut random = Rng::with_seed(seed);
        let machines = (1..=size).map(|number| Machine::new(number, true, &mut random, mutation)).collect();
        let mut world = Self {
            now: SECOND,
            random,
            machines,
            tolerated_losses: (size / 2).min(MAX_TOLERATED_LOSSES),
            mutation,
            blocked_links: HashSet::new(),
            message_loss_percent: 0,
            in_order_delivery: !seed.is_multiple_of(4),
            checks: Checks::default(),
            operators: vec![Operator::default(), Operator::default()],
            lost_machines: Vec::new(),
            wipe_after_acknowledgement: None,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            last_delivery: HashMap::new(),
            calls: HashMap::new(),
            last_call_id: 0,
            steps: 0,
        };
        for index in 0..size {
            let wait = world.random.u64(0..300 * MILLISECOND);
            world.schedule_after(wait, Event::Start(index));
        }
        world.schedule_after(SECOND, Event::Operator(0));
        world.schedule_after(SECOND, Event::Operator(1));
        world.schedule_after(SECOND, Event::Agent);
        world
    }

    /// Control addresses of the seeds: the first three machines when founding, later three random present
    /// machines.
    pub(crate) fn seeds(&mut self, founding: bool) -> Vec<SocketAddr> {
        let present = self.machines.iter().filter(|machine| !machine.removed);
        let mut seeds: Vec<SocketAddr> = present.map(|machine| control_address(machine.number)).collect();
        if !founding {
            self.random.shuffle(&mut seeds);
        }
        seeds.truncate(SEED_COUNT);
        seeds
    }

    pub(crate) fn schedule_after(&mut self, wait: u64, event: Event) {
        self.schedule_at(self.now + wait, event);
    }

    pub(crate) fn schedule_at(&mut self, time: u64, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((time.max(self.now), self.next_event)));
    }

    pub(crate) fn run_for(&mut self, time: u64) {
        let end = self.now + time;
        while let Some(Reverse((due, number))) = self.queue.peek().copied() {
            if due > end {
                break;
            }
            self.queue.pop();
            self.now = due;
            let event = self.events.remove(&number).expect("each queued event is stored");
            self.handle_event(event);
            self.steps += 1;
            self.check_leases();
        }
        self.now = end;
    }

    /// Runs until `condition` holds, for `time` at most; returns whether it holds.
    pub(crate) fn run_until(&mut self, time: u64, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + time;
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.run_for(20 * MILLISECOND);
        }
        condition(self)
    }

    /// Indexes of the machines that hold the lease.
    pub(crate) fn lease_holders(&self) -> Vec<usize> {
        let holds_lease = |machine: &Machine| {
            machine
                .process
                .as_ref()
                .is_some_and(|process| process.node.holds_lease(machine.local_time(self.now)))
        };
        (0..self.machines.len()).filter(|index| holds_lease(&self.machines[*index])).collect()
    }

    fn check_leases(&mut self) {
        for machine in &self.machines {
            if let Some(process) = &machine.process {
                self.checks.check_leader(process.node.replica());
            }
        }
        let lease_holders = self.lease_holders();
        assert!(lease_holders.len() < 2, "several machines hold the lease: {lease_holders:?}");
        for index in lease_holders {
            let process = self.machines[index].process.as_ref().expect("a lease holder runs");
            self.checks.check_lease_holder(index, process.node.state().version());
        }
    }

    fn handle_event(&mut self, event: Event) {
        let target = match &event {
            Event::Message { to: index, process, .. }
            | Event::Tick { index, process }
            | Event::Periodic { index, process }
            | Event::Disk { index, process }
            | Event::EndProcess { index, process } => {
                if self.machines[*index].process.as_ref().is_none_or(|running| running.number != *process) {
                    return;
                }
                Some(*index)
            }
            Event::DeliverCall { index, .. } => Some(*index),
            _ => None,
        };
        let paused_until = target.map_or(0, |target| self.machines[target].paused_until);
        if paused_until > self.now {
            let may_run_late =
                matches!(event, Event::Tick { .. } | Event::Periodic { .. } | Event::Disk { .. });
            let wait = if may_run_late { self.random.u64(0..2 * MILLISECOND) } else { 0 };
            return self.schedule_at(paused_until + wait, event);
        }
        match event {
            Event::Message { to, envelope, .. } => {
                self.with_node(to, |node, now, effects| node.handle_message(now, *envelope, effects));
            }
            Event::Tick { index, .. } => self.with_node(index, |node, now, effects| node.tick(now, effects)),
            Event::Periodic { index, process } => {
                self.schedule_after(PERIODIC_INTERVAL_US, Event::Periodic { index, process });
                self.with_node(index, |node, now, effects| node.send_periodic(now, effects));
            }
            Event::Disk { index, .. } => self.complete_disk_command(index),
            Event::Start(index) => self.start_machine(index),
            Event::EndProcess { index, process } => self.end_process(index, process),
            Event::Operator(operator) => self.continue_operator(operator),
            Event::DeliverCall { call, index } => self.call(call, index),
            Event::DeliverReply { operator, call, reply } => self.receive_reply(operator, call, &reply),
            Event::Agent => self.agents_read_feeds(),
            Event::WipeAfterAcknowledgement { index, power_loss } => self.lose_disk(index, power_loss),
        }
    }

    fn start_machine(&mut self, index: usize) {
        if self.machines[index].removed || self.machines[index].is_running() {
            return;
        }
        let seeds = self.seeds(self.machines[index].bootstrap);
        let (now, tolerated_losses) = (self.now, self.tolerated_losses);
        let machine = &mut self.machines[index];
        if !machine.start(now, &seeds, tolerated_losses, &mut self.random) {
            return self.schedule_after(200 * MILLISECOND, Event::Start(index));
        }
        let process = machine.process.as_ref().expect("the process runs").number;
        self.schedule_after(0, Event::Tick { index, process });
        self.schedule_after(PERIODIC_INTERVAL_US, Event::Periodic { index, process });
        self.run_disk(index);
    }

    fn end_process(&mut self, index: usize, process: u64) {
        let running = self.machines[index].process.as_ref().expect("the process runs");
        if running.terminating && !running.node.can_shut_down() {
            if let Some(running) = &mut self.machines[index].process {
                running.terminating = false;
            }
            return self.schedule_after(SECOND, Event::EndProcess { index, process });
        }
        self.machines[index].kill(&mut self.random);
        let wait = self.random.u64(50 * MILLISECOND..SECOND);
        self.schedule_after(wait, Event::Start(index));
    }

    /// Runs `action` on a node, applies the resulting effects, and checks the invariants.
    pub(crate) fn with_node(&mut self, index: usize, action: impl FnOnce(&mut Node, u64, &mut Vec<Effect>)) {
        let local = self.machines[index].local_time(self.now);
        let Some(process) = &mut self.machines[index].process else { return };
        let mut effects = Vec::new();
        action(&mut process.node, local, &mut effects);
        self.checks.check_state(&process.node);
        self.apply_effects(index, effects);
        self.check_feed_after_event(index);
        let machine = &self.machines[index];
        if let Some(process) = &machine.process {
            let due = machine.simulation_time(process.node.next_deadline()).max(self.now + 500);
            let event = Event::Tick { index, process: process.number };
            if due < self.now + 3_600 * SECOND {
                self.schedule_at(due, event);
            }
        }
    }

    fn check_feed_after_event(&mut self, index: usize) {
        let Some(process) = &mut self.machines[index].process else { return };
        let feed = process.node.feed();
        let feed_version = feed.configuration_version();
        assert!(
            feed_version >= process.feed_version,
            "machine {index} feeds version {feed_version} after {}",
            process.feed_version
        );
        process.feed_version = feed_version;
        let body = feed.configuration.as_ref().map(|configuration| &configuration.bytes);
        self.checks.check_feed(index, feed_version, body, None);
    }

    /// Lets agents read the feed of every machine that is not paused.
    fn agents_read_feeds(&mut self) {
        self.schedule_after(AGENT_READ_INTERVAL_US, Event::Agent);
        for index in 0..self.machines.len() {
            let machine = &mut self.machines[index];
            let (local, paused) = (machine.local_time(self.now), machine.paused_until > self.now);
            let Some(process) = machine.process.as_mut().filter(|_| !paused) else { continue };
            process.node.update_freshness(local);
            let feed = process.node.feed();
            let age = feed.freshness.confirmed_age_ms(local);
            let claimed_age = age.saturating_mul(1_020).saturating_add(FEED_AGE_TOLERANCE_US);
            let current_at = self.now.checked_sub(claimed_age);
            let body = feed.configuration.as_ref().map(|configuration| &configuration.bytes);
            self.checks.check_feed(index, feed.configuration_version(), body, current_at);
        }
    }
}
