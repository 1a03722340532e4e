//! Clients that use each connection for as long as it stays open, and record the outcome of each request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use testkit::system::scene::{FIXED, RESUMABLE, SAFE, Scene, UNSAFE};
use testkit::system::{Connection, Request, TestClient};

use super::SoakSize;

/// Least time between the starts of two requests of one client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Most events of a resumable stream, which may outlast the grace period.
const MAX_RESUMABLE_EVENTS: f64 = 90.0;
/// Most events of a fixed stream.
const MAX_FIXED_EVENTS: u64 = 20;
/// A client closes its connection after one in this many requests.
const CLOSE_ONE_IN_REQUESTS: u8 = 8;

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A complete response with this status.
    Completed(u16),
    /// A complete stream with missing, repeated or surplus events; holds the received event ids.
    UnexpectedEvents(Vec<u64>),
    /// The connection ended without a complete response.
    Interrupted {
        /// Whether a response head was received.
        response_started: bool,
    },
}

/// One request of a client.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    /// Its `X-Dunelink-Request-Id`.
    pub(crate) id: String,
    /// Its path.
    pub(crate) path: &'static str,
    /// The front machine that it was sent to.
    pub(crate) front: usize,
    /// When its connection was established.
    pub(crate) connected_at: Instant,
    /// Number of earlier requests on the connection.
    pub(crate) earlier_requests: usize,
    /// Just before its first byte was sent.
    pub(crate) sent_at: Instant,
    /// When its outcome was known.
    pub(crate) completed_at: Instant,
    /// Its outcome.
    pub(crate) outcome: Outcome,
}

/// All clients of a soak.
pub(crate) struct ClientPool {
    clients: Vec<Client>,
}

impl ClientPool {
    /// `clients_per_front` clients for each front machine. Each client picks a random front for every
    /// connection.
    pub(crate) fn new(scene: &Scene, seed: u64, size: SoakSize) -> ClientPool {
        let fronts: Vec<TestClient> =
            (0..usize::from(size.fronts)).map(|front| scene.client(front)).collect();
        let client = |number: usize| Client {
            fronts: fronts.clone(),
            random: fastrand::Rng::with_seed(seed.wrapping_mul(1_000_003).wrapping_add(number as u64)),
            records: Vec::new(),
        };
        ClientPool { clients: (0..fronts.len() * size.clients_per_front).map(client).collect() }
    }

    /// Sends requests until `stop` is set, each client in its own task, and returns the records of all
    /// requests.
    pub(crate) async fn run(self, stop: &Arc<AtomicBool>) -> Vec<RequestRecord> {
        let tasks: Vec<_> =
            self.clients.into_iter().map(|client| tokio::spawn(client.run(stop.clone()))).collect();
        let mut records = Vec::new();
        for task in tasks {
            records.extend(task.await.expect("the client does not panic"));
        }
        records
    }
}

struct Client {
    fronts: Vec<TestClient>,
    random: fastrand::Rng,
    records: Vec<RequestRecord>,
}

impl Client {
    async fn run(mut self, stop: Arc<AtomicBool>) -> Vec<RequestRecord> {
        let mut pace = tokio::time::interval(REQUEST_INTERVAL);
        while !stop.load(Ordering::Relaxed) {
            pace.tick().await;
            let front = self.random.usize(..self.fronts.len());
            // A front that is down accepts no connection.
            if let Ok(connection) = self.fronts[front].connect().await {
                self.use_connection(front, connection, &stop).await;
            }
        }
        self.records
    }

    /// Sends requests on a connection until it closes, the client leaves it, or `stop` is set.
    async fn use_connection(&mut self, front: usize, mut connection: Connection, stop: &AtomicBool) {
        let connected_at = Instant::now();
        let mut pace = tokio::time::interval(REQUEST_INTERVAL);
        for earlier_requests in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            pace.tick().await;
            let (path, events) = self.choose_route();
            let request = self.request(front, path, events);
            let sent_at = Instant::now();
            let (outcome, reusable) = send_and_receive(&mut connection, &request, events).await;
            let completed_at = Instant::now();
            self.records.push(RequestRecord {
                id: request.id,
                path,
                front,
                connected_at,
                earlier_requests,
                sent_at,
                completed_at,
                outcome,
            });
            if !reusable || self.random.u8(..CLOSE_ONE_IN_REQUESTS) == 0 {
                return;
            }
        }
    }

    /// Chooses a route at random, and the number of events for a stream.
    fn choose_route(&mut self) -> (&'static str, Option<u64>) {
        match self.random.u8(..10) {
            0..=2 => (SAFE, None),
            3..=5 => (UNSAFE, None),
            6..=7 => (FIXED, Some(self.random.u64(1..=MAX_FIXED_EVENTS))),
            _ => (RESUMABLE, Some(1 + (MAX_RESUMABLE_EVENTS * self.random.f64().powi(2)) as u64)),
        }
    }

    fn request(&self, front: usize, path: &str, events: Option<u64>) -> Request {
        let request = self.fronts[front].request("POST", path).body(b"words");
        match events {
            Some(events) => request.prompt(200, events as u32, "5c1e07a2:200"),
            None => request,
        }
    }
}

/// Sends a request and reads its response; returns the outcome and whether the connection may be reused.
async fn send_and_receive(
    connection: &mut Connection,
    request: &Request,
    events: Option<u64>,
) -> (Outcome, bool) {
    if connection.send(request).await.is_err() {
        return (Outcome::Interrupted { response_started: false }, false);
    }
    let Ok(mut response) = connection.head().await else {
        return (Outcome::Interrupted { response_started: false }, false);
    };
    let (status, closes) = (response.head.status(), response.head.closes());
    let Some(events) = events.filter(|_| status == 200) else {
        return match response.rest().await {
            Ok(_) => (Outcome::Completed(status), !closes),
            Err(_) => (Outcome::Interrupted { response_started: true }, false),
        };
    };
    let (received, complete) = response.events().await;
    let ids: Vec<u64> = received.iter().map(|event| event.id).collect();
    let in_order = ids.iter().copied().eq(1..=events);
    match (complete, in_order) {
        (true, true) => (Outcome::Completed(status), !closes),
        (true, false) => (Outcome::UnexpectedEvents(ids), false),
        (false, _) => (Outcome::Interrupted { response_started: true }, false),
    }
}
