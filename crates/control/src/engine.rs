//! Carries out the effects that the node's state machine asks for.
//!
//! All tasks share one [`Engine`] on one thread. No call on it holds the node across an `await`, so the node
//! is never borrowed twice.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use bytes::Bytes;
use dunelink_protocol::{FeedMessage, GrantUpdate, ServerEntry};
use dunelink_replication::Member;
use dunelink_runtime::Clock;
use slog::{Logger, warn};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};

use crate::change_queue::{CallId, Reply};
use crate::configuration_check::parse_quotas_off_thread;
use crate::disk::{DiskCommand, DiskEvent};
use crate::feed_session::FeedSession;
use crate::identity::random_id;
use crate::node::{Effect, Node};
use crate::peer_links::PeerLinks;

/// Longest time between two ticks of the node, in microseconds.
const MAX_TICK_INTERVAL_US: u64 = 60_000_000;
/// Shortest time between two ticks of the node, in microseconds.
const MIN_TICK_INTERVAL_US: u64 = 500;
/// Interval of the messages that the node sends periodically.
const PERIODIC_SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Most disconnected agents that are kept for the status page.
const MAX_DISCONNECTED_AGENTS: usize = 1_024;

/// Shared handle of the node and of the channels and connections that serve it.
#[derive(Debug, Clone)]
pub struct Engine(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    log: Logger,
    node: RefCell<Node>,
    disk: Sender<DiskCommand>,
    /// Generation of the identity that owns the store.
    generation: Cell<u64>,
    /// Bytes of all files of the store as of the last write.
    disk_bytes: Cell<u64>,
    links: PeerLinks,
    pending_calls: RefCell<HashMap<CallId, oneshot::Sender<Reply>>>,
    last_call_id: Cell<CallId>,
    /// Connected agents by registration number; one node may have several connections.
    agents: RefCell<HashMap<u64, Rc<AgentMailbox>>>,
    last_agent_id: Cell<u64>,
    /// Names of nodes whose agents have no connection here any more, with the time of the disconnect in
    /// microseconds.
    disconnected_agents_since: RefCell<BTreeMap<String, u64>>,
    /// Time at which the deadline task wakes up unless it is notified earlier, in microseconds.
    next_tick_at: Cell<u64>,
    /// Wakes the deadline task when the next deadline has moved to an earlier time.
    deadline_moved: Notify,
    lease_change: Notify,
    /// Requests of the leader to read the list: request number and leader, oldest first.
    list_requests: RefCell<Vec<(u64, Member)>>,
    list_request_added: Notify,
}

/// Pending updates for one agent connection.
#[derive(Debug)]
pub struct AgentMailbox {
    /// Name of the node that the agent runs on.
    pub node: String,
    /// Notified when there may be something to send.
    pub wakeup: Notify,
    grants: RefCell<Option<GrantUpdate>>,
    /// Last position sent: version of the configuration, then epoch and sequence of the roster.
    pub sent_position: Cell<(u64, u64, u64)>,
}

impl AgentMailbox {
    /// Takes the newest grants that have not been sent; older ones are replaced.
    pub fn take_grants(&self) -> Option<GrantUpdate> {
        self.grants.borrow_mut().take()
    }
}

impl Engine {
    /// Creates an engine for a node whose identity owns the store as generation 1.
    pub fn new(clock: Clock, log: Logger, node: Node, disk: Sender<DiskCommand>, links: PeerLinks) -> Self {
        Self(Rc::new(Shared {
            clock,
            log,
            node: RefCell::new(node),
            disk,
            generation: Cell::new(1),
            disk_bytes: Cell::new(0),
            links,
            pending_calls: RefCell::default(),
            last_call_id: Cell::new(0),
            agents: RefCell::default(),
            last_agent_id: Cell::new(0),
            disconnected_agents_since: RefCell::default(),
            next_tick_at: Cell::new(0),
            deadline_moved: Notify::new(),
            lease_change: Notify::new(),
            list_requests: RefCell::default(),
            list_request_added: Notify::new(),
        }))
    }

    /// Current time of the steady clock, in microseconds.
    pub fn now(&self) -> u64 {
        self.0.clock.now()
    }

    /// The logger.
    pub fn log(&self) -> &Logger {
        &self.0.log
    }

    /// Reads from the node at the current time.
    pub fn inspect<R>(&self, read: impl FnOnce(&Node, u64) -> R) -> R {
        read(&self.0.node.borrow(), self.now())
    }

    /// Calls the node with the current time and carries out the effects that it returns.
    pub fn update<R>(&self, change: impl FnOnce(&mut Node, u64, &mut Vec<Effect>) -> R) -> R {
        let mut effects = Vec::new();
        let result = change(&mut self.0.node.borrow_mut(), self.now(), &mut effects);
        self.carry_out(effects);
        if self.0.node.borrow().next_deadline() < self.0.next_tick_at.get() {
            self.0.deadline_moved.notify_one();
        }
        result
    }

