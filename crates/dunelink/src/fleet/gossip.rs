//! Gossip over UDP: a thread with the socket and the clock, round the state machine of `dunelink-gossip`. What it hears
//! goes to the engines as events of the decision module, which alone decides what that does.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cherryusher::{Event, ServerId, ServerObservation};
use dunelink_gossip::{
    Figures, Gossip, Input, MemberId, MemberView, Micros, Output, PACKET_MOST, Settings, SuspicionView,
};
use dunelink_reach::ZoneReach;
use dunelink_view::{Evictions, Held, Name, Process};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};

use super::deed::Deed;
use super::events::Teller;
use super::reach::Reaching;
use super::status::{FleetView, status};
use super::view::{Deciding, epoch_of};
use super::words::{self, Words};
use crate::config::{Config, ConfigError};
use crate::counts::Tally;
use crate::engine::{Happening, Mailbox};
use crate::thread::on_thread;

/// How often engines are asked what they have seen.
const LOOK: Duration = Duration::from_millis(200);
/// How often they are asked how servers answer.
const REACH: Duration = Duration::from_secs(1);
/// How long an engine is waited for; one that stands still has nothing to say.
const LOOK_WITHIN: Duration = Duration::from_millis(100);
/// Questions that may wait.
const ASKS: usize = 16;

/// How gossip stands, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipView {
    /// The other members.
    pub members: Vec<MemberView>,
    /// The servers that others suspect.
    pub suspicions: Vec<SuspicionView>,
    /// What was counted since the start.
    pub figures: Figures,
    /// How this node stands with what the fleet decides, where the configuration names electors.
    pub fleet: Option<FleetView>,
}

/// What owners of the node want of it.
pub(crate) enum GossipRequest {
    Status(oneshot::Sender<GossipView>),
    /// The keys are to be read again.
    ReloadKeys(oneshot::Sender<Result<usize, ConfigError>>),
    /// An operator wants a node put out for so many seconds, with a reason, or let in again. Told whether that can be
    /// decided; that it is shows in a view.
    SetEviction(String, Option<(u64, String)>, oneshot::Sender<Result<(), String>>),
    /// The node goes; told once others have been told.
    Leave(oneshot::Sender<()>),
}

pub(crate) type GossipRequestSender = mpsc::Sender<GossipRequest>;

/// Gossip of one node, to be run on a thread that nothing blocks.
pub struct Gossiper {
    config: Config,
    socket: std::net::UdpSocket,
    gossip: Gossip,
    deciding: Option<Deciding>,
    reaching: Option<Reaching>,
    reach_at: Instant,
    /// This node's place among all names.
    place: u32,
    engines: Vec<Mailbox>,
    asks: mpsc::Receiver<GossipRequest>,
    began: Instant,
}

impl Gossiper {
    /// Reads keys and takes the address; nothing if the configuration wants no gossip.
    pub(crate) fn new(
        config: &Config,
        (engines, tallies): (Vec<Mailbox>, Vec<Arc<Tally>>),
        aside: Arc<AtomicBool>,
    ) -> Result<Option<(Gossiper, GossipRequestSender)>, ConfigError> {
        let Some(wanted) = &config.gossip else { return Ok(None) };
        let (ring, secret) = wanted.keys(&config.name)?;
        let can_not =
            |e: io::Error| ConfigError::without_key(&format!("gossip.listen: can't listen there: {e}"));
        let socket = std::net::UdpSocket::bind(wanted.listen).map_err(can_not)?;
        socket.set_nonblocking(true).map_err(can_not)?;
        let mut address = wanted.address();
        if address.port() == 0 {
            address.set_port(socket.local_addr().map_err(can_not)?.port());
        }
        // Higher at each start, unless the clock went back; then others tell the number to go above.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let settings = Settings {
            name: config.name.clone(),
            address,
            seeds: wanted.seeds.clone(),
            period: wanted.period.as_micros() as Micros,
            ceiling: wanted.ceiling,
            nodes: config.fleet.nodes,
            seed: fastrand::Rng::new().u64(..),
            number: unix.as_micros() as u64,
        };
        let began = Instant::now();
        let gossip = Gossip::new(settings, ring, secret, 0)
            .ok_or_else(|| ConfigError::without_key("gossip.ring: expected this node's name and key"))?;
        let (asks, asked) = mpsc::channel(ASKS);
        let deciding = Deciding::new(config, gossip.process(), 0);
        let reaching =
            deciding.as_ref().map(|deciding| Reaching::new(config, deciding.me(), tallies, aside, 0));
        let gossiper = Gossiper {
            deciding,
            reaching,
            reach_at: began,
            place: config.fleet.rank,
            config: config.clone(),
            socket,
            gossip,
            engines,
            asks: asked,
            began,
        };
        Ok(Some((gossiper, asks)))
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<std::net::SocketAddr> {
        self.socket.local_addr()
    }

