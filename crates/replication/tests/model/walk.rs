//! Random walks: events are drawn with weights that vary by walk and phase. A fault-free end follows, in
//! which the group must recover.

use std::collections::BTreeSet;

use fastrand::Rng;

use crate::world::{Action, TIME_STEP, World};

/// Number of events between two changes of the event weights and the connectivity.
const EVENTS_PER_PHASE: usize = 60;
/// Weights from which that of each kind of event is drawn.
const WEIGHT_CHOICES: [u32; 5] = [0, 1, 4, 16, 64];
/// Number of fault-free steps in which a group whose machines are back must recover.
const FAULT_FREE_STEPS: usize = 60;

/// Initial state, length and faults of a set of walks.
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) initial_world: fn() -> World,
    pub(crate) events: usize,
    /// Whether it starts shortly before a rare situation.
    pub(crate) is_short: bool,
    /// Number of fault-free events at the start of every second walk.
    pub(crate) fault_free_events: usize,
    /// Whether the leader and the last machine are partitioned from the others for the first half of the
    /// walk.
    pub(crate) is_partitioned: bool,
}

/// Total progress of a set of walks.
#[derive(Clone, Debug, Default)]
pub(crate) struct WalkTotals {
    walks: u64,
    events: u64,
    acknowledged: usize,
    terms: usize,
    voter_changes: usize,
    disk_losses: u32,
}

impl WalkTotals {
    pub(crate) fn add(&mut self, other: &Self) {
        self.walks += other.walks;
        self.events += other.events;
        self.acknowledged += other.acknowledged;
        self.terms += other.terms;
        self.voter_changes += other.voter_changes;
        self.disk_losses += other.disk_losses;
    }

    /// Asserts a minimum of progress, since a model in which nothing happens proves nothing. Long walks must
    /// also change voters.
    pub(crate) fn assert_enough(&self, is_long: bool) {
        assert!(self.acknowledged as u64 > 2 * self.walks, "{self:?}");
        assert!(self.terms as u64 > self.walks, "{self:?}");
        assert!(!is_long || self.acknowledged as u64 > 10 * self.walks, "{self:?}");
        assert!(!is_long || self.voter_changes as u64 > self.walks / 2, "{self:?}");
    }
}

/// The kind of an action, and a weight.
fn action_kind(action: Action) -> (usize, u32) {
    match action {
        Action::Advance => (0, 4),
        Action::Tick(_) => (1, 16),
        Action::Deliver { position: 0, .. } => (2, 64),
        Action::Deliver { .. } => (3, 1),
        Action::Duplicate { .. } => (4, 1),
        Action::Lose { .. } => (5, 1),
        Action::Sync(_) => (6, 64),
        Action::Propose(_) => (7, 4),
        Action::Crash(_) => (8, 1),
        Action::Start(_) => (9, 4),
        Action::Wipe(_) => (10, 1),
        Action::Join { .. } => (11, 4),
        Action::PrepareShutdown(_) => (12, 1),
    }
}

const KINDS: usize = 13;
/// Weights of a phase without faults: messages, writes, ticks and proposals in any order, and little time.
const FAULT_FREE_WEIGHTS: [u32; KINDS] = [1, 16, 16, 4, 0, 0, 16, 4, 0, 0, 0, 4, 0];
/// Kinds of events whose weight may be zero.
const OPTIONAL_KINDS: [usize; 6] = [3, 4, 5, 8, 10, 12];

/// Runs one walk from a seed.
pub(crate) fn walk(scenario: Scenario, seed: u64) -> WalkTotals {
    let mut random = Rng::with_seed(seed);
    let mut world = (scenario.initial_world)();
    let mut actions = Vec::new();
    let mut weights = draw_weights(&mut random);
    let mut connectivity = Connectivity::all();
    let leader = world.leader();
    for event in 0..scenario.events {
        if event % EVENTS_PER_PHASE == 0 {
            // Every second short walk starts without faults, and with little time.
            let is_fault_free = event < scenario.fault_free_events && seed.is_multiple_of(2);
            weights = if is_fault_free { FAULT_FREE_WEIGHTS } else { draw_weights(&mut random) };
            connectivity = match leader.filter(|_| scenario.is_partitioned && event < scenario.events / 2) {
                Some(leader) => {
                    Connectivity::partitioned(&[leader, world.nodes.len() - 1], world.nodes.len())
                }
                None if is_fault_free => Connectivity::all(),
                None => Connectivity::draw(&mut random, world.nodes.len()),
            };
        }
        actions.clear();
        world.actions(&mut actions);
        actions.retain(|action| connectivity.allows(*action));
        let weight =
            |action: &Action| weights[action_kind(*action).0] * if is_fault(*action) { 1 } else { 8 };
        let total: u32 = actions.iter().map(weight).sum();
        let mut drawn = random.u32(..total.max(1));
        let chosen = actions.iter().find(|action| {
            let own_weight = weight(action);
            let is_chosen = drawn < own_weight;
            drawn = drawn.saturating_sub(own_weight);
            is_chosen
        });
        world.apply(chosen.copied().unwrap_or(Action::Advance));
    }
    assert_group_recovers(&mut world);
    WalkTotals {
        walks: 1,
        events: scenario.events as u64,
        acknowledged: world.checks.acknowledgements(),
        terms: world.checks.terms(),
        voter_changes: world.checks.voter_changes(),
        disk_losses: world.disk_losses.1,
    }
}

