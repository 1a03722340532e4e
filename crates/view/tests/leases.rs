//! Every order of events of leases: clocks that drift, electors that start again from nothing, answers that are lost,
//! doubled and late, holders that stand still. The crate's own state machines are what runs.

use std::collections::BTreeSet;

use dunelink_view::{ElectorNames, Grantor, LeaseBounds, LeaseHolder, LeaseRequest, LeaseResponse, Process};
use stateright::{Checker, Expectation, Model, Property};

/// What is done wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mistake {
    None,
    /// A holder counts from the answer on, not from its question.
    FromTheAnswer,
    /// An elector that starts grants at once.
    NoWait,
    /// Nobody allows for drift.
    NoDrift,
    /// An answer to an older question counts.
    OldAnswers,
    /// A holder does not look at the clock once it has been granted something.
    NeverOver,
    /// Each holder asks one elector alone, not the same one.
    OneIsEnough,
    /// An elector forgets to whom it granted when it grants again.
    GrantsToAll,
}

const ELECTORS: u64 = 3;
const HOLDERS: usize = 2;
/// The length of a step of true time, in microseconds of a true clock.
const STEP: u64 = 10;
const BOUNDS: LeaseBounds = LeaseBounds { lease: 40, drift_ppm: 100_000 };
const RESOURCE: u64 = 7;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Steps of true time.
    time: u64,
    /// How far each clock goes in a step: electors first.
    rates: Vec<u64>,
    grantors: Vec<(u64, Grantor)>,
    holders: Vec<LeaseHolder>,
    asks: BTreeSet<(usize, LeaseRequest)>,
    answers: BTreeSet<(usize, Process, LeaseResponse)>,
    asked: u8,
    restarts: u8,
    /// Who was granted something at all.
    ever: Vec<bool>,
}

#[derive(Clone, Debug, PartialEq)]
enum Act {
    ViewDelta,
    Question(usize),
    Release(usize),
    Restart(usize),
    /// A question comes to an elector.
    Asks(usize, LeaseRequest, usize),
    Answers(usize, Process, LeaseResponse),
}

struct Leases {
    mistake: Mistake,
    steps: u64,
    asked: u8,
    restarts: u8,
}

impl Leases {
    fn bounds(&self) -> LeaseBounds {
        match self.mistake {
            Mistake::NoDrift => LeaseBounds { drift_ppm: 0, ..BOUNDS },
            _ => BOUNDS,
        }
    }

    fn names(&self, holder: usize) -> ElectorNames {
        match self.mistake {
            Mistake::OneIsEnough => ElectorNames::new([holder as u64]),
            _ => ElectorNames::new(0..ELECTORS),
        }
    }

    /// The clock of an elector, or of a holder behind them.
    fn clock(state: &State, which: usize) -> u64 {
        1_000 + state.time * state.rates[which]
    }

    fn holder_clock(state: &State, holder: usize) -> u64 {
        Leases::clock(state, ELECTORS as usize + holder)
    }

    fn holds(&self, state: &State, holder: usize) -> bool {
        match self.mistake {
            Mistake::NeverOver => state.ever[holder],
            _ => state.holders[holder].is_held(Leases::holder_clock(state, holder)),
        }
    }
}

