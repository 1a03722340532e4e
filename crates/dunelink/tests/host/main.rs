//! Hosts that block, panic, leave, shut down or send invalid bodies: the node's guarantees must hold all the
//! same.

mod fleet;

use std::convert::Infallible;
use std::future::{Future, pending, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dunelink::http::Verdict;
use dunelink::tower::{FleetLayer, FleetService};
use dunelink::{Answer, BodyError, CallError, Node, Server as Entry, ServerState, Update, ext, roster};
use http::{Request, Response, StatusCode};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Full};
use testkit::peers::{Act, Server, WITHIN, ok, wait_for};
use tokio::runtime::Runtime;
use tower::{Layer, Service, ServiceExt, service_fn};

use fleet::*;

/// Polls a future once.
async fn poll_once<F: Future + Unpin>(future: &mut F) -> Poll<F::Output> {
    poll_fn(|cx| Poll::Ready(Pin::new(&mut *future).poll(cx))).await
}

/// Where the host sets the class, every part of the path must still have a single interpretation.
#[test]
fn host_set_class_requires_unambiguous_path() {
    let server = Server::new(|_, _| ok("slip"));
    let node = start([entry("a", &server)]);
    let runtime = Runtime::new().unwrap();
    let call = |path: &str| {
        let mut request = Request::get(path).body(String::new()).unwrap();
        request.extensions_mut().insert(ext::Class::new("view"));
        runtime.block_on(node.handle().call(request))
    };
    for path in
        ["/portal//orders/7", "/portal/%6frders/7", "/portal/a%2Forders", "/portal/a;b/c", "/portal/../x"]
    {
        let status = call(path).map(|_| ()).unwrap_err().status();
        assert_eq!(status, 400, "{path}");
    }
    assert_eq!(server.count(), 0);
    assert!(call("/portal/payslips/%E7%B5%A6%20%2B1").unwrap().is_served());
}

#[test]
fn blocked_host_threads_delay_no_answer_or_drain() {
    let (silent, other) = (Server::new(|_, _| Act::Wait), Server::new(|_, _| Act::Wait));
    let (list, roster) = roster::channel();
    let node = Node::builder(config()).roster(roster).start().unwrap();
    list.try_send(Update::whole([entry("a", &silent)])).unwrap();
    let host = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    host.block_on(ready(node.handle()));
    let fleet = node.handle().clone();
    let call = host.spawn(async move { fleet.call(order("1")).await });
    silent.request();
    let released = Arc::new(std::sync::Barrier::new(3));
    for _ in 0..2 {
        let released = released.clone();
        host.spawn(async move {
            released.wait();
        });
    }
    // Both workers are blocked from here on. The list must still reach the node, and the order must still
    // fail in time.
    list.try_send(Update::changes([
        entry("a", &silent).with_state(ServerState::Draining),
        entry("b", &other),
    ]))
    .unwrap();
    wait_for("the order to fail", || node.handle().counts().failed == 1);
    assert!(!call.is_finished(), "the host must have been blocked throughout");
    assert_eq!((silent.count(), other.count()), (1, 0), "an order that may have run must not be sent again");
    released.wait();
    let answer = host.block_on(call).unwrap().unwrap();
    assert!(matches!(answer, Answer::Failed { timed_out: true }), "{answer:?}");
}

#[test]
fn drain_applied_while_host_blocks() {
    let (one, two) = (Server::new(|_, _| ok("one")), Server::new(|_, _| ok("two")));
    let (list, roster) = roster::channel();
    let node = Node::builder(config()).roster(roster).start().unwrap();
    list.try_send(Update::whole([entry("a", &one)])).unwrap();
    let host = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let fleet = node.handle().clone();
    host.block_on(async {
        ready(&fleet).await;
        assert!(fleet.call(view("1")).await.unwrap().is_served());
    });
    // The host does nothing in the meantime; the idle connection must be closed nevertheless.
    list.try_send(Update::changes([entry("a", &one).with_state(ServerState::Draining), entry("b", &two)]))
        .unwrap();
    assert_eq!(one.ended(), 0);
    let before = one.count();
    host.block_on(async {
        for i in 0..10 {
            let Answer::Served(response) = fleet.call(view(&i.to_string())).await.unwrap() else { panic!() };
            assert_eq!(&response.body().whole().unwrap()[..], b"two");
        }
    });
    assert_eq!(one.count(), before);
}

