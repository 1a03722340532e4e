#![no_main]
//! A line of the discovery service's watch stream: no server that it lists has a negative weight.

use dunelink::Update;

libfuzzer_sys::fuzz_target!(|line: &[u8]| {
    if let Ok(update) = Update::from_watch_line(line) {
        assert!(update.servers.iter().all(|server| server.weight >= 0.0));
    }
});
