//! Passes server lists on to an engine: addresses and states go to [`Servers`] at once, the rest to the
//! decision module.

use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

use cherryusher::{Event, ServerEntry, ServerState as State};
use tokio::sync::Notify;

use crate::config::Config;
use crate::engine::{EngineMessage, Mailbox};
use crate::roster::{ListKind, ReadyServers, UpdateSink};
use crate::server_list::{Server, ServerState, Update};
use crate::servers::Servers;

/// Converts the entries of a list to those of the decision module.
struct EntryConverter {
    zones: HashMap<String, u8>,
    kinds: HashMap<String, u8>,
}

impl EntryConverter {
    fn new(config: &Config) -> EntryConverter {
        let indexed = |names: &[String]| names.iter().cloned().zip(0..u8::MAX).collect();
        EntryConverter { zones: indexed(&config.fleet.zones), kinds: indexed(&config.fleet.kinds) }
    }

    fn convert(&self, server: &Server) -> ServerEntry {
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

/// An engine and its servers as the receiver of lists from a roster.
pub(crate) struct EngineFeed {
    converter: EntryConverter,
    servers: Rc<Servers>,
    engine: Mailbox,
    /// Notified when the module asks for changes to the list.
    list_wanted: Rc<Notify>,
}

impl EngineFeed {
    pub(crate) fn new(
        config: &Config,
        servers: Rc<Servers>,
        engine: Mailbox,
        list_wanted: Rc<Notify>,
    ) -> EngineFeed {
        EngineFeed { converter: EntryConverter::new(config), servers, engine, list_wanted }
    }
}

impl UpdateSink for EngineFeed {
    fn update(&self, update: &Update, kind: ListKind) {
        let event = match kind {
            ListKind::Cached => Event::CachedServerList,
            ListKind::Current if update.whole => Event::ServerList,
            ListKind::Current => Event::ServerChanges,
        };
        let list: Vec<ServerEntry> = update.servers.iter().map(|s| self.converter.convert(s)).collect();
        self.servers.apply_list(list.iter().copied().zip(&update.servers), update.whole);
        self.engine.send(EngineMessage::BalancerEvent(event(list)));
    }

    fn set_ready_servers(&self, ready: Arc<ReadyServers>) {
        self.servers.set_ready_servers(ready);
    }

    fn failed(&self) {
        self.engine.send(EngineMessage::BalancerEvent(Event::DiscoveryFailed));
    }

    fn lost(&self) {
        self.servers.counters.list_source_lost();
    }

    fn poll_due(&self) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(self.list_wanted.notified())
    }
}
