//! Every order of events of a small fleet that decides views: messages lost, doubled and overtaking, processes that
//! start again from nothing. The crate's own state machine is what runs.

use std::collections::{BTreeMap, BTreeSet};

use dunelink_view::{Change, ElectorNames, Message, Name, Process, Register, View};
use stateright::{Checker, Model, Property};

/// What is done wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mistake {
    None,
    /// A process that starts again is taken for the one before.
    SameInstance,
    /// A promise is given and not kept.
    PromiseForgotten,
    /// A view is accepted and not kept.
    AcceptForgotten,
    /// What was accepted is not told with a promise.
    AcceptedNotTold,
    /// All that was accepted is said to be decided.
    TakenForDecided,
    /// A change of electors asks the new ones alone.
    NotJoint,
    /// A process that is admitted counts as if it had accepted that.
    UnknownToNewcomer,
    /// One node is configured with other names than the rest.
    OtherNames,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    processes: Vec<Register>,
    instances: Vec<u64>,
    /// What each asks all others in the ballot that it has under way.
    asks: Vec<Option<Message>>,
    /// What may come late, or once more, to anyone: views to accept, and decided ones.
    late: BTreeSet<(Process, Sent)>,
    decided: BTreeSet<Told>,
    restarts: u8,
    tries: u8,
}

/// Orders what has no order of its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sent(Message);
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Told(View);

macro_rules! ordered {
    ($kind:ty) => {
        impl PartialOrd for $kind {
            fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
                Some(self.cmp(other))
            }
        }
        impl Ord for $kind {
            fn cmp(&self, other: &Self) -> std::cmp::Ordering {
                format!("{self:?}").cmp(&format!("{other:?}"))
            }
        }
    };
}
ordered!(Sent);
ordered!(Told);

#[derive(Clone, Debug, PartialEq)]
enum Act {
    Restart(usize),
    Try(usize, Change),
    /// What a process asks comes to some, by a bit for each name, and their answers come back. That an answer alone gets
    /// lost is what `Late` does.
    Ask(usize, u8),
    Late(Process, Message, usize),
}

struct Fleet {
    mistake: Mistake,
    restarts: u8,
    tries: u8,
}

const NAMES: [Name; 3] = [1, 2, 3];

fn names() -> ElectorNames {
    ElectorNames::new(NAMES)
}

impl Fleet {
    fn names_of(&self, at: usize) -> ElectorNames {
        match self.mistake == Mistake::OtherNames && at == 0 {
            true => ElectorNames::new([1]),
            false => names(),
        }
    }

    /// What a process says, with the mistake that is made.
    fn slip(&self, message: &mut Message) {
        match (self.mistake, message) {
            (Mistake::AcceptedNotTold, Message::Promise(_, accepted)) => *accepted = None,
            (Mistake::TakenForDecided, Message::Promise(_, Some(accepted))) => accepted.decided = true,
            (Mistake::NotJoint, Message::Accept(_, view)) => view.previous_electors = view.electors.clone(),
            _ => {}
        }
    }

    /// Delivers a message, and takes down what is asked and decided by it; tells the answers.
    fn deliver(&self, state: &mut State, from: Process, message: Message, at: usize) -> Vec<Message> {
        let before = state.processes[at].clone();
        let mut out = Vec::new();
        let decided = state.processes[at].handle(from, message.clone(), &mut out);
        let forgets = match message {
            Message::Prepare(_) => self.mistake == Mistake::PromiseForgotten,
            Message::Accept(..) => self.mistake == Mistake::AcceptForgotten,
            _ => false,
        };
        if forgets {
            state.processes[at] = before;
        }
        state.decided.extend(decided.map(Told));
        self.said(state, at, out)
    }

