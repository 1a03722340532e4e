#![no_main]
//! Lines of logs, whoever wrote them: read, and merged with themselves.

use dunelink_timeline::{Log, merge};

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let text = String::from_utf8_lossy(bytes);
    let log = Log::read("x", text.lines());
    let story = merge(&[log.clone(), log], true);
    assert!(story.events.is_sorted_by_key(|(at, ..)| *at));
    // One log can't speak against itself.
    assert!(story.clock_offsets[0] == Some(0));
});
