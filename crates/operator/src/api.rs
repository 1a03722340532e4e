//! Calls to the operator HTTP interface of the control machines.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, LOCATION};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::error::OperatorError;

/// Timeout of one request; after it, the next machine is tried.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of one request whose body has at least [`LARGE_BODY_BYTES`].
const LARGE_BODY_TIMEOUT: Duration = Duration::from_secs(6);
/// Size from which a request body counts as large.
const LARGE_BODY_BYTES: usize = 1_000_000;
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of redirects that one attempt follows.
const MAX_REDIRECTS: usize = 2;
/// Pause after the first round over all machines; doubles after each further round.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum pause between two rounds.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Time after which a call without a definite response fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Header with the version that a new configuration is based on.
const BASE_VERSION_HEADER: &str = "x-dunelink-base-version";

/// A call to a control machine.
#[derive(Debug, Clone)]
pub struct Call {
    /// Path of the request.
    pub path: &'static str,
    /// The base version and the JSON of a configuration to apply; `None` for a read.
    pub replace: Option<(u64, Bytes)>,
}

/// An HTTP response and the machine that sent it.
#[derive(Debug, Clone)]
pub struct Response {
    /// Control address of the machine that sent it.
    pub machine: SocketAddr,
    /// HTTP status.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
    location: Option<SocketAddr>,
}

impl Response {
    /// The body as text, without surrounding white space.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim().to_owned()
    }

    fn is_definite(&self) -> bool {
        let status = self.status;
        status.is_success()
            || (status.is_client_error()
                && status != StatusCode::REQUEST_TIMEOUT
                && status != StatusCode::TOO_MANY_REQUESTS)
    }
}

impl Call {
    /// A read of `path`.
    pub fn read(path: &'static str) -> Self {
        Self { path, replace: None }
    }

    /// Applies a configuration on top of version `base`.
    pub fn replace(base: u64, body: Bytes) -> Self {
        Self { path: "/api/Config.Replace", replace: Some((base, body)) }
    }

    fn timeout(&self) -> Duration {
        let bytes = self.replace.as_ref().map_or(0, |(_, body)| body.len());
        if bytes < LARGE_BODY_BYTES { REQUEST_TIMEOUT } else { LARGE_BODY_TIMEOUT }
    }

    fn request(&self, machine: SocketAddr) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let request = Request::builder().uri(self.path).header(HOST, machine.to_string());
        match &self.replace {
            None => request.method(Method::GET).body(Full::default()),
            Some((base, body)) => request
                .method(Method::POST)
                .header(BASE_VERSION_HEADER, base.to_string())
                .header(CONTENT_TYPE, "application/json")
                .body(Full::new(body.clone())),
        }
    }
}

/// Sends one request to one machine without following redirects.
///
/// # Errors
///
/// The reason why there is no response, as text.
pub async fn send_once(machine: SocketAddr, call: &Call) -> Result<Response, String> {
    match timeout(call.timeout(), exchange(machine, call)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(reason)) => Err(reason.to_string()),
        Err(_) => Err(format!("no response within {} s", call.timeout().as_secs())),
    }
}

type Failure = Box<dyn std::error::Error + Send + Sync>;

async fn exchange(machine: SocketAddr, call: &Call) -> Result<Response, Failure> {
    let stream = TcpStream::connect(machine).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let response_future = async {
        let response = sender.send_request(call.request(machine)?).await?;
        let status = response.status();
        let location = response.headers().get(LOCATION).and_then(|value| value.to_str().ok());
        let location = location.and_then(redirect_address);
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await?.to_bytes();
        Ok(Response { machine, status, body, location })
    };
    tokio::pin!(response_future);
    tokio::select! {
        response = &mut response_future => response,
        // The connection ends once the response is read, or fails earlier.
        result = connection => match result {
            Ok(()) => response_future.await,
            Err(error) => Err(error.into()),
        },
    }
}

fn redirect_address(location: &str) -> Option<SocketAddr> {
    let rest = location.strip_prefix("http://")?;
    rest.split('/').next()?.parse().ok()
}

/// Sends a request to one machine and follows its redirects.
async fn send_following_redirects(machine: SocketAddr, call: &Call) -> Result<Response, String> {
    let mut response = send_once(machine, call).await?;
    for _ in 0..MAX_REDIRECTS {
        let is_redirect = response.status == StatusCode::TEMPORARY_REDIRECT;
        let Some(next) = response.location.filter(|_| is_redirect) else { break };
        response = send_once(next, call).await.map_err(|reason| format!("redirected to {next}: {reason}"))?;
    }
    Ok(response)
}

/// Sends the same call to one machine after the other until one responds definitely. A retry is idempotent: a
/// configuration that was applied and whose response was lost is acknowledged again.
///
/// # Errors
///
/// [`OperatorError::NoControlAddress`] without an address, [`OperatorError::NoResponse`] after 15 s.
pub async fn send_to_any(machines: &[SocketAddr], call: &Call) -> Result<Response, OperatorError> {
    let started_at = Instant::now();
    let mut backoff = INITIAL_BACKOFF;
    let mut failures = vec![String::new(); machines.len()];
    loop {
        for (machine, failure) in machines.iter().zip(&mut failures) {
            match send_following_redirects(*machine, call).await {
                Ok(response) if response.is_definite() => return Ok(response),
                Ok(response) => {
                    *failure = format!("{machine}: {} {}", response.status.as_u16(), response.text())
                }
                Err(reason) => *failure = format!("{machine}: {reason}"),
            }
        }
        if machines.is_empty() {
            return Err(OperatorError::NoControlAddress);
        }
        if started_at.elapsed() + backoff > CALL_TIMEOUT {
            return Err(OperatorError::NoResponse { tried: failures.join("; ") });
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
