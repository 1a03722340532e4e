//! Connections to other control machines.
//!
//! Each machine sends on connections that it opens itself: one for urgent messages and one for bulk messages,
//! so that a heartbeat never waits behind a snapshot. Messages may be lost; the replication protocol sends
//! again.

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

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection ends when sent data stays unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Shortest pause before a reconnect, in milliseconds; the pause is drawn at random.
const RECONNECT_PAUSE_MIN_MS: u64 = 100;
/// Longest pause before a reconnect, in milliseconds.
const RECONNECT_PAUSE_MAX_MS: u64 = 500;
/// A connection without messages is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Most connections: to members and to machines that ask to join.
const MAX_LINKS: usize = 128;

/// Limits of one kind of connection.
#[derive(Debug, Clone, Copy)]
struct LinkProfile {
    /// Kind of connection, for the hello.
    link: LinkKind,
    /// Most queued messages; the oldest is dropped first.
    max_queued: usize,
    /// Messages queued for longer than this are dropped: later ones supersede them.
    max_age: Duration,
    /// Time within which a message must be written.
    write_timeout: Duration,
}

const URGENT: LinkProfile = LinkProfile {
    link: LinkKind::Replica,
    max_queued: 256,
    max_age: Duration::from_millis(400),
    write_timeout: Duration::from_secs(1),
};
const BULK: LinkProfile = LinkProfile {
    link: LinkKind::ReplicaBulk,
    max_queued: 64,
    max_age: Duration::from_secs(2),
    write_timeout: Duration::from_secs(3),
};

/// The peer's internal address, and whether the connection is for bulk messages.
type LinkKey = (SocketAddr, bool);

/// All connections that this machine opens to other control machines.
#[derive(Debug)]
pub struct PeerLinks {
    hello: Hello,
    outboxes: Rc<RefCell<HashMap<LinkKey, Rc<Outbox>>>>,
}

/// Queue of the messages for one connection.
#[derive(Debug, Default)]
struct Outbox {
    /// Messages with the time at which they were queued, oldest first.
    queue: RefCell<VecDeque<(Instant, Envelope)>>,
    message_queued: Notify,
}

impl PeerLinks {
    /// Creates an empty set; `hello` introduces this machine on each connection.
    pub fn new(hello: Hello) -> Self {
        Self { hello, outboxes: Rc::default() }
    }

    /// Queues a message for its connection, which is opened if there is none.
    pub fn send(&self, to: SocketAddr, envelope: Envelope) {
        let bulk = envelope.message.is_bulk();
        let profile = if bulk { BULK } else { URGENT };
        let existing = self.outboxes.borrow().get(&(to, bulk)).cloned();
        if let Some(outbox) = existing.or_else(|| self.open((to, bulk), profile)) {
            outbox.push(envelope, profile.max_queued);
        }
    }

    /// Number of connections that are open or being opened.
    pub fn count(&self) -> usize {
        self.outboxes.borrow().len()
    }

    fn open(&self, key: LinkKey, profile: LinkProfile) -> Option<Rc<Outbox>> {
        let mut outboxes = self.outboxes.borrow_mut();
        if outboxes.len() >= MAX_LINKS {
            return None;
        }
        let outbox = Rc::new(Outbox::default());
        outboxes.insert(key, outbox.clone());
        let hello = Hello { link: profile.link, ..self.hello.clone() };
        spawn_local(run_link(key, profile, hello, outbox.clone(), self.outboxes.clone()));
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
        self.message_queued.notify_one();
    }

    /// Takes the next message that is not older than `max_age`.
    fn pop(&self, max_age: Duration) -> Option<Envelope> {
        let mut queue = self.queue.borrow_mut();
        loop {
            let (queued_at, envelope) = queue.pop_front()?;
            if queued_at.elapsed() <= max_age {
                return Some(envelope);
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }
}

/// Sends the messages of one outbox, reconnecting as needed, until none has come for [`IDLE_TIMEOUT`].
async fn run_link(
    key: LinkKey,
    profile: LinkProfile,
    hello: Hello,
    outbox: Rc<Outbox>,
    outboxes: Rc<RefCell<HashMap<LinkKey, Rc<Outbox>>>>,
) {
    loop {
        let Err(end) = connect_and_send(key.0, profile, &hello, &outbox).await;
        if matches!(end, LinkEnd::Idle) && outbox.is_empty() {
            outboxes.borrow_mut().remove(&key);
            return;
        }
        sleep(Duration::from_millis(fastrand::u64(RECONNECT_PAUSE_MIN_MS..=RECONNECT_PAUSE_MAX_MS))).await;
    }
}

/// Why a connection ended: no messages for a while, or a failure.
enum LinkEnd {
    Idle,
    Broken,
}

impl From<LinkError> for LinkEnd {
    fn from(_: LinkError) -> Self {
        Self::Broken
    }
}

async fn connect_and_send(
    address: SocketAddr,
    profile: LinkProfile,
    hello: &Hello,
    outbox: &Outbox,
) -> Result<std::convert::Infallible, LinkEnd> {
    if outbox.is_empty() && timeout(IDLE_TIMEOUT, outbox.message_queued.notified()).await.is_err() {
        return Err(LinkEnd::Idle);
    }
    let (mut reader, mut writer) = dial(address, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT).await?;
    writer.queue(hello);
    loop {
        while let Some(envelope) = outbox.pop(profile.max_age) {
            write_message(&mut writer, &envelope, profile.write_timeout).await?;
        }
        wait_for_message(&mut reader, outbox).await?;
    }
}

async fn write_message(
    writer: &mut LinkWriter,
    envelope: &Envelope,
    write_timeout: Duration,
) -> Result<(), LinkEnd> {
    writer.queue(envelope);
    match timeout(write_timeout, writer.flush()).await {
        Ok(flushed) => Ok(flushed?),
        Err(_) => Err(LinkEnd::Broken),
    }
}

/// Waits for a message to send; fails if the peer closes the connection or no message comes for a while.
async fn wait_for_message(reader: &mut LinkReader, outbox: &Outbox) -> Result<(), LinkEnd> {
    tokio::select! {
        () = outbox.message_queued.notified() => Ok(()),
        // The peer sends nothing on this connection, so a read ends only with it.
        _ = reader.read::<Envelope>() => Err(LinkEnd::Broken),
        () = sleep(IDLE_TIMEOUT) => Err(LinkEnd::Idle),
    }
}
