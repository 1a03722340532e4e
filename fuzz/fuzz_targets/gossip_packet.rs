#![no_main]
//! A packet of gossip, read alone and by a node with a ring.

use dunelink_gossip::{Input, parse, sim};

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let read = parse(bytes);
    let mut net = sim::Net::new(2, 1, |_, _| {});
    net.start(0);
    net.input(0, Input::Packet(sim::address(1), bytes));
    let figures = net.nodes[0].gossip.as_ref().map(|gossip| gossip.counters()).unwrap_or_default();
    // Nobody but a holder of a key is heard.
    assert_eq!(figures.accepted, 0);
    assert_eq!(read.is_err(), figures.malformed == 1);
});
