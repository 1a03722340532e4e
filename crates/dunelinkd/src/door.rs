//! The operators' door: whether this process can serve, and its figures. It has a thread of its own, so that it
//! answers while the engine or the clients' side is busy, and an address of its own, so that no crowd of clients is in
//! its way.

use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::Context;
use dunelink::http::plain;
use dunelink::{AnswerBody, Handle};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::listen::NO_SOCKETS;
use crate::{fleet, gossip};

/// What can be looked at, and what is changed.
const LOOKS: [&str; 5] =
    ["/admin/health", "/admin/stats", "/admin/members", "/admin/suspicions", "/admin/fleet"];
const EVICT: &str = "/admin/fleet/evict";
const CHANGES: [&str; 2] = [EVICT, "/admin/fleet/restore"];
/// Callers at once. Beyond that the one that has been silent for longest makes room.
const CALLERS: usize = 16;
/// What the door takes of the process's descriptors: callers, its listener, and its runtime's.
pub(crate) const DESCRIPTORS: usize = CALLERS + 4;
/// How long a call may take to come.
const CALL_WITHIN: Duration = Duration::from_secs(2);
/// How long a caller may take to read its answer, on top.
const READ_WITHIN: Duration = Duration::from_secs(2);
/// How long the engine is waited for; then what it last told counts.
const LOOK_WITHIN: Duration = Duration::from_millis(300);
/// What a call may buffer.
const BUFFER_MOST: usize = 8 * 1024;

/// A caller, cut off when dropped.
struct Caller {
    /// Whether its call has come.
    heard: Rc<Cell<bool>>,
    task: AbortOnDropHandle<()>,
}

/// What the door shows.
pub(crate) struct Door {
    node: Handle,
    /// Whether this process takes requests: told by those who do.
    serving: Arc<AtomicBool>,
    /// Servers listed and avoided, as the engine last told.
    last: Cell<(usize, usize)>,
}

impl Door {
    pub(crate) fn new(node: Handle, serving: Arc<AtomicBool>) -> Door {
        Door { node, serving, last: Cell::default() }
    }

