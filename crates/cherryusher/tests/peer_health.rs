//! What others say of servers, and what a node has seen itself.

mod common;

use cherryusher::*;
use common::*;

fn few() -> Settings {
    Settings { labels: 1, tenants: Vec::new(), ..settings() }
}

/// One that tenantless requests go to.
fn unlabelled(node: &mut Node) -> ServerId {
    let (id, actions) = node.arrive(SAFE, None);
    node.end(id, 0, Outcome::Served, 10 * MS);
    sends(&actions, id)[0]
}

/// How many of so many requests a server gets of its even part, while others say this of it.
fn part(doubt: f64, list: u64, again: bool) -> f64 {
    let mut node = Node::new(few(), servers(0..list));
    let server = unlabelled(&mut node);
    let mut got = 0.0;
    let rounds = 4000;
    for round in 0..rounds {
        node.now += 5 * MS;
        if round == 0 || again && round % 100 == 0 {
            node.tell(Event::PeerSuspicions(vec![PeerSuspicion { server, level: doubt }]));
        }
        let (id, actions) = node.arrive(SAFE, None);
        got += f64::from(u8::from(sends(&actions, id)[0] == server));
        node.now += 10 * MS;
        node.end(id, 0, Outcome::Served, 10 * MS);
    }
    let pool = list - 4;
    got / (f64::from(rounds) / pool as f64)
}

#[test]
fn hearsay_takes_a_part_of_a_servers_work_but_never_all() {
    for list in [12, 60] {
        let (none, some, most) = (part(0.0, list, true), part(0.33, list, true), part(1.0, list, true));
        assert!((0.8..1.2).contains(&none), "{none}");
        assert!(some > 0.6 && some < none, "{some}");
        // Its answers come as usual here, which speaks against half of it.
        assert!((0.1..0.75).contains(&most), "{most}");
    }
}

/// How many of 8,000 requests a starting server gets, while others say this of all the warm ones.
fn to_a_cold_one(doubt: f64) -> u32 {
    let mut node = Node::new(Settings { warm_up: 100 * S, ..few() }, servers(0..12));
    let cold = unlabelled(&mut node);
    let (mut got, mut out) = (0, std::collections::VecDeque::new());
    for round in 0..8000 {
        node.now += 5 * MS;
        if round == 0 {
            node.tell(Event::ServerChanges(vec![ServerEntry { ready_at: node.now, ..server(cold) }]));
        }
        if round % 40 == 0 {
            let others = (0..12).filter(|server| *server != cold);
            node.tell(Event::PeerSuspicions(
                others.map(|server| PeerSuspicion { server, level: doubt }).collect(),
            ));
        }
        let (id, actions) = node.arrive(SAFE, None);
        got += u32::from(sends(&actions, id).first() == Some(&cold));
        out.push_back(id);
        if out.len() > 8 {
            node.end(out.pop_front().unwrap(), 0, Outcome::Served, 40 * MS);
        }
    }
    got
}

#[test]
fn a_cold_server_gains_nothing_by_doubts_about_the_others() {
    let (plain, doubted) = (to_a_cold_one(0.0), to_a_cold_one(1.0));
    assert!(plain > 100 && doubted <= plain, "{plain} {doubted}");
}

#[test]
fn hearsay_that_is_not_said_again_is_forgotten_and_nonsense_is_none() {
    assert!(part(1.0, 12, false) > 0.9);
    for doubt in [f64::NAN, -3.0] {
        assert!((0.8..1.2).contains(&part(doubt, 12, true)));
    }
    assert!(part(f64::INFINITY, 12, true) > 0.1);
}

#[test]
fn a_silent_server_is_seen_and_one_that_answers_proves_itself() {
    let mut node = Node::new(few(), servers(0..12));
    let mut silent = None;
    for _ in 0..400 {
        let (id, actions) = node.arrive(SAFE, None);
        let to = sends(&actions, id)[0];
        node.now += 20 * MS;
        if *silent.get_or_insert(to) != to {
            node.end(id, 0, Outcome::Served, 20 * MS);
        }
    }
    let seen = node.balancer.observations(node.now);
    let of = |server: ServerId| seen.iter().find(|s| s.server == server).unwrap();
    let silent = silent.unwrap();
    assert!(of(silent).suspicion > 0.9 && of(silent).recent_answers == 0, "{:?}", of(silent));
    let others: Vec<&ServerObservation> = seen.iter().filter(|s| s.server != silent).collect();
    assert!(others.iter().all(|s| s.suspicion < 0.25), "{seen:?}");
    assert!(others.iter().filter(|s| s.recent_answers >= 4).count() >= 5, "{seen:?}");
}

