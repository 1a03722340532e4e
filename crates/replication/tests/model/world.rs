//! The model: replicas, their disks, and the messages on their way.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Write};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use dunelink_replication::{
    Input, Member, Message, Output, Record, RecoveredState, Replica, ReplicaId, Settings,
};

use crate::checks::Checks;

mod prepared;

/// What time advances by. Heartbeats are one step apart, a promise lasts for two.
pub(crate) const STEP: u64 = 100_000;
/// Messages on their way from one replica to another, at most: more are lost.
const LINK_MOST: usize = 8;
/// Bytes of a message with entries: one command fits, two don't, so that logs grow entry by entry.
const APPEND_MOST: usize = 64;

/// A message with the identities of its sender and its receiver.
type Envelope = (ReplicaId, ReplicaId, Message);

/// A write that is not synced yet.
type Pending = (u64, Vec<Record>);

/// One machine: a replica, or none while it is down, and its disk.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) member: Member,
    founder: bool,
    pub(crate) replica: Option<Replica>,
    synced: RecoveredState,
    pending: VecDeque<Pending>,
    /// When it did anything last.
    pub(crate) acted_at: u64,
    /// Commands applied since the start, by index.
    pub(crate) applied: BTreeMap<u64, u64>,
}

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Time goes on for all.
    Advance,
    /// A replica looks at the clock.
    Tick(usize),
    /// A message arrives: the place in the queue from one replica to another.
    Deliver { from: usize, to: usize, place: usize },
    /// The oldest message from one replica to another arrives and stays on its way.
    Duplicate { from: usize, to: usize },
    /// The oldest message is lost.
    Lose { from: usize, to: usize },
    /// The oldest write is synced.
    Sync(usize),
    /// A leader gets a command.
    Propose(usize),
    /// The power is lost, with what was not synced.
    Crash(usize),
    /// It comes back.
    Start(usize),
    /// The disk is lost too: it comes back as another identity.
    Wipe(usize),
    /// One that wants to join reaches the leader.
    Join { who: usize, leader: usize },
    /// The process is told to end.
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
    /// Most disks that may be lost, and that were.
    pub(crate) wipes: (u32, u32),
}

fn settings(voters: usize) -> Settings {
    Settings {
        heartbeat_interval: STEP,
        election_timeout_min: 2 * STEP,
        election_timeout_max: 5 * STEP,
        replace_voter_after: 3 * STEP,
        target_voters: voters,
        snapshot_every_entries: 4,
        keep_entries: 1,
        max_append_bytes: APPEND_MOST,
        ..Settings::default()
    }
}

fn member(place: usize, generation: u64) -> Member {
    let address = |port| SocketAddr::from(([10, 0, 0, place as u8 + 1], port));
    Member {
        id: ReplicaId(place as u64 * 100 + generation),
        internal_address: address(7000),
        control_address: address(8000),
        zone: format!("z{place}"),
    }
}

impl World {
    /// A group of so many voters that was just founded, and machines beside it that want to join.
    pub(crate) fn founded(voters: usize, spares: usize) -> Self {
        let nodes = (0..voters + spares).map(|place| Node {
            member: member(place, 1),
            founder: place < voters,
            replica: None,
            synced: RecoveredState::default(),
            pending: VecDeque::new(),
            acted_at: 0,
            applied: BTreeMap::new(),
        });
        let mut world = Self {
            now: 10 * STEP,
            nodes: nodes.collect(),
            links: BTreeMap::new(),
            checks: Checks::default(),
            next_command: 1,
            next_seed: 1,
            wipes: (voters.saturating_sub(1) as u32 / 2, 0),
        };
        (0..voters + spares).for_each(|place| world.start(place));
        world
    }

    /// What happens next in calm times.
    pub(crate) fn next_calm_action(&self) -> Action {
        (0..self.nodes.len()).find_map(|place| self.due(place)).unwrap_or(Action::Advance)
    }

