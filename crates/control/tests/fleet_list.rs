//! The platform's server list: a single reader within the rate limit, and a fleet that keeps serving when the
//! list is unavailable.

use std::time::Duration;

use testkit::system::scene::{SAFE, Scene, UNSAFE};
use testkit::system::{ModelServer, until};

const CONTROL_BINARY: &str = env!("CARGO_BIN_EXE_dunelink-control");
/// Period in which calls are counted.
const COUNTING_PERIOD: Duration = Duration::from_secs(3);
/// Most calls a second of the whole fleet, far below the `ratePerS` of 44.
const MAX_CALLS_PER_S: u64 = 8;

#[tokio::test]
async fn whole_fleet_reads_the_list_within_rate() {
    let scene = Scene::small(CONTROL_BINARY).await;
    let before = scene.fleet.list.calls().len();
    let start = tokio::time::Instant::now();
    until("the counting period to pass", || async {
        assert_eq!(scene.get(0, "GET", SAFE).await.status(), 200);
        (start.elapsed() >= COUNTING_PERIOD).then_some(())
    })
    .await;
    let calls = (scene.fleet.list.calls().len() - before) as u64;
    assert!(
        calls > 0 && calls <= MAX_CALLS_PER_S * COUNTING_PERIOD.as_secs(),
        "{calls} calls in {COUNTING_PERIOD:?}"
    );
}

#[tokio::test]
async fn fleet_serves_without_list_after_leader_and_proxy_change() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    scene.fleet.list.stop().await;
    let leader = scene.fleet.led().await;
    scene.fleet.kill_core(leader);
    scene.fleet.led().await;
    for front in 0..2 {
        assert_eq!(scene.get(front, "POST", UNSAFE).await.status(), 200);
    }
    scene.fleet.proxy(0).kill();
    scene.fleet.agent(0).kill();
    scene.fleet.start_front(0);
    scene.fleet.ready(0).await;
    scene.served(0).await;
    scene.fleet.list.listen().await;
    scene.fleet.list.read().await;
}

#[tokio::test]
async fn paged_list_is_read_completely_despite_failures() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    for number in 2..9 {
        let server = ModelServer::start(scene.fleet.network.server(number), &format!("i-{number}")).await;
        scene.servers.push(server);
    }
    scene.fleet.list.page(2);
    scene.list_servers();
    scene.fleet.list.read().await;
    scene.fleet.list.fails(true);
    for _ in 0..20 {
        assert_eq!(scene.get(0, "POST", UNSAFE).await.status(), 200);
    }
    scene.fleet.list.fails(false);
    scene.fleet.list.edit(|entries| entries.truncate(1));
    scene.fleet.list.read().await;
    let consecutive = std::cell::Cell::new(0);
    until("all requests to reach the remaining server", || async {
        let request = scene.client(1).request("GET", SAFE);
        assert_eq!(scene.ask(1, &request).await.status(), 200);
        consecutive.set(if scene.servers[0].runs(&request.id) == 1 { consecutive.get() + 1 } else { 0 });
        (consecutive.get() == 20).then_some(())
    })
    .await;
}

#[tokio::test]
async fn crashed_listed_server_fails_no_request() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    scene.servers[0].stop().await;
    for round in 0..30 {
        for target in [SAFE, UNSAFE] {
            let answer = scene.get(round % 2, "POST", target).await;
            assert_eq!(answer.status(), 200, "round {round}, {target}: {:?}", answer.head);
        }
    }
}
