//! Several shards: one thread each, with the engine of the shard and the connections dispatched to it.

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
use crate::dispatcher::{Dispatcher, ShardQueue};
use crate::listen::LAST_ANSWER_TIMEOUT;

/// The stage of the shutdown, common to all shards.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
enum Stage {
    Serving,
    /// Each answer closes its connection.
    Draining,
    /// Connections are closed as soon as they have no request open.
    Closing,
    /// The engines have answered every request.
    AllAnswered,
}

/// The running shards of a node.
pub(crate) struct Shards {
    stage: watch::Sender<Stage>,
    stop: Arc<Notify>,
    dispatching: JoinHandle<()>,
    /// One receiver per shard: for the end of its connections, and for the end of its thread.
    closed: Vec<oneshot::Receiver<()>>,
    ended: Vec<oneshot::Receiver<()>>,
}

impl Shards {
    /// Starts a thread for each shard, and dispatches the connections that the listener accepts.
    pub(crate) fn start(
        shards: Vec<Shard>,
        node: &Handle,
        listener: TcpListener,
        ready: JoinHandle<()>,
        shared: bool,
    ) -> anyhow::Result<Shards> {
        let connection_limits = shards.iter().map(|shard| Clients::client_limit(shard.config()));
        let dispatcher = Dispatcher::new(connection_limits, node.clone());
        let (stage, stages) = watch::channel(Stage::Serving);
        let (mut closed, mut ended) = (Vec::new(), Vec::new());
        for (number, (shard, queue)) in shards.into_iter().zip(dispatcher.queues()).enumerate() {
            let (closed_sender, closed_receiver) = oneshot::channel();
            let (ended_sender, ended_receiver) = oneshot::channel();
            let (queue, node, stages) = (queue.clone(), node.clone(), stages.clone());
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            std::thread::Builder::new()
                .name(format!("shard {number}"))
                .spawn(move || {
                    LocalSet::new().block_on(&runtime, run(shard, node, queue, stages, closed_sender));
                    let _ = ended_sender.send(());
                })
                .context("can't start a thread for a shard")?;
            closed.push(closed_receiver);
            ended.push(ended_receiver);
        }
        let stop = Arc::new(Notify::new());
        let dispatching = spawn_local(dispatcher.dispatch(listener, ready, stop.clone(), shared));
        Ok(Shards { stage, stop, dispatching, closed, ended })
    }

    /// From now on, each answer closes its connection.
    pub(crate) fn drain(&self) {
        self.stage.send_replace(Stage::Draining);
    }

    /// Accepts the connections in the kernel's queue, and no more after these.
    pub(crate) async fn stop(&mut self) {
        self.stop.notify_one();
        let _ = timeout(LAST_ANSWER_TIMEOUT, &mut self.dispatching).await;
    }

    /// Closes connections as soon as they have no request open, and waits for that, for no longer than
    /// `wait`.
    pub(crate) async fn close(&mut self, wait: Duration) {
        self.stage.send_replace(Stage::Closing);
        let all = async {
            for closed in &mut self.closed {
                let _ = closed.await;
            }
        };
        let _ = timeout(wait, all).await;
    }

    /// Every request has its answer: waits until the last answers are written and the threads end.
    pub(crate) async fn end(self) {
        self.stage.send_replace(Stage::AllAnswered);
        let all = async {
            for ended in self.ended {
                let _ = ended.await;
            }
        };
        // A stalled shard can't be waited for.
        let _ = timeout(2 * LAST_ANSWER_TIMEOUT, all).await;
    }
}

/// Runs one shard until it ends.
async fn run(
    shard: Shard,
    node: Handle,
    queue: Arc<ShardQueue>,
    mut stages: watch::Receiver<Stage>,
    closed: oneshot::Sender<()>,
) {
    let clients = Rc::new(Clients::new(shard.config(), shard.handle(), node).with_queue(queue.clone()));
    let engine = spawn_local(shard.run());
    let clients_to_sweep = clients.clone();
    spawn_local(async move { clients_to_sweep.sweep().await });
    let (clients_to_serve, pending_queue) = (clients.clone(), queue.clone());
    spawn_local(async move {
        loop {
            for stream in pending_queue.take().await {
                match TcpStream::from_std(stream) {
                    Ok(stream) => clients_to_serve.clone().start_connection(stream),
                    Err(_) => pending_queue.connection_ended(),
                }
            }
        }
    });
    let clients_to_close = clients.clone();
    spawn_local(async move {
        loop {
            queue.room_requested().await;
            clients_to_close.make_room();
        }
    });
    let mut wait_for_stage = async |stage: Stage| {
        // The sender lives until all shards have ended.
        let _ = stages.wait_for(|now| *now >= stage).await;
    };
    wait_for_stage(Stage::Draining).await;
    clients.drain();
    wait_for_stage(Stage::Closing).await;
    tokio::select! {
        () = clients.close() => {
            let _ = closed.send(());
            wait_for_stage(Stage::AllAnswered).await;
        }
        () = wait_for_stage(Stage::AllAnswered) => {
            let _ = timeout(LAST_ANSWER_TIMEOUT, clients.close()).await;
        }
    }
    let _ = engine.await;
}
