//! Exhaustive search: every order of events from an initial state, up to a depth.

use std::panic::{AssertUnwindSafe, catch_unwind};

use stateright::{Checker, Model, Property};

use crate::world::{Action, World};

/// A state, or the failed check of the transition to it.
#[derive(Clone, Debug, Hash, PartialEq)]
enum State {
    Valid(Box<World>),
    Failed(String),
}

struct BoundedModel {
    initial: World,
    max_time: u64,
}

impl Model for BoundedModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State::Valid(Box::new(self.initial.clone()))]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if let State::Valid(world) = state {
            world.actions(actions);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let State::Valid(world) = last else { return None };
        if action == Action::Advance && world.now >= self.max_time {
            return None;
        }
        let mut next = world.clone();
        let outcome = catch_unwind(AssertUnwindSafe(|| next.apply(action)));
        Some(match outcome {
            Ok(()) => State::Valid(next),
            Err(panic) => State::Failed(panic.downcast_ref::<String>().cloned().unwrap_or_default()),
        })
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("sound", |_, state: &State| matches!(state, State::Valid(_)))]
    }
}

/// Number of time steps that a search may take.
const MAX_TIME_STEPS: u64 = 4;

/// Searches all sequences of at most `depth` events.
pub(crate) fn search(name: &str, initial: World, depth: usize) {
    let max_time = initial.now + MAX_TIME_STEPS * crate::world::TIME_STEP;
    let checker =
        BoundedModel { initial, max_time }.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
    println!("{name}: {} states to a depth of {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000, "the search has too few states");
}
