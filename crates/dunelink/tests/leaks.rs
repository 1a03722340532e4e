//! Ten thousand calls dropped half way leave nothing behind. Alone in its process, as it counts descriptors.

use std::future::Future;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use dunelink::config::{Class, Effect};
use dunelink::{Config, Node, Server as Entry, roster};
use http::Request;
use testkit::peers::{Act, Server, WITHIN};

/// Calls in all, and how many at a time.
const CALLS: usize = 10_000;
const TASKS: usize = 20;

fn descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, |list| list.count())
}

fn threads() -> usize {
    std::fs::read_dir("/proc/self/task").map_or(0, |list| list.count())
}

#[test]
fn ten_thousand_calls_dropped_half_way_leave_nothing_behind() {
    let servers: Vec<Server> = (0..4).map(|_| Server::new(|_, _| Act::Wait)).collect();
    let list = servers.iter().enumerate().map(|(i, s)| Entry::new(format!("s-{i}"), s.address));
    let config = Config {
        classes: vec![
            Class::new("view", Effect::Safe, Duration::from_secs(5)),
            Class::new("order", Effect::Unsafe, Duration::from_secs(5)),
        ],
        ..Config::default()
    };
    let node = Node::builder(config).roster(roster::Fixed::new(list)).start().unwrap();
    let host = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let fleet = node.handle();
    let settle = |what: &str, holds: &dyn Fn() -> bool| {
        let began = Instant::now();
        while !holds() {
            assert!(began.elapsed() < WITHIN, "waited for: {what}");
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    settle("servers", &|| fleet.is_ready());
    let (descriptors_before, threads_before) = (descriptors(), threads());

    let tasks: Vec<_> = (0..TASKS)
        .map(|task| {
            let fleet = fleet.clone();
            host.spawn(async move {
                let mut random = fastrand::Rng::with_seed(task as u64);
                for i in 0..CALLS / TASKS {
                    let request = match random.bool() {
                        true => Request::get(format!("/view/{task}-{i}")),
                        false => Request::post(format!("/order/{task}-{i}")),
                    };
                    let mut call = Box::pin(fleet.call(request.body(String::new()).unwrap()));
                    // Dropped right away, while it connects, or with its attempt out.
                    let polled = std::future::poll_fn(|cx| Poll::Ready(Pin::new(&mut call).poll(cx))).await;
                    assert!(polled.is_pending());
                    match random.u8(..4) {
                        0 => {}
                        1 => tokio::task::yield_now().await,
                        _ => tokio::time::sleep(Duration::from_micros(random.u64(..2000))).await,
                    }
                }
            })
        })
        .collect();
    host.block_on(async {
        for task in tasks {
            task.await.unwrap();
        }
    });

    let look = || host.block_on(fleet.snapshot()).unwrap();
    settle("requests are let go", &|| look().tracked == 0);
    let end = look();
    assert_eq!((end.open, end.queued, end.in_flight), (0, 0, 0));
    assert_eq!((end.counts.taken, end.counts.left), (CALLS as u64, CALLS as u64), "{:?}", end.counts);
    settle("connections are closed", &|| look().connections == 0);
    // The servers are in this process too: one thread and two descriptors a connection.
    settle("descriptors are back", &|| descriptors() <= descriptors_before);
    settle("threads are back", &|| threads() <= threads_before);
    let orders: usize = servers.iter().map(Server::count).sum();
    assert!(orders > 0, "some came as far as a server");
    drop(node);
    settle("the engine's thread has ended", &|| threads() < threads_before);
}
