//! Clients that hold as much of the proxy's memory as they can, and clients with usual requests.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::count_runs;
use crate::common::client::Client;
use crate::common::server::Server;

const LONG_BODY_BYTES: usize = 4_000_000;
/// Average length of a usual body.
const USUAL_BODY_BYTES: usize = 18_000;
/// Length of the head fields of a long head.
const LONG_HEAD_BYTES: usize = 12_000;
/// Time for which a client that does not read keeps its connection.
const HOLDING_TIME: Duration = Duration::from_millis(1_500);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two requests of one client.
const MAX_PAUSE_MS: u64 = 300;
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// What a client does with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Behavior {
    /// Sends a usual request and reads the response.
    Usual,
    /// Sends a long body to a server that does not respond.
    LongUnsafe,
    /// Sends a long body of a request that may be repeated.
    LongIdempotent,
    /// Stops in the middle of a long body.
    Half,
    /// Sends a long body in small chunks, and stops.
    SmallChunks,
    /// Sends a long head and little of a body.
    LongHead,
    /// Does not read a long response.
    UnreadResponse,
    /// Does not read a stream that can't be resumed.
    UnreadStream,
    /// Does not read a stream that may be resumed.
    UnreadResumable,
    /// Sends a long head, does not read the stream, and sends a second request with a long body meanwhile.
    FilledBuffers,
}

const BEHAVIORS: [Behavior; 10] = [
    Behavior::Usual,
    Behavior::LongUnsafe,
    Behavior::LongIdempotent,
    Behavior::Half,
    Behavior::SmallChunks,
    Behavior::LongHead,
    Behavior::UnreadResponse,
    Behavior::UnreadStream,
    Behavior::UnreadResumable,
    Behavior::FilledBuffers,
];

/// How the requests of all clients ended.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    /// Numbers of requests by behavior and status; 0 stands for no response.
    counts: RefCell<BTreeMap<(Behavior, u16), usize>>,
    /// Ids of requests that must not run twice, with the status of their response.
    unsafe_requests: RefCell<Vec<(String, u16)>>,
}

impl Outcomes {
    fn record(&self, behavior: Behavior, id: String, status: u16) {
        *self.counts.borrow_mut().entry((behavior, status)).or_default() += 1;
        if matches!(behavior, Behavior::Usual | Behavior::LongUnsafe) {
            self.unsafe_requests.borrow_mut().push((id, status));
        }
    }

    /// Checks that no unsafe request ran twice, and that none of those that were refused ran.
    pub(crate) fn check(&self, servers: &[Server]) -> Vec<String> {
        let mut failures = Vec::new();
        for (id, status) in self.unsafe_requests.borrow().iter() {
            let runs = count_runs(servers, id);
            let allowed = usize::from(!matches!(status, 408 | 421 | 429 | 503));
            if runs > allowed {
                failures.push(format!("request {id} with status {status} ran {runs} times"));
            }
        }
        failures
    }
}

impl fmt::Display for Outcomes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = self.counts.borrow();
        let texts =
            counts.iter().map(|((behavior, status), count)| format!("{behavior:?} {status}: {count}"));
        formatter.write_str(&texts.collect::<Vec<_>>().join(", "))
    }
}

/// A client that keeps its connection for as long as it can.
pub(crate) struct SoakClient {
    number: usize,
    front: Rc<Cell<SocketAddr>>,
    outcomes: Rc<Outcomes>,
    stop: Rc<Cell<bool>>,
    random: fastrand::Rng,
    connection: Option<Client>,
}

impl SoakClient {
    pub(crate) fn new(
        number: usize,
        front: Rc<Cell<SocketAddr>>,
        outcomes: &Rc<Outcomes>,
        stop: &Rc<Cell<bool>>,
        random: fastrand::Rng,
    ) -> Self {
        let (outcomes, stop) = (outcomes.clone(), stop.clone());
        Self { number, front, outcomes, stop, random, connection: None }
    }

