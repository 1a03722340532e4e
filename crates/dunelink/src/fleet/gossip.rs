//! Gossip over UDP: a thread with the socket and the clock, round the state machine of `dunelink-gossip`. What it hears
//! goes to the engines as events of the decision module, which alone decides what that does.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cherryusher::{Event, ServerId, Sighting};
use dunelink_gossip::{
    Figures, Gossip, Input, MemberView, Micros, Note, Output, PACKET_MOST, Settings, SuspicionView,
};
use dunelink_view::Standing;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};

use super::view::{Deciding, Deed};
use crate::config::{Config, ConfigError};
use crate::engine::{Happening, Mailbox};
use crate::thread::on_thread;

/// How often engines are asked what they have seen.
const LOOK: Duration = Duration::from_millis(200);
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
    pub fleet: Option<Standing>,
}

/// What owners of the node want of it.
pub(crate) enum Ask {
    Look(oneshot::Sender<GossipView>),
    /// The keys are to be read again.
    Keys(oneshot::Sender<Result<usize, ConfigError>>),
    /// The node goes; told once others have been told.
    Leave(oneshot::Sender<()>),
}

pub(crate) type Asks = mpsc::Sender<Ask>;

/// Gossip of one node, to be run on a thread that nothing blocks.
pub struct Gossiper {
    config: Config,
    socket: std::net::UdpSocket,
    gossip: Gossip,
    deciding: Option<Deciding>,
    /// This node's place among all names.
    place: u32,
    engines: Vec<Mailbox>,
    asks: mpsc::Receiver<Ask>,
    began: Instant,
}

