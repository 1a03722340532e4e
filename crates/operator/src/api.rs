//! Calls of the operator's HTTP interface.

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

/// Silence after which another machine is asked.
const PATIENCE: Duration = Duration::from_secs(2);
/// The same for a body of a megabyte or more.
const PATIENCE_LARGE: Duration = Duration::from_secs(6);
/// The least size of a large body, in bytes.
const LARGE_BYTES: usize = 1_000_000;
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Redirects that one try follows.
const MAX_REDIRECTS: usize = 2;
/// The first pause before another machine is asked, doubled each time.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// The longest of these pauses.
const LAST_BACKOFF: Duration = Duration::from_millis(500);
/// How long a call goes on without a clear answer.
const CALL_PATIENCE: Duration = Duration::from_secs(15);
/// Names the version that a configuration is built on.
const BASE_VERSION: &str = "x-dunelink-base-version";

/// What is asked of a control machine.
#[derive(Debug, Clone)]
pub struct Call {
    /// Path of the interface.
    pub path: &'static str,
    /// A configuration to put in force and the version that it is built on; a read if there is none.
    pub replace: Option<(u64, Bytes)>,
}

/// An answer with a status, and who gave it.
#[derive(Debug, Clone)]
pub struct Response {
    /// The machine.
    pub machine: SocketAddr,
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
    location: Option<SocketAddr>,
}

impl Response {
    /// The body as text, without white space around it.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim().to_owned()
    }

    fn is_clear(&self) -> bool {
        let status = self.status;
        status.is_success()
            || (status.is_client_error()
                && status != StatusCode::REQUEST_TIMEOUT
                && status != StatusCode::TOO_MANY_REQUESTS)
    }
}

impl Call {
    /// Reads a path.
    pub fn read(path: &'static str) -> Self {
        Self { path, replace: None }
    }

    /// Puts a configuration in force.
    pub fn replace(base: u64, body: Bytes) -> Self {
        Self { path: "/api/Config.Replace", replace: Some((base, body)) }
    }

    fn patience(&self) -> Duration {
        let bytes = self.replace.as_ref().map_or(0, |(_, body)| body.len());
        if bytes < LARGE_BYTES { PATIENCE } else { PATIENCE_LARGE }
    }

    fn request(&self, to: SocketAddr) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let request = Request::builder().uri(self.path).header(HOST, to.to_string());
        match &self.replace {
            None => request.method(Method::GET).body(Full::default()),
            Some((base, body)) => request
                .method(Method::POST)
                .header(BASE_VERSION, base.to_string())
                .header(CONTENT_TYPE, "application/json")
                .body(Full::new(body.clone())),
        }
    }
}

/// Asks one machine once, and follows no redirect.
///
/// # Errors
///
/// A text that says why there is no answer.
pub async fn send_once(to: SocketAddr, call: &Call) -> Result<Response, String> {
    match timeout(call.patience(), exchange(to, call)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(reason)) => Err(reason.to_string()),
        Err(_) => Err(format!("silent for {} s", call.patience().as_secs())),
    }
}

type Failure = Box<dyn std::error::Error + Send + Sync>;

async fn exchange(to: SocketAddr, call: &Call) -> Result<Response, Failure> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let answering = async {
        let answer = sender.send_request(call.request(to)?).await?;
        let status = answer.status();
        let location = answer.headers().get(LOCATION).and_then(|value| value.to_str().ok());
        let location = location.and_then(address_of);
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await?.to_bytes();
        Ok(Response { machine: to, status, body, location })
    };
    tokio::pin!(answering);
    tokio::select! {
        answer = &mut answering => answer,
        // The connection ends when the answer is read, or fails before it.
        ended = connection => match ended {
            Ok(()) => answering.await,
            Err(error) => Err(error.into()),
        },
    }
}

fn address_of(location: &str) -> Option<SocketAddr> {
    let rest = location.strip_prefix("http://")?;
    rest.split('/').next()?.parse().ok()
}

/// Asks one machine and follows its redirects.
async fn follow(to: SocketAddr, call: &Call) -> Result<Response, String> {
    let mut answer = send_once(to, call).await?;
    for _ in 0..MAX_REDIRECTS {
        let redirects = answer.status == StatusCode::TEMPORARY_REDIRECT;
        let Some(next) = answer.location.filter(|_| redirects) else { break };
        answer = send_once(next, call).await.map_err(|reason| format!("sent on to {next}: {reason}"))?;
    }
    Ok(answer)
}

/// Asks one machine after the other until one gives a clear answer, the same call each time: a configuration that was
/// taken and whose answer was lost is acknowledged again.
///
/// # Errors
///
/// [`OperatorError::NoControlAddress`] without an address, [`OperatorError::NoResponse`] after 15 s.
pub async fn send_to_any(machines: &[SocketAddr], call: &Call) -> Result<Response, OperatorError> {
    let began = Instant::now();
    let mut backoff = FIRST_BACKOFF;
    let mut failures = vec![String::new(); machines.len()];
    loop {
        for (machine, failure) in machines.iter().zip(&mut failures) {
            match follow(*machine, call).await {
                Ok(answer) if answer.is_clear() => return Ok(answer),
                Ok(answer) => *failure = format!("{machine}: {} {}", answer.status.as_u16(), answer.text()),
                Err(reason) => *failure = format!("{machine}: {reason}"),
            }
        }
        if machines.is_empty() {
            return Err(OperatorError::NoControlAddress);
        }
        if began.elapsed() + backoff > CALL_PATIENCE {
            return Err(OperatorError::NoResponse { tried: failures.join("; ") });
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(LAST_BACKOFF);
    }
}
