//! Tasks of the leader beside the log: list of servers, quota grants, failing servers and fleet loads.

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

/// Interval between evaluations of the failing servers, in microseconds.
const SUSPICION_INTERVAL_US: u64 = 1_000 * MILLISECOND;
/// Time within which a member must answer a request to read the list, in microseconds.
const LIST_RESPONSE_TIMEOUT_US: u64 = 1_000 * MILLISECOND;
/// Most nodes for which the control machine of their agent is kept.
const MAX_NODES: usize = 8_192;

/// State that only the leader keeps.
#[derive(Debug)]
pub(super) struct LeaderState {
    allocator: Allocator,
    /// Quotas of the tenants; `None` until those of a configuration have been parsed.
    quotas: Option<Vec<TenantQuota>>,
    /// Newest version whose quotas have been requested.
    quotas_version: u64,
    /// Control machine that passed on the last report of each node.
    agent_machines: BTreeMap<String, ReplicaId>,
    /// Request outcomes that nodes report by server.
    outcomes: OutcomePool,
    loads: LoadSums,
    /// Time of the next evaluation of the failing servers, in microseconds.
    next_suspicions_at: u64,
    /// Outstanding request to a member to read the list.
    list_request: Option<ListRequest>,
    /// Number of list requests sent; also the number of the last one.
    list_request_count: u64,
}

/// Request to another member to read the list.
#[derive(Debug, Clone, Copy)]
struct ListRequest {
    request: u64,
    to: ReplicaId,
    sent_at: u64,
}

impl Node {
    /// Creates the leader's state when the lease is acquired, and drops it when the leadership ends.
    pub(super) fn update_leader_state(&mut self, now: u64, was_leading: bool, effects: &mut Vec<Effect>) {
        let is_leader = self.replica.is_leader();
        if is_leader && self.leader_state.is_none() && self.holds_lease(now) {
            let allocator = Allocator::new(self.settings.quota, self.replica.term(), now);
            let history_request = allocator.history_request();
            self.broadcast(&PeerMessage::HistoryRequest(history_request.clone()), effects);
            effects.push(Effect::RequestHistory(history_request));
            self.leader_state = Some(LeaderState {
                allocator,
                quotas: (self.state.version() == 0).then(Vec::new),
                quotas_version: 0,
                agent_machines: BTreeMap::new(),
                outcomes: OutcomePool::default(),
                loads: LoadSums::new(now),
                next_suspicions_at: now,
                list_request: None,
                list_request_count: 0,
            });
            info!(self.log, "lease acquired"; "term" => self.replica.term());
        }
        if !is_leader {
            self.leader_state = None;
        }
        if self.leader_state.is_some() != was_leading {
            effects.push(Effect::LeaseChanged);
        }
    }

    /// Handles reports of agents that are connected to `machine`.
    pub(super) fn handle_reports(&mut self, now: u64, machine: ReplicaId, reports: Vec<NodeReport>) {
        let Some(leader_state) = &mut self.leader_state else { return };
        for NodeReport { node, demand, observations, loads } in reports {
            if leader_state.agent_machines.len() >= MAX_NODES
                && !leader_state.agent_machines.contains_key(&node)
            {
                continue;
            }
            leader_state.allocator.observe_report(now, &node, &demand);
            leader_state.outcomes.add(now, &node, observations);
            leader_state.loads.report(now, &node, loads);
            leader_state.agent_machines.insert(node, machine);
        }
    }

    /// Allocates the quotas and sends each node its grants.
    pub(super) fn send_grants(&mut self, now: u64, effects: &mut Vec<Effect>) {
        self.request_quotas(effects);
        let version = self.state.version();
        let Some(leader_state) = &mut self.leader_state else { return };
        // Until the quotas are known, the grants of the previous leader cannot be taken over.
        let Some(quotas) = &leader_state.quotas else { return };
        let updates = leader_state.allocator.allocate(now, quotas, version);
        let mut by_machine: BTreeMap<ReplicaId, Vec<NodeGrants>> = BTreeMap::new();
        for (node, update) in updates {
            let Some(machine) = leader_state.agent_machines.get(&node) else { continue };
            by_machine.entry(*machine).or_default().push(NodeGrants { node, update });
        }
        for (machine, grants) in by_machine {
            if machine == self.me.id {
                deliver_grants(grants, effects);
            } else if let Some(member) = self.replica.membership().get(machine) {
                self.send(member, PeerMessage::Grants(grants), effects);
            }
        }
    }