#[test]
fn unpolled_call_still_gets_final_answer() {
    let silent = Server::new(|_, _| Act::Wait);
    let node = start([entry("a", &silent)]);
    let host = tokio::runtime::Builder::new_current_thread().build().unwrap();
    let mut call = Box::pin(node.handle().call(order("1")));
    assert!(host.block_on(poll_once(&mut call)).is_pending());
    let began = Instant::now();
    wait_for("the order to fail", || node.handle().counts().failed == 1);
    assert!(began.elapsed() < WITHIN, "the answer must be final without a poll");
    let answer = host.block_on(call).unwrap();
    assert!(matches!(answer, Answer::Failed { timed_out: true }), "{answer:?}");
    assert_eq!(silent.count(), 1);
}

#[test]
fn panicking_host_counts_as_left_and_frees_id() {
    let (one, two) = (Server::new(|_, _| Act::Wait), Server::new(|_, _| Act::Wait));
    let node = start([entry("a", &one), entry("b", &two)]);
    let host = Runtime::new().unwrap();
    let (fleet, mut request) = (node.handle().clone(), order("1"));
    request.extensions_mut().insert(ext::Id("the-one".into()));
    let same_id_request = request.clone();
    let panicked = host.spawn(async move {
        let mut call = Box::pin(fleet.call(request));
        assert!(poll_once(&mut call).await.is_pending());
        while fleet.snapshot().await.unwrap().in_flight == 0 {}
        panic!("the host's own fault");
    });
    assert!(host.block_on(panicked).unwrap_err().is_panic());
    wait_for("the request to be released", || host.block_on(node.handle().snapshot()).unwrap().tracked == 0);
    let counts = node.handle().counts();
    assert_eq!((counts.taken, counts.left, counts.failed), (1, 1, 0));
    assert!(one.count() + two.count() <= 1, "the order must be sent at most once");
    // The same id can be used again at once.
    let fleet = node.handle().clone();
    let mut call = Box::pin(fleet.call(same_id_request));
    assert!(host.block_on(poll_once(&mut call)).is_pending(), "the id must be free again");
}

#[test]
fn inner_service_panic_leaves_fleet_calls_intact() {
    let server = Server::new(|_, _| ok("slip"));
    let node = start([entry("a", &server)]);
    let inner = service_fn(|_: Request<Full<Bytes>>| async {
        if true {
            panic!("the inner service's own fault");
        }
        Ok::<_, Infallible>(Response::new(Full::new(Bytes::new())))
    });
    let portal = FleetLayer::prefix(node.handle().clone(), "/view/").layer(inner);
    let host = Runtime::new().unwrap();
    for _ in 0..3 {
        let (inside, outside) = (portal.clone(), portal.clone());
        let request = Request::get("/about").body(Full::new(Bytes::new())).unwrap();
        assert!(host.block_on(host.spawn(inside.oneshot(request))).unwrap_err().is_panic());
        let request = Request::get("/view/1").body(Full::new(Bytes::new())).unwrap();
        let response = host.block_on(host.spawn(outside.oneshot(request))).unwrap().unwrap();
        assert_eq!(response.status(), StatusCode::OK);
    }
    assert_eq!((node.handle().counts().served, node.handle().counts().taken), (3, 3));
}

