#![no_main]
//! A gossip packet, parsed by itself and received by a node with a key ring.

use dunelink_gossip::{Input, parse, sim};

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let parsed = parse(bytes);
    let mut net = sim::Net::new(2, 1, |_, _| {});
    net.start(0);
    net.input(0, Input::Packet(sim::address(1), bytes));
    let counters = net.nodes[0].gossip.as_ref().map(|gossip| gossip.counters()).unwrap_or_default();
    // Only a packet signed by the holder of a key in the ring is accepted, which these bytes are not.
    assert_eq!(counters.accepted, 0);
    assert_eq!(parsed.is_err(), counters.malformed == 1);
});
