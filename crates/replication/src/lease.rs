//! Leases: a leader's right to act alone, and a follower's promise behind it.
//!
//! A follower that hears a leader gives no vote to another for [`crate::Settings::election_timeout_min`]. So a leader whose
//! heartbeat was answered by a majority knows that no other is elected for that long after it was *sent*, by the
//! follower's clock; the margin for drift makes it true by the leader's.

use crate::Micros;
use crate::quorum;
use crate::replica::Replica;

impl Replica {
    /// Whether this replica leads, has applied all that was committed before its term, and no other can lead now.
    /// `now` must be read from the clock after whatever delays the caller may have had.
    pub fn holds_lease(&self, now: Micros) -> bool {
        let Some(leading) = &self.leading else { return false };
        self.commit_index >= leading.first_index && self.lease_end(now).is_some_and(|end| now < end)
    }

    /// Time since the last message from a leader that held its lease as it sent it; 0 on the holder itself.
    pub fn time_since_leader_contact(&self, now: Micros) -> Option<Micros> {
        if self.holds_lease(now) {
            return Some(0);
        }
        self.contact.map(|contact| now.saturating_sub(contact))
    }

    /// When the lease of this leader ends; none if no majority has answered yet.
    pub(crate) fn lease_end(&self, now: Micros) -> Option<Micros> {
        let leading = self.leading.as_ref()?;
        let acknowledged = |id| {
            if id == self.me.id {
                return Some(now);
            }
            leading.peers.get(&id).and_then(|progress| progress.acknowledged)
        };
        let sent = quorum::reached(self.membership(), acknowledged, None)?;
        Some(sent.saturating_add(self.settings.lease_duration()))
    }

    /// Whether a promise to a leader forbids to vote for another now.
    pub(crate) fn has_promised(&self) -> bool {
        let follows = self
            .heard_leader
            .is_some_and(|heard| self.now < heard.saturating_add(self.settings.election_timeout_min));
        let leads = self.lease_end(self.now).is_some_and(|end| self.now < end);
        self.now < self.refuse_until || follows || leads
    }
}
