//! Carries out the steps of a schedule at their times, and restarts processes that have exited.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use testkit::system::process::FleetProcess;
use testkit::system::scene::{HOST, POOL, Scene};
use testkit::system::{LOOK_AGAIN, Route, Signal, WITHIN};

use super::GRACE_PERIOD_S;
use super::schedule::{Schedule, Step};

/// The exit of a proxy after SIGTERM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProxyExit {
    /// The front machine.
    pub(crate) front: usize,
    /// When SIGTERM was sent.
    pub(crate) signaled_at: Instant,
    /// When its exit was observed.
    pub(crate) exited_at: Instant,
    /// Whether it exited with success within the grace period.
    pub(crate) success: bool,
}

/// Times at which the processes of a front machine were sent SIGTERM; `None` while they are to run.
#[derive(Clone, Copy, Debug, Default)]
struct FrontState {
    proxy_signaled_at: Option<Instant>,
    agent_signaled_at: Option<Instant>,
}

/// Carries out a schedule on a fleet.
pub(crate) struct ScheduleRunner<'s> {
    scene: &'s mut Scene,
    random: fastrand::Rng,
    fronts: Vec<FrontState>,
    /// Core machine whose process was sent SIGTERM.
    terminating_core: Option<usize>,
    /// Server that is draining, to be replaced.
    draining_server: Option<usize>,
    /// Servers replaced so far; makes each new server id unique.
    replaced_servers: usize,
    /// Configuration steps to hand to the operator.
    configuration_steps: VecDeque<Step>,
    exits: Vec<ProxyExit>,
    crashes: Vec<String>,
}

/// What was observed of the processes.
#[derive(Clone, Debug)]
pub(crate) struct Observations {
    /// Exits of proxies that were sent SIGTERM.
    pub(crate) exits: Vec<ProxyExit>,
    /// Processes that exited without a signal.
    pub(crate) crashes: Vec<String>,
    /// The longest interval between two polls of the processes: how late the test may have observed an exit.
    pub(crate) slowest_poll: Duration,
}

/// Sends a signal unless the process has just started: before its first instructions have run, any signal
/// ends it. Returns whether the signal was sent.
fn send_signal(process: &FleetProcess, signal: Signal) -> bool {
    let has_started = process.has_spoken();
    if has_started {
        process.signal(signal);
    }
    has_started
}