    pub(crate) async fn run(mut self) {
        let mut sequence = 0;
        while !self.stop.get() {
            sleep(Duration::from_millis(self.random.u64(..MAX_PAUSE_MS))).await;
            let connection = match self.connection.take() {
                Some(connection) => Some(connection),
                None => Client::try_connect(self.front.get()).await,
            };
            let Some(connection) = connection else {
                sleep(RECONNECT_PAUSE).await;
                continue;
            };
            // Half of the clients send usual requests only.
            let behavior = match self.number % 2 {
                0 => Behavior::Usual,
                _ => BEHAVIORS[self.random.usize(..BEHAVIORS.len())],
            };
            let id = format!("c{}n{sequence}", self.number);
            sequence += 1;
            self.send(connection, behavior, id).await;
        }
    }

    async fn send(&mut self, mut connection: Client, behavior: Behavior, id: String) {
        if behavior == Behavior::FilledBuffers {
            return self.fill_buffers(&id).await;
        }
        connection.try_send(&self.request(behavior, &id)).await;
        let reads = !matches!(
            behavior,
            Behavior::Half
                | Behavior::SmallChunks
                | Behavior::UnreadResponse
                | Behavior::UnreadStream
                | Behavior::UnreadResumable
        );
        if !reads {
            sleep(HOLDING_TIME).await;
            return;
        }
        let response = timeout(RESPONSE_TIMEOUT, connection.try_read_response()).await.ok().flatten();
        let keeps = response
            .as_ref()
            .is_some_and(|response| response.complete && response.header("connection") != Some("close"));
        let status = response.map_or(0, |response| if response.complete { response.status } else { 0 });
        self.outcomes.record(behavior, id, status);
        self.connection = keeps.then_some(connection);
    }

    /// Fills the buffers of a connection of its own, and holds it.
    async fn fill_buffers(&mut self, id: &str) {
        let Some(mut connection) = Client::try_connect_with_small_buffers(self.front.get()).await else {
            return;
        };
        connection.try_send(&self.request(Behavior::FilledBuffers, id)).await;
        let next = self.request(Behavior::LongIdempotent, id);
        let _ = timeout(HOLDING_TIME, connection.try_send(&next)).await;
    }

    fn request(&mut self, behavior: Behavior, id: &str) -> String {
        let stated = |bytes: usize| format!("Content-Length: {bytes}\r\n");
        let body = |bytes: usize| "b".repeat(bytes);
        let (path, fields, body) = match behavior {
            Behavior::Usual => {
                let bytes = self.random.usize(1..2 * USUAL_BODY_BYTES);
                ("/once/x", stated(bytes), body(bytes))
            }
            Behavior::LongUnsafe => ("/slow-once/x", stated(LONG_BODY_BYTES), body(LONG_BODY_BYTES)),
            Behavior::LongIdempotent => ("/long/x", stated(LONG_BODY_BYTES), body(LONG_BODY_BYTES)),
            Behavior::Half => {
                ("/once/x", stated(LONG_BODY_BYTES), body(self.random.usize(..LONG_BODY_BYTES)))
            }
            Behavior::SmallChunks => {
                let chunks = "1\r\nb\r\n".repeat(self.random.usize(..20_000));
                ("/once/x", "Transfer-Encoding: chunked\r\n".to_owned(), chunks)
            }
            Behavior::LongHead => {
                let field = format!("X-Field: {}\r\n", "f".repeat(LONG_HEAD_BYTES));
                ("/safe/x", field + &stated(4), body(4))
            }
            Behavior::FilledBuffers => {
                let path = if self.random.bool() { "/flow/x" } else { "/again/x" };
                let field = format!("X-Field: {}\r\n", "f".repeat(LONG_HEAD_BYTES));
                (path, field + &stated(4), body(4))
            }
            Behavior::UnreadResponse => ("/long/x", stated(4), body(4)),
            Behavior::UnreadStream => ("/flow/x", stated(4), body(4)),
            Behavior::UnreadResumable => ("/again/x", stated(4), body(4)),
        };
        format!(
            "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Dunelink-Request-Id: {id}\r\n\
             X-Dunelink-Deadline-Ms: 3000\r\n{fields}\r\n{body}"
        )
    }
}
