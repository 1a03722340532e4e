#![no_main]
//! What other nodes say of views, leases and themselves, as it is carried in gossip's packets: whatever a member with a
//! valid key sends, a council and a node's health take it in, stay bounded and can be looked at.

use dunelink::consensus::{Bounds, Council, Input, Names, Process, Settings, Wire};
use dunelink::reachability::{self, Health, Row};

const BOUNDS: Bounds = Bounds { lease: 2_000_000, drift: 500 };

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let me = Process { name: 1, instance: 7 };
    // The first byte says from which of the names it is, and whether that is an elector.
    let Some((from, bytes)) = bytes.split_first() else { return };
    let from = Process { name: u64::from(from % 5), instance: u64::from(from / 5) };
    if let Ok(wires) = postcard::from_bytes::<Vec<Wire>>(bytes) {
        let settings =
            Settings { me, names: Names::new([1, 2, 3]), bounds: BOUNDS, nodes: 5, seed: 9 };
        let (mut council, mut out, mut now) = (Council::new(settings, 0), Vec::new(), 3_000_000);
        for wire in wires {
            council.handle(now, Input::Heard(from, wire), &mut out);
            now += 100_000;
            council.handle(now, Input::Tick, &mut out);
        }
        let standing = council.standing(now);
        // Nobody else makes this node hold anything, or take more than a whole part.
        assert!(!standing.chair && standing.name_for == 0 && standing.part <= 1.0);
        assert!(out.len() < 10_000);
    }
    if let Ok(row) = postcard::from_bytes::<Row>(bytes) {
        let settings = reachability::Settings { me, zone: "a".into(), floor: 0.5 };
        let (mut health, mut out) = (Health::new(settings, 0), Vec::new());
        health.handle(0, reachability::Input::Members(vec![0, 1, 2]), &mut out);
        for now in (0..20_000_000).step_by(1_000_000) {
            health.handle(now, reachability::Input::Heard(from, row.clone()), &mut out);
            health.handle(now, reachability::Input::Aside(true), &mut out);
        }
        let _ = (health.matrix().one_way(20_000_000), health.matrix().stance(20_000_000, 0));
    }
});
