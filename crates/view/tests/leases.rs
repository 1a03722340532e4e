//! Model checking of leases over every order of events: clocks drift, electors restart without state,
//! responses are lost, duplicated and delayed, holders pause. The model runs the crate's own state machines.

use std::collections::BTreeSet;

use dunelink_view::{ElectorNames, Grantor, LeaseBounds, LeaseHolder, LeaseRequest, LeaseResponse, Process};
use stateright::{Checker, Expectation, Model, Property};

/// A fault that is injected into the protocol; the checker has to find each of them.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A holder counts the lease from the response instead of from its request.
    CountedFromResponse,
    /// An elector grants leases immediately after its start.
    NoWaitAfterStart,
    /// Clock drift is ignored.
    NoDrift,
    /// A response to an older request counts.
    OldResponseCounts,
    /// A holder never checks whether its lease has expired.
    NeverExpires,
    /// Each holder asks only a single elector, a different one each.
    SingleElector,
    /// An elector forgets earlier grants with each request.
    ForgetsGrants,
}

const ELECTORS: u64 = 3;
const HOLDERS: usize = 2;
/// Microseconds of a drift-free clock in one step of true time.
const STEP: u64 = 10;
const BOUNDS: LeaseBounds = LeaseBounds { lease: 40, drift_ppm: 100_000 };
const RESOURCE: u64 = 7;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// True time, in steps.
    time: u64,
    /// Microseconds that each clock advances in one step: the electors' clocks, then the holders'.
    rates: Vec<u64>,
    grantors: Vec<(u64, Grantor)>,
    holders: Vec<LeaseHolder>,
    requests: BTreeSet<(usize, LeaseRequest)>,
    responses: BTreeSet<(usize, Process, LeaseResponse)>,
    request_count: u8,
    restarts: u8,
    /// Whether each holder has ever held the lease.
    ever_held: Vec<bool>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// Advances the true time by one step.
    AdvanceTime,
    Request(usize),
    Release(usize),
    Restart(usize),
    /// A request arrives at an elector: holder, request, elector.
    DeliverRequest(usize, LeaseRequest, usize),
    DeliverResponse(usize, Process, LeaseResponse),
}

struct Leases {
    fault: Fault,
    steps: u64,
    request_count: u8,
    restarts: u8,
}

impl Leases {
    fn bounds(&self) -> LeaseBounds {
        match self.fault {
            Fault::NoDrift => LeaseBounds { drift_ppm: 0, ..BOUNDS },
            _ => BOUNDS,
        }
    }

    fn names(&self, holder: usize) -> ElectorNames {
        match self.fault {
            Fault::SingleElector => ElectorNames::new([holder as u64]),
            _ => ElectorNames::new(0..ELECTORS),
        }
    }

    /// The time on a clock; the electors come first, then the holders.
    fn clock(state: &State, which: usize) -> u64 {
        1_000 + state.time * state.rates[which]
    }

    fn holder_clock(state: &State, holder: usize) -> u64 {
        Leases::clock(state, ELECTORS as usize + holder)
    }

    fn holds(&self, state: &State, holder: usize) -> bool {
        match self.fault {
            Fault::NeverExpires => state.ever_held[holder],
            _ => state.holders[holder].is_held(Leases::holder_clock(state, holder)),
        }
    }
}

