#![no_main]
//! Payloads of gossip packets: consensus messages and reachability rows. Whatever a member with a valid key
//! sends, the coordinator and the health monitor handle it without a panic, and their output stays bounded.

use dunelink::consensus::{Coordinator, ElectorNames, FleetMessage, Input, LeaseBounds, Process, Settings};
use dunelink::reachability::{self, HealthMonitor, Row};

const BOUNDS: LeaseBounds = LeaseBounds { lease: 2_000_000, drift_ppm: 500 };

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let me = Process { name: 1, instance: 7 };
    // The first byte selects the sender's name and instance; names 1 to 3 are electors.
    let Some((from, bytes)) = bytes.split_first() else { return };
    let from = Process { name: u64::from(from % 5), instance: u64::from(from / 5) };
    if let Ok(messages) = postcard::from_bytes::<Vec<FleetMessage>>(bytes) {
        let settings = Settings {
            me,
            elector_names: ElectorNames::new([1, 2, 3]),
            lease_bounds: BOUNDS,
            configured_nodes: 5,
            seed: 9,
        };
        let (mut coordinator, mut out, mut now) = (Coordinator::new(settings, 0), Vec::new(), 3_000_000);
        for message in messages {
            coordinator.handle(now, Input::Received(from, message), &mut out);
            now += 100_000;
            coordinator.handle(now, Input::Tick, &mut out);
        }
        let status = coordinator.status(now);
        // No message from another node makes this one hold a lease, or take more than the whole limits.
        assert!(!status.holds_proposer_lease && status.name_lease_left == 0 && status.limit_share <= 1.0);
        assert!(out.len() < 10_000);
    }
    if let Ok(row) = postcard::from_bytes::<Row>(bytes) {
        let settings = reachability::Settings { me, zone: "a".into(), min_ready_fraction: 0.5 };
        let (mut monitor, mut out) = (HealthMonitor::new(settings, 0), Vec::new());
        monitor.handle(0, reachability::Input::Members(vec![0, 1, 2]), &mut out);
        for now in (0..20_000_000).step_by(1_000_000) {
            monitor.handle(now, reachability::Input::Received(from, row.clone()), &mut out);
            monitor.handle(now, reachability::Input::UnreadyLease(true), &mut out);
        }
        let _ = (monitor.matrix().one_way_links(20_000_000), monitor.matrix().condition(20_000_000, 0));
    }
});
