//! What the leader does beside the log: the list of servers, grants, failing servers.

use std::collections::BTreeMap;

use dunelink_grants::{Allocator, TenantQuota};
use dunelink_protocol::{Heartbeat, RosterOffset, RosterUpdate, ServerEntry};
use dunelink_replication::{Member, ReplicaId};
use slog::{info, warn};

use super::{Effect, MILLISECOND, Node};
use crate::loads::LoadSums;
use crate::message::{ListResponse, NodeGrants, NodeReport, PeerMessage, RosterAnnouncement};
use crate::reports::OutcomePool;
use crate::roster;

/// Time between two times that the servers that fail are looked for, in microseconds.
const SUSPICION_PERIOD: u64 = 1_000 * MILLISECOND;
/// How long a member may take to read the list for the leader, in microseconds.
const DELEGATION: u64 = 1_000 * MILLISECOND;
/// Nodes whose agents' places are remembered.
const KNOWN_HOMES: usize = 8_192;

/// What only the leader keeps.
#[derive(Debug)]
pub(super) struct Leading {
    allocator: Allocator,
    /// The tenants' quotas, once they were read.
    quotas: Option<Vec<TenantQuota>>,
    /// The version whose quotas were asked for last.
    quotas_version: u64,
    /// The control machine at which a node's agent reported last.
    homes: BTreeMap<String, ReplicaId>,
    pool: OutcomePool,
    loads: LoadSums,
    suspicions_due: u64,
    delegation: Option<Delegation>,
    delegations: u64,
}

/// A reading of the list by another member.
#[derive(Debug, Clone, Copy)]
struct Delegation {
    request: u64,
    to: ReplicaId,
    asked_at: u64,
}

impl Node {
    /// Begins and ends what only the leader does.
    pub(super) fn watch_lease(&mut self, now: u64, led: bool, effects: &mut Vec<Effect>) {
        let leads = self.replica.is_leader();
        if leads && self.leading.is_none() && self.holds_lease(now) {
            let allocator = Allocator::new(self.settings.quota, self.replica.term(), now);
            let question = allocator.history_request();
            self.tell_all(&PeerMessage::HistoryRequest(question.clone()), effects);
            effects.push(Effect::RequestHistory(question));
            self.leading = Some(Leading {
                allocator,
                quotas: (self.state.version() == 0).then(Vec::new),
                quotas_version: 0,
                homes: BTreeMap::new(),
                pool: OutcomePool::default(),
                loads: LoadSums::new(now),
                suspicions_due: now,
                delegation: None,
                delegations: 0,
            });
            info!(self.log, "lease held"; "term" => self.replica.term());
        }
        if !leads {
            self.leading = None;
        }
        if self.leading.is_some() != led {
            effects.push(Effect::LeaseChanged);
        }
    }

    /// Reports of agents that reached the leader through `home`.
    pub(super) fn reported(&mut self, now: u64, home: ReplicaId, reports: Vec<NodeReport>) {
        let Some(leading) = &mut self.leading else { return };
        for NodeReport { node, demand, observations, loads } in reports {
            if leading.homes.len() >= KNOWN_HOMES && !leading.homes.contains_key(&node) {
                continue;
            }
            leading.allocator.observe_report(now, &node, &demand);
            leading.pool.add(now, &node, observations);
            leading.loads.report(now, &node, loads);
            leading.homes.insert(node, home);
        }
    }

    /// Divides the quotas and sends each node its part.
    pub(super) fn allocate(&mut self, now: u64, effects: &mut Vec<Effect>) {
        self.ask_quotas(effects);
        let version = self.state.version();
        let Some(leading) = &mut self.leading else { return };
        // Without them nothing could be inherited.
        let Some(quotas) = &leading.quotas else { return };
        let updates = leading.allocator.allocate(now, quotas, version);
        let mut by_home: BTreeMap<ReplicaId, Vec<NodeGrants>> = BTreeMap::new();
        for (node, update) in updates {
            let Some(home) = leading.homes.get(&node) else { continue };
            by_home.entry(*home).or_default().push(NodeGrants { node, update });
        }
        for (home, grants) in by_home {
            if home == self.me.id {
                pass_on(grants, effects);
            } else if let Some(member) = self.replica.membership().get(home) {
                self.send(member, PeerMessage::Grants(grants), effects);
            }
        }
    }

