//! Control machines together: orders, leadership, members, the list, proof that the state is current.

mod group;

use dunelink_control::change_queue::Reply;
use dunelink_control::message::{ListResponse, PeerMessage};
use dunelink_control::node::Effect;
use dunelink_feed::NEVER_CONFIRMED_MS;
use dunelink_protocol::{NodeDemand, ProxyReport, ServerEntry, TenantDemand};

use group::{Group, control, internal};

fn body(version: u64, key: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"safe",
        "timeoutMs":1000,"service":"s"}}],"services":[{{"name":"s"}}],
        "tenants":[{{"name":"t","apiKeys":["{key}"],"ratePerS":100,"burst":10}}]}}"#
    )
}

fn server(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "192.0.2.99:80".to_owned(),
        zone: String::new(),
        slots: 1,
        ready: true,
        cold_remaining_ms: 0,
        software_version: String::new(),
        weights_version: None,
    }
}

fn versions(group: &Group) -> Vec<u64> {
    group
        .machines
        .values()
        .filter(|machine| machine.up)
        .map(|machine| machine.node.state().version())
        .collect()
}

#[test]
fn an_order_is_taken_and_in_force_on_all_machines() {
    let mut group = Group::founded();
    let leader = group.leader().expect("a leader");
    assert_eq!(group.ask(leader, 0, &body(3, "k")), Reply::Accepted);
    group.run_until("all have it", |group| versions(group) == [3, 3, 3]);
    let follower = group.follower();
    assert_eq!(group.node(follower).feed().configuration_version(), 3);
}

#[test]
fn others_send_the_caller_to_the_leader_unless_the_order_was_taken() {
    let mut group = Group::founded();
    let (leader, follower) = (group.leader().expect("a leader"), group.follower());
    let elsewhere = group.node(leader).me().control_address;
    assert_eq!(group.ask(follower, 0, &body(3, "k")), Reply::Redirect(elsewhere));
    assert_eq!(group.node(follower).read_configuration(group.now), Reply::Redirect(elsewhere));
    group.ask(leader, 0, &body(3, "k"));
    group.run_until("all have it", |group| versions(group) == [3, 3, 3]);
    assert_eq!(group.ask(follower, 0, &body(3, "k")), Reply::Accepted);
}

#[test]
fn of_orders_at_once_on_one_version_one_wins_and_the_same_one_is_decided_once() {
    let mut group = Group::founded();
    let leader = group.leader().expect("a leader");
    let calls = [
        group.order(leader, 0, &body(3, "one")),
        group.order(leader, 0, &body(3, "other")),
        group.order(leader, 0, &body(3, "one")),
        group.order(leader, 3, &body(4, "next")),
    ];
    group.run_until("all are answered", |group| calls.iter().all(|call| group.replies.contains_key(call)));
    let replies: Vec<Reply> = calls.iter().map(|call| group.replies[call].clone()).collect();
    assert_eq!(replies, [Reply::Accepted, Reply::Conflict { current: 3 }, Reply::Accepted, Reply::Accepted]);
}

#[test]
fn what_is_invalid_is_refused_and_leaves_no_trace() {
    let mut group = Group::founded();
    let leader = group.leader().expect("a leader");
    group.ask(leader, 0, &body(3, "k"));
    assert!(matches!(group.ask(leader, 3, "{"), Reply::Invalid(_)));
    assert!(matches!(group.ask(leader, 3, &body(2, "k")), Reply::Invalid(_)));
    assert_eq!(group.ask(leader, 2, &body(5, "k")), Reply::Conflict { current: 3 });
    assert_eq!(group.node(leader).state().version(), 3);
}

#[test]
fn after_the_loss_of_the_leader_what_was_taken_is_acknowledged_again() {
    let mut group = Group::founded();
    let leader = group.leader().expect("a leader");
    group.ask(leader, 0, &body(3, "k"));
    group.machines.get_mut(&leader).expect("it exists").up = false;
    group.run_until("another leads", |group| group.leader().is_some());
    let next = group.leader().expect("a leader");
    assert_eq!(group.ask(next, 0, &body(3, "k")), Reply::Accepted);
    assert_eq!(group.ask(next, 3, &body(8, "k")), Reply::Accepted);
}

#[test]
fn a_leader_cut_off_from_the_others_gives_no_refusal() {
    let mut group = Group::founded();
    let leader = group.leader().expect("a leader");
    group.ask(leader, 0, &body(3, "k"));
    for (address, machine) in &mut group.machines {
        machine.up = *address == leader;
    }
    group.run(2_000);
    assert!(matches!(group.ask(leader, 1, &body(5, "k")), Reply::Unavailable(_)));
    assert!(matches!(group.node(leader).read_configuration(group.now), Reply::Unavailable(_)));
}

#[test]
fn a_wiped_machine_joins_under_a_new_identity_and_catches_up() {
    let mut group = Group::founded();
    let leader = group.leader().expect("a leader");
    group.ask(leader, 0, &body(3, "k"));
    let wiped = group.follower();
    let before = group.node(wiped).me().id;
    let number = wiped.to_string().as_bytes()[8] - b'0';
    group.start(number, false);
    let id = group.node(wiped).me().id;
    assert_ne!(id, before);
    group.run_until("it votes", |group| group.node(wiped).replica().membership().is_voter(id));
    group.run_until("it has the state", |group| group.node(wiped).state().version() == 3);
    group.run_until("the old identity is gone", |group| {
        !group.node(leader).replica().membership().contains(before)
    });
}

