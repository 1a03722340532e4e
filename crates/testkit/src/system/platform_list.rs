//! A stand-in of the platform's list of servers: pages, a rate, and a record of the calls.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::{until, within};

/// Entries on a page.
const PAGE: usize = 50;
/// The span over which calls are counted against the rate.
const RATE_SPAN: Duration = Duration::from_secs(1);

/// A server as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The id of its incarnation.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is to end.
    pub draining: bool,
}

impl Entry {
    /// A ready server with 64 slots.
    pub fn ready(id: &str, service: &str, address: SocketAddr, zone: &str) -> Entry {
        let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
        Entry { id, service, address, zone, slots: 64, draining: false }
    }

    fn value(&self) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": if self.draining { "draining" } else { "ready" }, "coldRemainingMs": 0,
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "id": self.id,
        })
    }
}

/// A call of the list.
#[derive(Clone, Debug)]
pub struct Call {
    /// When it came.
    pub at: Instant,
    /// Its query.
    pub query: String,
    /// The status it got.
    pub status: u16,
}

/// The list as it stands, and who has read it.
#[derive(Clone, Debug, Default)]
struct State {
    entries: Vec<Entry>,
    version: u64,
    page: usize,
    rate_per_s: Option<usize>,
    fails: bool,
    calls: Vec<Call>,
    recent: VecDeque<Instant>,
    whole_read: Option<u64>,
}

/// The platform's list on loopback; its port closes when it is dropped.
pub struct PlatformList {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<()>,
    listening: Option<JoinHandle<()>>,
}

impl PlatformList {
    /// Starts an empty list.
    pub async fn start(address: SocketAddr) -> PlatformList {
        let state = Arc::new(Mutex::new(State { page: PAGE, ..State::default() }));
        let changed = watch::Sender::new(());
        let mut list = PlatformList { address, state, changed, listening: None };
        list.listen().await;
        list
    }

    /// Listens, at first or after [`PlatformList::stop`].
    pub async fn listen(&mut self) {
        let bind = || async { TcpListener::bind(self.address).await.ok() };
        let listener = until("the list's port", bind).await;
        let (state, changed) = (self.state.clone(), self.changed.clone());
        self.listening = Some(tokio::spawn(accept(listener, state, changed)));
    }

    /// Closes the port and all connections.
    pub async fn stop(&mut self) {
        if let Some(listening) = self.listening.take() {
            listening.abort();
            let _ = listening.await;
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Shows these servers from now on.
    pub fn set(&self, entries: Vec<Entry>) {
        let mut state = self.state.lock().unwrap();
        state.entries = entries;
        state.version += 1;
    }

    /// Changes what is shown.
    pub fn edit(&self, change: impl FnOnce(&mut Vec<Entry>)) {
        let mut state = self.state.lock().unwrap();
        change(&mut state.entries);
        state.version += 1;
    }

    /// Marks a server as one that is to end.
    pub fn drain(&self, id: &str) {
        self.edit(|entries| {
            entries.iter_mut().filter(|entry| entry.id == id).for_each(|entry| entry.draining = true);
        });
    }

    /// Entries on a page from now on.
    pub fn page(&self, entries: usize) {
        self.state.lock().unwrap().page = entries;
    }

    /// Calls a second from now on; more get 429.
    pub fn rate(&self, per_s: usize) {
        self.state.lock().unwrap().rate_per_s = Some(per_s);
    }

    /// Whether calls get 503 from now on.
    pub fn fails(&self, fails: bool) {
        self.state.lock().unwrap().fails = fails;
    }

    /// All calls so far.
    pub fn calls(&self) -> Vec<Call> {
        self.state.lock().unwrap().calls.clone()
    }

    /// Waits until somebody has read the list as it stands now, from the first page to the last.
    pub async fn read(&self) {
        let version = self.state.lock().unwrap().version;
        let mut changed = self.changed.subscribe();
        let read =
            changed.wait_for(|()| self.state.lock().unwrap().whole_read.is_some_and(|read| read >= version));
        within("a reader of the list", read).await.expect("the sender lives in the list");
    }
}

impl Drop for PlatformList {
    fn drop(&mut self) {
        if let Some(listening) = self.listening.take() {
            listening.abort();
        }
    }
}

async fn accept(listener: TcpListener, state: Arc<Mutex<State>>, changed: watch::Sender<()>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let (state, changed) = (state.clone(), changed.clone());
        connections.spawn(async move {
            let service = service_fn(async |request: Request<Incoming>| {
                let (status, body) = answer(&mut state.lock().unwrap(), &request);
                changed.send_modify(|()| ());
                let mut answer = Response::new(Full::new(Bytes::from(body)));
                *answer.status_mut() = status.try_into().expect("a status");
                let kind = hyper::header::HeaderValue::from_static("application/json");
                answer.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
                Ok::<_, Infallible>(answer)
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
        while connections.try_join_next().is_some() {}
    }
}

fn answer(state: &mut State, request: &Request<Incoming>) -> (u16, String) {
    let query = request.uri().query().unwrap_or_default().to_owned();
    let now = Instant::now();
    let (status, body) = if request.uri().path() != "/instances" {
        (404, String::new())
    } else if state.fails {
        (503, String::new())
    } else if over_the_rate(state, now) {
        (429, String::new())
    } else {
        page(state, &query)
    };
    state.calls.push(Call { at: now, query, status });
    (status, body)
}

fn over_the_rate(state: &mut State, now: Instant) -> bool {
    while state.recent.front().is_some_and(|at| now - *at >= RATE_SPAN) {
        state.recent.pop_front();
    }
    state.recent.push_back(now);
    state.rate_per_s.is_some_and(|rate| state.recent.len() > rate)
}

fn parameter<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// A token is `p-` with the version at the first page and the number of entries that went before.
fn page(state: &mut State, query: &str) -> (u16, String) {
    let zone = parameter(query, "zone").filter(|zone| !zone.is_empty());
    let token = parameter(query, "pageToken").filter(|token| !token.is_empty());
    let place = match token {
        None => Some((state.version, 0)),
        Some(token) => token
            .strip_prefix("p-")
            .and_then(|rest| rest.split_once('-'))
            .and_then(|(at, from)| Some((at.parse().ok()?, from.parse::<usize>().ok()?))),
    };
    let Some((version, from)) = place else { return (400, String::new()) };
    let entries: Vec<&Entry> =
        state.entries.iter().filter(|entry| zone.is_none_or(|zone| entry.zone == zone)).collect();
    let until = (from + state.page).min(entries.len());
    let shown: Vec<Value> = entries[from.min(until)..until].iter().map(|entry| entry.value()).collect();
    let next = (until < entries.len()).then(|| format!("p-{version}-{until}"));
    if next.is_none() && zone.is_none() {
        state.whole_read = state.whole_read.max(Some(version));
    }
    (200, json!({"instances": shown, "nextToken": next}).to_string())
}
