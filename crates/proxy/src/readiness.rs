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
const PATH: &str = "/api/ready";
/// How long a check may rest or take.
const PATIENCE: Duration = Duration::from_secs(15);
/// Pause after the system refused a connection.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);

/// Answers checks for as long as it is polled.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(answer(node.clone(), stream));
            }
            Err(_) => tokio::time::sleep(REFUSED_PAUSE).await,
        }
    }
}

async fn answer(node: Rc<Node>, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let mut response = Response::new(Empty::<Bytes>::new());
        *response.status_mut() = status(&node, request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(PATIENCE).auto_date_header(false);
    // The platform asks again.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

fn status(node: &Node, path: &str) -> StatusCode {
    match path {
        PATH if node.is_ready() => StatusCode::OK,
        PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    }
}
