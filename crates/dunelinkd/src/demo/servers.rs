//! Simulated payroll servers, which count violations of the rules.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use dunelink::Server;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// How long a cold server takes to warm up, and the fraction of its capacity that it starts with.
pub(super) const WARM_UP: Duration = Duration::from_secs(10);
pub(super) const COLD_CAPACITY: f64 = 0.12;
/// Number of requests that a server processes at the same time.
const WORKERS: usize = 4;
/// How long after a drain began requests may still arrive.
const DRAIN_GRACE: Duration = Duration::from_secs(1);

/// One simulated server.
struct DemoServer {
    entry: Server,
    stalled: Cell<bool>,
    resume: Notify,
    drain_start: Cell<Option<Instant>>,
    started: Instant,
    cold: bool,
    workers: Semaphore,
    in_progress: Cell<usize>,
    served: Cell<u64>,
}

/// All simulated servers.
pub(super) struct DemoServers {
    servers: RefCell<Vec<Rc<DemoServer>>>,
    orders: Rc<RefCell<HashSet<String>>>,
    duplicate_orders: Rc<Cell<u64>>,
    requests_after_drain: Rc<Cell<u64>>,
}

/// The state of a server, as it reports it itself.
pub(super) struct ServerStatus {
    pub(super) uid: String,
    pub(super) state: &'static str,
    pub(super) in_progress: usize,
    pub(super) served: u64,
}

impl DemoServers {
    pub(super) fn new() -> DemoServers {
        DemoServers {
            servers: RefCell::default(),
            orders: Rc::default(),
            duplicate_orders: Rc::default(),
            requests_after_drain: Rc::default(),
        }
    }

    /// Starts another server, which is added to the end of the list.
    pub(super) async fn start(&self, cold: bool) -> std::io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let id = self.servers.borrow().len() + 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let entry = Server {
            weight: 1.0,
            started_ms: if cold { now.as_millis() as u64 } else { 0 },
            ..Server::new(format!("s-{id}"), listener.local_addr()?)
        };
        let server = Rc::new(DemoServer {
            entry: entry.clone(),
            stalled: Cell::new(false),
            resume: Notify::new(),
            drain_start: Cell::new(None),
            started: Instant::now(),
            cold,
            workers: Semaphore::new(WORKERS),
            in_progress: Cell::new(0),
            served: Cell::new(0),
        });
        self.servers.borrow_mut().push(server.clone());
        let (orders, duplicate_orders, requests_after_drain) =
            (self.orders.clone(), self.duplicate_orders.clone(), self.requests_after_drain.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let (server, orders) = (server.clone(), orders.clone());
                let (duplicate_orders, requests_after_drain) =
                    (duplicate_orders.clone(), requests_after_drain.clone());
                let service = service_fn(move |request: Request<Incoming>| {
                    let (server, orders) = (server.clone(), orders.clone());
                    let (duplicate_orders, requests_after_drain) =
                        (duplicate_orders.clone(), requests_after_drain.clone());
                    async move {
                        let (head, body) = request.into_parts();
                        let _ = body.collect().await;
                        let path = head.uri.path().to_string();
                        requests_after_drain
                            .set(requests_after_drain.get() + u64::from(server.is_past_drain_grace()));
                        if path.starts_with("/transfer-order/") && !orders.borrow_mut().insert(path.clone()) {
                            duplicate_orders.set(duplicate_orders.get() + 1);
                        }
                        let answer = server.process(&path).await;
                        Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(answer))))
                    }
                });
                spawn_local(async move {
                    // A connection that the node closes early ends here with an error.
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(entry)
    }

    fn get(&self, index: usize) -> Rc<DemoServer> {
        self.servers.borrow()[index].clone()
    }

    /// The entry of this server in the server list.
    pub(super) fn entry(&self, index: usize) -> Server {
        self.get(index).entry.clone()
    }

    /// Sets whether the server stops answering.
    pub(super) fn stall(&self, index: usize, stalled: bool) {
        let server = self.get(index);
        server.stalled.set(stalled);
        server.resume.notify_waiters();
    }

    /// Records that the server list now has this server draining.
    pub(super) fn drain(&self, index: usize) {
        self.get(index).drain_start.set(Some(Instant::now()));
    }

    /// The current state of each server.
    pub(super) fn statuses(&self) -> Vec<ServerStatus> {
        let statuses = |server: &Rc<DemoServer>| ServerStatus {
            uid: server.entry.uid.clone(),
            state: match () {
                () if server.stalled.get() => "stalled",
                () if server.drain_start.get().is_some() => "draining",
                () if server.capacity() < 1.0 => "cold",
                () => "ready",
            },
            in_progress: server.in_progress.get(),
            served: server.served.get(),
        };
        self.servers.borrow().iter().map(statuses).collect()
    }

    /// The number of orders that ran twice, and of requests that arrived too long after a drain began.
    pub(super) fn violations(&self) -> (u64, u64) {
        (self.duplicate_orders.get(), self.requests_after_drain.get())
    }
}

impl DemoServer {
    fn is_past_drain_grace(&self) -> bool {
        self.drain_start.get().is_some_and(|at| at.elapsed() > DRAIN_GRACE)
    }

    fn capacity(&self) -> f64 {
        match self.cold {
            true => {
                let warm_fraction = self.started.elapsed().as_secs_f64() / WARM_UP.as_secs_f64();
                (COLD_CAPACITY + (1.0 - COLD_CAPACITY) * warm_fraction).min(1.0)
            }
            false => 1.0,
        }
    }

    async fn process(&self, path: &str) -> String {
        let _in_progress = InProgressGuard::new(&self.in_progress);
        let _worker = self.workers.acquire().await;
        while self.stalled.get() {
            self.resume.notified().await;
        }
        let work_ms = match path.split('/').nth(1) {
            Some("payslip-view") => 8.0,
            Some("pay-preview") => 30.0,
            _ => 15.0,
        };
        sleep(Duration::from_secs_f64(work_ms / 1000.0 / self.capacity())).await;
        self.served.set(self.served.get() + 1);
        format!("{path} by {}\n", self.entry.uid)
    }
}

/// Counts a request as in progress until it is dropped, even if its connection ends early.
struct InProgressGuard<'a>(&'a Cell<usize>);

impl InProgressGuard<'_> {
    fn new(count: &Cell<usize>) -> InProgressGuard<'_> {
        count.set(count.get() + 1);
        InProgressGuard(count)
    }
}

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
