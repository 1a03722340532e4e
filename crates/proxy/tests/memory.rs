//! The memory of a proxy process stays below `limits.memoryMb`, whatever clients and servers send. It is counted
//! as the platform does: resident, and received bytes that were not read yet.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::agent::Agent;
use common::client::Client;
use common::process::ProxyProcess;
use common::server::{ReceivedRequest, Server, Step, chunk, respond, stream_head, stream_head_with};
use common::{Limits, Route, configuration_with_limits, routes, run_within};
use rustix::process::Signal;
use testkit::system::MemoryMeter;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// The smallest memory limit of a deployed front, in megabytes.
const MEMORY_MB: u64 = 88;
/// Below `MAX_BODY_BYTES`.
const LONG_BODY_BYTES: usize = 4_000_000;
const MAX_BODY_BYTES: usize = 4 << 20;
/// Timeout of a test: megabytes pass through each process, also on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of a request, and of its body.
const REQUEST_TIMEOUT_MS: u64 = 50_000;
/// More bodies than fit into the memory.
const LONG_BODIES: usize = 60;
/// More than the requests that are open at a time.
const SERVER_SLOTS: u32 = 1_000;
/// Connections that hold as much as they can.
const HOSTILE_CONNECTIONS: usize = 300;
/// More connections than the proxy accepts.
const FULL_CONNECTIONS: usize = 390;
/// Below the length up to which an event is kept until its end has arrived.
const LONG_EVENT_BYTES: usize = 240_000;
const LONG_EVENTS: usize = 4;
/// Length of an event that is read into a buffer of its own.
const PIECE_BYTES: usize = 1_800;
const PIECES: usize = 120;
const PIECE_PAUSE: Duration = Duration::from_millis(3);
/// Time after which clients and servers are idle in all tests that leave connections open.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// A proxy with a memory limit, and one server.
struct Fixture {
    proxy: ProxyProcess,
    memory: MemoryMeter,
    server: Server,
    _agent: Agent,
}

impl Fixture {
    async fn start(script: impl Fn(usize, &ReceivedRequest) -> Vec<Step> + 'static) -> Self {
        let server = Server::start("i-1", script).await;
        server.discards_bodies.set(true);
        server.slots.set(SERVER_SLOTS);
        let agent = Agent::listen().await;
        let proxy =
            ProxyProcess::spawn(&agent, &format!("[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = 4100\n"));
        let unsafe_route = Route { timeout_ms: REQUEST_TIMEOUT_MS, ..Route::new("/slow-once/", "unsafe") };
        let routes: Vec<Route> = routes().into_iter().chain([unsafe_route]).collect();
        let limits = Limits {
            max_body_bytes: MAX_BODY_BYTES,
            header_timeout_ms: REQUEST_TIMEOUT_MS,
            max_server_connections: SERVER_SLOTS,
        };
        let configuration = configuration_with_limits(1, &routes, "", &limits);
        proxy.configure(&agent, 1, &configuration, &[&server]).await;
        let memory = proxy.measure_memory();
        Self { proxy, memory, server, _agent: agent }
    }

    fn assert_within_limit(&self) {
        self.memory.assert_below(MEMORY_MB);
    }

    async fn client(&self) -> Client {
        Client::connect(self.proxy.front).await
    }

    /// Opens connections and sends `request` on each, without reading a response.
    async fn open_connections(&self, count: usize, request: &str) -> Vec<Client> {
        let mut clients = Vec::new();
        for _ in 0..count {
            let mut client = self.client().await;
            client.send(request).await;
            clients.push(client);
        }
        clients
    }
}

fn head(path: &str, id: &str, fields: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Dunelink-Request-Id: {id}\r\n\
         X-Dunelink-Deadline-Ms: {REQUEST_TIMEOUT_MS}\r\n{fields}\r\n\r\n"
    )
}

/// Sends a request with a long body on a new connection. Returns the task that reads the status of its response.
async fn send_long_body(fixture: &Fixture, path: &str, number: usize, body: Rc<str>) -> JoinHandle<u16> {
    let mut client = fixture.client().await;
    let head = head(path, &format!("a{number}"), &format!("Content-Length: {}", body.len()));
    tokio::task::spawn_local(async move {
        client.send(&head).await;
        client.send(&body).await;
        client.read_response().await.status
    })
}

fn long_body() -> Rc<str> {
    "b".repeat(LONG_BODY_BYTES).into()
}

