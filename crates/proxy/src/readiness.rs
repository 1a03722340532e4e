//! Answers the platform's readiness checks, which decide whether it sends clients to this node.

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

use crate::node::Node;

/// Path of the readiness check.
const READINESS_PATH: &str = "/api/ready";
/// Timeout for reading the head of a check, also on an idle connection.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answers readiness checks for as long as the future is polled.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(node.clone(), stream));
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
    builder.timer(TokioTimer::new()).header_read_timeout(HEADER_READ_TIMEOUT).auto_date_header(false);
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