    /// What may happen next in calm times but for the time that goes on: writes, messages in their order, clocks.
    pub(crate) fn calm_actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.actions(&mut actions);
        actions.retain(|action| match action {
            Action::Sync(_) | Action::Tick(_) => true,
            Action::Deliver { to, place, .. } => *place == 0 && self.nodes[*to].replica.is_some(),
            _ => false,
        });
        actions
    }

    /// Whether the holder of the lease has exchanged the voter at a place, and nothing of that is under way.
    pub(crate) fn is_replaced(&self, place: usize) -> bool {
        let holder = self.leader().and_then(|leader| self.nodes[leader].replica.as_ref());
        holder.is_some_and(|replica| {
            let membership = replica.membership();
            membership.incoming_voters.is_none() && !membership.is_voter(self.nodes[place].member.id)
        })
    }

    /// Time goes on by a step, and all that is due happens in order.
    pub(crate) fn calm_step(&mut self) {
        self.apply(Action::Advance);
        for _ in 0..600 {
            match self.next_calm_action() {
                Action::Advance => break,
                action => self.apply(action),
            }
        }
    }

    /// What is due at a machine in calm times.
    fn due(&self, place: usize) -> Option<Action> {
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        self.due_among(place, &all)
    }

    /// The same where only some machines are in touch.
    fn due_among(&self, place: usize, places: &[usize]) -> Option<Action> {
        let node = &self.nodes[place];
        let replica = node.replica.as_ref()?;
        if !node.pending.is_empty() {
            return Some(Action::Sync(place));
        }
        let mut links = self
            .links
            .iter()
            .filter(|((from, to), messages)| *to == place && places.contains(from) && !messages.is_empty());
        if let Some(((from, to), _)) = links.next() {
            return Some(Action::Deliver { from: *from, to: *to, place: 0 });
        }
        if replica.next_deadline() <= self.now {
            return Some(Action::Tick(place));
        }
        None
    }

    /// The machine that holds the lease.
    pub(crate) fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|node| node.holds_lease(self.now))
    }

    /// Whether a machine is no member as far as the holder of the lease knows.
    fn wants_to_join(&self, place: usize) -> bool {
        self.nodes[place].replica.as_ref().is_some_and(|replica| replica.membership().is_empty())
    }

    /// All that may happen now, in a fixed order.
    pub(crate) fn actions(&self, actions: &mut Vec<Action>) {
        actions.push(Action::Advance);
        for (place, node) in self.nodes.iter().enumerate() {
            let Some(replica) = &node.replica else {
                actions.push(Action::Start(place));
                continue;
            };
            if replica.next_deadline() <= self.now {
                actions.push(Action::Tick(place));
            }
            if !node.pending.is_empty() {
                actions.push(Action::Sync(place));
            }
            if replica.is_leader() {
                actions.push(Action::Propose(place));
                actions.push(Action::PrepareShutdown(place));
                let joining = (0..self.nodes.len()).filter(|who| self.wants_to_join(*who));
                actions.extend(joining.map(|who| Action::Join { who, leader: place }));
            }
            actions.push(Action::Crash(place));
            if self.wipes.1 < self.wipes.0 {
                actions.push(Action::Wipe(place));
            }
        }
        for ((from, to), messages) in &self.links {
            let (from, to) = (*from, *to);
            if messages.is_empty() {
                continue;
            }
            actions.push(Action::Deliver { from, to, place: 0 });
            actions.push(Action::Lose { from, to });
            actions.push(Action::Duplicate { from, to });
            if messages.len() > 1 {
                actions.push(Action::Deliver { from, to, place: messages.len() - 1 });
            }
        }
    }

    /// Lets something happen, and checks what must hold.
    pub(crate) fn apply(&mut self, action: Action) {
        match action {
            Action::Advance => self.now += STEP,
            Action::Tick(place) => self.handle(place, Input::Tick),
            Action::Deliver { from, to, place } => {
                let message = self.links.get_mut(&(from, to)).and_then(|messages| messages.remove(place));
                self.deliver(to, message);
            }
            Action::Duplicate { from, to } => {
                let message = self.links.get(&(from, to)).and_then(|messages| messages.front().cloned());
                self.deliver(to, message);
            }
            Action::Lose { from, to } => {
                self.links.get_mut(&(from, to)).map(VecDeque::pop_front);
            }
            Action::Sync(place) => self.sync(place),
            Action::Propose(place) => {
                let command = self.next_command;
                self.next_command += 1;
                let bytes = command.to_le_bytes().to_vec();
                self.handle(place, Input::Propose { proposal_id: command, command: bytes });
            }
            Action::Crash(place) => self.crash(place),
            Action::Start(place) => self.start(place),
            Action::Wipe(place) => self.wipe(place),
            Action::Join { who, leader } => {
                let member = self.nodes[who].member.clone();
                self.handle(leader, Input::Join(member));
            }
            Action::PrepareShutdown(place) => self.handle(place, Input::PrepareShutdown),
        }
        self.checks.state(self.now, &self.nodes);
    }

    fn deliver(&mut self, to: usize, message: Option<Envelope>) {
        let Some((from, id, message)) = message else { return };
        if self.nodes[to].member.id == id {
            self.handle(to, Input::Received { from, message });
        }
    }

    fn sync(&mut self, place: usize) {
        let node = &mut self.nodes[place];
        let Some((sequence, records)) = node.pending.pop_front() else { return };
        records.into_iter().for_each(|record| node.synced.replay(record));
        self.handle(place, Input::Written { sequence });
    }

    fn crash(&mut self, place: usize) {
        let node = &mut self.nodes[place];
        node.replica = None;
        node.pending.clear();
        node.applied.clear();
    }

    fn start(&mut self, place: usize) {
        let voters = self.nodes.iter().filter(|node| node.founder).count();
        let founders: Vec<Member> = (0..voters).map(|place| member(place, 1)).collect();
        self.next_seed += 1;
        let (seed, now) = (self.next_seed, self.now);
        let node = &mut self.nodes[place];
        let founding = (node.founder && node.member.id == founders[place].id).then_some(founders);
        let recovered = node.synced.clone();
        let replica = Replica::new(settings(voters), node.member.clone(), founding, recovered, seed, now);
        node.replica = Some(replica);
        self.handle(place, Input::Tick);
    }

    fn wipe(&mut self, place: usize) {
        self.crash(place);
        self.wipes.1 += 1;
        self.begin_again(place);
        self.start(place);
    }

    /// An empty disk and another identity.
    fn begin_again(&mut self, place: usize) {
        let node = &mut self.nodes[place];
        node.synced = RecoveredState::default();
        node.member.id = ReplicaId(node.member.id.0 + 1);
    }

    fn handle(&mut self, place: usize, input: Input) {
        let mut outputs = Vec::new();
        let now = self.now;
        let node = &mut self.nodes[place];
        node.acted_at = now;
        if let Some(replica) = &mut node.replica {
            replica.handle(now, input, &mut outputs);
        }
        for output in outputs {
            self.carry_out(place, output);
        }
    }

    fn carry_out(&mut self, place: usize, output: Output) {
        match output {
            Output::Send { to, message } => self.send(place, &to, message),
            Output::Write { sequence, records } => self.nodes[place].pending.push_back((sequence, records)),
            Output::Apply { index, command } => {
                let command = u64::from_le_bytes(command.try_into().expect("eight bytes"));
                self.nodes[place].applied.insert(index, command);
                self.checks.applied(index, command);
            }
            Output::Restore { state, .. } => {
                let numbers: Vec<u64> = state
                    .chunks_exact(8)
                    .map(|bytes| u64::from_le_bytes(bytes.try_into().expect("eight bytes")))
                    .collect();
                let pairs = numbers.chunks_exact(2).map(|pair| (pair[0], pair[1]));
                self.nodes[place].applied = pairs.collect();
            }
            Output::ProposalResult { proposal_id, result } => {
                if let Ok(index) = result {
                    self.checks.acknowledged(index, proposal_id);
                }
            }
            Output::TakeSnapshot { index } => {
                let applied = &self.nodes[place].applied;
                let bytes = applied.iter().flat_map(|(index, command)| [*index, *command]);
                let state = bytes.flat_map(u64::to_le_bytes).collect();
                self.handle(place, Input::SnapshotTaken { index, state });
            }
            Output::RemovedFromGroup => {
                self.crash(place);
                self.begin_again(place);
                self.start(place);
            }
            Output::LeaderChanged { .. } | Output::MembershipChanged(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: &Member, message: Message) {
        let Some(place) =
            self.nodes.iter().position(|node| node.member.internal_address == to.internal_address)
        else {
            return;
        };
        let id = self.nodes[from].member.id;
        let messages = self.links.entry((from, place)).or_default();
        if messages.len() < LINK_MOST {
            messages.push_back((id, to.id, message));
        }
    }
}

impl Node {
    /// The last index that its disk holds; nothing if it holds no state of the group.
    pub(crate) fn synced_index(&self) -> Option<u64> {
        let snapshot = self.synced.snapshot.as_ref().map(|snapshot| snapshot.index);
        self.synced.entries.last().map(|entry| entry.index).max(snapshot)
    }

    pub(crate) fn holds_lease(&self, now: u64) -> bool {
        self.replica.as_ref().is_some_and(|replica| replica.holds_lease(now))
    }
}

/// Feeds what is written to a hasher, without a string between.
struct HashWriter<'a, H>(&'a mut H);

impl<H: Hasher> Write for HashWriter<'_, H> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // The whole state as it is printed: nothing of it is left out when a field is added.
        write!(HashWriter(state), "{self:?}").expect("a hasher takes everything");
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}
