//! Pool of idle connections per server, with a limit on all open connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use dunelink_routing::ServerHandle;
use tokio::time::Instant;

use super::connection::UpstreamConnection;

/// Minimum number of idle connections that may be kept per server.
const MIN_IDLE_PER_SERVER: usize = 2;
/// Share of this process's part of a server's connection limit that may be idle.
const IDLE_FRACTION: f64 = 0.75;
/// Time during which connections to a server are not reused after it sent a response that belongs to no
/// request.
const REUSE_SUSPENSION: Duration = Duration::from_secs(10);

/// Pool of connections to servers. A connection belongs to one incarnation of a server, not to an address.
pub struct ConnectionPool {
    weak_self: Weak<ConnectionPool>,
    max_open: usize,
    open: Cell<usize>,
    node_count: Cell<u32>,
    connection_limits: RefCell<HashMap<String, u32>>,
    servers: RefCell<HashMap<ServerHandle, ServerConnections>>,
}

#[derive(Default)]
struct ServerConnections {
    open: usize,
    /// Idle connections, the most recently used last.
    #[expect(clippy::vec_box, reason = "a connection is about a kilobyte and is moved often")]
    idle: Vec<Box<UpstreamConnection>>,
    /// Counts data arrivals from the server on all connections.
    activity: Rc<Cell<u64>>,
    /// Time until which connections to the server are not reused; `None` if they are.
    no_reuse_until: Option<Instant>,
}

impl ServerConnections {
    fn allows_reuse(&self, now: Instant) -> bool {
        self.no_reuse_until.is_none_or(|until| until <= now)
    }
}

/// Counts one open connection in the pool until it is dropped.
pub struct ConnectionPermit {
    pool: Weak<ConnectionPool>,
    server: ServerHandle,
    activity: Rc<Cell<u64>>,
}

impl ConnectionPermit {
    /// Returns a counter that increases whenever data arrives from the server on any connection.
    pub(super) fn activity(&self) -> u64 {
        self.activity.get()
    }

    /// Records that data has arrived from the server.
    pub(super) fn record_activity(&self) {
        self.activity.set(self.activity.get() + 1);
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
    /// Creates a pool of at most `max_open` open connections.
    pub fn new(max_open: usize) -> Rc<Self> {
        Rc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            max_open,
            open: Cell::new(0),
            node_count: Cell::new(1),
            connection_limits: RefCell::default(),
            servers: RefCell::default(),
        })
    }

    /// Sets, per service, how many connections one server accepts from all proxies together.
    pub fn set_connection_limits(&self, connection_limits: HashMap<String, u32>) {
        *self.connection_limits.borrow_mut() = connection_limits;
    }

    /// Sets the number of proxies that share the servers.
    pub fn set_node_count(&self, node_count: u32) {
        self.node_count.set(node_count.max(1));
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Takes the most recently used idle connection to a server that is not stale.
    pub fn take_idle(&self, server: ServerHandle) -> Option<Box<UpstreamConnection>> {
        let now = Instant::now();
        let mut stale = Vec::new();
        let mut servers = self.servers.borrow_mut();
        let idle = &mut servers.get_mut(&server)?.idle;
        let mut found = None;
        while let Some(connection) = idle.pop() {
            if connection.is_stale(now) {
                // Older ones are stale too, unless the server states a different timeout per connection.
                stale.push(connection);
                continue;
            }
            found = Some(connection);
            break;
        }
        drop(servers);
        drop(stale);
        found
    }

    /// Reserves a slot for one more connection. `None` if the limit is reached and no idle connection can be
    /// closed.
    pub fn reserve(&self, server: ServerHandle) -> Option<ConnectionPermit> {
        if self.open.get() >= self.max_open && !self.evict_idle() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        let mut servers = self.servers.borrow_mut();
        let connections = servers.entry(server).or_default();
        connections.open += 1;
        Some(ConnectionPermit {
            pool: self.weak_self.clone(),
            server,
            activity: connections.activity.clone(),
        })
    }

    /// Keeps a connection for later requests to its server, which belongs to `service`.
    pub fn put_idle(&self, mut connection: Box<UpstreamConnection>, service: &str) {
        let now = Instant::now();
        connection.idle_since = now;
        let max_idle = self.max_idle(service);
        let mut servers = self.servers.borrow_mut();
        let Some(server) = servers.get_mut(&connection.server()) else {
            return drop_after_release(servers, connection);
        };
        if server.idle.len() >= max_idle || !server.allows_reuse(now) {
            return drop_after_release(servers, connection);
        }
        server.idle.push(connection);
    }

    fn max_idle(&self, service: &str) -> usize {
        let Some(&limit) = self.connection_limits.borrow().get(service) else { return MIN_IDLE_PER_SERVER };
        let share = f64::from(limit) / f64::from(self.node_count.get()) * IDLE_FRACTION;
        (share as usize).max(MIN_IDLE_PER_SERVER)
    }

    /// Closes idle connections to servers for which `usable` returns false.
    pub fn retain_usable(&self, usable: impl Fn(ServerHandle) -> bool) {
        let now = Instant::now();
        let mut dropped = Vec::new();
        let mut servers = self.servers.borrow_mut();
        for (_, server) in servers.iter_mut().filter(|(handle, _)| !usable(**handle)) {
            dropped.append(&mut server.idle);
        }
        drop_after_release(servers, dropped);
        self.remove_unused(now);
    }

    /// Closes the idle connections to a server that does not answer: each would cost a request its timeout.
    pub fn close_idle(&self, server: ServerHandle) {
        let mut servers = self.servers.borrow_mut();
        let idle = servers.get_mut(&server).map(|server| std::mem::take(&mut server.idle));
        drop_after_release(servers, idle);
    }

    /// Stops the reuse of connections to a server that sent a response that belongs to no request. Another
    /// such response may be in transit on any used connection, so for some time each request to the server
    /// gets a new connection.
    pub fn suspend_reuse(&self, server: ServerHandle) {
        let mut servers = self.servers.borrow_mut();
        let connections = servers.entry(server).or_default();
        connections.no_reuse_until = Some(Instant::now() + REUSE_SUSPENSION);
        let idle = std::mem::take(&mut connections.idle);
        drop_after_release(servers, idle);
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut dropped = Vec::new();
        let mut servers = self.servers.borrow_mut();
        for server in servers.values_mut() {
            let mut index = 0;
            while index < server.idle.len() {
                if server.idle[index].is_stale(now) {
                    dropped.push(server.idle.remove(index))
                } else {
                    index += 1
                }
            }
        }
        drop_after_release(servers, dropped);
        self.remove_unused(now);
    }

    fn remove_unused(&self, now: Instant) {
        self.servers.borrow_mut().retain(|_, server| server.open > 0 || !server.allows_reuse(now));
    }

    /// Closes one idle connection; false if there is none.
    fn evict_idle(&self) -> bool {
        let mut servers = self.servers.borrow_mut();
        let connection = servers.values_mut().find_map(|server| server.idle.pop());
        let found = connection.is_some();
        drop_after_release(servers, connection);
        found
    }
}

/// Drops connections after releasing the pool's borrow: dropping a connection returns its slot to the pool.
fn drop_after_release<G, L>(servers: G, connections: L) {
    drop(servers);
    drop(connections);
}
