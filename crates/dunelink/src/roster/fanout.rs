//! One reader of a list for several shards. What a shard has not taken in yet is merged, so that one which stands
//! still holds up nobody and holds no more than the fleet; and before anything is sent, each shard looks up whether
//! the list, as it was last *read*, still has the server: what drains is heeded by all shards at once.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use cherryusher::ServerId;
use tokio::sync::Notify;

use super::{Feed, ListKind, Roster, RosterFuture, UpdateSink};
use crate::entries::{Server, ServerState, Update};

/// Servers that take requests by the list as it was last read, and where.
#[derive(Default)]
pub(crate) struct ReadyServers(RwLock<HashMap<ServerId, SocketAddr>>);

impl ReadyServers {
    /// Whether this server is to be sent anything new at this address.
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

/// What one shard has still to hear of.
#[derive(Default)]
struct Pending {
    whole: bool,
    changed: bool,
    failed: bool,
    lost: bool,
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
        (self.changed, self.rev) = (true, update.rev);
        for server in &update.servers {
            // In a whole list, what is gone need not be told.
            if self.whole && server.state == ServerState::Gone {
                self.servers.remove(&server.uid);
            } else {
                self.servers.insert(server.uid.clone(), server.clone());
            }
        }
    }

    /// What there is to tell, whether the source failed, and whether it is not heard.
    fn take(&mut self) -> (Option<Update>, bool, bool) {
        let taken = std::mem::take(self);
        let servers = taken.servers.into_values().collect();
        let update = taken.changed.then_some(Update { rev: taken.rev, whole: taken.whole, servers });
        (update, taken.failed, taken.lost)
    }
}

#[derive(Default)]
struct Slot {
    pending: Mutex<Pending>,
    news: Notify,
}

struct Inner {
    slots: Vec<Slot>,
    ready: Arc<ReadyServers>,
    /// The list as it was last read, by name: what a shard is told anew when it has missed too much.
    list: Mutex<HashMap<String, Server>>,
    /// Told when a shard's decision module wants the source to be asked.
    wanted: Notify,
}

/// Where a source's list is dealt out.
#[derive(Clone)]
pub(crate) struct RosterFanout(Arc<Inner>);

impl RosterFanout {
    pub(crate) fn new(shards: usize) -> RosterFanout {
        RosterFanout(Arc::new(Inner {
            slots: (0..shards).map(|_| Slot::default()).collect(),
            ready: Arc::default(),
            list: Mutex::default(),
            wanted: Notify::new(),
        }))
    }

    /// The list that all shards start with.
    pub(crate) fn set_initial_list(&self, known: &Update) {
        let known = Update { whole: true, ..known.clone() };
        self.0.ready.update(&known);
        drop(self.note(&known));
    }

    /// Keeps the list as it is now.
    fn note(&self, update: &Update) -> MutexGuard<'_, HashMap<String, Server>> {
        let mut list = self.0.list.lock().unwrap_or_else(PoisonError::into_inner);
        let mut whole = Pending { whole: true, servers: std::mem::take(&mut *list), ..Pending::default() };
        whole.add(update);
        *list = whole.servers;
        list
    }

    /// The roster of one shard.
    pub(crate) fn shard_roster(&self, shard: usize) -> ShardRoster {
        ShardRoster { hub: self.0.clone(), shard }
    }
}

impl UpdateSink for RosterFanout {
    /// For all shards.
    fn update(&self, update: &Update, _kind: ListKind) {
        // First what all go by before they send.
        self.0.ready.update(update);
        let list = self.note(update);
        for slot in &self.0.slots {
            let mut pending = slot.pending.lock().unwrap_or_else(PoisonError::into_inner);
            pending.add(update);
            // Names that came and went while the shard stood still.
            if !pending.whole && pending.servers.len() > 2 * list.len() + 64 {
                (pending.whole, pending.servers) = (true, list.clone());
            }
            drop(pending);
            slot.news.notify_one();
        }
    }

    fn failed(&self) {
        for slot in &self.0.slots {
            slot.pending.lock().unwrap_or_else(PoisonError::into_inner).failed = true;
            slot.news.notify_one();
        }
    }

    fn lost(&self) {
        for slot in &self.0.slots {
            slot.pending.lock().unwrap_or_else(PoisonError::into_inner).lost = true;
            slot.news.notify_one();
        }
    }

