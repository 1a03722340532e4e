//! Server lists that stall, end or arrive late.

use std::io::{BufReader, Read, Write};
use std::time::{Duration, Instant};

use testkit::peers::*;

use super::*;

#[test]
fn call_to_silent_discovery_is_always_waiting() {
    let server = Server::new(|_, _| ok("slip"));
    let node = node(&[], |_| {});
    let mut uncovered = Duration::ZERO;
    for _ in 0..4 {
        let (mut stream, _) = node.discovery.accept().unwrap();
        Message::read(&mut BufReader::new(&mut stream)).expect("a call");
        // The node gives the call up in time; until then an update would have been received on it.
        while stream.read(&mut [0; 64]).is_ok_and(|bytes| bytes > 0) {}
        let ended = Instant::now();
        let next = node.discovery.accept().unwrap();
        uncovered += ended.elapsed();
        drop(next);
    }
    assert!(
        uncovered < Duration::from_millis(700),
        "no call was waiting for {uncovered:?} between five calls"
    );
    Watch::accept(&node.discovery).changes(42, &[ready("a", &server)]);
    wait_for("the list", || node.client().ask(&view()).status() == 200);
}

#[test]
fn list_arrives_while_idle_clients_fill_descriptors() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::with_socket_limit(&[], 64);
    // Discovery answers no call while the clients connect.
    let idle_clients: Vec<Client> = (0..200).map(|_| node.client()).collect();
    let list = serde_json::json!({"rev": 42, "all": true, "targets": [ready("a", &server)]}).to_string();
    let mut watches = Vec::new();
    let served = || node.client().try_ask(&view()).is_some_and(|answer| answer.status() == 200);
    let start = Instant::now();
    while !served() {
        assert!(start.elapsed() < WITHIN);
        node.discovery.set_nonblocking(true).unwrap();
        // Calls that the node has given up meanwhile are still in the accept queue.
        while let Ok((mut stream, _)) = node.discovery.accept() {
            stream.set_nonblocking(false).unwrap();
            let line = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
            let _ = stream
                .write_all(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{line}").as_bytes());
            watches.push(stream);
        }
    }
    drop(idle_clients);
}
