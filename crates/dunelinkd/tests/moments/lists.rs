//! Lists that fall silent, end or come late.

use std::io::{BufReader, Read};
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
