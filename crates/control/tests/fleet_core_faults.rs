//! Core machines that are killed, paused, wiped and replaced: what was acknowledged stays, and changes go on.

use std::time::{Duration, Instant};

use testkit::system::scene::{FIRST_VERSION, HOST, POOL, Scene};
use testkit::system::{Configuration, Fleet, Plan, Route, Signal, until};

const OWN: &str = env!("CARGO_BIN_EXE_dunelink-control");
/// `ackMs` of the settings.
const ACKNOWLEDGED: Duration = Duration::from_secs(4);
/// `catchUpS` of the settings: until then a returned machine counts as lost, and no other may go.
const CAUGHT_UP: Duration = Duration::from_secs(4);

fn next(scene: &Scene, version: u64) -> Configuration {
    let route = Route::new(HOST, &format!("/v{version}/"), "safe", POOL);
    scene.configuration.clone().version(version).route(route)
}

/// Sends a version on top of another, and has it in time.
async fn taken(scene: &Scene, base: u64, version: u64) {
    let start = Instant::now();
    let outcome = scene.operator.replace(base, next(scene, version).value()).await;
    assert!(outcome.is_taken(), "version {version}: {outcome:?}");
    assert!(start.elapsed() <= ACKNOWLEDGED, "version {version} took {:?}", start.elapsed());
}

/// Reads back a version.
async fn reads(scene: &Scene, version: u64) {
    assert_eq!(scene.operator.read_whole().await, *next(scene, version).value());
}

/// Waits until all core machines that run have all that is committed and vote, and has it in time.
async fn caught_up(scene: &Scene, cores: &[usize]) {
    let start = Instant::now();
    scene.fleet.voters(cores).await;
    assert!(start.elapsed() <= CAUGHT_UP, "caught up after {:?}", start.elapsed());
}

#[tokio::test]
async fn a_killed_leader_holds_up_no_change_for_long() {
    let mut scene = Scene::small(OWN).await;
    let leader = scene.fleet.led().await;
    scene.fleet.kill_core(leader);
    taken(&scene, FIRST_VERSION, 8).await;
    for front in 0..2 {
        scene.gets(front, "/v8/x", 200).await;
    }
    scene.fleet.start_core(leader);
    caught_up(&scene, &[0, 1, 2]).await;
    let leader = scene.fleet.led().await;
    scene.fleet.kill_core(leader);
    taken(&scene, 8, 9).await;
    reads(&scene, 9).await;
}

#[tokio::test]
async fn a_leader_that_stood_still_says_nothing_of_an_older_version() {
    let mut scene = Scene::small(OWN).await;
    let leader = scene.fleet.led().await;
    scene.fleet.core(leader).signal(Signal::STOP);
    taken(&scene, FIRST_VERSION, 8).await;
    scene.fleet.core(leader).signal(Signal::CONT);
    let stale = scene.fleet.operator_of(&[leader]);
    assert_eq!(stale.read_whole().await, *next(&scene, 8).value());
    let refused = stale.replace(FIRST_VERSION, next(&scene, 9).value()).await;
    assert_eq!(refused.status(), 412, "{refused:?}");
}

#[tokio::test]
async fn what_was_acknowledged_outlives_the_death_of_all_processes() {
    let mut scene = Scene::small(OWN).await;
    for (base, version) in [(FIRST_VERSION, 8), (8, 9), (9, 12)] {
        taken(&scene, base, version).await;
        (0..3).for_each(|core| scene.fleet.kill_core(core));
        (0..3).for_each(|core| scene.fleet.start_core(core));
        reads(&scene, version).await;
    }
    taken(&scene, 12, 13).await;
    for front in 0..2 {
        scene.gets(front, "/v13/x", 200).await;
    }
}

#[tokio::test]
async fn nothing_is_decided_by_a_minority() {
    let mut scene = Scene::small(OWN).await;
    let leader = scene.fleet.led().await;
    let others: Vec<usize> = (0..3).filter(|core| *core != leader).collect();
    others.iter().for_each(|core| scene.fleet.kill_core(*core));
    let change = next(&scene, 8);
    let alone = scene.operator.replace_at(scene.fleet.control(leader), FIRST_VERSION, change.value()).await;
    assert!(!alone.as_ref().is_ok_and(|answer| answer.status() < 500), "one of three decided: {alone:?}");
    others.iter().for_each(|core| scene.fleet.start_core(*core));
    let outcome = scene.operator.replace(FIRST_VERSION, next(&scene, 8).value()).await;
    assert!(outcome.is_taken(), "{outcome:?}");
    reads(&scene, 8).await;
}

