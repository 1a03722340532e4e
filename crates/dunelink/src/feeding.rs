//! What an engine is fed of lists: addresses and states go to the servers' side at once, the rest to the module.

use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

use cherryusher::{Event, ServerEntry, ServerState as State};
use tokio::sync::Notify;

use crate::config::Config;
use crate::engine::{Happening, Mailbox};
use crate::entries::{Server, ServerState, Update};
use crate::roster::{ListKind, ReadyServers, UpdateSink};
use crate::servers::Servers;

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

/// An engine and its servers, as a roster feeds them.
pub(crate) struct ToEngine {
    reader: Reader,
    servers: Rc<Servers>,
    engine: Mailbox,
    /// Told when the module wants to be told of changes.
    wanted: Rc<Notify>,
}

impl ToEngine {
    pub(crate) fn new(
        config: &Config,
        servers: Rc<Servers>,
        engine: Mailbox,
        wanted: Rc<Notify>,
    ) -> ToEngine {
        ToEngine { reader: Reader::new(config), servers, engine, wanted }
    }
}

impl UpdateSink for ToEngine {
    fn update(&self, update: &Update, kind: ListKind) {
        let event = match kind {
            ListKind::Cached => Event::CachedServerList,
            ListKind::Current if update.whole => Event::ServerList,
            ListKind::Current => Event::ServerChanges,
        };
        let list: Vec<ServerEntry> = update.servers.iter().map(|s| self.reader.entry(s)).collect();
        self.servers.list_changed(list.iter().copied().zip(&update.servers), update.whole);
        self.engine.send(Happening::Module(event(list)));
    }

    fn set_ready_servers(&self, ready: Arc<ReadyServers>) {
        self.servers.heed(ready);
    }

    fn failed(&self) {
        self.engine.send(Happening::Module(Event::DiscoveryFailed));
    }

    fn lost(&self) {
        self.servers.tally.lost_list();
    }

    fn poll_due(&self) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(self.wanted.notified())
    }
}
