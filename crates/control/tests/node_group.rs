//! Groups of control machines: configuration changes, leadership, membership, the server list, and freshness
//! of the state.

mod group;

use dunelink_control::change_queue::Reply;
use dunelink_control::message::{ListResponse, PeerMessage};
use dunelink_control::node::Effect;
use dunelink_feed::NEVER_CONFIRMED_MS;
use dunelink_protocol::{NodeDemand, ProxyReport, ServerEntry, TenantDemand};

use group::{Group, control_address, machine_internal_address};

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

/// Configuration versions of the running machines.
fn running_versions(group: &Group) -> Vec<u64> {
    group
        .machines
        .values()
        .filter(|machine| machine.up)
        .map(|machine| machine.node.state().version())
        .collect()
}

#[test]
fn change_is_applied_on_all_machines() {
    let mut group = Group::bootstrapped();
    let leader = group.leader().expect("a leader");
    assert_eq!(group.change_configuration(leader, 0, &body(3, "k")), Reply::Accepted);
    group.run_until("all machines have it", |group| running_versions(group) == [3, 3, 3]);
    let follower = group.follower();
    assert_eq!(group.node(follower).feed().configuration_version(), 3);
}

#[test]
fn follower_redirects_to_leader_unless_change_was_applied() {
    let mut group = Group::bootstrapped();
    let (leader, follower) = (group.leader().expect("a leader"), group.follower());
    let leader_address = group.node(leader).me().control_address;
    assert_eq!(group.change_configuration(follower, 0, &body(3, "k")), Reply::Redirect(leader_address));
    assert_eq!(group.node(follower).read_configuration(group.now), Reply::Redirect(leader_address));
    group.change_configuration(leader, 0, &body(3, "k"));
    group.run_until("all machines have it", |group| running_versions(group) == [3, 3, 3]);
    assert_eq!(group.change_configuration(follower, 0, &body(3, "k")), Reply::Accepted);
}

#[test]
fn concurrent_changes_on_one_base_apply_one_and_deduplicate() {
    let mut group = Group::bootstrapped();
    let leader = group.leader().expect("a leader");
    let calls = [
        group.send_change(leader, 0, &body(3, "one")),
        group.send_change(leader, 0, &body(3, "other")),
        group.send_change(leader, 0, &body(3, "one")),
        group.send_change(leader, 3, &body(4, "next")),
    ];
    group.run_until("all calls are answered", |group| {
        calls.iter().all(|call| group.replies.contains_key(call))
    });
    let replies: Vec<Reply> = calls.iter().map(|call| group.replies[call].clone()).collect();
    assert_eq!(replies, [Reply::Accepted, Reply::Conflict { current: 3 }, Reply::Accepted, Reply::Accepted]);
}

#[test]
fn invalid_changes_are_refused_without_effect() {
    let mut group = Group::bootstrapped();
    let leader = group.leader().expect("a leader");
    group.change_configuration(leader, 0, &body(3, "k"));
    assert!(matches!(group.change_configuration(leader, 3, "{"), Reply::Invalid(_)));
    assert!(matches!(group.change_configuration(leader, 3, &body(2, "k")), Reply::Invalid(_)));
    assert_eq!(group.change_configuration(leader, 2, &body(5, "k")), Reply::Conflict { current: 3 });
    assert_eq!(group.node(leader).state().version(), 3);
}

#[test]
fn applied_change_is_acknowledged_again_by_the_next_leader() {
    let mut group = Group::bootstrapped();
    let leader = group.leader().expect("a leader");
    group.change_configuration(leader, 0, &body(3, "k"));
    group.machines.get_mut(&leader).expect("it exists").up = false;
    group.run_until("another machine leads", |group| group.leader().is_some());
    let new_leader = group.leader().expect("a leader");
    assert_eq!(group.change_configuration(new_leader, 0, &body(3, "k")), Reply::Accepted);
    assert_eq!(group.change_configuration(new_leader, 3, &body(8, "k")), Reply::Accepted);
}

#[test]
fn isolated_leader_replies_unavailable() {
    let mut group = Group::bootstrapped();
    let leader = group.leader().expect("a leader");
    group.change_configuration(leader, 0, &body(3, "k"));
    for (address, machine) in &mut group.machines {
        machine.up = *address == leader;
    }
    group.run(2_000);
    assert!(matches!(group.change_configuration(leader, 1, &body(5, "k")), Reply::Unavailable(_)));
    assert!(matches!(group.node(leader).read_configuration(group.now), Reply::Unavailable(_)));
}

#[test]
fn wiped_machine_rejoins_under_new_identity() {
    let mut group = Group::bootstrapped();
    let leader = group.leader().expect("a leader");
    group.change_configuration(leader, 0, &body(3, "k"));
    let wiped = group.follower();
    let old_id = group.node(wiped).me().id;
    let number = wiped.to_string().as_bytes()[8] - b'0';
    group.start(number, false);
    let id = group.node(wiped).me().id;
    assert_ne!(id, old_id);
    group.run_until("the new replica votes", |group| group.node(wiped).replica().membership().is_voter(id));
    group.run_until("it has the configuration", |group| group.node(wiped).state().version() == 3);
    group.run_until("the old identity is gone", |group| {
        !group.node(leader).replica().membership().contains(old_id)
    });
}

