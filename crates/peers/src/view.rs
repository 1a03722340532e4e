//! The few nodes that a node knows.

use std::net::SocketAddr;

use crate::Descriptor;

/// Most nodes in a view.
pub const VIEW_LENGTH: usize = 16;

/// The few nodes that a node knows: never itself, each address once, at most [`VIEW_LENGTH`].
#[derive(Debug, Clone)]
pub struct View {
    own: SocketAddr,
    entries: Vec<Descriptor>,
}

impl View {
    /// An empty view of the node at `own`.
    pub fn new(own: SocketAddr) -> Self {
        Self { own, entries: Vec::with_capacity(VIEW_LENGTH) }
    }

    /// The nodes known.
    pub fn entries(&self) -> &[Descriptor] {
        &self.entries
    }

    /// True if no node is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// True if `address` is known.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.entries.iter().any(|entry| entry.address == address)
    }

    /// Counts a round on.
    pub fn increment_ages(&mut self) {
        for entry in &mut self.entries {
            entry.age = entry.age.saturating_add(1);
        }
    }

    /// Takes the node out that has told of itself longest ago.
    pub fn take_oldest(&mut self) -> Option<Descriptor> {
        let (index, _) = self.entries.iter().enumerate().max_by_key(|(_, entry)| entry.age)?;
        Some(self.entries.swap_remove(index))
    }

    /// Takes a node out at random.
    pub fn take_random(&mut self, random: &mut fastrand::Rng) -> Option<Descriptor> {
        if self.entries.is_empty() {
            return None;
        }
        let index = random.usize(..self.entries.len());
        Some(self.entries.swap_remove(index))
    }

    /// Takes `address` out; true if it was there.
    pub fn remove(&mut self, address: SocketAddr) -> bool {
        let before = self.entries.len();
        self.entries.retain(|entry| entry.address != address);
        self.entries.len() < before
    }

    /// At most `count` nodes at random.
    pub fn sample(&self, count: usize, random: &mut fastrand::Rng) -> Vec<Descriptor> {
        random.choose_multiple(self.entries.iter().copied(), count)
    }

    /// Adds a node if it is neither this one nor known and there is room; true if it was added.
    pub fn add(&mut self, descriptor: Descriptor) -> bool {
        let wanted = descriptor.address != self.own && !self.contains(descriptor.address);
        let added = wanted && self.entries.len() < VIEW_LENGTH;
        if added {
            self.entries.push(descriptor);
        }
        added
    }

    /// Takes the other node's part of an exchange in. What is new finds room first where there is some, then in
    /// place of what was `sent` for it.
    pub fn merge(&mut self, received: &[Descriptor], sent: &[Descriptor]) {
        let mut given = sent.iter();
        for descriptor in received {
            if descriptor.address == self.own || self.contains(descriptor.address) {
                continue;
            }
            while self.entries.len() >= VIEW_LENGTH {
                let Some(place) = given.next() else { return };
                self.remove(place.address);
            }
            self.entries.push(*descriptor);
        }
    }
}
