//! The state machine of one control machine.
//!
//! It owns the replica, the replicated state and the feed for agents. Messages, operator requests, reports
//! and I/O results are passed in with the current time, and [`Effect`]s are appended to a list. It opens no
//! socket or file and reads no clock.

mod group;
mod leader;
mod proposals;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use dunelink_feed::{FeedState, NEVER_CONFIRMED_MS};
use dunelink_grants::QuotaBounds;
use dunelink_protocol::{GrantUpdate, Heartbeat, ProxyReport, RosterOffset, ServerEntry};
use dunelink_replication::{Input, Member, Record, RecoveredState, Replica, ReplicaId, Settings};
use slog::{Logger, info};

use crate::change_queue::{CallId, ChangeQueue, Reply};
use crate::message::{Envelope, ListResponse, PeerMessage};
use crate::reports::ReportBuffer;
use crate::state::{ApplyOutcome, ConfigurationState, Digest};
use group::Confirmation;
use leader::LeaderState;

/// Microseconds in a millisecond.
const MILLISECOND: u64 = 1_000;
/// After this long without contact to the leader, callers are not redirected to it, in microseconds.
const LEADER_CONTACT_TIMEOUT_US: u64 = 1_500 * MILLISECOND;
/// Within this time after the loss of a leader, a new one is usually elected and in contact, in microseconds.
const ELECTION_DURATION_US: u64 = 600 * MILLISECOND;

/// What the host of the state machine carries out.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to the machine at an internal address; it may be lost.
    Send {
        /// Internal address of the receiver.
        to: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// Make records durable for the current identity.
    Write {
        /// Number of the write; writes are numbered in their order.
        sequence: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Reply to a call.
    Reply {
        /// Number of the call.
        call: CallId,
        /// The reply.
        reply: Reply,
    },
    /// Parse the quotas of a configuration and pass them to [`Node::set_quotas`].
    ParseQuotas {
        /// Version of the configuration.
        version: u64,
        /// The operator's JSON.
        body: Bytes,
    },
    /// There may be something to send to the agents.
    FeedChanged,
    /// Deliver grants to an agent if it is connected here.
    Grants {
        /// Name of the agent's node.
        node: String,
        /// The grants.
        update: GrantUpdate,
    },
    /// Ask all agents connected here for what their proxies admitted in the quota window.
    RequestHistory(GrantUpdate),
    /// The lease was won or lost.
    LeaseChanged,
    /// Read the platform's list once for the leader.
    ReadList {
        /// Number of the request.
        request: u64,
        /// The leader, which receives the list.
        to: Member,
    },
    /// The group has removed this identity: wipe the store and call [`Node::rejoin_as`].
    Rejoin,
}

/// Settings of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Timing of the replica group.
    pub replication: Settings,
    /// Bounds of the quota allocation.
    pub quota: QuotaBounds,
    /// Control addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
}

/// State machine of one control machine.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    log: Logger,
    me: Member,
    replica: Replica,
    state: ConfigurationState,
    /// Outcomes of applied commands whose callers have not been replied to yet.
    outcomes: HashMap<Digest, ApplyOutcome>,
    changes: ChangeQueue,
    feed: FeedState,
    report_buffer: ReportBuffer,
    /// `None` unless this machine leads and has held the lease.
    leader_state: Option<LeaderState>,
    /// Control addresses of machines that may know the group: seeds and members.
    known_addresses: BTreeSet<SocketAddr>,
    /// Zones of control machines, as they report them when they connect.
    zones: BTreeMap<IpAddr, String>,
    confirmation: Confirmation,
    /// Time at which this identity was taken on, in microseconds.
    identity_since: u64,
    /// Whether the process is about to end: it takes no requests and does not rejoin.
    shutting_down: bool,
}

