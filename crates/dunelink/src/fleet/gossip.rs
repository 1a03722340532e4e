//! Gossip over UDP: a thread with the socket and the clock, around the state machine of `dunelink-gossip`.
//! What it receives goes to the engines as events of the decision module, which alone decides how to react.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cherryusher::{Event, ServerId, ServerObservation};
use dunelink_gossip::{
    Counters, Gossip, Input, MAX_PACKET_BYTES, MemberId, MemberView, Micros, Output, Settings, SuspicionView,
};
use dunelink_reach::ZoneReachability;
use dunelink_view::{Evictions, LeaseKind, Name, Process};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};

use super::action::Action;
use super::events::EventLog;
use super::messages::{self, Message};
use super::reach::Reachability;
use super::status::{FleetView, status};
use super::view::{Consensus, format_epoch};
use crate::config::{Config, ConfigError};
use crate::counts::RequestCounters;
use crate::engine::{EngineMessage, Mailbox};
use crate::thread::spawn_local_thread;

/// Interval at which engines are asked for their observations of servers.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which engines are asked which servers answer.
const REACH_INTERVAL: Duration = Duration::from_secs(1);
/// How long to wait for an engine's answer; the answer of a paused engine is left out.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of requests that may be queued.
const REQUEST_QUEUE_CAPACITY: usize = 16;

/// Status of gossip, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipView {
    /// The other members.
    pub members: Vec<MemberView>,
    /// The servers that other nodes suspect.
    pub suspicions: Vec<SuspicionView>,
    /// Counters since the start.
    pub figures: Counters,
    /// Status of this node within the fleet; `None` if the configuration names no electors.
    pub fleet: Option<FleetView>,
}

/// Requests from the node's handles.
pub(crate) enum GossipRequest {
    /// The status of gossip.
    Status(oneshot::Sender<GossipView>),
    /// Reads the key files again; the answer is the number of names in the ring.
    ReloadKeys(oneshot::Sender<Result<usize, ConfigError>>),
    /// Evicts a node for a number of seconds, with a reason, or restores it if there is none. The answer says
    /// whether this can be decided; the decision itself shows in a view.
    SetEviction(String, Option<(u64, String)>, oneshot::Sender<Result<(), String>>),
    /// The node shuts down; answered once the other members have been informed.
    Leave(oneshot::Sender<()>),
}

pub(crate) type GossipRequestSender = mpsc::Sender<GossipRequest>;

/// Gossip of one node, to be run on a thread that nothing else blocks.
pub struct Gossiper {
    config: Config,
    socket: std::net::UdpSocket,
    gossip: Gossip,
    consensus: Option<Consensus>,
    reachability: Option<Reachability>,
    /// When the engines were last asked which servers answer.
    reach_polled_at: Instant,
    /// This node's index among all nodes, from 0.
    rank: u32,
    engines: Vec<Mailbox>,
    requests: mpsc::Receiver<GossipRequest>,
    started: Instant,
}

