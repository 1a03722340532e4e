//! The operators' procedures for replacing a lost control machine and for restoring a fleet.

mod support;

use support::{FLEET_COMMAND, TemporaryFolder, run_command};
use testkit::system::scene::{HOST, POOL, SAFE, Scene};
use testkit::system::{Entry, ModelServer, Route, until};

async fn run_blocking(arguments: Vec<String>) -> support::CommandResult {
    let run = move || run_command(&arguments.iter().map(String::as_str).collect::<Vec<_>>());
    tokio::task::spawn_blocking(run).await.expect("the command panicked")
}

fn to_strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

#[tokio::test]
async fn fleet_is_restored_from_a_data_folder() {
    let mut scene = Scene::small(FLEET_COMMAND).await;
    // Raises the term above the first term of the new group.
    let first = scene.fleet.led().await;
    scene.fleet.kill_core(first);
    scene.fleet.led().await;
    scene.list_servers();
    scene.fleet.list.read().await;
    (0..3).for_each(|core| scene.fleet.kill_core(core));
    let folder = scene.fleet.data(0).display().to_string();
    let saved = run_blocking(to_strings(&["config", "read", "--from", &folder, "--with-keys"])).await;
    assert_eq!(saved.code, 0, "{saved:?}");
    assert_eq!(saved.stdout.trim(), scene.configuration.value().to_string());
    (0..3).for_each(|core| scene.fleet.wipe_core(core));
    scene.fleet.found_anew();
    (0..3).for_each(|core| scene.fleet.start_core(core));
    scene.fleet.led().await;
    assert_eq!(scene.get(0, "GET", SAFE).await.status(), 200, "before the new group has a configuration");
    let next = scene.configuration.clone().version(7);
    let next = next.route(Route::new(HOST, "/more/", "safe", POOL));
    let files = TemporaryFolder::new();
    let file = files.file("next.json", &next.value().to_string());
    let control = scene.fleet.control(1).to_string();
    let put = run_blocking(to_strings(&["config", "put", &file, "--base", "0", "--control", &control])).await;
    assert_eq!(put.code, 0, "{put:?}");
    for front in 0..2 {
        scene.gets(front, "/more/x", 200).await;
    }
    for front in 0..2 {
        scene.fleet.agent(front).kill();
        scene.fleet.proxy(front).kill();
        scene.fleet.start_front(front);
        scene.fleet.ready(front).await;
    }
    let new = ModelServer::start(scene.fleet.network.server(9), "i-9").await;
    scene.fleet.list.set(vec![Entry::ready("i-9", POOL, new.address(), "zone-1")]);
    let new_server_is_used = || async {
        scene.get(0, "GET", SAFE).await;
        scene.get(1, "GET", SAFE).await;
        (new.seen().requests.len() >= 2).then_some(())
    };
    until("a server listed after the restore to be used", new_server_is_used).await;
}

#[tokio::test]
async fn lost_control_machine_is_replaced() {
    let mut scene = Scene::small(FLEET_COMMAND).await;
    scene.fleet.remove_core(2);
    let new = scene.fleet.add_core();
    scene.fleet.start_core(new);
    scene.fleet.voters(&[0, 1, new]).await;
    let control = scene.fleet.control(new).to_string();
    let listed = || async {
        let result = run_blocking(to_strings(&["status", "--control", &control])).await;
        result.stdout.contains(&control).then_some(result)
    };
    let result = until("the new machine to appear in the status", listed).await;
    assert!(!result.stdout.contains(&scene.fleet.control(2).to_string()), "{}", result.stdout);
}