/// Connectivity of the machines during a phase. Messages on a blocked link stay in flight.
struct Connectivity {
    blocked_links: BTreeSet<(usize, usize)>,
    paused: BTreeSet<usize>,
}

impl Connectivity {
    fn all() -> Self {
        Self { blocked_links: BTreeSet::new(), paused: BTreeSet::new() }
    }

    /// One side is partitioned from the other machines.
    fn partitioned(side: &[usize], nodes: usize) -> Self {
        let mut connectivity = Self::all();
        let pairs = (0..nodes).flat_map(|from| (0..nodes).map(move |to| (from, to)));
        connectivity
            .blocked_links
            .extend(pairs.filter(|(from, to)| side.contains(from) != side.contains(to)));
        connectivity
    }

    fn draw(random: &mut Rng, nodes: usize) -> Self {
        let mut connectivity = Self::all();
        let pairs = || (0..nodes).flat_map(|from| (0..nodes).map(move |to| (from, to)));
        match random.u32(..6) {
            0 | 1 => {
                let sides: Vec<bool> = (0..nodes).map(|_| random.bool()).collect();
                connectivity.blocked_links.extend(pairs().filter(|(from, to)| sides[*from] != sides[*to]));
            }
            2 => connectivity.blocked_links.extend(pairs().filter(|_| random.u32(..3) == 0)),
            3 => {
                connectivity.paused.insert(random.usize(..nodes));
            }
            _ => {}
        }
        connectivity
    }

    fn allows(&self, action: Action) -> bool {
        match action {
            Action::Deliver { from, to, .. } | Action::Duplicate { from, to } | Action::Lose { from, to } => {
                !self.blocked_links.contains(&(from, to)) && !self.paused.contains(&to)
            }
            Action::Tick(position) | Action::Sync(position) | Action::Propose(position) => {
                !self.paused.contains(&position)
            }
            Action::Join { joiner, leader } => !self.blocked_links.contains(&(joiner, leader)),
            _ => true,
        }
    }
}

fn is_fault(action: Action) -> bool {
    matches!(action, Action::Crash(_) | Action::Wipe(_) | Action::PrepareShutdown(_))
}

fn draw_weights(random: &mut Rng) -> [u32; KINDS] {
    let mut weights = [0; KINDS];
    for (kind, weight) in weights.iter_mut().enumerate() {
        let first_choice = usize::from(!OPTIONAL_KINDS.contains(&kind));
        *weight = WEIGHT_CHOICES[random.usize(first_choice..WEIGHT_CHOICES.len())];
    }
    weights
}

/// Restarts all machines and runs without faults: the group must elect a leader and commit, without a pending
/// change.
pub(crate) fn assert_group_recovers(world: &mut World) {
    assert_group_recovers_without(world, None);
}

/// The same with one machine gone permanently.
pub(crate) fn assert_group_recovers_without(world: &mut World, removed: Option<usize>) {
    // All processes stop, including those that were told to shut down.
    for position in 0..world.nodes.len() {
        world.apply(Action::Crash(position));
        if removed != Some(position) {
            world.apply(Action::Start(position));
        }
    }
    let first_command = world.next_command;
    let before = world.checks.acknowledgements();
    for step in 0..FAULT_FREE_STEPS {
        world.fault_free_step();
        let Some(leader) = world.leader() else { continue };
        let mut actions = Vec::new();
        world.actions(&mut actions);
        let join = actions
            .into_iter()
            .find(|action| matches!(action, Action::Join { leader: at, .. } if *at == leader));
        join.into_iter().for_each(|join| world.apply(join));
        if step % 4 == 0 {
            world.apply(Action::Propose(leader));
        }
    }
    let proposed = world.next_command - first_command;
    let acknowledged = (world.checks.acknowledgements() - before) as u64;
    assert!(
        proposed > 2 && acknowledged + 2 >= proposed,
        "{acknowledged} of {proposed} proposals acknowledged without faults"
    );
    let leader = world.leader().expect("a leader without faults");
    let membership =
        world.nodes[leader].replica.as_ref().expect("the leader is running").membership().clone();
    assert!(
        membership.incoming_voters.is_none(),
        "a change of voters is still under way after {FAULT_FREE_STEPS} steps of {TIME_STEP} us"
    );
}
