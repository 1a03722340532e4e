//! A soak test of planned operations: clients keep using their connections while overlapping series of
//! signals, restarts, configuration changes and server list changes are carried out.

mod clients;
mod runner;
mod schedule;
mod validation;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use testkit::system::scene::{FIXED, HOST, POOL, RESUMABLE, SAFE, Scene, UNSAFE};
use testkit::system::{Plan, Reply, Route};

use clients::ClientPool;
use runner::ScheduleRunner;
use schedule::Schedule;

/// Grace period (`graceS`) of the processes of a soak, in seconds.
pub(crate) const GRACE_PERIOD_S: u64 = 3;
/// Pause between the events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// Timeout of the resumable route, whose streams may outlast the grace period.
const LONG_TIMEOUT_MS: u64 = 6_000;
/// Timeout of the other routes.
const SHORT_TIMEOUT_MS: u64 = 2_000;
/// Core machines.
const CORE_COUNT: u8 = 3;
/// Model servers.
const SERVER_COUNT: u8 = 6;

/// The timeout of a route; afterwards its requests may end without a response.
pub(crate) fn route_timeout(path: &str) -> Duration {
    Duration::from_millis(if path == RESUMABLE { LONG_TIMEOUT_MS } else { SHORT_TIMEOUT_MS })
}

/// The size of a soak.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SoakSize {
    /// Front machines; each runs an agent and a proxy.
    pub(crate) fronts: u8,
    /// Clients for each front machine.
    pub(crate) clients_per_front: usize,
    /// Period in which the steps of the schedule start.
    pub(crate) duration: Duration,
}

/// Runs the soak of one seed and returns its failures, one line each.
pub(crate) async fn run_soak(own: &str, seed: u64, size: SoakSize) -> Vec<String> {
    let mut scene = start_fleet(own, size).await;
    let schedule = Schedule::from_seed(seed, size);
    let stop = Arc::new(AtomicBool::new(false));
    let clients = ClientPool::new(&scene, seed, size);
    let (observed, requests) = tokio::join!(
        async {
            let observed = ScheduleRunner::new(&mut scene, seed).run(schedule).await;
            stop.store(true, Ordering::Relaxed);
            observed
        },
        clients.run(&stop)
    );
    let mut failures = observed.crashes.clone();
    failures.extend(validation::check_exits(&observed.exits));
    failures.extend(validation::check_requests(&scene, &requests, &observed.exits));
    failures.extend(validation::check_logs(&mut scene));
    let (exits, summary, slowest_poll) =
        (observed.exits.len(), validation::summary(&scene, &requests), observed.slowest_poll);
    eprintln!(
        "seed {seed}: {exits} proxy exits, {summary}, slowest poll {slowest_poll:?}, {} failures",
        failures.len()
    );
    if !failures.is_empty() {
        scene.fleet.show_logs();
    }
    failures.into_iter().map(|failure| format!("seed {seed}: {failure}")).collect()
}

/// Starts a fleet whose routes have short timeouts, except for the resumable one.
async fn start_fleet(own: &str, size: SoakSize) -> Scene {
    let plan = Plan { cores: CORE_COUNT, fronts: size.fronts };
    let mut scene = Scene::prepared(own, plan, SERVER_COUNT).await;
    scene.fleet.bound("graceS", &GRACE_PERIOD_S.to_string());
    let with_short_timeout = |route: Route| route.with("timeoutMs", SHORT_TIMEOUT_MS.into());
    scene.configuration = [SAFE, UNSAFE, FIXED, RESUMABLE]
        .into_iter()
        .fold(scene.configuration, testkit::system::Configuration::without_route)
        .route(with_short_timeout(Route::new(HOST, SAFE, "safe", POOL)))
        .route(with_short_timeout(Route::new(HOST, UNSAFE, "unsafe", POOL)))
        .route(with_short_timeout(Route::streaming(HOST, FIXED, POOL, false)))
        .route(Route::streaming(HOST, RESUMABLE, POOL, true).with("timeoutMs", LONG_TIMEOUT_MS.into()));
    scene.usually(&Reply::as_asked(EVENT_PAUSE));
    scene.started(size.fronts.into()).await;
    scene
}