#[tokio::test]
async fn a_machine_that_lost_its_disk_comes_back_and_another_may_go() {
    let mut scene = Scene::small(OWN).await;
    let leader = scene.fleet.led().await;
    scene.fleet.kill_core(leader);
    scene.fleet.wipe_core(leader);
    scene.fleet.start_core(leader);
    taken(&scene, FIRST_VERSION, 8).await;
    caught_up(&scene, &[0, 1, 2]).await;
    let other = scene.fleet.led().await;
    let other = if other == leader { (leader + 1) % 3 } else { other };
    scene.fleet.kill_core(other);
    taken(&scene, 8, 9).await;
    reads(&scene, 9).await;
}

#[tokio::test]
async fn an_acknowledgement_outlives_a_wiped_disk_and_the_death_of_all() {
    let mut scene = Scene::small(OWN).await;
    let leader = scene.fleet.led().await;
    taken(&scene, FIRST_VERSION, 8).await;
    (0..3).for_each(|core| scene.fleet.kill_core(core));
    scene.fleet.wipe_core(leader);
    (0..3).for_each(|core| scene.fleet.start_core(core));
    reads(&scene, 8).await;
    taken(&scene, 8, 9).await;
}

#[tokio::test]
async fn an_empty_machine_takes_the_place_of_a_gone_one_and_another_may_go() {
    let mut scene = Scene::small(OWN).await;
    for (base, version) in [(FIRST_VERSION, 8), (8, 9), (9, 10)] {
        let gone = scene.fleet.led().await;
        scene.fleet.remove_core(gone);
        let new = scene.fleet.add_core();
        scene.fleet.start_core(new);
        scene.operator = scene.fleet.operator();
        taken(&scene, base, version).await;
        let left = scene.fleet.remaining_cores();
        caught_up(&scene, &left).await;
    }
    reads(&scene, 10).await;
    (0..scene.fleet.cores()).for_each(|core| scene.fleet.kill_core(core));
    scene.fleet.remaining_cores().into_iter().for_each(|core| scene.fleet.start_core(core));
    reads(&scene, 10).await;
    for front in 0..2 {
        scene.gets(front, "/v10/x", 200).await;
    }
}

#[tokio::test]
async fn machines_that_start_in_any_order_find_one_another() {
    let plan = testkit::system::Plan { cores: 3, fronts: 2 };
    let mut scene = Scene::prepared(OWN, plan, 2).await;
    scene.fleet.start_front(1);
    scene.fleet.start_core(2);
    scene.fleet.start_front(0);
    scene.fleet.start_core(1);
    scene.fleet.start_core(0);
    scene.configured().await;
    for front in 0..2 {
        scene.fleet.ready(front).await;
        scene.served(front).await;
    }
}

#[tokio::test]
async fn a_core_machine_ends_by_sigterm_and_hands_over() {
    let mut scene = Scene::small(OWN).await;
    let leader = scene.fleet.led().await;
    scene.fleet.core(leader).signal(Signal::TERM);
    let status = scene.fleet.core(leader).ended().await;
    assert!(status.success(), "{status}");
    taken(&scene, FIRST_VERSION, 8).await;
}

/// SIGHUP comes in series, also to a program that waits for its disk.
#[tokio::test]
async fn a_sighup_before_the_store_is_open_does_not_end_the_program() {
    let mut fleet = Fleet::start(OWN, Plan { cores: 1, fronts: 0 }).await;
    fleet.led().await;
    fleet.kill_core(0);
    let data = fleet.data(0);
    fleet.wipe_core(0);
    std::fs::write(&data, "no folder").expect("a file in the folder's place");
    fleet.core(0).start();
    let waits = || {
        std::future::ready(fleet.core(0).log().contains("cannot open the store yet, retrying").then_some(()))
    };
    until("the program to wait for its store", waits).await;
    fleet.core(0).signal(Signal::HUP);
    std::fs::remove_file(&data).expect("the file in the folder's place");
    fleet.led().await;
    assert!(fleet.core(0).runs());
}
