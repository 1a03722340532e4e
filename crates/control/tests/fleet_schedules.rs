//! Seeded random faults of the core while an operator keeps sending changes: each acknowledged version is
//! kept, versions only increase, and fronts follow.

use std::time::{Duration, Instant};

use testkit::system::scene::{FIRST_VERSION, HOST, POOL, Scene};
use testkit::system::{Configuration, Outcome, Route, Signal};

const CONTROL_BINARY: &str = env!("CARGO_BIN_EXE_dunelink-control");
/// Faults in one schedule.
const FAULTS_PER_SCHEDULE: usize = 8;
/// `configMs` of the settings, and the same time again for a core that has just returned.
const APPLY_LIMIT: Duration = Duration::from_secs(4);

/// The first configuration with another version and one more route.
fn configuration_with_version(scene: &Scene, version: u64) -> Configuration {
    let route = Route::new(HOST, &format!("/v{version}/"), "safe", POOL);
    scene.configuration.clone().version(version).route(route)
}

/// Injects one fault and returns its description. Afterwards all machines run, and the disk of at most one is
/// empty.
async fn inject_fault(scene: &mut Scene, random: &mut fastrand::Rng) -> String {
    let cores = scene.fleet.remaining_cores();
    let any = cores[random.usize(..cores.len())];
    match random.u8(..7) {
        0 => {
            scene.fleet.kill_core(any);
            scene.fleet.start_core(any);
            format!("kill {any}")
        }
        1 => {
            cores.iter().for_each(|core| scene.fleet.kill_core(*core));
            cores.iter().for_each(|core| scene.fleet.start_core(*core));
            "kill all".to_owned()
        }
        2 => {
            scene.fleet.kill_core(any);
            scene.fleet.wipe_core(any);
            scene.fleet.start_core(any);
            format!("wipe {any}")
        }
        3 => {
            cores.iter().for_each(|core| scene.fleet.kill_core(*core));
            scene.fleet.wipe_core(any);
            cores.iter().for_each(|core| scene.fleet.start_core(*core));
            format!("kill all, wipe {any}")
        }
        4 => {
            scene.fleet.remove_core(any);
            let new = scene.fleet.add_core();
            scene.fleet.start_core(new);
            scene.operator = scene.fleet.operator();
            format!("replace {any} by {new}")
        }
        5 => {
            scene.fleet.core(any).signal(Signal::STOP);
            scene.fleet.led().await;
            scene.fleet.core(any).signal(Signal::CONT);
            format!("pause {any} for a while")
        }
        _ => {
            scene.fleet.core(any).signal(Signal::TERM);
            scene.fleet.core(any).ended().await;
            scene.fleet.start_core(any);
            format!("terminate {any}")
        }
    }
}

/// Runs the schedule of a seed.
async fn run_schedule(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut scene = Scene::small(CONTROL_BINARY).await;
    let mut base = FIRST_VERSION;
    let mut fault_history = Vec::new();
    for _ in 0..FAULTS_PER_SCHEDULE {
        // The fault happens directly after the acknowledgement, or while the change is in progress.
        let version = base + random.u64(1..4);
        let change = configuration_with_version(&scene, version);
        let operator = scene.operator.clone();
        let outcome = if random.bool() {
            let outcome = operator.replace(base, change.value()).await;
            fault_history.push(inject_fault(&mut scene, &mut random).await);
            outcome
        } else {
            let (outcome, description) =
                tokio::join!(operator.replace(base, change.value()), inject_fault(&mut scene, &mut random));
            fault_history.push(description);
            outcome
        };
        // A change whose outcome is unclear is retried at the machines that are present now.
        let outcome = if matches!(outcome, Outcome::Unclear(_)) {
            scene.operator.replace(base, change.value()).await
        } else {
            outcome
        };
        assert!(outcome.is_taken(), "seed {seed}, version {version} after {fault_history:?}: {outcome:?}");
        let read = scene.operator.read_whole().await;
        assert_eq!(read, *change.value(), "seed {seed}, version {version} after {fault_history:?}");
        base = version;
        let cores = scene.fleet.remaining_cores();
        scene.fleet.voters(&cores).await;
    }
    let start = Instant::now();
    for front in 0..2 {
        scene.gets(front, &format!("/v{base}/x"), 200).await;
    }
    assert!(
        start.elapsed() <= APPLY_LIMIT,
        "seed {seed}: applied after {:?}, {fault_history:?}",
        start.elapsed()
    );
}

#[tokio::test]
async fn schedule_of_seed_1() {
    run_schedule(1).await;
}

#[tokio::test]
async fn schedule_of_seed_2() {
    run_schedule(2).await;
}

#[tokio::test]
async fn schedule_of_seed_3() {
    run_schedule(3).await;
}
