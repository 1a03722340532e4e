//! The queue of scheduled events, in order of time; events of the same microsecond are in order of insertion.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use cherryusher::{Outcome, ServerEntry};

use crate::Micros;

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum ScheduledEvent {
    /// The next open-loop call arrives.
    OpenLoopArrival,
    /// The arrival rate was 0; it is checked again.
    ArrivalRateCheck,
    /// The think time of this closed-loop client is over.
    ThinkTimeOver(u32),
    /// The client sends a request for this call, as its first try or a retry.
    SendRequest(u64),
    /// This request reaches its node.
    RequestAtNode(u64),
    /// The node's deadline for this request has passed.
    NodeDeadline(u64),
    /// The client's deadline for this request has passed.
    ClientDeadline(u64),
    /// This attempt reaches its server.
    AttemptAtServer(u64),
    /// This server may have completed an attempt; ignored if the server's serial is no longer this one.
    ServerCompletion(usize, u64),
    /// The outcome of this attempt reaches its node.
    AttemptOutcome(u64, Outcome),
    /// The cancellation of this attempt reaches its server.
    CancelAtServer(u64),
    /// The reply to this request reaches its client.
    ReplyAtClient(u64, Reply),
    /// A timer of this node fires, with its token and the serial of the request's timer (0 for other timers).
    NodeTimer(usize, u64, u64),
    /// An update on a server reaches a node: node, server, entry, version of the entry.
    ServerUpdate(usize, usize, ServerEntry, u32),
    /// The full server list reaches this node.
    FullServerList(usize),
    /// This fault begins (`true`) or ends.
    FaultChange(usize, bool),
    /// This server has drained, if its version is still this one.
    DrainEnd(usize, u32),
    /// This server starts.
    ServerStart(usize),
    /// The speeds of warming servers are updated.
    WarmUpStep,
    /// The load of all servers is sampled for the heat map.
    SampleLoad,
    /// This node gossips its own observations of servers.
    ShareObservations(usize),
    /// The gossip timer of this node fires.
    GossipTick(usize),
    /// A gossip packet reaches a node: receiver, sender, bytes.
    GossipPacket(usize, usize, Vec<u8>),
}

/// The reply to a client; a refusal has the time to wait before a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    Served,
    Refused(Micros),
    Failed,
}

struct QueueEntry(Micros, u64, ScheduledEvent);

impl PartialEq for QueueEntry {
    fn eq(&self, other: &QueueEntry) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for QueueEntry {}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &QueueEntry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueueEntry {
    fn cmp(&self, other: &QueueEntry) -> Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// All scheduled events.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<QueueEntry>>,
    push_count: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at: Micros, event: ScheduledEvent) {
        self.push_count += 1;
        self.heap.push(Reverse(QueueEntry(at, self.push_count, event)));
    }

    pub(crate) fn pop(&mut self) -> Option<(Micros, ScheduledEvent)> {
        self.heap.pop().map(|Reverse(QueueEntry(at, _, event))| (at, event))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn simultaneous_events_keep_their_order() {
        let mut queue = EventQueue::default();
        for (at, client) in [(7, 0), (3, 1), (7, 2), (3, 3), (7, 4)] {
            queue.push(at, ScheduledEvent::ThinkTimeOver(client));
        }
        let mut order = Vec::new();
        while let Some((at, ScheduledEvent::ThinkTimeOver(client))) = queue.pop() {
            order.push((at, client));
        }
        assert_eq!(order, [(3, 1), (3, 3), (7, 0), (7, 2), (7, 4)]);
    }
}
