//! Shares one roster among several shards. Updates that a shard has not taken yet are merged, so that a
//! paused shard neither blocks the others nor accumulates entries without bound. Before each send, a shard
//! also checks that the list as last *read* still has the server as ready: draining takes effect in all
//! shards at once.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use cherryusher::ServerId;
use tokio::sync::Notify;

use super::{Feed, ListKind, Roster, RosterFuture, UpdateSink};
use crate::server_list::{Server, ServerState, Update};

/// The servers that are ready according to the list as last read, with their addresses.
#[derive(Default)]
pub(crate) struct ReadyServers(RwLock<HashMap<ServerId, SocketAddr>>);

impl ReadyServers {
    /// Whether this server may be sent new requests at this address.
    pub(crate) fn contains(&self, server: ServerId, endpoint: SocketAddr) -> bool {
        self.0.read().unwrap_or_else(PoisonError::into_inner).get(&server) == Some(&endpoint)
    }

    fn update(&self, update: &Update) {
        let mut ready = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if update.whole {
            ready.clear();
        }
        for server in &update.servers {
            match server.state {
                ServerState::Ready => drop(ready.insert(server.id(), server.endpoint)),
                ServerState::Draining | ServerState::Gone => drop(ready.remove(&server.id())),
            }
        }
    }
}

/// The updates that one shard has not taken yet, merged.
#[derive(Default)]
struct Pending {
    /// Whether `servers` is a complete list rather than changes.
    whole: bool,
    /// Whether there is an update at all.
    has_update: bool,
    /// Whether the source failed since the shard last looked.
    failed: bool,
    /// Whether the source is out of reach.
    lost: bool,
    /// The version of the newest update.
    rev: u64,
    servers: HashMap<String, Server>,
}

impl Pending {
    fn add(&mut self, update: &Update) {
        self.lost = false;
        if update.whole {
            self.servers.clear();
            self.whole = true;
        }
        (self.has_update, self.rev) = (true, update.rev);
        for server in &update.servers {
            // A whole list simply omits removed servers.
            if self.whole && server.state == ServerState::Gone {
                self.servers.remove(&server.uid);
            } else {
                self.servers.insert(server.uid.clone(), server.clone());
            }
        }
    }

    /// Takes the merged update, whether the source failed, and whether the source is out of reach.
    fn take(&mut self) -> (Option<Update>, bool, bool) {
        let taken = std::mem::take(self);
        let servers = taken.servers.into_values().collect();
        let update = taken.has_update.then_some(Update { rev: taken.rev, whole: taken.whole, servers });
        (update, taken.failed, taken.lost)
    }
}

/// What is queued for one shard, and the signal that it has changed.
#[derive(Default)]
struct Slot {
    pending: Mutex<Pending>,
    changed_notify: Notify,
}

struct Shared {
    slots: Vec<Slot>,
    ready: Arc<ReadyServers>,
    /// The list as last read, by `uid`. It replaces the pending changes of a shard that has missed too many.
    list: Mutex<HashMap<String, Server>>,
    /// Notified when the decision module of a shard wants the source to be polled.
    poll_requested: Notify,
}

/// Distributes the list of one source to all shards.
#[derive(Clone)]
pub(crate) struct RosterFanout(Arc<Shared>);

impl RosterFanout {
    pub(crate) fn new(shards: usize) -> RosterFanout {
        RosterFanout(Arc::new(Shared {
            slots: (0..shards).map(|_| Slot::default()).collect(),
            ready: Arc::default(),
            list: Mutex::default(),
            poll_requested: Notify::new(),
        }))
    }

    /// Sets the list with which all shards start.
    pub(crate) fn set_initial_list(&self, known: &Update) {
        let known = Update { whole: true, ..known.clone() };
        self.0.ready.update(&known);
        drop(self.record(&known));
    }

    /// Applies an update to the current list.
    fn record(&self, update: &Update) -> MutexGuard<'_, HashMap<String, Server>> {
        let mut list = self.0.list.lock().unwrap_or_else(PoisonError::into_inner);
        let mut merged = Pending { whole: true, servers: std::mem::take(&mut *list), ..Pending::default() };
        merged.add(update);
        *list = merged.servers;
        list
    }

    /// The roster of one shard.
    pub(crate) fn shard_roster(&self, shard: usize) -> ShardRoster {
        ShardRoster { shared: self.0.clone(), shard }
    }
}

impl UpdateSink for RosterFanout {
    /// Queues the update for all shards.
    fn update(&self, update: &Update, _kind: ListKind) {
        // All shards check `ready` before they send, so it is updated first.
        self.0.ready.update(update);
        let list = self.record(update);
        for slot in &self.0.slots {
            let mut pending = slot.pending.lock().unwrap_or_else(PoisonError::into_inner);
            pending.add(update);
            // Servers were added and removed while the shard was paused.
            if !pending.whole && pending.servers.len() > 2 * list.len() + 64 {
                (pending.whole, pending.servers) = (true, list.clone());
            }
            drop(pending);
            slot.changed_notify.notify_one();
        }
    }

