//! What a node knows of itself, for its host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::sync::oneshot;

use crate::types::Answer;

/// How requests ended since the start. Each that was taken ends up in one of `served`, `refused`, `failed` and
/// `left`.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// # let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// node.handle().call(http::Request::get("/view/7").body(String::new())?).await?;
/// let counts = node.handle().counts();
/// assert_eq!(counts.taken, counts.served + counts.refused + counts.failed + counts.left);
/// # Ok(()) }
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that the node took.
    pub taken: u64,
    /// Answered by a server.
    pub served: u64,
    /// Turned away, where trying again is harmless.
    pub refused: u64,
    /// Failed, with no promise.
    pub failed: u64,
    /// Their clients went away before the answer.
    pub left: u64,
    /// Not taken, as something was wrong with them; not among `taken`.
    pub invalid: u64,
}

impl Counts {
    /// Both together.
    pub(crate) fn plus(self, other: Counts) -> Counts {
        Counts {
            taken: self.taken + other.taken,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
            left: self.left + other.left,
            invalid: self.invalid + other.invalid,
        }
    }
}

/// How requests of one class ended since the start.
///
/// ```
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// assert_eq!(node.handle().class_counts()["view"], dunelink::ClassCounts::default());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Answered by a server.
    pub served: u64,
    /// Turned away, where trying again is harmless.
    pub refused: u64,
    /// Failed, with no promise.
    pub failed: u64,
}

impl ClassCounts {
    /// Both together.
    pub(crate) fn plus(self, other: ClassCounts) -> ClassCounts {
        ClassCounts {
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
        }
    }
}

/// How a node stands.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// # let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// let now = node.handle().snapshot().await?;
/// assert_eq!((now.servers.len(), now.open, now.held, now.connections), (0, 0, 0, 0));
/// # Ok(()) }
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The servers that it may send to, by name. One that drains or is gone is not among them.
    pub servers: Vec<ServerView>,
    /// Requests without their final answer.
    pub open: usize,
    /// Requests of which anything is kept: open ones, and answered ones with an attempt still out.
    pub kept: usize,
    /// Open requests that wait in the queue for a server with room.
    pub held: usize,
    /// Attempts out.
    pub in_flight: usize,
    /// Connections to servers, idle ones included.
    pub connections: usize,
    /// Servers in the list, those that drain included.
    pub listed: usize,
    /// Servers that take requests and that the node avoids now; of several shards, the most that one avoids.
    pub avoided: usize,
    /// How requests ended.
    pub counts: Counts,
}

impl Snapshot {
    /// Adds another shard's.
    pub(crate) fn add(&mut self, other: Snapshot) {
        for server in other.servers {
            match self.servers.binary_search_by(|own| own.uid.cmp(&server.uid)) {
                Ok(at) => {
                    self.servers[at].in_flight += server.in_flight;
                    self.servers[at].idle += server.idle;
                }
                Err(at) => self.servers.insert(at, server),
            }
        }
        self.open += other.open;
        self.kept += other.kept;
        self.held += other.held;
        self.in_flight += other.in_flight;
        self.connections += other.connections;
        // Each shard has the whole list.
        (self.listed, self.avoided) = (self.listed.max(other.listed), self.avoided.max(other.avoided));
        self.counts = self.counts.plus(other.counts);
    }
}

/// A server, as the node sees it.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, Server, config::{Class, Effect}, roster::Fixed};
/// # use std::time::Duration;
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// let server = Server::new("s-1", ([127, 0, 0, 1], 9001).into());
/// let node = Node::builder(Config { classes, ..Config::default() }).roster(Fixed::new([server])).start()?;
/// let seen = &node.handle().snapshot().await?.servers[0];
/// assert_eq!((&*seen.uid, seen.in_flight, seen.idle), ("s-1", 0, 0));
/// # Ok(()) }
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Its name in the list.
    pub uid: Arc<str>,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// This node's attempts out on it.
    pub in_flight: usize,
    /// This node's idle connections to it.
    pub idle: usize,
}

impl ServerView {
    /// The number under which nodes speak of it.
    pub fn id(&self) -> u64 {
        crate::types::server_id(&self.uid)
    }
}

/// An answer that is being passed on. Dropped before its end, its client has left.
pub(crate) struct Transfer {
    tally: Arc<Tally>,
    class: usize,
    over: bool,
}