    fn carry_out(&self, effects: Vec<Effect>) {
        let mut feed_changed = false;
        // If the identity is replaced while the effects are carried out, its remaining writes keep the old
        // generation and do not reach the new store.
        let generation = self.0.generation.get();
        for effect in effects {
            match effect {
                Effect::Send { to, envelope } => self.0.links.send(to, envelope),
                Effect::Write { sequence, records } => {
                    self.send_disk_command(DiskCommand::Write { generation, sequence, records });
                }
                Effect::Reply { call, reply } => self.reply(call, reply),
                Effect::FeedChanged => feed_changed = true,
                Effect::Grants { node, update } => self.deliver_grants(&update, |agent| agent.node == node),
                Effect::RequestHistory(request) => self.deliver_grants(&request, |_| true),
                Effect::LeaseChanged => self.0.lease_change.notify_one(),
                Effect::ReadList { request, to } => {
                    self.0.list_requests.borrow_mut().push((request, to));
                    self.0.list_request_added.notify_one();
                }
                Effect::ParseQuotas { version, body } => self.parse_quotas(version, body),
                Effect::Rejoin => self.rejoin(),
            }
        }
        if feed_changed {
            self.0.agents.borrow().values().for_each(|agent| agent.wakeup.notify_one());
        }
    }

    fn parse_quotas(&self, version: u64, body: Bytes) {
        let engine = self.clone();
        spawn_local(async move {
            let quotas = parse_quotas_off_thread(body).await;
            engine.update(|node, _, _| node.set_quotas(version, quotas));
        });
    }

    fn send_disk_command(&self, command: DiskCommand) {
        if self.0.disk.send(command).is_err() {
            warn!(self.0.log, "the disk thread has stopped");
        }
    }

    fn reply(&self, call: CallId, reply: Reply) {
        let caller = self.0.pending_calls.borrow_mut().remove(&call);
        // A caller that has given up needs no reply.
        let _ = caller.map(|caller| caller.send(reply));
    }

    fn deliver_grants(&self, update: &GrantUpdate, is_receiver: impl Fn(&AgentMailbox) -> bool) {
        let agents = self.0.agents.borrow();
        for agent in agents.values().filter(|agent| is_receiver(agent)) {
            *agent.grants.borrow_mut() = Some(update.clone());
            agent.wakeup.notify_one();
        }
    }

    /// Wipes the store and joins under a new identity after the group has removed the old one.
    fn rejoin(&self) {
        let generation = self.0.generation.get() + 1;
        self.0.generation.set(generation);
        self.update(|node, now, effects| {
            let id = random_id(node.me().control_address);
            self.send_disk_command(DiskCommand::Wipe { generation, id });
            node.rejoin_as(id, seed(), now, effects);
        });
    }

    /// Passes a new call number to `submit`, which hands the call to the node, and waits for the reply;
    /// `None` if none comes within `reply_timeout`.
    pub async fn call(
        &self,
        reply_timeout: Duration,
        submit: impl FnOnce(&mut Node, u64, CallId, &mut Vec<Effect>),
    ) -> Option<Reply> {
        let call = self.0.last_call_id.get() + 1;
        self.0.last_call_id.set(call);
        let (sender, receiver) = oneshot::channel();
        self.0.pending_calls.borrow_mut().insert(call, sender);
        self.update(|node, now, effects| submit(node, now, call, effects));
        let pending = PendingCall { engine: self, call };
        let reply = timeout(reply_timeout, receiver).await;
        drop(pending);
        reply.ok()?.ok()
    }

    /// Registers an agent's connection until the guard is dropped.
    pub fn register(&self, node: String) -> Registration {
        let id = self.0.last_agent_id.get() + 1;
        self.0.last_agent_id.set(id);
        self.0.disconnected_agents_since.borrow_mut().remove(&node);
        let agent = AgentMailbox {
            node,
            wakeup: Notify::new(),
            grants: RefCell::default(),
            sent_position: Cell::default(),
        };
        let agent = Rc::new(agent);
        self.0.agents.borrow_mut().insert(id, agent.clone());
        Registration { engine: self.clone(), id, mailbox: agent }
    }

    /// Number of agent connections to this machine.
    pub fn agent_count(&self) -> usize {
        self.0.agents.borrow().len()
    }

    /// Node name and last position sent of each connected agent: version of the configuration, then epoch and
    /// sequence of the roster.
    pub fn connected_agents(&self) -> Vec<(String, (u64, u64, u64))> {
        self.0.agents.borrow().values().map(|agent| (agent.node.clone(), agent.sent_position.get())).collect()
    }

    /// Nodes whose agents were connected here and are not any more, with the time since the disconnect in
    /// microseconds.
    pub fn disconnected_agents(&self) -> Vec<(String, u64)> {
        let now = self.now();
        let disconnected = self.0.disconnected_agents_since.borrow();
        disconnected.iter().map(|(node, at)| (node.clone(), now.saturating_sub(*at))).collect()
    }

