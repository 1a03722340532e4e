//! What a client is told when servers are silent, full, or say what proves nothing; and what passes
//! unchanged.

use std::time::{Duration, Instant};

use testkit::system::scene::{FIXED, HOST, POOL, RESUMABLE, SAFE, Scene, UNSAFE};
use testkit::system::{Fault, Pace, Reply, Request, Route, json};

const OWN: &str = env!("CARGO_BIN_EXE_dunelink-control");
/// Allowed beyond a time that was told.
const SLACK: Duration = Duration::from_millis(250);

#[tokio::test]
async fn a_status_that_proves_nothing_is_no_promise() {
    let scene = Scene::small(OWN).await;
    // A bare 421 is a promise: it stands for another server at the address.
    for status in [503, 429, 408] {
        scene.usually(&Reply::plain(status, "who knows"));
        for target in [UNSAFE, FIXED] {
            let request = scene.client(0).request("POST", target);
            match scene.client(0).ask(&request).await {
                Ok(answer) => {
                    assert!(!matches!(answer.status(), 503 | 429 | 408 | 421), "{status}: {:?}", answer.head)
                }
                Err(error) => assert_ne!(error.kind(), std::io::ErrorKind::TimedOut, "{status}"),
            }
            assert_eq!(scene.runs(&request.id), 1, "{status}");
        }
    }
}

#[tokio::test]
async fn servers_that_are_all_full_are_a_refusal_that_tells_when_to_come_back() {
    let scene = Scene::small(OWN).await;
    scene.usually(&Reply::not_executed(503));
    for target in [SAFE, UNSAFE, RESUMABLE, FIXED] {
        let request = scene.client(0).request("POST", target).field("X-Dunelink-Deadline-Ms", "3000");
        let start = Instant::now();
        let answer = scene.ask(0, &request).await;
        assert!(matches!(answer.status(), 503 | 429), "{target}: {:?}", answer.head);
        let after = answer.head.field("Retry-After").and_then(|after| after.parse::<f64>().ok());
        assert!(after.is_some_and(|after| after > 0.0 && after <= 1.0), "{target}: {:?}", answer.head);
        // A quarter of the objective of 500 ms.
        assert!(start.elapsed() <= Duration::from_millis(125) + SLACK, "{target}: {:?}", start.elapsed());
        assert_eq!(scene.runs(&request.id), 0, "{target}");
    }
}

#[tokio::test]
async fn an_unsafe_request_at_a_silent_server_ends_with_its_deadline_and_is_not_repeated() {
    let scene = Scene::small(OWN).await;
    scene.usually(&Reply::silent());
    for target in [UNSAFE, FIXED] {
        let request = scene.client(0).request("POST", target).field("X-Dunelink-Deadline-Ms", "800");
        let start = Instant::now();
        match scene.client(0).ask(&request).await {
            Ok(answer) => assert!(matches!(answer.status(), 502 | 504), "{target}: {:?}", answer.head),
            Err(error) => assert_ne!(error.kind(), std::io::ErrorKind::TimedOut, "{target}"),
        }
        let took = start.elapsed();
        assert!(took >= Duration::from_millis(400) && took <= Duration::from_millis(800) + SLACK, "{took:?}");
        assert_eq!(scene.runs(&request.id), 1, "{target}");
        let (number, _) = scene.arrived(&request.id).await;
        scene.servers[number].left(&request.id).await;
    }
}

#[tokio::test]
async fn a_request_is_held_no_longer_than_its_route_allows() {
    let scene = Scene::small(OWN).await;
    let short = Route::new(HOST, "/short/", "unsafe", POOL).with("timeoutMs", json!(600));
    let next = scene.configuration.clone().version(8).route(short);
    assert!(scene.operator.replace(3, next.value()).await.is_taken());
    scene.gets(0, "/short/x", 200).await;
    scene.usually(&Reply::silent());
    let request = scene.client(0).request("POST", "/short/x");
    let start = Instant::now();
    let answer = scene.client(0).ask(&request).await;
    assert!(answer.as_ref().is_ok_and(|answer| matches!(answer.status(), 502 | 504)), "{answer:?}");
    let took = start.elapsed();
    assert!(took >= Duration::from_millis(400) && took <= Duration::from_millis(600) + SLACK, "{took:?}");
}

#[tokio::test]
async fn a_safe_request_at_a_silent_server_is_answered_by_another() {
    let scene = Scene::small(OWN).await;
    for target in [SAFE, RESUMABLE] {
        scene.usually(&Reply::plain(200, "well"));
        scene.next(Reply::silent());
        let request = scene.client(0).request("POST", target);
        let answer = scene.ask(0, &request).await;
        assert_eq!((answer.status(), answer.text().as_str()), (200, "well"), "{target}");
        assert_eq!(scene.runs(&request.id), 2, "{target}");
    }
}

