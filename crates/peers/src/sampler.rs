//! The state machine of one node.

use std::net::SocketAddr;

use crate::{Descriptor, MAX_HOPS, OutgoingMessage, PeerMessage, SHUFFLE_LENGTH, VIEW_LENGTH, View};

/// A view with fewer nodes than this asks an introducer again.
const POOR_VIEW: usize = 4;
/// Newcomers that a node introduces in one round. Further ones ask again later.
const JOINS_A_ROUND: u32 = 4;

/// The view of one node, and its exchanges with others.
#[derive(Debug)]
pub struct PeerSampler {
    own: SocketAddr,
    view: View,
    introducers: Vec<SocketAddr>,
    pending: Option<Exchange>,
    joins_left: u32,
    random: fastrand::Rng,
}

/// An exchange that waits for its answer.
#[derive(Debug)]
struct Exchange {
    peer: SocketAddr,
    sent: Vec<Descriptor>,
}

impl PeerSampler {
    /// The node at `own`, which knows nobody but its introducers.
    pub fn new(own: SocketAddr, introducers: Vec<SocketAddr>, random: fastrand::Rng) -> Self {
        Self { own, view: View::new(own), introducers, pending: None, joins_left: JOINS_A_ROUND, random }
    }

    /// Replaces the introducers.
    pub fn set_introducers(&mut self, introducers: Vec<SocketAddr>) {
        self.introducers = introducers;
    }

    /// The nodes known.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// A node at random, of those known.
    pub fn random_peer(&mut self) -> Option<SocketAddr> {
        self.random.choice(self.view.entries()).map(|entry| entry.address)
    }

    /// Notes that a node cannot be reached.
    pub fn mark_unreachable(&mut self, address: SocketAddr) {
        self.view.remove(address);
    }

    /// Begins a round: what to send. A peer that did not answer in the round before is gone from the view.
    pub fn begin_round(&mut self) -> Vec<OutgoingMessage> {
        self.pending = None;
        self.joins_left = JOINS_A_ROUND;
        self.view.increment_ages();
        let join = self.join();
        self.shuffle().into_iter().chain(join).collect()
    }

    /// Takes a message that came from `from`: what to send for it.
    pub fn receive(&mut self, from: SocketAddr, message: PeerMessage) -> Vec<OutgoingMessage> {
        match message {
            PeerMessage::Shuffle(received) => vec![self.answer(from, &received)],
            PeerMessage::ShuffleReply(received) => {
                self.finish(from, &received);
                Vec::new()
            }
            PeerMessage::Join => self.introduce(from),
            PeerMessage::Walk { newcomer, hops } => self.walk(newcomer, hops).into_iter().collect(),
            PeerMessage::Welcome(descriptor) => {
                self.view.add(descriptor);
                Vec::new()
            }
        }
    }

    /// Takes the oldest peer out and offers it a part of the view in which this node stands in its place.
    fn shuffle(&mut self) -> Option<OutgoingMessage> {
        let peer = self.view.take_oldest()?.address;
        let sent = self.view.sample(SHUFFLE_LENGTH - 1, &mut self.random);
        let mut offered = sent.clone();
        offered.push(Descriptor::fresh(self.own));
        self.pending = Some(Exchange { peer, sent });
        Some(OutgoingMessage { to: peer, message: PeerMessage::Shuffle(offered) })
    }

    fn join(&mut self) -> Option<OutgoingMessage> {
        if self.view.entries().len() >= POOR_VIEW {
            return None;
        }
        let own = self.own;
        let others: Vec<SocketAddr> =
            self.introducers.iter().copied().filter(|other| *other != own).collect();
        let to = self.random.choice(others)?;
        Some(OutgoingMessage { to, message: PeerMessage::Join })
    }

    fn answer(&mut self, from: SocketAddr, received: &[Descriptor]) -> OutgoingMessage {
        let sent = self.view.sample(SHUFFLE_LENGTH, &mut self.random);
        self.view.merge(bounded(received), &sent);
        OutgoingMessage { to: from, message: PeerMessage::ShuffleReply(sent) }
    }

    fn finish(&mut self, from: SocketAddr, received: &[Descriptor]) {
        let Some(exchange) = self.pending.take_if(|exchange| exchange.peer == from) else { return };
        self.view.merge(bounded(received), &exchange.sent);
        // Who answers is alive: it comes back if the exchange left room.
        self.view.add(Descriptor::fresh(from));
    }

    /// Sends the newcomer on walks to as many nodes as a view holds, so that it stands in as many views.
    fn introduce(&mut self, newcomer: SocketAddr) -> Vec<OutgoingMessage> {
        if self.joins_left == 0 || newcomer == self.own {
            return Vec::new();
        }
        self.joins_left -= 1;
        let starts = self.view.entries().iter().filter(|entry| entry.address != newcomer);
        let walk = PeerMessage::Walk { newcomer, hops: MAX_HOPS };
        let mut walks: Vec<OutgoingMessage> =
            starts.map(|entry| OutgoingMessage { to: entry.address, message: walk.clone() }).collect();
        if walks.len() < VIEW_LENGTH {
            self.view.add(Descriptor::fresh(newcomer));
            let welcome = PeerMessage::Welcome(Descriptor::fresh(self.own));
            walks.push(OutgoingMessage { to: newcomer, message: welcome });
        }
        walks
    }

    /// Passes a newcomer on, or takes it in at the end of its walk, in place of a node that it gets to know.
    fn walk(&mut self, newcomer: SocketAddr, hops: u8) -> Option<OutgoingMessage> {
        if newcomer == self.own {
            return None;
        }
        if let Some(hops) = hops.min(MAX_HOPS).checked_sub(1)
            && let Some(next) = self.next_hop(newcomer)
        {
            return Some(OutgoingMessage { to: next, message: PeerMessage::Walk { newcomer, hops } });
        }
        if self.view.contains(newcomer) {
            return None;
        }
        let replaced = match self.view.entries().len() < VIEW_LENGTH {
            true => Some(Descriptor::fresh(self.own)),
            false => self.view.take_random(&mut self.random),
        };
        self.view.add(Descriptor::fresh(newcomer));
        replaced.map(|known| OutgoingMessage { to: newcomer, message: PeerMessage::Welcome(known) })
    }

    fn next_hop(&mut self, newcomer: SocketAddr) -> Option<SocketAddr> {
        let others: Vec<SocketAddr> = self
            .view
            .entries()
            .iter()
            .map(|entry| entry.address)
            .filter(|other| *other != newcomer)
            .collect();
        self.random.choice(others)
    }
}

fn bounded(received: &[Descriptor]) -> &[Descriptor] {
    &received[..received.len().min(SHUFFLE_LENGTH)]
}
