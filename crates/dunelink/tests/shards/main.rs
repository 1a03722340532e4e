//! Nodes with several shards: a stalled shard, list changes meanwhile, and ids and counts over all shards.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use dunelink::config::{Class, Effect, Fleet, Limits};
use dunelink::{Answer, Config, Handle, Node, Server as Entry, ServerState, Shard, Update, roster};
use http::Request;
use testkit::peers::{Act, Server, WITHIN, ok, wait_for};
use tokio::runtime::Runtime;
use tokio::task::{LocalSet, spawn_local};

fn config(shards: u32) -> Config {
    let deadline = Duration::from_secs(15);
    Config {
        name: "many".into(),
        seed: Some(0x8c1f_30d2_7a5b_e964),
        classes: vec![
            Class::new("view", Effect::Safe, deadline),
            Class::new("order", Effect::Unsafe, deadline),
        ],
        fleet: Fleet { shards, ..Fleet::default() },
        ..Config::default()
    }
}

fn view(key: usize) -> Request<String> {
    Request::get(format!("/view/{key}")).body(String::new()).unwrap()
}

/// A shard on a thread of its own that can be stalled.
struct StallableShard {
    handle: Handle,
    stall_requests: tokio::sync::mpsc::UnboundedSender<(Sender<()>, Receiver<()>)>,
    thread: JoinHandle<()>,
}

impl StallableShard {
    fn new(shard: Shard) -> StallableShard {
        let handle = shard.handle();
        let (stall_requests, mut receiver) =
            tokio::sync::mpsc::unbounded_channel::<(Sender<()>, Receiver<()>)>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async move {
                spawn_local(async move {
                    while let Some((stalled, resume)) = receiver.recv().await {
                        stalled.send(()).unwrap();
                        let _ = resume.recv();
                    }
                });
                shard.run().await;
            });
        });
        StallableShard { handle, stall_requests, thread }
    }

    /// Stalls the shard until the returned sender is dropped.
    fn stall(&self) -> Sender<()> {
        let (stalled, stalled_signal) = channel();
        let (resume, resume_signal) = channel();
        self.stall_requests.send((stalled, resume_signal)).unwrap();
        stalled_signal.recv_timeout(WITHIN).unwrap();
        resume
    }
}

/// A node with two stallable shards, whose list is read on another thread.
fn two_shard_node(list: roster::ChannelRoster) -> (Node, Vec<StallableShard>) {
    let parts = Node::builder(config(2)).roster(list).split().unwrap();
    let source = parts.source.unwrap();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async move { source.run().await });
    });
    (parts.node, parts.shards.into_iter().map(StallableShard::new).collect())
}

fn server_names(runtime: &Runtime, handle: &Handle) -> Vec<String> {
    let snapshot = runtime.block_on(handle.snapshot()).unwrap();
    snapshot.servers.iter().map(|server| server.uid.to_string()).collect()
}

