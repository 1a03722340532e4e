//! Accepts client connections and keeps track of them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connection::{ClientConnection, serve};
use crate::node::Node;

/// Delay after a failed `accept`, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval between checks for expired connections.
pub const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// An idle client connection is closed after this multiple of the configured idle timeout. Clients stop
/// reusing a connection before that timeout, so a request does not cross the close.
const IDLE_TIMEOUT_FACTOR: f64 = 1.1;

/// Polls a future once and returns its output if it is ready.
async fn poll_once<F: Future>(future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    poll_fn(|cx| match future.as_mut().poll(cx) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}

/// The open client connections.
pub struct ClientConnections {
    node: Rc<Node>,
    next_id: RefCell<u64>,
    connections: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    connection_closed: Notify,
    /// Connections that were accepted while the listener was being closed.
    accepted_at_close: Cell<usize>,
    /// Notified when accepting is to stop.
    stop_requested: Notify,
    /// Notified once the listener is closed.
    listener_closed: Notify,
}

impl ClientConnections {
    /// Creates an empty set of connections.
    pub fn new(node: Rc<Node>) -> Rc<Self> {
        Rc::new(Self {
            node,
            next_id: RefCell::default(),
            connections: RefCell::default(),
            connection_closed: Notify::new(),
            accepted_at_close: Cell::new(0),
            stop_requested: Notify::new(),
            listener_closed: Notify::new(),
        })
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Accepts connections until [`Self::stop_accepting`] is called, then closes the listener.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        tokio::select! {
            () = self.accept_loop(&listener) => {}
            () = self.stop_requested.notified() => {}
        }
        while let Some(Ok((stream, _))) = poll_once(listener.accept()).await {
            self.clone().spawn_connection(stream);
            self.accepted_at_close.set(self.accepted_at_close.get() + 1);
        }
        drop(listener);
        self.listener_closed.notify_one();
    }

    /// Accepts the connections that the kernel has queued and closes the listener. Returns how many
    /// connections were queued.
    pub async fn stop_accepting(&self) -> usize {
        self.stop_requested.notify_one();
        self.listener_closed.notified().await;
        self.accepted_at_close.get()
    }

    async fn accept_loop(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            while self.count() >= self.node.max_client_connections() {
                self.close_longest_idle();
                // A notification that is missed here is noticed after the delay.
                let _ = tokio::time::timeout(ACCEPT_RETRY_DELAY, self.connection_closed.notified()).await;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.clone().spawn_connection(stream),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    fn spawn_connection(self: Rc<Self>, stream: TcpStream) {
        // Without `TCP_NODELAY`, responses are delayed but correct.
        let _ = stream.set_nodelay(true);
        let id = self.next_id.replace_with(|next_id| *next_id + 1);
        let connection = ClientConnection::new(self.node.max_head_bytes());
        self.connections.borrow_mut().insert(id, connection.clone());
        tokio::task::spawn_local(async move {
            serve(self.node.clone(), connection, stream).await;
            self.connections.borrow_mut().remove(&id);
            self.connection_closed.notify_one();
        });
    }

    /// Closes the connection that has been idle for the longest time.
    fn close_longest_idle(&self) {
        let connections = self.connections.borrow();
        let idle = connections.values().filter_map(|connection| Some((connection.idle_since()?, connection)));
        if let Some((_, connection)) = idle.min_by_key(|(since, _)| *since) {
            connection.close_when_idle();
        }
    }

    /// Closes connections that have been idle for at least `idle_timeout` without a part of a next request.
    pub fn close_idle(&self, idle_timeout: Duration) {
        let now = Instant::now();
        self.connections.borrow().values().for_each(|connection| connection.close_if_idle(now, idle_timeout));
    }

    /// Closes connections to clients and servers that exceed their timeouts, for as long as the future is
    /// polled.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.node.pool.close_expired();
            self.node.log_released_bodies();
            let limits = self.node.configuration().map(|configuration| configuration.fleet.limits.clone());
            let limits = limits.unwrap_or_default();
            let idle_timeout = Duration::from_millis(limits.idle_timeout_ms).mul_f64(IDLE_TIMEOUT_FACTOR);
            let header_timeout = Duration::from_millis(limits.header_timeout_ms);
            let now = Instant::now();
            for connection in self.connections.borrow().values() {
                connection.enforce_timeouts(now, idle_timeout, header_timeout);
            }
        }
    }
}
