//! The platform's discovery: the list of servers and the watch that keeps it current.

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
use crate::entries::Update;

/// A watch that says nothing for this long is dead: a line comes every 2 s. A change counts as told after
/// 6 s at the latest, so a second watch has to be up by then.
const SILENCE: Duration = Duration::from_millis(3200);
/// How long a connection may take, and the head of its answer where an agent of this machine gives it. After a
/// move to another address the watch has to be up within 4 s, a second try included.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);
/// How long the head may take where one service works through the calls of all nodes in turn. It ends a call that
/// has waited too long itself; one that is given up here loads it all the same, and has lost its turn.
const TURN_WITHIN: Duration = Duration::from_secs(5);
/// Two tries lie at least between this and twice this apart, times the failures so far: what an agent gets when it can
/// reach discovery again counts as told at once, and servers may drain for as little as some hundred milliseconds.
const AGAIN: Duration = Duration::from_millis(25);
/// The most failures that the wait grows with.
const AGAIN_MOST: u32 = 4;
/// The longest line; a list of some thousand servers.
const LONGEST_LINE: usize = 1 << 20;

/// The platform's discovery: a chunked answer that stays open and holds a line for each change. When it moves
/// to another address, the watch goes on there from where it was.
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

/// Moves a [`Watch`] to another address.
#[derive(Debug)]
pub struct WatchMover(watch::Sender<SocketAddr>);

impl WatchMover {
    /// From now on discovery is at this address.
    pub fn move_to(&self, address: SocketAddr) {
        self.0.send_if_modified(|at| std::mem::replace(at, address) != address);
    }
}

impl Watch {
    /// A watch of discovery at this address. It goes on there once its mover is gone.
    pub fn new(address: SocketAddr) -> (Watch, WatchMover) {
        let (sender, address) = watch::channel(address);
        (Watch { address }, WatchMover(sender))
    }
}

impl Roster for Watch {
    fn run(self: Box<Self>, feed: Feed) -> RosterFuture {
        Box::pin(follow(self.address, feed))
    }
}

/// Starts from the list that the node holds and watches from there on, for ever; when discovery moves, it does
/// so at the new address, from where it was.
async fn follow(mut address: watch::Receiver<SocketAddr>, mut feed: Feed) {
    let mut rev = feed.rev();
    let head_within = if feed.is_polled() { TURN_WITHIN } else { ANSWER_WITHIN };
    let mut failures = 0;
    let mut moved = false;
    loop {
        if !moved {
            feed.poll_due().await;
        }
        let at = *address.borrow_and_update();
        let heard = |update: Update| {
            failures = 0;
            feed.update(&update);
        };
        let began = Instant::now();
        let why = tokio::select! {
            biased;
            // The old address takes no new watch and ends the one it has.
            true = changed(&mut address) => {
                moved = true;
                failures = 0;
                continue;
            }
            Err(why) = watch_at(at, head_within, &mut rev, heard) => why,
        };
        moved = false;
        failures += 1;
        // A line for each try of a long outage would say nothing new.
        if failures == 1 {
            feed.log(format_args!("discovery: {why}; watching anew from {rev}"));
        }
        feed.failed();
        if !feed.is_polled() {
            let longer = AGAIN * failures.min(AGAIN_MOST);
            // A call that waited in vain has waited enough: while none is out, what discovery tells is missed.
            let next = began + longer + longer.mul_f64(feed.random());
            // A move must not wait for what befell the old address.
            let _ = timeout_at(next, changed(&mut address)).await;
        }
    }
}

/// Waits until discovery has moved; for ever, if nothing can move it any more.
async fn changed(address: &mut watch::Receiver<SocketAddr>) -> bool {
    match address.changed().await {
        Ok(()) => true,
        Err(_) => std::future::pending().await,
    }
}

/// One watch, until it fails.
async fn watch_at(
    address: SocketAddr,
    head_within: Duration,
    rev: &mut u64,
    mut tell: impl FnMut(Update),
) -> Result<Infallible, Box<dyn Error>> {
    let stream = timeout(ANSWER_WITHIN, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| "no connection in time")??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let _connection = AbortOnDropHandle::new(tokio::task::spawn_local(connection));
    let request = Request::get(format!("/catalog/members?watch=1&from={rev}"))
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let answer = timeout(head_within, sender.send_request(request)).await;
    let response = answer.map_err(|_| "no answer in time")??;
    if response.status() != StatusCode::OK {
        return Err(format!("it answered {}", response.status()).into());
    }
    let mut body = response.into_body();
    let mut line = Vec::new();
    loop {
        let frame = timeout(SILENCE, body.frame()).await.map_err(|_| "the watch fell silent")?;
        let Ok(data) = frame.ok_or("the watch ended")??.into_data() else { continue };
        let mut rest = &data[..];
        while let Some(end) = rest.iter().position(|b| *b == b'\n') {
            line.extend_from_slice(&rest[..end]);
            rest = &rest[end + 1..];
            if !line.trim_ascii().is_empty() {
                let update = Update::from_watch_line(&line)?;
                *rev = update.rev;
                tell(update);
            }
            line.clear();
        }
        line.extend_from_slice(rest);
        if line.len() > LONGEST_LINE {
            return Err("a line without end".into());
        }
    }
}