    fn poll_due(&self) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(self.0.wanted.notified())
    }
}

/// A shard's end of a [`RosterFanout`].
pub(crate) struct ShardRoster {
    hub: Arc<Inner>,
    shard: usize,
}

impl Roster for ShardRoster {
    fn run(self: Box<Self>, mut feed: Feed) -> RosterFuture {
        feed.set_ready_servers(self.hub.ready.clone());
        Box::pin(async move {
            let slot = &self.hub.slots[self.shard];
            loop {
                tokio::select! {
                    () = slot.news.notified() => {
                        let (update, failed, lost) = slot.pending.lock().unwrap_or_else(PoisonError::into_inner).take();
                        if let Some(update) = update {
                            feed.update(&update);
                        }
                        if failed {
                            feed.failed();
                        } else if lost {
                            feed.lost();
                        }
                    }
                    () = feed.poll_due(), if feed.is_polled() => self.hub.wanted.notify_one(),
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
        fn tell(&self, update: &Update) {
            self.update(update, ListKind::Current);
        }
    }

    fn pending(hub: &RosterFanout, shard: usize) -> (Option<Update>, bool) {
        let (update, failed, _) = hub.0.slots[shard].pending.lock().unwrap().take();
        let sorted = update.map(|mut update| {
            update.servers.sort_by(|a, b| a.uid.cmp(&b.uid));
            update
        });
        (sorted, failed)
    }

    #[test]
    fn what_a_shard_has_missed_is_merged_to_what_it_would_have_come_to() {
        use ServerState::*;
        let hub = RosterFanout::new(2);
        hub.set_initial_list(&Update::whole([server("a", 1, Ready)]));
        hub.tell(&Update { rev: 2, ..Update::changes([server("a", 1, Draining), server("b", 2, Ready)]) });
        assert_eq!(pending(&hub, 0).0.unwrap().servers, [server("a", 1, Draining), server("b", 2, Ready)]);
        hub.tell(&Update { rev: 3, ..Update::changes([server("a", 1, Gone), server("b", 3, Ready)]) });
        hub.failed();
        let (update, failed) = pending(&hub, 1);
        let update = update.unwrap();
        assert_eq!((update.rev, update.whole, failed), (3, false, true));
        assert_eq!(update.servers, [server("a", 1, Gone), server("b", 3, Ready)]);
        hub.tell(&Update { rev: 4, ..Update::whole([server("b", 3, Ready), server("c", 4, Ready)]) });
        hub.tell(&Update { rev: 5, ..Update::changes([server("c", 4, Gone)]) });
        let update = pending(&hub, 0).0.unwrap();
        assert_eq!((update.rev, update.whole), (5, true));
        assert_eq!(update.servers, [server("b", 3, Ready)]);
        assert_eq!(pending(&hub, 0), (None, false));
    }

    #[test]
    fn what_drains_is_known_to_all_before_they_have_heard() {
        use ServerState::*;
        let hub = RosterFanout::new(2);
        let a = server("a", 1, Ready);
        hub.set_initial_list(&Update::whole([a.clone()]));
        assert!(hub.0.ready.contains(a.id(), a.endpoint));
        hub.tell(&Update::changes([server("a", 2, Ready)]));
        assert!(!hub.0.ready.contains(a.id(), a.endpoint), "it has moved");
        hub.tell(&Update::changes([server("a", 2, Draining)]));
        assert!(!hub.0.ready.contains(a.id(), server("a", 2, Ready).endpoint));
    }

    #[test]
    fn a_shard_that_stands_still_holds_no_more_than_the_fleet() {
        let hub = RosterFanout::new(2);
        hub.set_initial_list(&Update::whole([server("a", 1, ServerState::Ready)]));
        for rev in 0..10_000_u64 {
            let (old, new) = (format!("s-{}", rev), format!("s-{}", rev + 1));
            let gone = server(&old, 2, ServerState::Gone);
            hub.tell(&Update { rev, ..Update::changes([gone, server(&new, 2, ServerState::Ready)]) });
        }
        let held = hub.0.slots[1].pending.lock().unwrap().servers.len();
        assert!(held < 100, "{held}");
        let update = pending(&hub, 1).0.unwrap();
        assert!(update.whole);
        let names: Vec<&str> = update.servers.iter().map(|s| s.uid.as_str()).collect();
        assert_eq!(names, ["a", "s-10000"]);
    }
}
