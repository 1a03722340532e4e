//! The four rules under load while nodes join, leave, are killed and cut off, servers fail in the midst of requests,
//! one drains and one starts cold.

use std::time::{SystemTime, UNIX_EPOCH};

use testkit::rig::record::Cold;

use super::*;

/// The one that drains, the one that starts, and one that fails, while all this goes on.
const DRAINS: usize = 1;
const STARTS: usize = 7;
const FAILS: usize = 3;
const COLD_FROM: f64 = 0.12;
const WARM_UP: f64 = 20.0;
const FALLS_AT: f64 = 3.0;

fn hold_for(span: Duration) {
    let mut plan = plan(5);
    plan.more = 1;
    plan.servers[STARTS] = None;
    plan.fleet = format!("cold_from = {COLD_FROM}\nwarm_up = \"{WARM_UP}s\"\nfall_multiple = {FALLS_AT}");
    let mut rig = Rig::new(plan);
    rig.found();
    rig.load(&load(3));
    std::thread::sleep(span / 6);
    rig.cause(Fault::Conduct(FAILS, Conduct::Silent));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let from = rig.record.now();
    rig.list.change(STARTS, |listed| *listed = testkit::rig::listed("", STARTS % 2).map(|l| stands(l, now)));
    rig.list.change(DRAINS, |listed| listed.as_mut().unwrap().ready = false);
    std::thread::sleep(span / 12);
    rig.cause(Fault::Kill(4));
    std::thread::sleep(span / 6);
    rig.cause(Fault::Conduct(FAILS, Conduct::Answers(Duration::from_millis(20))));
    rig.cause(Fault::End(3));
    std::thread::sleep(span / 12);
    rig.cause(Fault::Start(5));
    rig.cause(Fault::Cut(vec![vec![2], vec![0, 1, 5]]));
    rig.wait("a node that reaches nobody", || rig.others(2) == 0);
    std::thread::sleep(span / 6);
    rig.cause(Fault::Heal);
    rig.found();
    rig.cause(Fault::OneWay(0, 1));
    std::thread::sleep(span / 6);
    let (least, warm_up) = (COLD_FROM, seconds(WARM_UP));
    let within = seconds(2.0);
    let cold = Cold { server: STARTS, from, least, warm_up, falls_at: FALLS_AT, within };
    let served = kept(&mut rig, &Rules { cold: Some(cold), ..rules() });
    let entries = rig.record.entries();
    let asked = entries.iter().filter(|entry| matches!(entry.what, What::Asked { .. })).count();
    assert!(10 * served > 7 * asked, "{served} of {asked}");
    let tried =
        |entry: &&testkit::rig::record::Entry| matches!(entry.what, What::Came { server: STARTS, .. });
    assert!(entries.iter().filter(tried).count() > 0, "a cold server is tried");
}

fn stands(listed: testkit::rig::stands::Listed, started_ms: u64) -> testkit::rig::stands::Listed {
    testkit::rig::stands::Listed { started_ms, ..listed }
}

#[test]
fn the_rules_hold_while_nodes_come_and_go() {
    hold_for(seconds(12.0));
}

/// The same for a minute: `cargo test --test fleet -- --ignored`.
#[test]
#[ignore = "takes more than a minute"]
fn the_rules_hold_for_a_minute_while_nodes_come_and_go() {
    hold_for(seconds(60.0));
}