    fn failed(&self) {
        for slot in &self.0.slots {
            slot.pending.lock().unwrap_or_else(PoisonError::into_inner).failed = true;
            slot.changed_notify.notify_one();
        }
    }

    fn lost(&self) {
        for slot in &self.0.slots {
            slot.pending.lock().unwrap_or_else(PoisonError::into_inner).lost = true;
            slot.changed_notify.notify_one();
        }
    }

    fn poll_due(&self) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(self.0.poll_requested.notified())
    }
}

/// The roster of one shard, fed by a [`RosterFanout`].
pub(crate) struct ShardRoster {
    shared: Arc<Shared>,
    shard: usize,
}

impl Roster for ShardRoster {
    fn run(self: Box<Self>, mut feed: Feed) -> RosterFuture {
        feed.set_ready_servers(self.shared.ready.clone());
        Box::pin(async move {
            let slot = &self.shared.slots[self.shard];
            loop {
                tokio::select! {
                    () = slot.changed_notify.notified() => {
                        let (update, failed, lost) =
                            slot.pending.lock().unwrap_or_else(PoisonError::into_inner).take();
                        if let Some(update) = update {
                            feed.update(&update);
                        }
                        if failed {
                            feed.failed();
                        } else if lost {
                            feed.lost();
                        }
                    }
                    () = feed.poll_due(), if feed.is_polled() => self.shared.poll_requested.notify_one(),
                }
            }
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn server(uid: &str, port: u16, state: ServerState) -> Server {
        Server::new(uid, ([127, 0, 0, 1], port).into()).with_state(state)
    }

    impl RosterFanout {
        fn send_current(&self, update: &Update) {
            self.update(update, ListKind::Current);
        }
    }

    fn pending(fanout: &RosterFanout, shard: usize) -> (Option<Update>, bool) {
        let (update, failed, _) = fanout.0.slots[shard].pending.lock().unwrap().take();
        let sorted = update.map(|mut update| {
            update.servers.sort_by(|a, b| a.uid.cmp(&b.uid));
            update
        });
        (sorted, failed)
    }

    #[test]
    fn missed_updates_are_merged() {
        use ServerState::*;
        let fanout = RosterFanout::new(2);
        fanout.set_initial_list(&Update::whole([server("a", 1, Ready)]));
        fanout.send_current(&Update {
            rev: 2,
            ..Update::changes([server("a", 1, Draining), server("b", 2, Ready)])
        });
        assert_eq!(pending(&fanout, 0).0.unwrap().servers, [server("a", 1, Draining), server("b", 2, Ready)]);
        fanout.send_current(&Update {
            rev: 3,
            ..Update::changes([server("a", 1, Gone), server("b", 3, Ready)])
        });
        fanout.failed();
        let (update, failed) = pending(&fanout, 1);
        let update = update.unwrap();
        assert_eq!((update.rev, update.whole, failed), (3, false, true));
        assert_eq!(update.servers, [server("a", 1, Gone), server("b", 3, Ready)]);
        fanout.send_current(&Update {
            rev: 4,
            ..Update::whole([server("b", 3, Ready), server("c", 4, Ready)])
        });
        fanout.send_current(&Update { rev: 5, ..Update::changes([server("c", 4, Gone)]) });
        let update = pending(&fanout, 0).0.unwrap();
        assert_eq!((update.rev, update.whole), (5, true));
        assert_eq!(update.servers, [server("b", 3, Ready)]);
        assert_eq!(pending(&fanout, 0), (None, false));
    }

    #[test]
    fn draining_takes_effect_before_shards_read_the_update() {
        use ServerState::*;
        let fanout = RosterFanout::new(2);
        let a = server("a", 1, Ready);
        fanout.set_initial_list(&Update::whole([a.clone()]));
        assert!(fanout.0.ready.contains(a.id(), a.endpoint));
        fanout.send_current(&Update::changes([server("a", 2, Ready)]));
        assert!(!fanout.0.ready.contains(a.id(), a.endpoint), "the server has another address");
        fanout.send_current(&Update::changes([server("a", 2, Draining)]));
        assert!(!fanout.0.ready.contains(a.id(), server("a", 2, Ready).endpoint));
    }

    #[test]
    fn pending_updates_of_a_paused_shard_are_bounded() {
        let fanout = RosterFanout::new(2);
        fanout.set_initial_list(&Update::whole([server("a", 1, ServerState::Ready)]));
        for rev in 0..10_000_u64 {
            let (old, new) = (format!("s-{}", rev), format!("s-{}", rev + 1));
            let gone = server(&old, 2, ServerState::Gone);
            fanout.send_current(&Update {
                rev,
                ..Update::changes([gone, server(&new, 2, ServerState::Ready)])
            });
        }
        let pending_count = fanout.0.slots[1].pending.lock().unwrap().servers.len();
        assert!(pending_count < 100, "{pending_count}");
        let update = pending(&fanout, 1).0.unwrap();
        assert!(update.whole);
        let names: Vec<&str> = update.servers.iter().map(|s| s.uid.as_str()).collect();
        assert_eq!(names, ["a", "s-10000"]);
    }
}