    /// Runs on a thread of its own until the node has ended.
    ///
    /// # Errors
    ///
    /// There is no thread or descriptor to be had.
    pub fn start(self) -> io::Result<()> {
        on_thread("dunelink gossip".into(), move || async move {
            let name = self.config.name.clone();
            if let Err(error) = self.run().await {
                tracing::error!(target: "gossip", node = name, "gossip has ended: {error}");
            }
        })
    }

    fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// Runs until the node has ended. It needs a tokio runtime.
    async fn run(mut self) -> io::Result<()> {
        let socket = Arc::new(UdpSocket::from_std(self.socket.try_clone()?)?);
        let mut look = interval(LOOK);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // One byte more than a packet has: what is longer shows.
        let mut bytes = [0; PACKET_MOST + 1];
        let mut out = Vec::new();
        loop {
            let now = self.now();
            let decides = self.deciding.as_ref().map_or(Micros::MAX, |deciding| deciding.next(now));
            let reaches = self.reaching.as_ref().map_or(Micros::MAX, Reaching::next);
            let next = self.gossip.next().min(decides).min(reaches.max(now + 1_000));
            let next = self.began + Duration::from_micros(next);
            tokio::select! {
                // An error is what came back of a packet that was sent: its member does not answer then.
                received = socket.recv_from(&mut bytes) => if let Ok((length, from)) = received {
                    self.woke(next);
                    let now = self.now();
                    self.gossip.handle(now, Input::Packet(from, &bytes[..length]), &mut out);
                },
                () = sleep_until(next) => {
                    self.woke(next);
                    let now = self.now();
                    self.gossip.handle(now, Input::Tick, &mut out);
                }
                _ = look.tick() => if self.look(&mut out).await.is_none() {
                    return Ok(());
                },
                Some(ask) = self.asks.recv() => self.answer(ask, &socket, &mut out).await,
            }
            self.settle(&mut out, &socket);
        }
    }

    /// It wanted to be looked at then, at the latest.
    fn woke(&mut self, wanted: Instant) {
        self.reaching.iter_mut().for_each(|reaching| reaching.late(wanted.elapsed()));
    }

    /// Does what gossip and the others want, to the last word that one has for another.
    fn settle(&mut self, out: &mut Vec<Output>, socket: &UdpSocket) {
        let now = self.now();
        let Gossiper { deciding, gossip, reaching, .. } = self;
        let mut deeds = deciding.as_mut().map_or(Vec::new(), |deciding| deciding.tick(now, gossip));
        deeds.extend(reaching.iter_mut().flat_map(|reaching| reaching.tick(now, gossip)));
        self.carry_out(deeds, out);
        while !out.is_empty() {
            for output in std::mem::take(out) {
                match output {
                    Output::Carried(from, instance, bytes) => {
                        let deeds = self.hear(Process { name: from.0, instance }, &bytes);
                        self.carry_out(deeds, out);
                    }
                    output => self.act(output, socket),
                }
            }
        }
    }

    /// What another node's subsystems say to this one's.
    fn hear(&mut self, from: Process, bytes: &[u8]) -> Vec<Deed> {
        let now = self.now();
        let Gossiper { deciding, gossip, reaching, .. } = self;
        match (words::read(bytes), deciding, reaching) {
            (Some(Words::Council(wires)), Some(deciding), _) => deciding.hear(now, from, wires),
            (Some(Words::Row(row)), _, Some(reaching)) => reaching.heard(now, from, row, gossip),
            _ => Vec::new(),
        }
    }