#[test]
fn shutdown_under_load_leaves_other_node_running() {
    let (one, two) = (Server::new(|_, _| ok("one")), Server::new(|_, _| ok("two")));
    let first = start([entry("a", &one)]);
    let mut other = config();
    other.classes[0].name = "peek".into();
    other.name = "other".into();
    let second = start_with(other, [entry("a", &two)]);
    let host = Runtime::new().unwrap();
    let (answered, ended) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut tasks = Vec::new();
    for task in 0..8 {
        let (fleet, answered, ended) = (first.handle().clone(), answered.clone(), ended.clone());
        tasks.push(host.spawn(async move {
            for i in 0.. {
                match fleet.call(view(&format!("{task}-{i}"))).await {
                    Ok(Answer::Served(response)) => assert_eq!(&response.body().whole().unwrap()[..], b"one"),
                    Ok(Answer::Refused { .. } | Answer::Failed { .. }) => {}
                    Err(CallError::Closed) => break,
                    Err(error) => panic!("{error}"),
                }
                answered.fetch_add(1, Ordering::Relaxed);
            }
            ended.fetch_add(1, Ordering::Relaxed);
        }));
    }
    host.block_on(async {
        while answered.load(Ordering::Relaxed) < 200 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let counts = first.shutdown(WITHIN).await;
        for task in tasks {
            task.await.unwrap();
        }
        assert_eq!(ended.load(Ordering::Relaxed), 8);
        assert_eq!(counts.taken, counts.served + counts.refused + counts.failed + counts.left);
        assert_eq!(counts.left, 0, "no client may count as left");
        // The other node has classes of its own and must still serve.
        let peek = |i: u32| Request::get(format!("/peek/{i}")).body(String::new()).unwrap();
        for i in 0..20 {
            let Answer::Served(response) = second.handle().call(peek(i)).await.unwrap() else { panic!() };
            assert_eq!(&response.body().whole().unwrap()[..], b"two");
        }
        let unknown = second.handle().call(view("1")).await.unwrap_err();
        assert_eq!(unknown.status(), StatusCode::NOT_FOUND);
    });
}

#[test]
fn runtime_shutdown_cancels_calls() {
    let server = Server::new(|_, _| Act::Wait);
    let node = start([entry("a", &server)]);
    let host = Runtime::new().unwrap();
    let fleet = node.handle().clone();
    host.spawn(async move { fleet.call(order("1")).await });
    let (connection, _) = server.request();
    host.shutdown_background();
    assert_eq!(server.ended(), connection, "the attempt's connection must be closed");
    wait_for("the client to be counted as left", || node.handle().counts().left == 1);
    assert_eq!(server.count(), 1);
}

#[test]
fn ended_node_returns_closed() {
    let server = Server::new(|_, _| ok("slip"));
    let node = start([entry("a", &server)]);
    let host = Runtime::new().unwrap();
    let fleet = node.handle().clone();
    host.block_on(async {
        assert!(fleet.call(view("1")).await.unwrap().is_served());
        let counts = node.shutdown(Duration::from_secs(1)).await;
        assert_eq!((counts.taken, counts.served), (1, 1));
        let error = fleet.call(view("2")).await.unwrap_err();
        assert!(matches!(error, CallError::Closed), "{error}");
        assert_eq!((error.to_string(), error.status().as_u16()), ("the node was shut down".into(), 503));
        fleet.snapshot().await.unwrap_err();
        let error = FleetService::new(fleet.clone()).oneshot(view("3")).await.unwrap_err();
        assert!(matches!(error, CallError::Closed));
        // The layer's host has its own error type: it gets a response, and its other routes still work.
        let inner =
            service_fn(|_: Request<String>| async { Ok::<_, Infallible>(Response::new(String::new())) });
        let portal = FleetLayer::prefix(fleet.clone(), "/view/").wait_for_capacity().layer(inner);
        let response = portal.clone().oneshot(view("4")).await.unwrap();
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        let about = Request::get("/about").body(String::new()).unwrap();
        assert_eq!(portal.oneshot(about).await.unwrap().status(), StatusCode::OK);
        assert_eq!(fleet.shutdown(Duration::ZERO).await.served, 1, "a second shutdown must be harmless");
    });
    server.ended();
}

