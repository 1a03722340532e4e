//! The model: replicas, their disks, and the messages in flight.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Write};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use dunelink_replication::{
    Input, Member, Message, Output, Record, RecoveredState, Replica, ReplicaId, Settings,
};

use crate::checks::Checks;

mod prepared;

/// Duration of one time step, in microseconds. Heartbeats are one step apart; a vote is withheld for two
/// steps.
pub(crate) const TIME_STEP: u64 = 100_000;
/// Most messages in flight on one link. Further ones are lost.
const MAX_LINK_MESSAGES: usize = 8;
/// Most bytes of entries in a message. One command fits and two do not, so that logs grow entry by entry.
const MAX_APPEND_BYTES: usize = 64;

/// A message in flight: identity of the sender, identity of the receiver, message.
type Envelope = (ReplicaId, ReplicaId, Message);

/// An unsynced write: sequence number, records.
type UnsyncedWrite = (u64, Vec<Record>);

/// A machine: its replica, or `None` while it is down, and its disk.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) member: Member,
    is_initial_voter: bool,
    pub(crate) replica: Option<Replica>,
    synced: RecoveredState,
    unsynced_writes: VecDeque<UnsyncedWrite>,
    /// Time of the last input.
    pub(crate) last_input_at: u64,
    /// Commands applied since the last start, by index.
    pub(crate) applied: BTreeMap<u64, u64>,
}

/// A possible next event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Time advances by one step on all machines.
    Advance,
    /// A replica runs its timers.
    Tick(usize),
    /// A message arrives. `position` is its position in the queue of the link.
    Deliver { from: usize, to: usize, position: usize },
    /// The oldest message of a link arrives and stays in the queue.
    Duplicate { from: usize, to: usize },
    /// The oldest message of a link is lost.
    Lose { from: usize, to: usize },
    /// The oldest write of a machine is synced.
    Sync(usize),
    /// A leader receives a proposal.
    Propose(usize),
    /// A machine loses power, and with it its unsynced writes.
    Crash(usize),
    /// A stopped machine starts.
    Start(usize),
    /// A machine loses its disk and restarts with a new identity.
    Wipe(usize),
    /// The join request of a machine reaches the leader.
    Join { joiner: usize, leader: usize },
    /// The process is told to shut down.
    PrepareShutdown(usize),
}

/// A state of the model.
#[derive(Clone, Debug)]
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node>,
    /// Messages by sender and receiver, the oldest first.
    links: BTreeMap<(usize, usize), VecDeque<Envelope>>,
    pub(crate) checks: Checks,
    pub(crate) next_command: u64,
    next_seed: u64,
    /// Number of disks that may be lost, and number of disks lost so far.
    pub(crate) disk_losses: (u32, u32),
}

fn settings(voters: usize) -> Settings {
    Settings {
        heartbeat_interval: TIME_STEP,
        election_timeout_min: 2 * TIME_STEP,
        election_timeout_max: 5 * TIME_STEP,
        replace_voter_after: 3 * TIME_STEP,
        target_voters: voters,
        snapshot_every_entries: 4,
        keep_entries: 1,
        max_append_bytes: MAX_APPEND_BYTES,
        ..Settings::default()
    }
}

fn member(position: usize, generation: u64) -> Member {
    let address = |port| SocketAddr::from(([10, 0, 0, position as u8 + 1], port));
    Member {
        id: ReplicaId(position as u64 * 100 + generation),
        internal_address: address(7000),
        control_address: address(8000),
        zone: format!("z{position}"),
    }
}

impl World {
    /// A new group of `voters` initial voters, and `joiners` machines that want to join.
    pub(crate) fn new_group(voters: usize, joiners: usize) -> Self {
        let nodes = (0..voters + joiners).map(|position| Node {
            member: member(position, 1),
            is_initial_voter: position < voters,
            replica: None,
            synced: RecoveredState::default(),
            unsynced_writes: VecDeque::new(),
            last_input_at: 0,
            applied: BTreeMap::new(),
        });
        let mut world = Self {
            now: 10 * TIME_STEP,
            nodes: nodes.collect(),
            links: BTreeMap::new(),
            checks: Checks::default(),
            next_command: 1,
            next_seed: 1,
            disk_losses: (voters.saturating_sub(1) as u32 / 2, 0),
        };
        (0..voters + joiners).for_each(|position| world.start(position));
        world
    }

    /// The next event of a run without faults.
    pub(crate) fn next_fault_free_action(&self) -> Action {
        (0..self.nodes.len()).find_map(|position| self.due_action(position)).unwrap_or(Action::Advance)
    }