    /// Does what is wanted, and what follows from that.
    fn carry_out(&mut self, mut deeds: Vec<Deed>, out: &mut Vec<Output>) {
        let now = self.now();
        while !deeds.is_empty() {
            for deed in std::mem::take(&mut deeds) {
                let Gossiper { deciding, gossip, reaching, config, .. } = self;
                let teller = Teller { node: &config.name, gossip };
                let epoch = || deciding.as_ref().map_or_else(|| epoch_of(None), Deciding::epoch);
                match deed {
                    // By far the most frequent: nothing else is made for it.
                    Deed::Carry(to, bytes) => gossip.handle(now, Input::Carry(to, bytes), out),
                    Deed::Part(part) => {
                        teller.part(part, &epoch());
                        self.tell_fleet((1.0 / part).ceil() as u32);
                    }
                    Deed::Decided(view, before) => {
                        teller.decided(&view, before.as_deref());
                        if let Some(reaching) = reaching {
                            let members: Vec<Name> = view.members.into_keys().collect();
                            deeds.extend(reaching.members(now, members, gossip));
                        }
                    }
                    Deed::Side(side, unheard) => teller.side(side, &unheard, &epoch()),
                    Deed::Lease(what, held, ago) => {
                        teller.lease(what, held, ago, &epoch());
                        if let (Held::Aside, Some(reaching)) = (what, reaching) {
                            deeds.extend(reaching.may_step_aside(now, held, gossip));
                        }
                    }
                    Deed::Dropped(change) => teller.dropped(&change),
                    Deed::Stance(stance, before) => teller.stance(&stance, &before, &epoch()),
                    Deed::WantsAside(wants) => {
                        if let Some(deciding) = deciding {
                            deeds.extend(deciding.want(now, dunelink_view::Input::Aside(wants)));
                        }
                    }
                    Deed::Ready(ready, stance) => teller.ready(ready, &stance, &epoch()),
                }
            }
        }
    }

    /// Tells the engines of how many nodes this is one.
    fn tell_fleet(&self, nodes: u32) {
        let shards = self.engines.len() as u32;
        for (shard, engine) in (0..).zip(&self.engines) {
            let balancers = nodes.saturating_mul(shards);
            let rank = self.place.saturating_mul(shards).saturating_add(shard);
            engine.send(Happening::Module(Event::FleetChanged { balancers, rank }));
        }
    }

    fn act(&mut self, output: Output, socket: &UdpSocket) {
        match output {
            // One that can't be sent is one that got lost.
            Output::Send(to, bytes) => drop(socket.try_send_to(&bytes, to)),
            Output::Doubts(doubts) => {
                for engine in &self.engines {
                    engine.send(Happening::Module(Event::PeerSuspicions(doubts.clone())));
                }
            }
            // Where the fleet decides, parts follow leases.
            Output::Fleet(fleet) => {
                self.place = fleet.place;
                if self.deciding.is_none() {
                    self.tell_fleet(fleet.nodes);
                }
            }
            Output::Carried(..) => {}
            Output::Note(note) => Teller { node: &self.config.name, gossip: &self.gossip }.note(&note),
        }
    }

    /// Asks all engines something; nothing once they have ended. One that stands still has nothing to say.
    async fn ask_engines<T>(&self, ask: impl Fn(oneshot::Sender<T>) -> Happening) -> Option<Vec<T>> {
        let send = |engine: &Mailbox| {
            let (tell, told) = oneshot::channel();
            engine.send(ask(tell)).then_some(told)
        };
        let asked: Vec<_> = self.engines.iter().filter_map(send).collect();
        if asked.is_empty() {
            return None;
        }
        let mut answers = Vec::new();
        for told in asked {
            answers.extend(timeout(LOOK_WITHIN, told).await.ok().and_then(Result::ok));
        }
        Some(answers)
    }

    /// What the engines have seen, all shards together; nothing once they have ended.
    async fn look(&mut self, out: &mut Vec<Output>) -> Option<()> {
        let began = Instant::now();
        let seen = self.ask_engines(Happening::Sight).await?;
        if self.reaching.is_some() && self.reach_at.elapsed() >= REACH {
            self.reach_at = Instant::now();
            let zones = self.ask_engines(Happening::Reach).await?;
            let now = self.now();
            let Gossiper { gossip, reaching, .. } = self;
            let deeds = reaching.iter_mut().flat_map(|reaching| {
                reaching.late(began.elapsed());
                reaching.seen(now, by_zone(&zones), gossip)
            });
            let deeds = deeds.collect();
            self.carry_out(deeds, out);
        }
        let now = self.now();
        self.gossip.handle(now, Input::Sightings(together(seen.into_iter().flatten())), out);
        Some(())
    }

