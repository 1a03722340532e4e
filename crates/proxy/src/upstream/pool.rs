//! Idle connections by server, and the count of all.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use dunelink_routing::ServerHandle;
use tokio::time::Instant;

use super::connection::UpstreamConnection;

/// Idle connections that a server is left with in any case.
const IDLE_LEAST: usize = 2;
/// Part of this process's share of a server's connections that may rest.
const IDLE_PART: f64 = 0.75;
/// How long a server that answered with what belongs to no request is asked on new connections only.
const NO_REUSE: Duration = Duration::from_secs(10);

/// Connections to servers. They belong to an incarnation of a server, never to an address.
pub struct ConnectionPool {
    itself: Weak<ConnectionPool>,
    most: usize,
    open: Cell<usize>,
    nodes: Cell<u32>,
    bounds: RefCell<HashMap<String, u32>>,
    servers: RefCell<HashMap<ServerHandle, Server>>,
}

#[derive(Default)]
struct Server {
    open: usize,
    /// The most recently used last.
    #[expect(clippy::vec_box, reason = "each is a kilobyte that is passed from hand to hand")]
    idle: Vec<Box<UpstreamConnection>>,
    /// Counts what comes from it.
    heard: Rc<Cell<u64>>,
    /// Until then no connection to it is used twice.
    no_reuse_until: Option<Instant>,
}

impl Server {
    fn allows_reuse(&self, now: Instant) -> bool {
        self.no_reuse_until.is_none_or(|until| until <= now)
    }
}

/// A place in the count of open connections.
pub struct ConnectionPermit {
    pool: Weak<ConnectionPool>,
    server: ServerHandle,
    heard: Rc<Cell<u64>>,
}

impl ConnectionPermit {
    /// How much has come from the server, on all connections.
    pub(super) fn activity(&self) -> u64 {
        self.heard.get()
    }

    /// Something has come from the server.
    pub(super) fn record_activity(&self) {
        self.heard.set(self.heard.get() + 1);
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let Some(pool) = self.pool.upgrade() else { return };
        pool.open.set(pool.open.get() - 1);
        if let Ok(mut servers) = pool.servers.try_borrow_mut()
            && let Some(server) = servers.get_mut(&self.server)
        {
            server.open = server.open.saturating_sub(1);
        }
    }
}

impl ConnectionPool {
    /// A pool of at most `most` connections.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new_cyclic(|itself| Self {
            itself: itself.clone(),
            most,
            open: Cell::new(0),
            nodes: Cell::new(1),
            bounds: RefCell::default(),
            servers: RefCell::default(),
        })
    }

    /// Takes over how many connections a server of each service accepts from all processes together.
    pub fn set_connection_limits(&self, bounds: HashMap<String, u32>) {
        *self.bounds.borrow_mut() = bounds;
    }

    /// Says how many processes share the servers.
    pub fn set_node_count(&self, nodes: u32) {
        self.nodes.set(nodes.max(1));
    }

    /// Connections that are open.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// The connection to a server that rested least, if it can be used.
    pub fn take_idle(&self, server: ServerHandle) -> Option<Box<UpstreamConnection>> {
        let now = Instant::now();
        let mut stale = Vec::new();
        let mut servers = self.servers.borrow_mut();
        let idle = &mut servers.get_mut(&server)?.idle;
        let mut found = None;
        while let Some(link) = idle.pop() {
            if link.is_stale(now) {
                // Older ones are stale too, unless their server tells each connection another time.
                stale.push(link);
                continue;
            }
            found = Some(link);
            break;
        }
        drop(servers);
        drop(stale);
        found
    }

    /// A place for one more connection; nothing if there are too many.
    pub fn reserve(&self, server: ServerHandle) -> Option<ConnectionPermit> {
        if self.open.get() >= self.most && !self.evict() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        let mut servers = self.servers.borrow_mut();
        let of_server = servers.entry(server).or_default();
        of_server.open += 1;
        Some(ConnectionPermit { pool: self.itself.clone(), server, heard: of_server.heard.clone() })
    }

    /// Keeps a connection for another request to its server of a service.
    pub fn put_idle(&self, mut link: Box<UpstreamConnection>, service: &str) {
        let now = Instant::now();
        link.idle_since = now;
        let bound = self.idle_bound(service);
        let mut servers = self.servers.borrow_mut();
        let Some(server) = servers.get_mut(&link.server()) else { return drop_after(servers, link) };
        if server.idle.len() >= bound || !server.allows_reuse(now) {
            return drop_after(servers, link);
        }
        server.idle.push(link);
    }

    fn idle_bound(&self, service: &str) -> usize {
        let Some(&most) = self.bounds.borrow().get(service) else { return IDLE_LEAST };
        let share = f64::from(most) / f64::from(self.nodes.get()) * IDLE_PART;
        (share as usize).max(IDLE_LEAST)
    }

    /// Closes idle connections to servers of which `usable` says that nothing is to be sent to them.
    pub fn retain_usable(&self, usable: impl Fn(ServerHandle) -> bool) {
        let now = Instant::now();
        let mut dropped = Vec::new();
        let mut servers = self.servers.borrow_mut();
        for (_, server) in servers.iter_mut().filter(|(handle, _)| !usable(**handle)) {
            dropped.append(&mut server.idle);
        }
        drop_after(servers, dropped);
        self.forget_unused(now);
    }

    /// Closes the idle connections to a server that does not answer: each would cost a request its time.
    pub fn close_idle(&self, server: ServerHandle) {
        let mut servers = self.servers.borrow_mut();
        let idle = servers.get_mut(&server).map(|server| std::mem::take(&mut server.idle));
        drop_after(servers, idle);
    }

    /// A server answered with what belongs to no request: another such answer may be on its way on any connection that
    /// it has served, so for some time each request to it gets a connection of its own.
    pub fn suspend_reuse(&self, server: ServerHandle) {
        let mut servers = self.servers.borrow_mut();
        let of_server = servers.entry(server).or_default();
        of_server.no_reuse_until = Some(Instant::now() + NO_REUSE);
        let idle = std::mem::take(&mut of_server.idle);
        drop_after(servers, idle);
    }

    /// Closes connections that rested for too long.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut dropped = Vec::new();
        let mut servers = self.servers.borrow_mut();
        for server in servers.values_mut() {
            let mut at = 0;
            while at < server.idle.len() {
                if server.idle[at].is_stale(now) { dropped.push(server.idle.remove(at)) } else { at += 1 }
            }
        }
        drop_after(servers, dropped);
        self.forget_unused(now);
    }

    fn forget_unused(&self, now: Instant) {
        self.servers.borrow_mut().retain(|_, server| server.open > 0 || !server.allows_reuse(now));
    }

    /// Closes an idle connection; false if there is none.
    fn evict(&self) -> bool {
        let mut servers = self.servers.borrow_mut();
        let link = servers.values_mut().find_map(|server| server.idle.pop());
        let found = link.is_some();
        drop_after(servers, link);
        found
    }
}

/// Drops connections once the pool is not borrowed any more: each gives back its place.
fn drop_after<G, L>(servers: G, links: L) {
    drop(servers);
    drop(links);
}
