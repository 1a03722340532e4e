//! The platform's discovery service: the server list and the watch that keeps it current.

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use super::{Feed, Roster, RosterFuture};
use crate::server_list::Update;

/// A watch that is silent for this long is dead: discovery sends a line every 2 s. A change counts as
/// announced after at most 6 s, so a second watch must be established by then.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3200);
/// Timeout of connecting, and of the response head if an agent on this machine answers. After discovery moves
/// to another address the watch must be established within 4 s, including a second attempt.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of the response head if one service handles the requests of all nodes in turn. The service itself
/// ends a request that has waited too long; a request abandoned earlier still costs it work and loses its
/// place in the queue.
const POLL_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Successive attempts are between once and twice this delay apart, times the number of failures so far. The
/// delay is short because what an agent receives once it reaches discovery again counts as announced at once,
/// and servers may drain for only a few hundred milliseconds.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Number of failures up to which the delay grows.
const MAX_BACKOFF_FAILURES: u32 = 4;
/// Maximum length of a line, enough for a list of some thousand servers.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Watches the platform's discovery service: a chunked response that stays open and has one line per change.
/// When discovery moves to another address, the watch continues there from the version it has reached.
///
/// ```
/// use dunelink::roster::Watch;
///
/// let (watch, mover) = Watch::new(([127, 0, 0, 1], 8500).into());
/// // `watch` goes to `Builder::roster`; when discovery moves:
/// mover.move_to(([127, 0, 0, 2], 8500).into());
/// # drop(watch);
/// ```
pub struct Watch {
    address: watch::Receiver<SocketAddr>,
}

/// Redirects a [`Watch`] to another address of discovery.
#[derive(Debug)]
pub struct WatchMover(watch::Sender<SocketAddr>);

impl WatchMover {
    /// Continues the watch at this address.
    pub fn move_to(&self, address: SocketAddr) {
        self.0.send_if_modified(|at| std::mem::replace(at, address) != address);
    }
}

impl Watch {
    /// A watch of discovery at this address. It keeps running after its mover is dropped.
    pub fn new(address: SocketAddr) -> (Watch, WatchMover) {
        let (sender, address) = watch::channel(address);
        (Watch { address }, WatchMover(sender))
    }
}

impl Roster for Watch {
    fn run(self: Box<Self>, feed: Feed) -> RosterFuture {
        Box::pin(watch_forever(self.address, feed))
    }
}

/// Watches for ever, beginning with the version that the node has; when discovery moves, continues at the new
/// address from the version reached.
async fn watch_forever(mut address: watch::Receiver<SocketAddr>, mut feed: Feed) {
    let mut rev = feed.rev();
    let response_timeout = if feed.is_polled() { POLL_RESPONSE_TIMEOUT } else { RESPONSE_TIMEOUT };
    let mut failures = 0;
    let mut moved = false;
    loop {
        if !moved {
            feed.poll_due().await;
        }
        let at = *address.borrow_and_update();
        let on_update = |update: Update| {
            failures = 0;
            feed.update(&update);
        };
        let started = Instant::now();
        let error = tokio::select! {
            biased;
            // The old address accepts no new watch and ends the current one.
            true = address_changed(&mut address) => {
                moved = true;
                failures = 0;
                continue;
            }
            Err(error) = watch_at(at, response_timeout, &mut rev, on_update) => error,
        };
        moved = false;
        failures += 1;
        // Only the first failure is logged: further attempts of a long outage add no information.
        if failures == 1 {
            feed.log(format_args!("discovery: {error}; watching again from version {rev}"));
        }
        feed.failed();
        if !feed.is_polled() {
            let backoff = RETRY_DELAY * failures.min(MAX_BACKOFF_FAILURES);
            // The delay counts from the start of the attempt: an attempt that ended by a timeout is repeated
            // at once, as changes are missed while no request is open.
            let next = started + backoff + backoff.mul_f64(feed.random());
            // A move to another address must not wait for the backoff of the old one.
            let _ = timeout_at(next, address_changed(&mut address)).await;
        }
    }
}

/// Waits until discovery has moved; for ever if the mover is gone.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) -> bool {
    match address.changed().await {
        Ok(()) => true,
        Err(_) => std::future::pending().await,
    }
}

/// Runs one watch until it fails.
async fn watch_at(
    address: SocketAddr,
    response_timeout: Duration,
    rev: &mut u64,
    mut on_update: impl FnMut(Update),
) -> Result<Infallible, Box<dyn Error>> {
    let stream = timeout(RESPONSE_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| "the connection timed out")??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let _connection = AbortOnDropHandle::new(tokio::task::spawn_local(connection));
    let request = Request::get(format!("/catalog/members?watch=1&from={rev}"))
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let answer = timeout(response_timeout, sender.send_request(request)).await;
    let response = answer.map_err(|_| "the response timed out")??;
    if response.status() != StatusCode::OK {
        return Err(format!("unexpected status {}", response.status()).into());
    }
    let mut body = response.into_body();
    let mut line = Vec::new();
    loop {
        let frame =
            timeout(SILENCE_TIMEOUT, body.frame()).await.map_err(|_| "the watch stream fell silent")?;
        let Ok(data) = frame.ok_or("the watch stream ended")??.into_data() else { continue };
        let mut rest = &data[..];
        while let Some(end) = rest.iter().position(|b| *b == b'\n') {
            line.extend_from_slice(&rest[..end]);
            rest = &rest[end + 1..];
            if !line.trim_ascii().is_empty() {
                let update = Update::from_watch_line(&line)?;
                *rev = update.rev;
                on_update(update);
            }
            line.clear();
        }
        line.extend_from_slice(rest);
        if line.len() > MAX_LINE_BYTES {
            return Err("a line exceeds 1 MiB".into());
        }
    }
}