impl<'s> ScheduleRunner<'s> {
    /// A runner that has not carried out any step.
    pub(crate) fn new(scene: &'s mut Scene, seed: u64) -> ScheduleRunner<'s> {
        let fronts = vec![FrontState::default(); scene.fleet.fronts()];
        let random = fastrand::Rng::with_seed(!seed);
        ScheduleRunner {
            scene,
            random,
            fronts,
            terminating_core: None,
            draining_server: None,
            replaced_servers: 0,
            configuration_steps: VecDeque::new(),
            exits: Vec::new(),
            crashes: Vec::new(),
        }
    }

    /// Carries out all steps, waits until every terminated process is running again, and returns the
    /// observations.
    pub(crate) async fn run(mut self, schedule: Schedule) -> Observations {
        let (step_sender, mut step_receiver) = tokio::sync::mpsc::unbounded_channel();
        let operator = self.scene.operator.clone();
        let first_configuration = self.scene.configuration.clone();
        let replace_configurations = async move {
            let mut base = testkit::system::scene::FIRST_VERSION;
            while let Some(step) = step_receiver.recv().await {
                let route = Route::new(HOST, &format!("/v{}/", base + 1), "safe", POOL);
                let next = first_configuration.clone().version(base + 1).route(route);
                let conflicting = first_configuration.clone().version(base + 1);
                let accepted = match step {
                    Step::ReplaceConfigurationConcurrently => {
                        let (one, two) = tokio::join!(
                            operator.replace(base, next.value()),
                            operator.replace(base, conflicting.value())
                        );
                        one.is_taken() || two.is_taken()
                    }
                    _ => operator.replace(base, next.value()).await.is_taken(),
                };
                assert!(accepted, "version {} was not accepted", base + 1);
                base += 1;
            }
        };
        let carry_out_steps = async {
            let start = Instant::now();
            let (mut polled_at, mut slowest_poll) = (start, Duration::ZERO);
            let mut poll_interval = tokio::time::interval(LOOK_AGAIN);
            let mut steps: VecDeque<(Duration, Step)> = schedule.steps.into();
            while !steps.is_empty() || !self.is_idle() {
                poll_interval.tick().await;
                slowest_poll = slowest_poll.max(polled_at.elapsed());
                polled_at = Instant::now();
                assert!(
                    start.elapsed() < WITHIN * 3,
                    "terminated processes did not restart in time: {:?}",
                    self.fronts
                );
                while steps.front().is_some_and(|(at, _)| *at <= start.elapsed()) {
                    let (_, step) = steps.pop_front().expect("the front element was just checked");
                    self.step(step);
                }
                while let Some(step) = self.configuration_steps.pop_front() {
                    step_sender.send(step).expect("the operator task receives steps");
                }
                self.restart_exited().await;
                self.restart_crashed();
                self.replace_drained_server().await;
            }
            drop(step_sender);
            Observations { exits: self.exits, crashes: self.crashes, slowest_poll }
        };
        let (observations, ()) = tokio::join!(carry_out_steps, replace_configurations);
        observations
    }

    fn is_idle(&self) -> bool {
        let is_idle =
            |machine: &FrontState| machine.proxy_signaled_at.is_none() && machine.agent_signaled_at.is_none();
        self.fronts.iter().all(is_idle) && self.terminating_core.is_none() && self.draining_server.is_none()
    }

    fn step(&mut self, step: Step) {
        let now = Instant::now();
        let fleet = &mut self.scene.fleet;
        match step {
            Step::TerminateFront(front) => {
                let machine = &mut self.fronts[front];
                send_signal(fleet.proxy(front), Signal::TERM)
                    .then(|| machine.proxy_signaled_at.get_or_insert(now));
                send_signal(fleet.agent(front), Signal::TERM)
                    .then(|| machine.agent_signaled_at.get_or_insert(now));
            }
            Step::SighupFront(front) => {
                send_signal(fleet.proxy(front), Signal::HUP);
                send_signal(fleet.agent(front), Signal::HUP);
            }
            Step::TerminateAgent(front) => {
                let machine = &mut self.fronts[front];
                send_signal(fleet.agent(front), Signal::TERM)
                    .then(|| machine.agent_signaled_at.get_or_insert(now));
            }
            Step::TerminateCore(core) if self.terminating_core.is_none() => {
                self.terminating_core = send_signal(fleet.core(core), Signal::TERM).then_some(core);
            }
            Step::TerminateCore(_) => {}
            Step::SighupCore(core) => {
                send_signal(fleet.core(core), Signal::HUP);
            }
            Step::ReplaceConfiguration | Step::ReplaceConfigurationConcurrently => {
                self.configuration_steps.push_back(step)
            }
            Step::ReplaceServer if self.draining_server.is_none() => {
                let server = self.random.usize(..self.scene.servers.len());
                let id = self.scene.servers[server].id();
                self.scene.fleet.list.drain(&id);
                self.draining_server = Some(server);
            }
            Step::ReplaceServer => {}
        }
    }

    /// Restarts processes that exited after SIGTERM, and records the exits of proxies.
    async fn restart_exited(&mut self) {
        let grace_period = Duration::from_secs(GRACE_PERIOD_S);
        for front in 0..self.fronts.len() {
            let fleet = &mut self.scene.fleet;
            if self.fronts[front].agent_signaled_at.is_some() && !fleet.agent(front).runs() {
                fleet.start_agent(front);
                self.fronts[front].agent_signaled_at = None;
            }
            let Some(signaled_at) = self.fronts[front].proxy_signaled_at else { continue };
            let overdue = signaled_at.elapsed() >= grace_period;
            if fleet.proxy(front).runs() && !overdue {
                continue;
            }
            let success = !fleet.proxy(front).runs() && fleet.proxy(front).ended().await.success();
            self.exits.push(ProxyExit { front, signaled_at, exited_at: Instant::now(), success });
            self.scene.fleet.start_proxy(front);
            self.fronts[front].proxy_signaled_at = None;
        }
        if let Some(core) = self.terminating_core
            && !self.scene.fleet.core(core).runs()
        {
            self.scene.fleet.start_core(core);
            self.terminating_core = None;
        }
    }

    /// Records and restarts processes that exited without a signal.
    fn restart_crashed(&mut self) {
        let fleet = &mut self.scene.fleet;
        for (front, machine) in self.fronts.iter().enumerate() {
            if machine.proxy_signaled_at.is_none() && !fleet.proxy(front).runs() {
                self.crashes.push(format!("the proxy of front {front} exited without a signal"));
                fleet.start_proxy(front);
            }
            if machine.agent_signaled_at.is_none() && !fleet.agent(front).runs() {
                self.crashes.push(format!("the agent of front {front} exited without a signal"));
                fleet.start_agent(front);
            }
        }
        for core in (0..fleet.cores()).filter(|core| self.terminating_core != Some(*core)) {
            if !fleet.core(core).runs() {
                self.crashes.push(format!("core {core} exited without a signal"));
                fleet.start_core(core);
            }
        }
    }

    /// Replaces the draining server once it has received no request for a while and has answered all that it
    /// had.
    async fn replace_drained_server(&mut self) {
        let Some(server) = self.draining_server else { return };
        let seen = self.scene.servers[server].seen();
        let last_request = seen.requests.last().map(|request| request.at);
        let is_quiet = last_request.is_none_or(|last| last.elapsed() > Duration::from_millis(500));
        if !is_quiet || seen.answered.len() + seen.left.len() < seen.requests.len() {
            return;
        }
        self.replaced_servers += 1;
        let id = format!("i-{server}-{}", self.replaced_servers);
        self.scene.servers[server].restart(&id).await;
        self.scene.list_servers();
        self.draining_server = None;
    }
}
