//! Lists that fall silent, end or come late.

use std::io::{BufReader, Read, Write};
use std::time::{Duration, Instant};

use testkit::peers::*;

use super::*;

#[test]
fn while_discovery_is_silent_there_is_always_a_call_that_waits_for_it() {
    let server = Server::new(|_, _| ok("slip"));
    let node = node(&[], |_| {});
    let mut uncovered = Duration::ZERO;
    for _ in 0..4 {
        let (mut stream, _) = node.discovery.accept().unwrap();
        Message::read(&mut BufReader::new(&mut stream)).expect("a call");
        // It is given up in time; meanwhile what the list says would have gone out on it.
        while stream.read(&mut [0; 64]).is_ok_and(|bytes| bytes > 0) {}
        let ended = Instant::now();
        let next = node.discovery.accept().unwrap();
        uncovered += ended.elapsed();
        drop(next);
    }
    assert!(uncovered < Duration::from_millis(700), "no call was out for {uncovered:?} between five");
    Watch::accept(&node.discovery).changes(42, &[ready("a", &server)]);
    wait_for("the list", || node.client().ask(&view()).status() == 200);
}

#[test]
fn idle_clients_that_fill_the_descriptors_do_not_keep_the_list_away() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::with(&[], 64);
    // Discovery answers nobody while they come.
    let crowd: Vec<Client> = (0..200).map(|_| node.client()).collect();
    let list = serde_json::json!({"rev": 42, "all": true, "targets": [ready("a", &server)]}).to_string();
    let mut watches = Vec::new();
    let served = || node.client().try_ask(&view()).is_some_and(|answer| answer.status() == 200);
    let began = Instant::now();
    while !served() {
        assert!(began.elapsed() < WITHIN);
        node.discovery.set_nonblocking(true).unwrap();
        // Those that were given up meanwhile are in its queue still.
        while let Ok((mut stream, _)) = node.discovery.accept() {
            stream.set_nonblocking(false).unwrap();
            let line = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
            let _ = stream
                .write_all(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{line}").as_bytes());
            watches.push(stream);
        }
    }
    drop(crowd);
}