    /// All possible next events of a run without faults, except for the advance of time: synced writes,
    /// messages in order, timers.
    pub(crate) fn fault_free_actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.actions(&mut actions);
        actions.retain(|action| match action {
            Action::Sync(_) | Action::Tick(_) => true,
            Action::Deliver { to, position, .. } => *position == 0 && self.nodes[*to].replica.is_some(),
            _ => false,
        });
        actions
    }

    /// Whether the lease holder has replaced the voter at `position` and no joint change is under way.
    pub(crate) fn is_replaced(&self, position: usize) -> bool {
        let holder = self.leader().and_then(|leader| self.nodes[leader].replica.as_ref());
        holder.is_some_and(|replica| {
            let membership = replica.membership();
            membership.incoming_voters.is_none() && !membership.is_voter(self.nodes[position].member.id)
        })
    }

    /// Advances time by one step and carries out all due events in order, without faults.
    pub(crate) fn fault_free_step(&mut self) {
        self.apply(Action::Advance);
        for _ in 0..600 {
            match self.next_fault_free_action() {
                Action::Advance => break,
                action => self.apply(action),
            }
        }
    }

    /// The next due event of a machine in a run without faults.
    fn due_action(&self, position: usize) -> Option<Action> {
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        self.due_action_among(position, &all)
    }

    /// The same if only some machines are connected.
    fn due_action_among(&self, position: usize, positions: &[usize]) -> Option<Action> {
        let node = &self.nodes[position];
        let replica = node.replica.as_ref()?;
        if !node.unsynced_writes.is_empty() {
            return Some(Action::Sync(position));
        }
        let mut links = self.links.iter().filter(|((from, to), messages)| {
            *to == position && positions.contains(from) && !messages.is_empty()
        });
        if let Some(((from, to), _)) = links.next() {
            return Some(Action::Deliver { from: *from, to: *to, position: 0 });
        }
        if replica.next_deadline() <= self.now {
            return Some(Action::Tick(position));
        }
        None
    }

    /// The machine that holds the lease; `None` if there is none.
    pub(crate) fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|node| node.holds_lease(self.now))
    }

    /// Whether a machine knows no membership yet.
    fn wants_to_join(&self, position: usize) -> bool {
        self.nodes[position].replica.as_ref().is_some_and(|replica| replica.membership().is_empty())
    }

    /// All possible next events, in a fixed order.
    pub(crate) fn actions(&self, actions: &mut Vec<Action>) {
        actions.push(Action::Advance);
        for (position, node) in self.nodes.iter().enumerate() {
            let Some(replica) = &node.replica else {
                actions.push(Action::Start(position));
                continue;
            };
            if replica.next_deadline() <= self.now {
                actions.push(Action::Tick(position));
            }
            if !node.unsynced_writes.is_empty() {
                actions.push(Action::Sync(position));
            }
            if replica.is_leader() {
                actions.push(Action::Propose(position));
                actions.push(Action::PrepareShutdown(position));
                let joining = (0..self.nodes.len()).filter(|joiner| self.wants_to_join(*joiner));
                actions.extend(joining.map(|joiner| Action::Join { joiner, leader: position }));
            }
            actions.push(Action::Crash(position));
            if self.disk_losses.1 < self.disk_losses.0 {
                actions.push(Action::Wipe(position));
            }
        }
        for ((from, to), messages) in &self.links {
            let (from, to) = (*from, *to);
            if messages.is_empty() {
                continue;
            }
            actions.push(Action::Deliver { from, to, position: 0 });
            actions.push(Action::Lose { from, to });
            actions.push(Action::Duplicate { from, to });
            if messages.len() > 1 {
                actions.push(Action::Deliver { from, to, position: messages.len() - 1 });
            }
        }
    }

    /// Applies an event and checks the invariants.
    pub(crate) fn apply(&mut self, action: Action) {
        match action {
            Action::Advance => self.now += TIME_STEP,
            Action::Tick(position) => self.handle(position, Input::Tick),
            Action::Deliver { from, to, position } => {
                let message = self.links.get_mut(&(from, to)).and_then(|messages| messages.remove(position));
                self.deliver(to, message);
            }
            Action::Duplicate { from, to } => {
                let message = self.links.get(&(from, to)).and_then(|messages| messages.front().cloned());
                self.deliver(to, message);
            }
            Action::Lose { from, to } => {
                self.links.get_mut(&(from, to)).map(VecDeque::pop_front);
            }
            Action::Sync(position) => self.sync(position),
            Action::Propose(position) => {
                let command = self.next_command;
                self.next_command += 1;
                let bytes = command.to_le_bytes().to_vec();
                self.handle(position, Input::Propose { proposal_id: command, command: bytes });
            }
            Action::Crash(position) => self.crash(position),
            Action::Start(position) => self.start(position),
            Action::Wipe(position) => self.wipe(position),
            Action::Join { joiner, leader } => {
                let member = self.nodes[joiner].member.clone();
                self.handle(leader, Input::Join(member));
            }
            Action::PrepareShutdown(position) => self.handle(position, Input::PrepareShutdown),
        }
        self.checks.check_state(self.now, &self.nodes);
    }

    fn deliver(&mut self, to: usize, message: Option<Envelope>) {
        let Some((from, id, message)) = message else { return };
        if self.nodes[to].member.id == id {
            self.handle(to, Input::Received { from, message });
        }
    }

    fn sync(&mut self, position: usize) {
        let node = &mut self.nodes[position];
        let Some((sequence, records)) = node.unsynced_writes.pop_front() else { return };
        records.into_iter().for_each(|record| node.synced.replay(record));
        self.handle(position, Input::Written { sequence });
    }

    fn crash(&mut self, position: usize) {
        let node = &mut self.nodes[position];
        node.replica = None;
        node.unsynced_writes.clear();
        node.applied.clear();
    }

    fn start(&mut self, position: usize) {
        let voters = self.nodes.iter().filter(|node| node.is_initial_voter).count();
        let initial_voters: Vec<Member> = (0..voters).map(|position| member(position, 1)).collect();
        self.next_seed += 1;
        let (seed, now) = (self.next_seed, self.now);
        let node = &mut self.nodes[position];
        let initial_voters = (node.is_initial_voter && node.member.id == initial_voters[position].id)
            .then_some(initial_voters);
        let recovered = node.synced.clone();
        let replica =
            Replica::new(settings(voters), node.member.clone(), initial_voters, recovered, seed, now);
        node.replica = Some(replica);
        self.handle(position, Input::Tick);
    }

    fn wipe(&mut self, position: usize) {
        self.crash(position);
        self.disk_losses.1 += 1;
        self.reset_disk(position);
        self.start(position);
    }

    /// Gives a machine an empty disk and a new identity.
    fn reset_disk(&mut self, position: usize) {
        let node = &mut self.nodes[position];
        node.synced = RecoveredState::default();
        node.member.id = ReplicaId(node.member.id.0 + 1);
    }

    fn handle(&mut self, position: usize, input: Input) {
        let mut outputs = Vec::new();
        let now = self.now;
        let node = &mut self.nodes[position];
        node.last_input_at = now;
        if let Some(replica) = &mut node.replica {
            replica.handle(now, input, &mut outputs);
        }
        for output in outputs {
            self.handle_output(position, output);
        }
    }

    fn handle_output(&mut self, position: usize, output: Output) {
        match output {
            Output::Send { to, message } => self.send(position, &to, message),
            Output::Write { sequence, records } => {
                self.nodes[position].unsynced_writes.push_back((sequence, records))
            }
            Output::Apply { index, command } => {
                let command = u64::from_le_bytes(command.try_into().expect("eight bytes"));
                self.nodes[position].applied.insert(index, command);
                self.checks.on_applied(index, command);
            }
            Output::Restore { state, .. } => {
                let numbers: Vec<u64> = state
                    .chunks_exact(8)
                    .map(|bytes| u64::from_le_bytes(bytes.try_into().expect("eight bytes")))
                    .collect();
                let pairs = numbers.chunks_exact(2).map(|pair| (pair[0], pair[1]));
                self.nodes[position].applied = pairs.collect();
            }
            Output::ProposalResult { proposal_id, result } => {
                if let Ok(index) = result {
                    self.checks.on_acknowledged(index, proposal_id);
                }
            }
            Output::TakeSnapshot { index } => {
                let applied = &self.nodes[position].applied;
                let bytes = applied.iter().flat_map(|(index, command)| [*index, *command]);
                let state = bytes.flat_map(u64::to_le_bytes).collect();
                self.handle(position, Input::SnapshotTaken { index, state });
            }
            Output::RemovedFromGroup => {
                self.crash(position);
                self.reset_disk(position);
                self.start(position);
            }
            Output::LeaderChanged { .. } | Output::MembershipChanged(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: &Member, message: Message) {
        let Some(position) =
            self.nodes.iter().position(|node| node.member.internal_address == to.internal_address)
        else {
            return;
        };
        let id = self.nodes[from].member.id;
        let messages = self.links.entry((from, position)).or_default();
        if messages.len() < MAX_LINK_MESSAGES {
            messages.push_back((id, to.id, message));
        }
    }
}

impl Node {
    /// Last synced index; `None` if the disk holds no state of the group.
    pub(crate) fn synced_index(&self) -> Option<u64> {
        let snapshot = self.synced.snapshot.as_ref().map(|snapshot| snapshot.index);
        self.synced.entries.last().map(|entry| entry.index).max(snapshot)
    }

    pub(crate) fn holds_lease(&self, now: u64) -> bool {
        self.replica.as_ref().is_some_and(|replica| replica.holds_lease(now))
    }
}

/// Passes formatted text to a hasher without an intermediate string.
struct HashWriter<'a, H>(&'a mut H);

impl<H: Hasher> Write for HashWriter<'_, H> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // The debug output covers the whole state, including fields that are added later.
        write!(HashWriter(state), "{self:?}").expect("writing to a hasher cannot fail");
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}
