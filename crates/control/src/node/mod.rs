//! The state machine of one control machine.
//!
//! It owns the replica, the replicated state and what is fed to agents. It takes in messages, orders, reports and
//! results with the time, and appends [`Effect`]s. It opens no socket or file and reads no clock.

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
use group::Proof;
use leader::Leading;

/// Microseconds in a millisecond.
const MILLISECOND: u64 = 1_000;
/// A leader that was not heard for longer is not named to callers, in microseconds.
const LEADER_HEARD: u64 = 1_500 * MILLISECOND;
/// After this long without a leader another one is usually elected and heard, in microseconds.
const ELECTED_WITHIN: u64 = 600 * MILLISECOND;
/// What the adapter carries out.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to the machine at an internal address; it may be lost.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// Make records durable for the current identity.
    Write {
        /// Number of the write.
        sequence: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Answer a call.
    Reply {
        /// The call.
        call: CallId,
        /// The answer.
        reply: Reply,
    },
    /// Read the quotas of a configuration, for [`Node::set_quotas`].
    ParseQuotas {
        /// Its version.
        version: u64,
        /// The operator's JSON.
        body: Bytes,
    },
    /// Agents may lack something.
    FeedChanged,
    /// Grants for an agent that may be connected here.
    Grants {
        /// Name of its node.
        node: String,
        /// The grants.
        update: GrantUpdate,
    },
    /// A question for all agents connected here.
    RequestHistory(GrantUpdate),
    /// The lease was won or lost.
    LeaseChanged,
    /// Read the platform's list once, for the leader at an address.
    ReadList {
        /// Number of the request.
        request: u64,
        /// Who gets the list.
        to: Member,
    },
    /// This identity is gone: wipe the store and call [`Node::rejoin_as`].
    Rejoin,
}

/// What a node is told at its start.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Timing of the replica group.
    pub replication: Settings,
    /// Bounds of the quotas.
    pub quota: QuotaBounds,
    /// Control addresses to begin with.
    pub seeds: Vec<SocketAddr>,
}

/// One control machine.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    log: Logger,
    me: Member,
    replica: Replica,
    state: ConfigurationState,
    /// Outcomes of commands applied and not yet answered.
    verdicts: HashMap<Digest, ApplyOutcome>,
    changes: ChangeQueue,
    feed: FeedState,
    collected: ReportBuffer,
    leading: Option<Leading>,
    /// Control addresses of machines that may know the group.
    known: BTreeSet<SocketAddr>,
    zones: BTreeMap<IpAddr, String>,
    proof: Proof,
    /// When this identity began.
    began_at: u64,
    ending: bool,
}