    /// Grants for agents at this machine.
    pub(super) fn granted(&self, from: ReplicaId, grants: Vec<NodeGrants>, effects: &mut Vec<Effect>) {
        if self.is_leader(from) {
            pass_on(grants, effects);
        }
    }

    /// Tells all machines which servers fail, when that has changed.
    pub(super) fn suspect(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let Some(leading) = &mut self.leading else { return };
        if now < leading.suspicions_due {
            return;
        }
        leading.suspicions_due = now + SUSPICION_PERIOD;
        let Some(suspicions) = leading.pool.changed_suspicions(now) else { return };
        self.tell_all(&PeerMessage::Suspicions(suspicions.clone()), effects);
        self.feed.suspicions.set(suspicions, now);
        effects.push(Effect::FeedChanged);
    }

    /// Tells all machines how many requests are at the servers, when that is due.
    pub(super) fn tell_loads(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let Some(leading) = &mut self.leading else { return };
        let Some(loads) = leading.loads.next_message(now, &self.feed.roster) else { return };
        self.tell_all(&PeerMessage::Loads(loads.clone()), effects);
        self.feed.loads.set(loads, now);
        effects.push(Effect::FeedChanged);
    }

    /// Has the quotas of a new version read.
    fn ask_quotas(&mut self, effects: &mut Vec<Effect>) {
        let version = self.state.version();
        let Some(leading) = &mut self.leading else { return };
        if leading.quotas_version != version {
            leading.quotas_version = version;
            effects.push(Effect::ParseQuotas { version, body: self.state.body().clone() });
        }
    }

    /// The quotas of a version were read.
    pub fn set_quotas(&mut self, version: u64, quotas: Vec<TenantQuota>) {
        if let Some(leading) = self.leading.as_mut().filter(|leading| leading.quotas_version == version) {
            leading.quotas = Some(quotas);
        }
    }

    /// The platform's list was read; the reading began at `read_at`.
    pub fn handle_list(
        &mut self,
        now: u64,
        read_at: u64,
        servers: Vec<ServerEntry>,
        effects: &mut Vec<Effect>,
    ) {
        if !self.holds_lease(now) {
            return;
        }
        let term = self.replica.term();
        let update = roster::list_difference(&self.feed.roster, term, servers, now);
        if !self.take_update(now, update.as_ref(), effects) {
            return;
        }
        let age_ms = now.saturating_sub(read_at) / MILLISECOND;
        self.roster_is(age_ms, now);
        self.tell_roster(age_ms, update, effects);
    }

    /// A page of the list was read, and others follow. A server that drains is told of at once: the whole of a long list
    /// takes seconds.
    pub fn handle_list_page(&mut self, now: u64, page: &[ServerEntry], effects: &mut Vec<Effect>) {
        if !self.holds_lease(now) {
            return;
        }
        let term = self.replica.term();
        let update = roster::page_difference(&self.feed.roster, term, page, now);
        if update.is_some() && self.take_update(now, update.as_ref(), effects) {
            self.tell_roster(self.feed.freshness.roster_age_ms(now), update, effects);
        }
    }

    /// Applies a change of the roster, if there is one; false if it can't be used.
    fn take_update(&mut self, now: u64, update: Option<&RosterUpdate>, effects: &mut Vec<Effect>) -> bool {
        let Some(update) = update else { return true };
        if let Err(error) = self.feed.roster.apply(update.clone(), now) {
            warn!(self.log, "the list of servers can't be used"; "reason" => %error);
            return false;
        }
        effects.push(Effect::FeedChanged);
        true
    }

