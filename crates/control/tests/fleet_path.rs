//! The request path of a whole fleet: it forms, accepts a configuration, and serves requests at every front.

use testkit::system::reply::seal;
use testkit::system::scene::{FIXED, HOST, KEY, POOL, RESUMABLE, SAFE, SECOND_KEY, Scene, TENANT, UNSAFE};
use testkit::system::{Entry, ModelServer, Pace, Reply, Request, Route, TestClient, json};

const CONTROL_BINARY: &str = env!("CARGO_BIN_EXE_dunelink-control");
/// Requests sent over the weighted route.
const SPLIT_REQUESTS: usize = 200;
/// A second service.
const OTHER_SERVICE: &str = "wuno96b";

#[tokio::test]
async fn both_fronts_serve_configured_routes() {
    let scene = Scene::small(CONTROL_BINARY).await;
    for front in 0..2 {
        for (target, method) in [(SAFE, "GET"), (UNSAFE, "POST")] {
            let request = scene.client(front).request(method, &format!("{target}2f?x=%20&y=")).body(b"words");
            let answer = scene.ask(front, &request).await;
            assert_eq!((answer.status(), answer.text().as_str()), (200, "well"), "{target} at front {front}");
            let (_, received) = scene.arrived(&request.id).await;
            assert_eq!(answer.head.field("X-Dunelink-Request-Id"), Some(request.id.as_str()));
            let expected_seal = seal(&received.server, &request.id);
            assert_eq!(answer.head.field("X-Dunelink-Response-Seal"), Some(expected_seal.as_str()));
            assert_eq!(scene.runs(&request.id), 1);
        }
    }
}

#[tokio::test]
async fn request_is_forwarded_with_tenant_and_instance_but_no_key() {
    let scene = Scene::small(CONTROL_BINARY).await;
    let bodies: [Vec<u8>; 3] = [Vec::new(), b"words".to_vec(), vec![7; 300_000]];
    for body in &bodies {
        for chunked in [false, true] {
            let target = format!("{UNSAFE}a%2Fb/c?x=1&y=%20");
            let request = scene.client(0).request("POST", &target).body(body);
            let request = request.field("X-Dunelink-Tenant", "other").field("X-Note", "a b");
            let request = if chunked { request.chunked() } else { request };
            assert_eq!(scene.ask(0, &request).await.status(), 200, "{} bytes, {chunked}", body.len());
            let (_, received) = scene.arrived(&request.id).await;
            assert_eq!((received.method(), received.target()), ("POST", target.as_str()));
            assert!(received.body == *body, "{} bytes became {}", body.len(), received.body.len());
            assert_eq!(received.head.all("X-Dunelink-Tenant"), [TENANT]);
            assert_eq!(received.head.all("X-Dunelink-Expect-Instance"), [received.server.as_str()]);
            assert_eq!(received.head.all("X-Dunelink-Request-Id"), [request.id.as_str()]);
            assert_eq!(received.head.all("X-Note"), ["a b"]);
            let fields = &received.head.fields;
            assert!(
                !fields.iter().any(|(_, value)| value.contains(KEY)),
                "the API key was forwarded: {fields:?}"
            );
            let deadline_ms =
                received.head.field("X-Dunelink-Deadline-Ms").and_then(|text| text.parse::<u64>().ok());
            assert!(deadline_ms.is_some_and(|remaining| remaining <= 8000), "{deadline_ms:?} ms left");
        }
    }
}

#[tokio::test]
async fn request_without_route_or_tenant_reaches_no_server() {
    let scene = Scene::small(CONTROL_BINARY).await;
    let before: usize = scene.servers.iter().map(|server| server.seen().requests.len()).sum();
    let post = |client: &TestClient, target: &str| client.request("POST", target);
    let client = scene.client(1);
    let unknown_key = TestClient { key: Some("nobodys".to_owned()), ..client.clone() };
    let without_key = TestClient { key: None, ..client.clone() };
    let other_host = TestClient { host: "other.example".to_owned(), ..client.clone() };
    for (request, status) in [
        (post(&client, "/nothing/x"), 404),
        (post(&client, "/view"), 404),
        (post(&other_host, SAFE), 404),
        (post(&unknown_key, UNSAFE), 401),
        (post(&without_key, UNSAFE), 401),
        (post(&without_key, UNSAFE).field("Authorization", &format!("Basic {KEY}")), 401),
        (post(&without_key, UNSAFE).field("X-Dunelink-Tenant", TENANT), 401),
    ] {
        let answer = scene.ask(1, &request).await;
        assert_eq!(answer.status(), status, "{}", String::from_utf8_lossy(&request.bytes()));
    }
    let after: usize = scene.servers.iter().map(|server| server.seen().requests.len()).sum();
    assert_eq!(after, before);
    assert_eq!(scene.ask(1, &client.request("POST", UNSAFE).key(SECOND_KEY)).await.status(), 200);
}