impl Node {
    /// A node at its start. `founding` names the voters if this start founds the group.
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
        let known = settings.seeds.iter().copied().collect();
        Self {
            settings,
            log,
            me,
            replica,
            state: ConfigurationState::default(),
            verdicts: HashMap::new(),
            changes: ChangeQueue::default(),
            feed: FeedState::default(),
            collected: ReportBuffer::default(),
            leading: None,
            known,
            zones: BTreeMap::new(),
            proof: Proof::begin(now),
            began_at: now,
            ending: false,
        }
    }

    /// Goes on under a new identity with an empty store. What was fed to agents stays: it was committed.
    pub fn rejoin_as(&mut self, id: ReplicaId, seed: u64, now: u64, effects: &mut Vec<Effect>) {
        for call in self.changes.abandon_all() {
            effects.push(Effect::Reply { call, reply: proposals::UNCERTAIN });
        }
        self.me.id = id;
        let settings = self.settings.replication.clone();
        self.replica = Replica::new(settings, self.me.clone(), None, RecoveredState::default(), seed, now);
        self.state = ConfigurationState::default();
        self.verdicts.clear();
        self.leading = None;
        self.proof = Proof::begin(now);
        self.began_at = now;
        info!(self.log, "joining under a new identity"; "id" => %id);
    }

    /// This replica.
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

    /// What is fed to agents. Call [`Self::update_freshness`] before it is used.
    pub fn feed(&self) -> &FeedState {
        &self.feed
    }

    /// When [`Self::tick`] has to be called at the latest, in microseconds.
    pub fn next_deadline(&self) -> u64 {
        self.replica.next_deadline()
    }

    /// Whether this machine leads and no other can.
    pub fn holds_lease(&self, now: u64) -> bool {
        self.replica.holds_lease(now)
    }

    /// The time has come that [`Self::next_deadline`] named.
    pub fn tick(&mut self, now: u64, effects: &mut Vec<Effect>) {
        self.input(now, Input::Tick, effects);
    }

    /// A write is durable, and all before it.
    pub fn write_completed(&mut self, now: u64, sequence: u64, effects: &mut Vec<Effect>) {
        self.input(now, Input::Written { sequence }, effects);
    }

    /// A write failed.
    pub fn write_failed(&mut self, now: u64, sequence: u64, effects: &mut Vec<Effect>) {
        self.input(now, Input::WriteFailed { sequence }, effects);
    }

    /// The process is about to end: the leadership goes to another member.
    pub fn transfer_leadership(&mut self, now: u64, effects: &mut Vec<Effect>) {
        self.ending = true;
        self.input(now, Input::PrepareShutdown, effects);
    }

    /// Whether a process that is about to end has nothing left to wait for.
    pub fn can_shut_down(&self) -> bool {
        !self.replica.is_leader() && !self.replica.should_delay_shutdown() && self.changes.is_empty()
    }

    /// The settings file names other seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.settings.seeds = seeds.to_vec();
        self.know(seeds.iter().copied());
    }

    /// A message of another control machine.
    pub fn handle_message(&mut self, now: u64, envelope: Envelope, effects: &mut Vec<Effect>) {
        let Envelope { from, to, message } = envelope;
        if to.is_some_and(|to| to != self.me.id) {
            return;
        }
        match message {
            PeerMessage::Replication(message) => self.replication(now, from, message, effects),
            PeerMessage::JoinRequest(member) => self.join_request(now, member, effects),
            PeerMessage::Members(known) => self.members_told(known),
            PeerMessage::Reports(reports) => self.reported(now, from, reports),
            PeerMessage::Grants(grants) => self.granted(from, grants, effects),
            PeerMessage::HistoryRequest(question) => {
                if self.is_leader(from) {
                    effects.push(Effect::RequestHistory(question));
                }
            }
            PeerMessage::Roster(news) => self.roster_told(now, from, news, effects),
            PeerMessage::RosterRequest(offset) => self.roster_wanted(now, from, offset, effects),
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
            PeerMessage::ListResponse(read) => self.delegated(now, from, read, effects),
        }
    }

    /// Sends what is due regularly; called a few times a second.
    pub fn send_periodic(&mut self, now: u64, effects: &mut Vec<Effect>) {
        self.ask_to_join(now, effects);
        self.pass_reports(now, effects);
        if self.holds_lease(now) {
            self.allocate(now, effects);
            self.suspect(now, effects);
            self.tell_loads(now, effects);
        }
    }

    /// An agent reports what its proxy wants and has seen. What answers a new leader doesn't wait for a beat.
    pub fn handle_agent_report(
        &mut self,
        now: u64,
        node: &str,
        report: ProxyReport,
        effects: &mut Vec<Effect>,
    ) {
        let is_answer = report.demand.has_history;
        self.collected.add(node, report);
        if is_answer {
            self.pass_reports(now, effects);
        }
    }

    /// Passes what was collected to the leader, which may be this machine.
    fn pass_reports(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let reports = self.collected.take();
        if reports.is_empty() {
            return;
        }
        if self.holds_lease(now) {
            self.reported(now, self.me.id, reports);
        } else if let Some(leader) = self.replica.leader().cloned() {
            self.send(&leader, PeerMessage::Reports(reports), effects);
        }
    }

    /// Whether no leader was heard for longer than an election takes: agents had better try another machine.
    fn is_cut_off(&self, now: u64) -> bool {
        self.replica.time_since_leader_contact(now).is_none_or(|age| age > ELECTED_WITHIN)
    }

    /// Brings the signs of freshness in what is fed up to date.
    pub fn update_freshness(&mut self, now: u64) {
        let confirmed_age_ms = if self.holds_lease(now) {
            0
        } else {
            self.proof.confirmed_at.map_or(NEVER_CONFIRMED_MS, |at| now.saturating_sub(at) / MILLISECOND)
        };
        let tick = Heartbeat {
            confirmed_age_ms,
            configuration_version: self.state.version(),
            roster: RosterOffset::default(),
            roster_age_ms: NEVER_CONFIRMED_MS,
        };
        self.feed.freshness.update(&tick, false, now);
        if self.is_cut_off(now) {
            self.feed.freshness.clear_confirmation();
        }
    }

    /// Whether the group has a leader that this machine hears.
    pub fn is_ready(&self, now: u64) -> bool {
        !self.ending && self.replica.time_since_leader_contact(now).is_some_and(|age| age < LEADER_HEARD)
    }

    /// The list that the leader asked for, or that it could not be read.
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
