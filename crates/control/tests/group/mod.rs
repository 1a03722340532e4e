//! Control machines in memory: their messages arrive after a millisecond, their writes are durable after one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use dunelink_control::change_queue::{CallId, Reply};
use dunelink_control::configuration_check::{CheckedBody, parse_quotas};
use dunelink_control::identity::{founding_id, founding_members, internal_address, random_id};
use dunelink_control::message::Envelope;
use dunelink_control::node::{Effect, Node, NodeSettings};
use dunelink_grants::QuotaBounds;
use dunelink_replication::{Member, RecoveredState, Settings};

/// Microseconds in a millisecond.
const MILLISECOND: u64 = 1_000;
const INTERNAL_PORT: u16 = 7680;
const BEAT: u64 = 250 * MILLISECOND;

/// What is on its way.
enum Arrival {
    Message(SocketAddr, Envelope),
    Written(SocketAddr, u64, u64),
}

/// A machine: its node, and how often it has begun anew.
pub(crate) struct Machine {
    pub(crate) node: Node,
    generation: u64,
    pub(crate) up: bool,
}

/// The machines, by internal address.
pub(crate) struct Group {
    pub(crate) now: u64,
    pub(crate) machines: BTreeMap<SocketAddr, Machine>,
    pub(crate) replies: BTreeMap<CallId, Reply>,
    /// Everything that was not carried out by the group itself, with the machine.
    pub(crate) effects: Vec<(SocketAddr, Effect)>,
    arrivals: Vec<(u64, Arrival)>,
    calls: CallId,
    beat_due: u64,
}

/// Control address of the machine with this number.
pub(crate) fn control(number: u8) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, number], 8665))
}

/// Internal address of the machine with this number.
pub(crate) fn internal(number: u8) -> SocketAddr {
    internal_address(control(number).ip(), INTERNAL_PORT)
}

fn member(number: u8) -> Member {
    let control = control(number);
    Member {
        id: founding_id(control),
        internal_address: internal(number),
        control_address: control,
        zone: String::new(),
    }
}

fn settings(seeds: Vec<SocketAddr>) -> NodeSettings {
    let quota = QuotaBounds { window_s: 8.0, overshoot: 0.1, slack: 0.0 };
    NodeSettings { replication: Settings::default(), quota, seeds }
}

impl Group {
    /// Three machines that found a group.
    pub(crate) fn founded() -> Self {
        let mut group = Self {
            now: 1_000 * MILLISECOND,
            machines: BTreeMap::new(),
            replies: BTreeMap::new(),
            effects: Vec::new(),
            arrivals: Vec::new(),
            calls: 0,
            beat_due: 0,
        };
        for number in 1..=3 {
            group.start(number, true);
        }
        group.run_until("a leader holds the lease and all hear it", |group| {
            group.machines.values().all(|machine| machine.node.is_ready(group.now))
        });
        group
    }

    /// Starts a machine on an empty disk.
    pub(crate) fn start(&mut self, number: u8, bootstrap: bool) {
        let seeds = vec![control(1), control(2), control(3)];
        let mut me = member(number);
        let founding = founding_members(bootstrap, &seeds, &me);
        if founding.is_none() {
            me.id = random_id(me.control_address);
        }
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let recovered = RecoveredState::default();
        let node = Node::new(settings(seeds), me, founding, recovered, u64::from(number), self.now, log);
        let generation = self.machines.get(&internal(number)).map_or(1, |before| before.generation + 1);
        self.machines.insert(internal(number), Machine { node, generation, up: true });
    }

    /// The machine that holds the lease.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        let holds = |machine: &Machine| machine.up && machine.node.holds_lease(self.now);
        self.machines.iter().find(|(_, machine)| holds(machine)).map(|(address, _)| *address)
    }

    /// Some machine that runs and does not lead.
    pub(crate) fn follower(&self) -> SocketAddr {
        let leader = self.leader();
        let follows = |address: &&SocketAddr| Some(**address) != leader && self.machines[*address].up;
        *self.machines.keys().find(follows).expect("a machine follows")
    }

    /// The node of a machine.
    pub(crate) fn node(&self, at: SocketAddr) -> &Node {
        &self.machines[&at].node
    }

    /// Hands something to a machine.
    pub(crate) fn act(&mut self, at: SocketAddr, act: impl FnOnce(&mut Node, u64, &mut Vec<Effect>)) {
        let mut effects = Vec::new();
        let machine = self.machines.get_mut(&at).expect("the machine exists");
        act(&mut machine.node, self.now, &mut effects);
        self.carry_out(at, effects);
    }

    /// An order at a machine; its call.
    pub(crate) fn order(&mut self, at: SocketAddr, base: u64, body: &str) -> CallId {
        self.calls += 1;
        let (call, body) = (self.calls, Bytes::copy_from_slice(body.as_bytes()));
        self.act(at, |node, now, effects| {
            node.replace_configuration(now, call, Some(base), CheckedBody::check(body), effects)
        });
        call
    }

    /// An order at a machine, and its answer.
    pub(crate) fn ask(&mut self, at: SocketAddr, base: u64, body: &str) -> Reply {
        let call = self.order(at, base, body);
        self.run_until("the order is answered", |group| group.replies.contains_key(&call));
        self.replies[&call].clone()
    }

    /// Runs for some milliseconds.
    pub(crate) fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            self.step();
        }
    }

    /// Runs until something holds, ten seconds at most.
    pub(crate) fn run_until(&mut self, what: &str, holds: impl Fn(&Self) -> bool) {
        for _ in 0..10_000 {
            if holds(self) {
                return;
            }
            self.step();
        }
        panic!("not within ten seconds: {what}");
    }

    fn step(&mut self) {
        self.now += MILLISECOND;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.arrivals).into_iter().partition(|(at, _)| *at <= self.now);
        self.arrivals = later;
        for (_, arrival) in due {
            self.arrive(arrival);
        }
        let beats = self.now >= self.beat_due;
        if beats {
            self.beat_due = self.now + BEAT;
        }
        let addresses: Vec<SocketAddr> = self.machines.keys().copied().collect();
        for address in addresses.into_iter().filter(|address| self.machines[address].up).collect::<Vec<_>>() {
            if self.node(address).next_deadline() <= self.now {
                self.act(address, |node, now, effects| node.tick(now, effects));
            }
            if beats {
                self.act(address, |node, now, effects| node.send_periodic(now, effects));
            }
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Message(to, envelope) => {
                if self.machines.get(&to).is_some_and(|machine| machine.up) {
                    self.act(to, |node, now, effects| node.handle_message(now, envelope, effects));
                }
            }
            Arrival::Written(at, generation, sequence) => {
                let machine = &self.machines[&at];
                if machine.up && machine.generation == generation {
                    self.act(at, |node, now, effects| node.write_completed(now, sequence, effects));
                }
            }
        }
    }

    fn carry_out(&mut self, at: SocketAddr, effects: Vec<Effect>) {
        let due = self.now + MILLISECOND;
        for effect in effects {
            match effect {
                Effect::Send { to, envelope } => self.arrivals.push((due, Arrival::Message(to, envelope))),
                Effect::Write { sequence, .. } => {
                    let generation = self.machines[&at].generation;
                    self.arrivals.push((due, Arrival::Written(at, generation, sequence)));
                }
                Effect::ParseQuotas { version, body } => {
                    let quotas = parse_quotas(&body);
                    self.act(at, |node, _, _| node.set_quotas(version, quotas));
                }
                Effect::Reply { call, reply } => {
                    self.replies.insert(call, reply);
                }
                other => self.effects.push((at, other)),
            }
        }
    }
}
