//! Suspicions of other nodes, and the observations that a node reports itself.

mod common;

use cherryusher::*;
use common::*;

fn settings_with_one_label() -> Settings {
    Settings { labels: 1, tenants: Vec::new(), ..settings() }
}

/// A server to which requests without a tenant go.
fn pick_unlabelled_server(node: &mut Node) -> ServerId {
    let (id, actions) = node.arrive(IDEMPOTENT, None);
    node.end_attempt(id, 0, Outcome::Served, 10 * MS);
    targets(&actions, id)[0]
}

/// The requests that a server gets relative to an even share, while other nodes suspect it at this level.
/// With `repeated`, they report that again every 100 requests.
fn relative_share(level: f64, list: u64, repeated: bool) -> f64 {
    let mut node = Node::new(settings_with_one_label(), servers(0..list));
    let server = pick_unlabelled_server(&mut node);
    let mut received = 0.0;
    let rounds = 4000;
    for round in 0..rounds {
        node.now += 5 * MS;
        if round == 0 || repeated && round % 100 == 0 {
            node.handle(Event::PeerSuspicions(vec![PeerSuspicion { server, level }]));
        }
        let (id, actions) = node.arrive(IDEMPOTENT, None);
        received += f64::from(u8::from(targets(&actions, id)[0] == server));
        node.now += 10 * MS;
        node.end_attempt(id, 0, Outcome::Served, 10 * MS);
    }
    let pool = list - 4;
    received / (f64::from(rounds) / pool as f64)
}

#[test]
fn suspicion_reduces_work_but_never_to_zero() {
    for list in [12, 60] {
        let (none, some, full) = (
            relative_share(0.0, list, true),
            relative_share(0.33, list, true),
            relative_share(1.0, list, true),
        );
        assert!((0.8..1.2).contains(&none), "{none}");
        assert!(some > 0.6 && some < none, "{some}");
        // The server answers normally here, which counts against half of the suspicion.
        assert!((0.1..0.75).contains(&full), "{full}");
    }
}

/// How many of 8,000 requests a cold server gets while other nodes suspect all warm servers at this level.
fn requests_to_a_cold_server(level: f64) -> u32 {
    let mut node = Node::new(Settings { warm_up: 100 * S, ..settings_with_one_label() }, servers(0..12));
    let cold = pick_unlabelled_server(&mut node);
    let (mut received, mut in_flight) = (0, std::collections::VecDeque::new());
    for round in 0..8000 {
        node.now += 5 * MS;
        if round == 0 {
            node.handle(Event::ServerChanges(vec![ServerEntry { ready_at: node.now, ..server(cold) }]));
        }
        if round % 40 == 0 {
            let others = (0..12).filter(|server| *server != cold);
            node.handle(Event::PeerSuspicions(
                others.map(|server| PeerSuspicion { server, level }).collect(),
            ));
        }
        let (id, actions) = node.arrive(IDEMPOTENT, None);
        received += u32::from(targets(&actions, id).first() == Some(&cold));
        in_flight.push_back(id);
        if in_flight.len() > 8 {
            node.end_attempt(in_flight.pop_front().unwrap(), 0, Outcome::Served, 40 * MS);
        }
    }
    received
}

#[test]
fn cold_server_gains_nothing_from_suspicion_of_others() {
    let (without_suspicion, with_suspicion) =
        (requests_to_a_cold_server(0.0), requests_to_a_cold_server(1.0));
    assert!(
        without_suspicion > 100 && with_suspicion <= without_suspicion,
        "{without_suspicion} without suspicion, {with_suspicion} with it"
    );
}

#[test]
fn suspicion_expires_and_invalid_levels_count_as_none() {
    assert!(relative_share(1.0, 12, false) > 0.9);
    for level in [f64::NAN, -3.0] {
        assert!((0.8..1.2).contains(&relative_share(level, 12, true)));
    }
    assert!(relative_share(f64::INFINITY, 12, true) > 0.1);
}

#[test]
fn silent_server_is_suspected_and_answering_ones_are_not() {
    let mut node = Node::new(settings_with_one_label(), servers(0..12));
    let mut silent = None;
    for _ in 0..400 {
        let (id, actions) = node.arrive(IDEMPOTENT, None);
        let to = targets(&actions, id)[0];
        node.now += 20 * MS;
        if *silent.get_or_insert(to) != to {
            node.end_attempt(id, 0, Outcome::Served, 20 * MS);
        }
    }
    let observations = node.balancer.observations(node.now);
    let observation_of = |server: ServerId| observations.iter().find(|s| s.server == server).unwrap();
    let silent = silent.unwrap();
    assert!(
        observation_of(silent).suspicion > 0.9 && observation_of(silent).recent_answers == 0,
        "{:?}",
        observation_of(silent)
    );
    let others: Vec<&ServerObservation> = observations.iter().filter(|s| s.server != silent).collect();
    assert!(others.iter().all(|s| s.suspicion < 0.25), "{observations:?}");
    assert!(others.iter().filter(|s| s.recent_answers >= 4).count() >= 5, "{observations:?}");
}