impl Model for Leases {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // Each clock runs as fast or as slowly as the drift bound allows, in all combinations.
        let clocks = ELECTORS as usize + HOLDERS;
        let rates =
            |bits: u32| (0..clocks).map(|at| if bits >> at & 1 == 1 { STEP + 1 } else { STEP - 1 }).collect();
        let state = |bits| State {
            time: 0,
            rates: rates(bits),
            // The electors started long before the test.
            grantors: (0..ELECTORS).map(|_| (1, Grantor::new(self.bounds(), 0))).collect(),
            holders: (0..HOLDERS)
                .map(|at| LeaseHolder::new(self.bounds(), self.names(at), RESOURCE))
                .collect(),
            requests: BTreeSet::new(),
            responses: BTreeSet::new(),
            request_count: 0,
            restarts: 0,
            ever_held: vec![false; HOLDERS],
        };
        (0..1 << clocks).map(state).collect()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.time < self.steps {
            actions.push(Action::AdvanceTime);
        }
        if state.request_count < self.request_count {
            actions.extend((0..HOLDERS).map(Action::Request));
            actions.extend((0..HOLDERS).filter(|holder| state.ever_held[*holder]).map(Action::Release));
        }
        if state.restarts < self.restarts {
            actions.extend((0..ELECTORS as usize).map(Action::Restart));
        }
        for (holder, request) in &state.requests {
            actions.extend(
                (0..ELECTORS as usize).map(|elector| Action::DeliverRequest(*holder, *request, elector)),
            );
        }
        actions.extend(
            state
                .responses
                .iter()
                .map(|(holder, from, response)| Action::DeliverResponse(*holder, *from, *response)),
        );
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::AdvanceTime => next.time += 1,
            Action::Request(holder) => {
                next.request_count += 1;
                let request = next.holders[holder].request(Leases::holder_clock(state, holder));
                next.requests.insert((holder, request));
            }
            Action::Release(holder) => {
                next.request_count += 1;
                let request = next.holders[holder].release(Leases::holder_clock(state, holder));
                next.ever_held[holder] = false;
                next.requests.insert((holder, request));
            }
            Action::Restart(elector) => {
                next.restarts += 1;
                let now = Leases::clock(state, elector);
                let began = if self.fault == Fault::NoWaitAfterStart { 0 } else { now };
                next.grantors[elector] = (state.grantors[elector].0 + 1, Grantor::new(self.bounds(), began));
            }
            Action::DeliverRequest(holder, request, elector) => {
                let now = Leases::clock(state, elector);
                let from = Process { name: 100 + holder as u64, instance: 1 };
                let (instance, grantor) = &mut next.grantors[elector];
                if self.fault == Fault::ForgetsGrants && grantor.is_granting(now) {
                    *grantor = Grantor::new(self.bounds(), 0);
                }
                let response = grantor.handle(now, from, request);
                let elector = Process { name: elector as u64, instance: *instance };
                next.responses.insert((holder, elector, response));
            }
            Action::DeliverResponse(holder, from, mut response) => {
                let now = Leases::holder_clock(state, holder);
                if self.fault == Fault::OldResponseCounts {
                    let number = state
                        .requests
                        .iter()
                        .filter(|(of, _)| *of == holder)
                        .map(|(_, request)| request.number)
                        .max();
                    response.number = number.unwrap_or(response.number);
                }
                let mut delayed = next.holders[holder].clone();
                let granted = next.holders[holder].handle(from, response);
                if granted && self.fault == Fault::CountedFromResponse {
                    // As if it had sent its request only now.
                    delayed.request(now);
                    for elector in 0..ELECTORS {
                        let of = Process { name: elector, instance: 1 };
                        delayed.handle(of, LeaseResponse { number: response.number + 1, ..response });
                    }
                    next.holders[holder] = delayed;
                }
                next.ever_held[holder] |= granted;
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
                state.ever_held[0] && state.ever_held[1] && model.holds(state, 1)
            }),
        ]
    }
}

#[test]
fn at_most_one_holder_at_any_time() {
    let threads = std::thread::available_parallelism().map_or(2, |threads| threads.get().min(6));
    let model = Leases { fault: Fault::None, steps: 6, request_count: 2, restarts: 1 };
    let checker = model.checker().threads(threads).target_state_count(1_500_000).spawn_bfs().join();
    println!("{} states, {} unique", checker.state_count(), checker.unique_state_count());
    if let Some(path) = checker.discovery("one holder") {
        panic!("{:#?}", path.into_actions());
    }
}

/// Random runs of the same model, far longer than exhaustive search allows. Returns the first seed that
/// breaks a property, and whether the lease ever passed from one holder to the other.
fn random_runs(fault: Fault, seeds: std::ops::Range<u64>) -> (Option<u64>, bool) {
    let model = Leases { fault, steps: 24, request_count: 10, restarts: 3 };
    let properties = model.properties();
    let starts = model.init_states();
    let mut passed_on = false;
    for seed in seeds {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut state = starts[rng.usize(..starts.len())].clone();
        for _ in 0..140 {
            let mut actions = Vec::new();
            model.actions(&state, &mut actions);
            let kind = rng.u8(..20);
            actions.retain(|act| match act {
                Action::AdvanceTime => kind < 4,
                Action::Request(_) => kind == 4 || kind == 5,
                Action::Release(_) => kind == 6,
                Action::Restart(_) => kind == 7,
                Action::DeliverRequest(..) => (8..14).contains(&kind),
                Action::DeliverResponse(..) => kind >= 14,
            });
            let Some(action) = rng.choice(actions) else { continue };
            let Some(next) = model.next_state(&state, action) else { continue };
            state = next;
            for property in &properties {
                let holds = (property.condition)(&model, &state);
                match property.expectation {
                    Expectation::Always if !holds => return (Some(seed), passed_on),
                    Expectation::Sometimes => passed_on |= holds,
                    _ => {}
                }
            }
        }
    }
    (None, passed_on)
}

#[test]
fn random_long_runs_keep_one_holder_and_pass_the_lease_on() {
    assert_eq!(random_runs(Fault::None, 0..6_000), (None, true));
}

#[test]
fn each_injected_fault_is_detected() {
    for fault in [
        Fault::CountedFromResponse,
        Fault::NoWaitAfterStart,
        Fault::NoDrift,
        Fault::OldResponseCounts,
        Fault::NeverExpires,
        Fault::SingleElector,
        Fault::ForgetsGrants,
    ] {
        let found = random_runs(fault, 0..60_000).0;
        println!("{fault:?}: {found:?}");
        assert!(found.is_some(), "{fault:?} is not detected");
    }
}