#[tokio::test]
async fn keep_alive_connections_are_reused() {
    let scene = Scene::small(CONTROL_BINARY).await;
    let client = scene.client(0);
    let mut connections = Vec::new();
    for _ in 0..8 {
        connections.push(client.connect().await.unwrap());
    }
    for round in 0..10 {
        for connection in &mut connections {
            let request = client.request("POST", UNSAFE).body(b"words");
            connection.send(&request).await.unwrap();
            let answer = connection.answer().await.unwrap();
            assert_eq!(answer.status(), 200, "round {round}");
            assert_eq!(answer.head.field("X-Dunelink-Request-Id"), Some(request.id.as_str()));
        }
    }
    let opened: u64 = scene.servers.iter().map(|server| server.seen().connections).sum();
    assert!(opened < 40, "{opened} connections to servers for 80 sequential requests");
}

#[tokio::test]
async fn stream_is_complete_with_the_events_of_one_server() {
    let scene = Scene::small(CONTROL_BINARY).await;
    for server in &scene.servers {
        server.usually(Reply::events(9, Pace::AtOnce));
    }
    for target in [RESUMABLE, FIXED] {
        let request = scene.client(0).request("POST", target).prompt(1460, 80, "5c1e07a2:800,91bd3f06:660");
        let mut connection = scene.client(0).connect().await.unwrap();
        connection.send(&request.body(b"prompt")).await.unwrap();
        let mut response = connection.head().await.unwrap();
        assert_eq!(response.head.field("Content-Type"), Some("text/event-stream"));
        let (events, complete) = response.events().await;
        let ids: Vec<u64> = events.iter().map(|event| event.id).collect();
        assert_eq!((ids, complete), ((1..=9).collect(), true), "{target}");
    }
}

#[tokio::test]
async fn longest_prefix_wins_and_weights_split() {
    let scene = Scene::small(CONTROL_BINARY).await;
    let other = ModelServer::start(scene.fleet.network.server(9), "i-9").await;
    let entry = Entry::ready("i-9", OTHER_SERVICE, other.address(), "zone-2");
    scene.fleet.list.edit(|entries| entries.push(entry));
    let longer_prefix = Route::new(HOST, "/view/deep/", "safe", OTHER_SERVICE);
    let split = Route::new(HOST, "/split/", "safe", POOL).split(&[(POOL, 75), (OTHER_SERVICE, 25)]);
    let zero_weight = Route::new(HOST, "/none/", "safe", POOL).split(&[(POOL, 0), (OTHER_SERVICE, 1)]);
    let public = Route::new(HOST, "/open/", "safe", OTHER_SERVICE).with("public", json!(true));
    let next = scene.configuration.clone().version(8).service(OTHER_SERVICE);
    let next = next.route(longer_prefix).route(split).route(zero_weight).route(public);
    assert!(scene.operator.replace(3, next.value()).await.is_taken());
    scene.gets(0, "/none/x", 200).await;
    let ran_at_other_service = |id: &str| other.runs(id) == 1;
    for (target, expected) in [("/view/deep/x", true), ("/view/deeper", false), ("/none/x", true)] {
        let request = scene.client(0).request("GET", target);
        assert_eq!(
            (scene.ask(0, &request).await.status(), ran_at_other_service(&request.id)),
            (200, expected),
            "{target}"
        );
    }
    assert_eq!(scene.ask(0, &Request::new("GET", HOST, "/open/x")).await.status(), 200);
    let mut connection = scene.client(0).connect().await.unwrap();
    let mut count = 0;
    for _ in 0..SPLIT_REQUESTS {
        let request = scene.client(0).request("GET", "/split/x");
        assert_eq!(connection.ask(&request).await.unwrap().status(), 200);
        count += usize::from(ran_at_other_service(&request.id));
    }
    // A quarter of the requests, plus or minus four standard deviations.
    assert!((26..=74).contains(&count), "{count} of {SPLIT_REQUESTS} went to a quarter of the weight");
}