impl Gossiper {
    /// Reads the keys and binds the address; `None` if the configuration has no gossip.
    pub(crate) fn new(
        config: &Config,
        (engines, counters): (Vec<Mailbox>, Vec<Arc<RequestCounters>>),
        unready: Arc<AtomicBool>,
    ) -> Result<Option<(Gossiper, GossipRequestSender)>, ConfigError> {
        let Some(gossip_config) = &config.gossip else { return Ok(None) };
        let (ring, secret) = gossip_config.keys(&config.name)?;
        let listen_error =
            |e: io::Error| ConfigError::without_key(&format!("gossip.listen: can't listen there: {e}"));
        let socket = std::net::UdpSocket::bind(gossip_config.listen).map_err(listen_error)?;
        socket.set_nonblocking(true).map_err(listen_error)?;
        let mut address = gossip_config.address();
        if address.port() == 0 {
            address.set_port(socket.local_addr().map_err(listen_error)?.port());
        }
        // Increases with each start, unless the clock was set back; then other members report the number to
        // exceed.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let settings = Settings {
            name: config.name.clone(),
            address,
            seeds: gossip_config.seeds.clone(),
            probe_period: gossip_config.period.as_micros() as Micros,
            max_bytes_per_second: gossip_config.ceiling,
            configured_nodes: config.fleet.nodes,
            seed: fastrand::Rng::new().u64(..),
            first_statement_number: unix.as_micros() as u64,
        };
        let started = Instant::now();
        let gossip = Gossip::new(settings, ring, secret, 0)
            .ok_or_else(|| ConfigError::without_key("gossip.ring: expected this node's name and key"))?;
        let (sender, requests) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let consensus = Consensus::new(config, gossip.process(), 0);
        let reachability = consensus
            .as_ref()
            .map(|consensus| Reachability::new(config, consensus.me(), counters, unready, 0));
        let gossiper = Gossiper {
            consensus,
            reachability,
            reach_polled_at: started,
            rank: config.fleet.rank,
            config: config.clone(),
            socket,
            gossip,
            engines,
            requests,
            started,
        };
        Ok(Some((gossiper, sender)))
    }

    /// The address on which it listens.
    pub fn address(&self) -> io::Result<std::net::SocketAddr> {
        self.socket.local_addr()
    }

    /// Runs on a thread of its own until the node has ended.
    ///
    /// # Errors
    ///
    /// No thread or descriptor is available.
    pub fn start(self) -> io::Result<()> {
        spawn_local_thread("dunelink gossip".into(), move || async move {
            let name = self.config.name.clone();
            if let Err(error) = self.run().await {
                tracing::error!(target: "gossip", node = name, "gossip has ended: {error}");
            }
        })
    }

    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Runs until the node has ended. It needs a tokio runtime.
    async fn run(mut self) -> io::Result<()> {
        let socket = Arc::new(UdpSocket::from_std(self.socket.try_clone()?)?);
        let mut observation_timer = interval(OBSERVATION_INTERVAL);
        observation_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // One byte more than a packet has, to detect longer ones.
        let mut bytes = [0; MAX_PACKET_BYTES + 1];
        let mut out = Vec::new();
        loop {
            let now = self.now();
            let consensus_at =
                self.consensus.as_ref().map_or(Micros::MAX, |consensus| consensus.next_wakeup(now));
            let reach_at = self.reachability.as_ref().map_or(Micros::MAX, Reachability::next_wakeup);
            let next = self.gossip.next_wakeup().min(consensus_at).min(reach_at.max(now + 1_000));
            let next = self.started + Duration::from_micros(next);
            tokio::select! {
                // An error is a response to a packet sent earlier, whose receiver will count as not
                // answering.
                received = socket.recv_from(&mut bytes) => if let Ok((length, from)) = received {
                    self.record_wakeup(next);
                    let now = self.now();
                    self.gossip.handle(now, Input::Packet(from, &bytes[..length]), &mut out);
                },
                () = sleep_until(next) => {
                    self.record_wakeup(next);
                    let now = self.now();
                    self.gossip.handle(now, Input::Tick, &mut out);
                }
                _ = observation_timer.tick() => if self.observe(&mut out).await.is_none() {
                    return Ok(());
                },
                Some(request) = self.requests.recv() => self.handle_request(request, &socket, &mut out).await,
            }
            self.process_outputs(&mut out, &socket);
        }
    }

    /// Records how much later than `expected` this thread woke.
    fn record_wakeup(&mut self, expected: Instant) {
        self.reachability.iter_mut().for_each(|reachability| reachability.record_delay(expected.elapsed()));
    }

    /// Executes the outputs of gossip and of the other subsystems until none are left.
    fn process_outputs(&mut self, out: &mut Vec<Output>, socket: &UdpSocket) {
        let now = self.now();
        let Gossiper { consensus, gossip, reachability, .. } = self;
        let mut actions = consensus.as_mut().map_or(Vec::new(), |consensus| consensus.tick(now, gossip));
        actions.extend(reachability.iter_mut().flat_map(|reachability| reachability.tick(now, gossip)));
        self.execute(actions, out);
        while !out.is_empty() {
            for output in std::mem::take(out) {
                match output {
                    Output::PayloadReceived(from, instance, bytes) => {
                        let actions = self.receive(Process { name: from.0, instance }, &bytes);
                        self.execute(actions, out);
                    }
                    output => self.apply(output, socket),
                }
            }
        }
    }

    /// Passes a carried packet from another node to the subsystem that it is for.
    fn receive(&mut self, from: Process, bytes: &[u8]) -> Vec<Action> {
        let now = self.now();
        let Gossiper { consensus, gossip, reachability, .. } = self;
        match (messages::decode(bytes), consensus, reachability) {
            (Some(Message::Coordinator(fleet_messages)), Some(consensus), _) => {
                consensus.receive(now, from, fleet_messages)
            }
            (Some(Message::Row(row)), _, Some(reachability)) => {
                reachability.receive_row(now, from, row, gossip)
            }
            _ => Vec::new(),
        }
    }

    /// Executes the actions and those that result from them.
    fn execute(&mut self, mut actions: Vec<Action>, out: &mut Vec<Output>) {
        let now = self.now();
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                let Gossiper { consensus, gossip, reachability, config, .. } = self;
                let log = EventLog { node: &config.name, gossip };
                let epoch = || consensus.as_ref().map_or_else(|| format_epoch(None), Consensus::epoch);
                match action {
                    // By far the most frequent action, so no event is formatted for it.
                    Action::Send(to, bytes) => gossip.handle(now, Input::SendPayload(to, bytes), out),
                    Action::Share(share) => {
                        log.share(share, &epoch());
                        self.notify_engines((1.0 / share).ceil() as u32);
                    }
                    Action::Decided(view, before) => {
                        log.decided(&view, before.as_deref());
                        if let Some(reachability) = reachability {
                            let members: Vec<Name> = view.members.into_keys().collect();
                            actions.extend(reachability.set_members(now, members, gossip));
                        }
                    }
                    Action::Side(side, unreachable) => log.side(side, &unreachable, &epoch()),
                    Action::Lease(what, held, ago) => {
                        log.lease(what, held, ago, &epoch());
                        if let (LeaseKind::Unready, Some(reachability)) = (what, reachability) {
                            actions.extend(reachability.set_unready_lease(now, held, gossip));
                        }
                    }
                    Action::Rejected(change) => log.rejected(&change),
                    Action::Condition(condition, before) => log.condition(&condition, &before, &epoch()),
                    Action::RequestUnready(wanted) => {
                        if let Some(consensus) = consensus {
                            actions.extend(consensus.submit(now, dunelink_view::Input::WantUnready(wanted)));
                        }
                    }
                    Action::Ready(ready, condition) => log.ready(ready, &condition, &epoch()),
                }
            }
        }
    }

    /// Informs the engines of the number of nodes that share the load.
    fn notify_engines(&self, nodes: u32) {
        let shards = self.engines.len() as u32;
        for (shard, engine) in (0..).zip(&self.engines) {
            let balancers = nodes.saturating_mul(shards);
            let rank = self.rank.saturating_mul(shards).saturating_add(shard);
            engine.send(EngineMessage::BalancerEvent(Event::FleetChanged { balancers, rank }));
        }
    }

    fn apply(&mut self, output: Output, socket: &UdpSocket) {
        match output {
            // A packet that can't be sent counts as lost.
            Output::Send(to, bytes) => drop(socket.try_send_to(&bytes, to)),
            Output::Suspicions(suspicions) => {
                for engine in &self.engines {
                    engine.send(EngineMessage::BalancerEvent(Event::PeerSuspicions(suspicions.clone())));
                }
            }
            // With electors, the shares follow the leases instead.
            Output::FleetPosition(fleet) => {
                self.rank = fleet.rank;
                if self.consensus.is_none() {
                    self.notify_engines(fleet.nodes);
                }
            }
            Output::PayloadReceived(..) => {}
            Output::LogEvent(event) => {
                EventLog { node: &self.config.name, gossip: &self.gossip }.event(&event)
            }
        }
    }

    /// Queries all engines; `None` once they have ended. The answers of paused engines are left out.
    async fn query_engines<T>(&self, query: impl Fn(oneshot::Sender<T>) -> EngineMessage) -> Option<Vec<T>> {
        let send = |engine: &Mailbox| {
            let (reply, answer) = oneshot::channel();
            engine.send(query(reply)).then_some(answer)
        };
        let pending: Vec<_> = self.engines.iter().filter_map(send).collect();
        if pending.is_empty() {
            return None;
        }
        let mut answers = Vec::new();
        for answer in pending {
            answers.extend(timeout(ENGINE_TIMEOUT, answer).await.ok().and_then(Result::ok));
        }
        Some(answers)
    }

    /// Collects the observations of all engines; `None` once they have ended.
    async fn observe(&mut self, out: &mut Vec<Output>) -> Option<()> {
        let started = Instant::now();
        let observations = self.query_engines(EngineMessage::Observations).await?;
        if self.reachability.is_some() && self.reach_polled_at.elapsed() >= REACH_INTERVAL {
            self.reach_polled_at = Instant::now();
            let zones = self.query_engines(EngineMessage::ZoneReach).await?;
            let now = self.now();
            let Gossiper { gossip, reachability, .. } = self;
            let actions = reachability.iter_mut().flat_map(|reachability| {
                reachability.record_delay(started.elapsed());
                reachability.record_own_counts(now, sum_by_zone(&zones), gossip)
            });
            let actions = actions.collect();
            self.execute(actions, out);
        }
        let now = self.now();
        self.gossip.handle(
            now,
            Input::Observations(merge_observations(observations.into_iter().flatten())),
            out,
        );
        Some(())
    }

    fn status(&self, now: Micros) -> Option<FleetView> {
        let (consensus, reachability) = (self.consensus.as_ref()?, self.reachability.as_ref()?);
        let reach = (reachability.matrix(), reachability.condition());
        Some(status(now, &self.config.name, &consensus.status(now), reach, &self.gossip))
    }

    /// Evicts or restores a node, if that can be decided.
    fn set_eviction(
        &mut self,
        name: &str,
        eviction: Option<(u64, String)>,
        out: &mut Vec<Output>,
    ) -> Result<(), String> {
        let id = MemberId::of(name);
        let consensus = self.consensus.as_mut().ok_or("this node's configuration names no electors")?;
        if self.gossip.name(id).is_empty() {
            return Err("expected a name in the ring".into());
        }
        let change = match eviction {
            Some((seconds, reason)) => Evictions::evict(id.0, seconds, &reason),
            None => Evictions::restore(id.0),
        };
        consensus.check_change(&change).map_err(|refusal| refusal.to_string())?;
        let now = self.started.elapsed().as_micros() as Micros;
        let actions = consensus.submit(now, dunelink_view::Input::Propose(change));
        self.execute(actions, out);
        Ok(())
    }

    async fn handle_request(&mut self, request: GossipRequest, socket: &UdpSocket, out: &mut Vec<Output>) {
        match request {
            GossipRequest::Status(reply) => {
                let now = self.now();
                self.gossip.handle(now, Input::Tick, out);
                let view = GossipView {
                    members: self.gossip.members(),
                    suspicions: self.gossip.suspicions(),
                    figures: self.gossip.counters(),
                    fleet: self.status(now),
                };
                let _ = reply.send(view);
            }
            GossipRequest::ReloadKeys(reply) => {
                let Some(gossip_config) = &self.config.gossip else { return };
                let _ = reply.send(gossip_config.keys(&self.config.name).map(|(ring, secret)| {
                    let (now, names) = (self.now(), ring.len());
                    self.gossip.handle(now, Input::Keys(ring, secret), out);
                    names
                }));
            }
            GossipRequest::SetEviction(name, eviction, reply) => {
                let _ = reply.send(
                    self.set_eviction(&name, eviction, out).map_err(|error| format!("{name}: {error}")),
                );
            }
            GossipRequest::Leave(reply) => {
                // The node may be back in a moment; if not, its share goes to the others after a minute.
                let now = self.now();
                self.gossip.handle(now, Input::Leave { restarts: true }, out);
                self.process_outputs(out, socket);
                let _ = reply.send(());
            }
        }
    }
}