#[test]
fn shutdown_waits_up_to_deadline() {
    let request_count = AtomicU64::new(0);
    let server = Server::new(move |_, _| match request_count.fetch_add(1, Ordering::SeqCst) {
        0 => Act::SayMore(Vec::new(), Duration::from_millis(300), testkit::peers::answer(200, "", "late")),
        _ => Act::Wait,
    });
    let node = start([entry("a", &server)]);
    let host = Runtime::new().unwrap();
    let (fleet, other) = (node.handle().clone(), node.handle().clone());
    let late = host.spawn(async move { fleet.call(order("1")).await });
    server.request();
    let never = host.spawn(async move { other.call(order("2")).await });
    server.request();
    let counts = host.block_on(node.shutdown(Duration::from_millis(1500)));
    assert!(host.block_on(late).unwrap().unwrap().is_served());
    let never = host.block_on(never).unwrap().unwrap();
    assert!(matches!(never, Answer::Failed { timed_out: true }), "{never:?}");
    assert_eq!((counts.taken, counts.served, counts.failed), (2, 1, 1));
}

#[test]
fn dropped_node_answers_open_requests() {
    let server = Server::new(|_, _| Act::Wait);
    let node = start([entry("a", &server)]);
    let host = Runtime::new().unwrap();
    let (fleet, handle) = (node.handle().clone(), node.handle().clone());
    let call = host.spawn(async move { fleet.call(order("1")).await });
    let (connection, _) = server.request();
    drop(node);
    let answer = host.block_on(call).unwrap().unwrap();
    assert!(matches!(answer, Answer::Failed { .. }), "{answer:?}");
    assert_eq!(server.ended(), connection);
    host.block_on(async {
        while handle.snapshot().await.is_ok() {}
        assert!(matches!(handle.call(view("1")).await, Err(CallError::Closed)));
    });
    assert_eq!(handle.counts().failed, 1);
}

/// A body that returns these frames, last one first, and then ends or stays pending.
struct ScriptedBody {
    frames: Vec<Result<Bytes, &'static str>>,
    ends: bool,
}

impl Body for ScriptedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match self.frames.pop() {
            Some(Ok(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(Err(why)) => Poll::Ready(Some(Err(std::io::Error::other(why)))),
            None if self.ends => Poll::Ready(None),
            None => Poll::Pending,
        }
    }
}

#[tokio::test]
async fn invalid_bodies_rejected_before_sending() {
    let server = Server::new(|_, _| ok("paid"));
    let mut config = config();
    config.limits.stream = 0;
    let node = Node::builder(config).roster(roster::Fixed::new([entry("a", &server)])).start().unwrap();
    let fleet = node.handle();
    let call = async |frames: Vec<Result<Bytes, &'static str>>, ends: bool| {
        let mut request = Request::post("/order/1").body(ScriptedBody { frames, ends }).unwrap();
        request.extensions_mut().insert(ext::Deadline::after(Duration::from_millis(300)));
        fleet.call(request).await
    };
    let chunk = || Ok(Bytes::from_static(b"half"));
    let ended_early = call(vec![Err("the peer went away"), chunk()], true).await.unwrap_err();
    assert_eq!(ended_early.status(), StatusCode::BAD_REQUEST);
    let CallError::Body(broken @ BodyError::Broken(_)) = &ended_early else { panic!("{ended_early}") };
    let cause = std::error::Error::source(broken).expect("a source").to_string();
    assert_eq!(cause, "the peer went away");
    let endless = call(vec![chunk()], false).await.unwrap_err();
    assert_eq!(endless.status(), StatusCode::REQUEST_TIMEOUT, "{endless}");
    let large = call(vec![Ok(Bytes::from(vec![0; 40_000])); 2], true).await.unwrap_err();
    assert_eq!(large.status(), StatusCode::PAYLOAD_TOO_LARGE);
    assert!(matches!(large, CallError::Body(BodyError::TooLarge { limit: 65_536 })), "{large}");
    let stated = fleet.call(Request::post("/order/1").body("x".repeat(65_537)).unwrap()).await.unwrap_err();
    assert_eq!(stated.status(), StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!((server.count(), fleet.counts().taken, fleet.counts().invalid), (0, 0, 4));
    // A body in several chunks is sent as one.
    let chunks = vec![Ok(Bytes::from_static(b" yen")), Ok(Bytes::from_static(b"300"))];
    assert!(call(chunks, true).await.unwrap().is_served());
    assert_eq!(server.request().1.body, b"300 yen");
}

