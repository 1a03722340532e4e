//! The cluster: events in the order of their times.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;

use dunelink_control::change_queue::{CallId, Reply};
use dunelink_control::message::Envelope;
use dunelink_control::node::{Effect, Node};
use fastrand::Rng;

use super::checks::Checks;
use super::machine::{Machine, control};
use super::mistake::Mistake;
use super::operator::{Operator, Wish};
use super::{MILLISECOND, SECOND};

const SEEDS: usize = 3;
/// Machines that may be lost at once in a large core.
const MAX_TOLERATED: usize = 2;
const BEAT: u64 = 100 * MILLISECOND;
/// What is fed may be older than it is said to be by this much: a short stop of the process, and the network.
const FED_SLACK: u64 = 900 * MILLISECOND;
const AGENT_PERIOD: u64 = 150 * MILLISECOND;

pub(crate) enum Event {
    Message { to: usize, process: u64, envelope: Box<Envelope> },
    Tick { at: usize, process: u64 },
    Beat { at: usize, process: u64 },
    Disk { at: usize, process: u64 },
    Start(usize),
    End { at: usize, process: u64 },
    Operator(usize),
    Call { call: CallId, at: usize },
    Answer { operator: usize, call: CallId, reply: Reply },
    Agent,
    WipeAfterAck { at: usize, power: bool },
}

pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) random: Rng,
    pub(crate) machines: Vec<Machine>,
    pub(crate) tolerated: usize,
    pub(crate) mistake: Option<Mistake>,
    pub(crate) cuts: HashSet<(usize, usize)>,
    /// Messages lost, in percent.
    pub(crate) loss: u32,
    pub(crate) ordered: bool,
    pub(crate) checks: Checks,
    pub(crate) operators: Vec<Operator>,
    /// Machines that count as lost with their disks.
    pub(crate) lost: Vec<usize>,
    /// The next acknowledgement is followed by the loss of its disk, and of the power of the rest if so told.
    pub(crate) wipe_after_ack: Option<bool>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    pub(crate) last_delivery: HashMap<(usize, usize, bool), u64>,
    pub(crate) calls: HashMap<CallId, (usize, Wish)>,
    pub(crate) last_call: CallId,
    /// Work done, as a sign of progress.
    pub(crate) steps: u64,
}

impl World {
    pub(crate) fn new(size: usize, seed: u64, mistake: Option<Mistake>) -> Self {
        let mut random = Rng::with_seed(seed);
        let machines = (1..=size).map(|number| Machine::new(number, true, &mut random, mistake)).collect();
        let mut world = Self {
            now: SECOND,
            random,
            machines,
            tolerated: (size / 2).min(MAX_TOLERATED),
            mistake,
            cuts: HashSet::new(),
            loss: 0,
            ordered: !seed.is_multiple_of(4),
            checks: Checks::default(),
            operators: vec![Operator::default(), Operator::default()],
            lost: Vec::new(),
            wipe_after_ack: None,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            last_delivery: HashMap::new(),
            calls: HashMap::new(),
            last_call: 0,
            steps: 0,
        };
        for place in 0..size {
            let wait = world.random.u64(0..300 * MILLISECOND);
            world.after(wait, Event::Start(place));
        }
        world.after(SECOND, Event::Operator(0));
        world.after(SECOND, Event::Operator(1));
        world.after(SECOND, Event::Agent);
        world
    }

    /// Seeds: the first three machines at the first start of all, later some three that are there.
    pub(crate) fn seeds(&mut self, founding: bool) -> Vec<SocketAddr> {
        let there = self.machines.iter().filter(|machine| !machine.gone);
        let mut seeds: Vec<SocketAddr> = there.map(|machine| control(machine.number)).collect();
        if !founding {
            self.random.shuffle(&mut seeds);
        }
        seeds.truncate(SEEDS);
        seeds
    }

    pub(crate) fn after(&mut self, wait: u64, event: Event) {
        self.at(self.now + wait, event);
    }

