//! In-memory control machines: messages arrive after one millisecond and writes become durable after one
//! millisecond.

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
/// Interval of the periodic messages of a node, in microseconds.
const PERIODIC_INTERVAL_US: u64 = 250 * MILLISECOND;

/// An event due in the future.
enum PendingEvent {
    /// A message arrives at the machine with this internal address.
    Message(SocketAddr, Envelope),
    /// A write of a machine is durable: its internal address, generation and write sequence.
    Written(SocketAddr, u64, u64),
}

/// A machine and its node.
pub(crate) struct Machine {
    pub(crate) node: Node,
    /// Number of starts; writes of an earlier start are ignored.
    generation: u64,
    pub(crate) up: bool,
}

/// A group of control machines.
pub(crate) struct Group {
    /// Simulation time in microseconds.
    pub(crate) now: u64,
    /// The machines, by internal address.
    pub(crate) machines: BTreeMap<SocketAddr, Machine>,
    pub(crate) replies: BTreeMap<CallId, Reply>,
    /// Effects that the group does not apply itself, with the internal address of the machine.
    pub(crate) effects: Vec<(SocketAddr, Effect)>,
    /// Future events with their due times.
    pending_events: Vec<(u64, PendingEvent)>,
    /// Id of the last call.
    last_call_id: CallId,
    periodic_due: u64,
}

/// Control address of the machine with this number.
pub(crate) fn control_address(number: u8) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, number], 8665))
}

/// Internal address of the machine with this number.
pub(crate) fn machine_internal_address(number: u8) -> SocketAddr {
    internal_address(control_address(number).ip(), INTERNAL_PORT)
}

fn member(number: u8) -> Member {
    let address = control_address(number);
    Member {
        id: founding_id(address),
        internal_address: machine_internal_address(number),
        control_address: address,
        zone: String::new(),
    }
}

fn settings(seeds: Vec<SocketAddr>) -> NodeSettings {
    let quota = QuotaBounds { window_s: 8.0, overshoot: 0.1, slack: 0.0 };
    NodeSettings { replication: Settings::default(), quota, seeds }
}

impl Group {
    /// Bootstraps a group of three machines and waits until all are ready.
    pub(crate) fn bootstrapped() -> Self {
        let mut group = Self {
            now: 1_000 * MILLISECOND,
            machines: BTreeMap::new(),
            replies: BTreeMap::new(),
            effects: Vec::new(),
            pending_events: Vec::new(),
            last_call_id: 0,
            periodic_due: 0,
        };
        for number in 1..=3 {
            group.start(number, true);
        }
        group.run_until("a leader holds the lease and all machines are ready", |group| {
            group.machines.values().all(|machine| machine.node.is_ready(group.now))
        });
        group
    }

    /// Starts a machine on an empty disk.
    pub(crate) fn start(&mut self, number: u8, bootstrap: bool) {
        let seeds = vec![control_address(1), control_address(2), control_address(3)];
        let mut me = member(number);
        let founding = founding_members(bootstrap, &seeds, &me);
        if founding.is_none() {
            me.id = random_id(me.control_address);
        }
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let recovered = RecoveredState::default();
        let node = Node::new(settings(seeds), me, founding, recovered, u64::from(number), self.now, log);
        let generation = self
            .machines
            .get(&machine_internal_address(number))
            .map_or(1, |previous| previous.generation + 1);
        self.machines.insert(machine_internal_address(number), Machine { node, generation, up: true });
    }