#[tokio::test]
async fn extensions_override_headers_and_have_defaults() {
    let server = Server::new(|_, _| ok("slip"));
    let node = start([entry("a", &server)]);
    let fleet = node.handle();
    // Neither id nor deadline: the node generates the id, and the class has the deadline.
    assert!(fleet.call(view("1")).await.unwrap().is_served());
    let (_, first) = server.request();
    let id = first.header("req-id").expect("a generated id").to_string();
    let remaining: f64 = first.header("req-deadline").unwrap().parse().unwrap();
    assert!(remaining > 0.0 && remaining <= 2.0, "{remaining}");
    assert!(fleet.call(view("2")).await.unwrap().is_served());
    assert_ne!(server.request().1.header("req-id"), Some(&*id), "each request must have its own id");
    // The path names no class, but an extension does; both sources give an id.
    let mut request =
        Request::get("/portal/payslips/7").header("req-id", "outer").body(String::new()).unwrap();
    request.extensions_mut().insert(ext::Class::new("view"));
    request.extensions_mut().insert(ext::Id("inner".into()));
    request.extensions_mut().insert(ext::Tenant::new("acme"));
    request.extensions_mut().insert(ext::ExpectedWork(Duration::from_millis(3)));
    assert!(fleet.call(request).await.unwrap().is_served());
    let (_, request) = server.request();
    assert_eq!(
        (&*request.first, request.header("req-id")),
        ("GET /portal/payslips/7 HTTP/1.1", Some("inner"))
    );
    // Missing or invalid values are errors.
    let status = async |path: &str, ext: &dyn Fn(&mut http::Extensions)| {
        let mut request = Request::get(path).body(String::new()).unwrap();
        ext(request.extensions_mut());
        fleet.call(request).await.unwrap_err().status().as_u16()
    };
    assert_eq!(status("/portal/payslips/7", &|_| ()).await, 404);
    let unknown = |ext: &mut http::Extensions| drop(ext.insert(ext::Class::new("nothing")));
    assert_eq!(status("/view/1", &unknown).await, 404, "the path must not override an extension");
    let bad_id = |ext: &mut http::Extensions| drop(ext.insert(ext::Id("a b".into())));
    assert_eq!(status("/view/1", &bad_id).await, 400);
    // A deadline in the past: refused, and not sent.
    let mut late = view("1");
    late.extensions_mut().insert(ext::Deadline::after(Duration::ZERO));
    assert!(fleet.call(late).await.unwrap().is_refused());
    assert_eq!(server.count(), 3);
}

