//! A node of several shards: one stands still, the list changes meanwhile, ids and counts are the whole node's.

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
    let wait = Duration::from_secs(15);
    Config {
        name: "many".into(),
        seed: Some(0x8c1f_30d2_7a5b_e964),
        classes: vec![Class::new("view", Effect::Safe, wait), Class::new("order", Effect::Unsafe, wait)],
        fleet: Fleet { shards, ..Fleet::default() },
        ..Config::default()
    }
}

fn view(key: usize) -> Request<String> {
    Request::get(format!("/view/{key}")).body(String::new()).unwrap()
}

/// A shard on a thread of its own that can be made to stand still.
struct Stoppable {
    handle: Handle,
    still: tokio::sync::mpsc::UnboundedSender<(Sender<()>, Receiver<()>)>,
    thread: JoinHandle<()>,
}

impl Stoppable {
    fn new(shard: Shard) -> Stoppable {
        let handle = shard.handle();
        let (still, mut stops) = tokio::sync::mpsc::unbounded_channel::<(Sender<()>, Receiver<()>)>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async move {
                spawn_local(async move {
                    while let Some((stands, go_on)) = stops.recv().await {
                        stands.send(()).unwrap();
                        let _ = go_on.recv();
                    }
                });
                shard.run().await;
            });
        });
        Stoppable { handle, still, thread }
    }

    /// Makes it stand still until what is given back is dropped.
    fn stop(&self) -> Sender<()> {
        let (stands, is_still) = channel();
        let (go_on, told) = channel();
        self.still.send((stands, told)).unwrap();
        is_still.recv_timeout(WITHIN).unwrap();
        go_on
    }
}

/// A node of two shards, the first of which can be made to stand still, and who reads its list.
fn two(list: roster::ChannelRoster) -> (Node, Vec<Stoppable>) {
    let parts = Node::builder(config(2)).roster(list).split().unwrap();
    let source = parts.source.unwrap();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async move { source.run().await });
    });
    (parts.node, parts.shards.into_iter().map(Stoppable::new).collect())
}

fn servers_of(runtime: &Runtime, handle: &Handle) -> Vec<String> {
    let seen = runtime.block_on(handle.snapshot()).unwrap();
    seen.servers.iter().map(|server| server.uid.to_string()).collect()
}

/// Sends nothing to what drained while it stood still, though its requests came before it could hear of that.
#[test]
fn a_shard_that_stood_still_heeds_a_drain_that_came_meanwhile() {
    let (a, b) = (Server::new(|_, _| ok("a")), Server::new(|_, _| ok("b")));
    let (list, roster) = roster::channel();
    let (node, shards) = two(roster);
    let runtime = Runtime::new().unwrap();
    list.try_send(Update::whole([Entry::new("a", a.address), Entry::new("b", b.address)])).unwrap();
    wait_for("the list", || node.handle().is_ready());
    let go_on = shards[0].stop();
    let calls: Vec<_> = (0..20)
        .map(|key| {
            let handle = shards[0].handle.clone();
            runtime.spawn(async move { handle.call(view(key)).await.unwrap() })
        })
        .collect();
    wait_for("the calls", || {
        !calls.iter().any(|call| call.is_finished()) && node.handle().counts().taken == 0
    });
    list.try_send(Update::changes([Entry::new("a", a.address).with_state(ServerState::Draining)])).unwrap();
    wait_for("the drain", || servers_of(&runtime, &shards[1].handle) == ["b"]);
    // The calls are in the first shard's mailbox by now, ahead of the change.
    std::thread::sleep(Duration::from_millis(100));
    drop(go_on);
    for call in calls {
        match runtime.block_on(call).unwrap() {
            Answer::Served(response) => assert_eq!(response.body().whole().unwrap(), "b"),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(a.count(), 0, "it was told to drain before any of them was sent");
    let counts = runtime.block_on(node.shutdown(Duration::from_secs(1)));
    assert_eq!((counts.taken, counts.served), (20, 20));
    shards.into_iter().for_each(|shard| shard.thread.join().unwrap());
}

/// Whoever calls goes to another shard, but for the few that it had to be tried with.
#[test]
fn calls_go_past_a_shard_that_stands_still() {
    let server = Server::new(|_, _| ok("slip"));
    let (list, roster) = roster::channel();
    let (node, shards) = two(roster);
    let runtime = Runtime::new().unwrap();
    list.try_send(Update::whole([Entry::new("a", server.address)])).unwrap();
    wait_for("the list", || node.handle().is_ready());
    let go_on = shards[0].stop();
    let mut waiting = Vec::new();
    for key in 0..100 {
        let handle = node.handle().clone();
        let mut call = runtime.spawn(async move { handle.call(view(key)).await.unwrap() });
        // An answer comes within milliseconds, or not before the shard goes on.
        let soon =
            runtime.block_on(async { tokio::time::timeout(Duration::from_millis(500), &mut call).await });
        if soon.is_err() {
            waiting.push(call);
        }
    }
    assert!((1..=3).contains(&waiting.len()), "{}", waiting.len());
    drop(go_on);
    for call in waiting {
        assert!(runtime.block_on(call).unwrap().is_served());
    }
    assert_eq!(runtime.block_on(node.shutdown(Duration::from_secs(1))).served, 100);
    drop(shards);
}

#[test]
fn ids_counts_and_servers_are_the_whole_nodes() {
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
    let seen = runtime.block_on(node.handle().snapshot()).unwrap();
    assert_eq!((seen.servers.len(), seen.open, seen.counts.served, seen.counts.invalid), (1, 1, 100, 20));
    assert_eq!((seen.servers[0].in_flight, seen.in_flight), (1, 1));
    first.abort();
    let counts = runtime.block_on(node.shutdown(Duration::from_secs(1)));
    assert_eq!((counts.taken, counts.served, counts.left), (101, 100, 1));
}

/// Limits are divided; ranks are those of all shards of all nodes.
#[test]
fn each_shard_is_a_balancer_of_its_own() {
    let fleet = Fleet { nodes: 3, rank: 1, shards: 4, ..Fleet::default() };
    let limits = Limits { sockets: 1024, server_connections: Some(100), ..Limits::default() };
    let parts = Node::builder(Config { fleet, limits, ..config(4) }).split().unwrap();
    let places: Vec<(u32, u32)> =
        parts.shards.iter().map(|s| (s.config().fleet.nodes, s.config().fleet.rank)).collect();
    assert_eq!(places, [(12, 4), (12, 5), (12, 6), (12, 7)]);
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
