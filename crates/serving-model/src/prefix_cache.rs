//! Estimated content of a server's prefix cache: the most recently used prompt parts that fit into its
//! memory.

use std::collections::HashMap;

/// One part of a prompt, in the order in which the model processes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text of the part: equal texts have equal ids.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Maximum number of parts stored per server. Beyond it, the least recently used parts are evicted.
const MAX_PARTS: usize = 512;
/// Marks the end of the linked list.
const END_OF_LIST: u32 = u32::MAX;

#[derive(Clone, Copy)]
struct Node {
    id: u64,
    /// Tokens of memory that the part counts for.
    weight: u64,
    newer: u32,
    older: u32,
}

/// Prompt parts in order of their last use, bounded by tokens and by number. A linked list stored in a
/// vector.
pub struct PrefixCache {
    index_by_id: HashMap<u64, u32>,
    nodes: Vec<Node>,
    newest: u32,
    oldest: u32,
    total_weight: u64,
}

impl Default for PrefixCache {
    fn default() -> PrefixCache {
        PrefixCache {
            index_by_id: HashMap::new(),
            nodes: Vec::new(),
            newest: END_OF_LIST,
            oldest: END_OF_LIST,
            total_weight: 0,
        }
    }
}

impl PrefixCache {
    /// Tokens of memory that all cached parts count for.
    pub fn total_tokens(&self) -> u64 {
        self.total_weight
    }

    /// Number of cached parts.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether no part is cached.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Number of prompt tokens that need no prefill: those of the leading parts that are all cached.
    pub fn cached_prefix_tokens(&self, parts: &[PromptPart]) -> u32 {
        let cached = parts.iter().take_while(|part| self.index_by_id.contains_key(&part.id));
        cached.fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// Records that these parts were just used, and evicts the least recently used ones beyond
    /// `capacity_tokens`. The last part counts `sender_count` times: each of that many processes sends last
    /// parts of its own to the server, while the parts before it are the same for all of them.
    pub fn record_use(&mut self, parts: &[PromptPart], capacity_tokens: u64, sender_count: u32) {
        let Some((last, shared)) = parts.split_last() else { return };
        self.touch(last.id, u64::from(last.tokens) * u64::from(sender_count.max(1)));
        // The first part is the most widely shared one: it is evicted last.
        for part in shared.iter().rev() {
            self.touch(part.id, u64::from(part.tokens));
        }
        self.evict_to(capacity_tokens);
    }

    /// Evicts the least recently used parts until they count for at most `capacity_tokens`.
    pub fn evict_to(&mut self, capacity_tokens: u64) {
        while self.oldest != END_OF_LIST
            && (self.total_weight > capacity_tokens || self.nodes.len() > MAX_PARTS)
        {
            self.remove(self.oldest);
        }
    }

    fn touch(&mut self, id: u64, weight: u64) {
        if let Some(&index) = self.index_by_id.get(&id) {
            let previous = std::mem::replace(&mut self.nodes[index as usize].weight, weight);
            self.total_weight = self.total_weight - previous + weight;
            self.unlink(index);
            self.link_newest(index);
            return;
        }
        let index = self.nodes.len() as u32;
        self.nodes.push(Node { id, weight, newer: END_OF_LIST, older: END_OF_LIST });
        self.index_by_id.insert(id, index);
        self.total_weight += weight;
        self.link_newest(index);
    }

    fn link_newest(&mut self, index: u32) {
        let previous = self.newest;
        let node = &mut self.nodes[index as usize];
        (node.newer, node.older) = (END_OF_LIST, previous);
        match previous {
            END_OF_LIST => self.oldest = index,
            _ => self.nodes[previous as usize].newer = index,
        }
        self.newest = index;
    }

    fn unlink(&mut self, index: u32) {
        let Node { newer, older, .. } = self.nodes[index as usize];
        match newer {
            END_OF_LIST => self.newest = older,
            _ => self.nodes[newer as usize].older = older,
        }
        match older {
            END_OF_LIST => self.oldest = newer,
            _ => self.nodes[older as usize].newer = newer,
        }
    }

    /// Removes a node and moves the last node of the vector to its index.
    fn remove(&mut self, index: u32) {
        self.unlink(index);
        let removed = self.nodes.swap_remove(index as usize);
        self.index_by_id.remove(&removed.id);
        self.total_weight -= removed.weight;
        if index as usize == self.nodes.len() {
            return;
        }
        let Node { id, newer, older, .. } = self.nodes[index as usize];
        self.index_by_id.insert(id, index);
        match newer {
            END_OF_LIST => self.newest = index,
            _ => self.nodes[newer as usize].older = index,
        }
        match older {
            END_OF_LIST => self.oldest = index,
            _ => self.nodes[older as usize].newer = index,
        }
    }
}