impl Node {
    /// Creates a node. `founding` names the voters if this start founds the group.
    pub fn new(
        settings: NodeSettings,
        me: Member,
        founding: Option<Vec<Member>>,
        recovered: RecoveredState,
        seed: u64,
        now: u64,
        log: Logger,
    ) -> Self {
        let replica = Replica::new(settings.replication.clone(), me.clone(), founding, recovered, seed, now);
        let known_addresses = settings.seeds.iter().copied().collect();
        Self {
            settings,
            log,
            me,
            replica,
            state: ConfigurationState::default(),
            outcomes: HashMap::new(),
            changes: ChangeQueue::default(),
            feed: FeedState::default(),
            report_buffer: ReportBuffer::default(),
            leader_state: None,
            known_addresses,
            zones: BTreeMap::new(),
            confirmation: Confirmation::begin(now),
            identity_since: now,
            shutting_down: false,
        }
    }

    /// Continues under a new identity with an empty store. The feed for agents is kept: its content was
    /// committed.
    pub fn rejoin_as(&mut self, id: ReplicaId, seed: u64, now: u64, effects: &mut Vec<Effect>) {
        for call in self.changes.abandon_all() {
            effects.push(Effect::Reply { call, reply: proposals::OUTCOME_UNKNOWN });
        }
        self.me.id = id;
        let settings = self.settings.replication.clone();
        self.replica = Replica::new(settings, self.me.clone(), None, RecoveredState::default(), seed, now);
        self.state = ConfigurationState::default();
        self.outcomes.clear();
        self.leader_state = None;
        self.confirmation = Confirmation::begin(now);
        self.identity_since = now;
        info!(self.log, "joining under a new identity"; "id" => %id);
    }

    /// This replica as a member of the group.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The replicated state.
    pub fn state(&self) -> &ConfigurationState {
        &self.state
    }

    /// The feed for agents. Call [`Self::update_freshness`] before it is read.
    pub fn feed(&self) -> &FeedState {
        &self.feed
    }

    /// Latest time at which [`Self::tick`] must be called, in microseconds.
    pub fn next_deadline(&self) -> u64 {
        self.replica.next_deadline()
    }

    /// Whether this machine holds the leader lease, so that no other machine can lead.
    pub fn holds_lease(&self, now: u64) -> bool {
        self.replica.holds_lease(now)
    }

    /// Call when the time of [`Self::next_deadline`] has come.
    pub fn tick(&mut self, now: u64, effects: &mut Vec<Effect>) {
        self.step_replica(now, Input::Tick, effects);
    }

    /// A write and all writes before it are durable.
    pub fn write_completed(&mut self, now: u64, sequence: u64, effects: &mut Vec<Effect>) {
        self.step_replica(now, Input::Written { sequence }, effects);
    }

    /// A write failed.
    pub fn write_failed(&mut self, now: u64, sequence: u64, effects: &mut Vec<Effect>) {
        self.step_replica(now, Input::WriteFailed { sequence }, effects);
    }

    /// Prepares for the end of the process: the leadership is transferred to another member.
    pub fn transfer_leadership(&mut self, now: u64, effects: &mut Vec<Effect>) {
        self.shutting_down = true;
        self.step_replica(now, Input::PrepareShutdown, effects);
    }

    /// Whether a shutdown has nothing left to wait for.
    pub fn can_shut_down(&self) -> bool {
        !self.replica.is_leader() && !self.replica.should_delay_shutdown() && self.changes.is_empty()
    }

