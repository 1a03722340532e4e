//! Leadership handover: when the process shuts down, the disk fails, or the leader is no longer a voter.

use crate::Micros;
use crate::members::Member;
use crate::message::Message;
use crate::progress::PeerProgress;
use crate::quorum;
use crate::replica::Replica;

/// A handover target must have acknowledged one of this many latest heartbeats.
const RECENT_HEARTBEATS: u64 = 4;
/// How long a planned handover waits for a voter with a complete log.
const MAX_HANDOVER_WAIT: Micros = 300_000;

impl Replica {
    /// Prepares for the shutdown of the process: hands over the leadership and does not campaign again.
    pub(crate) fn prepare_shutdown(&mut self) {
        self.shutting_down = true;
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.handover_since.get_or_insert(self.now);
        }
    }

    /// Whether the host should delay its shutdown: this replica is a voter that a learner may replace, or a
    /// membership change is not committed yet.
    pub fn should_delay_shutdown(&self) -> bool {
        let membership = self.membership();
        let may_be_replaced = membership.is_voter(self.me.id) && !membership.learners.is_empty();
        may_be_replaced || self.membership_history.latest_index() > self.commit_index
    }

    /// Hands over the leadership if this replica should not lead and another voter can.
    pub(crate) fn hand_over_if_needed(&mut self) {
        let Some(leader_state) = &self.leader_state else { return };
        let planned = leader_state.handover_since;
        let is_non_voter = !self.membership().is_voter(self.me.id)
            && self.membership_history.latest_index() <= self.commit_index;
        let is_urgent = is_non_voter || !self.disk_is_healthy();
        if planned.is_none() && !is_urgent {
            return;
        }
        let Some((target, match_index)) = self.successor() else { return };
        if planned.is_none() && !self.others_can_elect() {
            return;
        }
        let wait_is_over = planned.is_some_and(|since| self.now.saturating_sub(since) >= MAX_HANDOVER_WAIT);
        if !is_urgent && !wait_is_over && match_index < self.log.last().index {
            return;
        }
        let term = self.hard_state.term;
        // The lease ends here: voters may vote for the successor from now on.
        self.become_follower(term, None);
        self.send(target, Message::TimeoutNow { term });
    }

    /// Whether the other voters can elect a leader without this replica's vote, which may never be synced.
    fn others_can_elect(&self) -> bool {
        quorum::has_quorum(self.membership(), |id| {
            let progress = self.leader_state.as_ref().and_then(|leader_state| leader_state.peers.get(&id));
            progress.is_some_and(|progress| self.can_vote(progress))
        })
    }

    fn can_vote(&self, progress: &PeerProgress) -> bool {
        let recent = RECENT_HEARTBEATS * self.settings.heartbeat_interval;
        progress.disk_healthy && progress.acked_heartbeat_within(self.now, recent)
    }

    /// The best voter to lead next, and its matching index.
    fn successor(&self) -> Option<(Member, u64)> {
        let leader_state = self.leader_state.as_ref()?;
        let membership = self.membership();
        let voters = membership.incoming_voters.as_ref().unwrap_or(&membership.voters);
        let is_eligible =
            |progress: &PeerProgress| self.can_vote(progress) && progress.match_index >= self.commit_index;
        let candidates = voters.iter().filter_map(|voter| Some((voter, leader_state.peers.get(&voter.id)?)));
        let best = candidates
            .filter(|(_, progress)| is_eligible(progress))
            .max_by_key(|(_, progress)| progress.match_index)?;
        Some((best.0.clone(), best.1.match_index))
    }
}
