//! Leader leases: the leader's exclusive right to act, and the withheld votes that guarantee it.
//!
//! A follower that receives a message from the leader withholds its vote from other candidates for
//! [`crate::Settings::election_timeout_min`]. A leader whose heartbeat was acknowledged by a majority
//! therefore knows that no other leader is elected for that long after the heartbeat was *sent*, measured by
//! the followers' clocks. The margin for clock drift makes this hold on the leader's clock too.

use crate::Micros;
use crate::quorum;
use crate::replica::Replica;

impl Replica {
    /// Whether this replica leads, has applied everything committed before its term, and no other replica can
    /// lead now. `now` must be a fresh clock reading, taken after any delay of the caller.
    pub fn holds_lease(&self, now: Micros) -> bool {
        let Some(leader_state) = &self.leader_state else { return false };
        self.commit_index >= leader_state.term_start_index && self.lease_end(now).is_some_and(|end| now < end)
    }

    /// Time since the last heartbeat from a leader that held its lease when sending it; 0 on the lease holder
    /// itself, `None` if there was no such heartbeat.
    pub fn time_since_leader_contact(&self, now: Micros) -> Option<Micros> {
        if self.holds_lease(now) {
            return Some(0);
        }
        self.lease_holder_heard_at.map(|heard_at| now.saturating_sub(heard_at))
    }

    /// When this leader's lease ends; `None` if no majority has acknowledged a heartbeat yet.
    pub(crate) fn lease_end(&self, now: Micros) -> Option<Micros> {
        let leader_state = self.leader_state.as_ref()?;
        let acknowledged = |id| {
            if id == self.me.id {
                return Some(now);
            }
            leader_state.peers.get(&id).and_then(|progress| progress.acked_heartbeat_sent_at)
        };
        let sent_at = quorum::majority_value(self.membership(), acknowledged, None)?;
        Some(sent_at.saturating_add(self.settings.lease_duration()))
    }

    /// Whether the lease of some leader may still be valid, so that a vote for another candidate is not
    /// allowed.
    pub(crate) fn must_withhold_vote(&self) -> bool {
        let follows = self
            .last_leader_message_at
            .is_some_and(|heard| self.now < heard.saturating_add(self.settings.election_timeout_min));
        let leads = self.lease_end(self.now).is_some_and(|end| self.now < end);
        self.now < self.withhold_votes_until || follows || leads
    }
}