    /// The machine that holds the lease.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        let holds_lease = |machine: &Machine| machine.up && machine.node.holds_lease(self.now);
        self.machines.iter().find(|(_, machine)| holds_lease(machine)).map(|(address, _)| *address)
    }

    /// A running machine that does not lead.
    pub(crate) fn follower(&self) -> SocketAddr {
        let leader = self.leader();
        let is_follower = |address: &&SocketAddr| Some(**address) != leader && self.machines[*address].up;
        *self.machines.keys().find(is_follower).expect("a follower runs")
    }

    /// The node of a machine.
    pub(crate) fn node(&self, address: SocketAddr) -> &Node {
        &self.machines[&address].node
    }

    /// Runs `action` on the node of a machine and applies the resulting effects.
    pub(crate) fn with_node(
        &mut self,
        address: SocketAddr,
        action: impl FnOnce(&mut Node, u64, &mut Vec<Effect>),
    ) {
        let mut effects = Vec::new();
        let machine = self.machines.get_mut(&address).expect("the machine exists");
        action(&mut machine.node, self.now, &mut effects);
        self.apply_effects(address, effects);
    }

    /// Sends a configuration change to a machine and returns the id of the call.
    pub(crate) fn send_change(&mut self, address: SocketAddr, base: u64, body: &str) -> CallId {
        self.last_call_id += 1;
        let (call, body) = (self.last_call_id, Bytes::copy_from_slice(body.as_bytes()));
        self.with_node(address, |node, now, effects| {
            node.replace_configuration(now, call, Some(base), CheckedBody::check(body), effects)
        });
        call
    }

    /// Sends a configuration change to a machine and waits for the reply.
    pub(crate) fn change_configuration(&mut self, address: SocketAddr, base: u64, body: &str) -> Reply {
        let call = self.send_change(address, base, body);
        self.run_until("the change is answered", |group| group.replies.contains_key(&call));
        self.replies[&call].clone()
    }

    /// Runs for `milliseconds` of simulated time.
    pub(crate) fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            self.step();
        }
    }

    /// Runs until `condition` holds; panics with `expected` after ten seconds of simulated time.
    pub(crate) fn run_until(&mut self, expected: &str, condition: impl Fn(&Self) -> bool) {
        for _ in 0..10_000 {
            if condition(self) {
                return;
            }
            self.step();
        }
        panic!("not within ten seconds: {expected}");
    }

    /// Advances the simulation by one millisecond.
    fn step(&mut self) {
        self.now += MILLISECOND;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_events)
            .into_iter()
            .partition(|(address, _)| *address <= self.now);
        self.pending_events = later;
        for (_, event) in due {
            self.handle_event(event);
        }
        let sends_periodic = self.now >= self.periodic_due;
        if sends_periodic {
            self.periodic_due = self.now + PERIODIC_INTERVAL_US;
        }
        let addresses: Vec<SocketAddr> = self.machines.keys().copied().collect();
        for address in addresses.into_iter().filter(|address| self.machines[address].up).collect::<Vec<_>>() {
            if self.node(address).next_deadline() <= self.now {
                self.with_node(address, |node, now, effects| node.tick(now, effects));
            }
            if sends_periodic {
                self.with_node(address, |node, now, effects| node.send_periodic(now, effects));
            }
        }
    }

    fn handle_event(&mut self, event: PendingEvent) {
        match event {
            PendingEvent::Message(to, envelope) => {
                if self.machines.get(&to).is_some_and(|machine| machine.up) {
                    self.with_node(to, |node, now, effects| node.handle_message(now, envelope, effects));
                }
            }
            PendingEvent::Written(address, generation, sequence) => {
                let machine = &self.machines[&address];
                if machine.up && machine.generation == generation {
                    self.with_node(address, |node, now, effects| {
                        node.write_completed(now, sequence, effects)
                    });
                }
            }
        }
    }

    fn apply_effects(&mut self, address: SocketAddr, effects: Vec<Effect>) {
        let due = self.now + MILLISECOND;
        for effect in effects {
            match effect {
                Effect::Send { to, envelope } => {
                    self.pending_events.push((due, PendingEvent::Message(to, envelope)))
                }
                Effect::Write { sequence, .. } => {
                    let generation = self.machines[&address].generation;
                    self.pending_events.push((due, PendingEvent::Written(address, generation, sequence)));
                }
                Effect::ParseQuotas { version, body } => {
                    let quotas = parse_quotas(&body);
                    self.with_node(address, |node, _, _| node.set_quotas(version, quotas));
                }
                Effect::Reply { call, reply } => {
                    self.replies.insert(call, reply);
                }
                other => self.effects.push((address, other)),
            }
        }
    }
}