    fn tell_roster(&mut self, age_ms: u64, update: Option<RosterUpdate>, effects: &mut Vec<Effect>) {
        let offset = self.feed.roster.offset().unwrap_or_default();
        self.tell_all(&PeerMessage::Roster(RosterAnnouncement { offset, age_ms, update }), effects);
    }

    /// The list can't be read here: another member is asked to read it, one at a time.
    pub fn delegate_list_read(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let others: Vec<Member> = self.others().cloned().collect();
        let held = self.holds_lease(now);
        let Some(leading) = self.leading.as_mut().filter(|_| held && !others.is_empty()) else { return };
        if leading.delegation.is_some_and(|last| now < last.asked_at + DELEGATION) {
            return;
        }
        leading.delegations += 1;
        let request = leading.delegations;
        let to = &others[request as usize % others.len()];
        leading.delegation = Some(Delegation { request, to: to.id, asked_at: now });
        self.send(to, PeerMessage::ListRequest(request), effects);
    }

    /// A member has read the list for this leader.
    pub(super) fn delegated(
        &mut self,
        now: u64,
        from: ReplicaId,
        read: ListResponse,
        effects: &mut Vec<Effect>,
    ) {
        let Some(leading) = &mut self.leading else { return };
        let asked = leading.delegation.filter(|asked| asked.request == read.request && asked.to == from);
        let Some(asked) = asked else { return };
        leading.delegation = None;
        if let Some(servers) = read.servers.filter(|_| now < asked.asked_at + DELEGATION) {
            self.handle_list(now, asked.asked_at, servers, effects);
        }
    }

    /// The leader tells how its roster stands.
    pub(super) fn roster_told(
        &mut self,
        now: u64,
        from: ReplicaId,
        news: RosterAnnouncement,
        effects: &mut Vec<Effect>,
    ) {
        if !self.is_leader(from) {
            return;
        }
        if let Some(update) = news.update {
            match self.feed.roster.apply(update, now) {
                Ok(_) => effects.push(Effect::FeedChanged),
                Err(error) => warn!(self.log, "the leader's list can't be used"; "reason" => %error),
            }
        }
        let held = self.feed.roster.offset().unwrap_or_default();
        if held == news.offset {
            self.roster_is(news.age_ms, now);
        } else if let Some(leader) = self.replica.leader() {
            self.send(leader, PeerMessage::RosterRequest(held), effects);
        }
    }

    /// A member's roster stands elsewhere than the leader's.
    pub(super) fn roster_wanted(
        &self,
        now: u64,
        from: ReplicaId,
        held: RosterOffset,
        effects: &mut Vec<Effect>,
    ) {
        let roster = &self.feed.roster;
        let Some(member) = self.replica.membership().get(from) else { return };
        let Some(offset) = roster.offset().filter(|offset| self.leading.is_some() && held < *offset) else {
            return;
        };
        let update = roster.changes_since(held, now).or_else(|| roster.full_update(now));
        let age_ms = self.feed.freshness.roster_age_ms(now);
        self.send(member, PeerMessage::Roster(RosterAnnouncement { offset, age_ms, update }), effects);
    }

    /// The roster held shows the platform's list as it was `age_ms` ago.
    fn roster_is(&mut self, age_ms: u64, now: u64) {
        let tick = Heartbeat {
            confirmed_age_ms: dunelink_feed::NEVER_CONFIRMED_MS,
            configuration_version: 0,
            roster: self.feed.roster.offset().unwrap_or_default(),
            roster_age_ms: age_ms,
        };
        self.feed.freshness.update(&tick, true, now);
    }
}

fn pass_on(grants: Vec<NodeGrants>, effects: &mut Vec<Effect>) {
    effects.extend(grants.into_iter().map(|NodeGrants { node, update }| Effect::Grants { node, update }));
}
