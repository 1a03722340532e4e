//! One node's part in the fleet's decisions: it combines the register, the leases and the partition detection
//! on one timer, sends their requests and acts on the responses.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::eviction::{Evictions, Refusal};
use crate::lease::{Grantor, LeaseBounds, LeaseHolder, LeaseRequest, LeaseResponse, Resource};
use crate::limit_share::LimitShare;
use crate::partition::{PartitionSide, Reachability};
use crate::process::{ElectorNames, Name, Process};
use crate::register::{Ballot, Message, Register};
use crate::view::{Change, View};

/// The lease that allows an elector to propose views. It only avoids competing proposals; safety does not
/// depend on it.
const PROPOSER_LEASE: Resource = 0;
/// The lease that allows a node to report that it is not ready: one node at a time does.
const UNREADY_LEASE: Resource = 1;
/// Heartbeats per lease duration.
const HEARTBEATS_PER_LEASE: u64 = 4;
/// The largest number of changes that wait for the proposer.
const MAX_PENDING_CHANGES: usize = 64;

/// What the coordinators of two nodes send to each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FleetMessage {
    /// For deciding views.
    Register(Message),
    /// A lease request, with generation and epoch of the view that its sender knows: a node that renews its
    /// name lease under an old view may have to take a smaller share.
    #[serde(rename = "Ask")]
    LeaseRequest(LeaseRequest, Ballot, u64),
    /// The response to a lease request.
    #[serde(rename = "Answer")]
    LeaseResponse(LeaseResponse),
    /// A heartbeat with generation and epoch of the view that its sender knows; a receiver with a newer view
    /// sends that view back.
    Hello(Ballot, u64),
    /// The response to `Hello`, with the same fields.
    #[serde(rename = "Here")]
    HelloReply(Ballot, u64),
    /// A change that its sender proposes.
    #[serde(rename = "Want")]
    Propose(Change),
}

/// Fixed settings of one node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node's process.
    pub me: Process,
    /// The electors' names, the same at all nodes.
    pub elector_names: ElectorNames,
    /// Lease duration and clock accuracy.
    pub lease_bounds: LeaseBounds,
    /// The configured number of nodes of the fleet.
    pub configured_nodes: usize,
    /// The seed for random delays.
    pub seed: u64,
}

/// An event for the coordinator.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message from a process whose identity has been verified.
    Received(Process, FleetMessage),
    /// The other processes that this node sees as alive.
    AliveProcesses(Vec<Process>),
    /// A change that an operator proposes; [`Coordinator::validate`] tells beforehand whether it can be
    /// decided.
    Propose(Change),
    /// Whether this node wants the right to report that it is not ready.
    WantUnready(bool),
}

/// The leases that a node can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseKind {
    /// The lease on the node's own name, which entitles it to its share of the fleet's limits.
    NodeName,
    /// The right to propose views.
    Proposer,
    /// The right to report that the node is not ready.
    Unready,
}

/// An action for the caller, or a notification.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this message to the process that runs under a name.
    Send(Name, FleetMessage),
    /// A view was decided.
    Decided(View),
    /// The side of a network partition that this node is on has changed.
    PartitionSide(PartitionSide),
    /// A lease was acquired (`true`) or lost (`false`), and how many microseconds ago it was lost: more than
    /// 0 if the process was paused when it expired.
    Lease(LeaseKind, bool, Micros),
    /// A proposed change was rejected: it has no effect, or it cannot be decided.
    Rejected(Change),
    /// The share of the fleet's limits that this node takes from now on.
    LimitShare(f64),
}

/// A node's state towards the rest of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// The newest decided view that it knows.
    pub view: Option<View>,
    /// The side of a network partition that it is on.
    pub side: PartitionSide,
    /// The remaining time of its name lease; 0 if it does not hold it.
    pub name_lease_left: Micros,
    /// Whether it holds the lease to propose views.
    pub holds_proposer_lease: bool,
    /// Whether it holds the lease to report that it is not ready.
    pub holds_unready_lease: bool,
    /// The electors that answered recently, including itself if it is one.
    pub reachable_electors: Vec<Name>,
    /// The share of the fleet's limits that it takes.
    pub limit_share: f64,
}

