//! Decisions of the fleet on real processes: views, leases, sides of partitions, and the traffic shares that
//! follow.

use super::*;

pub(super) const LEASE_S: f64 = 2.0;

pub(super) fn plan_with_electors(nodes: usize) -> Plan {
    let electors: Vec<String> = (0..nodes).map(|node| format!("\"n{node}\"")).collect();
    Plan { gossip: format!("electors = [{}]\nlease = \"{LEASE_S}s\"", electors.join(", ")), ..plan(nodes) }
}

/// The state of a node, as its admin endpoint reports it.
#[derive(Clone, Debug)]
pub(super) struct NodeStatus {
    side: String,
    epoch: String,
    holds_name: bool,
    share: f64,
    members: usize,
}

fn node_status(rig: &Rig, node: usize) -> Option<NodeStatus> {
    let report = rig.ask(node, "fleet")?;
    let (first, rest) = report.split_once('\n')?;
    let field = |key: &str| {
        first
            .split(' ')
            .find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
            .unwrap_or_default()
            .to_owned()
    };
    let name_lease_ms: u64 = field("name_for").trim_end_matches("ms").parse().ok()?;
    Some(NodeStatus {
        side: field("side"),
        epoch: field("epoch"),
        holds_name: name_lease_ms > 0,
        share: field("part").parse().ok()?,
        members: rest.lines().filter(|line| line.contains(" member=true ")).count(),
    })
}

pub(super) fn statuses(rig: &Rig, nodes: &[usize]) -> Vec<NodeStatus> {
    nodes.iter().filter_map(|node| node_status(rig, *node)).collect()
}

/// Whether these nodes agree on one view with this number of members, and hold the leases of their names
/// under it.
pub(super) fn agree_on_view(rig: &Rig, nodes: &[usize], members: usize) -> bool {
    let statuses = statuses(rig, nodes);
    let same_epoch = statuses
        .first()
        .is_some_and(|first| statuses.iter().all(|s| s.epoch == first.epoch && s.epoch != "none"));
    same_epoch
        && statuses.len() == nodes.len()
        && statuses.iter().all(|s| s.holds_name && s.members == members)
}

pub(super) fn total_share(statuses: &[NodeStatus]) -> f64 {
    statuses.iter().map(|node_status| node_status.share).sum()
}

/// Watches the nodes for a span of time; returns the highest and the last sum of their traffic shares.
fn watch_shares(rig: &Rig, nodes: &[usize], span: Duration) -> (f64, f64) {
    let until = rig.record.now() + span;
    let (mut max_share, mut last_share) = (0.0_f64, 0.0);
    while rig.record.now() < until {
        last_share = total_share(&statuses(rig, nodes));
        max_share = max_share.max(last_share);
        std::thread::sleep(Duration::from_millis(50));
    }
    (max_share, last_share)
}

pub(super) const ALL: [usize; 5] = [0, 1, 2, 3, 4];

/// Waits until the nodes agree on a view and their shares add up to 1; shares grow in several steps.
pub(super) fn wait_for_full_shares(rig: &Rig, nodes: &[usize], members: usize) {
    rig.wait("one view", || agree_on_view(rig, nodes, members));
    rig.wait("shares that add up to 1", || (total_share(&statuses(rig, nodes)) - 1.0).abs() < 0.01);
}

#[test]
fn partition_keeps_shares_bounded_and_heals() {
    let mut rig = Rig::new(plan_with_electors(5));
    wait_for_full_shares(&rig, &ALL, 5);
    rig.load(&load(2));
    rig.cause(Fault::Cut(vec![vec![0, 1], vec![2, 3, 4]]));
    // While leases are valid, no other node takes their shares; after that, the minimum shares are added.
    let (max_share, last_share) = watch_shares(&rig, &ALL, seconds(9.0));
    println!("2|3: at most {max_share:.3}, then {last_share:.3}; {:?}", statuses(&rig, &ALL));
    assert!(max_share <= 1.1 + 1e-6, "{max_share}\n{}", rig.story());
    rig.wait("the minority to detect its side", || {
        let minority = statuses(&rig, &ALL[..2]);
        minority.len() == 2 && minority.iter().all(|s| s.side == "minority" && !s.holds_name && s.share > 0.0)
    });
    rig.wait("the majority's view", || agree_on_view(&rig, &ALL[2..], 3));
    rig.wait("the majority's full shares", || {
        let majority = statuses(&rig, &ALL[2..]);
        majority.len() == 3
            && majority.iter().all(|s| s.side == "majority" && (s.share - 1.0 / 3.0).abs() < 0.01)
    });
    rig.cause(Fault::Heal);
    let healed = rig.record.now();
    rig.wait("one view of all", || agree_on_view(&rig, &ALL, 5));
    let elapsed = rig.record.now() - healed;
    println!("all agree {elapsed:?} after the cut");
    assert!(elapsed < seconds(5.0), "{elapsed:?}\n{}", rig.story());
    let (max_share, _) = watch_shares(&rig, &ALL, seconds(3.0));
    assert!(max_share <= 1.1 + 1e-6, "{max_share}");
    assert_rules_hold(&mut rig, &rules());
}

#[test]
fn paused_node_loses_its_lease() {
    let mut rig = Rig::new(plan_with_electors(5));
    wait_for_full_shares(&rig, &ALL, 5);
    rig.cause(Fault::Pause(4));
    rig.wait("the others' view", || agree_on_view(&rig, &[0, 1, 2, 3], 4));
    rig.cause(Fault::Wake(4));
    let report = || rig.record.log(4).iter().any(|line| line.contains("of=\"name n4\" held=false"));
    rig.wait("the node to lose its lease", report);
    rig.wait("one view of all", || agree_on_view(&rig, &ALL, 5));
    // Of all events of the fleet, the node first logs that it no longer holds its lease.
    let entries = rig.record.entries();
    let woke = entries.iter().position(|entry| matches!(entry.what, What::Caused(Fault::Wake(4)))).unwrap();
    let after = entries[woke..].iter().find_map(|entry| match &entry.what {
        What::Line { node: 4, text }
            if ["held=", "side=", "decided"].iter().any(|word| text.contains(word)) =>
        {
            Some(text.clone())
        }
        _ => None,
    });
    assert!(after.as_ref().is_some_and(|text| text.contains("held=false")), "{after:?}\n{}", rig.story());
}

#[test]
fn minority_serves_and_new_majority_forms() {
    let mut rig = Rig::new(plan_with_electors(5));
    wait_for_full_shares(&rig, &ALL, 5);
    rig.load_at([3, 4], &load(2));
    (0..3).for_each(|node| rig.cause(Fault::Kill(node)));
    rig.wait("a minority", || statuses(&rig, &[3, 4]).iter().all(|s| s.side == "minority" && !s.holds_name));
    let before = rig.record.entries().len();
    std::thread::sleep(seconds(3.0));
    let served =
        |entry: &testkit::rig::record::Entry| matches!(entry.what, What::Answered { status: 200, .. });
    assert!(
        rig.record.entries()[before..].iter().filter(|entry| served(entry)).count() > 20,
        "the minority continues serving"
    );
    (0..3).for_each(|node| rig.cause(Fault::Start(node)));
    rig.wait("a new view of all", || agree_on_view(&rig, &ALL, 5));
    assert_rules_hold(&mut rig, &rules());
}
