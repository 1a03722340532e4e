//! Long walks: events drawn with weights of their own for each walk, and a calm end after which the group has to work.

use std::collections::BTreeSet;

use fastrand::Rng;

use crate::world::{Action, STEP, World};

/// Events between two changes of what is likely and who is in touch.
const PHASE: usize = 60;
/// Weights of which each kind of event gets one.
const WEIGHTS: [u32; 5] = [0, 1, 4, 16, 64];
/// Steps of calm time after which a group whose machines are back has to work.
const CALM: usize = 60;

/// Where walks begin, and how long they are.
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) begin: fn() -> World,
    pub(crate) events: usize,
    /// Whether it begins shortly before something that is rare.
    pub(crate) is_short: bool,
    /// Events without faults at the beginning of every second walk.
    pub(crate) calm_events: usize,
    /// Whether the first machine and the last are out of touch with the others for half of the walk.
    pub(crate) is_parted: bool,
}

/// What walks got done.
#[derive(Clone, Debug, Default)]
pub(crate) struct Done {
    walks: u64,
    events: u64,
    acknowledged: usize,
    terms: usize,
    changes: usize,
    wipes: u32,
}

impl Done {
    pub(crate) fn add(&mut self, other: &Self) {
        self.walks += other.walks;
        self.events += other.events;
        self.acknowledged += other.acknowledged;
        self.terms += other.terms;
        self.changes += other.changes;
        self.wipes += other.wipes;
    }

    /// A model in which nothing happens shows nothing. Long walks begin with nothing and have to change voters too.
    pub(crate) fn assert_enough(&self, is_long: bool) {
        assert!(self.acknowledged as u64 > 2 * self.walks, "{self:?}");
        assert!(self.terms as u64 > self.walks, "{self:?}");
        assert!(!is_long || self.acknowledged as u64 > 10 * self.walks, "{self:?}");
        assert!(!is_long || self.changes as u64 > self.walks / 2, "{self:?}");
    }
}

/// Which kind of event an action is, and its weight in calm times.
fn kind(action: Action) -> (usize, u32) {
    match action {
        Action::Advance => (0, 4),
        Action::Tick(_) => (1, 16),
        Action::Deliver { place: 0, .. } => (2, 64),
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
/// Messages, writes, ticks and commands in any order, a little time, and no faults.
const CALM_WEIGHTS: [u32; KINDS] = [1, 16, 16, 4, 0, 0, 16, 4, 0, 0, 0, 4, 0];
/// Kinds that a walk may do without.
const DISPENSABLE: [usize; 6] = [3, 4, 5, 8, 10, 12];

/// Walks from a seed.
pub(crate) fn walk(scenario: Scenario, seed: u64) -> Done {
    let mut random = Rng::with_seed(seed);
    let mut world = (scenario.begin)();
    let mut actions = Vec::new();
    let mut weights = draw_weights(&mut random);
    let mut touch = Touch::all();
    let leader = world.leader();
    for event in 0..scenario.events {
        if event % PHASE == 0 {
            // Every second short walk begins without faults, and with hardly any time.
            let is_calm = event < scenario.calm_events && seed.is_multiple_of(2);
            weights = if is_calm { CALM_WEIGHTS } else { draw_weights(&mut random) };
            touch = match leader.filter(|_| scenario.is_parted && event < scenario.events / 2) {
                Some(leader) => Touch::parted(&[leader, world.nodes.len() - 1], world.nodes.len()),
                None if is_calm => Touch::all(),
                None => Touch::draw(&mut random, world.nodes.len()),
            };
        }
        actions.clear();
        world.actions(&mut actions);
        actions.retain(|action| touch.allows(*action));
        let weight = |action: &Action| weights[kind(*action).0] * if is_fault(*action) { 1 } else { 8 };
        let total: u32 = actions.iter().map(weight).sum();
        let mut drawn = random.u32(..total.max(1));
        let chosen = actions.iter().find(|action| {
            let own = weight(action);
            let is_it = drawn < own;
            drawn = drawn.saturating_sub(own);
            is_it
        });
        world.apply(chosen.copied().unwrap_or(Action::Advance));
    }
    end_calmly(&mut world);
    Done {
        walks: 1,
        events: scenario.events as u64,
        acknowledged: world.checks.acknowledgements(),
        terms: world.checks.terms(),
        changes: world.checks.changes(),
        wipes: world.wipes.1,
    }
}

/// Who is in touch with whom for a while. What is sent meanwhile stays on its way.
struct Touch {
    held: BTreeSet<(usize, usize)>,
    frozen: BTreeSet<usize>,
}

impl Touch {
    fn all() -> Self {
        Self { held: BTreeSet::new(), frozen: BTreeSet::new() }
    }

    /// Some are out of touch with the others.
    fn parted(side: &[usize], nodes: usize) -> Self {
        let mut touch = Self::all();
        let pairs = (0..nodes).flat_map(|from| (0..nodes).map(move |to| (from, to)));
        touch.held.extend(pairs.filter(|(from, to)| side.contains(from) != side.contains(to)));
        touch
    }

    fn draw(random: &mut Rng, nodes: usize) -> Self {
        let mut touch = Self::all();
        let pairs = || (0..nodes).flat_map(|from| (0..nodes).map(move |to| (from, to)));
        match random.u32(..6) {
            0 | 1 => {
                let sides: Vec<bool> = (0..nodes).map(|_| random.bool()).collect();
                touch.held.extend(pairs().filter(|(from, to)| sides[*from] != sides[*to]));
            }
            2 => touch.held.extend(pairs().filter(|_| random.u32(..3) == 0)),
            3 => {
                touch.frozen.insert(random.usize(..nodes));
            }
            _ => {}
        }
        touch
    }

    fn allows(&self, action: Action) -> bool {
        match action {
            Action::Deliver { from, to, .. } | Action::Duplicate { from, to } | Action::Lose { from, to } => {
                !self.held.contains(&(from, to)) && !self.frozen.contains(&to)
            }
            Action::Tick(place) | Action::Sync(place) | Action::Propose(place) => {
                !self.frozen.contains(&place)
            }
            Action::Join { who, leader } => !self.held.contains(&(who, leader)),
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
        let least = usize::from(!DISPENSABLE.contains(&kind));
        *weight = WEIGHTS[random.usize(least..WEIGHTS.len())];
    }
    weights
}

/// All machines are back and nothing is lost any more: a leader is found, commits, and all come to hold the same.
pub(crate) fn end_calmly(world: &mut World) {
    end_calmly_without(world, None);
}

/// The same where one machine is gone for good.
pub(crate) fn end_calmly_without(world: &mut World, gone: Option<usize>) {
    // Those that were told to end have ended.
    for place in 0..world.nodes.len() {
        world.apply(Action::Crash(place));
        if gone != Some(place) {
            world.apply(Action::Start(place));
        }
    }
    let wanted = world.next_command;
    let before = world.checks.acknowledgements();
    for step in 0..CALM {
        world.calm_step();
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
    let proposed = world.next_command - wanted;
    let acknowledged = (world.checks.acknowledgements() - before) as u64;
    assert!(
        proposed > 2 && acknowledged + 2 >= proposed,
        "{acknowledged} of {proposed} acknowledged in calm times"
    );
    let leader = world.leader().expect("a leader in calm times");
    let membership = world.nodes[leader].replica.as_ref().expect("it runs").membership().clone();
    assert!(
        membership.incoming_voters.is_none(),
        "a change of voters is under way after {CALM} steps of {STEP} us"
    );
}