#[tokio::test]
async fn poll_ready_applies_backpressure() {
    let server = Server::new(|_, _| Act::Wait);
    let mut config = config();
    config.limits.requests = 1;
    let node = start_with(config, [entry("a", &server)]);
    let (fleet, other) = (FleetService::new(node.handle().clone()), FleetService::new(node.handle().clone()));
    let (mut fleet, mut other) = (fleet, other);
    ServiceExt::<Request<String>>::ready(&mut fleet).await.unwrap();
    let open = tokio::spawn(fleet.call(order("1")));
    while node.handle().snapshot().await.unwrap().in_flight == 0 {
        tokio::task::yield_now().await;
    }
    let pending =
        poll_fn(|cx| Poll::Ready(Service::<Request<String>>::poll_ready(&mut other, cx).is_pending()));
    assert!(pending.await, "the only permit must be in use");
    // Called without a permit, it refuses at once; so does the layer, whose inner service is not held back.
    let response = other.call(order("2")).await.unwrap();
    assert_eq!(response.extensions().get::<Verdict>(), Some(&Verdict::Refused));
    let inner =
        service_fn(|_: Request<String>| async { Ok::<_, Infallible>(Response::new(String::from("inner"))) });
    let layer = FleetLayer::prefix(node.handle().clone(), "/order/");
    let response = layer.clone().layer(inner).oneshot(order("3")).await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()["retry-after"], "1.000");
    let about = Request::get("/about").body(String::new()).unwrap();
    let response = layer.clone().layer(inner).oneshot(about).await.unwrap();
    assert_eq!(response.into_body().collect().await.unwrap().to_bytes(), "inner");
    let mut waiting = layer.wait_for_capacity().layer(inner);
    let pending =
        poll_fn(|cx| Poll::Ready(Service::<Request<String>>::poll_ready(&mut waiting, cx).is_pending()));
    assert!(pending.await, "the waiting layer must not be ready");
    // The only permit is free again once its request is answered or its client has left.
    open.abort();
    ServiceExt::<Request<String>>::ready(&mut other).await.unwrap();
    ServiceExt::<Request<String>>::ready(&mut fleet.clone()).assert_pending().await;
    drop(other);
    ServiceExt::<Request<String>>::ready(&mut waiting).await.unwrap();
}

/// Asserts that a future is pending at its first poll.
trait AssertPending: Future + Sized {
    async fn assert_pending(self) {
        let mut future = Box::pin(self);
        assert!(poll_once(&mut future).await.is_pending());
    }
}

impl<F: Future> AssertPending for F {}

#[test]
fn buffered_call_needs_no_runtime() {
    let server = Server::new(|_, _| ok("slip"));
    let node = start([entry("a", &server)]);
    wait_for("a ready server", || node.handle().is_ready());
    // A minimal executor: only a thread that waits for its waker.
    struct Unpark(thread::Thread);
    impl std::task::Wake for Unpark {
        fn wake(self: Arc<Self>) {
            self.0.unpark();
        }
    }
    let waker = Arc::new(Unpark(thread::current())).into();
    let mut cx = Context::from_waker(&waker);
    let mut call = Box::pin(node.handle().call(view("1")));
    let answer = loop {
        match call.as_mut().poll(&mut cx) {
            Poll::Ready(answer) => break answer,
            Poll::Pending => thread::park_timeout(WITHIN),
        }
    };
    assert!(answer.unwrap().is_served());
}

#[test]
fn local_node_runs_on_current_thread_until_dropped() {
    let server = Server::new(|count, _| if count == 0 { ok("slip") } else { Act::Wait });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let node =
            Node::builder(config()).roster(roster::Fixed::new([entry("a", &server)])).start_local().unwrap();
        let fleet = node.handle().clone();
        ready(&fleet).await;
        assert!(fleet.call(view("1")).await.unwrap().is_served());
        let mut open = Box::pin(fleet.call(order("2")));
        assert!(poll_once(&mut open).await.is_pending());
        drop(node);
        assert!(matches!(open.await.unwrap(), Answer::Failed { .. }));
        assert!(matches!(fleet.call(view("3")).await, Err(CallError::Closed)));
    });
}

#[test]
fn invalid_configuration_fails_start() {
    let mut invalid = config();
    invalid.fleet.rank = 7;
    let error = Node::builder(invalid).start().map(|_| ()).unwrap_err();
    assert_eq!(error.to_string(), "fleet.rank: expected a number below fleet.nodes");
    let outside = Node::builder(config()).start_local().map(|_| ()).unwrap_err();
    assert!(outside.to_string().contains("runtime"), "{outside}");
}

