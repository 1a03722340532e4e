//! One listener for several shards: connections are accepted on a thread of their own and dealt out, each to the
//! shard that has fewest. One that stands still is passed over, and what it was dealt and has not taken is dealt
//! again: the kernel's own way (`SO_REUSEPORT`) would go on giving it its part, and lose what waits in its queue
//! when it ends.

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

use crate::listen::{LAST_LOOK, NO_SOCKETS, is_ready, out_of_sockets};

/// A shard that has not taken a connection for this long stands still.
const STILL: Duration = Duration::from_millis(50);

/// What was dealt to a shard and not taken yet.
#[derive(Default)]
struct Dealt {
    waiting: VecDeque<(Instant, TcpStream)>,
    still: bool,
}

/// One shard's place at the dealer's.
pub(crate) struct Seat {
    dealt: Mutex<Dealt>,
    /// Told when there is something to take, or to show that the shard lives.
    wake: Notify,
    /// Told when there is no room anywhere.
    room: Notify,
    /// Told when a connection of any shard has ended.
    freed: Arc<Notify>,
    /// Connections that it has, those that wait included.
    open: AtomicUsize,
    most: usize,
}

impl Seat {
    fn dealt(&self) -> MutexGuard<'_, Dealt> {
        self.dealt.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn give(&self, stream: TcpStream) {
        self.open.fetch_add(1, Ordering::Relaxed);
        self.dealt().waiting.push_back((Instant::now(), stream));
        self.wake.notify_one();
    }

    /// What was dealt, once there is some.
    pub(crate) async fn take(&self) -> Vec<TcpStream> {
        loop {
            let taken: Vec<TcpStream> = {
                let mut dealt = self.dealt();
                dealt.still = false;
                dealt.waiting.drain(..).map(|(_, stream)| stream).collect()
            };
            if !taken.is_empty() {
                return taken;
            }
            self.wake.notified().await;
        }
    }

    /// Waits until the dealer wants the shard to end a connection that it can spare.
    pub(crate) async fn room_wanted(&self) {
        self.room.notified().await;
    }

    /// A connection has ended.
    pub(crate) fn ended(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        self.freed.notify_one();
    }

    /// Takes back what a shard that stands still has not taken.
    fn take_back(&self, now: Instant) -> Vec<TcpStream> {
        let mut dealt = self.dealt();
        let late = |(since, _): &(Instant, TcpStream)| now.saturating_duration_since(*since) >= STILL;
        if !dealt.waiting.front().is_some_and(late) {
            return Vec::new();
        }
        dealt.still = true;
        let back: Vec<TcpStream> = dealt.waiting.drain(..).map(|(_, stream)| stream).collect();
        self.open.fetch_sub(back.len(), Ordering::Relaxed);
        // Once it runs again, it shows itself.
        self.wake.notify_one();
        back
    }

    fn load(&self) -> Load {
        Load { open: self.open.load(Ordering::Relaxed), most: self.most, still: self.dealt().still }
    }

    fn waits(&self) -> bool {
        !self.dealt().waiting.is_empty()
    }
}

/// What the dealer goes by.
#[derive(Clone, Copy, Debug)]
struct Load {
    open: usize,
    most: usize,
    still: bool,
}

/// The shard that has fewest connections and room; one that stands still only if all do.
fn choose(loads: &[Load]) -> Option<usize> {
    let has_room = |load: &Load| load.open < load.most;
    let fitting = loads.iter().enumerate().filter(|(_, load)| has_room(load));
    fitting.min_by_key(|(_, load)| (load.still, load.open)).map(|(at, _)| at)
}

/// Deals connections out.
pub(crate) struct Dealer {
    seats: Vec<Arc<Seat>>,
    freed: Arc<Notify>,
    node: Handle,
}

impl Dealer {
    /// A dealer for shards that may each have so many connections.
    pub(crate) fn new(most: impl IntoIterator<Item = usize>, node: Handle) -> Dealer {
        let freed = Arc::new(Notify::new());
        let seat = |most| {
            Arc::new(Seat {
                dealt: Mutex::default(),
                wake: Notify::new(),
                room: Notify::new(),
                freed: freed.clone(),
                open: AtomicUsize::new(0),
                most,
            })
        };
        Dealer { seats: most.into_iter().map(seat).collect(), freed, node }
    }

