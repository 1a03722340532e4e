//! Rare interleavings of events with steps of the daemon, forced to occur in every run, over real
//! connections.

#[path = "../process/mod.rs"]
mod process;

mod attempts;
mod clients;
mod lists;
mod shutdown;

use std::net::TcpListener;

use process::*;
use serde_json::Value;
use testkit::peers::config;

/// A node whose settings are changed before it starts.
fn node(targets: &[Value], change: impl FnOnce(&mut Value)) -> Node {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = config(discovery.local_addr().unwrap(), targets, 1024);
    change(&mut config);
    Node::with_discovery(program(), discovery, config)
}