    /// Records the time of a disconnect, unless the node has another connection here.
    fn record_disconnect(&self, node: &str) {
        let still_connected = self.0.agents.borrow().values().any(|agent| agent.node == node);
        let mut disconnected = self.0.disconnected_agents_since.borrow_mut();
        if !still_connected
            && (disconnected.len() < MAX_DISCONNECTED_AGENTS || disconnected.contains_key(node))
        {
            disconnected.insert(node.to_owned(), self.now());
        }
    }

    /// Bytes of all files of the store as of the last write.
    pub fn disk_bytes(&self) -> u64 {
        self.0.disk_bytes.get()
    }

    /// Number of connections that this machine has opened to other control machines.
    pub fn link_count(&self) -> usize {
        self.0.links.count()
    }

    /// Next message for an agent, built from the current state; `None` if it is up to date.
    pub fn next_message(&self, session: &mut FeedSession) -> Option<FeedMessage> {
        let mut node = self.0.node.borrow_mut();
        let now = self.now();
        node.update_freshness(now);
        session.next_message(node.feed(), now)
    }

    /// The instant at which the clock shows `micros`.
    pub fn instant(&self, micros: u64) -> Instant {
        Instant::from_std(self.0.clock.instant(micros))
    }

    /// Waits until the lease has been won or lost since the last call.
    pub async fn lease_changed(&self) {
        self.0.lease_change.notified().await;
    }

    /// Waits for the leader to ask this machine to read the list: request number and leader.
    pub async fn next_list_request(&self) -> (u64, Member) {
        loop {
            // Only the newest request counts: the leader no longer waits for older ones.
            let newest = std::mem::take(&mut *self.0.list_requests.borrow_mut()).pop();
            if let Some(request) = newest {
                return request;
            }
            self.0.list_request_added.notified().await;
        }
    }

    /// Sends the leader the list that it asked for; `None` if it could not be read.
    pub fn answer_list_request(&self, to: &Member, request: u64, servers: Option<Vec<ServerEntry>>) {
        self.update(|node, _, effects| node.answer_list_request(to, request, servers, effects));
    }

    /// Ticks the node at its deadlines, forever.
    pub async fn run_deadlines(self) {
        loop {
            let now = self.now();
            let due = self.0.node.borrow().next_deadline();
            let wake = due.clamp(now + MIN_TICK_INTERVAL_US, now + MAX_TICK_INTERVAL_US);
            self.0.next_tick_at.set(wake);
            tokio::select! {
                () = sleep_until(self.instant(wake)) => {
                    self.update(|node, now, effects| node.tick(now, effects))
                }
                () = self.0.deadline_moved.notified() => {}
            }
        }
    }

    /// Sends the periodic messages of the node, forever.
    pub async fn run_periodic_sends(self) {
        loop {
            tokio::time::sleep(PERIODIC_SEND_INTERVAL).await;
            self.update(|node, now, effects| node.send_periodic(now, effects));
        }
    }

    /// Handles the events of the disk thread, forever.
    pub async fn run_disk(self, mut events: UnboundedReceiver<DiskEvent>) {
        while let Some(event) = events.recv().await {
            self.handle_disk_event(event);
        }
    }

    fn handle_disk_event(&self, event: DiskEvent) {
        let current = self.0.generation.get();
        match event {
            DiskEvent::Opened(_) => {}
            DiskEvent::Written { generation, sequence, used_bytes } => {
                self.0.disk_bytes.set(used_bytes);
                if generation == current {
                    self.update(|node, now, effects| node.write_completed(now, sequence, effects));
                }
            }
            DiskEvent::WriteFailed { generation, sequence } => {
                if generation == current {
                    self.update(|node, now, effects| node.write_failed(now, sequence, effects));
                }
            }
            DiskEvent::HealthChanged(reason) => warn!(self.0.log, "disk health changed"; "reason" => reason),
        }
    }
}

/// Removes a pending call when its caller stops waiting.
struct PendingCall<'a> {
    engine: &'a Engine,
    call: CallId,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.engine.0.pending_calls.borrow_mut().remove(&self.call);
    }
}

/// Keeps an agent connection registered until it is dropped.
#[derive(Debug)]
pub struct Registration {
    engine: Engine,
    id: u64,
    /// Pending updates for this connection.
    pub mailbox: Rc<AgentMailbox>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.engine.0.agents.borrow_mut().remove(&self.id);
        self.engine.record_disconnect(&self.mailbox.node);
    }
}

/// Random seed from the system; from a user-space generator if that fails.
pub fn seed() -> u64 {
    let mut bytes = [0_u8; 8];
    match getrandom::fill(&mut bytes) {
        Ok(()) => u64::from_le_bytes(bytes),
        Err(_) => fastrand::u64(..),
    }
}
