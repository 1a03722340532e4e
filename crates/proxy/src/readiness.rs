//! Answers the platform's readiness checks, which decide whether it sends clients to this node.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use crate::node::Node;

/// Path of the readiness check.
const READINESS_PATH: &str = "/api/ready";
/// Timeout for reading the head of a check, also on an idle connection.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of connections. The oldest one is closed for a new one.
const MAX_CONNECTIONS: usize = 64;
/// Maximum number of connections that are not accepted yet.
pub const MAX_PENDING_CONNECTIONS: usize = 64;
/// Maximum read buffer of a connection, in bytes; it also limits the head of a check.
const MAX_READ_BUFFER_BYTES: usize = 8 * 1_024;
/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answers readiness checks for as long as the future is polled.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let mut connections = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.retain(|connection: &AbortHandle| !connection.is_finished());
                if connections.len() >= MAX_CONNECTIONS
                    && let Some(oldest) = connections.pop_front()
                {
                    oldest.abort();
                }
                let serving = tokio::task::spawn_local(serve_connection(node.clone(), stream));
                connections.push_back(serving.abort_handle());
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let mut response = Response::new(Empty::<Bytes>::new());
        *response.status_mut() = status(&node, request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .auto_date_header(false);
    // Errors are ignored: the platform repeats its checks.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

fn status(node: &Node, path: &str) -> StatusCode {
    match path {
        READINESS_PATH if node.is_ready() => StatusCode::OK,
        READINESS_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    }
}
