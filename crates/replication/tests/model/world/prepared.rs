//! Prepared initial states of walks and searches.

use dunelink_replication::{Message, Replica};

use super::{Action, Envelope, TIME_STEP, World};

impl World {
    /// A group whose leader has committed a command.
    pub(crate) fn with_leader(voters: usize) -> Self {
        let mut world = Self::new_group(voters, 0);
        world.commit_first_command();
        world
    }

    /// The same group with a permanently lost voter and a caught-up learner, just before the learner replaces
    /// it.
    pub(crate) fn with_lost_voter() -> Self {
        let mut world = Self::new_group(3, 1);
        world.commit_first_command();
        let leader = world.leader().expect("a leader");
        world.apply(Action::Join { joiner: 3, leader });
        for _ in 0..2 {
            world.fault_free_step();
        }
        let lost = (0..3).find(|position| *position != leader).expect("a follower");
        world.apply(Action::Crash(lost));
        for _ in 0..2 {
            world.fault_free_step();
        }
        world
    }

    /// The same group after the loss of its leader, as the others start to campaign.
    pub(crate) fn with_lost_leader() -> Self {
        let mut world = Self::with_leader(3);
        let leader = world.leader().expect("a leader");
        world.apply(Action::Propose(leader));
        world.apply(Action::Crash(leader));
        world.apply(Action::Advance);
        world.apply(Action::Advance);
        world
    }

    /// A leader whose log ends with a command of its own earlier term, and a stopped machine whose log ends
    /// with an entry of a term in between. In this state a leader must not commit the earlier entry by
    /// counting replicas.
    pub(crate) fn with_divergent_tails() -> Self {
        let mut world = Self::with_leader(3);
        let first = world.leader().expect("a leader");
        world.apply(Action::Propose(first));
        world.apply(Action::Sync(first));
        world.apply(Action::Crash(first));
        let others: Vec<usize> = (0..3).filter(|position| *position != first).collect();
        let second = world.run_until_among(&others, |world, position| world.is_leading(position));
        while !world.nodes[second].unsynced_writes.is_empty() {
            world.apply(Action::Sync(second));
        }
        world.apply(Action::Crash(second));
        world.links.clear();
        world.apply(Action::Start(first));
        let third = others.into_iter().find(|position| *position != second).expect("a third");
        world.run_until_among(&[first, third], |world, position| {
            position == first && world.is_leading(position)
        });
        world
    }

    /// A vote request is in flight from a candidate to a follower with the same log that no longer withholds
    /// its vote, as the leader resumes.
    pub(crate) fn with_delayed_vote() -> Self {
        let mut baseline = Self::with_leader(3);
        let leader = baseline.leader().expect("a leader");
        let others: Vec<usize> = (0..3).filter(|position| *position != leader).collect();
        for _ in 0..100 {
            baseline.fault_free_step();
            let mut world = baseline.clone();
            world.links.clear();
            world.run_until_among(&others, |world, position| world.requests_votes(position));
            // The leader steps down after four steps without a reply.
            if world.now <= baseline.now + 3 * TIME_STEP {
                return world;
            }
        }
        panic!("no follower campaigns soon after it heard the leader");
    }

    /// A group of three voters with a caught-up learner.
    pub(crate) fn with_ready_learner() -> Self {
        let mut world = Self::new_group(3, 1);
        world.commit_first_command();
        let leader = world.leader().expect("a leader");
        world.apply(Action::Join { joiner: 3, leader });
        (0..3).for_each(|_| world.fault_free_step());
        world
    }

    /// The same group without messages in flight, about to be partitioned into the leader with the learner
    /// and the other two voters.
    pub(crate) fn partitioned() -> Self {
        let mut world = Self::with_ready_learner();
        world.links.clear();
        world
    }

    /// Runs only some machines until one of them fulfils a condition; returns that one.
    fn run_until_among(&mut self, positions: &[usize], condition: impl Fn(&Self, usize) -> bool) -> usize {
        for _ in 0..2_000 {
            if let Some(position) = positions.iter().copied().find(|position| condition(self, *position)) {
                return position;
            }
            let due = positions.iter().find_map(|position| self.due_action_among(*position, positions));
            self.apply(due.unwrap_or(Action::Advance));
        }
        panic!("the initial state is not reached");
    }

    fn is_leading(&self, position: usize) -> bool {
        self.nodes[position].replica.as_ref().is_some_and(Replica::is_leader)
    }

    fn requests_votes(&self, position: usize) -> bool {
        let is_vote = |(_, _, message): &Envelope| matches!(message, Message::VoteRequest { .. });
        self.links.iter().any(|((from, _), messages)| *from == position && messages.iter().any(is_vote))
    }

    /// Runs without faults until a leader has committed a command.
    fn commit_first_command(&mut self) {
        for _ in 0..20 {
            self.fault_free_step();
            if let Some(leader) = self.leader() {
                self.apply(Action::Propose(leader));
                self.fault_free_step();
                return;
            }
        }
        panic!("no leader without faults");
    }
}
