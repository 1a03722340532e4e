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
mod file;
mod fixed;
mod hub;
mod watch;

use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

use cherryusher::{Discovery, Event, ServerEntry, ServerState as State};
use tokio::sync::Notify;

pub use channel::{ChannelRoster, RosterGone, RosterSender, channel};
pub use file::File;
pub use fixed::Fixed;
pub(crate) use hub::{Hub, Ready};
pub use watch::{Watch, WatchMover};

use crate::config::Config;
use crate::engine::{Happening, Mailbox};
use crate::servers::Servers;
use crate::types::{Server, ServerState, Update};

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

/// Turns a list's entries into the module's.
struct Reader {
    zones: HashMap<String, u8>,
    kinds: HashMap<String, u8>,
}

impl Reader {
    fn new(config: &Config) -> Reader {
        let numbered = |names: &[String]| names.iter().cloned().zip(0..u8::MAX).collect();
        Reader { zones: numbered(&config.fleet.zones), kinds: numbered(&config.fleet.kinds) }
    }

    fn entry(&self, server: &Server) -> ServerEntry {
        ServerEntry {
            id: server.id(),
            state: match server.state {
                ServerState::Ready => State::Ready,
                ServerState::Draining => State::Draining,
                ServerState::Gone => State::Gone,
            },
            ready_at: server.started_ms.saturating_mul(1000),
            zone: self.zones.get(&server.zone).copied().unwrap_or(u8::MAX),
            cell: server.cell,
            weight: if server.weight.is_finite() { server.weight.max(0.0) } else { 0.0 },
            kind: self.kinds.get(&server.kind).copied().unwrap_or(u8::MAX),
        }
    }
}

/// Who is fed.
enum To {
    Engine {
        reader: Reader,
        servers: Rc<Servers>,
        engine: Mailbox,
        /// Told when the module wants to be told of changes.
        wanted: Rc<Notify>,
    },
    /// All shards of a node.
    Hub(Hub),
}

/// The way from a roster to the node.
pub struct Feed {
    to: To,
    asked: bool,
    rev: u64,
    random: fastrand::Rng,
    name: Arc<str>,
}

impl Feed {
    pub(crate) fn new(
        config: &Config,
        seed: u64,
        servers: Rc<Servers>,
        engine: Mailbox,
        wanted: Rc<Notify>,
    ) -> Feed {
        Feed::to(To::Engine { reader: Reader::new(config), servers, engine, wanted }, config, seed)
    }

    /// The way to all shards of a node.
    pub(crate) fn of_hub(config: &Config, seed: u64, hub: Hub) -> Feed {
        Feed::to(To::Hub(hub), config, seed)
    }

    fn to(to: To, config: &Config, seed: u64) -> Feed {
        Feed {
            to,
            asked: config.settings().discovery != Discovery::Pushed,
            rev: config.known.rev,
            random: fastrand::Rng::with_seed(seed),
            name: config.name.as_str().into(),
        }
    }

    /// Passes on a list, or changes to it. From here on nothing new goes to a server that drains or is gone.
    pub fn update(&mut self, update: &Update) {
        self.take(update, if update.whole { Event::ServerList } else { Event::ServerChanges });
    }

    /// Passes on the list as it was held before the start: it may be old.
    pub(crate) fn cached(&mut self, update: &Update) {
        self.take(update, Event::CachedList);
    }

    /// Tells addresses and states to the servers' side at once; the rest is for the engine.
    fn take(&mut self, update: &Update, event: fn(Vec<ServerEntry>) -> Event) {
        self.rev = update.rev;
        match &self.to {
            To::Engine { reader, servers, engine, .. } => {
                let list: Vec<ServerEntry> = update.servers.iter().map(|s| reader.entry(s)).collect();
                servers.list_changed(list.iter().copied().zip(&update.servers), update.whole);
                engine.send(Happening::Module(event(list)));
            }
            To::Hub(hub) => hub.update(update),
        }
    }

    /// From now on nothing new goes to a server that is not among these.
    pub(crate) fn heed(&self, ready: Arc<Ready>) {
        if let To::Engine { servers, .. } = &self.to {
            servers.heed(ready);
        }
    }

    /// The version of the list that was last passed on; at first that of the list which the node started with.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// The source failed, for now. Where it is asked, the decision module says when to ask again.
    pub fn failed(&self) {
        match &self.to {
            To::Engine { engine, .. } if self.asked => {
                engine.send(Happening::Module(Event::DiscoveryFailed));
            }
            To::Engine { .. } => {}
            To::Hub(hub) => hub.failed(),
        }
    }

    /// Whether the source sends nothing by itself and is asked when the decision module says so.
    pub fn is_asked(&self) -> bool {
        self.asked
    }

    /// Waits until the source should be asked; at once where it sends by itself.
    pub async fn wanted(&self) {
        match &self.to {
            _ if !self.asked => {}
            To::Engine { wanted, .. } => wanted.notified().await,
            To::Hub(hub) => hub.wanted().await,
        }
    }

    /// A random number from 0 to 1, so that nodes which failed together do not come back together.
    pub fn random(&mut self) -> f64 {
        self.random.f64()
    }

    /// One line on standard error, with the node's name. Meant for what changes, not for what repeats.
    pub fn log(&self, what: fmt::Arguments<'_>) {
        eprintln!("dunelink: {}: {what}", self.name);
    }
}
