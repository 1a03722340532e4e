//! Where the list of servers comes from.
//!
//! A [`Roster`] is a future that feeds lists to the node, on the engine's thread. This crate has four: the
//! platform's [`Watch`], a [`Fixed`] list, a [`File`] that is read again when it changes, and an in-process
//! [`channel`]. A host may bring its own:
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
use crate::entries::Update;

/// What a roster does for as long as the node runs. It may end earlier: the list then stays as it is.
pub type RosterFuture = Pin<Box<dyn Future<Output = ()>>>;

/// A source of the list of servers.
pub trait Roster: Send + 'static {
    /// The list to start from, if the source has one at hand; else the node starts from the configuration's
    /// `known`. Asked once, before [`Roster::run`], on the engine's thread; the start waits for it.
    fn known(&mut self) -> Option<Update> {
        None
    }

    /// Feeds the node. The future runs on the engine's thread, inside a tokio `LocalSet`; it must not block
    /// the thread. It is dropped when the node ends.
    fn run(self: Box<Self>, feed: Feed) -> RosterFuture;
}

/// What a list tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListKind {
    /// The list as it is now, or changes to it.
    Current,
    /// The list as it was held before the start: it may be old.
    Cached,
}

/// Who is fed: whatever takes lists in.
pub(crate) trait UpdateSink {
    /// A list, or changes to it.
    fn update(&self, update: &Update, kind: ListKind);

    /// From now on nothing new goes to a server that is not among these.
    fn set_ready_servers(&self, _ready: Arc<ReadyServers>) {}

    /// The source failed, for now.
    fn failed(&self);

    /// The source is not heard, however it works, until the next update.
    fn lost(&self);

    /// Waits until the source should be asked.
    fn poll_due(&self) -> Pin<Box<dyn Future<Output = ()> + '_>>;
}

/// The way from a roster to the node.
pub struct Feed {
    to: Box<dyn UpdateSink>,
    asked: bool,
    rev: u64,
    random: fastrand::Rng,
    name: Arc<str>,
}

impl Feed {
    pub(crate) fn new(config: &Config, seed: u64, to: impl UpdateSink + 'static) -> Feed {
        Feed {
            to: Box::new(to),
            asked: config.settings().discovery != Discovery::Pushed,
            rev: config.known.rev,
            random: fastrand::Rng::with_seed(seed),
            name: config.name.as_str().into(),
        }
    }

    /// Passes on a list, or changes to it. From here on nothing new goes to a server that drains or is gone.
    pub fn update(&mut self, update: &Update) {
        self.rev = update.rev;
        self.to.update(update, ListKind::Current);
    }

    /// Passes on the list as it was held before the start: it may be old.
    pub(crate) fn cached(&mut self, update: &Update) {
        self.rev = update.rev;
        self.to.update(update, ListKind::Cached);
    }

    /// From now on nothing new goes to a server that is not among these.
    pub(crate) fn set_ready_servers(&self, ready: Arc<ReadyServers>) {
        self.to.set_ready_servers(ready);
    }

    /// The version of the list that was last passed on; at first that of the list which the node started with.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// The source failed, for now. Where it is asked, the decision module says when to ask again.
    pub fn failed(&self) {
        self.to.lost();
        // One that sends by itself has its own way back.
        if self.asked {
            self.to.failed();
        }
    }

    /// The source is not heard.
    pub(crate) fn lost(&self) {
        self.to.lost();
    }

    /// Whether the source sends nothing by itself and is asked when the decision module says so.
    pub fn is_polled(&self) -> bool {
        self.asked
    }

    /// Waits until the source should be asked; at once where it sends by itself.
    pub async fn poll_due(&self) {
        if self.asked {
            self.to.poll_due().await;
        }
    }

    /// A random number from 0 to 1, so that nodes which failed together do not come back together.
    pub fn random(&mut self) -> f64 {
        self.random.f64()
    }

    /// One event, with the node's name. Meant for what changes, not for what repeats.
    pub fn log(&self, what: fmt::Arguments<'_>) {
        tracing::info!(target: "roster", "{}: {what}", self.name);
    }
}
