//! The peer sampling state machine of one node.

use std::net::SocketAddr;

use crate::{Descriptor, MAX_HOPS, OutgoingMessage, PeerMessage, SHUFFLE_LENGTH, VIEW_LENGTH, View};

/// A node with fewer nodes in its view joins again at an introducer.
const MIN_VIEW_LENGTH: usize = 4;
/// Maximum number of new nodes that a node introduces per round. The others have to ask again.
const MAX_JOINS_PER_ROUND: u32 = 4;

/// The view of one node, and its exchanges with other nodes.
#[derive(Debug)]
pub struct PeerSampler {
    own: SocketAddr,
    view: View,
    introducers: Vec<SocketAddr>,
    pending: Option<PendingExchange>,
    joins_left: u32,
    random: fastrand::Rng,
}

/// An exchange that waits for the reply of the peer.
#[derive(Debug)]
struct PendingExchange {
    peer: SocketAddr,
    sent: Vec<Descriptor>,
}

impl PeerSampler {
    /// Creates the state of the node at `own`, which knows only its introducers.
    pub fn new(own: SocketAddr, introducers: Vec<SocketAddr>, random: fastrand::Rng) -> Self {
        Self {
            own,
            view: View::new(own),
            introducers,
            pending: None,
            joins_left: MAX_JOINS_PER_ROUND,
            random,
        }
    }

    /// Replaces the introducers.
    pub fn set_introducers(&mut self, introducers: Vec<SocketAddr>) {
        self.introducers = introducers;
    }

    /// The view of the node.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// A random node of the view; `None` if the view is empty.
    pub fn random_peer(&mut self) -> Option<SocketAddr> {
        self.random.choice(self.view.entries()).map(|entry| entry.address)
    }

    /// Removes an unreachable node from the view.
    pub fn mark_unreachable(&mut self, address: SocketAddr) {
        self.view.remove(address);
    }

    /// Begins a round and returns the messages to send. A peer that did not reply in the previous round
    /// stays removed from the view.
    pub fn begin_round(&mut self) -> Vec<OutgoingMessage> {
        self.pending = None;
        self.joins_left = MAX_JOINS_PER_ROUND;
        self.view.increment_ages();
        let join = self.join();
        self.shuffle().into_iter().chain(join).collect()
    }

    /// Handles a message from the node at `from` and returns the messages to send.
    pub fn receive(&mut self, from: SocketAddr, message: PeerMessage) -> Vec<OutgoingMessage> {
        match message {
            PeerMessage::Shuffle(received) => vec![self.reply_to_shuffle(from, &received)],
            PeerMessage::ShuffleReply(received) => {
                self.complete_exchange(from, &received);
                Vec::new()
            }
            PeerMessage::Join => self.introduce(from),
            PeerMessage::Walk { newcomer, hops } => self.forward_walk(newcomer, hops).into_iter().collect(),
            PeerMessage::Welcome(descriptor) => {
                self.view.add(descriptor);
                Vec::new()
            }
        }
    }

    /// Removes the oldest peer from the view and starts an exchange with it, which includes the descriptor of
    /// this node.
    fn shuffle(&mut self) -> Option<OutgoingMessage> {
        let peer = self.view.take_oldest()?.address;
        let sent = self.view.sample(SHUFFLE_LENGTH - 1, &mut self.random);
        let mut offered = sent.clone();
        offered.push(Descriptor::fresh(self.own));
        self.pending = Some(PendingExchange { peer, sent });
        Some(OutgoingMessage { to: peer, message: PeerMessage::Shuffle(offered) })
    }

    fn join(&mut self) -> Option<OutgoingMessage> {
        if self.view.entries().len() >= MIN_VIEW_LENGTH {
            return None;
        }
        let own = self.own;
        let others: Vec<SocketAddr> =
            self.introducers.iter().copied().filter(|other| *other != own).collect();
        let to = self.random.choice(others)?;
        Some(OutgoingMessage { to, message: PeerMessage::Join })
    }

    fn reply_to_shuffle(&mut self, from: SocketAddr, received: &[Descriptor]) -> OutgoingMessage {
        let sent = self.view.sample(SHUFFLE_LENGTH, &mut self.random);
        self.view.merge(bounded(received), &sent);
        OutgoingMessage { to: from, message: PeerMessage::ShuffleReply(sent) }
    }

    fn complete_exchange(&mut self, from: SocketAddr, received: &[Descriptor]) {
        let Some(exchange) = self.pending.take_if(|exchange| exchange.peer == from) else { return };
        self.view.merge(bounded(received), &exchange.sent);
        // A peer that replies is alive: it returns to the view if there is room.
        self.view.add(Descriptor::fresh(from));
    }

    /// Starts a random walk for the new node at every node of the view, so that it is added to as many views.
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

    /// Forwards the walk of a new node. At the end of the walk, adds the new node to the view, if need be in
    /// place of a random node, which the new node gets for its own view.
    fn forward_walk(&mut self, newcomer: SocketAddr, hops: u8) -> Option<OutgoingMessage> {
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
        let introduced = match self.view.entries().len() < VIEW_LENGTH {
            true => Some(Descriptor::fresh(self.own)),
            false => self.view.take_random(&mut self.random),
        };
        self.view.add(Descriptor::fresh(newcomer));
        introduced.map(|known| OutgoingMessage { to: newcomer, message: PeerMessage::Welcome(known) })
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

/// The first [`SHUFFLE_LENGTH`] descriptors.
fn bounded(received: &[Descriptor]) -> &[Descriptor] {
    &received[..received.len().min(SHUFFLE_LENGTH)]
}