    /// Handles grants for agents that are connected to this machine.
    pub(super) fn handle_grants(&self, from: ReplicaId, grants: Vec<NodeGrants>, effects: &mut Vec<Effect>) {
        if self.is_leader(from) {
            deliver_grants(grants, effects);
        }
    }

    /// Sends the failing servers to all machines when they have changed or are due to be repeated.
    pub(super) fn broadcast_suspicions(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let Some(leader_state) = &mut self.leader_state else { return };
        if now < leader_state.next_suspicions_at {
            return;
        }
        leader_state.next_suspicions_at = now + SUSPICION_INTERVAL_US;
        let Some(suspicions) = leader_state.outcomes.changed_suspicions(now) else { return };
        self.broadcast(&PeerMessage::Suspicions(suspicions.clone()), effects);
        self.feed.suspicions.set(suspicions, now);
        effects.push(Effect::FeedChanged);
    }

    /// Sends the requests in flight at the servers to all machines when that is due.
    pub(super) fn broadcast_loads(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(loads) = leader_state.loads.next_message(now, &self.feed.roster) else { return };
        self.broadcast(&PeerMessage::Loads(loads.clone()), effects);
        self.feed.loads.set(loads, now);
        effects.push(Effect::FeedChanged);
    }

    /// Requests the quotas of a configuration that has become current.
    fn request_quotas(&mut self, effects: &mut Vec<Effect>) {
        let version = self.state.version();
        let Some(leader_state) = &mut self.leader_state else { return };
        if leader_state.quotas_version != version {
            leader_state.quotas_version = version;
            effects.push(Effect::ParseQuotas { version, body: self.state.body().clone() });
        }
    }

    /// Sets the quotas of a configuration; those of an older version are ignored.
    pub fn set_quotas(&mut self, version: u64, quotas: Vec<TenantQuota>) {
        if let Some(leader_state) =
            self.leader_state.as_mut().filter(|leader_state| leader_state.quotas_version == version)
        {
            leader_state.quotas = Some(quotas);
        }
    }