impl Gossiper {
    /// Reads keys and takes the address; nothing if the configuration wants no gossip.
    pub(crate) fn new(
        config: &Config,
        engines: Vec<Mailbox>,
    ) -> Result<Option<(Gossiper, Asks)>, ConfigError> {
        let Some(wanted) = &config.gossip else { return Ok(None) };
        let (ring, secret) = wanted.keys(&config.name)?;
        let can_not = |e: io::Error| ConfigError::whole(&format!("gossip.listen: can't listen there: {e}"));
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
            .ok_or_else(|| ConfigError::whole("gossip.ring: expected this node's name and key"))?;
        let (asks, asked) = mpsc::channel(ASKS);
        let deciding = Deciding::new(config, gossip.process(), 0);
        let place = config.fleet.rank;
        let gossiper =
            Gossiper { deciding, place, config: config.clone(), socket, gossip, engines, asks: asked, began };
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
                eprintln!("dunelink: {name}: gossip has ended: {error}");
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
            let next = self.began + Duration::from_micros(self.gossip.next().min(decides));
            tokio::select! {
                // An error is what came back of a packet that was sent: its member does not answer then.
                received = socket.recv_from(&mut bytes) => if let Ok((length, from)) = received {
                    let now = self.now();
                    self.gossip.handle(now, Input::Packet(from, &bytes[..length]), &mut out);
                },
                () = sleep_until(next) => {
                    let now = self.now();
                    self.gossip.handle(now, Input::Tick, &mut out);
                }
                _ = look.tick() => {
                    let Some(seen) = self.look().await else { return Ok(()) };
                    let now = self.now();
                    self.gossip.handle(now, Input::Sightings(seen), &mut out);
                }
                Some(ask) = self.asks.recv() => self.answer(ask, &socket, &mut out).await,
            }
            self.settle(&mut out, &socket);
        }
    }

    /// Does what gossip and the council want, to the last word that the one has for the other.
    fn settle(&mut self, out: &mut Vec<Output>, socket: &UdpSocket) {
        let now = self.now();
        let Gossiper { deciding, gossip, .. } = self;
        let deeds = deciding.as_mut().map_or(Vec::new(), |deciding| deciding.tick(now, gossip));
        self.carry_out(deeds, out);
        while !out.is_empty() {
            for output in std::mem::take(out) {
                let Output::Carried(from, instance, bytes) = &output else {
                    self.act(output, socket);
                    continue;
                };
                let Gossiper { deciding, gossip, .. } = self;
                let Some(deciding) = deciding else { continue };
                let deeds = deciding.hear(now, (*from, *instance), bytes, gossip);
                self.carry_out(deeds, out);
            }
        }
    }

    fn carry_out(&mut self, deeds: Vec<Deed>, out: &mut Vec<Output>) {
        let now = self.now();
        for deed in deeds {
            match deed {
                Deed::Carry(to, bytes) => self.gossip.handle(now, Input::Carry(to, bytes), out),
                Deed::Part(part) => self.tell_fleet((1.0 / part).ceil() as u32),
                Deed::Log(what) => eprintln!("dunelink: {}: {what}", self.config.name),
            }
        }
    }

    /// Tells the engines of how many nodes this is one.
    fn tell_fleet(&self, nodes: u32) {
        let shards = self.engines.len() as u32;
        for (shard, engine) in (0..).zip(&self.engines) {
            let balancers = nodes.saturating_mul(shards);
            let rank = self.place.saturating_mul(shards).saturating_add(shard);
            engine.send(Happening::Module(Event::Fleet { balancers, rank }));
        }
    }

    fn act(&mut self, output: Output, socket: &UdpSocket) {
        match output {
            // One that can't be sent is one that got lost.
            Output::Send(to, bytes) => drop(socket.try_send_to(&bytes, to)),
            Output::Doubts(doubts) => {
                for engine in &self.engines {
                    engine.send(Happening::Module(Event::Hearsay(doubts.clone())));
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
            Output::Note(note) => self.log(&note),
        }
    }

    fn log(&self, note: &Note) {
        let name = &self.config.name;
        match note {
            Note::Up(member) => eprintln!("dunelink: {name}: {member} is there"),
            Note::Down(member) => eprintln!("dunelink: {name}: {member} does not answer any more"),
            Note::NameShared => eprintln!("dunelink: {name}: another process goes by this name"),
            Note::NoSense(member) => {
                eprintln!(
                    "dunelink: {name}: {member} tells ages that can't be; its word on servers is not heard"
                );
            }
            Note::StoodStill(span) => {
                eprintln!("dunelink: {name}: this process stood still for {} ms", span / 1000);
            }
        }
    }

    /// What the engines have seen, all shards together; nothing once they have ended.
    async fn look(&self) -> Option<Vec<Sighting>> {
        let ask = |engine: &Mailbox| {
            let (ask, told) = oneshot::channel();
            engine.send(Happening::Sight(ask)).then_some(told)
        };
        let asked: Vec<_> = self.engines.iter().filter_map(ask).collect();
        if asked.is_empty() {
            return None;
        }
        let mut seen = Vec::new();
        for told in asked {
            if let Ok(Ok(more)) = timeout(LOOK_WITHIN, told).await {
                seen.extend(more);
            }
        }
        Some(together(seen))
    }

    async fn answer(&mut self, ask: Ask, socket: &UdpSocket, out: &mut Vec<Output>) {
        match ask {
            Ask::Look(tell) => {
                let now = self.now();
                self.gossip.handle(now, Input::Tick, out);
                let view = GossipView {
                    members: self.gossip.members(),
                    suspicions: self.gossip.suspicions(),
                    figures: self.gossip.figures(),
                    fleet: self.deciding.as_ref().map(|deciding| deciding.standing(now)),
                };
                let _ = tell.send(view);
            }
            Ask::Keys(tell) => {
                let Some(wanted) = &self.config.gossip else { return };
                let _ = tell.send(wanted.keys(&self.config.name).map(|(ring, secret)| {
                    let (now, names) = (self.now(), ring.len());
                    self.gossip.handle(now, Input::Keys(ring, secret), out);
                    names
                }));
            }
            Ask::Leave(tell) => {
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
fn together(seen: Vec<Sighting>) -> Vec<Sighting> {
    let mut whole: HashMap<ServerId, Sighting> = HashMap::new();
    for one in seen {
        whole
            .entry(one.server)
            .and_modify(|all| {
                let (a, b) = (f64::from(all.rests_on), f64::from(one.rests_on));
                if a + b > 0.0 {
                    all.strength = (all.strength * a + one.strength * b) / (a + b);
                }
                all.answers = all.answers.saturating_add(one.answers);
                all.rests_on = all.rests_on.saturating_add(one.rests_on);
            })
            .or_insert(one);
    }
    whole.into_values().collect()
}

/// Asks, and waits for what comes back; nothing if there is no gossip or it has ended.
pub(crate) async fn ask<T>(asks: Option<&Asks>, make: impl FnOnce(oneshot::Sender<T>) -> Ask) -> Option<T> {
    let (tell, told) = oneshot::channel();
    asks?.send(make(tell)).await.ok()?;
    told.await.ok()
}
