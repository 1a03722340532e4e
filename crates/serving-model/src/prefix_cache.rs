//! Which prompt parts a server is believed to keep: the most recently used ones that fit into its memory.

use std::collections::HashMap;

/// One part of a prompt, in the order in which the model reads them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// What names the part: equal for equal text.
    pub id: u64,
    /// How many tokens it has.
    pub tokens: u32,
}

/// Parts remembered for one server at most; those beyond it are forgotten first by age.
const MOST_PARTS: usize = 512;
/// The end of a chain of list positions.
const NONE: u32 = u32::MAX;

#[derive(Clone, Copy)]
struct Node {
    id: u64,
    /// What it counts in memory, in tokens.
    weight: u64,
    newer: u32,
    older: u32,
}

/// Prompt parts by last use, bounded by tokens and by number.
pub struct PrefixCache {
    at: HashMap<u64, u32>,
    nodes: Vec<Node>,
    newest: u32,
    oldest: u32,
    weight: u64,
}

impl Default for PrefixCache {
    fn default() -> PrefixCache {
        PrefixCache { at: HashMap::new(), nodes: Vec::new(), newest: NONE, oldest: NONE, weight: 0 }
    }
}

impl PrefixCache {
    /// What the parts kept count in memory together, in tokens.
    pub fn total_tokens(&self) -> u64 {
        self.weight
    }

    /// How many parts are kept.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// How many tokens of the prompt need no reading: those of the leading parts that are all kept.
    pub fn cached_prefix_tokens(&self, parts: &[PromptPart]) -> u32 {
        let kept = parts.iter().take_while(|part| self.at.contains_key(&part.id));
        kept.fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// Notes that these parts were just used, and lets go of the least recently used ones beyond `room` tokens.
    /// The last part counts `senders` times: each of so many processes sends parts of its own there, while the
    /// parts before it are the same for all of them.
    pub fn record_use(&mut self, parts: &[PromptPart], room: u64, senders: u32) {
        let Some((last, shared)) = parts.split_last() else { return };
        self.touch(last.id, u64::from(last.tokens) * u64::from(senders.max(1)));
        // The first part is the most shared one: it is the last to give way.
        for part in shared.iter().rev() {
            self.touch(part.id, u64::from(part.tokens));
        }
        self.evict_to(room);
    }

    /// Lets go of the least recently used parts until at most `room` tokens are kept.
    pub fn evict_to(&mut self, room: u64) {
        while self.oldest != NONE && (self.weight > room || self.nodes.len() > MOST_PARTS) {
            self.remove(self.oldest);
        }
    }

    fn touch(&mut self, id: u64, weight: u64) {
        if let Some(&at) = self.at.get(&id) {
            let before = std::mem::replace(&mut self.nodes[at as usize].weight, weight);
            self.weight = self.weight - before + weight;
            self.unlink(at);
            self.link_newest(at);
            return;
        }
        let at = self.nodes.len() as u32;
        self.nodes.push(Node { id, weight, newer: NONE, older: NONE });
        self.at.insert(id, at);
        self.weight += weight;
        self.link_newest(at);
    }

    fn link_newest(&mut self, at: u32) {
        let before = self.newest;
        let node = &mut self.nodes[at as usize];
        (node.newer, node.older) = (NONE, before);
        match before {
            NONE => self.oldest = at,
            _ => self.nodes[before as usize].newer = at,
        }
        self.newest = at;
    }

    fn unlink(&mut self, at: u32) {
        let Node { newer, older, .. } = self.nodes[at as usize];
        match newer {
            NONE => self.newest = older,
            _ => self.nodes[newer as usize].older = older,
        }
        match older {
            NONE => self.oldest = newer,
            _ => self.nodes[older as usize].newer = newer,
        }
    }

    /// Removes a node and moves the last one into its place.
    fn remove(&mut self, at: u32) {
        self.unlink(at);
        let gone = self.nodes.swap_remove(at as usize);
        self.at.remove(&gone.id);
        self.weight -= gone.weight;
        if at as usize == self.nodes.len() {
            return;
        }
        let Node { id, newer, older, .. } = self.nodes[at as usize];
        self.at.insert(id, at);
        match newer {
            NONE => self.newest = at,
            _ => self.nodes[newer as usize].older = at,
        }
        match older {
            NONE => self.oldest = at,
            _ => self.nodes[older as usize].newer = at,
        }
    }
}
