//! Several shards: a thread for each, with its engine and the clients that it was dealt.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use dunelink::{Handle, Shard};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::timeout;

use crate::clients::Clients;
use crate::dealer::{Dealer, Seat};
use crate::listen::LAST_ANSWERS;

/// How far the end has come, for all shards as one.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
enum Stage {
    Serving,
    /// Each answer ends its connection.
    Leaving,
    /// Connections end as soon as they have no request open.
    Closing,
    /// The engines have answered everything.
    Answered,
}

/// The shards of a node, at work.
pub(crate) struct Shards {
    stage: watch::Sender<Stage>,
    stop: Arc<Notify>,
    dealing: JoinHandle<()>,
    /// Told by each shard: its connections have ended; it is over.
    closed: Vec<oneshot::Receiver<()>>,
    over: Vec<oneshot::Receiver<()>>,
}

impl Shards {
    /// Starts a thread for each, and deals out what the listener accepts.
    pub(crate) fn start(
        shards: Vec<Shard>,
        node: &Handle,
        listener: TcpListener,
        ready: JoinHandle<()>,
        shared: bool,
    ) -> anyhow::Result<Shards> {
        let most = shards.iter().map(|shard| Clients::most(shard.config()));
        let dealer = Dealer::new(most, node.clone());
        let (stage, stages) = watch::channel(Stage::Serving);
        let (mut closed, mut over) = (Vec::new(), Vec::new());
        for (number, (shard, seat)) in shards.into_iter().zip(dealer.seats()).enumerate() {
            let (tell_closed, is_closed) = oneshot::channel();
            let (tell_over, is_over) = oneshot::channel();
            let (seat, node, stages) = (seat.clone(), node.clone(), stages.clone());
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            std::thread::Builder::new()
                .name(format!("shard {number}"))
                .spawn(move || {
                    LocalSet::new().block_on(&runtime, run(shard, node, seat, stages, tell_closed));
                    let _ = tell_over.send(());
                })
                .context("no thread for a shard")?;
            closed.push(is_closed);
            over.push(is_over);
        }
        let stop = Arc::new(Notify::new());
        let dealing = spawn_local(dealer.deal(listener, ready, stop.clone(), shared));
        Ok(Shards { stage, stop, dealing, closed, over })
    }

    /// From now on each answer ends its connection.
    pub(crate) fn leave(&self) {
        self.stage.send_replace(Stage::Leaving);
    }

    /// Accepts what the kernel has, and no more.
    pub(crate) async fn stop(&mut self) {
        self.stop.notify_one();
        let _ = timeout(LAST_ANSWERS, &mut self.dealing).await;
    }

    /// Ends connections as soon as they have no request open, and waits for that.
    pub(crate) async fn close(&mut self, wait: Duration) {
        self.stage.send_replace(Stage::Closing);
        let all = async {
            for closed in &mut self.closed {
                let _ = closed.await;
            }
        };
        let _ = timeout(wait, all).await;
    }

    /// Everything has its answer: the last are written, and the threads end.
    pub(crate) async fn end(self) {
        self.stage.send_replace(Stage::Answered);
        let all = async {
            for over in self.over {
                let _ = over.await;
            }
        };
        // One that stands still can't be waited for.
        let _ = timeout(2 * LAST_ANSWERS, all).await;
    }
}

/// One shard, to its end.
async fn run(
    shard: Shard,
    node: Handle,
    seat: Arc<Seat>,
    mut stages: watch::Receiver<Stage>,
    closed: oneshot::Sender<()>,
) {
    let clients = Rc::new(Clients::new(shard.config(), shard.handle(), node).at(seat.clone()));
    let engine = spawn_local(shard.run());
    let swept = clients.clone();
    spawn_local(async move { swept.sweep().await });
    let (dealt, taken) = (clients.clone(), seat.clone());
    spawn_local(async move {
        loop {
            for stream in taken.take().await {
                match TcpStream::from_std(stream) {
                    Ok(stream) => dealt.clone().adopt(stream),
                    Err(_) => taken.ended(),
                }
            }
        }
    });
    let pressed = clients.clone();
    spawn_local(async move {
        loop {
            seat.room_wanted().await;
            pressed.make_room();
        }
    });
    let mut reached = async |stage: Stage| {
        // The sender lives until all shards are over.
        let _ = stages.wait_for(|now| *now >= stage).await;
    };
    reached(Stage::Leaving).await;
    clients.leave();
    reached(Stage::Closing).await;
    tokio::select! {
        () = clients.close() => {
            let _ = closed.send(());
            reached(Stage::Answered).await;
        }
        () = reached(Stage::Answered) => {
            let _ = timeout(LAST_ANSWERS, clients.close()).await;
        }
    }
    let _ = engine.await;
}
