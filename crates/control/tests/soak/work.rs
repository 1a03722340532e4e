//! Does the steps of a schedule at their times, and starts again what has ended.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use testkit::system::process::FleetProcess;
use testkit::system::scene::{HOST, POOL, Scene};
use testkit::system::{LOOK_AGAIN, Route, Signal, WITHIN};

use super::GRACE_S;
use super::schedule::{Schedule, Step};

/// The end of a proxy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct End {
    /// The front machine.
    pub(crate) front: usize,
    /// When it was told to end.
    pub(crate) told: Instant,
    /// When it was found to have ended.
    pub(crate) ended: Instant,
    /// Whether it ended by itself, with success.
    pub(crate) well: bool,
}

/// What a process of a front machine is about.
#[derive(Clone, Copy, Debug, Default)]
struct Machine {
    proxy_told: Option<Instant>,
    agent_told: Option<Instant>,
}

/// The planned work on a fleet.
pub(crate) struct Work<'s> {
    scene: &'s mut Scene,
    random: fastrand::Rng,
    fronts: Vec<Machine>,
    core_told: Option<usize>,
    leaving: Option<usize>,
    incarnations: usize,
    orders: VecDeque<Step>,
    ends: Vec<End>,
    crashes: Vec<String>,
}

/// What the planned work has seen of the processes.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// Ends of proxies that were told to end.
    pub(crate) ends: Vec<End>,
    /// Processes that ended though nobody had told them to.
    pub(crate) crashes: Vec<String>,
    /// The longest time between two looks at the processes: how late the test itself may have seen something.
    pub(crate) slowest_look: Duration,
}

/// Sends a signal, unless the process has just started: before its first instructions any signal ends it.
/// Gives whether it was sent.
fn tell(process: &FleetProcess, signal: Signal) -> bool {
    let spoken = process.has_spoken();
    if spoken {
        process.signal(signal);
    }
    spoken
}

