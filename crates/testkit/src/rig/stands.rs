//! What nodes speak with besides each other: stand-in servers, and the service that lists them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::faults::Conduct;
use super::paths::Net;
use super::record::{Class, Record, What};

/// How often the list says that it is there.
const BEAT: Duration = Duration::from_millis(500);

/// What a class is called.
pub fn name(class: Class) -> &'static str {
    match class {
        Class::View => "view",
        Class::Submit => "submit",
        Class::Order => "order",
    }
}

fn class(path: &str) -> Option<Class> {
    let first = path.split('/').nth(1)?;
    [Class::View, Class::Submit, Class::Order].into_iter().find(|class| name(*class) == first)
}

/// Accepts for ever; each connection is served by a task of its own.
async fn accept<F: Future<Output = ()> + Send + 'static>(
    at: SocketAddr,
    serve: impl Fn(TcpStream, SocketAddr) -> F + Send + 'static,
) {
    let listener = TcpListener::bind(at).await.expect("a listener");
    tokio::spawn(async move {
        loop {
            let Ok((stream, from)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            tokio::spawn(serve(stream, from));
        }
    });
}

/// A server that takes down what comes to it.
pub(super) async fn server(net: &Arc<Net>, number: usize, conduct: watch::Receiver<Conduct>, record: Record) {
    let (net, at) = (net.clone(), net.server(number));
    accept(at, move |stream, from| {
        let (conduct, record, node) = (conduct.clone(), record.clone(), net.whose(from));
        async move {
            let service = service_fn(async |request: Request<Incoming>| {
                let (head, body) = request.into_parts();
                if body.collect().await.is_err() {
                    return Err("half a request");
                }
                let id = head.headers.get("Req-Id").and_then(|id| id.to_str().ok());
                let id = id.and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or_default();
                let now = *conduct.borrow();
                if now == Conduct::Fails {
                    let mut response = Response::new(Full::<Bytes>::from("no"));
                    *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
                    return Ok(response);
                }
                if let (Some(class), Some(node)) = (class(head.uri.path()), node) {
                    record.note(What::Came { server: number, node, id, class });
                }
                match now {
                    Conduct::Answers(after) => sleep(after).await,
                    _ => std::future::pending().await,
                }
                Ok(Response::new(Full::from("slip")))
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        }
    })
    .await;
}

/// What the list says of a server.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its zone.
    pub zone: String,
    /// Its dedup group.
    pub cell: usize,
    /// Whether it takes requests.
    pub ready: bool,
    /// When it started, Unix time in milliseconds.
    pub started_ms: u64,
}

/// The list of servers; each node is told the addresses by which it reaches them.
pub struct List {
    net: Arc<Net>,
    record: Record,
    /// Its version, and what stands in it.
    now: watch::Sender<(u64, Vec<Option<Listed>>)>,
    changing: Mutex<()>,
}

impl List {
    /// A list with these; the first version is 1.
    pub(super) fn new(net: Arc<Net>, record: Record, servers: Vec<Option<Listed>>) -> List {
        List { net, record, now: watch::Sender::new((1, servers)), changing: Mutex::new(()) }
    }

    /// Changes what it says of a server.
    pub fn change(&self, server: usize, change: impl FnOnce(&mut Option<Listed>)) {
        let _one = self.changing.lock().unwrap_or_else(PoisonError::into_inner);
        let (rev, mut servers) = self.now.borrow().clone();
        change(&mut servers[server]);
        let ready = servers[server].as_ref().is_some_and(|listed| listed.ready);
        self.record.note(What::Listed { rev: rev + 1, server, ready });
        self.now.send_replace((rev + 1, servers));
    }

    fn line(&self, node: usize) -> (u64, Bytes) {
        let (rev, servers) = self.now.borrow().clone();
        let entry = |(at, listed): (usize, &Option<Listed>)| -> Option<Value> {
            let listed = listed.as_ref()?;
            Some(json!({"uid": format!("s{at}"), "endpoint": self.net.way(node, at).to_string(),
                "az": listed.zone, "model": "std-1c", "pod_group": listed.cell,
                "state": if listed.ready { "ready" } else { "draining" }, "capacity_hint": 1.0,
                "boot_ms": listed.started_ms}))
        };
        let targets: Vec<Value> = servers.iter().enumerate().filter_map(entry).collect();
        (rev, Bytes::from(format!("{}\n", json!({"rev": rev, "all": true, "targets": targets}))))
    }

    /// Answers a node's watches: the whole list at once, at each change and now and then.
    pub(super) async fn serve(self: &Arc<List>, node: usize) {
        let list = self.clone();
        accept(self.net.list(node).0, move |stream, _| {
            let list = list.clone();
            async move {
                let service = service_fn(async |_: Request<Incoming>| {
                    let (list, changes) = (list.clone(), list.now.subscribe());
                    let lines =
                        stream::unfold((list, changes, true), move |(list, mut changes, first)| async move {
                            if !first {
                                let _ = timeout(BEAT, changes.changed()).await;
                            }
                            changes.borrow_and_update();
                            let line = list.line(node).1;
                            Some((Ok::<_, Infallible>(Frame::data(line)), (list, changes, false)))
                        });
                    Ok::<_, Infallible>(Response::new(StreamBody::new(lines)))
                });
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            }
        })
        .await;
    }
}

/// The version that a piece of the list tells, by its last line.
pub(super) fn version(piece: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(piece);
    let digits = text.rsplit_once("\"rev\":")?.1;
    digits.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}
