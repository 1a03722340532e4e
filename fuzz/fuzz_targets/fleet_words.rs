#![no_main]
//! What other nodes say of views, leases and themselves, as it is carried in gossip's packets: whatever a member with a
//! valid key sends, a council and a node's health take it in, stay bounded and can be looked at.

use dunelink::consensus::{Coordinator, ElectorNames, FleetMessage, Input, LeaseBounds, Process, Settings};
use dunelink::reachability::{self, HealthMonitor, Row};

const BOUNDS: LeaseBounds = LeaseBounds { lease: 2_000_000, drift_ppm: 500 };

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let me = Process { name: 1, instance: 7 };
    // The first byte says from which of the names it is, and whether that is an elector.
    let Some((from, bytes)) = bytes.split_first() else { return };
    let from = Process { name: u64::from(from % 5), instance: u64::from(from / 5) };
    if let Ok(wires) = postcard::from_bytes::<Vec<FleetMessage>>(bytes) {
        let settings = Settings {
            me,
            elector_names: ElectorNames::new([1, 2, 3]),
            lease_bounds: BOUNDS,
            configured_nodes: 5,
            seed: 9,
        };
        let (mut council, mut out, mut now) = (Coordinator::new(settings, 0), Vec::new(), 3_000_000);
        for wire in wires {
            council.handle(now, Input::Received(from, wire), &mut out);
            now += 100_000;
            council.handle(now, Input::Tick, &mut out);
        }
        let standing = council.status(now);
        // Nobody else makes this node hold anything, or take more than a whole part.
        assert!(
            !standing.holds_proposer_lease && standing.name_lease_left == 0 && standing.limit_share <= 1.0
        );
        assert!(out.len() < 10_000);
    }
    if let Ok(row) = postcard::from_bytes::<Row>(bytes) {
        let settings = reachability::Settings { me, zone: "a".into(), min_ready_fraction: 0.5 };
        let (mut health, mut out) = (HealthMonitor::new(settings, 0), Vec::new());
        health.handle(0, reachability::Input::Members(vec![0, 1, 2]), &mut out);
        for now in (0..20_000_000).step_by(1_000_000) {
            health.handle(now, reachability::Input::Received(from, row.clone()), &mut out);
            health.handle(now, reachability::Input::UnreadyLease(true), &mut out);
        }
        let _ = (health.matrix().one_way_links(20_000_000), health.matrix().condition(20_000_000, 0));
    }
});