impl<'s> Work<'s> {
    /// None done yet.
    pub(crate) fn new(scene: &'s mut Scene, seed: u64) -> Work<'s> {
        let fronts = vec![Machine::default(); scene.fleet.fronts()];
        let random = fastrand::Rng::with_seed(!seed);
        Work {
            scene,
            random,
            fronts,
            core_told: None,
            leaving: None,
            incarnations: 0,
            orders: VecDeque::new(),
            ends: Vec::new(),
            crashes: Vec::new(),
        }
    }

    /// Does all steps, waits until all that was told to end is back, and gives what was seen.
    pub(crate) async fn follow(mut self, schedule: Schedule) -> Seen {
        let (orders, mut waiting) = tokio::sync::mpsc::unbounded_channel();
        let operator = self.scene.operator.clone();
        let first = self.scene.configuration.clone();
        let configuring = async move {
            let mut base = testkit::system::scene::FIRST_VERSION;
            while let Some(step) = waiting.recv().await {
                let route = Route::new(HOST, &format!("/v{}/", base + 1), "safe", POOL);
                let next = first.clone().version(base + 1).route(route);
                let other = first.clone().version(base + 1);
                let taken = match step {
                    Step::ConfigureTwice => {
                        let (one, two) = tokio::join!(
                            operator.replace(base, next.value()),
                            operator.replace(base, other.value())
                        );
                        one.is_taken() || two.is_taken()
                    }
                    _ => operator.replace(base, next.value()).await.is_taken(),
                };
                assert!(taken, "version {} was not taken", base + 1);
                base += 1;
            }
        };
        let working = async {
            let start = Instant::now();
            let (mut looked, mut slowest_look) = (start, Duration::ZERO);
            let mut look = tokio::time::interval(LOOK_AGAIN);
            let mut steps: VecDeque<(Duration, Step)> = schedule.steps.into();
            while !steps.is_empty() || !self.is_calm() {
                look.tick().await;
                slowest_look = slowest_look.max(looked.elapsed());
                looked = Instant::now();
                assert!(start.elapsed() < WITHIN * 3, "the fleet does not come to rest: {:?}", self.fronts);
                while steps.front().is_some_and(|(at, _)| *at <= start.elapsed()) {
                    let (_, step) = steps.pop_front().expect("just looked");
                    self.step(step);
                }
                while let Some(order) = self.orders.pop_front() {
                    orders.send(order).expect("the operator waits for orders");
                }
                self.start_ended().await;
                self.start_crashed();
                self.replace_quiet().await;
            }
            drop(orders);
            Seen { ends: self.ends, crashes: self.crashes, slowest_look }
        };
        let (seen, ()) = tokio::join!(working, configuring);
        seen
    }

    fn is_calm(&self) -> bool {
        let calm = |machine: &Machine| machine.proxy_told.is_none() && machine.agent_told.is_none();
        self.fronts.iter().all(calm) && self.core_told.is_none() && self.leaving.is_none()
    }

    fn step(&mut self, step: Step) {
        let now = Instant::now();
        let fleet = &mut self.scene.fleet;
        match step {
            Step::EndFront(front) => {
                let machine = &mut self.fronts[front];
                tell(fleet.proxy(front), Signal::TERM).then(|| machine.proxy_told.get_or_insert(now));
                tell(fleet.agent(front), Signal::TERM).then(|| machine.agent_told.get_or_insert(now));
            }
            Step::HangUpFront(front) => {
                tell(fleet.proxy(front), Signal::HUP);
                tell(fleet.agent(front), Signal::HUP);
            }
            Step::EndAgent(front) => {
                let machine = &mut self.fronts[front];
                tell(fleet.agent(front), Signal::TERM).then(|| machine.agent_told.get_or_insert(now));
            }
            Step::EndCore(core) if self.core_told.is_none() => {
                self.core_told = tell(fleet.core(core), Signal::TERM).then_some(core);
            }
            Step::EndCore(_) => {}
            Step::HangUpCore(core) => {
                tell(fleet.core(core), Signal::HUP);
            }
            Step::Configure | Step::ConfigureTwice => self.orders.push_back(step),
            Step::Replace if self.leaving.is_none() => {
                let number = self.random.usize(..self.scene.servers.len());
                let id = self.scene.servers[number].id();
                self.scene.fleet.list.drain(&id);
                self.leaving = Some(number);
            }
            Step::Replace => {}
        }
    }

    /// Starts what has ended, and notes how proxies ended.
    async fn start_ended(&mut self) {
        let most = Duration::from_secs(GRACE_S);
        for front in 0..self.fronts.len() {
            let fleet = &mut self.scene.fleet;
            if self.fronts[front].agent_told.is_some() && !fleet.agent(front).runs() {
                fleet.start_agent(front);
                self.fronts[front].agent_told = None;
            }
            let Some(told) = self.fronts[front].proxy_told else { continue };
            let late = told.elapsed() >= most;
            if fleet.proxy(front).runs() && !late {
                continue;
            }
            let well = !fleet.proxy(front).runs() && fleet.proxy(front).ended().await.success();
            self.ends.push(End { front, told, ended: Instant::now(), well });
            self.scene.fleet.start_proxy(front);
            self.fronts[front].proxy_told = None;
        }
        if let Some(core) = self.core_told
            && !self.scene.fleet.core(core).runs()
        {
            self.scene.fleet.start_core(core);
            self.core_told = None;
        }
    }

    /// Notes what has ended untold, and starts it again.
    fn start_crashed(&mut self) {
        let fleet = &mut self.scene.fleet;
        for (front, machine) in self.fronts.iter().enumerate() {
            if machine.proxy_told.is_none() && !fleet.proxy(front).runs() {
                self.crashes.push(format!("the proxy of front {front} ended untold"));
                fleet.start_proxy(front);
            }
            if machine.agent_told.is_none() && !fleet.agent(front).runs() {
                self.crashes.push(format!("the agent of front {front} ended untold"));
                fleet.start_agent(front);
            }
        }
        for core in (0..fleet.cores()).filter(|core| self.core_told != Some(*core)) {
            if !fleet.core(core).runs() {
                self.crashes.push(format!("core {core} ended untold"));
                fleet.start_core(core);
            }
        }
    }

    /// A server that leaves is replaced once it has answered what it had.
    async fn replace_quiet(&mut self) {
        let Some(number) = self.leaving else { return };
        let seen = self.scene.servers[number].seen();
        let last = seen.requests.last().map(|request| request.at);
        let drained = last.is_none_or(|last| last.elapsed() > Duration::from_millis(500));
        if !drained || seen.answered.len() + seen.left.len() < seen.requests.len() {
            return;
        }
        self.incarnations += 1;
        let id = format!("i-{number}-{}", self.incarnations);
        self.scene.servers[number].restart(&id).await;
        self.scene.list_servers();
        self.leaving = None;
    }
}
