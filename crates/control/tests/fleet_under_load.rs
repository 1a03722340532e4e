//! Planned operations and core faults while clients keep sending requests.

use std::cell::Cell;
use std::time::Duration;

use testkit::system::model_server::Seen;
use testkit::system::scene::{FIRST_VERSION, FIXED, HOST, POOL, RESUMABLE, SAFE, Scene, UNSAFE};
use testkit::system::{Fleet, Pace, Reply, Route, Signal, TestClient, until};

const CONTROL_BINARY: &str = env!("CARGO_BIN_EXE_dunelink-control");
/// Least time between the starts of two requests of one client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// Consecutive requests at other servers that show that a server receives none.
const CONSECUTIVE_REQUESTS: usize = 40;
/// Routes that clients use in turn.
const ROUTES: [&str; 4] = [SAFE, UNSAFE, RESUMABLE, FIXED];

/// Outcomes of the requests of one client.
#[derive(Debug, Default)]
struct ClientOutcomes {
    /// Requests answered with 200.
    served: usize,
    /// Ids of requests whose connection ended without a complete response.
    interrupted: Vec<String>,
    /// Ids and statuses of requests answered with another status.
    not_served: Vec<(String, u16)>,
}

/// Sends requests until `stop` is set, on one kept connection if `keep_connection`, otherwise on a new one
/// each time.
async fn send_requests(client: &TestClient, keep_connection: bool, stop: &Cell<bool>) -> ClientOutcomes {
    let mut outcomes = ClientOutcomes::default();
    let mut open_connection = None;
    let mut targets = ROUTES.iter().cycle();
    let mut interval = tokio::time::interval(REQUEST_INTERVAL);
    while !stop.get() {
        interval.tick().await;
        let connection = match open_connection.take() {
            Some(connection) => Ok(connection),
            None => client.connect().await,
        };
        // A front that is down accepts no connection.
        let Ok(mut connection) = connection else { continue };
        let request = client.request("POST", targets.next().expect("a cycle")).body(b"words");
        match connection.ask(&request).await {
            Ok(answer) => {
                if keep_connection && !answer.head.closes() {
                    open_connection = Some(connection);
                }
                match answer.status() {
                    200 => outcomes.served += 1,
                    other => outcomes.not_served.push((request.id, other)),
                }
            }
            Err(_) => outcomes.interrupted.push(request.id),
        }
    }
    outcomes
}

/// Runs `operation` while two clients send requests to each front, and returns the outcomes for each client.
async fn run_under_load(scene: &mut Scene, operation: impl AsyncFnOnce(&mut Scene)) -> Vec<ClientOutcomes> {
    let stop = Cell::new(false);
    let clients: Vec<TestClient> = (0..2).map(|front| scene.client(front)).collect();
    let (a, b) = (&clients[0], &clients[1]);
    let run_operation = async {
        operation(scene).await;
        stop.set(true);
    };
    let loads = async {
        tokio::join!(
            send_requests(a, true, &stop),
            send_requests(a, false, &stop),
            send_requests(b, true, &stop),
            send_requests(b, false, &stop)
        )
    };
    let (outcomes_by_client, ()) = tokio::join!(loads, run_operation);
    vec![outcomes_by_client.0, outcomes_by_client.1, outcomes_by_client.2, outcomes_by_client.3]
}

/// Checks that every request of every client was served.
fn assert_all_served(outcomes_by_client: &[ClientOutcomes]) {
    for outcomes in outcomes_by_client {
        assert!(
            outcomes.served > 0 && outcomes.interrupted.is_empty() && outcomes.not_served.is_empty(),
            "{outcomes_by_client:?}"
        );
    }
}

