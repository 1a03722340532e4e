//! The admin endpoint for operators: whether this process can serve, its statistics, and changes of the
//! fleet. It has a thread of its own, so that it answers while the engine or the threads that serve clients
//! are busy, and an address of its own, so that a large number of clients can't block it.

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

use crate::listen::ACCEPT_RETRY_DELAY;
use crate::{fleet, gossip};

/// Paths that are read, and paths that change something.
const READ_PATHS: [&str; 5] =
    ["/admin/health", "/admin/stats", "/admin/members", "/admin/suspicions", "/admin/fleet"];
const EVICT_PATH: &str = "/admin/fleet/evict";
const CHANGE_PATHS: [&str; 2] = [EVICT_PATH, "/admin/fleet/restore"];
/// Maximum number of connections. Beyond that, the one that has been open for longest without a request is
/// closed.
const MAX_CONNECTIONS: usize = 16;
/// File descriptors that the endpoint takes: for its connections, its listener and its runtime.
pub(crate) const DESCRIPTORS: usize = MAX_CONNECTIONS + 4;
/// How long a request may take to arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client may take in addition to read its answer.
const ANSWER_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an answer of the engine is waited for; after that, its last values are used.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a connection's buffer.
const MAX_BUFFER_BYTES: usize = 8 * 1024;

/// A connection, closed when dropped.
struct AdminConnection {
    /// Whether its request has arrived.
    request_received: Rc<Cell<bool>>,
    task: AbortOnDropHandle<()>,
}

/// What the endpoint reports.
pub(crate) struct AdminEndpoint {
    node: Handle,
    /// Whether this process takes requests; set by the tasks that accept them.
    serving: Arc<AtomicBool>,
    /// Numbers of listed and of ejected servers, as the engine last reported them.
    last_server_counts: Cell<(usize, usize)>,
}

impl AdminEndpoint {
    pub(crate) fn new(node: Handle, serving: Arc<AtomicBool>) -> AdminEndpoint {
        AdminEndpoint { node, serving, last_server_counts: Cell::default() }
    }

