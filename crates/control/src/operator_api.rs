//! The operator's API over HTTP.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dunelink_runtime::{ListenLimits, MemoryBudget};
use dunelink_settings::MachineLimits;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue, LOCATION, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::info;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::change_queue::Reply;
use crate::configuration_check::CheckedBody;
use crate::engine::Engine;
use crate::status;

/// Largest body of a request: a configuration of 4 MiB and some room.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024 + 512 * 1024;
/// Most connections open at a time.
const MAX_CONNECTIONS: usize = 64;
/// Limits of the listening socket. A configuration arrives over a long distance within few round trips.
pub const LISTEN_LIMITS: ListenLimits =
    ListenLimits { max_pending: MAX_CONNECTIONS, receive_buffer_bytes: Some(256 * 1024) };
/// Largest read buffer of a connection; it also limits the head of a request.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;
/// Share of the process's memory for the bodies of all requests that are being received: more than eight
/// configurations of the greatest length.
const BODIES_FRACTION: f64 = 0.2;
/// Time within which the head of a request must arrive; it also bounds how long a connection may be idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time within which a change must be decided; after that, the caller is asked to send it again.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Value of `Retry-After` in seconds.
const RETRY_AFTER_S: &str = "0.3";
/// Pause after an error of the listener, such as too many open files.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Request header with the version that a configuration replaces.
const BASE_VERSION_HEADER: &str = "x-dunelink-base-version";
const JSON: HeaderValue = HeaderValue::from_static("application/json");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

type HttpResponse = Response<Full<Bytes>>;

/// Returns the memory for the bodies of requests, on a machine with these limits.
pub fn body_budget(limits: &MachineLimits) -> MemoryBudget {
    MemoryBudget::new(limits.memory_share_bytes(BODIES_FRACTION))
}

/// Serves the operator's API, forever. The bodies of requests that are being received share `bodies`.
pub async fn serve(listener: TcpListener, engine: Engine, bodies: MemoryBudget) {
    let open_connections = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        if open_connections.get() >= MAX_CONNECTIONS {
            continue;
        }
        let (open_connections, engine, bodies) = (open_connections.clone(), engine.clone(), bodies.clone());
        open_connections.set(open_connections.get() + 1);
        spawn_local(async move {
            serve_connection(socket, engine, bodies).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

async fn serve_connection(socket: TcpStream, engine: Engine, bodies: MemoryBudget) {
    // Without the option, responses are only slower.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request| {
        let (engine, bodies) = (engine.clone(), bodies.clone());
        async move { Ok::<_, Infallible>(handle_request(request, &engine, &bodies).await) }
    });
    let mut server = hyper::server::conn::http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .title_case_headers(true);
    // After a failure, the caller opens a new connection.
    let _ = server.serve_connection(TokioIo::new(socket), service).await;
}

async fn handle_request(request: Request<Incoming>, engine: &Engine, bodies: &MemoryBudget) -> HttpResponse {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/api/Config.Replace") => replace_configuration(request, engine, bodies, &path).await,
        (&Method::GET, "/api/Config.Read") => {
            reply_response(engine.inspect(|node, now| node.read_configuration(now)), &path)
        }
        (&Method::GET, "/api/ready") => readiness(engine),
        (&Method::GET, "/api/status") => response(StatusCode::OK, JSON, status::page(engine).into()),
        (&Method::GET, "/api/history") => response(StatusCode::OK, JSON, status::history(engine).into()),
        (_, "/api/Config.Replace" | "/api/Config.Read" | "/api/ready" | "/api/status" | "/api/history") => {
            text_response(StatusCode::METHOD_NOT_ALLOWED, "this path takes another method\n")
        }
        _ => text_response(StatusCode::NOT_FOUND, "unknown path\n"),
    }
}

