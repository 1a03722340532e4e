//! The operator's API over HTTP.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
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

/// Largest body accepted: a configuration of 4 MiB, with room to spare.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024 + 512 * 1024;
/// Connections served at once.
const MAX_CONNECTIONS: usize = 64;
/// How long a request's head may take, and how long a connection may rest.
const HEAD_PATIENCE: Duration = Duration::from_secs(20);
/// How long a request's body may take.
const BODY_PATIENCE: Duration = Duration::from_secs(15);
/// How long an order may wait for its outcome; the caller then sends it again.
const ORDER_PATIENCE: Duration = Duration::from_secs(3);
/// When a caller is asked to come back, in seconds.
const RETRY_AFTER_S: &str = "0.3";
/// Pause after an error of the listener.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Names the version that an order builds on.
const BASE_VERSION: &str = "x-dunelink-base-version";
const JSON: HeaderValue = HeaderValue::from_static("application/json");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

type Answer = Response<Full<Bytes>>;

/// Serves the operator's API, for ever.
pub async fn serve(listener: TcpListener, engine: Engine) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= MAX_CONNECTIONS {
            continue;
        }
        let (open, engine) = (open.clone(), engine.clone());
        open.set(open.get() + 1);
        spawn_local(async move {
            connection(socket, engine).await;
            open.set(open.get() - 1);
        });
    }
}

async fn connection(socket: TcpStream, engine: Engine) {
    // Without the option answers are only slower.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request| {
        let engine = engine.clone();
        async move { Ok::<_, Infallible>(answer(request, &engine).await) }
    });
    let mut server = hyper::server::conn::http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(HEAD_PATIENCE).title_case_headers(true);
    // A connection that fails is the caller's to open again.
    let _ = server.serve_connection(TokioIo::new(socket), service).await;
}

async fn answer(request: Request<Incoming>, engine: &Engine) -> Answer {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/api/Config.Replace") => replace(request, engine, &path).await,
        (&Method::GET, "/api/Config.Read") => {
            reply(engine.inspect(|node, now| node.read_configuration(now)), &path)
        }
        (&Method::GET, "/api/ready") => ready(engine),
        (&Method::GET, "/api/status") => with_body(StatusCode::OK, JSON, status::page(engine).into()),
        (&Method::GET, "/api/history") => with_body(StatusCode::OK, JSON, status::history(engine).into()),
        (_, "/api/Config.Replace" | "/api/Config.Read" | "/api/ready" | "/api/status" | "/api/history") => {
            plain(StatusCode::METHOD_NOT_ALLOWED, "this path takes another method\n")
        }
        _ => plain(StatusCode::NOT_FOUND, "unknown path\n"),
    }
}

async fn replace(request: Request<Incoming>, engine: &Engine, path: &str) -> Answer {
    let base = request.headers().get(BASE_VERSION).and_then(|value| value.to_str().ok());
    let base: Option<u64> = base.and_then(|text| text.trim().parse().ok());
    // The body is read also where another machine decides: an early answer might be lost with the connection.
    let body = match body(request).await {
        Ok(body) => body,
        Err(refusal) => return *refusal,
    };
    let bytes = body.len();
    let decides_here = engine.inspect(|node, now| node.holds_lease(now));
    let checked =
        if decides_here { CheckedBody::check_off_thread(body).await } else { CheckedBody::unchecked(body) };
    let outcome = engine
        .call(ORDER_PATIENCE, |node, now, call, effects| {
            node.replace_configuration(now, call, base, checked, effects)
        })
        .await;
    let outcome = outcome.unwrap_or(Reply::Unavailable("no outcome in time: send it again"));
    info!(engine.log(), "order"; "base" => base.unwrap_or_default(), "bytes" => bytes, "outcome" => name(&outcome));
    reply(outcome, path)
}

async fn body(request: Request<Incoming>) -> Result<Bytes, Box<Answer>> {
    let limited = Limited::new(request.into_body(), MAX_BODY_BYTES);
    match timeout(BODY_PATIENCE, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let text = format!("a configuration is at most {MAX_BODY_BYTES} bytes: make it smaller\n");
            Err(Box::new(plain(StatusCode::PAYLOAD_TOO_LARGE, text)))
        }
        Ok(Err(_)) | Err(_) => Err(Box::new(unavailable("the body did not come whole: send it again\n"))),
    }
}

fn reply(reply: Reply, path: &str) -> Answer {
    match reply {
        Reply::Accepted => with_body(StatusCode::OK, JSON, Bytes::from_static(b"{}")),
        Reply::Conflict { current } => {
            plain(StatusCode::PRECONDITION_FAILED, format!("version {current} is current: build on that\n"))
        }
        Reply::Invalid(reason) => plain(StatusCode::BAD_REQUEST, format!("{reason}\n")),
        Reply::Redirect(leader) => redirect(leader, path),
        Reply::Unavailable(reason) => unavailable(&format!("{reason}\n")),
        Reply::Configuration(body) => with_body(StatusCode::OK, JSON, body),
        Reply::NoConfiguration => plain(StatusCode::NOT_FOUND, "there is no configuration yet\n"),
    }
}

fn name(reply: &Reply) -> &'static str {
    match reply {
        Reply::Accepted => "taken",
        Reply::Conflict { .. } => "conflict",
        Reply::Invalid(_) => "invalid",
        Reply::Redirect(_) => "elsewhere",
        Reply::Unavailable(_) => "unavailable",
        Reply::Configuration(_) | Reply::NoConfiguration => "read",
    }
}

fn ready(engine: &Engine) -> Answer {
    if engine.inspect(|node, now| node.is_ready(now)) {
        return plain(StatusCode::OK, "ready\n");
    }
    unavailable("no leader is heard\n")
}

fn redirect(leader: SocketAddr, path: &str) -> Answer {
    let mut answer = plain(StatusCode::TEMPORARY_REDIRECT, "the leader answers this\n");
    if let Ok(location) = HeaderValue::from_str(&format!("http://{leader}{path}")) {
        answer.headers_mut().insert(LOCATION, location);
    }
    answer
}

fn unavailable(reason: &str) -> Answer {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, reason.to_owned());
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    answer
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    with_body(status, TEXT, text.into())
}

fn with_body(status: StatusCode, kind: HeaderValue, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}
