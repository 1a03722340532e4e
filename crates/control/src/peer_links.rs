//! Connections to other control machines.
//!
//! Each machine sends on connections that it opened: one for urgent messages and one for large ones, so that a
//! heartbeat never waits behind a snapshot. Messages may be lost; replication sends again.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunelink_protocol::{Hello, LinkKind};
use dunelink_runtime::{LinkError, LinkReader, LinkWriter, dial};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::message::Envelope;

/// How long a connection may take to come up.
const DIAL_PATIENCE: Duration = Duration::from_millis(500);
/// Data that stays unacknowledged for this long ends the connection.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Pause before a new attempt, with as much again at random at most four times.
const PAUSE_MIN_MS: u64 = 100;
/// Longest pause before a new attempt, in milliseconds.
const PAUSE_MAX_MS: u64 = 500;
/// A connection without messages is closed after this time.
const IDLE: Duration = Duration::from_secs(15);
/// Connections that are kept; members, and machines that ask to join.
const MAX_LINKS: usize = 128;

/// How a kind of connection is used.
#[derive(Debug, Clone, Copy)]
struct Lane {
    link: LinkKind,
    /// Messages that wait at most; the oldest go first.
    waiting: usize,
    /// A message that waited longer is not sent: what follows it says more.
    stale: Duration,
    /// How long a message may take to be written.
    write_patience: Duration,
}

const URGENT: Lane = Lane {
    link: LinkKind::Replica,
    waiting: 256,
    stale: Duration::from_millis(400),
    write_patience: Duration::from_secs(1),
};
const BULK: Lane = Lane {
    link: LinkKind::ReplicaBulk,
    waiting: 64,
    stale: Duration::from_secs(2),
    write_patience: Duration::from_secs(3),
};

type Key = (SocketAddr, bool);

/// All connections opened here to other control machines.
#[derive(Debug)]
pub struct PeerLinks {
    hello: Hello,
    outboxes: Rc<RefCell<HashMap<Key, Rc<Outbox>>>>,
}

/// Messages that wait for a connection.
#[derive(Debug, Default)]
struct Outbox {
    queue: RefCell<VecDeque<(Instant, Envelope)>>,
    filled: Notify,
}

impl PeerLinks {
    /// No connections yet; `hello` introduces this machine.
    pub fn new(hello: Hello) -> Self {
        Self { hello, outboxes: Rc::default() }
    }

    /// Sends a message over a connection that is opened if there is none.
    pub fn send(&self, to: SocketAddr, envelope: Envelope) {
        let bulk = envelope.message.is_bulk();
        let lane = if bulk { BULK } else { URGENT };
        let known = self.outboxes.borrow().get(&(to, bulk)).cloned();
        if let Some(outbox) = known.or_else(|| self.open((to, bulk), lane)) {
            outbox.push(envelope, lane.waiting);
        }
    }

    /// Number of connections that are open or being opened.
    pub fn count(&self) -> usize {
        self.outboxes.borrow().len()
    }

    fn open(&self, key: Key, lane: Lane) -> Option<Rc<Outbox>> {
        let mut outboxes = self.outboxes.borrow_mut();
        if outboxes.len() >= MAX_LINKS {
            return None;
        }
        let outbox = Rc::new(Outbox::default());
        outboxes.insert(key, outbox.clone());
        let hello = Hello { link: lane.link, ..self.hello.clone() };
        spawn_local(carry(key, lane, hello, outbox.clone(), self.outboxes.clone()));
        Some(outbox)
    }
}

impl Outbox {
    fn push(&self, envelope: Envelope, limit: usize) {
        let mut queue = self.queue.borrow_mut();
        if queue.len() >= limit {
            queue.pop_front();
        }
        queue.push_back((Instant::now(), envelope));
        drop(queue);
        self.filled.notify_one();
    }

    /// The next message that is not too old.
    fn pop(&self, stale: Duration) -> Option<Envelope> {
        let mut queue = self.queue.borrow_mut();
        loop {
            let (queued_at, envelope) = queue.pop_front()?;
            if queued_at.elapsed() <= stale {
                return Some(envelope);
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }
}

/// Carries the messages of one outbox until none has come for a while.
async fn carry(
    key: Key,
    lane: Lane,
    hello: Hello,
    outbox: Rc<Outbox>,
    outboxes: Rc<RefCell<HashMap<Key, Rc<Outbox>>>>,
) {
    loop {
        let Err(end) = connect_and_send(key.0, lane, &hello, &outbox).await;
        if matches!(end, End::Idle) && outbox.is_empty() {
            outboxes.borrow_mut().remove(&key);
            return;
        }
        sleep(Duration::from_millis(fastrand::u64(PAUSE_MIN_MS..=PAUSE_MAX_MS))).await;
    }
}

/// Why a connection ended.
enum End {
    Idle,
    Broken,
}

impl From<LinkError> for End {
    fn from(_: LinkError) -> Self {
        Self::Broken
    }
}

async fn connect_and_send(
    address: SocketAddr,
    lane: Lane,
    hello: &Hello,
    outbox: &Outbox,
) -> Result<std::convert::Infallible, End> {
    if outbox.is_empty() && timeout(IDLE, outbox.filled.notified()).await.is_err() {
        return Err(End::Idle);
    }
    let (mut reader, mut writer) = dial(address, DIAL_PATIENCE, SILENCE).await?;
    writer.queue(hello);
    loop {
        while let Some(envelope) = outbox.pop(lane.stale) {
            write(&mut writer, &envelope, lane.write_patience).await?;
        }
        wait(&mut reader, outbox).await?;
    }
}

async fn write(writer: &mut LinkWriter, envelope: &Envelope, patience: Duration) -> Result<(), End> {
    writer.queue(envelope);
    match timeout(patience, writer.flush()).await {
        Ok(flushed) => Ok(flushed?),
        Err(_) => Err(End::Broken),
    }
}

/// Waits for a message to send; ends if the peer closes the connection or nothing is sent for a while.
async fn wait(reader: &mut LinkReader, outbox: &Outbox) -> Result<(), End> {
    tokio::select! {
        () = outbox.filled.notified() => Ok(()),
        // The peer sends nothing on this connection.
        _ = reader.read::<Envelope>() => Err(End::Broken),
        () = sleep(IDLE) => Err(End::Idle),
    }
}
