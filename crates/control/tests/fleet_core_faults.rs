//! Core machines that are killed, paused, wiped and replaced: acknowledged versions are kept, and changes
//! continue.

use std::time::{Duration, Instant};

use testkit::system::scene::{FIRST_VERSION, HOST, POOL, Scene};
use testkit::system::{Configuration, Fleet, Plan, Route, Signal, until};

const CONTROL_BINARY: &str = env!("CARGO_BIN_EXE_dunelink-control");
/// `ackMs` of the settings.
const ACKNOWLEDGEMENT_LIMIT: Duration = Duration::from_secs(4);
/// `catchUpS` of the settings: until then a returned machine counts as lost, and no other may be lost.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(4);

/// The first configuration with another version and one more route.
fn configuration_with_version(scene: &Scene, version: u64) -> Configuration {
    let route = Route::new(HOST, &format!("/v{version}/"), "safe", POOL);
    scene.configuration.clone().version(version).route(route)
}

/// Replaces version `base` by `version`, and checks that it is acknowledged in time.
async fn replace_in_time(scene: &Scene, base: u64, version: u64) {
    let start = Instant::now();
    let outcome = scene.operator.replace(base, configuration_with_version(scene, version).value()).await;
    assert!(outcome.is_taken(), "version {version}: {outcome:?}");
    assert!(start.elapsed() <= ACKNOWLEDGEMENT_LIMIT, "version {version} took {:?}", start.elapsed());
}

/// Checks that the current configuration is `version`.
async fn assert_current_version(scene: &Scene, version: u64) {
    assert_eq!(scene.operator.read_whole().await, *configuration_with_version(scene, version).value());
}

/// Waits until the running core machines have all committed entries and vote, and checks that this is in
/// time.
async fn wait_until_caught_up(scene: &Scene, cores: &[usize]) {
    let start = Instant::now();
    scene.fleet.voters(cores).await;
    assert!(start.elapsed() <= CATCH_UP_LIMIT, "caught up after {:?}", start.elapsed());
}

#[tokio::test]
async fn changes_continue_after_leader_is_killed() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    let leader = scene.fleet.led().await;
    scene.fleet.kill_core(leader);
    replace_in_time(&scene, FIRST_VERSION, 8).await;
    for front in 0..2 {
        scene.gets(front, "/v8/x", 200).await;
    }
    scene.fleet.start_core(leader);
    wait_until_caught_up(&scene, &[0, 1, 2]).await;
    let leader = scene.fleet.led().await;
    scene.fleet.kill_core(leader);
    replace_in_time(&scene, 8, 9).await;
    assert_current_version(&scene, 9).await;
}

#[tokio::test]
async fn paused_leader_reports_no_older_version() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    let leader = scene.fleet.led().await;
    scene.fleet.core(leader).signal(Signal::STOP);
    replace_in_time(&scene, FIRST_VERSION, 8).await;
    scene.fleet.core(leader).signal(Signal::CONT);
    let resumed = scene.fleet.operator_of(&[leader]);
    assert_eq!(resumed.read_whole().await, *configuration_with_version(&scene, 8).value());
    let refused = resumed.replace(FIRST_VERSION, configuration_with_version(&scene, 9).value()).await;
    assert_eq!(refused.status(), 412, "{refused:?}");
}

#[tokio::test]
async fn acknowledged_changes_survive_killing_all_processes() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    for (base, version) in [(FIRST_VERSION, 8), (8, 9), (9, 12)] {
        replace_in_time(&scene, base, version).await;
        (0..3).for_each(|core| scene.fleet.kill_core(core));
        (0..3).for_each(|core| scene.fleet.start_core(core));
        assert_current_version(&scene, version).await;
    }
    replace_in_time(&scene, 12, 13).await;
    for front in 0..2 {
        scene.gets(front, "/v13/x", 200).await;
    }
}