impl Model for Leases {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        // Each clock as fast, or as slow, as it may be.
        let clocks = ELECTORS as usize + HOLDERS;
        let rates =
            |bits: u32| (0..clocks).map(|at| if bits >> at & 1 == 1 { STEP + 1 } else { STEP - 1 }).collect();
        let state = |bits| State {
            time: 0,
            rates: rates(bits),
            // They started long ago.
            grantors: (0..ELECTORS).map(|_| (1, Grantor::new(self.bounds(), 0))).collect(),
            holders: (0..HOLDERS)
                .map(|at| LeaseHolder::new(self.bounds(), self.names(at), RESOURCE))
                .collect(),
            asks: BTreeSet::new(),
            answers: BTreeSet::new(),
            asked: 0,
            restarts: 0,
            ever: vec![false; HOLDERS],
        };
        (0..1 << clocks).map(state).collect()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Act>) {
        if state.time < self.steps {
            actions.push(Act::ViewDelta);
        }
        if state.asked < self.asked {
            actions.extend((0..HOLDERS).map(Act::Question));
            actions.extend((0..HOLDERS).filter(|holder| state.ever[*holder]).map(Act::Release));
        }
        if state.restarts < self.restarts {
            actions.extend((0..ELECTORS as usize).map(Act::Restart));
        }
        for (holder, ask) in &state.asks {
            actions.extend((0..ELECTORS as usize).map(|elector| Act::Asks(*holder, *ask, elector)));
        }
        actions
            .extend(state.answers.iter().map(|(holder, from, answer)| Act::Answers(*holder, *from, *answer)));
    }

    fn next_state(&self, state: &State, action: Act) -> Option<State> {
        let mut next = state.clone();
        match action {
            Act::ViewDelta => next.time += 1,
            Act::Question(holder) => {
                next.asked += 1;
                let ask = next.holders[holder].request(Leases::holder_clock(state, holder));
                next.asks.insert((holder, ask));
            }
            Act::Release(holder) => {
                next.asked += 1;
                let ask = next.holders[holder].release(Leases::holder_clock(state, holder));
                next.ever[holder] = false;
                next.asks.insert((holder, ask));
            }
            Act::Restart(elector) => {
                next.restarts += 1;
                let now = Leases::clock(state, elector);
                let began = if self.mistake == Mistake::NoWait { 0 } else { now };
                next.grantors[elector] = (state.grantors[elector].0 + 1, Grantor::new(self.bounds(), began));
            }
            Act::Asks(holder, ask, elector) => {
                let now = Leases::clock(state, elector);
                let from = Process { name: 100 + holder as u64, instance: 1 };
                let (instance, grantor) = &mut next.grantors[elector];
                if self.mistake == Mistake::GrantsToAll && grantor.is_granting(now) {
                    *grantor = Grantor::new(self.bounds(), 0);
                }
                let answer = grantor.handle(now, from, ask);
                let elector = Process { name: elector as u64, instance: *instance };
                next.answers.insert((holder, elector, answer));
            }
            Act::Answers(holder, from, mut answer) => {
                let now = Leases::holder_clock(state, holder);
                if self.mistake == Mistake::OldAnswers {
                    let number =
                        state.asks.iter().filter(|(of, _)| *of == holder).map(|(_, ask)| ask.number).max();
                    answer.number = number.unwrap_or(answer.number);
                }
                let mut late = next.holders[holder].clone();
                let granted = next.holders[holder].handle(from, answer);
                if granted && self.mistake == Mistake::FromTheAnswer {
                    // As if it had asked only now.
                    late.request(now);
                    for elector in 0..ELECTORS {
                        let of = Process { name: elector, instance: 1 };
                        late.handle(of, LeaseResponse { number: answer.number + 1, ..answer });
                    }
                    next.holders[holder] = late;
                }
                next.ever[holder] |= granted;
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder", |model: &Leases, state: &State| {
                (0..HOLDERS).filter(|holder| model.holds(state, *holder)).count() <= 1
            }),
            Property::sometimes("the other holds it later", |model: &Leases, state: &State| {
                state.ever[0] && state.ever[1] && model.holds(state, 1)
            }),
        ]
    }
}

#[test]
fn at_most_one_holds_a_resource_at_any_time() {
    let threads = std::thread::available_parallelism().map_or(2, |threads| threads.get().min(6));
    let model = Leases { mistake: Mistake::None, steps: 6, asked: 2, restarts: 1 };
    let checker = model.checker().threads(threads).target_state_count(1_500_000).spawn_bfs().join();
    println!("{} states, {} unique", checker.state_count(), checker.unique_state_count());
    if let Some(path) = checker.discovery("one holder") {
        panic!("{:#?}", path.into_actions());
    }
}

/// The same model by dice, far deeper.
fn by_dice(mistake: Mistake, seeds: std::ops::Range<u64>) -> (Option<u64>, bool) {
    let model = Leases { mistake, steps: 24, asked: 10, restarts: 3 };
    let properties = model.properties();
    let starts = model.init_states();
    let mut handed_on = false;
    for seed in seeds {
        let mut dice = fastrand::Rng::with_seed(seed);
        let mut state = starts[dice.usize(..starts.len())].clone();
        for _ in 0..140 {
            let mut actions = Vec::new();
            model.actions(&state, &mut actions);
            let kind = dice.u8(..20);
            actions.retain(|act| match act {
                Act::ViewDelta => kind < 4,
                Act::Question(_) => kind == 4 || kind == 5,
                Act::Release(_) => kind == 6,
                Act::Restart(_) => kind == 7,
                Act::Asks(..) => (8..14).contains(&kind),
                Act::Answers(..) => kind >= 14,
            });
            let Some(action) = dice.choice(actions) else { continue };
            let Some(next) = model.next_state(&state, action) else { continue };
            state = next;
            for property in &properties {
                let holds = (property.condition)(&model, &state);
                match property.expectation {
                    Expectation::Always if !holds => return (Some(seed), handed_on),
                    Expectation::Sometimes => handed_on |= holds,
                    _ => {}
                }
            }
        }
    }
    (None, handed_on)
}

#[test]
fn long_runs_by_dice_keep_it_and_the_resource_goes_on() {
    assert_eq!(by_dice(Mistake::None, 0..6_000), (None, true));
}

#[test]
fn each_mistake_in_leases_is_found() {
    for mistake in [
        Mistake::FromTheAnswer,
        Mistake::NoWait,
        Mistake::NoDrift,
        Mistake::OldAnswers,
        Mistake::NeverOver,
        Mistake::OneIsEnough,
        Mistake::GrantsToAll,
    ] {
        let found = by_dice(mistake, 0..60_000).0;
        println!("{mistake:?}: {found:?}");
        assert!(found.is_some(), "{mistake:?} goes unnoticed");
    }
}