async fn replace_configuration(
    request: Request<Incoming>,
    engine: &Engine,
    bodies: &MemoryBudget,
    path: &str,
) -> HttpResponse {
    let base = request.headers().get(BASE_VERSION_HEADER).and_then(|value| value.to_str().ok());
    let base: Option<u64> = base.and_then(|text| text.trim().parse().ok());
    // The body is read even if another machine decides: an early response could be lost when the connection
    // closes.
    let body = match timeout(BODY_TIMEOUT, read_body(request.into_body(), bodies)).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return error.response(),
        Err(_) => return BodyError::Incomplete.response(),
    };
    let bytes = body.len();
    let holds_lease = engine.inspect(|node, now| node.holds_lease(now));
    let checked =
        if holds_lease { CheckedBody::check_off_thread(body).await } else { CheckedBody::unchecked(body) };
    let outcome = engine
        .call(CHANGE_TIMEOUT, |node, now, call, effects| {
            node.replace_configuration(now, call, base, checked, effects)
        })
        .await;
    let outcome = outcome.unwrap_or(Reply::Unavailable("no outcome in time: send it again"));
    info!(engine.log(), "configuration change";
        "base" => base.unwrap_or_default(), "bytes" => bytes, "outcome" => outcome_name(&outcome));
    reply_response(outcome, path)
}

/// Why the body of a request was not received.
enum BodyError {
    TooLong,
    /// It ended early, or did not arrive in time.
    Incomplete,
    /// The bodies of other requests take up the memory for them.
    NoMemory,
}

impl BodyError {
    fn response(&self) -> HttpResponse {
        match self {
            Self::TooLong => {
                let text = format!("a configuration is at most {MAX_BODY_BYTES} bytes: make it smaller\n");
                text_response(StatusCode::PAYLOAD_TOO_LARGE, text)
            }
            Self::Incomplete => unavailable_response("the body did not come whole: send it again\n"),
            Self::NoMemory => unavailable_response("too many requests at the same time: send it again\n"),
        }
    }
}

/// Receives a body. If there is no memory for it, its rest is received and discarded.
async fn read_body(mut incoming: Incoming, bodies: &MemoryBudget) -> Result<Bytes, BodyError> {
    let mut received_bytes = 0;
    let mut data = Vec::new();
    let mut reservation = bodies.try_reserve(0, bodies.limit());
    while let Some(frame) = incoming.frame().await {
        let piece = frame.map_err(|_| BodyError::Incomplete)?.into_data().unwrap_or_default();
        received_bytes += piece.len();
        if received_bytes > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        reservation = reservation
            .and_then(|mut reserved| reserved.try_grow(piece.len(), bodies.limit()).then_some(reserved));
        match reservation {
            Some(_) => data.extend_from_slice(&piece),
            None => data = Vec::new(),
        }
    }
    let reservation = reservation.ok_or(BodyError::NoMemory)?;
    data.shrink_to_fit();
    Ok(reservation.attach(data))
}

fn reply_response(reply: Reply, path: &str) -> HttpResponse {
    match reply {
        Reply::Accepted => response(StatusCode::OK, JSON, Bytes::from_static(b"{}")),
        Reply::Conflict { current } => text_response(
            StatusCode::PRECONDITION_FAILED,
            format!("version {current} is current: build on that\n"),
        ),
        Reply::Invalid(reason) => text_response(StatusCode::BAD_REQUEST, format!("{reason}\n")),
        Reply::Redirect(leader) => redirect_response(leader, path),
        Reply::Unavailable(reason) => unavailable_response(&format!("{reason}\n")),
        Reply::Configuration(body) => response(StatusCode::OK, JSON, body),
        Reply::NoConfiguration => text_response(StatusCode::NOT_FOUND, "there is no configuration yet\n"),
    }
}

fn outcome_name(reply: &Reply) -> &'static str {
    match reply {
        Reply::Accepted => "taken",
        Reply::Conflict { .. } => "conflict",
        Reply::Invalid(_) => "invalid",
        Reply::Redirect(_) => "elsewhere",
        Reply::Unavailable(_) => "unavailable",
        Reply::Configuration(_) | Reply::NoConfiguration => "read",
    }
}

fn readiness(engine: &Engine) -> HttpResponse {
    if engine.inspect(|node, now| node.is_ready(now)) {
        return text_response(StatusCode::OK, "ready\n");
    }
    unavailable_response("no leader is heard\n")
}

fn redirect_response(leader: SocketAddr, path: &str) -> HttpResponse {
    let mut response = text_response(StatusCode::TEMPORARY_REDIRECT, "the leader answers this\n");
    if let Ok(location) = HeaderValue::from_str(&format!("http://{leader}{path}")) {
        response.headers_mut().insert(LOCATION, location);
    }
    response
}

fn unavailable_response(reason: &str) -> HttpResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, reason.to_owned());
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    response
}

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    response(status, TEXT, text.into())
}

fn response(status: StatusCode, content_type: HeaderValue, body: Bytes) -> HttpResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