impl Transfer {
    /// It came to its end.
    pub(crate) fn served(mut self) {
        self.over = true;
        self.tally.of_class(self.class, SERVED);
    }

    /// It broke off.
    pub(crate) fn failed(mut self) {
        self.over = true;
        self.tally.of_class(self.class, FAILED);
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        if !self.over {
            self.tally.left();
        }
        self.tally.transfers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts as the engine and its callers keep them.
pub(crate) struct Tally {
    /// By class: served, refused, failed.
    classes: Box<[[AtomicU64; 3]]>,
    attempts: AtomicU64,
    /// Answers that are being passed on.
    transfers: AtomicU64,
    taken: AtomicU64,
    left: AtomicU64,
    invalid: AtomicU64,
    /// Whether the list's source has told anything since the start.
    listed: AtomicBool,
}

fn one_more(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

const SERVED: usize = 0;
const REFUSED: usize = 1;
const FAILED: usize = 2;

impl Tally {
    pub(crate) fn new(classes: usize) -> Tally {
        Tally {
            classes: (0..classes).map(|_| Default::default()).collect(),
            attempts: AtomicU64::default(),
            transfers: AtomicU64::default(),
            taken: AtomicU64::default(),
            left: AtomicU64::default(),
            invalid: AtomicU64::default(),
            listed: AtomicBool::default(),
        }
    }

    /// The list's source has told something.
    pub(crate) fn heard_list(&self) {
        self.listed.store(true, Ordering::Release);
    }

    pub(crate) fn has_list(&self) -> bool {
        self.listed.load(Ordering::Acquire)
    }

    /// An attempt was written whole to a server.
    pub(crate) fn attempted(&self) {
        one_more(&self.attempts);
    }

    pub(crate) fn attempts(&self) -> u64 {
        self.attempts.load(Ordering::Relaxed)
    }

    pub(crate) fn transfers(&self) -> usize {
        self.transfers.load(Ordering::Relaxed) as usize
    }

    fn of_class(&self, class: usize, what: usize) {
        if let Some(counts) = self.classes.get(class) {
            one_more(&counts[what]);
        }
    }

    pub(crate) fn class_counts(&self) -> impl Iterator<Item = ClassCounts> {
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        self.classes.iter().map(move |counts| ClassCounts {
            served: of(&counts[SERVED]),
            refused: of(&counts[REFUSED]),
            failed: of(&counts[FAILED]),
        })
    }

    pub(crate) fn arrived(&self) {
        one_more(&self.taken);
    }

    pub(crate) fn left(&self) {
        one_more(&self.left);
    }

    pub(crate) fn invalid(&self) {
        one_more(&self.invalid);
    }

    /// A request that was refused without the engine.
    pub(crate) fn turned_away(&self, class: usize) {
        one_more(&self.taken);
        self.of_class(class, REFUSED);
    }

    /// Gives the final answer and counts it, or its client as left if nobody waits any more. One that is passed on as
    /// it comes counts once it has come to its end.
    pub(crate) fn answered(
        self: &Arc<Self>,
        class: usize,
        waiting: oneshot::Sender<Answer>,
        mut answer: Answer,
    ) {
        if let Answer::Served(response) = &mut answer {
            let transfer = || {
                self.transfers.fetch_add(1, Ordering::Relaxed);
                Transfer { tally: self.clone(), class, over: false }
            };
            if response.body_mut().count(transfer) {
                // Where nobody waits, it is dropped, and counts as left.
                let _ = waiting.send(answer);
                return;
            }
        }
        let what = match &answer {
            Answer::Served(_) => SERVED,
            Answer::Refused { .. } => REFUSED,
            Answer::Failed { .. } => FAILED,
        };
        // Counted first: who has the answer must find it in the counts.
        match waiting.is_closed() {
            true => one_more(&self.left),
            false => {
                self.of_class(class, what);
                let _ = waiting.send(answer);
            }
        }
    }

    pub(crate) fn counts(&self) -> Counts {
        let answered = self.class_counts().fold(ClassCounts::default(), ClassCounts::plus);
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Counts {
            served: answered.served,
            refused: answered.refused,
            failed: answered.failed,
            left: of(&self.left),
            invalid: of(&self.invalid),
            taken: of(&self.taken),
        }
    }
}
