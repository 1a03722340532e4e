//! What is due, in order of time; what is due at the same microsecond, in the order in which it was put there.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use cherryusher::{Outcome, ServerEntry};

use crate::Micros;

/// What happens.
#[derive(Clone, Debug)]
pub(crate) enum Due {
    /// The next open-loop request is wanted.
    Want,
    /// Nothing was wanted for a while.
    Idle,
    /// A closed-loop client has thought.
    Thought(u32),
    /// A want is asked for, again perhaps.
    Ask(u64),
    /// A request reaches its node.
    AtNode(u64),
    /// A node's patience with a request is over.
    Expires(u64),
    /// A client's is.
    Leaves(u64),
    /// An attempt reaches its server.
    AtServer(u64),
    /// A request may be done at a server; void if the serial has moved on.
    Done(usize, u64),
    /// A node hears how an attempt ended.
    Ends(u64, Outcome),
    /// A cancelled attempt's server hears of that.
    Withdraw(u64),
    /// A client hears its answer.
    Answer(u64, Reply),
    /// A node is woken, with a token and the serial of a request's timer.
    Woken(usize, u64, u64),
    /// A node hears of one server, as of a version.
    Hears(usize, usize, ServerEntry, u32),
    /// A node hears the whole list.
    HearsAll(usize),
    /// A trouble begins or ends.
    Trouble(usize, bool),
    /// A server that drains is gone.
    Gone(usize, u32),
    /// A server starts.
    Starts(usize),
    /// The speeds of cold servers are set anew.
    Warms,
    /// Servers are looked at for the picture.
    Look,
    /// A node tells others what it sees of servers.
    Sees(usize),
    /// A node's gossip wants to be looked at.
    Looks(usize),
    /// A packet of gossip reaches a node from another.
    Packet(usize, usize, Vec<u8>),
}

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    Served,
    Refused(Micros),
    Failed,
}

struct Entry(Micros, u64, Due);

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// All that is due.
#[derive(Default)]
pub(crate) struct Agenda {
    heap: BinaryHeap<Reverse<Entry>>,
    put: u64,
}

impl Agenda {
    pub(crate) fn put(&mut self, at: Micros, due: Due) {
        self.put += 1;
        self.heap.push(Reverse(Entry(at, self.put, due)));
    }

    pub(crate) fn next(&mut self) -> Option<(Micros, Due)> {
        self.heap.pop().map(|Reverse(Entry(at, _, due))| (at, due))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_due_at_once_comes_in_the_order_in_which_it_was_put() {
        let mut agenda = Agenda::default();
        for (at, client) in [(7, 0), (3, 1), (7, 2), (3, 3), (7, 4)] {
            agenda.put(at, Due::Thought(client));
        }
        let mut order = Vec::new();
        while let Some((at, Due::Thought(client))) = agenda.next() {
            order.push((at, client));
        }
        assert_eq!(order, [(3, 1), (3, 3), (7, 0), (7, 2), (7, 4)]);
    }
}
