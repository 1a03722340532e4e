//! Model checking of view decisions in a small fleet over every order of events: messages are lost,
//! duplicated and reordered, processes restart without state. The model runs the crate's own state machine.

use std::collections::{BTreeMap, BTreeSet};

use dunelink_view::{Change, ElectorNames, Message, Name, Process, Register, View};
use stateright::{Checker, Model, Property};

/// A fault that is injected into the protocol; the checker has to find each of them.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A restarted process keeps the instance of the process before.
    SameInstance,
    /// A process forgets its promises.
    PromiseForgotten,
    /// A process forgets the view that it accepted.
    AcceptForgotten,
    /// A promise does not include the accepted view.
    AcceptedNotReported,
    /// Every accepted view is reported as decided.
    AcceptedReportedDecided,
    /// A change of electors needs a majority of the new electors only.
    NewElectorsOnly,
    /// A newly admitted elector counts as having accepted the view.
    NewcomerNotAsked,
    /// One node is configured with different elector names.
    DifferentNames,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    processes: Vec<Register>,
    instances: Vec<u64>,
    /// The request of each process's ballot in progress.
    requests: Vec<Option<Message>>,
    /// Messages that may arrive at any process late or repeatedly: views to accept, and decided views.
    late_messages: BTreeSet<(Process, SentMessage)>,
    decided: BTreeSet<DecidedView>,
    restarts: u8,
    proposals: u8,
}

/// Wrappers that order types without an order of their own, by their debug output.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentMessage(Message);
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DecidedView(View);

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
ordered!(SentMessage);
ordered!(DecidedView);

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Restart(usize),
    Propose(usize, Change),
    /// A process's request arrives at a subset of processes (one bit for each), and their responses come
    /// back. `DeliverLate` covers responses that are lost.
    DeliverRequest(usize, u8),
    DeliverLate(Process, Message, usize),
}

struct Fleet {
    fault: Fault,
    restarts: u8,
    proposals: u8,
}

const NAMES: [Name; 3] = [1, 2, 3];

fn names() -> ElectorNames {
    ElectorNames::new(NAMES)
}

impl Fleet {
    fn names_of(&self, at: usize) -> ElectorNames {
        match self.fault == Fault::DifferentNames && at == 0 {
            true => ElectorNames::new([1]),
            false => names(),
        }
    }

    /// Applies the injected fault to an outgoing message.
    fn apply_fault(&self, message: &mut Message) {
        match (self.fault, message) {
            (Fault::AcceptedNotReported, Message::Promise(_, accepted)) => *accepted = None,
            (Fault::AcceptedReportedDecided, Message::Promise(_, Some(accepted))) => accepted.decided = true,
            (Fault::NewElectorsOnly, Message::Accept(_, view)) => {
                view.previous_electors = view.electors.clone()
            }
            _ => {}
        }
    }

    /// Delivers a message and records the resulting requests and decisions; returns the responses.
    fn deliver(&self, state: &mut State, from: Process, message: Message, at: usize) -> Vec<Message> {
        let before = state.processes[at].clone();
        let mut out = Vec::new();
        let decided = state.processes[at].handle(from, message.clone(), &mut out);
        let loses_state = match message {
            Message::Prepare(_) => self.fault == Fault::PromiseForgotten,
            Message::Accept(..) => self.fault == Fault::AcceptForgotten,
            _ => false,
        };
        if loses_state {
            state.processes[at] = before;
        }
        state.decided.extend(decided.map(DecidedView));
        self.record_outgoing(state, at, out)
    }