/// Guards against the end of the process over its memory (Fault): it kept the body of each unsafe request until
/// the response, though a server was at work on it.
#[test]
fn bodies_of_requests_at_servers_are_released_before_any_is_refused() {
    run_within(TEST_TIMEOUT, async {
        let release = Rc::new(Notify::new());
        let waiting = release.clone();
        let fixture = Fixture::start(move |_, _| {
            [vec![Step::Wait(waiting.clone())], respond(200, "", "fine")].concat()
        })
        .await;
        let body = long_body();
        let mut responses = Vec::new();
        for number in 0..LONG_BODIES {
            responses.push(send_long_body(&fixture, "/slow-once/x", number, body.clone()).await);
            common::wait_until(|| fixture.server.count() > number).await;
        }
        release.notify_waiters();
        for response in responses {
            assert_eq!(response.await.unwrap(), 200);
        }
        fixture.assert_within_limit();
    });
}

/// Guards against the end of the process over its memory (Fault): more long bodies arrive at once than fit. Those
/// that are refused do not run.
#[test]
fn long_bodies_that_arrive_together_are_refused_beyond_the_limit() {
    run_within(TEST_TIMEOUT, async {
        let fixture = Fixture::start(|_, _| respond(200, "", "fine")).await;
        let body = long_body();
        let mut responses = Vec::new();
        for number in 0..LONG_BODIES {
            responses.push(send_long_body(&fixture, "/slow-once/x", number, body.clone()).await);
        }
        let mut served = 0;
        for response in responses {
            match response.await.unwrap() {
                200 => served += 1,
                status => assert_eq!(status, 503),
            }
        }
        assert_eq!(served, fixture.server.count());
        assert!(served > 0);
        fixture.assert_within_limit();
    });
}

/// Guards against the end of the process over its memory (Fault): clients stop in the middle of a long body. Short
/// requests are served meanwhile.
#[test]
fn bodies_that_stop_midway_leave_memory_for_short_requests() {
    run_within(TEST_TIMEOUT, async {
        let fixture = Fixture::start(|_, _| respond(200, "", "fine")).await;
        let half = head("/once/x", "a", &format!("Content-Length: {LONG_BODY_BYTES}"))
            + &"b".repeat(LONG_BODY_BYTES / 2);
        let clients = fixture.open_connections(HOSTILE_CONNECTIONS / 2, &half).await;
        for number in 0..10 {
            let response = fixture.client().await.call("/once/x", &format!("b{number}")).await;
            assert_eq!(response.status, 200, "request {number}");
        }
        tokio::time::sleep(SETTLING_TIME).await;
        drop(clients);
        fixture.assert_within_limit();
    });
}

/// Long heads and bodies that stop within their first segment are within the limit.
#[test]
fn long_heads_and_short_stalled_bodies_stay_within_the_limit() {
    run_within(TEST_TIMEOUT, async {
        let fixture = Fixture::start(|_, _| vec![Step::Hang]).await;
        let fields = long_fields();
        let complete = head("/long/x", "a", &format!("{fields}Content-Length: 4")) + "body";
        let stalled =
            head("/long/x", "a", &format!("{fields}Content-Length: {LONG_BODY_BYTES}")) + &"b".repeat(31_000);
        let first = fixture.open_connections(HOSTILE_CONNECTIONS / 2, &complete).await;
        let second = fixture.open_connections(HOSTILE_CONNECTIONS / 2, &stalled).await;
        tokio::time::sleep(SETTLING_TIME).await;
        drop((first, second));
        fixture.assert_within_limit();
    });
}

/// Clients that do not read leave complete responses and streams in the proxy's buffers.
#[test]
fn responses_for_slow_readers_stay_within_the_limit() {
    run_within(TEST_TIMEOUT, async {
        let answer = "a".repeat(250_000);
        let piece = "p".repeat(60_000);
        let fixture = Fixture::start(move |_, request| match request.head.contains("/once/") {
            true => respond(200, "", &answer),
            false => {
                let chunks = (0..200).map(|_| chunk(&piece));
                [stream_head("seal")].into_iter().chain(chunks).chain([Step::Hang]).collect()
            }
        })
        .await;
        let whole = head("/once/x", "a", "Content-Length: 4") + "body";
        let stream = head("/flow/x", "a", "Content-Length: 4") + "body";
        let resumable = head("/again/x", "a", "Content-Length: 4") + "body";
        let mut clients = fixture.open_connections(HOSTILE_CONNECTIONS / 3, &whole).await;
        clients.extend(fixture.open_connections(HOSTILE_CONNECTIONS / 3, &stream).await);
        clients.extend(fixture.open_connections(HOSTILE_CONNECTIONS / 3, &resumable).await);
        tokio::time::sleep(SETTLING_TIME).await;
        drop(clients);
        fixture.assert_within_limit();
    });
}

