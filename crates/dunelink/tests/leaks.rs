//! Ten thousand calls that are dropped halfway leak no request, connection, thread or descriptor. A program
//! of its own, because it counts the descriptors of its process.

use std::future::Future;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use dunelink::config::{Class, Effect};
use dunelink::{Config, Node, Server as Entry, roster};
use http::Request;
use testkit::peers::{Act, Server, WITHIN};

/// The total number of calls, and the number of tasks that share them.
const CALLS: usize = 10_000;
const TASKS: usize = 20;

fn descriptor_count() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, |list| list.count())
}

fn thread_count() -> usize {
    std::fs::read_dir("/proc/self/task").map_or(0, |list| list.count())
}

#[test]
fn dropped_calls_leak_nothing() {
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
    let wait_until = |what: &str, condition: &dyn Fn() -> bool| {
        let began = Instant::now();
        while !condition() {
            assert!(began.elapsed() < WITHIN, "timed out waiting for {what}");
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    wait_until("servers", &|| fleet.is_ready());
    let (descriptors_before, threads_before) = (descriptor_count(), thread_count());

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
                    // Dropped at once, while connecting, or with an attempt in flight.
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

    let snapshot = || host.block_on(fleet.snapshot()).unwrap();
    wait_until("requests to be released", &|| snapshot().tracked == 0);
    let last = snapshot();
    assert_eq!((last.open, last.queued, last.in_flight), (0, 0, 0));
    assert_eq!((last.counts.taken, last.counts.left), (CALLS as u64, CALLS as u64), "{:?}", last.counts);
    wait_until("connections to be closed", &|| snapshot().connections == 0);
    // The servers run in this process too, with one thread and two descriptors per connection.
    wait_until("descriptors to be closed", &|| descriptor_count() <= descriptors_before);
    wait_until("threads to end", &|| thread_count() <= threads_before);
    let request_count: usize = servers.iter().map(Server::count).sum();
    assert!(request_count > 0, "some calls reached a server");
    drop(node);
    wait_until("the engine's thread to end", &|| thread_count() < threads_before);
}