#[test]
fn one_own_silence_and_the_word_of_others_leave_a_server_alone() {
    for (doubt, most) in [(0.0, 100), (1.0, 12)] {
        let mut node = Node::new(few(), servers(0..12));
        let stalled = unlabelled(&mut node);
        let (mut tries, mut out) = (0, None);
        for _ in 0..1000 {
            node.now += 5 * MS;
            node.tell(Event::PeerSuspicions(vec![PeerSuspicion { server: stalled, level: doubt }]));
            // Who waits gives up after a while.
            if let Some((id, at)) = out.filter(|(_, at)| node.now - at > 500 * MS) {
                node.tell(Event::ClientLeft(id));
                node.end(id, 0, Outcome::Cancelled, node.now - at);
                out = None;
            }
            let (id, actions) = node.arrive(SAFE, None);
            match sends(&actions, id).first() {
                Some(to) if *to == stalled => (tries, out) = (tries + 1, Some((id, node.now))),
                Some(_) => drop(node.end(id, 0, Outcome::Served, 5 * MS)),
                None => {}
            }
        }
        assert!(tries >= 1 && tries <= most, "{tries} with {doubt}");
        assert!(doubt > 0.0 || tries > 5, "alone it goes there again and again: {tries}");
    }
}

#[test]
fn what_others_say_is_not_told_on() {
    let mut node = Node::new(few(), servers(0..12));
    for _ in 0..100 {
        node.tell(Event::PeerSuspicions(vec![PeerSuspicion { server: 11, level: 1.0 }]));
        let (id, _) = node.arrive(SAFE, None);
        node.now += 20 * MS;
        node.end(id, 0, Outcome::Served, 20 * MS);
    }
    assert!(node.balancer.observations(node.now).iter().all(|s| s.suspicion < 0.25));
}

#[test]
fn a_servers_restart_ends_what_was_said_of_it() {
    let mut node = Node::new(Settings { cold_capacity: 1.0, ..few() }, servers(0..12));
    let (first, mut got) = (unlabelled(&mut node), 0);
    for round in 0..1000 {
        node.now += 2 * MS;
        if round == 0 {
            node.tell(Event::PeerSuspicions(vec![PeerSuspicion { server: first, level: 1.0 }]));
            let again = ServerEntry { ready_at: node.now, ..server(first) };
            node.tell(Event::ServerChanges(vec![again]));
        }
        let (id, actions) = node.arrive(SAFE, None);
        got += usize::from(sends(&actions, id)[0] == first);
        node.end(id, 0, Outcome::Served, MS);
    }
    assert!(got > 90, "{got} of 125");
}

#[test]
fn another_number_of_nodes_changes_the_parts_that_are_taken() {
    let tenants = vec![Tenant { quota_per_s: 80.0, share: 1.0 }];
    let mut node = Node::new(Settings { balancers: 8, tenants, ..few() }, servers(0..16));
    // More than the share: what is beyond it is told to stay away where a refusal is due, so count who is within.
    let within = |node: &mut Node| {
        let mut served = 0;
        for _ in 0..200 {
            node.now += 10 * MS;
            let (id, actions) = node.arrive(SAFE, Some(0));
            if !sends(&actions, id).is_empty() {
                served += 1;
                node.end(id, 0, Outcome::Served, 10 * MS);
            }
        }
        served
    };
    let before = within(&mut node);
    node.tell(Event::FleetChanged { balancers: 0, rank: 0 });
    node.tell(Event::FleetChanged { balancers: 64, rank: 70 });
    let many = within(&mut node);
    assert!(before > many, "{before} and {many}");
    node.tell(Event::FleetChanged { balancers: 2, rank: 1 });
    assert!(within(&mut node) >= 190, "a node of two has room for all of that");
}