/// The coordinator of one node.
pub struct Coordinator {
    settings: Settings,
    register: Register,
    /// The elector's side of leases; `None` if this node is no elector.
    grantor: Option<Grantor>,
    name_lease: LeaseHolder,
    proposer_lease: LeaseHolder,
    unready_lease: LeaseHolder,
    wants_unready: bool,
    evictions: Evictions,
    reachability: Reachability,
    limit_share: LimitShare,
    /// When each other process was last reported as alive.
    last_seen: BTreeMap<Process, Micros>,
    /// Proposed changes that are not decided yet.
    pending_changes: Vec<Change>,
    started_at: Micros,
    heartbeat_at: Micros,
    /// No new proposal before this time: a ballot in progress gets time to complete.
    propose_not_before: Micros,
    /// The proposer lease is not requested before this time, after others competed for it.
    proposer_backoff_until: Micros,
    /// The same for the unready lease.
    unready_backoff_until: Micros,
    /// The side last reported.
    side: PartitionSide,
    /// Whether the name, proposer and unready leases (in this order) were held at the last check.
    was_held: [bool; 3],
    /// The share last reported.
    share: f64,
    /// Since when this process has been a member that holds its name lease; 0 if it need not wait.
    member_since: Option<Micros>,
    random_state: u64,
}

/// The resource of the lease on a node's name.
fn resource(name: Name) -> Resource {
    name | 1 << 63
}

impl Coordinator {
    /// A process that starts at `now`.
    pub fn new(settings: Settings, now: Micros) -> Coordinator {
        let Settings { me, elector_names: names, lease_bounds: bounds, configured_nodes: nodes, seed } =
            settings.clone();
        let contact_timeout = bounds.lease;
        Coordinator {
            register: Register::new(me, names.clone()),
            grantor: names.contains(me.name).then(|| Grantor::new(bounds, now)),
            name_lease: LeaseHolder::new(bounds, names.clone(), resource(me.name)),
            proposer_lease: LeaseHolder::new(bounds, names.clone(), PROPOSER_LEASE),
            unready_lease: LeaseHolder::new(bounds, names.clone(), UNREADY_LEASE),
            wants_unready: false,
            evictions: Evictions::default(),
            reachability: Reachability::new(me.name, names, contact_timeout),
            limit_share: LimitShare::new(nodes),
            last_seen: BTreeMap::new(),
            pending_changes: Vec::new(),
            started_at: now,
            heartbeat_at: now,
            propose_not_before: 0,
            proposer_backoff_until: 0,
            unready_backoff_until: 0,
            side: PartitionSide::Alone,
            was_held: [false; 3],
            share: 0.0,
            member_since: None,
            random_state: seed | 1,
            settings,
        }
    }

    fn heartbeat_interval(&self) -> Micros {
        self.settings.lease_bounds.lease / HEARTBEATS_PER_LEASE
    }

