//! Carries out what the node's state machine asks for.
//!
//! All tasks share one [`Engine`]. They call it without waiting, so the node is never in use by two of them.

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

/// Longest time without a tick.
const LONGEST_SLEEP: u64 = 60_000_000;
/// Shortest time between two ticks, in microseconds.
const SHORTEST_SLEEP: u64 = 500;
/// Time between two beats of the node.
const BEAT: Duration = Duration::from_millis(100);
/// Agents that left which are remembered for the status page.
const MAX_LEFT_READERS: usize = 1_024;

/// Handle on the node and on everything that serves it.
#[derive(Debug, Clone)]
pub struct Engine(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    log: Logger,
    node: RefCell<Node>,
    disk: Sender<DiskCommand>,
    generation: Cell<u64>,
    disk_bytes: Cell<u64>,
    links: PeerLinks,
    calls: RefCell<HashMap<CallId, oneshot::Sender<Reply>>>,
    last_call: Cell<CallId>,
    readers: RefCell<HashMap<u64, Rc<AgentMailbox>>>,
    last_reader: Cell<u64>,
    /// When agents that are not connected here any more left.
    left_readers: RefCell<BTreeMap<String, u64>>,
    /// When the deadline task will wake up by itself.
    armed: Cell<u64>,
    rearm: Notify,
    leadership: Notify,
    list_requests: RefCell<Vec<(u64, Member)>>,
    list_requested: Notify,
}

/// Where an agent's connection is told of news.
#[derive(Debug)]
pub struct AgentMailbox {
    /// Name of the agent's node.
    pub node: String,
    /// Told when there may be something to send.
    pub wakeup: Notify,
    grants: RefCell<Option<GrantUpdate>>,
    /// Where the agent stands: version of the configuration and position in the roster, as sent.
    pub sent_position: Cell<(u64, u64, u64)>,
}

impl AgentMailbox {
    /// Grants that have come since the last call.
    pub fn take_grants(&self) -> Option<GrantUpdate> {
        self.grants.borrow_mut().take()
    }
}

impl Engine {
    /// An engine around a node whose store the disk thread holds, as generation 1.
    pub fn new(clock: Clock, log: Logger, node: Node, disk: Sender<DiskCommand>, links: PeerLinks) -> Self {
        Self(Rc::new(Shared {
            clock,
            log,
            node: RefCell::new(node),
            disk,
            generation: Cell::new(1),
            disk_bytes: Cell::new(0),
            links,
            calls: RefCell::default(),
            last_call: Cell::new(0),
            readers: RefCell::default(),
            last_reader: Cell::new(0),
            left_readers: RefCell::default(),
            armed: Cell::new(0),
            rearm: Notify::new(),
            leadership: Notify::new(),
            list_requests: RefCell::default(),
            list_requested: Notify::new(),
        }))
    }

    /// The time now, in microseconds.
    pub fn now(&self) -> u64 {
        self.0.clock.now()
    }

    /// The log.
    pub fn log(&self) -> &Logger {
        &self.0.log
    }

    /// Looks at the node.
    pub fn inspect<R>(&self, look: impl FnOnce(&Node, u64) -> R) -> R {
        look(&self.0.node.borrow(), self.now())
    }

    /// Hands something to the node and carries out what follows from it.
    pub fn update<R>(&self, act: impl FnOnce(&mut Node, u64, &mut Vec<Effect>) -> R) -> R {
        let mut effects = Vec::new();
        let result = act(&mut self.0.node.borrow_mut(), self.now(), &mut effects);
        self.carry_out(effects);
        if self.0.node.borrow().next_deadline() < self.0.armed.get() {
            self.0.rearm.notify_one();
        }
        result
    }

