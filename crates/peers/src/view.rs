//! The partial view of a node.

use std::net::SocketAddr;

use crate::Descriptor;

/// Maximum number of nodes in a view.
pub const VIEW_LENGTH: usize = 16;

/// The nodes that a node knows: at most [`VIEW_LENGTH`], without the node itself and without duplicate
/// addresses.
#[derive(Debug, Clone)]
pub struct View {
    own: SocketAddr,
    entries: Vec<Descriptor>,
}

impl View {
    /// An empty view for the node at `own`.
    pub fn new(own: SocketAddr) -> Self {
        Self { own, entries: Vec::with_capacity(VIEW_LENGTH) }
    }

    /// The known nodes.
    pub fn entries(&self) -> &[Descriptor] {
        &self.entries
    }

    /// Whether the view is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether the node at `address` is in the view.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.entries.iter().any(|entry| entry.address == address)
    }

    /// Increments the ages of all descriptors, at the beginning of a round.
    pub fn increment_ages(&mut self) {
        for entry in &mut self.entries {
            entry.age = entry.age.saturating_add(1);
        }
    }

    /// Removes and returns the node with the oldest descriptor.
    pub fn take_oldest(&mut self) -> Option<Descriptor> {
        let (index, _) = self.entries.iter().enumerate().max_by_key(|(_, entry)| entry.age)?;
        Some(self.entries.swap_remove(index))
    }

    /// Removes and returns a random node.
    pub fn take_random(&mut self, random: &mut fastrand::Rng) -> Option<Descriptor> {
        if self.entries.is_empty() {
            return None;
        }
        let index = random.usize(..self.entries.len());
        Some(self.entries.swap_remove(index))
    }

    /// Removes the node at `address`; true if it was in the view.
    pub fn remove(&mut self, address: SocketAddr) -> bool {
        let before = self.entries.len();
        self.entries.retain(|entry| entry.address != address);
        self.entries.len() < before
    }

    /// A random sample of at most `count` nodes.
    pub fn sample(&self, count: usize, random: &mut fastrand::Rng) -> Vec<Descriptor> {
        random.choose_multiple(self.entries.iter().copied(), count)
    }

    /// Adds a node unless it is this node, already known or the view is full; true if it was added.
    pub fn add(&mut self, descriptor: Descriptor) -> bool {
        let is_new = descriptor.address != self.own && !self.contains(descriptor.address);
        let added = is_new && self.entries.len() < VIEW_LENGTH;
        if added {
            self.entries.push(descriptor);
        }
        added
    }

    /// Merges the descriptors received in an exchange. New nodes first fill the free slots of the view, then
    /// replace the nodes that were `sent` in return.
    pub fn merge(&mut self, received: &[Descriptor], sent: &[Descriptor]) {
        let mut replaceable = sent.iter();
        for descriptor in received {
            if descriptor.address == self.own || self.contains(descriptor.address) {
                continue;
            }
            while self.entries.len() >= VIEW_LENGTH {
                let Some(replaced) = replaceable.next() else { return };
                self.remove(replaced.address);
            }
            self.entries.push(*descriptor);
        }
    }
}