    /// Replaces the seeds after a change of the settings file.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.settings.seeds = seeds.to_vec();
        self.add_known_addresses(seeds.iter().copied());
    }

    /// Handles a message from another control machine.
    pub fn handle_message(&mut self, now: u64, envelope: Envelope, effects: &mut Vec<Effect>) {
        let Envelope { from, to, message } = envelope;
        if to.is_some_and(|to| to != self.me.id) {
            return;
        }
        match message {
            PeerMessage::Replication(message) => self.handle_replication(now, from, message, effects),
            PeerMessage::JoinRequest(member) => self.handle_join_request(now, member, effects),
            PeerMessage::Members(members) => self.learn_members(members),
            PeerMessage::Reports(reports) => self.handle_reports(now, from, reports),
            PeerMessage::Grants(grants) => self.handle_grants(from, grants, effects),
            PeerMessage::HistoryRequest(request) => {
                if self.is_leader(from) {
                    effects.push(Effect::RequestHistory(request));
                }
            }
            PeerMessage::Roster(announcement) => self.handle_roster(now, from, announcement, effects),
            PeerMessage::RosterRequest(offset) => self.handle_roster_request(now, from, offset, effects),
            PeerMessage::Suspicions(suspicions) => {
                if self.is_leader(from) {
                    self.feed.suspicions.set(suspicions, now);
                    effects.push(Effect::FeedChanged);
                }
            }
            PeerMessage::Loads(loads) => {
                if self.is_leader(from) {
                    self.feed.loads.set(loads, now);
                    effects.push(Effect::FeedChanged);
                }
            }
            PeerMessage::ListRequest(request) => {
                if let Some(leader) = self.replica.leader().filter(|leader| leader.id == from) {
                    effects.push(Effect::ReadList { request, to: leader.clone() });
                }
            }
            PeerMessage::ListResponse(response) => self.handle_list_response(now, from, response, effects),
        }
    }

    /// Sends the messages that are due periodically; called several times a second.
    pub fn send_periodic(&mut self, now: u64, effects: &mut Vec<Effect>) {
        self.send_join_requests(now, effects);
        self.forward_reports(now, effects);
        if self.holds_lease(now) {
            self.send_grants(now, effects);
            self.broadcast_suspicions(now, effects);
            self.broadcast_loads(now, effects);
        }
    }

    /// Handles a report of an agent. A report that a new leader has requested is forwarded at once; others
    /// wait for the next [`Self::send_periodic`].
    pub fn handle_agent_report(
        &mut self,
        now: u64,
        node: &str,
        report: ProxyReport,
        effects: &mut Vec<Effect>,
    ) {
        let is_requested = report.demand.has_history;
        self.report_buffer.add(node, report);
        if is_requested {
            self.forward_reports(now, effects);
        }
    }

    /// Forwards the buffered reports to the leader, which may be this machine.
    fn forward_reports(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let reports = self.report_buffer.take();
        if reports.is_empty() {
            return;
        }
        if self.holds_lease(now) {
            self.handle_reports(now, self.me.id, reports);
        } else if let Some(leader) = self.replica.leader().cloned() {
            self.send(&leader, PeerMessage::Reports(reports), effects);
        }
    }

    /// Whether there was no contact to a leader for longer than an election takes: agents should then try
    /// another machine.
    fn is_isolated(&self, now: u64) -> bool {
        self.replica.time_since_leader_contact(now).is_none_or(|age| age > ELECTION_DURATION_US)
    }

    /// Updates the age that the feed states for its content.
    pub fn update_freshness(&mut self, now: u64) {
        let confirmed_age_ms = if self.holds_lease(now) {
            0
        } else {
            self.confirmation
                .confirmed_at
                .map_or(NEVER_CONFIRMED_MS, |at| now.saturating_sub(at) / MILLISECOND)
        };
        let tick = Heartbeat {
            confirmed_age_ms,
            configuration_version: self.state.version(),
            roster: RosterOffset::default(),
            roster_age_ms: NEVER_CONFIRMED_MS,
        };
        self.feed.freshness.update(&tick, false, now);
        if self.is_isolated(now) {
            self.feed.freshness.clear_confirmation();
        }
    }

    /// Whether this machine is in contact with a leader of the group and not shutting down.
    pub fn is_ready(&self, now: u64) -> bool {
        !self.shutting_down
            && self.replica.time_since_leader_contact(now).is_some_and(|age| age < LEADER_CONTACT_TIMEOUT_US)
    }

    /// Sends the leader the list that it asked for; `None` if it could not be read.
    pub fn answer_list_request(
        &self,
        to: &Member,
        request: u64,
        servers: Option<Vec<ServerEntry>>,
        effects: &mut Vec<Effect>,
    ) {
        self.send(to, PeerMessage::ListResponse(ListResponse { request, servers }), effects);
    }
}