    /// Handles a complete list of the platform, whose reading began at `read_at`.
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
        if !self.apply_roster_update(now, update.as_ref(), effects) {
            return;
        }
        let age_ms = now.saturating_sub(read_at) / MILLISECOND;
        self.confirm_roster(age_ms, now);
        self.broadcast_roster(age_ms, update, effects);
    }

    /// Handles a page of the list that others follow. Draining servers are announced at once: reading the
    /// whole of a long list takes seconds.
    pub fn handle_list_page(&mut self, now: u64, page: &[ServerEntry], effects: &mut Vec<Effect>) {
        if !self.holds_lease(now) {
            return;
        }
        let term = self.replica.term();
        let update = roster::page_difference(&self.feed.roster, term, page, now);
        if update.is_some() && self.apply_roster_update(now, update.as_ref(), effects) {
            self.broadcast_roster(self.feed.freshness.roster_age_ms(now), update, effects);
        }
    }

    /// Applies a change of the roster, if there is one; false if it is not applicable.
    fn apply_roster_update(
        &mut self,
        now: u64,
        update: Option<&RosterUpdate>,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(update) = update else { return true };
        if let Err(error) = self.feed.roster.apply(update.clone(), now) {
            warn!(self.log, "discarding the list of servers"; "reason" => %error);
            return false;
        }
        effects.push(Effect::FeedChanged);
        true
    }

    fn broadcast_roster(&mut self, age_ms: u64, update: Option<RosterUpdate>, effects: &mut Vec<Effect>) {
        let offset = self.feed.roster.offset().unwrap_or_default();
        self.broadcast(&PeerMessage::Roster(RosterAnnouncement { offset, age_ms, update }), effects);
    }

    /// Asks another member to read the list, which cannot be read here; one member at a time, in turn.
    pub fn delegate_list_read(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let others: Vec<Member> = self.others().cloned().collect();
        let holds_lease = self.holds_lease(now);
        let Some(leader_state) = self.leader_state.as_mut().filter(|_| holds_lease && !others.is_empty())
        else {
            return;
        };
        if leader_state.list_request.is_some_and(|last| now < last.sent_at + LIST_RESPONSE_TIMEOUT_US) {
            return;
        }
        leader_state.list_request_count += 1;
        let request = leader_state.list_request_count;
        let to = &others[request as usize % others.len()];
        leader_state.list_request = Some(ListRequest { request, to: to.id, sent_at: now });
        self.send(to, PeerMessage::ListRequest(request), effects);
    }

    /// Handles a list that a member has read for this leader.
    pub(super) fn handle_list_response(
        &mut self,
        now: u64,
        from: ReplicaId,
        response: ListResponse,
        effects: &mut Vec<Effect>,
    ) {
        let Some(leader_state) = &mut self.leader_state else { return };
        let sent_request = leader_state
            .list_request
            .filter(|sent_request| sent_request.request == response.request && sent_request.to == from);
        let Some(sent_request) = sent_request else { return };
        leader_state.list_request = None;
        if let Some(servers) =
            response.servers.filter(|_| now < sent_request.sent_at + LIST_RESPONSE_TIMEOUT_US)
        {
            self.handle_list(now, sent_request.sent_at, servers, effects);
        }
    }

    /// Handles the position and the changes of the leader's roster.
    pub(super) fn handle_roster(
        &mut self,
        now: u64,
        from: ReplicaId,
        announcement: RosterAnnouncement,
        effects: &mut Vec<Effect>,
    ) {
        if !self.is_leader(from) {
            return;
        }
        if let Some(update) = announcement.update {
            match self.feed.roster.apply(update, now) {
                Ok(_) => effects.push(Effect::FeedChanged),
                Err(error) => warn!(self.log, "discarding a roster update of the leader"; "reason" => %error),
            }
        }
        let own_offset = self.feed.roster.offset().unwrap_or_default();
        if own_offset == announcement.offset {
            self.confirm_roster(announcement.age_ms, now);
        } else if let Some(leader) = self.replica.leader() {
            self.send(leader, PeerMessage::RosterRequest(own_offset), effects);
        }
    }

    /// Handles the request of a member whose roster differs from the leader's.
    pub(super) fn handle_roster_request(
        &self,
        now: u64,
        from: ReplicaId,
        member_offset: RosterOffset,
        effects: &mut Vec<Effect>,
    ) {
        let roster = &self.feed.roster;
        let Some(member) = self.replica.membership().get(from) else { return };
        let Some(offset) =
            roster.offset().filter(|offset| self.leader_state.is_some() && member_offset < *offset)
        else {
            return;
        };
        let update = roster.changes_since(member_offset, now).or_else(|| roster.full_update(now));
        let age_ms = self.feed.freshness.roster_age_ms(now);
        self.send(member, PeerMessage::Roster(RosterAnnouncement { offset, age_ms, update }), effects);
    }

    /// Records that the roster has the content of the platform's list as it was `age_ms` ago.
    fn confirm_roster(&mut self, age_ms: u64, now: u64) {
        let tick = Heartbeat {
            confirmed_age_ms: dunelink_feed::NEVER_CONFIRMED_MS,
            configuration_version: 0,
            roster: self.feed.roster.offset().unwrap_or_default(),
            roster_age_ms: age_ms,
        };
        self.feed.freshness.update(&tick, true, now);
    }
}

fn deliver_grants(grants: Vec<NodeGrants>, effects: &mut Vec<Effect>) {
    effects.extend(grants.into_iter().map(|NodeGrants { node, update }| Effect::Grants { node, update }));
}