    fn carry_out(&self, effects: Vec<Effect>) {
        let mut feed_changed = false;
        // An identity that is given up on the way does not write into the store of the next one.
        let generation = self.0.generation.get();
        for effect in effects {
            match effect {
                Effect::Send { to, envelope } => self.0.links.send(to, envelope),
                Effect::Write { sequence, records } => {
                    self.order(DiskCommand::Write { generation, sequence, records });
                }
                Effect::Reply { call, reply } => self.reply(call, reply),
                Effect::FeedChanged => feed_changed = true,
                Effect::Grants { node, update } => self.grant(&update, |door| door.node == node),
                Effect::RequestHistory(question) => self.grant(&question, |_| true),
                Effect::LeaseChanged => self.0.leadership.notify_one(),
                Effect::ReadList { request, to } => {
                    self.0.list_requests.borrow_mut().push((request, to));
                    self.0.list_requested.notify_one();
                }
                Effect::ParseQuotas { version, body } => self.read_quotas(version, body),
                Effect::Rejoin => self.rejoin(),
            }
        }
        if feed_changed {
            self.0.readers.borrow().values().for_each(|door| door.wakeup.notify_one());
        }
    }

    fn read_quotas(&self, version: u64, body: Bytes) {
        let engine = self.clone();
        spawn_local(async move {
            let quotas = parse_quotas_off_thread(body).await;
            engine.update(|node, _, _| node.set_quotas(version, quotas));
        });
    }

    fn order(&self, order: DiskCommand) {
        if self.0.disk.send(order).is_err() {
            warn!(self.0.log, "the disk thread has ended");
        }
    }

    fn reply(&self, call: CallId, reply: Reply) {
        let waiting = self.0.calls.borrow_mut().remove(&call);
        // A caller that is gone needs no answer.
        let _ = waiting.map(|waiting| waiting.send(reply));
    }

    fn grant(&self, update: &GrantUpdate, is_meant: impl Fn(&AgentMailbox) -> bool) {
        let readers = self.0.readers.borrow();
        for door in readers.values().filter(|door| is_meant(door)) {
            *door.grants.borrow_mut() = Some(update.clone());
            door.wakeup.notify_one();
        }
    }

    /// The identity was removed from the group: the store is wiped and the machine joins anew.
    fn rejoin(&self) {
        let generation = self.0.generation.get() + 1;
        self.0.generation.set(generation);
        self.update(|node, now, effects| {
            let id = random_id(node.me().control_address);
            self.order(DiskCommand::Wipe { generation, id });
            node.rejoin_as(id, seed(), now, effects);
        });
    }

    /// Waits for the answer to a call that `act` hands to the node under the given number; nothing if none came
    /// within `patience`.
    pub async fn call(
        &self,
        patience: Duration,
        act: impl FnOnce(&mut Node, u64, CallId, &mut Vec<Effect>),
    ) -> Option<Reply> {
        let call = self.0.last_call.get() + 1;
        self.0.last_call.set(call);
        let (sender, receiver) = oneshot::channel();
        self.0.calls.borrow_mut().insert(call, sender);
        self.update(|node, now, effects| act(node, now, call, effects));
        let waiting = Waiting { engine: self, call };
        let reply = timeout(patience, receiver).await;
        drop(waiting);
        reply.ok()?.ok()
    }

    /// Registers an agent's connection until the guard is dropped.
    pub fn register(&self, node: String) -> Registration {
        let id = self.0.last_reader.get() + 1;
        self.0.last_reader.set(id);
        self.0.left_readers.borrow_mut().remove(&node);
        let door = AgentMailbox {
            node,
            wakeup: Notify::new(),
            grants: RefCell::default(),
            sent_position: Cell::default(),
        };
        let door = Rc::new(door);
        self.0.readers.borrow_mut().insert(id, door.clone());
        Registration { engine: self.clone(), id, mailbox: door }
    }

    /// Number of agents connected here.
    pub fn agent_count(&self) -> usize {
        self.0.readers.borrow().len()
    }

    /// Node, version and position in the roster of each agent connected here, as sent.
    pub fn connected_agents(&self) -> Vec<(String, (u64, u64, u64))> {
        self.0.readers.borrow().values().map(|door| (door.node.clone(), door.sent_position.get())).collect()
    }