    /// A random number below `limit` (xorshift, Marsaglia, 2003).
    fn random(&mut self, limit: u64) -> u64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state % limit.max(1)
    }

    /// When [`Self::handle`] should be called next, even if no event has happened.
    pub fn next_wakeup(&self, now: Micros) -> Micros {
        let expirations = self
            .lease_states()
            .map(|(_, holder)| holder.expires_at())
            .into_iter()
            .filter(|expires_at| *expires_at > now);
        expirations.fold(self.heartbeat_at, Micros::min)
    }

    /// Handles an event and appends the resulting outputs. Leases that have expired are reported first.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.report_changes(now, out);
        match input {
            Input::Tick => {}
            Input::Received(from, message) => self.handle_message(now, from, message, out),
            Input::AliveProcesses(others) => {
                others
                    .iter()
                    .chain([&self.settings.me])
                    .for_each(|process| self.register.set_running(*process));
                let with_time = |process: Process| (process, now);
                self.last_seen.extend(others.into_iter().map(with_time));
                let grant_duration = self.settings.lease_bounds.grantor_duration();
                self.last_seen.retain(|_, at| now.saturating_sub(*at) <= 2 * grant_duration);
            }
            Input::Propose(change) => self.add_pending_change(change, out),
            Input::WantUnready(wanted) => self.set_wants_unready(now, wanted, out),
        }
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.heartbeat_interval() + self.random(self.heartbeat_interval() / 4);
            self.heartbeat(now, out);
        }
        self.report_changes(now, out);
    }

    /// The newest decided view that this node knows.
    pub fn view(&self) -> Option<&View> {
        self.register.view()
    }

    /// The node's state at `now`.
    pub fn status(&self, now: Micros) -> NodeStatus {
        NodeStatus {
            view: self.register.view().cloned(),
            side: self.reachability.side(now),
            name_lease_left: self.name_lease.expires_at().saturating_sub(now),
            holds_proposer_lease: self.proposer_lease.is_held(now),
            holds_unready_lease: self.unready_lease.is_held(now),
            reachable_electors: self.reachability.reachable_electors(now).collect(),
            limit_share: self.share,
        }
    }

    fn lease_states(&self) -> [(LeaseKind, &LeaseHolder); 3] {
        [
            (LeaseKind::NodeName, &self.name_lease),
            (LeaseKind::Proposer, &self.proposer_lease),
            (LeaseKind::Unready, &self.unready_lease),
        ]
    }

    /// Whether a change can be decided, as far as this node knows.
    ///
    /// # Errors
    ///
    /// The reason why it cannot.
    pub fn validate(&self, change: &Change) -> Result<(), Refusal> {
        let view = self.register.view().ok_or(Refusal::NoView)?;
        if !self.settings.elector_names.contains(self.settings.me.name) && Evictions::is_eviction(change) {
            return Err(Refusal::NotElector);
        }
        Evictions::validate(change, view, &self.settings.elector_names, self.settings.configured_nodes)
    }

    /// Starts requesting the unready lease, or releases it at once when it is no longer wanted.
    fn set_wants_unready(&mut self, now: Micros, wanted: bool, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.wants_unready, wanted) && !wanted {
            let lease_request = self.unready_lease.release(now);
            self.send_lease_request(lease_request, out);
        }
    }

    /// Reports what has changed: leases, partition side and limit share.
    fn report_changes(&mut self, now: Micros, out: &mut Vec<Output>) {
        let lease_states =
            self.lease_states().map(|(lease, holder)| (lease, holder.is_held(now), holder.expires_at()));
        let holds_name = lease_states[0].1;
        for (before, (lease, held, expires_at)) in self.was_held.iter_mut().zip(lease_states) {
            if std::mem::replace(before, held) != held {
                // A released lease ends now.
                let lost_ago = if held || expires_at == 0 { 0 } else { now.saturating_sub(expires_at) };
                out.push(Output::Lease(lease, held, lost_ago));
            }
        }
        let side = self.reachability.side(now);
        if std::mem::replace(&mut self.side, side) != side {
            out.push(Output::PartitionSide(side));
        }
        let members = self.members_to_share_with(now, holds_name);
        let share = self.limit_share.update(now, members, self.settings.configured_nodes);
        if std::mem::replace(&mut self.share, share) != share {
            out.push(Output::LimitShare(share));
        }
    }

    /// The number of members that share the limits, if this process may take a full share: it is a member,
    /// holds its name lease, and has done so for as long as other nodes may still hold leases under a view
    /// without it. The founders of the first view need not wait, as there were no members before.
    fn members_to_share_with(&mut self, now: Micros, holds_name: bool) -> Option<usize> {
        let me = self.settings.me;
        let view = self.register.view().filter(|view| holds_name && !self.register.has_lost_majority(view));
        let view = view.filter(|view| view.members.get(&me.name) == Some(&me.instance));
        let Some((members, is_first)) = view.map(|view| (view.members.len(), view.epoch == 1)) else {
            self.member_since = None;
            return None;
        };
        let grant_duration = self.settings.lease_bounds.grantor_duration();
        let since = *self.member_since.get_or_insert(if is_first { 0 } else { now });
        (since == 0 || now.saturating_sub(since) >= grant_duration).then_some(members)
    }

    fn known_epoch(&self) -> (Ballot, u64) {
        self.register.view().map_or_else(Default::default, |view| (view.generation, view.epoch))
    }

    fn send_to_electors(&self, message: &FleetMessage, out: &mut Vec<Output>) {
        out.extend(self.settings.elector_names.iter().map(|name| Output::Send(name, message.clone())));
    }

    fn send_lease_request(&self, lease_request: LeaseRequest, out: &mut Vec<Output>) {
        let (generation, epoch) = self.known_epoch();
        self.send_to_electors(&FleetMessage::LeaseRequest(lease_request, generation, epoch), out);
    }

    fn send_register_messages(messages: Vec<(Name, Message)>, out: &mut Vec<Output>) {
        out.extend(
            messages.into_iter().map(|(to, message)| Output::Send(to, FleetMessage::Register(message))),
        );
    }

    fn handle_message(&mut self, now: Micros, from: Process, message: FleetMessage, out: &mut Vec<Output>) {
        let is_response = matches!(
            message,
            FleetMessage::LeaseResponse(_) | FleetMessage::HelloReply(..) | FleetMessage::Register(_)
        );
        // Only a response shows that the path is open in both directions.
        if is_response {
            self.reachability.record_contact(now, from.name);
        }
        match message {
            // Only electors decide views, and only the proposer itself changes the members.
            FleetMessage::Register(_) if !self.settings.elector_names.contains(from.name) => {}
            FleetMessage::Propose(Change::Admit(_) | Change::Remove(_) | Change::Move(..)) => {}
            // Evictions are accepted only from electors, where operators request them.
            FleetMessage::Propose(change)
                if Evictions::is_eviction(&change) && !self.settings.elector_names.contains(from.name) => {}
            FleetMessage::Register(message) => {
                let mut outgoing = Vec::new();
                let decided = self.register.handle(from, message, &mut outgoing);
                Coordinator::send_register_messages(outgoing, out);
                if let Some(view) = decided {
                    // All other nodes learn the view from the elector they ask, or request it.
                    self.pending_changes.retain(|change| !is_applied(change, &view));
                    self.propose_not_before = now;
                    self.evictions.record_view(now, &view);
                    out.push(Output::Decided(view));
                    // When a partition heals, many nodes rejoin at once: the remaining changes do not wait
                    // for the next heartbeat.
                    if self.proposer_lease.is_held(now) && self.grantor.is_some() {
                        self.propose(now, out);
                    }
                }
            }
            FleetMessage::LeaseRequest(lease_request, generation, epoch) => {
                let is_outdated = self.is_outdated_renewal(from, &lease_request, generation, epoch);
                if let Some(grantor) = &mut self.grantor {
                    let refusal = LeaseResponse {
                        resource: lease_request.resource,
                        number: lease_request.number,
                        granted: false,
                    };
                    let response =
                        if is_outdated { refusal } else { grantor.handle(now, from, lease_request) };
                    out.push(Output::Send(from.name, FleetMessage::LeaseResponse(response)));
                }
            }
            FleetMessage::LeaseResponse(response) => {
                self.name_lease.handle(from, response);
                self.proposer_lease.handle(from, response);
                self.unready_lease.handle(from, response);
                if !response.granted {
                    self.release_partial_grants(now, response.resource, out);
                }
            }
            FleetMessage::Hello(generation, epoch) => {
                let (known_generation, known_epoch) = self.known_epoch();
                out.push(Output::Send(from.name, FleetMessage::HelloReply(known_generation, known_epoch)));
                let Some(view) = self.register.view() else { return };
                let is_older = if generation == known_generation {
                    epoch < known_epoch
                } else {
                    !self.register.has_lost_majority(view)
                };
                if is_older {
                    let decided = Message::Decided(self.register.ballot(), view.clone());
                    out.push(Output::Send(from.name, FleetMessage::Register(decided)));
                }
            }
            FleetMessage::HelloReply(..) => {}
            FleetMessage::Propose(change) => self.add_pending_change(change, out),
        }
    }

    /// Another process holds the lease or competes for it: releases the grants that this node already has. If
    /// several processes kept partial grants, none of them would get a majority.
    fn release_partial_grants(&mut self, now: Micros, resource: Resource, out: &mut Vec<Output>) {
        let backoff_until = now + self.heartbeat_interval() / 4 + self.random(2 * self.heartbeat_interval());
        let (holder, current_backoff) = match resource {
            PROPOSER_LEASE => (&mut self.proposer_lease, &mut self.proposer_backoff_until),
            UNREADY_LEASE if self.wants_unready => (&mut self.unready_lease, &mut self.unready_backoff_until),
            _ => return,
        };
        // The response to a release is a refusal, too.
        if now < *current_backoff || holder.is_held(now) {
            return;
        }
        *current_backoff = backoff_until;
        let lease_request = holder.release(now);
        self.send_lease_request(lease_request, out);
    }

    /// Whether a process wants to renew its name lease under an old view: members may have joined since, so
    /// that its share would now be too large. It learns the newest view and requests again.
    fn is_outdated_renewal(
        &self,
        from: Process,
        lease_request: &LeaseRequest,
        generation: Ballot,
        epoch: u64,
    ) -> bool {
        let Some((newest_generation, newest_epoch)) = self.register.newest_epoch() else { return false };
        let knows_no_view = epoch == 0;
        let is_name_request = lease_request.resource == resource(from.name) && !lease_request.release;
        is_name_request && !knows_no_view && (generation != newest_generation || epoch < newest_epoch)
    }

    /// Keeps a proposed change until it is decided; the holder of the proposer lease proposes it.
    fn add_pending_change(&mut self, change: Change, out: &mut Vec<Output>) {
        if self.pending_changes.len() >= MAX_PENDING_CHANGES || self.pending_changes.contains(&change) {
            return;
        }
        self.pending_changes.push(change.clone());
        self.send_to_electors(&FleetMessage::Propose(change), out);
    }

    fn heartbeat(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (generation, epoch) = self.known_epoch();
        self.send_to_electors(&FleetMessage::Hello(generation, epoch), out);
        let lease_request = self.name_lease.request(now);
        self.send_lease_request(lease_request, out);
        if self.wants_unready && now >= self.unready_backoff_until {
            let lease_request = self.unready_lease.request(now);
            self.send_lease_request(lease_request, out);
        }
        let Some(grantor) = &self.grantor else { return };
        if grantor.is_granting(now) {
            self.register.allow_founding();
        }
        if now >= self.proposer_backoff_until {
            let lease_request = self.proposer_lease.request(now);
            self.send_lease_request(lease_request, out);
        }
        if self.proposer_lease.is_held(now) && now >= self.propose_not_before {
            self.propose(now, out);
        }
    }

    /// Proposes the next change: first changes of the members, then expired evictions, then changes that
    /// others asked for.
    fn propose(&mut self, now: Micros, out: &mut Vec<Output>) {
        // A generation that has lost its majority is replaced by founding a new one.
        let change = match self.register.view().filter(|view| !self.register.has_lost_majority(view)) {
            None => None,
            Some(view) => {
                let (view, names) = (view.clone(), &self.settings.elector_names);
                let is_elector =
                    |change: &Change| matches!(change, Change::Admit(p) if names.contains(p.name));
                // Changes that can't be decided must not block those that can.
                let cannot_be_decided = |change: &mut Change| {
                    view.apply(change, is_elector(change)).is_none()
                        || Evictions::validate(change, &view, names, self.settings.configured_nodes).is_err()
                };
                out.extend(self.pending_changes.extract_if(.., cannot_be_decided).map(Output::Rejected));
                let next_change =
                    || self.evictions.expired(now, &view).or_else(|| self.pending_changes.first().cloned());
                match self.membership(now, &view).or_else(next_change) {
                    Some(change) => Some(change),
                    None => return,
                }
            }
        };
        self.propose_not_before = now + 2 * self.heartbeat_interval();
        let mut outgoing = Vec::new();
        self.register.propose(change, &mut outgoing);
        Coordinator::send_register_messages(outgoing, out);
    }

    /// The next membership change: processes that are alive join, processes that are gone or evicted leave.
    /// All changes that leave the electors as they are go into one view; new electors join one at a time.
    fn membership(&self, now: Micros, view: &View) -> Option<Change> {
        let (bounds, members) = (self.settings.lease_bounds, &view.members);
        let me = self.settings.me;
        let is_recent = |at: &Micros| now.saturating_sub(*at) <= self.heartbeat_interval();
        let alive = self.last_seen.iter().filter(|(_, at)| is_recent(at)).map(|(process, _)| *process);
        // An earlier process of the same name may still hold its lease: the new process joins once that lease
        // has expired or been released.
        let old_lease_expired = |new: &Process| {
            let old = members.get(&new.name).map(|instance| Process { name: new.name, instance: *instance });
            old.is_none_or(|old| self.absent_for(now, old) >= bounds.lease)
        };
        let new = |p: &Process| {
            members.get(&p.name) != Some(&p.instance)
                && !Evictions::is_evicted(view, p.name)
                && old_lease_expired(p)
        };
        let becomes_elector = |p: &Process| {
            self.settings.elector_names.contains(p.name) && view.electors.get(&p.name) != Some(&p.instance)
        };
        let (new_electors, joining): (Vec<Process>, Vec<Process>) =
            alive.chain([me]).filter(new).partition(becomes_elector);
        // Its lease has expired on every clock.
        let should_leave = |process: &Process| {
            Evictions::is_evicted(view, process.name)
                || *process != me
                    && self.absent_for(now, *process) > bounds.grantor_duration()
                    && !joining.iter().any(|new| new.name == process.name)
        };
        let current_members =
            members.iter().map(|(name, instance)| Process { name: *name, instance: *instance });
        let leaving: Vec<Process> = current_members.filter(should_leave).collect();
        if joining.is_empty() && leaving.is_empty() {
            return new_electors.first().copied().map(Change::Admit);
        }
        Some(Change::Move(joining, leaving))
    }

    /// How long a process has been absent, as far as this node can know; 0 while this elector's grant of its
    /// name lease lasts.
    fn absent_for(&self, now: Micros, process: Process) -> Micros {
        let grant_holder =
            self.grantor.as_ref().and_then(|grantor| grantor.holder(now, resource(process.name)));
        match grant_holder == Some(process) {
            true => 0,
            false => now.saturating_sub(self.last_seen.get(&process).copied().unwrap_or(self.started_at)),
        }
    }
}

fn is_applied(change: &Change, view: &View) -> bool {
    match change {
        Change::Admit(p) => view.members.get(&p.name) == Some(&p.instance),
        Change::Remove(p) => view.members.get(&p.name) != Some(&p.instance),
        Change::Set(key, value) => view.facts.get(key) == Some(value),
        Change::Clear(key) => !view.facts.contains_key(key),
        Change::Move(joining, leaving) => {
            let has = |p: &Process| view.members.get(&p.name) == Some(&p.instance);
            joining.iter().all(has) && !leaving.iter().any(has)
        }
    }
}