#[tokio::test]
async fn a_resumable_stream_that_falls_silent_goes_on_at_another_server() {
    let scene = Scene::small(OWN).await;
    scene.usually(&Reply::events(9, Pace::AtOnce));
    scene.next(Reply::events(9, Pace::AtOnce).with(Fault::SilentAfterEvent(4)));
    let (_, mut connection) = scene.sent(0, "POST", RESUMABLE).await;
    let (events, whole) = connection.head().await.unwrap().events().await;
    let ids: Vec<u64> = events.iter().map(|event| event.id).collect();
    assert_eq!((ids, whole), ((1..=9).collect(), true));
}

#[tokio::test]
async fn a_stream_is_tried_at_no_more_servers_than_its_route_allows() {
    let mut scene = Scene::small(OWN).await;
    let third = testkit::system::ModelServer::start(scene.fleet.network.server(2), "i-2").await;
    scene.servers.push(third);
    scene.list_servers();
    scene.fleet.list.read().await;
    for fault in [Fault::CloseInEvent(4), Fault::CloseBeforeHead, Fault::CloseInBody] {
        scene.usually(&Reply::events(9, Pace::AtOnce).with(fault.clone()));
        let (request, mut connection) = scene.sent(0, "POST", RESUMABLE).await;
        if let Ok(mut answering) = connection.head().await
            && answering.head.status() == 200
        {
            let (events, whole) = answering.events().await;
            assert!(!whole, "{fault:?}: ended as whole with {} events", events.len());
        }
        assert!(scene.runs(&request.id) <= 2, "{fault:?}: {} runs", scene.runs(&request.id));
    }
}

#[tokio::test]
async fn idle_connections_that_servers_closed_lose_no_request() {
    let mut scene = Scene::small(OWN).await;
    let client = scene.client(0);
    for round in 0..15 {
        for _ in 0..4 {
            let request = client.request("POST", UNSAFE).body(b"words");
            let answer = scene.ask(0, &request).await;
            assert_eq!(answer.status(), 200, "round {round}: {:?}", answer.head);
            assert_eq!(scene.runs(&request.id), 1, "round {round}");
        }
        for server in &mut scene.servers {
            let id = server.id();
            server.restart(&id).await;
        }
    }
}

#[tokio::test]
async fn a_late_second_answer_is_never_taken_for_the_next() {
    let scene = Scene::small(OWN).await;
    let second =
        b"HTTP/1.1 200 OK\r\nX-Dunelink-Request-Id: 0123456789abcdef\r\nContent-Length: 5\r\n\r\nstale";
    for late in [0, 1, 3, 10] {
        scene.usually(
            &Reply::plain(200, "well").with(Fault::LateBytes(Duration::from_millis(late), second.to_vec())),
        );
        let client = scene.client(0);
        let mut connection = client.connect().await.unwrap();
        for round in 0..40 {
            let request = client.request("GET", SAFE);
            let answer = connection.ask(&request).await.unwrap();
            assert_eq!((answer.status(), answer.text().as_str()), (200, "well"), "{late} ms, round {round}");
            assert_eq!(answer.head.field("X-Dunelink-Request-Id"), Some(request.id.as_str()));
        }
    }
}

#[tokio::test]
async fn requests_in_one_write_are_answered_in_their_order() {
    let scene = Scene::small(OWN).await;
    let client = scene.client(0);
    let requests: Vec<Request> = (0..5).map(|_| client.request("POST", UNSAFE).body(b"words")).collect();
    let bytes: Vec<u8> = requests.iter().flat_map(Request::bytes).collect();
    let mut connection = client.connect().await.unwrap();
    connection.send_bytes(&bytes).await.unwrap();
    for request in &requests {
        let answer = connection.answer().await.unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.head.field("X-Dunelink-Request-Id"), Some(request.id.as_str()));
        assert_eq!(scene.runs(&request.id), 1);
    }
}

#[tokio::test]
async fn large_bodies_pass_whole_both_ways() {
    let scene = Scene::small(OWN).await;
    let answer = "y".repeat(5_000_000);
    scene.usually(&Reply::plain(200, &answer));
    let body: Vec<u8> = (0..4_000_000_u32).map(|number| number as u8).collect();
    for chunked in [false, true] {
        let request = scene.client(0).request("POST", UNSAFE).body(&body);
        let request = if chunked { request.chunked() } else { request };
        let got = scene.ask(0, &request).await;
        assert!(got.status() == 200 && got.text() == answer, "{chunked}: {} bytes", got.body.len());
        let (_, received) = scene.arrived(&request.id).await;
        assert!(received.body == body, "{chunked}: {} bytes", received.body.len());
    }
}

#[tokio::test]
async fn what_a_client_says_of_instance_and_tenant_does_not_count() {
    let scene = Scene::small(OWN).await;
    let request = scene.client(0).request("POST", UNSAFE);
    let request = request.field("X-Dunelink-Expect-Instance", "i-99").field("X-Dunelink-Tenant", "root");
    assert_eq!(scene.ask(0, &request).await.status(), 200);
    let (_, received) = scene.arrived(&request.id).await;
    assert_eq!(received.head.all("X-Dunelink-Expect-Instance"), [received.server.as_str()]);
    assert_eq!(received.head.all("X-Dunelink-Tenant"), ["kaje80"]);
}