    /// Opens it on a thread of its own, which ends with the process.
    pub(crate) fn open(self, address: SocketAddr) -> anyhow::Result<SocketAddr> {
        let listener =
            TcpListener::bind(address).with_context(|| format!("control: can't listen on {address}"))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new().name("door".into()).spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                match tokio::net::TcpListener::from_std(listener) {
                    Ok(listener) => Rc::new(self).answer(listener).await,
                    Err(error) => tracing::error!(target: "node", "control: {error}"),
                }
            });
        })?;
        Ok(address)
    }

    async fn answer(self: Rc<Self>, listener: tokio::net::TcpListener) {
        let mut callers: VecDeque<Caller> = VecDeque::new();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(_) => {
                    sleep(NO_SOCKETS).await;
                    continue;
                }
            };
            callers.retain(|caller| !caller.task.is_finished());
            if callers.len() >= CALLERS {
                // Who calls in earnest has been heard long before as many others have come.
                let silent = callers.iter().position(|caller| !caller.heard.get()).unwrap_or(0);
                callers.remove(silent);
            }
            let heard = Rc::new(Cell::new(false));
            let (door, told) = (self.clone(), heard.clone());
            let task = tokio::task::spawn_local(async move {
                let _ = timeout(CALL_WITHIN + READ_WITHIN, door.serve(stream, &told)).await;
            });
            callers.push_back(Caller { heard, task: AbortOnDropHandle::new(task) });
        }
    }

    async fn serve(&self, stream: TcpStream, heard: &Cell<bool>) {
        let service = service_fn(async |request| {
            heard.set(true);
            Ok::<_, Infallible>(self.respond(&request).await)
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(CALL_WITHIN).max_buf_size(BUFFER_MOST);
        // Its errors are the caller's.
        let _ = builder.keep_alive(false).serve_connection(TokioIo::new(stream), service).await;
    }

    async fn respond(&self, request: &Request<Incoming>) -> Response<AnswerBody> {
        let path = request.uri().path();
        let changes = CHANGES.contains(&path);
        if !changes && !LOOKS.contains(&path) {
            return plain(StatusCode::NOT_FOUND, "no such call\n");
        }
        let (allowed, allow) = match changes {
            true => (request.method() == Method::POST, "POST"),
            false => (request.method() == Method::GET || request.method() == Method::HEAD, "GET, HEAD"),
        };
        if !allowed {
            let mut response = plain(StatusCode::METHOD_NOT_ALLOWED, format!("{allow} only\n"));
            response.headers_mut().insert(header::ALLOW, header::HeaderValue::from_static(allow));
            return response;
        }
        if !request.body().is_end_stream() {
            return plain(StatusCode::BAD_REQUEST, "a call has no body\n");
        }
        let query = request.uri().query().unwrap_or_default();
        match path {
            path if changes => self.put(path, query).await,
            "/admin/health" if self.serving.load(Ordering::Acquire) && !self.node.is_withdrawn() => {
                plain(StatusCode::OK, "serving\n")
            }
            "/admin/health" => plain(StatusCode::SERVICE_UNAVAILABLE, "not serving\n"),
            "/admin/stats" => plain(StatusCode::OK, self.figures().await),
            path => match timeout(LOOK_WITHIN, self.node.gossip()).await.ok().flatten() {
                None => plain(StatusCode::NOT_FOUND, "this node does not gossip\n"),
                Some(view) if path == "/admin/fleet" => match view.fleet {
                    // What is made of numbers and strings can be written.
                    Some(view) if query == "json" => {
                        plain(StatusCode::OK, serde_json::to_string(&view).unwrap_or_default() + "\n")
                    }
                    Some(view) => plain(StatusCode::OK, fleet::text(&view)),
                    None => plain(StatusCode::NOT_FOUND, "this node's configuration names no electors\n"),
                },
                Some(view) if path == "/admin/members" => plain(StatusCode::OK, gossip::members(&view)),
                Some(view) => {
                    let known = timeout(LOOK_WITHIN, self.node.snapshot()).await;
                    let known = known.ok().and_then(Result::ok).unwrap_or_default();
                    plain(StatusCode::OK, gossip::suspicions(&view, &known))
                }
            },
        }
    }

    /// Has a node put out of the fleet, or let in again.
    async fn put(&self, path: &str, query: &str) -> Response<AnswerBody> {
        let (mut name, mut seconds, mut reason) = (String::new(), None, String::new());
        for (key, value) in url::form_urlencoded::parse(query.as_bytes()) {
            match &*key {
                "name" => name = value.into_owned(),
                "seconds" => seconds = value.parse().ok(),
                "reason" => reason = value.into_owned(),
                _ => return plain(StatusCode::BAD_REQUEST, "expected name, seconds and reason\n"),
            }
        }
        let how = match (path == EVICT, seconds) {
            (false, _) => None,
            (true, Some(seconds)) => Some((seconds, reason)),
            (true, None) => return plain(StatusCode::BAD_REQUEST, "seconds: expected a number\n"),
        };
        match timeout(LOOK_WITHIN, self.node.evict_or_restore(&name, how)).await {
            Ok(Ok(())) => plain(StatusCode::ACCEPTED, "it will be decided\n"),
            Ok(Err(why)) => plain(StatusCode::CONFLICT, format!("{why}\n")),
            Err(_) => plain(StatusCode::SERVICE_UNAVAILABLE, "the node is busy; ask again\n"),
        }
    }

    /// Counts are read as they are; what only the engine knows is asked of it, but not waited for without end.
    async fn figures(&self) -> String {
        if let Ok(Ok(now)) = timeout(LOOK_WITHIN, self.node.snapshot()).await {
            self.last.set((now.listed, now.ejected));
        }
        let (listed, avoided) = self.last.get();
        let mut text = String::new();
        // Writing to a string can't fail.
        for (class, counts) in self.node.class_counts() {
            // A class may have a name with the sign that ends a figure's.
            let class = class.replace('%', "%25").replace('=', "%3D");
            let _ = writeln!(text, "results.{class}.succeeded={}", counts.served);
            let _ = writeln!(text, "results.{class}.declined={}", counts.refused);
            let _ = writeln!(text, "results.{class}.aborted={}", counts.failed);
        }
        let _ = writeln!(text, "forwards={}", self.node.attempts());
        let _ = writeln!(text, "outstanding={}", self.node.outstanding());
        let _ = writeln!(text, "discovered={listed}\nejected={avoided}");
        text
    }
}
