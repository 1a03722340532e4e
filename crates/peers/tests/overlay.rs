//! Many nodes in memory: the overlay stays connected while nodes join, and after nearly a third of them is
//! removed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use dunelink_peers::{OutgoingMessage, PeerMessage, PeerSampler, VIEW_LENGTH};

const NODES: u16 = 450;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_000))
}

struct Overlay {
    nodes: BTreeMap<SocketAddr, PeerSampler>,
    random: fastrand::Rng,
    delivered: u64,
}

impl Overlay {
    /// An overlay of nodes that join one after the other at three introducers, with a round after every ten
    /// joins.
    fn build(seed: u64) -> Self {
        let mut overlay =
            Self { nodes: BTreeMap::new(), random: fastrand::Rng::with_seed(seed), delivered: 0 };
        let introducers: Vec<SocketAddr> = (0..3).map(address).collect();
        for number in 0..NODES {
            let random = overlay.random.fork();
            let node = PeerSampler::new(address(number), introducers.clone(), random);
            overlay.nodes.insert(address(number), node);
            if number % 10 == 9 {
                overlay.round();
            }
        }
        overlay.rounds(30);
        overlay
    }

    fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.round();
        }
    }

    /// Lets every node begin a round, in random order; all messages are delivered before the next node
    /// begins.
    fn round(&mut self) {
        let mut order: Vec<SocketAddr> = self.nodes.keys().copied().collect();
        self.random.shuffle(&mut order);
        for own in order {
            let sent = self.nodes.get_mut(&own).map(PeerSampler::begin_round).unwrap_or_default();
            self.deliver(own, sent);
        }
    }

    /// Delivers messages and the replies to them. Messages to removed nodes are lost.
    fn deliver(&mut self, from: SocketAddr, sent: Vec<OutgoingMessage>) {
        let mut queue: VecDeque<(SocketAddr, OutgoingMessage)> =
            sent.into_iter().map(|outgoing| (from, outgoing)).collect();
        while let Some((from, OutgoingMessage { to, message })) = queue.pop_front() {
            let Some(node) = self.nodes.get_mut(&to) else { continue };
            self.delivered += 1;
            queue.extend(node.receive(from, message).into_iter().map(|outgoing| (to, outgoing)));
        }
    }

    fn remove_share(&mut self, share: f64) {
        let mut all: Vec<SocketAddr> = self.nodes.keys().copied().collect();
        self.random.shuffle(&mut all);
        let removed = (all.len() as f64 * share) as usize;
        all[..removed].iter().for_each(|address| drop(self.nodes.remove(address)));
    }

    /// Number of nodes that are connected with the first one, over undirected links between present nodes.
    fn connected_nodes(&self) -> usize {
        let mut links: BTreeMap<SocketAddr, BTreeSet<SocketAddr>> = BTreeMap::new();
        for (own, node) in &self.nodes {
            for entry in node.view().entries().iter().filter(|entry| self.nodes.contains_key(&entry.address))
            {
                links.entry(*own).or_default().insert(entry.address);
                links.entry(entry.address).or_default().insert(*own);
            }
        }
        let mut visited: BTreeSet<SocketAddr> = self.nodes.keys().take(1).copied().collect();
        let mut unexplored: Vec<SocketAddr> = visited.iter().copied().collect();
        while let Some(node) = unexplored.pop() {
            let neighbours = links.get(&node).into_iter().flatten();
            unexplored.extend(neighbours.filter(|other| visited.insert(**other)));
        }
        visited.len()
    }

    /// Number of view entries that refer to removed nodes.
    fn dead_links(&self) -> usize {
        let entries = self.nodes.values().flat_map(|node| node.view().entries());
        entries.filter(|entry| !self.nodes.contains_key(&entry.address)).count()
    }

    /// Number of views that each node is in.
    fn in_degrees(&self) -> BTreeMap<SocketAddr, usize> {
        let mut degrees: BTreeMap<SocketAddr, usize> = self.nodes.keys().map(|node| (*node, 0)).collect();
        for entry in self.nodes.values().flat_map(|node| node.view().entries()) {
            degrees.entry(entry.address).and_modify(|degree| *degree += 1);
        }
        degrees
    }
}

#[test]
fn joined_nodes_form_a_connected_overlay_with_full_views() {
    let overlay = Overlay::build(1);
    assert_eq!(overlay.connected_nodes(), usize::from(NODES));
    let degrees = overlay.in_degrees();
    assert!(degrees.values().all(|degree| (1..=4 * VIEW_LENGTH).contains(degree)), "{degrees:?}");
    let full = overlay.nodes.values().filter(|node| node.view().entries().len() >= VIEW_LENGTH - 2).count();
    assert!(full > usize::from(NODES) * 9 / 10, "{full} views are full");
}

#[test]
fn overlay_stays_connected_after_losing_30_percent() {
    for seed in 0..5 {
        let mut overlay = Overlay::build(seed);
        overlay.remove_share(0.3);
        let remaining = overlay.nodes.len();
        assert_eq!(overlay.connected_nodes(), remaining, "seed {seed}, immediately");
        overlay.rounds(30);
        assert_eq!(overlay.connected_nodes(), remaining, "seed {seed}, after 30 rounds");
        assert_eq!(overlay.dead_links(), 0, "seed {seed}");
    }
}

#[test]
fn round_costs_two_messages_per_node() {
    let mut overlay = Overlay::build(3);
    overlay.delivered = 0;
    overlay.rounds(10);
    assert!(overlay.delivered <= u64::from(NODES) * 2 * 10, "{} messages", overlay.delivered);
}

#[test]
fn random_peers_cover_many_nodes() {
    let mut overlay = Overlay::build(4);
    let own = address(7);
    let mut peers = BTreeSet::new();
    for _ in 0..200 {
        overlay.round();
        peers.extend(overlay.nodes.get_mut(&own).and_then(PeerSampler::random_peer));
    }
    assert!(peers.len() > 100, "{} different peers in 200 rounds", peers.len());
}

#[test]
fn walks_terminate() {
    let mut overlay = Overlay::build(5);
    let newcomer = address(NODES + 1);
    overlay.delivered = 0;
    overlay.deliver(newcomer, vec![OutgoingMessage { to: address(9), message: PeerMessage::Join }]);
    assert!(overlay.delivered <= 1 + VIEW_LENGTH as u64 * 6, "{} messages", overlay.delivered);
    let walk = PeerMessage::Walk { newcomer, hops: u8::MAX };
    overlay.delivered = 0;
    overlay.deliver(newcomer, vec![OutgoingMessage { to: address(9), message: walk }]);
    assert!(overlay.delivered <= 6, "{} messages", overlay.delivered);
}