/// Merges the observations of all shards, weighted by their sample counts.
fn merge_observations(observations: impl Iterator<Item = ServerObservation>) -> Vec<ServerObservation> {
    let mut merged: HashMap<ServerId, ServerObservation> = HashMap::new();
    for observation in observations {
        merged
            .entry(observation.server)
            .and_modify(|sum| {
                let (a, b) = (f64::from(sum.sample_count), f64::from(observation.sample_count));
                if a + b > 0.0 {
                    sum.suspicion = (sum.suspicion * a + observation.suspicion * b) / (a + b);
                }
                sum.recent_answers = sum.recent_answers.saturating_add(observation.recent_answers);
                sum.sample_count = sum.sample_count.saturating_add(observation.sample_count);
            })
            .or_insert(observation);
    }
    merged.into_values().collect()
}

/// Adds up the reachability of servers by zone, over all shards. Each shard tries every server, so that a
/// server counts once per shard.
fn sum_by_zone(observations: &[Vec<ZoneReachability>]) -> Vec<ZoneReachability> {
    let mut zones: BTreeMap<&str, ZoneReachability> = BTreeMap::new();
    for reach in observations.iter().flatten() {
        let sum = zones
            .entry(&reach.zone)
            .or_insert_with(|| ZoneReachability { zone: reach.zone.clone(), ..Default::default() });
        sum.answering = sum.answering.saturating_add(reach.answering);
        sum.silent = sum.silent.saturating_add(reach.silent);
    }
    zones.into_values().collect()
}

/// Sends a request and waits for the answer; `None` if there is no gossip or it has ended.
pub(crate) async fn request<T>(
    requests: Option<&GossipRequestSender>,
    make: impl FnOnce(oneshot::Sender<T>) -> GossipRequest,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    requests?.send(make(reply)).await.ok()?;
    answer.await.ok()
}
