//! Handover of the leadership: when the process ends, the disk fails, or the leader is no voter any more.

use crate::Micros;
use crate::members::Member;
use crate::message::Message;
use crate::progress::Progress;
use crate::quorum;
use crate::replica::Replica;

/// Heartbeats without an answer after which a voter is not worth a handover.
const HANDOVER_HEARTBEATS: u64 = 4;
/// How long a planned handover waits for a voter that has everything.
const HANDOVER_WAIT: Micros = 300_000;

impl Replica {
    /// The process is about to end.
    pub(crate) fn retire(&mut self) {
        self.shutting_down = true;
        if let Some(leading) = &mut self.leading {
            leading.handover_since.get_or_insert(self.now);
        }
    }

    /// Whether this process had better not end yet: it votes, and a learner may take its place, or a change of voters is
    /// not committed yet.
    pub fn should_delay_shutdown(&self) -> bool {
        let membership = self.membership();
        let may_be_replaced = membership.is_voter(self.me.id) && !membership.learners.is_empty();
        may_be_replaced || self.memberships.newest_index() > self.commit_index
    }

    /// Hands over if this replica should not lead and another can.
    pub(crate) fn consider_handover(&mut self) {
        let Some(leading) = &self.leading else { return };
        let planned = leading.handover_since;
        let outside =
            !self.membership().is_voter(self.me.id) && self.memberships.newest_index() <= self.commit_index;
        let must = outside || !self.disk_is_healthy();
        if planned.is_none() && !must {
            return;
        }
        let Some((target, match_index)) = self.successor() else { return };
        if planned.is_none() && !self.others_can_elect() {
            return;
        }
        let waited = planned.is_some_and(|since| self.now.saturating_sub(since) >= HANDOVER_WAIT);
        if !must && !waited && match_index < self.log.last().index {
            return;
        }
        let term = self.hard_state.term;
        // The lease ends here: from now on votes for the successor may be given.
        self.follow(term, None);
        self.send(target, Message::TimeoutNow { term });
    }

    /// Whether the other voters can elect a leader without this one's vote, which may never be synced.
    fn others_can_elect(&self) -> bool {
        quorum::agreed(self.membership(), |id| {
            let progress = self.leading.as_ref().and_then(|leading| leading.peers.get(&id));
            progress.is_some_and(|progress| self.can_vote(progress))
        })
    }

    fn can_vote(&self, progress: &Progress) -> bool {
        let recent = HANDOVER_HEARTBEATS * self.settings.heartbeat_interval;
        progress.disk_healthy && progress.answered_within(self.now, recent)
    }

    /// The voter that is best to lead next, and what it has synced.
    fn successor(&self) -> Option<(Member, u64)> {
        let leading = self.leading.as_ref()?;
        let membership = self.membership();
        let voters = membership.incoming_voters.as_ref().unwrap_or(&membership.voters);
        let fit = |progress: &Progress| self.can_vote(progress) && progress.match_index >= self.commit_index;
        let candidates = voters.iter().filter_map(|voter| Some((voter, leading.peers.get(&voter.id)?)));
        let best = candidates
            .filter(|(_, progress)| fit(progress))
            .max_by_key(|(_, progress)| progress.match_index)?;
        Some((best.0.clone(), best.1.match_index))
    }
}