#[tokio::test]
async fn minority_accepts_no_change() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    let leader = scene.fleet.led().await;
    let others: Vec<usize> = (0..3).filter(|core| *core != leader).collect();
    others.iter().for_each(|core| scene.fleet.kill_core(*core));
    let change = configuration_with_version(&scene, 8);
    let alone = scene.operator.replace_at(scene.fleet.control(leader), FIRST_VERSION, change.value()).await;
    assert!(
        !alone.as_ref().is_ok_and(|answer| answer.status() < 500),
        "one machine of three decided: {alone:?}"
    );
    others.iter().for_each(|core| scene.fleet.start_core(*core));
    let outcome = scene.operator.replace(FIRST_VERSION, configuration_with_version(&scene, 8).value()).await;
    assert!(outcome.is_taken(), "{outcome:?}");
    assert_current_version(&scene, 8).await;
}

#[tokio::test]
async fn wiped_machine_returns_and_another_may_fail() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    let leader = scene.fleet.led().await;
    scene.fleet.kill_core(leader);
    scene.fleet.wipe_core(leader);
    scene.fleet.start_core(leader);
    replace_in_time(&scene, FIRST_VERSION, 8).await;
    wait_until_caught_up(&scene, &[0, 1, 2]).await;
    let other = scene.fleet.led().await;
    let other = if other == leader { (leader + 1) % 3 } else { other };
    scene.fleet.kill_core(other);
    replace_in_time(&scene, 8, 9).await;
    assert_current_version(&scene, 9).await;
}

#[tokio::test]
async fn acknowledged_change_survives_wipe_and_kill_of_all() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    let leader = scene.fleet.led().await;
    replace_in_time(&scene, FIRST_VERSION, 8).await;
    (0..3).for_each(|core| scene.fleet.kill_core(core));
    scene.fleet.wipe_core(leader);
    (0..3).for_each(|core| scene.fleet.start_core(core));
    assert_current_version(&scene, 8).await;
    replace_in_time(&scene, 8, 9).await;
}

#[tokio::test]
async fn empty_machine_replaces_removed_one_and_another_may_fail() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    for (base, version) in [(FIRST_VERSION, 8), (8, 9), (9, 10)] {
        let removed = scene.fleet.led().await;
        scene.fleet.remove_core(removed);
        let new = scene.fleet.add_core();
        scene.fleet.start_core(new);
        scene.operator = scene.fleet.operator();
        replace_in_time(&scene, base, version).await;
        let remaining = scene.fleet.remaining_cores();
        wait_until_caught_up(&scene, &remaining).await;
    }
    assert_current_version(&scene, 10).await;
    (0..scene.fleet.cores()).for_each(|core| scene.fleet.kill_core(core));
    scene.fleet.remaining_cores().into_iter().for_each(|core| scene.fleet.start_core(core));
    assert_current_version(&scene, 10).await;
    for front in 0..2 {
        scene.gets(front, "/v10/x", 200).await;
    }
}

#[tokio::test]
async fn machines_form_a_fleet_in_any_start_order() {
    let plan = testkit::system::Plan { cores: 3, fronts: 2 };
    let mut scene = Scene::prepared(CONTROL_BINARY, plan, 2).await;
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
async fn sigterm_ends_leader_and_transfers_leadership() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    let leader = scene.fleet.led().await;
    scene.fleet.core(leader).signal(Signal::TERM);
    let status = scene.fleet.core(leader).ended().await;
    assert!(status.success(), "{status}");
    replace_in_time(&scene, FIRST_VERSION, 8).await;
}

/// SIGHUP may be sent repeatedly, also to a program that waits for its disk.
#[tokio::test]
async fn sighup_before_the_store_opens_is_ignored() {
    let mut fleet = Fleet::start(CONTROL_BINARY, Plan { cores: 1, fronts: 0 }).await;
    fleet.led().await;
    fleet.kill_core(0);
    let data = fleet.data(0);
    fleet.wipe_core(0);
    std::fs::write(&data, "no folder").expect("a file in place of the folder");
    fleet.core(0).start();
    let is_waiting = || {
        std::future::ready(fleet.core(0).log().contains("cannot open the store yet, retrying").then_some(()))
    };
    until("the program to wait for its store", is_waiting).await;
    fleet.core(0).signal(Signal::HUP);
    std::fs::remove_file(&data).expect("the file in place of the folder");
    fleet.led().await;
    assert!(fleet.core(0).runs());
}