    /// Agents that were connected here and are not any more, with the time since they left in microseconds.
    pub fn disconnected_agents(&self) -> Vec<(String, u64)> {
        let now = self.now();
        let left = self.0.left_readers.borrow();
        left.iter().map(|(node, at)| (node.clone(), now.saturating_sub(*at))).collect()
    }

    /// Remembers when an agent left, unless it has another connection here.
    fn note_left(&self, node: &str) {
        let stays = self.0.readers.borrow().values().any(|door| door.node == node);
        let mut left = self.0.left_readers.borrow_mut();
        if !stays && (left.len() < MAX_LEFT_READERS || left.contains_key(node)) {
            left.insert(node.to_owned(), self.now());
        }
    }

    /// Bytes of all files of the store, as of the last write.
    pub fn disk_bytes(&self) -> u64 {
        self.0.disk_bytes.get()
    }

    /// Number of connections opened to other control machines.
    pub fn link_count(&self) -> usize {
        self.0.links.count()
    }

    /// The next message for an agent, from the state as it is now.
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

    /// Returns when the lease was won or lost since the last call.
    pub async fn lease_changed(&self) {
        self.0.leadership.notified().await;
    }

    /// A reading of the list that the leader asks of this machine.
    pub async fn next_list_request(&self) -> (u64, Member) {
        loop {
            // The newest counts: the leader has given up the older ones.
            let newest = std::mem::take(&mut *self.0.list_requests.borrow_mut()).pop();
            if let Some(request) = newest {
                return request;
            }
            self.0.list_requested.notified().await;
        }
    }

    /// Sends the leader the list that it asked for.
    pub fn answer_list_request(&self, to: &Member, request: u64, servers: Option<Vec<ServerEntry>>) {
        self.update(|node, _, effects| node.answer_list_request(to, request, servers, effects));
    }

    /// Ticks the node at its deadlines, for ever.
    pub async fn run_deadlines(self) {
        loop {
            let now = self.now();
            let due = self.0.node.borrow().next_deadline();
            let wake = due.clamp(now + SHORTEST_SLEEP, now + LONGEST_SLEEP);
            self.0.armed.set(wake);
            tokio::select! {
                () = sleep_until(self.instant(wake)) => self.update(|node, now, effects| node.tick(now, effects)),
                () = self.0.rearm.notified() => {}
            }
        }
    }

    /// Beats, for ever.
    pub async fn run_periodic_sends(self) {
        loop {
            tokio::time::sleep(BEAT).await;
            self.update(|node, now, effects| node.send_periodic(now, effects));
        }
    }

    /// Takes in what the disk thread tells, for ever.
    pub async fn run_disk(self, mut events: UnboundedReceiver<DiskEvent>) {
        while let Some(event) = events.recv().await {
            self.disk_event(event);
        }
    }

    fn disk_event(&self, event: DiskEvent) {
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
            DiskEvent::HealthChanged(reason) => warn!(self.0.log, "disk"; "reason" => reason),
        }
    }
}

/// Forgets a call that nobody waits for any more.
struct Waiting<'a> {
    engine: &'a Engine,
    call: CallId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.engine.0.calls.borrow_mut().remove(&self.call);
    }
}

/// Keeps an agent's connection registered.
#[derive(Debug)]
pub struct Registration {
    engine: Engine,
    id: u64,
    /// Where news are told.
    pub mailbox: Rc<AgentMailbox>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.engine.0.readers.borrow_mut().remove(&self.id);
        self.engine.note_left(&self.mailbox.node);
    }
}

/// A seed for a random generator.
pub fn seed() -> u64 {
    let mut bytes = [0_u8; 8];
    match getrandom::fill(&mut bytes) {
        Ok(()) => u64::from_le_bytes(bytes),
        Err(_) => fastrand::u64(..),
    }
}