    fn record_outgoing(&self, state: &mut State, at: usize, out: Vec<(Name, Message)>) -> Vec<Message> {
        let me = Process { name: NAMES[at], instance: state.instances[at] };
        let mut responses = Vec::new();
        for (_, mut message) in out {
            self.apply_fault(&mut message);
            match &message {
                Message::Prepare(_) => state.requests[at] = Some(message),
                Message::Accept(..) => {
                    state.requests[at] = Some(message.clone());
                    state.late_messages.insert((me, SentMessage(message)));
                }
                Message::Decided(..) => drop(state.late_messages.insert((me, SentMessage(message.clone())))),
                _ => responses.push(message),
            }
        }
        if !state.processes[at].is_proposing() {
            state.requests[at] = None;
        }
        responses
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let process = |(at, name): (usize, &Name)| {
            let mut register = Register::new(Process { name: *name, instance: 1 }, self.names_of(at));
            register.allow_founding();
            register
        };
        vec![State {
            processes: NAMES.iter().enumerate().map(process).collect(),
            instances: vec![1; NAMES.len()],
            requests: vec![None; NAMES.len()],
            late_messages: BTreeSet::new(),
            decided: BTreeSet::new(),
            restarts: 0,
            proposals: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (from, message) in &state.late_messages {
            actions.extend((0..NAMES.len()).map(|at| Action::DeliverLate(*from, message.0.clone(), at)));
        }
        for at in (0..NAMES.len()).filter(|at| state.requests[*at].is_some()) {
            actions.extend((1..8).map(|subset| Action::DeliverRequest(at, subset)));
        }
        if state.restarts < self.restarts {
            actions.extend((0..NAMES.len()).map(Action::Restart));
        }
        if state.proposals < self.proposals {
            for at in 0..NAMES.len() {
                // Each process tries to admit a running process that is missing, or else sets a unique fact.
                let known = state.processes[at].view().map(|view| view.electors.clone()).unwrap_or_default();
                let missing = (0..NAMES.len())
                    .find(|other| known.get(&NAMES[*other]) != Some(&state.instances[*other]));
                let change = match missing {
                    Some(other) if !known.is_empty() => {
                        Change::Admit(Process { name: NAMES[other], instance: state.instances[other] })
                    }
                    _ => Change::Set(format!("by {at} in try {}", state.proposals), String::new()),
                };
                actions.push(Action::Propose(at, change));
            }
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        let process = |state: &State, at: usize| Process { name: NAMES[at], instance: state.instances[at] };
        match action {
            Action::DeliverRequest(at, subset) => {
                let me = process(&next, at);
                let message = next.requests[at].clone()?;
                let mut all_responses = Vec::new();
                // The sender knows which processes it reaches.
                for other in (0..NAMES.len()).filter(|other| subset & 1 << other != 0) {
                    let running = process(&next, other);
                    next.processes[at].set_running(running);
                }
                for other in (0..NAMES.len()).filter(|other| subset & 1 << other != 0) {
                    let responses = self.deliver(&mut next, me, message.clone(), other);
                    let from = process(&next, other);
                    all_responses.extend(responses.into_iter().map(|response| (from, response)));
                }
                if let (Fault::NewcomerNotAsked, Message::Accept(ballot, view)) = (self.fault, &message) {
                    let new = view
                        .electors
                        .iter()
                        .filter(|(name, instance)| view.previous_electors.get(name) != Some(instance));
                    let process =
                        |(name, instance): (&Name, &u64)| Process { name: *name, instance: *instance };
                    all_responses
                        .extend(new.map(process).map(|process| (process, Message::Accepts(*ballot))));
                }
                for (from, response) in all_responses {
                    self.deliver(&mut next, from, response, at);
                }
            }
            Action::DeliverLate(from, message, at) => drop(self.deliver(&mut next, from, message, at)),
            Action::Restart(at) => {
                next.restarts += 1;
                if self.fault != Fault::SameInstance {
                    next.instances[at] += 1;
                }
                next.processes[at] = Register::new(process(&next, at), self.names_of(at));
                // It may not found a view while old leases last; that case equals an order in which it
                // receives no request.
                next.processes[at].allow_founding();
                next.requests[at] = None;
            }
            Action::Propose(at, change) => {
                next.proposals += 1;
                let mut out = Vec::new();
                next.processes[at].propose(Some(change), &mut out);
                self.record_outgoing(&mut next, at, out);
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one view per epoch", |_: &Fleet, state: &State| {
                let mut known = BTreeMap::new();
                state.decided.iter().all(|DecidedView(view)| {
                    let first = known.entry((view.generation, view.epoch)).or_insert(view);
                    *first == view
                })
            }),
            Property::always("no decision is lost", |_: &Fleet, state: &State| {
                state.decided.iter().all(|DecidedView(later)| {
                    let before = |DecidedView(view): &&DecidedView| {
                        view.generation == later.generation && view.epoch <= later.epoch
                    };
                    let is_kept = |DecidedView(view): &DecidedView| {
                        view.facts.keys().all(|key| later.facts.contains_key(key))
                    };
                    state.decided.iter().filter(before).all(is_kept)
                })
            }),
            Property::always("one generation with a majority", |_: &Fleet, state: &State| {
                let mut newest: BTreeMap<_, &View> = BTreeMap::new();
                for DecidedView(view) in &state.decided {
                    let known = newest.entry(view.generation).or_insert(view);
                    *known = if known.epoch < view.epoch { view } else { known };
                }
                let running = |view: &&&View| {
                    let alive = |at: &usize| view.electors.get(&NAMES[*at]) == Some(&state.instances[*at]);
                    (0..NAMES.len()).filter(alive).count() >= names().majority()
                };
                newest.values().filter(running).count() <= 1
            }),
            Property::sometimes("a second epoch", |_: &Fleet, state: &State| {
                state.decided.iter().any(|DecidedView(view)| view.epoch > 1)
            }),
        ]
    }
}

fn explore(fault: Fault, restarts: u8, proposals: u8, max_states: usize) -> impl Checker<Fleet> {
    let threads = std::thread::available_parallelism().map_or(2, |threads| threads.get().min(6));
    Fleet { fault, restarts, proposals }
        .checker()
        .threads(threads)
        .target_state_count(max_states)
        .spawn_bfs()
        .join()
}

fn check_model(restarts: u8, proposals: u8, max_states: usize) {
    let checker = explore(Fault::None, restarts, proposals, max_states);
    println!(
        "{restarts} restarts, {proposals} proposals: {} states, {} unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    for broken in ["one view per epoch", "no decision is lost", "one generation with a majority"] {
        if let Some(path) = checker.discovery(broken) {
            panic!("{broken}: {:#?}", path.into_actions());
        }
    }
    assert!(checker.discovery("a second epoch").is_some(), "some run reaches a second epoch");
}

#[test]
fn one_view_per_epoch_and_no_decision_lost() {
    check_model(1, 2, 2_000_000);
}

/// The same with more restarts and proposals: `cargo test -p dunelink-view --release -- --ignored`.
#[test]
#[ignore = "takes minutes and gigabytes"]
fn one_view_per_epoch_in_a_larger_model() {
    check_model(2, 3, 30_000_000);
}

/// Random runs of the same model, far longer than exhaustive search allows. Returns the first seed that
/// breaks a property, with its actions.
fn random_runs(fault: Fault, seeds: std::ops::Range<u64>, steps: usize) -> Option<(u64, Vec<Action>)> {
    let fleet = Fleet { fault, restarts: 4, proposals: 12 };
    let properties = fleet.properties();
    for seed in seeds {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut state, mut path) = (fleet.init_states().remove(0), Vec::new());
        for _ in 0..steps {
            let mut actions = Vec::new();
            fleet.actions(&state, &mut actions);
            // Requests are most frequent, then late messages; restarts and proposals are rare.
            let requests = actions.iter().filter(|act| matches!(act, Action::DeliverRequest(..))).count();
            let kind = rng.u8(..10);
            actions.retain(|act| match act {
                Action::DeliverRequest(..) => kind < 6 && requests > 0,
                Action::DeliverLate(..) => kind == 6 || kind == 7 && requests == 0,
                Action::Restart(_) => kind == 8,
                Action::Propose(..) => kind > 8 || requests == 0 && kind < 6,
            });
            let Some(action) = rng.choice(actions) else { continue };
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
fn random_long_runs_keep_all_properties() {
    if let Some((seed, path)) = random_runs(Fault::None, 0..2000, 60) {
        panic!("seed {seed}: {path:#?}");
    }
}

#[test]
fn each_injected_fault_is_detected() {
    for fault in [
        Fault::SameInstance,
        Fault::PromiseForgotten,
        Fault::AcceptForgotten,
        Fault::AcceptedNotReported,
        Fault::AcceptedReportedDecided,
        Fault::NewElectorsOnly,
        Fault::NewcomerNotAsked,
        Fault::DifferentNames,
    ] {
        let found = random_runs(fault, 0..40_000, 60);
        println!("{fault:?}: {:?}", found.as_ref().map(|(seed, path)| (seed, path.len())));
        assert!(found.is_some(), "{fault:?} is not detected");
    }
}
