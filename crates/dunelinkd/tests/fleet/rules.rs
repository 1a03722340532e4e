//! The four rules under load while nodes join, leave, are killed and are partitioned, and while a server
//! fails during requests, another drains and another starts cold.

use std::time::{SystemTime, UNIX_EPOCH};

use testkit::rig::record::Cold;

use super::*;

/// Indexes of the server that drains, of the one that starts cold, and of the one that fails.
const DRAINING_SERVER: usize = 1;
const COLD_SERVER: usize = 7;
const FAILING_SERVER: usize = 3;
const COLD_FROM: f64 = 0.12;
const WARM_UP_S: f64 = 20.0;
const FALL_MULTIPLE: f64 = 3.0;

fn check_rules_for(span: Duration) {
    let mut plan = plan(5);
    plan.more = 1;
    plan.servers[COLD_SERVER] = None;
    plan.fleet =
        format!("cold_from = {COLD_FROM}\nwarm_up = \"{WARM_UP_S}s\"\nfall_multiple = {FALL_MULTIPLE}");
    let mut rig = Rig::new(plan);
    rig.found();
    rig.load(&load(3));
    std::thread::sleep(span / 6);
    rig.cause(Fault::Conduct(FAILING_SERVER, Conduct::Silent));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let listed_from = rig.record.now();
    rig.list.change(COLD_SERVER, |listed| {
        *listed = testkit::rig::listed("", COLD_SERVER % 2).map(|l| with_start_time(l, now))
    });
    rig.list.change(DRAINING_SERVER, |listed| listed.as_mut().unwrap().ready = false);
    std::thread::sleep(span / 12);
    rig.cause(Fault::Kill(4));
    std::thread::sleep(span / 6);
    rig.cause(Fault::Conduct(FAILING_SERVER, Conduct::Answers(Duration::from_millis(20))));
    rig.cause(Fault::End(3));
    std::thread::sleep(span / 12);
    rig.cause(Fault::Start(5));
    rig.cause(Fault::Cut(vec![vec![2], vec![0, 1, 5]]));
    rig.wait("n2 to reach no other node", || rig.others(2) == 0);
    std::thread::sleep(span / 6);
    rig.cause(Fault::Heal);
    rig.found();
    rig.cause(Fault::OneWay(0, 1));
    std::thread::sleep(span / 6);
    let (least, warm_up) = (COLD_FROM, seconds(WARM_UP_S));
    let within = seconds(2.0);
    let cold =
        Cold { server: COLD_SERVER, from: listed_from, least, warm_up, falls_at: FALL_MULTIPLE, within };
    let served = assert_rules_hold(&mut rig, &Rules { cold: Some(cold), ..rules() });
    let entries = rig.record.entries();
    let asked = entries.iter().filter(|entry| matches!(entry.what, What::Asked { .. })).count();
    assert!(10 * served > 7 * asked, "{served} of {asked}");
    let at_cold_server =
        |entry: &&testkit::rig::record::Entry| matches!(entry.what, What::Came { server: COLD_SERVER, .. });
    assert!(entries.iter().filter(at_cold_server).count() > 0, "the cold server receives requests");
}

fn with_start_time(listed: testkit::rig::stands::Listed, started_ms: u64) -> testkit::rig::stands::Listed {
    testkit::rig::stands::Listed { started_ms, ..listed }
}

#[test]
fn rules_hold_while_nodes_change() {
    check_rules_for(seconds(12.0));
}

/// The same test for a minute: `cargo test --test fleet -- --ignored`.
#[test]
#[ignore = "takes more than a minute"]
fn rules_hold_while_nodes_change_for_a_minute() {
    check_rules_for(seconds(60.0));
}
