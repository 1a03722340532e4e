//! States that walks and searches begin with.

use dunelink_replication::{Message, Replica};

use super::{Action, Envelope, STEP, World};

impl World {
    /// A group whose leader has committed a command.
    pub(crate) fn led(voters: usize) -> Self {
        let mut world = Self::founded(voters, 0);
        world.settle();
        world
    }

    /// The same with a voter lost for good and a learner that has caught up, just before its place is taken.
    pub(crate) fn with_lost_voter() -> Self {
        let mut world = Self::founded(3, 1);
        world.settle();
        let leader = world.leader().expect("a leader");
        world.apply(Action::Join { who: 3, leader });
        for _ in 0..2 {
            world.calm_step();
        }
        let lost = (0..3).find(|place| *place != leader).expect("a follower");
        world.apply(Action::Crash(lost));
        for _ in 0..2 {
            world.calm_step();
        }
        world
    }

    /// The same without its leader, as the others begin to stand.
    pub(crate) fn with_lost_leader() -> Self {
        let mut world = Self::led(3);
        let leader = world.leader().expect("a leader");
        world.apply(Action::Propose(leader));
        world.apply(Action::Crash(leader));
        world.apply(Action::Advance);
        world.apply(Action::Advance);
        world
    }

    /// A leader of a later term whose log ends with a command of its earlier one, beside a machine that is down and whose
    /// log ends with an entry of the term between: the case in which counting replicas commits nothing.
    pub(crate) fn with_two_tails() -> Self {
        let mut world = Self::led(3);
        let first = world.leader().expect("a leader");
        world.apply(Action::Propose(first));
        world.apply(Action::Sync(first));
        world.apply(Action::Crash(first));
        let others: Vec<usize> = (0..3).filter(|place| *place != first).collect();
        let second = world.run_among(&others, |world, place| world.leads(place));
        while !world.nodes[second].pending.is_empty() {
            world.apply(Action::Sync(second));
        }
        world.apply(Action::Crash(second));
        world.links.clear();
        world.apply(Action::Start(first));
        let third = others.into_iter().find(|place| *place != second).expect("a third");
        world.run_among(&[first, third], |world, place| place == first && world.leads(place));
        world
    }

    /// A vote is on its way to a follower that has promised nothing, from one with the same log, as the leader wakes up.
    pub(crate) fn with_late_vote() -> Self {
        let mut calm = Self::led(3);
        let leader = calm.leader().expect("a leader");
        let others: Vec<usize> = (0..3).filter(|place| *place != leader).collect();
        for _ in 0..100 {
            calm.calm_step();
            let mut world = calm.clone();
            world.links.clear();
            world.run_among(&others, |world, place| world.asks_for_votes(place));
            // The leader gives up after four steps without an answer.
            if world.now <= calm.now + 3 * STEP {
                return world;
            }
        }
        panic!("no follower stands soon after it heard the leader");
    }

    /// A group of three with a learner that has caught up.
    pub(crate) fn with_ready_learner() -> Self {
        let mut world = Self::founded(3, 1);
        world.settle();
        let leader = world.leader().expect("a leader");
        world.apply(Action::Join { who: 3, leader });
        (0..3).for_each(|_| world.calm_step());
        world
    }

    /// The same with the leader and the learner on one side, the two other voters on the other.
    pub(crate) fn parted() -> Self {
        let mut world = Self::with_ready_learner();
        world.links.clear();
        world
    }

    /// Runs with only some machines until one of them fulfils a condition; that one.
    fn run_among(&mut self, places: &[usize], holds: impl Fn(&Self, usize) -> bool) -> usize {
        for _ in 0..2_000 {
            if let Some(place) = places.iter().copied().find(|place| holds(self, *place)) {
                return place;
            }
            let due = places.iter().find_map(|place| self.due_among(*place, places));
            self.apply(due.unwrap_or(Action::Advance));
        }
        panic!("the state to begin with is not reached");
    }

    fn leads(&self, place: usize) -> bool {
        self.nodes[place].replica.as_ref().is_some_and(Replica::is_leader)
    }

    fn asks_for_votes(&self, place: usize) -> bool {
        let is_vote = |(_, _, message): &Envelope| matches!(message, Message::VoteRequest { .. });
        self.links.iter().any(|((from, _), messages)| *from == place && messages.iter().any(is_vote))
    }

    /// Runs calmly until a leader has committed a command.
    fn settle(&mut self) {
        for _ in 0..20 {
            self.calm_step();
            if let Some(leader) = self.leader() {
                self.apply(Action::Propose(leader));
                self.calm_step();
                return;
            }
        }
        panic!("no leader in calm times");
    }
}
