//! Helpers that start a node with a small fleet for the host tests.

use std::time::Duration;

use dunelink::config::{Class, Dedup, DedupGroup, Effect, Tenant};
use dunelink::{Config, Handle, Node, Server as Entry, roster};
use http::Request;
use testkit::peers::Server;

/// A configuration with one class of each effect, all with a deadline of 2 s.
pub(crate) fn config() -> Config {
    let deadline = Duration::from_secs(2);
    Config {
        name: "host".into(),
        seed: Some(0x8c1f_30d2_7a5b_e964),
        classes: vec![
            Class::new("view", Effect::Safe, deadline),
            Class {
                dedup: Some(Dedup { group: DedupGroup::Cell, window: 5 * deadline }),
                ..Class::new("submit", Effect::Keyed, deadline)
            },
            Class::new("order", Effect::Unsafe, deadline),
        ],
        tenants: vec![Tenant { name: "acme".into(), quota_per_s: 100.0, share: 1.0 }],
        ..Config::default()
    }
}

pub(crate) fn entry(uid: &str, server: &Server) -> Entry {
    Entry::new(uid, server.address)
}

/// Starts a node with these servers.
pub(crate) fn start<const N: usize>(servers: [Entry; N]) -> Node {
    start_with(config(), servers)
}

/// Starts a node with this configuration and these servers.
pub(crate) fn start_with<const N: usize>(config: Config, servers: [Entry; N]) -> Node {
    let node = Node::builder(config).roster(roster::Fixed::new(servers)).start().unwrap();
    assert!(node.handle().is_ready(), "the initial list must be applied before the start returns");
    node
}

pub(crate) fn view(key: &str) -> Request<String> {
    Request::get(format!("/view/{key}")).body(String::new()).unwrap()
}

pub(crate) fn order(key: &str) -> Request<String> {
    Request::post(format!("/order/{key}")).body("300 yen".into()).unwrap()
}

/// Waits until the node has a ready server.
pub(crate) async fn ready(fleet: &Handle) {
    while !fleet.is_ready() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