/// Bytes that arrive while the process does not run are counted too.
#[test]
fn bytes_that_arrive_while_the_process_is_stopped_stay_within_the_limit() {
    run_within(TEST_TIMEOUT, async {
        let fixture = Fixture::start(|_, _| respond(200, "", "fine")).await;
        let first_half = head("/once/x", "a", &format!("Content-Length: {LONG_BODY_BYTES}"))
            + &"b".repeat(LONG_BODY_BYTES / 2);
        let clients = fixture.open_connections(HOSTILE_CONNECTIONS / 2, &first_half).await;
        fixture.proxy.signal(Signal::STOP);
        let rest = Rc::<str>::from("b".repeat(LONG_BODY_BYTES / 2));
        let mut senders = Vec::new();
        for mut client in clients {
            let rest = rest.clone();
            senders.push(tokio::task::spawn_local(async move {
                client.try_send(&rest).await;
                client
            }));
        }
        for number in 0..HOSTILE_CONNECTIONS {
            let front = fixture.proxy.front;
            let body = rest.clone();
            // The kernel accepts a part of the connections before the process runs again.
            senders.push(tokio::task::spawn_local(async move {
                let mut client = Client::connect(front).await;
                client.try_send(&head("/once/x", &format!("b{number}"), "Content-Length: 2000000")).await;
                client.try_send(&body).await;
                client
            }));
        }
        tokio::time::sleep(SETTLING_TIME).await;
        fixture.proxy.signal(Signal::CONT);
        tokio::time::sleep(SETTLING_TIME).await;
        drop(senders);
        fixture.assert_within_limit();
    });
}

/// Fields of a head that is nearly as long as the limit allows.
fn long_fields() -> String {
    (0..60).map(|number| format!("X-Field-{number}: {}\r\n", "f".repeat(230))).collect()
}

/// Asserts that the proxy stays within its memory while clients read nothing. Each sends a request with a long head
/// to one of `paths`, and a second request with a long body before the response.
async fn assert_full_connections_fit(fixture: &Fixture, paths: &[&str]) {
    let fields = long_fields();
    let next = head(paths[0], "b", &format!("{fields}Content-Length: {LONG_BODY_BYTES}")) + &long_body();
    let next = Rc::<str>::from(next);
    let mut senders = Vec::new();
    for number in 0..FULL_CONNECTIONS {
        let mut client = Client::try_connect_with_small_buffers(fixture.proxy.front).await.unwrap();
        let path = paths[number % paths.len()];
        let request = head(path, "a", &format!("{fields}Content-Length: 4")) + "body";
        let next = next.clone();
        senders.push(tokio::task::spawn_local(async move {
            client.try_send(&request).await;
            client.try_send(&next).await;
            client
        }));
    }
    tokio::time::sleep(2 * SETTLING_TIME).await;
    assert!(fixture.server.count() > HOSTILE_CONNECTIONS / 2);
    drop(senders);
    fixture.assert_within_limit();
}

/// Guards against the end of the process over its memory (Fault): each connection holds as much as it can at
/// the same time, in the proxy's buffers and in the kernel's. Each small piece of a stream kept a whole buffer.
#[test]
fn connections_that_fill_all_their_buffers_stay_within_the_limit() {
    run_within(TEST_TIMEOUT, async {
        let piece = format!("data: {}\n\n", "p".repeat(PIECE_BYTES));
        let fixture = Fixture::start(move |_, _| {
            let pieces = (0..PIECES).flat_map(|_| [chunk(&piece), Step::Pause(PIECE_PAUSE)]);
            let rest = chunk(&"r".repeat(LONG_BODY_BYTES));
            let head = stream_head_with(&long_fields(), "seal");
            [head].into_iter().chain(pieces).chain([rest, Step::Hang]).collect()
        })
        .await;
        assert_full_connections_fit(&fixture, &["/flow/x", "/again/x"]).await;
    });
}

/// Guards against the end of the process over its memory (Fault): long events of resumable streams were kept for
/// slow readers without memory that was reserved for them.
#[test]
fn long_events_for_slow_readers_stay_within_the_limit() {
    run_within(TEST_TIMEOUT, async {
        let long_event = chunk(&format!("data: {}\n\n", "e".repeat(LONG_EVENT_BYTES)));
        let fixture = Fixture::start(move |_, _| {
            let events = (0..LONG_EVENTS).map(|_| long_event.clone());
            [stream_head("seal")].into_iter().chain(events).chain([Step::Hang]).collect()
        })
        .await;
        assert_full_connections_fit(&fixture, &["/again/x"]).await;
    });
}
