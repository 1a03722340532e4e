//! The platform's check: whether it may send clients.

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

/// Where the platform asks.
const READINESS_PATH: &str = "/api/ready";
/// How long a check may rest or take.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after the system refused a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answers checks for as long as it is polled.
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
    // The platform asks again.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

fn status(node: &Node, path: &str) -> StatusCode {
    match path {
        READINESS_PATH if node.is_ready() => StatusCode::OK,
        READINESS_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    }
}