#[tokio::test]
async fn core_restart_fails_no_request() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    let outcomes_by_client = run_under_load(&mut scene, async |scene| {
        (0..3).for_each(|core| scene.fleet.kill_core(core));
        (0..3).for_each(|core| scene.fleet.start_core(core));
        let next = scene.configuration.clone().version(8);
        assert!(scene.operator.replace(FIRST_VERSION, next.value()).await.is_taken());
    })
    .await;
    assert_all_served(&outcomes_by_client);
}

#[tokio::test]
async fn successive_configurations_fail_no_request() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    let outcomes_by_client = run_under_load(&mut scene, async |scene| {
        for version in 8..28 {
            let route = Route::new(HOST, &format!("/v{version}/"), "safe", POOL);
            let next = scene.configuration.clone().version(version).route(route);
            let base = if version == 8 { FIRST_VERSION } else { version - 1 };
            assert!(scene.operator.replace(base, next.value()).await.is_taken());
        }
        scene.gets(0, "/v27/x", 200).await;
        scene.gets(1, "/v27/x", 200).await;
    })
    .await;
    assert_all_served(&outcomes_by_client);
}

/// Terminates both processes of a front and starts them again.
async fn restart_front(fleet: &mut Fleet, front: usize) {
    fleet.proxy(front).signal(Signal::TERM);
    fleet.agent(front).signal(Signal::TERM);
    assert!(fleet.proxy(front).ended().await.success());
    assert!(fleet.agent(front).ended().await.success());
    fleet.start_front(front);
    fleet.ready(front).await;
}

#[tokio::test]
async fn rolling_front_restart_loses_no_executed_request() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    scene.usually(&Reply::plain(200, "well").after(Duration::from_millis(20)));
    let outcomes_by_client = run_under_load(&mut scene, async |scene| {
        for front in [0, 1, 0] {
            restart_front(&mut scene.fleet, front).await;
        }
    })
    .await;
    for outcomes in &outcomes_by_client {
        let lost_requests: Vec<&String> =
            outcomes.interrupted.iter().filter(|id| scene.runs(id) > 0).collect();
        assert!(
            outcomes.served > 0 && lost_requests.is_empty(),
            "interrupted after running: {lost_requests:?} in {outcomes_by_client:?}"
        );
        let unexpected = outcomes.not_served.iter().find(|(id, status)| *status != 503 || scene.runs(id) > 0);
        assert!(unexpected.is_none(), "{unexpected:?} in {outcomes_by_client:?}");
    }
}

#[tokio::test]
async fn rolling_server_replacement_fails_no_request() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    scene.usually(&Reply::events(3, Pace::Every(Duration::from_millis(5))));
    let outcomes_by_client = run_under_load(&mut scene, async |scene| {
        for number in 0..2 {
            let id = scene.servers[number].id();
            scene.fleet.list.drain(&id);
            scene.fleet.list.read().await;
            wait_until_drained(scene, number).await;
            scene.servers[number].restart(&format!("i-{}", number + 10)).await;
            scene.list_servers();
            scene.fleet.list.read().await;
        }
    })
    .await;
    assert_all_served(&outcomes_by_client);
}

/// Waits until [`CONSECUTIVE_REQUESTS`] consecutive requests have gone to other servers and the drained
/// server has answered the rest.
async fn wait_until_drained(scene: &Scene, number: usize) {
    let consecutive = Cell::new(0);
    until("the drained server to receive no more requests", || async {
        let request = scene.client(consecutive.get() % 2).request("POST", UNSAFE);
        assert_eq!(scene.ask(consecutive.get() % 2, &request).await.status(), 200);
        consecutive.set(if scene.servers[number].runs(&request.id) == 0 { consecutive.get() + 1 } else { 0 });
        (consecutive.get() == CONSECUTIVE_REQUESTS).then_some(())
    })
    .await;
    // Requests sent earlier have been answered.
    let all_answered =
        |seen: &Seen| (seen.answered.len() + seen.left.len() >= seen.requests.len()).then_some(());
    scene.servers[number].wait("the drained server to answer its requests", all_answered).await;
}