    /// Starts it on a thread of its own, which ends with the process; returns the address that it listens on.
    pub(crate) fn start(self, address: SocketAddr) -> anyhow::Result<SocketAddr> {
        let listener =
            TcpListener::bind(address).with_context(|| format!("control: can't listen on {address}"))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new().name("door".into()).spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                match tokio::net::TcpListener::from_std(listener) {
                    Ok(listener) => Rc::new(self).accept(listener).await,
                    Err(error) => tracing::error!(target: "node", "control: {error}"),
                }
            });
        })?;
        Ok(address)
    }

    async fn accept(self: Rc<Self>, listener: tokio::net::TcpListener) {
        let mut connections: VecDeque<AdminConnection> = VecDeque::new();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(_) => {
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            connections.retain(|connection| !connection.task.is_finished());
            if connections.len() >= MAX_CONNECTIONS {
                // A client that means to send a request has sent it long before so many others connect.
                let silent =
                    connections.iter().position(|connection| !connection.request_received.get()).unwrap_or(0);
                connections.remove(silent);
            }
            let request_received = Rc::new(Cell::new(false));
            let (endpoint, received_flag) = (self.clone(), request_received.clone());
            let task = tokio::task::spawn_local(async move {
                let _ =
                    timeout(REQUEST_TIMEOUT + ANSWER_READ_TIMEOUT, endpoint.serve(stream, &received_flag))
                        .await;
            });
            connections.push_back(AdminConnection { request_received, task: AbortOnDropHandle::new(task) });
        }
    }

    async fn serve(&self, stream: TcpStream, request_received: &Cell<bool>) {
        let service = service_fn(async |request| {
            request_received.set(true);
            Ok::<_, Infallible>(self.respond(&request).await)
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(REQUEST_TIMEOUT).max_buf_size(MAX_BUFFER_BYTES);
        // Errors concern only the client.
        let _ = builder.keep_alive(false).serve_connection(TokioIo::new(stream), service).await;
    }

    async fn respond(&self, request: &Request<Incoming>) -> Response<AnswerBody> {
        let path = request.uri().path();
        let is_change = CHANGE_PATHS.contains(&path);
        if !is_change && !READ_PATHS.contains(&path) {
            return plain(StatusCode::NOT_FOUND, "no such call\n");
        }
        let (allowed, allow) = match is_change {
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
            path if is_change => self.change_membership(path, query).await,
            "/admin/health" if self.serving.load(Ordering::Acquire) && !self.node.is_withdrawn() => {
                plain(StatusCode::OK, "serving\n")
            }
            "/admin/health" => plain(StatusCode::SERVICE_UNAVAILABLE, "not serving\n"),
            "/admin/stats" => plain(StatusCode::OK, self.stats().await),
            path => match timeout(ENGINE_TIMEOUT, self.node.gossip()).await.ok().flatten() {
                None => plain(StatusCode::NOT_FOUND, "this node does not gossip\n"),
                Some(view) if path == "/admin/fleet" => match view.fleet {
                    // Numbers and strings can always be serialized.
                    Some(view) if query == "json" => {
                        plain(StatusCode::OK, serde_json::to_string(&view).unwrap_or_default() + "\n")
                    }
                    Some(view) => plain(StatusCode::OK, fleet::text(&view)),
                    None => plain(StatusCode::NOT_FOUND, "this node's configuration names no electors\n"),
                },
                Some(view) if path == "/admin/members" => plain(StatusCode::OK, gossip::members(&view)),
                Some(view) => {
                    let snapshot = timeout(ENGINE_TIMEOUT, self.node.snapshot()).await;
                    let snapshot = snapshot.ok().and_then(Result::ok).unwrap_or_default();
                    plain(StatusCode::OK, gossip::suspicions(&view, &snapshot))
                }
            },
        }
    }

    /// Requests the eviction of a node from the fleet, or its restoration.
    async fn change_membership(&self, path: &str, query: &str) -> Response<AnswerBody> {
        let (mut name, mut seconds, mut reason) = (String::new(), None, String::new());
        for (key, value) in url::form_urlencoded::parse(query.as_bytes()) {
            match &*key {
                "name" => name = value.into_owned(),
                "seconds" => seconds = value.parse().ok(),
                "reason" => reason = value.into_owned(),
                _ => return plain(StatusCode::BAD_REQUEST, "expected name, seconds and reason\n"),
            }
        }
        let eviction = match (path == EVICT_PATH, seconds) {
            (false, _) => None,
            (true, Some(seconds)) => Some((seconds, reason)),
            (true, None) => return plain(StatusCode::BAD_REQUEST, "seconds: expected a number\n"),
        };
        match timeout(ENGINE_TIMEOUT, self.node.evict_or_restore(&name, eviction)).await {
            Ok(Ok(())) => plain(StatusCode::ACCEPTED, "it will be decided\n"),
            Ok(Err(error)) => plain(StatusCode::CONFLICT, format!("{error}\n")),
            Err(_) => plain(StatusCode::SERVICE_UNAVAILABLE, "the node is busy; ask again\n"),
        }
    }

    /// Counters are read directly; what only the engine knows is requested from it, with a timeout.
    async fn stats(&self) -> String {
        if let Ok(Ok(current)) = timeout(ENGINE_TIMEOUT, self.node.snapshot()).await {
            self.last_server_counts.set((current.listed, current.ejected));
        }
        let (listed, ejected) = self.last_server_counts.get();
        let mut text = String::new();
        // Writing to a string can't fail.
        for (class, counts) in self.node.class_counts() {
            // The name of a class may contain the sign that ends a key.
            let class = class.replace('%', "%25").replace('=', "%3D");
            let _ = writeln!(text, "results.{class}.succeeded={}", counts.served);
            let _ = writeln!(text, "results.{class}.declined={}", counts.refused);
            let _ = writeln!(text, "results.{class}.aborted={}", counts.failed);
        }
        let _ = writeln!(text, "forwards={}", self.node.attempts());
        let _ = writeln!(text, "outstanding={}", self.node.outstanding());
        let _ = writeln!(text, "discovered={listed}\nejected={ejected}");
        text
    }
}