    fn status(&self, now: Micros) -> Option<FleetView> {
        let (deciding, reaching) = (self.deciding.as_ref()?, self.reaching.as_ref()?);
        let reach = (reaching.matrix(), reaching.stance());
        Some(status(now, &self.config.name, &deciding.standing(now), reach, &self.gossip))
    }

    /// Has a node put out or let in, if that can be decided.
    fn put(&mut self, name: &str, how: Option<(u64, String)>, out: &mut Vec<Output>) -> Result<(), String> {
        let id = MemberId::of(name);
        let deciding = self.deciding.as_mut().ok_or("this node's configuration names no electors")?;
        if self.gossip.name(id).is_empty() {
            return Err("expected a name in the ring".into());
        }
        let change = match how {
            Some((seconds, reason)) => Evictions::out(id.0, seconds, &reason),
            None => Evictions::back(id.0),
        };
        deciding.may(&change).map_err(|refusal| refusal.to_string())?;
        let now = self.began.elapsed().as_micros() as Micros;
        let deeds = deciding.want(now, dunelink_view::Input::Want(change));
        self.carry_out(deeds, out);
        Ok(())
    }

    async fn answer(&mut self, ask: GossipRequest, socket: &UdpSocket, out: &mut Vec<Output>) {
        match ask {
            GossipRequest::Status(tell) => {
                let now = self.now();
                self.gossip.handle(now, Input::Tick, out);
                let view = GossipView {
                    members: self.gossip.members(),
                    suspicions: self.gossip.suspicions(),
                    figures: self.gossip.figures(),
                    fleet: self.status(now),
                };
                let _ = tell.send(view);
            }
            GossipRequest::ReloadKeys(tell) => {
                let Some(wanted) = &self.config.gossip else { return };
                let _ = tell.send(wanted.keys(&self.config.name).map(|(ring, secret)| {
                    let (now, names) = (self.now(), ring.len());
                    self.gossip.handle(now, Input::Keys(ring, secret), out);
                    names
                }));
            }
            GossipRequest::SetEviction(name, how, tell) => {
                let _ = tell.send(self.put(&name, how, out).map_err(|why| format!("{name}: {why}")));
            }
            GossipRequest::Leave(tell) => {
                // It may well be back in a moment; if not, its part goes to the others after a minute.
                let now = self.now();
                self.gossip.handle(now, Input::Leave { restarts: true }, out);
                self.settle(out, socket);
                let _ = tell.send(());
            }
        }
    }
}

/// What all shards have seen, each by as many requests as it rests on.
fn together(seen: impl Iterator<Item = ServerObservation>) -> Vec<ServerObservation> {
    let mut whole: HashMap<ServerId, ServerObservation> = HashMap::new();
    for one in seen {
        whole
            .entry(one.server)
            .and_modify(|all| {
                let (a, b) = (f64::from(all.sample_count), f64::from(one.sample_count));
                if a + b > 0.0 {
                    all.suspicion = (all.suspicion * a + one.suspicion * b) / (a + b);
                }
                all.recent_answers = all.recent_answers.saturating_add(one.recent_answers);
                all.sample_count = all.sample_count.saturating_add(one.sample_count);
            })
            .or_insert(one);
    }
    whole.into_values().collect()
}

/// What all shards have seen of servers, by zone. Each server is tried by all of them.
fn by_zone(seen: &[Vec<ZoneReach>]) -> Vec<ZoneReach> {
    let mut zones: BTreeMap<&str, ZoneReach> = BTreeMap::new();
    for reach in seen.iter().flatten() {
        let sum = zones
            .entry(&reach.zone)
            .or_insert_with(|| ZoneReach { zone: reach.zone.clone(), ..Default::default() });
        sum.answer = sum.answer.saturating_add(reach.answer);
        sum.silent = sum.silent.saturating_add(reach.silent);
    }
    zones.into_values().collect()
}

/// Asks, and waits for what comes back; nothing if there is no gossip or it has ended.
pub(crate) async fn request<T>(
    requests: Option<&GossipRequestSender>,
    make: impl FnOnce(oneshot::Sender<T>) -> GossipRequest,
) -> Option<T> {
    let (tell, told) = oneshot::channel();
    requests?.send(make(tell)).await.ok()?;
    told.await.ok()
}
