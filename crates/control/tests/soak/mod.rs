//! A soak of planned work: clients that keep using their connections until the process is gone, while
//! signals, restarts, configurations and changes of the list come in series and overlap.

mod clients;
mod schedule;
mod verdict;
mod work;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use testkit::system::scene::{FIXED, HOST, POOL, RESUMABLE, SAFE, Scene, UNSAFE};
use testkit::system::{Plan, Reply, Route};

use clients::Crowd;
use schedule::Schedule;
use work::Work;

/// The grace of the processes of a soak, in seconds.
pub(crate) const GRACE_S: u64 = 3;
/// Pause between the events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// Time of a route whose streams may outlast the grace.
const LONG_MS: u64 = 6_000;
/// Time of the other routes.
const SHORT_MS: u64 = 2_000;
/// Machines of the core.
const CORES: u8 = 3;
/// Model servers.
const SERVERS: u8 = 6;

/// The time of a route: its requests may end without an answer once it is over.
pub(crate) fn time_of(path: &str) -> Duration {
    Duration::from_millis(if path == RESUMABLE { LONG_MS } else { SHORT_MS })
}

/// How large a soak is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    /// Front machines; two processes on each.
    pub(crate) fronts: u8,
    /// Clients for each of them.
    pub(crate) clients_each: usize,
    /// How long signals and changes are sent for.
    pub(crate) length: Duration,
}

/// Plays the soak of one seed and gives what is wrong with it, one line each.
pub(crate) async fn play(own: &str, seed: u64, size: Size) -> Vec<String> {
    let mut scene = prepared(own, size).await;
    let schedule = Schedule::draw(seed, size);
    let over = Arc::new(AtomicBool::new(false));
    let crowd = Crowd::new(&scene, seed, size);
    let (seen, requests) = tokio::join!(
        async {
            let seen = Work::new(&mut scene, seed).follow(schedule).await;
            over.store(true, Ordering::Relaxed);
            seen
        },
        crowd.ask(&over)
    );
    let mut wrong = seen.crashes.clone();
    wrong.extend(verdict::of_ends(&seen.ends));
    wrong.extend(verdict::of_requests(&scene, &requests, &seen.ends));
    wrong.extend(verdict::of_logs(&mut scene));
    let (ends, counts, late) = (seen.ends.len(), verdict::counts(&scene, &requests), seen.slowest_look);
    eprintln!("seed {seed}: {ends} ends, {counts}, the test up to {late:?} late, {} wrong", wrong.len());
    if !wrong.is_empty() {
        scene.fleet.show_logs();
    }
    wrong.into_iter().map(|wrong| format!("seed {seed}: {wrong}")).collect()
}

async fn prepared(own: &str, size: Size) -> Scene {
    let plan = Plan { cores: CORES, fronts: size.fronts };
    let mut scene = Scene::prepared(own, plan, SERVERS).await;
    scene.fleet.bound("graceS", &GRACE_S.to_string());
    let short = |route: Route| route.with("timeoutMs", SHORT_MS.into());
    scene.configuration = [SAFE, UNSAFE, FIXED, RESUMABLE]
        .into_iter()
        .fold(scene.configuration, testkit::system::Configuration::without_route)
        .route(short(Route::new(HOST, SAFE, "safe", POOL)))
        .route(short(Route::new(HOST, UNSAFE, "unsafe", POOL)))
        .route(short(Route::streaming(HOST, FIXED, POOL, false)))
        .route(Route::streaming(HOST, RESUMABLE, POOL, true).with("timeoutMs", LONG_MS.into()));
    scene.usually(&Reply::as_asked(EVENT_PAUSE));
    scene.started(size.fronts.into()).await;
    scene
}
