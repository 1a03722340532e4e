//! Sources of the server list.
//!
//! A [`Roster`] is a future that feeds server lists to the node, on the engine's thread. This crate has four:
//! the platform's [`Watch`], a [`Fixed`] list, a [`File`] that is read again when it changes, and an
//! in-process [`channel`]. A host may implement its own:
//!
//! ```
//! use dunelink::roster::{Feed, Roster, RosterFuture};
//! use dunelink::{Server, Update};
//!
//! struct Once(Vec<Server>);
//!
//! impl Roster for Once {
//!     fn run(self: Box<Self>, mut feed: Feed) -> RosterFuture {
//!         Box::pin(async move { feed.update(&Update::whole(self.0)) })
//!     }
//! }
//! ```

mod channel;
mod fanout;
mod file;
mod fixed;
mod watch;

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use cherryusher::Discovery;

pub use channel::{ChannelRoster, RosterSendError, RosterSender, channel};
pub(crate) use fanout::{ReadyServers, RosterFanout};
pub use file::File;
pub use fixed::Fixed;
pub use watch::{Watch, WatchMover};

use crate::config::Config;
use crate::server_list::Update;

/// The work of a roster while the node runs. If it ends earlier, the list stays as it is.
pub type RosterFuture = Pin<Box<dyn Future<Output = ()>>>;

/// A source of the server list.
pub trait Roster: Send + 'static {
    /// The list to start from, if the source has one available; otherwise the node starts from `known` in the
    /// configuration. Called once, before [`Roster::run`], on the engine's thread; the start of the node
    /// waits for it.
    fn known(&mut self) -> Option<Update> {
        None
    }

    /// Feeds server lists to the node. The future runs on the engine's thread, inside a tokio `LocalSet`, and
    /// must not block the thread. It is dropped when the node ends.
    fn run(self: Box<Self>, feed: Feed) -> RosterFuture;
}

/// How up to date a list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListKind {
    /// The current list, or changes to it.
    Current,
    /// A list saved before the start, which may be out of date.
    Cached,
}

/// Receives server lists from a [`Feed`].
pub(crate) trait UpdateSink {
    /// Takes a list, or changes to it.
    fn update(&self, update: &Update, kind: ListKind);

    /// Restricts new requests to these servers. The set is shared: later changes to it take effect at once.
    fn set_ready_servers(&self, _ready: Arc<ReadyServers>) {}

    /// The source failed temporarily.
    fn failed(&self);

    /// The source is out of reach, whether it is polled or sends updates by itself, until the next update.
    fn lost(&self);

    /// Waits until the source should be polled.
    fn poll_due(&self) -> Pin<Box<dyn Future<Output = ()> + '_>>;
}

/// Passes server lists from a roster to the node.
pub struct Feed {
    sink: Box<dyn UpdateSink>,
    is_polled: bool,
    rev: u64,
    random: fastrand::Rng,
    name: Arc<str>,
}

impl Feed {
    pub(crate) fn new(config: &Config, seed: u64, sink: impl UpdateSink + 'static) -> Feed {
        Feed {
            sink: Box::new(sink),
            is_polled: config.settings().discovery != Discovery::Pushed,
            rev: config.known.rev,
            random: fastrand::Rng::with_seed(seed),
            name: config.name.as_str().into(),
        }
    }

    /// Passes on a list, or changes to it. From here on nothing new is sent to a server that is draining or
    /// gone.
    pub fn update(&mut self, update: &Update) {
        self.rev = update.rev;
        self.sink.update(update, ListKind::Current);
    }

    /// Passes on a list saved before the start, which may be out of date.
    pub(crate) fn cached(&mut self, update: &Update) {
        self.rev = update.rev;
        self.sink.update(update, ListKind::Cached);
    }

    /// Restricts new requests to these servers, a set that is shared and changes with the list.
    pub(crate) fn set_ready_servers(&self, ready: Arc<ReadyServers>) {
        self.sink.set_ready_servers(ready);
    }

    /// The version of the list passed on last; at first, that of the list with which the node started.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// Reports that the source failed temporarily. If it is polled, the decision module schedules the next
    /// poll.
    pub fn failed(&self) {
        self.sink.lost();
        // A source that sends updates by itself reconnects on its own.
        if self.is_polled {
            self.sink.failed();
        }
    }

    /// Reports that the source is out of reach.
    pub(crate) fn lost(&self) {
        self.sink.lost();
    }

    /// Whether the source sends nothing by itself and is polled when the decision module schedules it.
    pub fn is_polled(&self) -> bool {
        self.is_polled
    }

    /// Waits until the source should be polled; returns at once if it sends updates by itself.
    pub async fn poll_due(&self) {
        if self.is_polled {
            self.sink.poll_due().await;
        }
    }

    /// A random number from 0 to 1, to spread the retries of nodes that failed at the same time.
    pub fn random(&mut self) -> f64 {
        self.random.f64()
    }

    /// Logs one event with the node's name. Meant for changes, not for repeated conditions.
    pub fn log(&self, message: fmt::Arguments<'_>) {
        tracing::info!(target: "roster", "{}: {message}", self.name);
    }
}
