//! Stand-in payroll servers, which keep count of what must never happen.

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

/// How long a cold server takes to become warm, and what part of its capacity it starts with.
pub(super) const WARM_UP: Duration = Duration::from_secs(10);
pub(super) const COLD_FROM: f64 = 0.12;
/// Requests that one server works on at a time.
const WORKERS: usize = 4;
/// How long after a drain was told requests may still come.
const DRAIN_GRACE: Duration = Duration::from_secs(1);

/// One stand-in server.
struct StandIn {
    entry: Server,
    stalled: Cell<bool>,
    resumed: Notify,
    drained: Cell<Option<Instant>>,
    started: Instant,
    cold: bool,
    workers: Semaphore,
    inside: Cell<usize>,
    served: Cell<u64>,
}

/// All of them.
pub(super) struct Fleet {
    servers: RefCell<Vec<Rc<StandIn>>>,
    orders: Rc<RefCell<HashSet<String>>>,
    twice: Rc<Cell<u64>>,
    late: Rc<Cell<u64>>,
}

/// A server as its owner sees it.
pub(super) struct Standing {
    pub(super) uid: String,
    pub(super) state: &'static str,
    pub(super) inside: usize,
    pub(super) served: u64,
}

impl Fleet {
    pub(super) fn new() -> Fleet {
        Fleet {
            servers: RefCell::default(),
            orders: Rc::default(),
            twice: Rc::default(),
            late: Rc::default(),
        }
    }

    /// Starts another server.
    pub(super) async fn start(&self, cold: bool) -> std::io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let number = self.servers.borrow().len() + 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let entry = Server {
            weight: 1.0,
            started_ms: if cold { now.as_millis() as u64 } else { 0 },
            ..Server::new(format!("s-{number}"), listener.local_addr()?)
        };
        let server = Rc::new(StandIn {
            entry: entry.clone(),
            stalled: Cell::new(false),
            resumed: Notify::new(),
            drained: Cell::new(None),
            started: Instant::now(),
            cold,
            workers: Semaphore::new(WORKERS),
            inside: Cell::new(0),
            served: Cell::new(0),
        });
        self.servers.borrow_mut().push(server.clone());
        let (orders, twice, late) = (self.orders.clone(), self.twice.clone(), self.late.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let (server, orders) = (server.clone(), orders.clone());
                let (twice, late) = (twice.clone(), late.clone());
                let service = service_fn(move |request: Request<Incoming>| {
                    let (server, orders) = (server.clone(), orders.clone());
                    let (twice, late) = (twice.clone(), late.clone());
                    async move {
                        let (head, body) = request.into_parts();
                        let _ = body.collect().await;
                        let path = head.uri.path().to_string();
                        late.set(late.get() + u64::from(server.is_late()));
                        if path.starts_with("/transfer-order/") && !orders.borrow_mut().insert(path.clone()) {
                            twice.set(twice.get() + 1);
                        }
                        let answer = server.work(&path).await;
                        Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(answer))))
                    }
                });
                spawn_local(async move {
                    // A connection that the node gives up ends here with an error.
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(entry)
    }

    fn get(&self, index: usize) -> Rc<StandIn> {
        self.servers.borrow()[index].clone()
    }

    /// Its entry in the list.
    pub(super) fn entry(&self, index: usize) -> Server {
        self.get(index).entry.clone()
    }

    /// Whether it answers nothing from now on.
    pub(super) fn stall(&self, index: usize, stalled: bool) {
        let server = self.get(index);
        server.stalled.set(stalled);
        server.resumed.notify_waiters();
    }

    /// Its drain has just been told.
    pub(super) fn drain(&self, index: usize) {
        self.get(index).drained.set(Some(Instant::now()));
    }

    /// All of them, as they stand.
    pub(super) fn standing(&self) -> Vec<Standing> {
        let standing = |s: &Rc<StandIn>| Standing {
            uid: s.entry.uid.clone(),
            state: match () {
                () if s.stalled.get() => "stalled",
                () if s.drained.get().is_some() => "draining",
                () if s.capacity() < 1.0 => "cold",
                () => "ready",
            },
            inside: s.inside.get(),
            served: s.served.get(),
        };
        self.servers.borrow().iter().map(standing).collect()
    }

    /// Orders that ran twice, and requests that came too long after a drain.
    pub(super) fn broken(&self) -> (u64, u64) {
        (self.twice.get(), self.late.get())
    }
}

impl StandIn {
    fn is_late(&self) -> bool {
        self.drained.get().is_some_and(|at| at.elapsed() > DRAIN_GRACE)
    }

    fn capacity(&self) -> f64 {
        match self.cold {
            true => {
                let age = self.started.elapsed().as_secs_f64() / WARM_UP.as_secs_f64();
                (COLD_FROM + (1.0 - COLD_FROM) * age).min(1.0)
            }
            false => 1.0,
        }
    }

    async fn work(&self, path: &str) -> String {
        let _inside = Inside::one_more(&self.inside);
        let _worker = self.workers.acquire().await;
        while self.stalled.get() {
            self.resumed.notified().await;
        }
        let millis = match path.split('/').nth(1) {
            Some("payslip-view") => 8.0,
            Some("pay-preview") => 30.0,
            _ => 15.0,
        };
        sleep(Duration::from_secs_f64(millis / 1000.0 / self.capacity())).await;
        self.served.set(self.served.get() + 1);
        format!("{path} by {}\n", self.entry.uid)
    }
}

/// One request inside, also when its connection is dropped.
struct Inside<'a>(&'a Cell<usize>);

impl Inside<'_> {
    fn one_more(count: &Cell<usize>) -> Inside<'_> {
        count.set(count.get() + 1);
        Inside(count)
    }
}

impl Drop for Inside<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
