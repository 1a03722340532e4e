//! Random faults of the core from a seed, while an operator goes on sending changes: each acknowledged
//! version is kept, versions only rise, and fronts follow.

use std::time::{Duration, Instant};

use testkit::system::scene::{FIRST_VERSION, HOST, POOL, Scene};
use testkit::system::{Configuration, Outcome, Route, Signal};

const OWN: &str = env!("CARGO_BIN_EXE_dunelink-control");
/// Faults of a schedule.
const FAULTS: usize = 8;
/// `configMs` of the settings, and as much for a core that has just come back.
const IN_FORCE: Duration = Duration::from_secs(4);

fn next(scene: &Scene, version: u64) -> Configuration {
    let route = Route::new(HOST, &format!("/v{version}/"), "safe", POOL);
    scene.configuration.clone().version(version).route(route)
}

/// One fault; all machines run at its end, and the disks of at most one are empty.
async fn fault(scene: &mut Scene, random: &mut fastrand::Rng) -> String {
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
            format!("stop {any} for a while")
        }
        _ => {
            scene.fleet.core(any).signal(Signal::TERM);
            scene.fleet.core(any).ended().await;
            scene.fleet.start_core(any);
            format!("end {any}")
        }
    }
}

async fn schedule(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut scene = Scene::small(OWN).await;
    let mut base = FIRST_VERSION;
    let mut story = Vec::new();
    for _ in 0..FAULTS {
        // Directly on the acknowledgement, or while a change is under way.
        let version = base + random.u64(1..4);
        let change = next(&scene, version);
        let operator = scene.operator.clone();
        let outcome = if random.bool() {
            let ordered = operator.replace(base, change.value()).await;
            story.push(fault(&mut scene, &mut random).await);
            ordered
        } else {
            let (ordered, told) =
                tokio::join!(operator.replace(base, change.value()), fault(&mut scene, &mut random));
            story.push(told);
            ordered
        };
        // An order that was given up unclear is sent again to whoever is there now.
        let outcome = if matches!(outcome, Outcome::Unclear(_)) {
            scene.operator.replace(base, change.value()).await
        } else {
            outcome
        };
        assert!(outcome.is_taken(), "seed {seed}, version {version} after {story:?}: {outcome:?}");
        let read = scene.operator.read_whole().await;
        assert_eq!(read, *change.value(), "seed {seed}, version {version} after {story:?}");
        base = version;
        let all = scene.fleet.remaining_cores();
        scene.fleet.voters(&all).await;
    }
    let start = Instant::now();
    for front in 0..2 {
        scene.gets(front, &format!("/v{base}/x"), 200).await;
    }
    assert!(start.elapsed() <= IN_FORCE, "seed {seed}: in force after {:?}, {story:?}", start.elapsed());
}

#[tokio::test]
async fn schedule_of_seed_1() {
    schedule(1).await;
}

#[tokio::test]
async fn schedule_of_seed_2() {
    schedule(2).await;
}

#[tokio::test]
async fn schedule_of_seed_3() {
    schedule(3).await;
}
