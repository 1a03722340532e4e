//! One listener for several shards: connections are accepted on a separate thread and dispatched, each to the
//! shard with the fewest. A stalled shard is passed over, and connections that it has not taken are
//! dispatched again. If the kernel distributed them (`SO_REUSEPORT`), a stalled shard would still get its
//! part of the connections, and those waiting in its queue would be lost when it ends.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use dunelink::Handle;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::listen::{ACCEPT_DRAIN_TIMEOUT, ACCEPT_RETRY_DELAY, out_of_descriptors, wait_until_ready};

/// A shard that has not taken a connection for this long counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(50);

/// Connections that were dispatched to a shard and that it has not taken yet, with the time of their
/// dispatch.
#[derive(Default)]
struct PendingConnections {
    connections: VecDeque<(Instant, TcpStream)>,
    stalled: bool,
}

/// The queue of connections from the dispatcher to one shard.
pub(crate) struct ShardQueue {
    pending: Mutex<PendingConnections>,
    /// Notified when there is a connection to take, and when a stalled shard has to show that it runs again.
    wake: Notify,
    /// Notified when no shard has room for another connection.
    room_requested: Notify,
    /// Notified when a connection of any shard has ended.
    freed: Arc<Notify>,
    /// Number of the shard's connections, including those that it has not taken yet.
    open: AtomicUsize,
    /// Maximum number of the shard's connections.
    limit: usize,
}

impl ShardQueue {
    fn pending(&self) -> MutexGuard<'_, PendingConnections> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, stream: TcpStream) {
        self.open.fetch_add(1, Ordering::Relaxed);
        self.pending().connections.push_back((Instant::now(), stream));
        self.wake.notify_one();
    }

    /// Waits until connections were dispatched to the shard, and takes them all.
    pub(crate) async fn take(&self) -> Vec<TcpStream> {
        loop {
            let taken: Vec<TcpStream> = {
                let mut pending = self.pending();
                pending.stalled = false;
                pending.connections.drain(..).map(|(_, stream)| stream).collect()
            };
            if !taken.is_empty() {
                return taken;
            }
            self.wake.notified().await;
        }
    }

    /// Waits until the dispatcher asks the shard to close an idle connection.
    pub(crate) async fn room_requested(&self) {
        self.room_requested.notified().await;
    }

    /// Reports that a connection has ended.
    pub(crate) fn connection_ended(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        self.freed.notify_one();
    }

    /// Takes back the connections that a stalled shard has not taken.
    fn take_back(&self, now: Instant) -> Vec<TcpStream> {
        let mut pending = self.pending();
        let overdue =
            |(since, _): &(Instant, TcpStream)| now.saturating_duration_since(*since) >= STALL_THRESHOLD;
        if !pending.connections.front().is_some_and(overdue) {
            return Vec::new();
        }
        pending.stalled = true;
        let returned: Vec<TcpStream> = pending.connections.drain(..).map(|(_, stream)| stream).collect();
        self.open.fetch_sub(returned.len(), Ordering::Relaxed);
        // This wakes the shard once it runs again; it is then no longer marked as stalled.
        self.wake.notify_one();
        returned
    }

    fn load(&self) -> Load {
        Load { open: self.open.load(Ordering::Relaxed), limit: self.limit, stalled: self.pending().stalled }
    }

    fn has_pending(&self) -> bool {
        !self.pending().connections.is_empty()
    }
}

/// What the choice of a shard is based on.
#[derive(Clone, Copy, Debug)]
struct Load {
    open: usize,
    limit: usize,
    stalled: bool,
}

/// The index of the shard with the fewest connections among those with room; of a stalled one only if all of
/// these are.
fn choose_shard(loads: &[Load]) -> Option<usize> {
    let has_room = |load: &Load| load.open < load.limit;
    let candidates = loads.iter().enumerate().filter(|(_, load)| has_room(load));
    candidates.min_by_key(|(_, load)| (load.stalled, load.open)).map(|(index, _)| index)
}

/// Accepts connections and dispatches them to the shards.
pub(crate) struct Dispatcher {
    queues: Vec<Arc<ShardQueue>>,
    freed: Arc<Notify>,
    node: Handle,
}

impl Dispatcher {
    /// Creates a dispatcher for shards that may each have so many connections.
    pub(crate) fn new(limit: impl IntoIterator<Item = usize>, node: Handle) -> Dispatcher {
        let freed = Arc::new(Notify::new());
        let queue = |limit| {
            Arc::new(ShardQueue {
                pending: Mutex::default(),
                wake: Notify::new(),
                room_requested: Notify::new(),
                freed: freed.clone(),
                open: AtomicUsize::new(0),
                limit,
            })
        };
        Dispatcher { queues: limit.into_iter().map(queue).collect(), freed, node }
    }