#[test]
fn suspected_server_is_ejected_after_one_silent_attempt() {
    for (level, max_attempts) in [(0.0, 100), (1.0, 12)] {
        let mut node = Node::new(settings_with_one_label(), servers(0..12));
        let silent = pick_unlabelled_server(&mut node);
        let (mut attempts, mut in_flight) = (0, None);
        for _ in 0..1000 {
            node.now += 5 * MS;
            node.handle(Event::PeerSuspicions(vec![PeerSuspicion { server: silent, level }]));
            // The client gives up after 500 ms.
            if let Some((id, at)) = in_flight.filter(|(_, at)| node.now - at > 500 * MS) {
                node.handle(Event::ClientLeft(id));
                node.end_attempt(id, 0, Outcome::Cancelled, node.now - at);
                in_flight = None;
            }
            let (id, actions) = node.arrive(IDEMPOTENT, None);
            match targets(&actions, id).first() {
                Some(to) if *to == silent => (attempts, in_flight) = (attempts + 1, Some((id, node.now))),
                Some(_) => drop(node.end_attempt(id, 0, Outcome::Served, 5 * MS)),
                None => {}
            }
        }
        assert!(attempts >= 1 && attempts <= max_attempts, "{attempts} attempts at suspicion {level}");
        assert!(level > 0.0 || attempts > 5, "without suspicion only {attempts} attempts were sent there");
    }
}

#[test]
fn peer_suspicion_is_not_reported_on() {
    let mut node = Node::new(settings_with_one_label(), servers(0..12));
    for _ in 0..100 {
        node.handle(Event::PeerSuspicions(vec![PeerSuspicion { server: 11, level: 1.0 }]));
        let (id, _) = node.arrive(IDEMPOTENT, None);
        node.now += 20 * MS;
        node.end_attempt(id, 0, Outcome::Served, 20 * MS);
    }
    assert!(node.balancer.observations(node.now).iter().all(|s| s.suspicion < 0.25));
}

#[test]
fn restart_clears_suspicion() {
    let mut node = Node::new(Settings { cold_capacity: 1.0, ..settings_with_one_label() }, servers(0..12));
    let (first, mut received) = (pick_unlabelled_server(&mut node), 0);
    for round in 0..1000 {
        node.now += 2 * MS;
        if round == 0 {
            node.handle(Event::PeerSuspicions(vec![PeerSuspicion { server: first, level: 1.0 }]));
            let restarted = ServerEntry { ready_at: node.now, ..server(first) };
            node.handle(Event::ServerChanges(vec![restarted]));
        }
        let (id, actions) = node.arrive(IDEMPOTENT, None);
        received += usize::from(targets(&actions, id)[0] == first);
        node.end_attempt(id, 0, Outcome::Served, MS);
    }
    assert!(received > 90, "{received} requests; 125 is an even share");
}

#[test]
fn fleet_size_changes_quota_parts() {
    let tenants = vec![Tenant { quota_per_s: 80.0, share: 1.0 }];
    let mut node = Node::new(Settings { balancers: 8, tenants, ..settings_with_one_label() }, servers(0..16));
    // The tenant sends more than its quota; only requests within it are served at once.
    let served_within_quota = |node: &mut Node| {
        let mut served = 0;
        for _ in 0..200 {
            node.now += 10 * MS;
            let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
            if !targets(&actions, id).is_empty() {
                served += 1;
                node.end_attempt(id, 0, Outcome::Served, 10 * MS);
            }
        }
        served
    };
    let with_8_nodes = served_within_quota(&mut node);
    node.handle(Event::FleetChanged { balancers: 0, rank: 0 });
    node.handle(Event::FleetChanged { balancers: 64, rank: 70 });
    let with_64_nodes = served_within_quota(&mut node);
    assert!(with_8_nodes > with_64_nodes, "{with_8_nodes} served with 8 nodes, {with_64_nodes} with 64");
    node.handle(Event::FleetChanged { balancers: 2, rank: 1 });
    assert!(
        served_within_quota(&mut node) >= 190,
        "one of two nodes has capacity for all requests within the quota"
    );
}
