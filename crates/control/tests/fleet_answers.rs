//! Responses that a client receives when servers are silent, full or answer ambiguously, and what is
//! forwarded unchanged.

use std::time::{Duration, Instant};

use testkit::system::scene::{FIXED, HOST, POOL, RESUMABLE, SAFE, Scene, UNSAFE};
use testkit::system::{Fault, Pace, Reply, Request, Route, json};

const CONTROL_BINARY: &str = env!("CARGO_BIN_EXE_dunelink-control");
/// Time allowed beyond a deadline or timeout.
const TIMEOUT_SLACK: Duration = Duration::from_millis(250);

#[tokio::test]
async fn ambiguous_status_is_not_reported_as_not_executed() {
    let scene = Scene::small(CONTROL_BINARY).await;
    // A plain 421 does prove that the request did not run: another server owns the address.
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
async fn full_servers_yield_refusal_with_retry_after() {
    let scene = Scene::small(CONTROL_BINARY).await;
    scene.usually(&Reply::not_executed(503));
    for target in [SAFE, UNSAFE, RESUMABLE, FIXED] {
        let request = scene.client(0).request("POST", target).field("X-Dunelink-Deadline-Ms", "3000");
        let start = Instant::now();
        let answer = scene.ask(0, &request).await;
        assert!(matches!(answer.status(), 503 | 429), "{target}: {:?}", answer.head);
        let retry_after = answer.head.field("Retry-After").and_then(|text| text.parse::<f64>().ok());
        assert!(
            retry_after.is_some_and(|seconds| seconds > 0.0 && seconds <= 1.0),
            "{target}: {:?}",
            answer.head
        );
        // A quarter of the objective of 500 ms.
        assert!(
            start.elapsed() <= Duration::from_millis(125) + TIMEOUT_SLACK,
            "{target}: {:?}",
            start.elapsed()
        );
        assert_eq!(scene.runs(&request.id), 0, "{target}");
    }
}

#[tokio::test]
async fn unsafe_request_at_silent_server_times_out_without_retry() {
    let scene = Scene::small(CONTROL_BINARY).await;
    scene.usually(&Reply::silent());
    for target in [UNSAFE, FIXED] {
        let request = scene.client(0).request("POST", target).field("X-Dunelink-Deadline-Ms", "800");
        let start = Instant::now();
        match scene.client(0).ask(&request).await {
            Ok(answer) => assert!(matches!(answer.status(), 502 | 504), "{target}: {:?}", answer.head),
            Err(error) => assert_ne!(error.kind(), std::io::ErrorKind::TimedOut, "{target}"),
        }
        let took = start.elapsed();
        assert!(
            took >= Duration::from_millis(400) && took <= Duration::from_millis(800) + TIMEOUT_SLACK,
            "{took:?}"
        );
        assert_eq!(scene.runs(&request.id), 1, "{target}");
        let (number, _) = scene.arrived(&request.id).await;
        scene.servers[number].left(&request.id).await;
    }
}

#[tokio::test]
async fn request_ends_at_route_timeout() {
    let scene = Scene::small(CONTROL_BINARY).await;
    let short_route = Route::new(HOST, "/short/", "unsafe", POOL).with("timeoutMs", json!(600));
    let next = scene.configuration.clone().version(8).route(short_route);
    assert!(scene.operator.replace(3, next.value()).await.is_taken());
    scene.gets(0, "/short/x", 200).await;
    scene.usually(&Reply::silent());
    let request = scene.client(0).request("POST", "/short/x");
    let start = Instant::now();
    let answer = scene.client(0).ask(&request).await;
    assert!(answer.as_ref().is_ok_and(|answer| matches!(answer.status(), 502 | 504)), "{answer:?}");
    let took = start.elapsed();
    assert!(
        took >= Duration::from_millis(400) && took <= Duration::from_millis(600) + TIMEOUT_SLACK,
        "{took:?}"
    );
}

#[tokio::test]
async fn safe_request_at_silent_server_is_retried() {
    let scene = Scene::small(CONTROL_BINARY).await;
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
async fn silent_resumable_stream_continues_at_another_server() {
    let scene = Scene::small(CONTROL_BINARY).await;
    scene.usually(&Reply::events(9, Pace::AtOnce));
    scene.next(Reply::events(9, Pace::AtOnce).with(Fault::SilentAfterEvent(4)));
    let (_, mut connection) = scene.sent(0, "POST", RESUMABLE).await;
    let (events, complete) = connection.head().await.unwrap().events().await;
    let ids: Vec<u64> = events.iter().map(|event| event.id).collect();
    assert_eq!((ids, complete), ((1..=9).collect(), true));
}

#[tokio::test]
async fn stream_attempts_are_limited() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
    let third_server = testkit::system::ModelServer::start(scene.fleet.network.server(2), "i-2").await;
    scene.servers.push(third_server);
    scene.list_servers();
    scene.fleet.list.read().await;
    for fault in [Fault::CloseInEvent(4), Fault::CloseBeforeHead, Fault::CloseInBody] {
        scene.usually(&Reply::events(9, Pace::AtOnce).with(fault.clone()));
        let (request, mut connection) = scene.sent(0, "POST", RESUMABLE).await;
        if let Ok(mut response) = connection.head().await
            && response.head.status() == 200
        {
            let (events, complete) = response.events().await;
            assert!(!complete, "{fault:?}: ended as complete with {} events", events.len());
        }
        assert!(scene.runs(&request.id) <= 2, "{fault:?}: {} runs", scene.runs(&request.id));
    }
}

#[tokio::test]
async fn closed_idle_connections_lose_no_request() {
    let mut scene = Scene::small(CONTROL_BINARY).await;
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
async fn late_second_response_is_never_used_for_next_request() {
    let scene = Scene::small(CONTROL_BINARY).await;
    let late_response =
        b"HTTP/1.1 200 OK\r\nX-Dunelink-Request-Id: 0123456789abcdef\r\nContent-Length: 5\r\n\r\nstale";
    for delay_ms in [0, 1, 3, 10] {
        scene.usually(
            &Reply::plain(200, "well")
                .with(Fault::LateBytes(Duration::from_millis(delay_ms), late_response.to_vec())),
        );
        let client = scene.client(0);
        let mut connection = client.connect().await.unwrap();
        for round in 0..40 {
            let request = client.request("GET", SAFE);
            let answer = connection.ask(&request).await.unwrap();
            assert_eq!(
                (answer.status(), answer.text().as_str()),
                (200, "well"),
                "{delay_ms} ms, round {round}"
            );
            assert_eq!(answer.head.field("X-Dunelink-Request-Id"), Some(request.id.as_str()));
        }
    }
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let scene = Scene::small(CONTROL_BINARY).await;
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
async fn large_bodies_are_forwarded_both_ways() {
    let scene = Scene::small(CONTROL_BINARY).await;
    let answer = "y".repeat(5_000_000);
    scene.usually(&Reply::plain(200, &answer));
    let body: Vec<u8> = (0..4_000_000_u32).map(|number| number as u8).collect();
    for chunked in [false, true] {
        let request = scene.client(0).request("POST", UNSAFE).body(&body);
        let request = if chunked { request.chunked() } else { request };
        let received_answer = scene.ask(0, &request).await;
        assert!(
            received_answer.status() == 200 && received_answer.text() == answer,
            "{chunked}: {} bytes",
            received_answer.body.len()
        );
        let (_, received) = scene.arrived(&request.id).await;
        assert!(received.body == body, "{chunked}: {} bytes", received.body.len());
    }
}

#[tokio::test]
async fn client_instance_and_tenant_headers_are_replaced() {
    let scene = Scene::small(CONTROL_BINARY).await;
    let request = scene.client(0).request("POST", UNSAFE);
    let request = request.field("X-Dunelink-Expect-Instance", "i-99").field("X-Dunelink-Tenant", "root");
    assert_eq!(scene.ask(0, &request).await.status(), 200);
    let (_, received) = scene.arrived(&request.id).await;
    assert_eq!(received.head.all("X-Dunelink-Expect-Instance"), [received.server.as_str()]);
    assert_eq!(received.head.all("X-Dunelink-Tenant"), ["kaje80"]);
}
