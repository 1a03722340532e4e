#![no_main]
//! Log files with arbitrary content: each is read, and merged with a copy of itself.

use dunelink_timeline::{Log, merge};

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let text = String::from_utf8_lossy(bytes);
    let log = Log::read("x", text.lines());
    let merged = merge(&[log.clone(), log], true);
    assert!(merged.events.is_sorted_by_key(|(at, ..)| *at));
    // The first log's clock is the reference, so its offset is 0.
    assert!(merged.clock_offsets[0] == Some(0));
});