/// Calls that were queued while the shard was stalled must not go to a server that drained meanwhile, even
/// though they precede the list change in the shard's queue.
#[test]
fn stalled_shard_applies_drain_before_queued_calls() {
    let (a, b) = (Server::new(|_, _| ok("a")), Server::new(|_, _| ok("b")));
    let (list, roster) = roster::channel();
    let (node, shards) = two_shard_node(roster);
    let runtime = Runtime::new().unwrap();
    list.try_send(Update::whole([Entry::new("a", a.address), Entry::new("b", b.address)])).unwrap();
    wait_for("the list to be applied", || node.handle().is_ready());
    let resume = shards[0].stall();
    let calls: Vec<_> = (0..20)
        .map(|key| {
            let handle = shards[0].handle.clone();
            runtime.spawn(async move { handle.call(view(key)).await.unwrap() })
        })
        .collect();
    wait_for("the calls to be queued", || {
        !calls.iter().any(|call| call.is_finished()) && node.handle().counts().taken == 0
    });
    list.try_send(Update::changes([Entry::new("a", a.address).with_state(ServerState::Draining)])).unwrap();
    wait_for("the drain to be applied", || server_names(&runtime, &shards[1].handle) == ["b"]);
    // The calls are in the first shard's queue by now, ahead of the list change.
    std::thread::sleep(Duration::from_millis(100));
    drop(resume);
    for call in calls {
        match runtime.block_on(call).unwrap() {
            Answer::Served(response) => assert_eq!(response.body().whole().unwrap(), "b"),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(a.count(), 0, "the server drained before any of the calls was sent");
    let counts = runtime.block_on(node.shutdown(Duration::from_secs(1)));
    assert_eq!((counts.taken, counts.served), (20, 20));
    shards.into_iter().for_each(|shard| shard.thread.join().unwrap());
}

/// Calls go to the other shard, except for the few by which the stall shows.
#[test]
fn calls_avoid_stalled_shard() {
    let server = Server::new(|_, _| ok("slip"));
    let (list, roster) = roster::channel();
    let (node, shards) = two_shard_node(roster);
    let runtime = Runtime::new().unwrap();
    list.try_send(Update::whole([Entry::new("a", server.address)])).unwrap();
    wait_for("the list to be applied", || node.handle().is_ready());
    let resume = shards[0].stall();
    let mut waiting = Vec::new();
    for key in 0..100 {
        let handle = node.handle().clone();
        let mut call = runtime.spawn(async move { handle.call(view(key)).await.unwrap() });
        // An answer arrives within milliseconds, or not before the shard resumes.
        let result =
            runtime.block_on(async { tokio::time::timeout(Duration::from_millis(500), &mut call).await });
        if result.is_err() {
            waiting.push(call);
        }
    }
    assert!((1..=3).contains(&waiting.len()), "{}", waiting.len());
    drop(resume);
    for call in waiting {
        assert!(runtime.block_on(call).unwrap().is_served());
    }
    assert_eq!(runtime.block_on(node.shutdown(Duration::from_secs(1))).served, 100);
    drop(shards);
}

#[test]
fn ids_counts_and_servers_span_all_shards() {
    let server =
        Server::new(|_, request| if request.first.contains("/order/") { Act::Wait } else { ok("slip") });
    let node = Node::builder(config(3))
        .roster(roster::Fixed::new([Entry::new("a", server.address)]))
        .start()
        .unwrap();
    let runtime = Runtime::new().unwrap();
    let order = || Request::post("/order/1").header("req-id", "same").body(String::new()).unwrap();
    let handle = node.handle().clone();
    let first = runtime.spawn(async move { handle.call(order()).await });
    server.request();
    for _ in 0..20 {
        assert_eq!(runtime.block_on(node.handle().call(order())).unwrap_err().status(), 409);
    }
    for key in 0..100 {
        assert!(runtime.block_on(node.handle().call(view(key))).unwrap().is_served());
    }
    let snapshot = runtime.block_on(node.handle().snapshot()).unwrap();
    assert_eq!(
        (snapshot.servers.len(), snapshot.open, snapshot.counts.served, snapshot.counts.invalid),
        (1, 1, 100, 20)
    );
    assert_eq!((snapshot.servers[0].in_flight, snapshot.in_flight), (1, 1));
    first.abort();
    let counts = runtime.block_on(node.shutdown(Duration::from_secs(1)));
    assert_eq!((counts.taken, counts.served, counts.left), (101, 100, 1));
}

/// Limits are divided among shards; ranks count all shards of all nodes.
#[test]
fn shards_split_limits_and_rank() {
    let fleet = Fleet { nodes: 3, rank: 1, shards: 4, ..Fleet::default() };
    let limits = Limits { sockets: 1024, server_connections: Some(100), ..Limits::default() };
    let parts = Node::builder(Config { fleet, limits, ..config(4) }).split().unwrap();
    let ranks: Vec<(u32, u32)> =
        parts.shards.iter().map(|s| (s.config().fleet.nodes, s.config().fleet.rank)).collect();
    assert_eq!(ranks, [(12, 4), (12, 5), (12, 6), (12, 7)]);
    let connections: usize = parts.shards.iter().map(|s| s.config().limits.connections()).sum();
    assert!((900..=1000).contains(&connections), "{connections}");
    assert!(parts.shards.iter().all(|s| s.config().limits.max_server_connections() == 25));
    let few = Limits { sockets: 50, ..Limits::default() };
    let error = Node::builder(Config { limits: few, ..config(4) }).split().map(|_| ()).unwrap_err();
    assert!(
        error.to_string().contains("limits.sockets: expected at least 24, and 12 for each shard"),
        "{error}"
    );
    assert!(Node::builder(config(2)).start_local().is_err());
}