    fn said(&self, state: &mut State, at: usize, out: Vec<(Name, Message)>) -> Vec<Message> {
        let me = Process { name: NAMES[at], instance: state.instances[at] };
        let mut answers = Vec::new();
        for (_, mut message) in out {
            self.slip(&mut message);
            match &message {
                Message::Prepare(_) => state.asks[at] = Some(message),
                Message::Accept(..) => {
                    state.asks[at] = Some(message.clone());
                    state.late.insert((me, Sent(message)));
                }
                Message::Decided(..) => drop(state.late.insert((me, Sent(message.clone())))),
                _ => answers.push(message),
            }
        }
        if !state.processes[at].is_proposing() {
            state.asks[at] = None;
        }
        answers
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let process = |(at, name): (usize, &Name)| {
            let mut register = Register::new(Process { name: *name, instance: 1 }, self.names_of(at));
            register.allow_founding();
            register
        };
        vec![State {
            processes: NAMES.iter().enumerate().map(process).collect(),
            instances: vec![1; NAMES.len()],
            asks: vec![None; NAMES.len()],
            late: BTreeSet::new(),
            decided: BTreeSet::new(),
            restarts: 0,
            tries: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Act>) {
        for (from, message) in &state.late {
            actions.extend((0..NAMES.len()).map(|at| Act::Late(*from, message.0.clone(), at)));
        }
        for at in (0..NAMES.len()).filter(|at| state.asks[*at].is_some()) {
            actions.extend((1..8).map(|some| Act::Ask(at, some)));
        }
        if state.restarts < self.restarts {
            actions.extend((0..NAMES.len()).map(Act::Restart));
        }
        if state.tries < self.tries {
            for at in 0..NAMES.len() {
                // Each tries to have all that run now admitted, and leaves a mark of its own.
                let known = state.processes[at].view().map(|view| view.electors.clone()).unwrap_or_default();
                let missing = (0..NAMES.len())
                    .find(|other| known.get(&NAMES[*other]) != Some(&state.instances[*other]));
                let change = match missing {
                    Some(other) if !known.is_empty() => {
                        Change::Admit(Process { name: NAMES[other], instance: state.instances[other] })
                    }
                    _ => Change::Set(format!("by {at} in try {}", state.tries), String::new()),
                };
                actions.push(Act::Try(at, change));
            }
        }
    }

    fn next_state(&self, state: &State, action: Act) -> Option<State> {
        let mut next = state.clone();
        let process = |state: &State, at: usize| Process { name: NAMES[at], instance: state.instances[at] };
        match action {
            Act::Ask(at, some) => {
                let me = process(&next, at);
                let message = next.asks[at].clone()?;
                let mut answers = Vec::new();
                // Whom it reaches, it knows.
                for other in (0..NAMES.len()).filter(|other| some & 1 << other != 0) {
                    let runs = process(&next, other);
                    next.processes[at].set_running(runs);
                }
                for other in (0..NAMES.len()).filter(|other| some & 1 << other != 0) {
                    let said = self.deliver(&mut next, me, message.clone(), other);
                    let from = process(&next, other);
                    answers.extend(said.into_iter().map(|answer| (from, answer)));
                }
                if let (Mistake::UnknownToNewcomer, Message::Accept(ballot, view)) = (self.mistake, &message)
                {
                    let new = view
                        .electors
                        .iter()
                        .filter(|(name, instance)| view.previous_electors.get(name) != Some(instance));
                    let process =
                        |(name, instance): (&Name, &u64)| Process { name: *name, instance: *instance };
                    answers.extend(new.map(process).map(|process| (process, Message::Accepts(*ballot))));
                }
                for (from, answer) in answers {
                    self.deliver(&mut next, from, answer, at);
                }
            }
            Act::Late(from, message, at) => drop(self.deliver(&mut next, from, message, at)),
            Act::Restart(at) => {
                next.restarts += 1;
                if self.mistake != Mistake::SameInstance {
                    next.instances[at] += 1;
                }
                next.processes[at] = Register::new(process(&next, at), self.names_of(at));
                // As long as leases last, it could not found; any other order is one in which it is not asked.
                next.processes[at].allow_founding();
                next.asks[at] = None;
            }
            Act::Try(at, change) => {
                next.tries += 1;
                let mut out = Vec::new();
                next.processes[at].propose(Some(change), &mut out);
                self.said(&mut next, at, out);
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one view an epoch", |_: &Fleet, state: &State| {
                let mut known = BTreeMap::new();
                state.decided.iter().all(|Told(view)| {
                    let first = known.entry((view.generation, view.epoch)).or_insert(view);
                    *first == view
                })
            }),
            Property::always("nothing decided is lost", |_: &Fleet, state: &State| {
                state.decided.iter().all(|Told(later)| {
                    let before =
                        |Told(view): &&Told| view.generation == later.generation && view.epoch <= later.epoch;
                    let kept = |Told(view): &Told| view.facts.keys().all(|key| later.facts.contains_key(key));
                    state.decided.iter().filter(before).all(kept)
                })
            }),
            Property::always("one generation lives", |_: &Fleet, state: &State| {
                let mut newest: BTreeMap<_, &View> = BTreeMap::new();
                for Told(view) in &state.decided {
                    let known = newest.entry(view.generation).or_insert(view);
                    *known = if known.epoch < view.epoch { view } else { known };
                }
                let runs = |view: &&&View| {
                    let alive = |at: &usize| view.electors.get(&NAMES[*at]) == Some(&state.instances[*at]);
                    (0..NAMES.len()).filter(alive).count() >= names().majority()
                };
                newest.values().filter(runs).count() <= 1
            }),
            Property::sometimes("a second epoch", |_: &Fleet, state: &State| {
                state.decided.iter().any(|Told(view)| view.epoch > 1)
            }),
        ]
    }
}

fn explore(mistake: Mistake, restarts: u8, tries: u8, most: usize) -> impl Checker<Fleet> {
    let threads = std::thread::available_parallelism().map_or(2, |threads| threads.get().min(6));
    Fleet { mistake, restarts, tries }.checker().threads(threads).target_state_count(most).spawn_bfs().join()
}

fn holds(restarts: u8, tries: u8, most: usize) {
    let checker = explore(Mistake::None, restarts, tries, most);
    println!(
        "{restarts} restarts, {tries} tries: {} states, {} unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    for broken in ["one view an epoch", "nothing decided is lost", "one generation lives"] {
        if let Some(path) = checker.discovery(broken) {
            panic!("{broken}: {:#?}", path.into_actions());
        }
    }
    assert!(checker.discovery("a second epoch").is_some(), "views follow each other");
}

#[test]
fn at_most_one_view_an_epoch_and_nothing_decided_is_lost() {
    holds(1, 2, 2_000_000);
}

/// Further: `cargo test -p dunelink-view --release -- --ignored`.
#[test]
#[ignore = "takes minutes and gigabytes"]
fn the_same_further() {
    holds(2, 3, 30_000_000);
}

/// A run of the same model by dice, far deeper than every order can be looked at.
fn by_dice(mistake: Mistake, seeds: std::ops::Range<u64>, steps: usize) -> Option<(u64, Vec<Act>)> {
    let fleet = Fleet { mistake, restarts: 4, tries: 12 };
    let properties = fleet.properties();
    for seed in seeds {
        let mut dice = fastrand::Rng::with_seed(seed);
        let (mut state, mut path) = (fleet.init_states().remove(0), Vec::new());
        for _ in 0..steps {
            let mut actions = Vec::new();
            fleet.actions(&state, &mut actions);
            // Asking comes first, then what is late; restarts and tries are rare.
            let asks = actions.iter().filter(|act| matches!(act, Act::Ask(..))).count();
            let kind = dice.u8(..10);
            actions.retain(|act| match act {
                Act::Ask(..) => kind < 6 && asks > 0,
                Act::Late(..) => kind == 6 || kind == 7 && asks == 0,
                Act::Restart(_) => kind == 8,
                Act::Try(..) => kind > 8 || asks == 0 && kind < 6,
            });
            let Some(action) = dice.choice(actions) else { continue };
            let Some(next) = fleet.next_state(&state, action.clone()) else { continue };
            path.push(action);
            state = next;
            let broken = |p: &&Property<Fleet>| {
                matches!(p.expectation, stateright::Expectation::Always) && !(p.condition)(&fleet, &state)
            };
            if properties.iter().find(broken).is_some() {
                return Some((seed, path));
            }
        }
    }
    None
}

#[test]
fn long_runs_by_dice_keep_it_too() {
    if let Some((seed, path)) = by_dice(Mistake::None, 0..2000, 60) {
        panic!("seed {seed}: {path:#?}");
    }
}

#[test]
fn each_mistake_in_the_protocol_is_found() {
    for mistake in [
        Mistake::SameInstance,
        Mistake::PromiseForgotten,
        Mistake::AcceptForgotten,
        Mistake::AcceptedNotTold,
        Mistake::TakenForDecided,
        Mistake::NotJoint,
        Mistake::UnknownToNewcomer,
        Mistake::OtherNames,
    ] {
        let found = by_dice(mistake, 0..40_000, 60);
        println!("{mistake:?}: {:?}", found.as_ref().map(|(seed, path)| (seed, path.len())));
        assert!(found.is_some(), "{mistake:?} goes unnoticed");
    }
}