    pub(crate) fn seats(&self) -> &[Arc<Seat>] {
        &self.seats
    }

    /// Deals until `stop` is told, then what the kernel still has: that counts as taken. Where the listening socket is
    /// `shared`, it deals from when the node is ready, and what the kernel has is another process's in the end.
    pub(crate) async fn deal(
        self,
        listener: TcpListener,
        mut ready: JoinHandle<()>,
        stop: Arc<Notify>,
        shared: bool,
    ) {
        if shared && !is_ready(&mut ready, &stop).await {
            return;
        }
        let mut stopping = false;
        // Accepted, and not dealt.
        let mut hand: VecDeque<TcpStream> = VecDeque::new();
        loop {
            let now = Instant::now();
            hand.extend(self.seats.iter().flat_map(|seat| seat.take_back(now)));
            let loads: Vec<Load> = self.seats.iter().map(|seat| seat.load()).collect();
            let Some(at) = choose(&loads) else {
                // Beyond the budget connections wait in the kernel: to accept and drop one would lose a request.
                self.seats.iter().for_each(|seat| seat.room.notify_one());
                let _ = timeout(NO_SOCKETS, self.freed.notified()).await;
                continue;
            };
            if let Some(stream) = hand.pop_front() {
                self.seats[at].give(stream);
                continue;
            }
            let waits = self.seats.iter().any(|seat| seat.waits());
            let accepted = tokio::select! {
                biased;
                () = stop.notified(), if shared && !stopping => {
                    stopping = true;
                    continue;
                }
                accepted = listener.accept(), if !(shared && stopping) => accepted,
                () = sleep(if waits { STILL } else { LAST_LOOK }), if stopping || waits => {
                    if stopping && !waits {
                        return;
                    }
                    continue;
                }
                () = stop.notified(), if !stopping => {
                    stopping = true;
                    continue;
                }
            };
            // A socket that can't leave this thread's reactor is as good as none.
            match accepted.and_then(|(stream, _)| stream.into_std()) {
                Ok(stream) => hand.push_back(stream),
                Err(error) => {
                    if out_of_sockets(&error) {
                        self.seats.iter().for_each(|seat| seat.room.notify_one());
                        self.node.close_idle_connection();
                    }
                    sleep(NO_SOCKETS).await;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// One shard takes what it is dealt, the other stands still: all connections are taken all the same, and once
    /// it goes on it gets its part again.
    #[tokio::test(flavor = "current_thread")]
    async fn what_a_shard_that_stands_still_was_dealt_is_dealt_again() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let config = dunelink::config::Class::new("view", dunelink::config::Effect::Safe, STILL);
        let node = dunelink::Node::builder(dunelink::Config { classes: vec![config], ..Default::default() });
        let node = node.start().unwrap();
        let dealer = Dealer::new([10, 100], node.handle().clone());
        let seats = dealer.seats().to_vec();
        let stop = Arc::new(Notify::new());
        let dealing = tokio::spawn(dealer.deal(listener, tokio::spawn(async {}), stop.clone(), false));
        let clients: Vec<TcpStream> = (0..30).map(|_| TcpStream::connect(address).unwrap()).collect();
        let mut taken = Vec::new();
        while taken.len() < clients.len() {
            taken.extend(seats[1].take().await);
        }
        assert!(seats[0].load().still && !seats[0].waits());
        let mine = seats[0].clone();
        let first = tokio::spawn(async move { mine.take().await });
        while seats[0].load().still {
            tokio::task::yield_now().await;
        }
        let _late = TcpStream::connect(address).unwrap();
        assert_eq!(first.await.unwrap().len(), 1, "it has the fewest");
        // Told to stop, it deals what the kernel has and ends.
        stop.notify_one();
        let _last = TcpStream::connect(address).unwrap();
        assert_eq!(seats[0].take().await.len(), 1);
        dealing.await.unwrap();
    }

    #[test]
    fn the_shard_with_fewest_gets_the_next_and_one_that_stands_still_the_last() {
        let load = |open, still| Load { open, most: 4, still };
        assert_eq!(choose(&[load(2, false), load(1, false), load(3, false)]), Some(1));
        assert_eq!(choose(&[load(2, false), load(0, true)]), Some(0));
        assert_eq!(choose(&[load(4, false), load(0, true)]), Some(1));
        assert_eq!(choose(&[load(4, false), load(4, false)]), None);
    }
}