#[tokio::test]
async fn channel_roster_moves_server_at_once() {
    let (one, two) = (Server::new(|_, _| ok("one")), Server::new(|_, _| ok("two")));
    let (list, roster) = roster::channel();
    let node = Node::builder(config()).roster(roster).start().unwrap();
    let fleet = node.handle();
    assert!(!fleet.is_ready());
    assert!(fleet.call(view("0")).await.unwrap().is_refused(), "refused, because there is no server");
    list.send(Update::whole([entry("a", &one)])).await.unwrap();
    ready(fleet).await;
    assert!(fleet.call(view("1")).await.unwrap().is_served());
    list.send(Update::changes([Entry::new("a", two.address)])).await.unwrap();
    one.ended();
    assert!(fleet.call(view("2")).await.unwrap().is_served());
    assert_eq!((one.count(), two.count()), (1, 1));
    let view = fleet.snapshot().await.unwrap();
    assert_eq!(view.servers.iter().map(|s| (&*s.uid, s.endpoint)).collect::<Vec<_>>(), [("a", two.address)]);
    node.shutdown(Duration::ZERO).await;
    let gone = list.send(Update::whole([])).await.unwrap_err();
    assert_eq!(gone, roster::RosterSendError::Ended);
}

#[tokio::test]
async fn file_roster_reloads_on_change() {
    let (one, two) = (Server::new(|_, _| ok("one")), Server::new(|_, _| ok("two")));
    let path = std::env::temp_dir().join(format!("dunelink-roster-{}.toml", std::process::id()));
    let write = |text: String| {
        let temporary = path.with_extension("new");
        std::fs::write(&temporary, text).unwrap();
        std::fs::rename(&temporary, &path).unwrap();
    };
    let list = |uid: &str, server: &Server, state: &str| {
        format!("[[servers]]\nuid = \"{uid}\"\nendpoint = \"{}\"\nstate = \"{state}\"\n", server.address)
    };
    write(list("a", &one, "ready"));
    let roster = roster::File::new(&path, Duration::from_millis(10));
    let node = Node::builder(config()).roster(roster).start().unwrap();
    let fleet = node.handle();
    ready(fleet).await;
    assert!(fleet.call(view("1")).await.unwrap().is_served());
    // A truncated file, an invalid one, an empty one or none at all: the list stays.
    for invalid in ["[[servers]]\nuid = \"a", "[[servers]]\nname = \"a\"\n", "servers = []\n"] {
        write(invalid.into());
        tokio::time::sleep(Duration::from_millis(60)).await;
        assert!(fleet.call(view("1")).await.unwrap().is_served(), "{invalid}");
    }
    std::fs::remove_file(&path).unwrap();
    tokio::time::sleep(Duration::from_millis(60)).await;
    assert!(fleet.call(view("1")).await.unwrap().is_served());
    let before = one.count();
    write(list("a", &one, "draining") + &list("b", &two, "ready"));
    one.ended();
    assert!(fleet.call(view("2")).await.unwrap().is_served());
    assert_eq!((one.count(), two.count()), (before, 1));
    std::fs::remove_file(&path).unwrap();
}

#[tokio::test]
async fn ended_roster_keeps_list() {
    let server = Server::new(|_, _| ok("slip"));
    struct SingleUpdate(Vec<Entry>);
    impl roster::Roster for SingleUpdate {
        fn run(self: Box<Self>, mut feed: roster::Feed) -> roster::RosterFuture {
            Box::pin(async move { feed.update(&Update::whole(self.0)) })
        }
    }
    let node = Node::builder(config()).roster(SingleUpdate(vec![entry("a", &server)])).start().unwrap();
    ready(node.handle()).await;
    for i in 0..5 {
        assert!(node.handle().call(view(&i.to_string())).await.unwrap().is_served());
    }
    pending::<()>().assert_pending().await;
}