    pub(crate) fn at(&mut self, time: u64, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((time.max(self.now), self.next_event)));
    }

    pub(crate) fn run_for(&mut self, time: u64) {
        let end = self.now + time;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&number).expect("each event is there once");
            self.event(event);
            self.steps += 1;
            self.check();
        }
        self.now = end;
    }

    /// Runs until something holds; false if it did not within the time.
    pub(crate) fn run_until(&mut self, time: u64, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + time;
        while self.now < end {
            if holds(self) {
                return true;
            }
            self.run_for(20 * MILLISECOND);
        }
        holds(self)
    }

    /// The machines that hold the lease.
    pub(crate) fn holders(&self) -> Vec<usize> {
        let holds = |machine: &Machine| {
            machine.process.as_ref().is_some_and(|process| process.node.holds_lease(machine.local(self.now)))
        };
        (0..self.machines.len()).filter(|place| holds(&self.machines[*place])).collect()
    }

    fn check(&mut self) {
        for machine in &self.machines {
            if let Some(process) = &machine.process {
                self.checks.leader(process.node.replica());
            }
        }
        let holders = self.holders();
        assert!(holders.len() < 2, "two hold the lease: {holders:?}");
        for place in holders {
            let process = self.machines[place].process.as_ref().expect("a holder runs");
            self.checks.holder(place, process.node.state().version());
        }
    }

    fn event(&mut self, event: Event) {
        let place = match &event {
            Event::Message { to: at, process, .. }
            | Event::Tick { at, process }
            | Event::Beat { at, process }
            | Event::Disk { at, process }
            | Event::End { at, process } => {
                if self.machines[*at].process.as_ref().is_none_or(|running| running.number != *process) {
                    return;
                }
                Some(*at)
            }
            Event::Call { at, .. } => Some(*at),
            _ => None,
        };
        let frozen = place.map_or(0, |place| self.machines[place].frozen_until);
        if frozen > self.now {
            let late = matches!(event, Event::Tick { .. } | Event::Beat { .. } | Event::Disk { .. });
            let wait = if late { self.random.u64(0..2 * MILLISECOND) } else { 0 };
            return self.at(frozen + wait, event);
        }
        match event {
            Event::Message { to, envelope, .. } => {
                self.act(to, |node, now, effects| node.handle_message(now, *envelope, effects));
            }
            Event::Tick { at, .. } => self.act(at, |node, now, effects| node.tick(now, effects)),
            Event::Beat { at, process } => {
                self.after(BEAT, Event::Beat { at, process });
                self.act(at, |node, now, effects| node.send_periodic(now, effects));
            }
            Event::Disk { at, .. } => self.disk(at),
            Event::Start(at) => self.start(at),
            Event::End { at, process } => self.end(at, process),
            Event::Operator(operator) => self.operate(operator),
            Event::Call { call, at } => self.call(call, at),
            Event::Answer { operator, call, reply } => self.answer(operator, call, &reply),
            Event::Agent => self.read_feed(),
            Event::WipeAfterAck { at, power } => self.lose_disk(at, power),
        }
    }

    fn start(&mut self, at: usize) {
        if self.machines[at].gone || self.machines[at].is_up() {
            return;
        }
        let seeds = self.seeds(self.machines[at].bootstrap);
        let (now, tolerated) = (self.now, self.tolerated);
        let machine = &mut self.machines[at];
        if !machine.start(now, &seeds, tolerated, &mut self.random) {
            return self.after(200 * MILLISECOND, Event::Start(at));
        }
        let process = machine.process.as_ref().expect("it runs").number;
        self.after(0, Event::Tick { at, process });
        self.after(BEAT, Event::Beat { at, process });
        self.run_disk(at);
    }

    fn end(&mut self, at: usize, process: u64) {
        let running = self.machines[at].process.as_ref().expect("it runs");
        if running.ending && !running.node.can_shut_down() {
            if let Some(running) = &mut self.machines[at].process {
                running.ending = false;
            }
            return self.after(SECOND, Event::End { at, process });
        }
        self.machines[at].kill(&mut self.random);
        let wait = self.random.u64(50 * MILLISECOND..SECOND);
        self.after(wait, Event::Start(at));
    }

    /// Hands something to a node and carries out what follows.
    pub(crate) fn act(&mut self, at: usize, act: impl FnOnce(&mut Node, u64, &mut Vec<Effect>)) {
        let local = self.machines[at].local(self.now);
        let Some(process) = &mut self.machines[at].process else { return };
        let mut effects = Vec::new();
        act(&mut process.node, local, &mut effects);
        self.checks.state(&process.node);
        self.carry_out(at, effects);
        self.watch_feed(at);
        let machine = &self.machines[at];
        if let Some(process) = &machine.process {
            let due = machine.global(process.node.next_deadline()).max(self.now + 500);
            let event = Event::Tick { at, process: process.number };
            if due < self.now + 3_600 * SECOND {
                self.at(due, event);
            }
        }
    }

    fn watch_feed(&mut self, at: usize) {
        let Some(process) = &mut self.machines[at].process else { return };
        let feed = process.node.feed();
        let fed = feed.configuration_version();
        assert!(fed >= process.fed, "machine {at} feeds {fed} after {}", process.fed);
        process.fed = fed;
        let body = feed.configuration.as_ref().map(|configuration| &configuration.bytes);
        self.checks.fed(at, fed, body, None);
    }

    /// Agents read what some machine feeds.
    fn read_feed(&mut self) {
        self.after(AGENT_PERIOD, Event::Agent);
        for at in 0..self.machines.len() {
            let machine = &mut self.machines[at];
            let (local, frozen) = (machine.local(self.now), machine.frozen_until > self.now);
            let Some(process) = machine.process.as_mut().filter(|_| !frozen) else { continue };
            process.node.update_freshness(local);
            let feed = process.node.feed();
            let age = feed.freshness.confirmed_age_ms(local);
            let told = age.saturating_mul(1_020).saturating_add(FED_SLACK);
            let current_at = self.now.checked_sub(told);
            let body = feed.configuration.as_ref().map(|configuration| &configuration.bytes);
            self.checks.fed(at, feed.configuration_version(), body, current_at);
        }
    }
}