    pub(crate) fn queues(&self) -> &[Arc<ShardQueue>] {
        &self.queues
    }

    /// Dispatches connections until `stop` is notified, then those that are still in the kernel's queue,
    /// which count as accepted. If the listening socket is `shared`, it starts when the node is ready, and in
    /// the end leaves the connections in the kernel's queue to another process.
    pub(crate) async fn dispatch(
        self,
        listener: TcpListener,
        mut ready: JoinHandle<()>,
        stop: Arc<Notify>,
        shared: bool,
    ) {
        if shared && !wait_until_ready(&mut ready, &stop).await {
            return;
        }
        let mut stopping = false;
        // Accepted, but not dispatched yet.
        let mut undispatched: VecDeque<TcpStream> = VecDeque::new();
        loop {
            let now = Instant::now();
            undispatched.extend(self.queues.iter().flat_map(|queue| queue.take_back(now)));
            let loads: Vec<Load> = self.queues.iter().map(|queue| queue.load()).collect();
            let Some(index) = choose_shard(&loads) else {
                // Connections beyond the limit wait in the kernel: to accept and drop one would lose a
                // request.
                self.queues.iter().for_each(|queue| queue.room_requested.notify_one());
                let _ = timeout(ACCEPT_RETRY_DELAY, self.freed.notified()).await;
                continue;
            };
            if let Some(stream) = undispatched.pop_front() {
                self.queues[index].push(stream);
                continue;
            }
            let has_pending = self.queues.iter().any(|queue| queue.has_pending());
            let accepted = tokio::select! {
                biased;
                () = stop.notified(), if shared && !stopping => {
                    stopping = true;
                    continue;
                }
                accepted = listener.accept(), if !(shared && stopping) => accepted,
                () = sleep(if has_pending { STALL_THRESHOLD } else { ACCEPT_DRAIN_TIMEOUT }),
                    if stopping || has_pending =>
                {
                    if stopping && !has_pending {
                        return;
                    }
                    continue;
                }
                () = stop.notified(), if !stopping => {
                    stopping = true;
                    continue;
                }
            };
            // A socket that can't be removed from this thread's reactor is treated like a failure to accept.
            match accepted.and_then(|(stream, _)| stream.into_std()) {
                Ok(stream) => undispatched.push_back(stream),
                Err(error) => {
                    if out_of_descriptors(&error) {
                        self.queues.iter().for_each(|queue| queue.room_requested.notify_one());
                        self.node.close_idle_connection();
                    }
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// One shard takes its connections while the other is stalled: all connections are taken nevertheless,
    /// and once the stalled shard resumes, it gets its part again.
    #[tokio::test(flavor = "current_thread")]
    async fn connections_of_stalled_shard_are_dispatched_again() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let config = dunelink::config::Class::new("view", dunelink::config::Effect::Safe, STALL_THRESHOLD);
        let node = dunelink::Node::builder(dunelink::Config { classes: vec![config], ..Default::default() });
        let node = node.start().unwrap();
        let dispatcher = Dispatcher::new([10, 100], node.handle().clone());
        let queues = dispatcher.queues().to_vec();
        let stop = Arc::new(Notify::new());
        let dispatching =
            tokio::spawn(dispatcher.dispatch(listener, tokio::spawn(async {}), stop.clone(), false));
        let clients: Vec<TcpStream> = (0..30).map(|_| TcpStream::connect(address).unwrap()).collect();
        let mut taken = Vec::new();
        while taken.len() < clients.len() {
            taken.extend(queues[1].take().await);
        }
        assert!(queues[0].load().stalled && !queues[0].has_pending());
        let stalled_queue = queues[0].clone();
        let first = tokio::spawn(async move { stalled_queue.take().await });
        while queues[0].load().stalled {
            tokio::task::yield_now().await;
        }
        let _late = TcpStream::connect(address).unwrap();
        assert_eq!(first.await.unwrap().len(), 1, "the resumed shard has the fewest connections");
        // When it is told to stop, it dispatches what is in the kernel's queue and ends.
        stop.notify_one();
        let _last = TcpStream::connect(address).unwrap();
        assert_eq!(queues[0].take().await.len(), 1);
        dispatching.await.unwrap();
    }

    #[test]
    fn least_loaded_shard_is_chosen_and_stalled_last() {
        let load = |open, stalled| Load { open, limit: 4, stalled };
        assert_eq!(choose_shard(&[load(2, false), load(1, false), load(3, false)]), Some(1));
        assert_eq!(choose_shard(&[load(2, false), load(0, true)]), Some(0));
        assert_eq!(choose_shard(&[load(4, false), load(0, true)]), Some(1));
        assert_eq!(choose_shard(&[load(4, false), load(4, false)]), None);
    }
}