#[test]
fn server_list_of_the_leader_reaches_all_machines() {
    let mut group = Group::bootstrapped();
    let leader = group.leader().expect("a leader");
    for list in [vec![server("a"), server("b")], vec![server("b")]] {
        let expected = list.len();
        group.with_node(leader, |node, now, effects| node.handle_list(now, now, list, effects));
        group.run_until("all machines have it", |group| {
            group.machines.values().all(|machine| machine.node.feed().roster.len() == expected)
        });
    }
}

#[test]
fn follower_reads_the_list_when_the_leader_cannot() {
    let mut group = Group::bootstrapped();
    let leader = group.leader().expect("a leader");
    group.with_node(leader, |node, now, effects| node.delegate_list_read(now, effects));
    group.run(5);
    let list_read = group.effects.iter().find_map(|(at, effect)| match effect {
        Effect::ReadList { request, to } => Some((*at, *request, to.clone())),
        _ => None,
    });
    let (at, request, to) = list_read.expect("one machine is asked to read the list");
    assert_eq!(to.internal_address, leader);
    group.with_node(at, |node, _, effects| {
        node.answer_list_request(&to, request, Some(vec![server("a")]), effects)
    });
    group.run_until("all machines have it", |group| {
        group.machines.values().all(|machine| machine.node.feed().roster.len() == 1)
    });
}

#[test]
fn unrequested_list_response_is_dropped() {
    let mut group = Group::bootstrapped();
    let (leader, follower) = (group.leader().expect("a leader"), group.follower());
    let to = group.node(leader).me().clone();
    group.with_node(follower, |node, _, effects| {
        node.answer_list_request(&to, 7, Some(vec![server("a")]), effects)
    });
    group.run(10);
    assert!(group.node(leader).feed().roster.is_empty());
    let response = ListResponse { request: 7, servers: None };
    assert!(PeerMessage::ListResponse(response).is_bulk());
}

#[test]
fn grants_reach_the_machine_of_the_reporting_agent() {
    let mut group = Group::bootstrapped();
    let (leader, follower) = (group.leader().expect("a leader"), group.follower());
    group.change_configuration(leader, 0, &body(3, "k"));
    let report = || ProxyReport {
        demand: NodeDemand { tenants: vec![demand()], ..NodeDemand::default() },
        ..ProxyReport::default()
    };
    for _ in 0..40 {
        group.with_node(follower, |node, now, effects| {
            node.handle_agent_report(now, "front-1", report(), effects)
        });
        group.run(250);
    }
    let received_grants = group.effects.iter().any(|(at, effect)| {
        *at == follower && matches!(effect, Effect::Grants { node, .. } if node == "front-1")
    });
    assert!(received_grants);
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
fn confirmed_age_grows_without_contact_to_the_leader() {
    let mut group = Group::bootstrapped();
    let (leader, follower) = (group.leader().expect("a leader"), group.follower());
    let confirmed_age_ms = |group: &mut Group, at| {
        group.with_node(at, |node, now, _| node.update_freshness(now));
        group.node(at).feed().heartbeat(group.now).confirmed_age_ms
    };
    group.run(500);
    assert_eq!(confirmed_age_ms(&mut group, leader), 0);
    assert!(confirmed_age_ms(&mut group, follower) <= 120);
    for (address, machine) in &mut group.machines {
        machine.up = *address == follower;
    }
    group.run(2_000);
    assert!(confirmed_age_ms(&mut group, follower) >= 1_800);
    assert!(!group.node(follower).is_ready(group.now));
}

/// A partitioned machine reports itself as not current as soon as an election timeout has passed, so that
/// agents switch to another machine.
#[test]
fn isolated_machine_is_never_confirmed_after_election_timeout() {
    for is_leader in [true, false] {
        let mut group = Group::bootstrapped();
        let isolated = if is_leader { group.leader().expect("a leader") } else { group.follower() };
        let confirmed_age_after = |group: &mut Group, milliseconds| {
            for _ in 0..milliseconds / 50 {
                group.run(50);
                group.with_node(isolated, |node, now, _| node.update_freshness(now));
            }
            group.node(isolated).feed().heartbeat(group.now).confirmed_age_ms
        };
        assert!(confirmed_age_after(&mut group, 500) <= 200);
        group.machines.iter_mut().for_each(|(address, machine)| machine.up = *address == isolated);
        assert!(confirmed_age_after(&mut group, 400) <= 600, "an election may take this long");
        assert_eq!(confirmed_age_after(&mut group, 1_000), NEVER_CONFIRMED_MS);
        group.machines.values_mut().for_each(|machine| machine.up = true);
        assert!(confirmed_age_after(&mut group, 3_000) <= 200);
    }
}

#[test]
fn new_machine_replaces_a_lost_voter() {
    let mut group = Group::bootstrapped();
    let leader = group.leader().expect("a leader");
    group.change_configuration(leader, 0, &body(3, "k"));
    let lost = group.follower();
    group.machines.get_mut(&lost).expect("it exists").up = false;
    group.start(4, false);
    let id = group.node(machine_internal_address(4)).me().id;
    group.run_until("the new replica votes", |group| group.node(leader).replica().membership().is_voter(id));
    group.run_until("the lost machine is no longer a member", |group| {
        let membership = group.node(leader).replica().membership();
        let is_new = membership.voters.iter().any(|voter| voter.control_address == control_address(4));
        is_new && membership.voters.len() == 3 && membership.incoming_voters.is_none()
    });
}