#[test]
fn the_list_that_the_leader_reads_reaches_all_machines() {
    let mut group = Group::founded();
    let leader = group.leader().expect("a leader");
    for list in [vec![server("a"), server("b")], vec![server("b")]] {
        let expected = list.len();
        group.act(leader, |node, now, effects| node.handle_list(now, now, list, effects));
        group.run_until("all have it", |group| {
            group.machines.values().all(|machine| machine.node.feed().roster.len() == expected)
        });
    }
}

#[test]
fn another_machine_reads_the_list_for_a_leader_that_can_not() {
    let mut group = Group::founded();
    let leader = group.leader().expect("a leader");
    group.act(leader, |node, now, effects| node.delegate_list_read(now, effects));
    group.run(5);
    let asked = group.effects.iter().find_map(|(at, effect)| match effect {
        Effect::ReadList { request, to } => Some((*at, *request, to.clone())),
        _ => None,
    });
    let (at, request, to) = asked.expect("one machine is asked");
    assert_eq!(to.internal_address, leader);
    group
        .act(at, |node, _, effects| node.answer_list_request(&to, request, Some(vec![server("a")]), effects));
    group.run_until("all have it", |group| {
        group.machines.values().all(|machine| machine.node.feed().roster.len() == 1)
    });
}

#[test]
fn a_list_that_nobody_asked_for_is_dropped() {
    let mut group = Group::founded();
    let (leader, follower) = (group.leader().expect("a leader"), group.follower());
    let to = group.node(leader).me().clone();
    group
        .act(follower, |node, _, effects| node.answer_list_request(&to, 7, Some(vec![server("a")]), effects));
    group.run(10);
    assert!(group.node(leader).feed().roster.is_empty());
    let read = ListResponse { request: 7, servers: None };
    assert!(PeerMessage::ListResponse(read).is_bulk());
}

#[test]
fn grants_reach_the_machine_where_the_agent_reports() {
    let mut group = Group::founded();
    let (leader, follower) = (group.leader().expect("a leader"), group.follower());
    group.ask(leader, 0, &body(3, "k"));
    let report = || ProxyReport {
        demand: NodeDemand { tenants: vec![demand()], ..NodeDemand::default() },
        ..ProxyReport::default()
    };
    for _ in 0..40 {
        group.act(follower, |node, now, effects| node.handle_agent_report(now, "front-1", report(), effects));
        group.run(250);
    }
    let granted = group.effects.iter().any(|(at, effect)| {
        *at == follower && matches!(effect, Effect::Grants { node, .. } if node == "front-1")
    });
    assert!(granted);
}

fn demand() -> TenantDemand {
    TenantDemand {
        tenant: "t".to_owned(),
        rate_per_s: 5.0,
        admitted: 0.0,
        mean_request_units: 1.0,
        incarnation: 1,
        acknowledged: 0.0,
        ..TenantDemand::default()
    }
}

#[test]
fn a_machine_tells_how_old_its_proof_of_being_current_is() {
    let mut group = Group::founded();
    let (leader, follower) = (group.leader().expect("a leader"), group.follower());
    let age = |group: &mut Group, at| {
        group.act(at, |node, now, _| node.update_freshness(now));
        group.node(at).feed().heartbeat(group.now).confirmed_age_ms
    };
    group.run(500);
    assert_eq!(age(&mut group, leader), 0);
    assert!(age(&mut group, follower) <= 120);
    for (address, machine) in &mut group.machines {
        machine.up = *address == follower;
    }
    group.run(2_000);
    assert!(age(&mut group, follower) >= 1_800);
    assert!(!group.node(follower).is_ready(group.now));
}

/// Whoever is cut off says so before its proof has aged, so that agents try another machine.
#[test]
fn a_machine_that_hears_no_leader_for_longer_than_an_election_proves_nothing() {
    for is_leader in [true, false] {
        let mut group = Group::founded();
        let alone = if is_leader { group.leader().expect("a leader") } else { group.follower() };
        let refreshed = |group: &mut Group, milliseconds| {
            for _ in 0..milliseconds / 50 {
                group.run(50);
                group.act(alone, |node, now, _| node.update_freshness(now));
            }
            group.node(alone).feed().heartbeat(group.now).confirmed_age_ms
        };
        assert!(refreshed(&mut group, 500) <= 200);
        group.machines.iter_mut().for_each(|(address, machine)| machine.up = *address == alone);
        assert!(refreshed(&mut group, 400) <= 600, "an election takes as long");
        assert_eq!(refreshed(&mut group, 1_000), NEVER_CONFIRMED_MS);
        group.machines.values_mut().for_each(|machine| machine.up = true);
        assert!(refreshed(&mut group, 3_000) <= 200);
    }
}

#[test]
fn a_new_machine_joins_through_any_seed_and_takes_the_place_of_a_lost_one() {
    let mut group = Group::founded();
    let leader = group.leader().expect("a leader");
    group.ask(leader, 0, &body(3, "k"));
    let lost = group.follower();
    group.machines.get_mut(&lost).expect("it exists").up = false;
    group.start(4, false);
    let id = group.node(internal(4)).me().id;
    group.run_until("it votes", |group| group.node(leader).replica().membership().is_voter(id));
    group.run_until("the lost one is out", |group| {
        let membership = group.node(leader).replica().membership();
        let is_new = membership.voters.iter().any(|voter| voter.control_address == control(4));
        is_new && membership.voters.len() == 3 && membership.incoming_voters.is_none()
    });
}
