//! The cluster: events in the order of their times.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;

use dunelink_control::disk::{DiskEvent, DiskOrder};
use dunelink_control::message::Envelope;
use dunelink_control::node::{Effect, Node};
use dunelink_control::orders::{CallId, Reply};
use dunelink_control::state::Command;
use dunelink_replication::{Payload, Record, ReplicaId};
use fastrand::Rng;

use super::checks::Checks;
use super::machine::{Machine, control, internal};
use super::mistake::Mistake;
use super::operator::{Operator, Wish, key, version_of};
use super::{MILLISECOND, SECOND};

const BEAT: u64 = 100 * MILLISECOND;
const PATIENCE: u64 = 1_500 * MILLISECOND;
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
    Call { operator: usize, call: CallId, at: usize },
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
    last_delivery: HashMap<(usize, usize, bool), u64>,
    calls: HashMap<CallId, (usize, Wish)>,
    last_call: CallId,
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
            tolerated: size / 2,
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

    /// Seeds: three machines of those that are there.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        let mut seeds: Vec<SocketAddr> = self
            .machines
            .iter()
            .filter(|machine| !machine.gone)
            .map(|machine| control(machine.number))
            .collect();
        seeds.truncate(2 * self.tolerated + 1);
        seeds
    }

    pub(crate) fn after(&mut self, wait: u64, event: Event) {
        self.at(self.now + wait, event);
    }

    fn at(&mut self, time: u64, event: Event) {
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
                self.act(to, |node, now, effects| node.received(now, *envelope, effects));
            }
            Event::Tick { at, .. } => self.act(at, |node, now, effects| node.tick(now, effects)),
            Event::Beat { at, process } => {
                self.after(BEAT, Event::Beat { at, process });
                self.act(at, |node, now, effects| node.beat(now, effects));
            }
            Event::Disk { at, .. } => self.disk(at),
            Event::Start(at) => self.start(at),
            Event::End { at, process } => self.end(at, process),
            Event::Operator(operator) => self.operate(operator),
            Event::Call { operator, call, at } => self.call(operator, call, at),
            Event::Answer { operator, call, reply } => self.answer(operator, call, &reply),
            Event::Agent => self.read_feed(),
            Event::WipeAfterAck { at, power } => self.lose_disk(at, power),
        }
    }

    fn start(&mut self, at: usize) {
        if self.machines[at].gone || self.machines[at].is_up() {
            return;
        }
        let seeds = self.seeds();
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
        if running.ending && !running.node.may_end() {
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
        let fed = feed.version();
        assert!(fed >= process.fed, "machine {at} feeds {fed} after {}", process.fed);
        process.fed = fed;
        let body = feed.configuration.as_ref().map(|configuration| &configuration.bytes);
        self.checks.fed(at, fed, body, None);
    }

    fn carry_out(&mut self, at: usize, effects: Vec<Effect>) {
        let generation = self.machines[at].process.as_ref().map_or(0, |process| process.generation);
        for effect in effects {
            match effect {
                Effect::Send { to, envelope } => self.send(at, to, envelope),
                Effect::Write { sequence, records } => self.write(at, generation, sequence, records),
                Effect::Reply { call, reply } => self.reply(at, call, reply),
                Effect::Rejoin => self.rejoin(at),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, envelope: Envelope) {
        let Some(to) = self.machines.iter().position(|machine| internal(machine.number) == to) else {
            return;
        };
        if self.cuts.contains(&(from, to)) || self.random.u32(0..100) < self.loss {
            return;
        }
        let Some(process) = self.machines[to].process.as_ref().map(|process| process.number) else { return };
        let mut due = self.now + 900 + self.random.u64(0..600);
        if self.random.u32(0..50) == 0 {
            due += self.random.u64(0..40 * MILLISECOND);
        }
        if self.ordered {
            let last = self.last_delivery.entry((from, to, envelope.message.is_bulk())).or_default();
            due = due.max(*last + 1);
            *last = due;
        }
        self.at(due, Event::Message { to, process, envelope: Box::new(envelope) });
    }

    fn write(&mut self, at: usize, generation: u64, sequence: u64, mut records: Vec<Record>) {
        if self.mistake == Some(Mistake::AnsweredAtAppend) {
            self.answer_at_append(at, &records);
        }
        if self.mistake == Some(Mistake::VoteNotKept) {
            records.retain(|record| !matches!(record, Record::HardState(_)));
        }
        let Some(process) = &self.machines[at].process else { return };
        process.orders.send(DiskOrder::Write { generation, sequence, records }).expect("the inbox is there");
        self.run_disk(at);
        if self.mistake == Some(Mistake::CountedBeforeSync) {
            self.act(at, |node, now, effects| node.written(now, sequence, effects));
        }
    }

    fn answer_at_append(&mut self, at: usize, records: &[Record]) {
        let process = self.machines[at].process.as_ref().expect("it runs");
        if !process.node.replica().is_leader() {
            return;
        }
        for record in records {
            if let Record::Append(entry) = record
                && let Payload::Command(command) = &entry.payload
                && let Ok(Command::Replace { base, body, .. }) = dunelink_replication::decode(command)
            {
                let waits = |(_, (_, wish)): &(&CallId, &(usize, Wish))| {
                    key(wish).is_some_and(|key| key.0 == base && key.1 == body)
                };
                let calls: Vec<CallId> = self.calls.iter().filter(waits).map(|(call, _)| *call).collect();
                calls.into_iter().for_each(|call| self.reply(at, call, Reply::Taken));
            }
        }
    }

    fn rejoin(&mut self, at: usize) {
        let id = ReplicaId(self.random.u64(..));
        let seed = self.random.u64(..);
        let Some(process) = &mut self.machines[at].process else { return };
        process.generation += 1;
        let generation = process.generation;
        process.orders.send(DiskOrder::Wipe { generation, id }).expect("the inbox is there");
        self.act(at, |node, now, effects| node.begin_again(id, seed, now, effects));
        self.run_disk(at);
    }

    /// Begins a turn of the disk if it is idle and has something to do.
    fn run_disk(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        let Some(process) = &mut machine.process else { return };
        if process.disk_busy || !process.has_orders() {
            return;
        }
        process.disk_busy = true;
        let process = process.number;
        let turn = self.random.u64(400..6_000) * machine.disk_slowness;
        self.after(turn, Event::Disk { at, process });
    }

    fn disk(&mut self, at: usize) {
        let Some(process) = &mut self.machines[at].process else { return };
        let told = process.turn();
        let current = process.generation;
        for event in told {
            match event {
                DiskEvent::Written { generation, sequence, .. } if generation == current => {
                    self.act(at, |node, now, effects| node.written(now, sequence, effects));
                }
                DiskEvent::Failed { generation, sequence } if generation == current => {
                    if self.mistake == Some(Mistake::FailureCountedAsWritten) {
                        self.act(at, |node, now, effects| node.written(now, sequence, effects));
                    } else {
                        self.act(at, |node, now, effects| node.write_failed(now, sequence, effects));
                    }
                }
                _ => {}
            }
        }
        self.run_disk(at);
    }

    /// An operator goes on: with what it wants, or with something new.
    fn operate(&mut self, operator: usize) {
        let random = &mut self.random;
        let wish = match self.operators[operator].wish.clone() {
            Some(wish) => wish,
            None => self.operators[operator].choose(operator, random),
        };
        if let (Some(key), Wish::Replace { version, .. }) = (key(&wish), &wish) {
            let sent = self.checks.sent.entry(*version).or_default();
            if !sent.contains(&key) {
                sent.push(key);
            }
        }
        self.operators[operator].wish = Some(wish);
        let at = self.random.usize(0..self.machines.len());
        self.send_call(operator, at);
    }

    fn send_call(&mut self, operator: usize, at: usize) {
        self.last_call += 1;
        let call = self.last_call;
        let Some(wish) = self.operators[operator].wish.clone() else { return };
        self.operators[operator].call = call;
        self.calls.insert(call, (operator, wish));
        let wait = self.random.u64(MILLISECOND..3 * MILLISECOND);
        self.after(wait, Event::Call { operator, call, at });
        let reply = Reply::Unavailable("no answer in time");
        self.after(PATIENCE, Event::Answer { operator, call, reply });
    }

    fn call(&mut self, _operator: usize, call: CallId, at: usize) {
        let local = self.machines[at].local(self.now);
        let Some(process) = &mut self.machines[at].process else { return };
        let Some((_, wish)) = self.calls.get(&call).cloned() else { return };
        match wish {
            Wish::Read => {
                let mut reply = process.node.read(local);
                let version = process.node.state().version();
                if self.mistake == Some(Mistake::ReadWithoutLease) && version > 0 {
                    reply = Reply::Configuration(process.node.state().body().clone());
                }
                self.reply(at, call, reply);
            }
            Wish::Replace { base, version, body } => {
                let current = process.node.state().version();
                if self.mistake == Some(Mistake::RetryRefused) && current >= version {
                    return self.reply(at, call, Reply::Conflict { current });
                }
                if self.mistake == Some(Mistake::RetryAnsweredBlindly) && current >= version {
                    return self.reply(at, call, Reply::Taken);
                }
                self.act(at, |node, now, effects| node.replace(now, call, Some(base), body, effects));
            }
        }
    }

    /// An answer leaves a machine.
    fn reply(&mut self, at: usize, call: CallId, reply: Reply) {
        let Some((operator, wish)) = self.calls.get(&call).cloned() else { return };
        match (&reply, key(&wish), &wish) {
            (Reply::Taken, Some(key), Wish::Replace { version, .. }) => {
                self.checks.success(self.now, &key, *version);
                if let Some(power) = self.wipe_after_ack.take() {
                    self.after(0, Event::WipeAfterAck { at, power });
                }
            }
            (Reply::Conflict { current }, Some(key), _) => self.checks.refusal(&key, Some(*current)),
            (Reply::Invalid(_), Some(key), _) => self.checks.refusal(&key, None),
            (Reply::Configuration(body), _, _) => self.checks.read(self.now, version_of(body), body),
            (Reply::Nothing, _, _) => self.checks.read(self.now, 0, &bytes::Bytes::new()),
            _ => {}
        }
        if self.random.u32(0..10) == 0 {
            return;
        }
        let wait = self.random.u64(MILLISECOND..4 * MILLISECOND);
        self.after(wait, Event::Answer { operator, call, reply });
    }

    fn answer(&mut self, operator: usize, call: CallId, reply: &Reply) {
        if self.operators[operator].call != call {
            return;
        }
        self.operators[operator].call = 0;
        if self.operators[operator].answered(reply) {
            let wait = self.random.u64(0..150 * MILLISECOND);
            return self.after(wait, Event::Operator(operator));
        }
        if let Reply::Elsewhere(address) = reply
            && let Some(at) = self.machines.iter().position(|machine| control(machine.number) == *address)
        {
            return self.send_call(operator, at);
        }
        if self.random.u32(0..40) == 0 {
            self.operators[operator].wish = None;
        }
        self.after(100 * MILLISECOND, Event::Operator(operator));
    }

    /// Agents read what some machine feeds.
    fn read_feed(&mut self) {
        self.after(AGENT_PERIOD, Event::Agent);
        for at in 0..self.machines.len() {
            let machine = &mut self.machines[at];
            let (local, frozen) = (machine.local(self.now), machine.frozen_until > self.now);
            let Some(process) = machine.process.as_mut().filter(|_| !frozen) else { continue };
            process.node.refresh(local);
            let feed = process.node.feed();
            let age = feed.freshness.confirmed_age_ms(local);
            let told = age.saturating_mul(1_020).saturating_add(FED_SLACK);
            let current_at = self.now.checked_sub(told);
            let body = feed.configuration.as_ref().map(|configuration| &configuration.bytes);
            self.checks.fed(at, feed.version(), body, current_at);
        }
    }
}
