//! The state machine of one node: what comes in, what goes out, and when it wants to be looked at.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cherryusher::{Doubt, Sighting};

use crate::Micros;
use crate::evidence::{self, Evidence, Witness};
use crate::keys::{KeyRing, MemberId, Secret};
use crate::limits::{Bucket, HEADERS, Sources};
use crate::members::{Member, Members, Standing};
use crate::news::{News, tellings};
use crate::packet::{
    ACCUSATIONS_MOST, Accusation, Body, Carried, Header, Message, NAMED_MOST, PACKET_MOST, Packet, Signed,
    Stance, Statement, Suspicion, Unreadable, VERSION, VERSION_LEAST, millis, parse,
};
use crate::places::{Fleet, Places};
use crate::probe::{Prober, Step};

/// How often news are told while there are any.
const ROUND: Micros = 100_000;
/// Members that are told in a round.
const FAN_OUT: usize = 2;
/// How often a digest is sent while it finds nothing, and while it does.
const SYNC: (Micros, Micros) = (5_000_000, 200_000);
/// Seeds that are asked at once to be let in.
const KNOCKS: usize = 3;
/// The longest wait between two tries to join.
const JOIN_MOST: Micros = 10_000_000;
/// A gap between two looks, in periods, that means that this process stood still.
const STOOD_STILL: Micros = 3;
/// Packets a second that one address, and one member, are listened to.
const LISTEN: f64 = 200.0;
/// The part of the ceiling that is for news; the rest is for probes and answers. Neither can take the other's: whom
/// many ask at once still tells them of others, and who has much to tell still answers.
const FOR_NEWS: f64 = 0.6;
/// What a packet with nothing but news takes beside them, at most, with the headers of UDP and IP.
const FRAME: usize = 200;
/// The least time between two statements that answer an accusation.
const REFUTE: Micros = 200_000;
/// The least time between two notes of one kind.
const NOTE: Micros = 60_000_000;

/// What a node is told once.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name, which is in the ring.
    pub name: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Where it asks to be let in.
    pub seeds: Vec<SocketAddr>,
    /// How often a member is asked whether it is there.
    pub period: Micros,
    /// The most bytes that it sends in any second, headers of UDP and IP included.
    pub ceiling: u32,
    /// How many nodes there are meant to be.
    pub nodes: u32,
    /// For random numbers, and for telling this process from the one before: never the same twice.
    pub seed: u64,
    /// The number of its first statement: higher than any that its name had before. One that is not is raised once
    /// others say what they know.
    pub number: u64,
}

/// What happened.
#[derive(Debug)]
pub enum Input<'a> {
    /// A packet came.
    Packet(SocketAddr, &'a [u8]),
    /// Time has passed.
    Tick,
    /// What this node has seen of servers lately, by itself: all of it.
    Sightings(Vec<Sighting>),
    /// Other keys count from now on.
    Keys(KeyRing, Secret),
    /// This node goes, for a moment or for good.
    Leave {
        /// Whether it will be back in a moment.
        restarts: bool,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a packet.
    Send(SocketAddr, Vec<u8>),
    /// What others say of servers, weighed: all of it.
    Doubts(Vec<Doubt>),
    /// The number of nodes or this node's place has changed.
    Fleet(Fleet),
    /// Something for the log, never more than one of a kind in a minute for each member.
    Note(Note),
}

/// Something for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A member is there.
    Up(String),
    /// A member does not answer any more.
    Down(String),
    /// Another process goes by this node's name.
    NameShared,
    /// A member tells ages that can't be.
    NoSense(String),
    /// This process stood still for so long.
    StoodStill(Micros),
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Packets sent, and their bytes with the headers of UDP and IP.
    pub sent: u64,
    /// Bytes of those.
    pub sent_bytes: u64,
    /// Packets that the ceiling kept back.
    pub kept_back: u64,
    /// Packets taken in.
    pub taken: u64,
    /// Packets from addresses or members that send too many.
    pub flooded: u64,
    /// Packets that can't be read, or are of no version that is spoken.
    pub unreadable: u64,
    /// Packets of strangers, or whose signature does not hold.
    pub unsigned: u64,
    /// Packets met before, or meant for another process.
    pub replayed: u64,
    /// Signatures that were checked.
    pub checked: u64,
}

/// A member, as this node sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// How it stands.
    pub standing: Standing,
    /// For how long it has stood so.
    pub since: Micros,
    /// Its place in the ring.
    pub place: u32,
    /// How far its word on servers is believed, from 0 to 1.
    pub credit: f64,
}

/// A server that others suspect, and who does.
#[derive(Clone, Debug, PartialEq)]
pub struct SuspicionView {
    /// The server's id.
    pub server: u64,
    /// The doubt about it.
    pub doubt: f64,
    /// Witnesses by name.
    pub witnesses: Vec<(String, Witness)>,
}

/// Gossip of one node.
pub struct Gossip {
    settings: Settings,
    ring: KeyRing,
    secret: Secret,
    me: MemberId,
    instance: u64,
    now: Micros,
    packets: u64,
    own: Signed,
    refuted_at: Micros,
    members: Members,
    news: News,
    prober: Prober,
    evidence: Evidence,
    sightings: Vec<Sighting>,
    places: Places,
    told: Option<Fleet>,
    for_probes: Bucket,
    for_news: Bucket,
    sources: Sources,
    by_member: BTreeMap<MemberId, Bucket>,
    notes: BTreeMap<(u8, MemberId), Micros>,
    twins: u32,
    round_at: Micros,
    sync_at: Micros,
    sync_from: MemberId,
    join_at: Micros,
    join_wait: Micros,
    random: fastrand::Rng,
    figures: Figures,
    out: Vec<Output>,
}

impl Gossip {
    /// A node that begins now. `None` if its name is not in the ring with its secret's key.
    pub fn new(settings: Settings, ring: KeyRing, secret: Secret, now: Micros) -> Option<Gossip> {
        let me = MemberId::of(&settings.name);
        if !ring.holds(me, &secret) {
            return None;
        }
        let mut random = fastrand::Rng::with_seed(settings.seed);
        // 0 means that no process is known.
        let instance = random.u64(1..);
        let statement = Statement {
            author: me,
            key: secret.hint(),
            instance,
            number: settings.number,
            address: settings.address,
            stance: Stance::Here,
            suspicions: Vec::new(),
        };
        let period = settings.period.max(1);
        Some(Gossip {
            own: Signed::new(statement, &secret),
            prober: Prober::new(period, now + random.u64(..period)),
            places: Places::new(settings.nodes),
            for_probes: Bucket::ceiling(f64::from(settings.ceiling) * (1.0 - FOR_NEWS), now),
            for_news: Bucket::ceiling(f64::from(settings.ceiling) * FOR_NEWS, now),
            sources: Sources::new(LISTEN, now),
            sync_at: now + random.u64(..SYNC.1),
            join_at: now + random.u64(..ROUND),
            settings,
            ring,
            secret,
            me,
            instance,
            now,
            random,
            packets: 0,
            refuted_at: 0,
            members: Members::default(),
            news: News::default(),
            evidence: Evidence::default(),
            sightings: Vec::new(),
            told: None,
            by_member: Default::default(),
            notes: Default::default(),
            twins: 0,
            round_at: now,
            sync_from: MemberId(0),
            join_wait: ROUND,
            figures: Figures::default(),
            out: Vec::new(),
        })
    }

    /// Takes in what happened and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if gap > STOOD_STILL * self.settings.period {
            // Nobody could be heard meanwhile: that is no sign that they are gone.
            self.members.shift(gap);
            self.prober.shift(gap);
            self.places.shift(gap);
            self.note(4, self.me, Note::StoodStill(gap));
        }
        match input {
            Input::Packet(from, bytes) => self.packet(from, bytes),
            Input::Tick => {}
            Input::Sightings(seen) => self.saw(seen),
            Input::Keys(ring, secret) => self.change_keys(ring, secret),
            Input::Leave { restarts } => self.leave(restarts),
        }
        self.work();
        out.append(&mut self.out);
    }

    /// When it wants to be looked at next.
    pub fn next(&self) -> Micros {
        let round = if self.news.is_hot() { self.round_at } else { Micros::MAX };
        let least = self.now + 1000;
        round.min(self.sync_at).min(self.join_at).min(self.prober.next()).max(least).min(self.now + ROUND)
    }

    /// What was counted.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// The members that it knows, itself left out.
    pub fn members(&self) -> Vec<MemberView> {
        let view = |(id, member): (&MemberId, &Member)| MemberView {
            name: self.name(*id),
            address: member.signed.statement.address,
            standing: member.standing,
            since: self.now.saturating_sub(member.since),
            place: self.ring.place(*id).unwrap_or_default(),
            credit: self.evidence.credit(*id),
        };
        self.members.all.iter().map(view).collect()
    }

    /// The servers that others suspect.
    pub fn suspicions(&self) -> Vec<SuspicionView> {
        let needed = evidence::needed(self.members.all.len() + 1);
        let words = self.evidence.words(self.now, &self.members);
        let view = |(server, words): (u64, Vec<Witness>)| SuspicionView {
            server,
            doubt: (words.iter().map(|w| w.weight).sum::<f64>() / needed).min(1.0),
            witnesses: words.into_iter().map(|word| (self.name(word.witness), word)).collect(),
        };
        words.into_iter().map(view).collect()
    }

    fn name(&self, id: MemberId) -> String {
        self.ring.name(id).unwrap_or_default().to_owned()
    }

    fn note(&mut self, kind: u8, about: MemberId, note: Note) {
        let last = self.notes.get(&(kind, about)).copied();
        if last.is_none_or(|at| self.now.saturating_sub(at) >= NOTE) {
            self.notes.insert((kind, about), self.now);
            self.out.push(Output::Note(note));
        }
    }

    fn note_up(&mut self, id: MemberId) {
        self.note(0, id, Note::Up(self.name(id)));
    }

    // What is sent.

    /// Makes this node's statement anew, and tells it.
    fn restate(&mut self, stance: Stance, suspicions: Vec<Suspicion>, above: u64) {
        let number = self.own.statement.number.max(above).saturating_add(1);
        let statement =
            Statement { key: self.secret.hint(), number, stance, suspicions, ..self.own.statement.clone() };
        self.own = Signed::new(statement, &self.secret);
        self.news.heat(self.me);
    }

    fn carried(&self, id: MemberId) -> Option<Carried> {
        if id == self.me {
            return Some(Carried { held_ms: 0, signed: self.own.clone() });
        }
        let member = self.members.all.get(&id)?;
        let held_ms = millis(self.now.saturating_sub(member.made_at));
        Some(Carried { held_ms, signed: member.signed.clone() })
    }

    /// Sends a message to a member, with this node's own statement if so, and as much news as there is room for.
    fn tell(&mut self, to: MemberId, message: Message, own: bool, news: bool) -> bool {
        let Some(member) = self.members.all.get(&to) else { return false };
        let Statement { address, instance, .. } = member.signed.statement;
        // Who was never heard may not know this node, and would not listen to it.
        let own = own || !member.was_heard();
        self.tell_at(address, Some(to), instance, message, own, news)
    }

    fn tell_at(
        &mut self,
        address: SocketAddr,
        to: Option<MemberId>,
        to_instance: u64,
        message: Message,
        own: bool,
        news: bool,
    ) -> bool {
        let speaks =
            to.and_then(|to| self.members.all.get(&to)).map_or(VERSION_LEAST, |member| member.speaks);
        self.packets += 1;
        let header = Header {
            version: speaks.min(VERSION),
            speaks: VERSION,
            from: self.me,
            key: self.secret.hint(),
            instance: self.instance,
            to_instance,
            number: self.packets,
        };
        let mut body = Body { message, accusations: Vec::new(), news: Vec::new() };
        body.news.extend(own.then(|| self.carried(self.me)).flatten());
        let nodes = self.members.all.len();
        if let Some(to) = to.filter(|_| news) {
            // Who is accused hears it first of all (Lifeguard's buddy system).
            let number = self.members.all.get(&to).map_or(0, |member| member.signed.statement.number);
            let accused = |accuser| Accusation { accused: to, number, accuser };
            body.accusations.extend(self.members.accusers(to).map(accused).take(1));
            let room = ACCUSATIONS_MOST - body.accusations.len();
            body.accusations.extend(self.news.accusations(room, tellings(nodes)));
        }
        let mut packet = Packet { header, body };
        let size = packet.size();
        let all_news =
            matches!(packet.body.message, Message::News | Message::Digest { .. } | Message::Want(_));
        let base = size + HEADERS;
        if !self.afford(if all_news { (0, base) } else { (base, 0) }) {
            return false;
        }
        if news && self.news.is_hot() {
            let space = PACKET_MOST.saturating_sub(size).min(self.for_news.left(self.now) as usize);
            for id in self.pick_news(space, to, own) {
                packet.body.news.extend(self.carried(id));
            }
        }
        let Some(bytes) = packet.seal(&self.secret) else { return false };
        // What was picked fits what is left.
        self.afford((0, bytes.len().saturating_sub(size)));
        self.send(address, bytes);
        true
    }

    /// Takes bytes of probes and of news from the ceiling.
    fn afford(&mut self, (probes, news): (usize, usize)) -> bool {
        let now = self.now;
        let fits = self.for_probes.left(now) >= probes as f64 && self.for_news.left(now) >= news as f64;
        if fits {
            self.for_probes.take(now, probes as f64);
            self.for_news.take(now, news as f64);
        } else {
            self.figures.kept_back += 1;
        }
        fits
    }

    fn pick_news(&mut self, space: usize, to: Option<MemberId>, own: bool) -> Vec<MemberId> {
        let (members, me, mine) = (&self.members, self.me, self.own.size());
        let size = |id: MemberId| match id == me {
            true => Some(mine),
            false => members.all.get(&id).map(|member| member.signed.size()),
        };
        let nodes = members.all.len();
        // What adds nothing to what enough others say is passed on once at most.
        let suspects = self.news.hot().any(|id| {
            members.all.get(&id).is_some_and(|member| !member.signed.statement.suspicions.is_empty())
        });
        let words = if suspects { self.evidence.words(self.now, members) } else { BTreeMap::new() };
        let enough = 2.0 * evidence::needed(nodes + 1);
        let said = |server: u64| words.get(&server).map_or(0.0, |w| w.iter().map(|w| w.weight).sum());
        let useful = |id: MemberId| {
            let suspicions = members.all.get(&id).map_or(&[][..], |m| &m.signed.statement.suspicions);
            let adds = suspicions.is_empty() || suspicions.iter().any(|s| said(s.server) < enough);
            if adds || id == me { tellings(nodes) } else { 1 }
        };
        let mut picked = self.news.pick(space, size, useful);
        picked.retain(|id| Some(*id) != to && !(own && *id == me));
        picked
    }

    fn send(&mut self, address: SocketAddr, bytes: Vec<u8>) {
        self.figures.sent += 1;
        self.figures.sent_bytes += (bytes.len() + HEADERS) as u64;
        self.out.push(Output::Send(address, bytes));
    }

    // What is due.

    fn work(&mut self) {
        for id in self.members.expire(self.now, self.settings.period) {
            self.note(1, id, Note::Down(self.name(id)));
        }
        while let Some(step) = self.prober.step(self.now, &self.members, &mut self.random) {
            self.probe(step);
        }
        if self.round_at <= self.now && self.news.is_hot() {
            self.round_at = self.now + ROUND;
            for to in self.some_present(FAN_OUT) {
                self.tell(to, Message::News, false, true);
            }
        }
        if self.join_at <= self.now {
            self.join();
        }
        if self.sync_at <= self.now {
            self.sync();
        }
        let nodes = self.places.update(self.now, self.members.counted(self.now) as u32 + 1);
        let fleet = Fleet { nodes, place: self.ring.place(self.me).unwrap_or_default() };
        if self.told != Some(fleet) {
            self.told = Some(fleet);
            self.out.push(Output::Fleet(fleet));
        }
    }

    fn some_present(&mut self, most: usize) -> Vec<MemberId> {
        let mut there: Vec<MemberId> = self.members.present().collect();
        let most = most.min(there.len());
        for at in 0..most {
            let with = self.random.usize(at..there.len());
            there.swap(at, with);
        }
        there.truncate(most);
        there
    }

    fn probe(&mut self, step: Step) {
        match step {
            Step::Ping(to, number) => drop(self.tell(to, Message::Ping { number, bare: false }, true, true)),
            Step::Ask(target, number, helpers) => {
                for helper in helpers {
                    self.tell(helper, Message::PingFor { target, number }, true, false);
                }
            }
            Step::Failed(accused) => {
                let number =
                    self.members.all.get(&accused).map_or(0, |member| member.signed.statement.number);
                self.accuse(Accusation { accused, number, accuser: self.me });
            }
        }
    }

    fn accuse(&mut self, accusation: Accusation) {
        let Accusation { accused, number, accuser } = accusation;
        if self.members.accuse(self.now, accused, number, accuser) {
            self.news.accuse(accusation);
        }
    }

    /// Knocks at the seeds while nobody is there, and now and then at those that were.
    fn join(&mut self) {
        let alone = self.members.present().next().is_none();
        self.join_wait = if alone { (2 * self.join_wait).min(JOIN_MOST) } else { JOIN_MOST };
        self.join_at = self.now + self.join_wait / 2 + self.random.u64(..self.join_wait / 2);
        let gone = |m: &Member| !matches!(m.standing, Standing::Alive | Standing::Suspect);
        let gone: Vec<MemberId> =
            self.members.all.iter().filter(|(_, m)| gone(m)).map(|(id, _)| *id).collect();
        if let Some(id) = gone.get(self.random.usize(..gone.len().max(1))) {
            let number = self.random.u64(..);
            self.tell(*id, Message::Ping { number, bare: false }, true, true);
        }
        let mut seeds = self.settings.seeds.clone();
        self.random.shuffle(&mut seeds);
        seeds.truncate(if alone { KNOCKS } else { 1 });
        seeds.retain(|seed| *seed != self.settings.address);
        for address in seeds {
            self.tell_at(address, None, 0, Message::Join, true, false);
        }
    }

    /// Compares what is known with another member, a part at a time (anti-entropy).
    fn sync(&mut self) {
        self.sync_at = self.now + SYNC.0 / 2 + self.random.u64(..SYNC.0);
        let Some(to) = self.some_present(1).pop() else { return };
        let from = self.sync_from;
        let mut known: Vec<(MemberId, u64)> =
            self.members.all.range(from..).map(|(id, m)| (*id, m.signed.statement.number)).collect();
        let whole = known.len() < NAMED_MOST;
        known.truncate(NAMED_MOST - 1);
        let end =
            if whole { MemberId(u64::MAX) } else { known.last().map_or(MemberId(u64::MAX), |last| last.0) };
        self.sync_from = if whole { MemberId(0) } else { MemberId(end.0.saturating_add(1)) };
        if (from..=end).contains(&self.me) {
            known.push((self.me, self.own.statement.number));
        }
        self.tell(to, Message::Digest { from, to: end, known }, true, false);
    }

    // What comes in.

    fn packet(&mut self, source: SocketAddr, bytes: &[u8]) {
        if !self.sources.listens(self.now, source.ip()) {
            self.figures.flooded += 1;
            return;
        }
        let packet = match parse(bytes) {
            Ok(packet) => packet,
            Err(Unreadable::Length | Unreadable::Stranger | Unreadable::Version(_) | Unreadable::Form) => {
                self.figures.unreadable += 1;
                return;
            }
        };
        let Header { from, instance, to_instance, number, speaks, .. } = packet.header;
        if !self.ring.contains(from) {
            self.figures.unsigned += 1;
            return;
        }
        let hello = matches!(packet.body.message, Message::Join | Message::Welcome);
        // What names another process was recorded, or is from one that does not know this one yet: it costs no state.
        let for_me = to_instance == self.instance;
        if !for_me && !hello && from == self.me {
            self.figures.replayed += 1;
            return;
        }
        self.figures.checked += 1;
        if !packet.holds(bytes, &self.ring) {
            self.figures.unsigned += 1;
            return;
        }
        let now = self.now;
        let bucket = self.by_member.entry(from).or_insert_with(|| Bucket::ceiling(LISTEN, now));
        if !bucket.take(now, 1.0) {
            self.figures.flooded += 1;
            return;
        }
        if from == self.me {
            return self.twin(instance, &packet);
        }
        if !for_me {
            self.figures.replayed += u64::from(!matches!(packet.body.message, Message::Join));
            // It is told which process this is. The answer is shorter than what asks for it.
            if !matches!(packet.body.message, Message::Welcome) {
                self.tell_at(source, Some(from), instance, Message::Welcome, true, false);
            }
            return;
        }
        // Its own statement comes first: it may be the first that is heard of it, or of its new process.
        for carried in &packet.body.news {
            if carried.signed.statement.author == from {
                self.take(carried);
            }
        }
        let gone = self.members.all.get(&from).is_some_and(|m| m.standing == Standing::Dead);
        if !self.members.hear(now, from, instance, number, speaks) {
            self.figures.replayed += 1;
            return;
        }
        if gone {
            // Where one is back, others may be.
            self.join_at = self.join_at.min(now + self.random.u64(SYNC.1..SYNC.0 / 4));
            self.note_up(from);
        }
        self.figures.taken += 1;
        for carried in &packet.body.news {
            self.take(carried);
        }
        for accusation in &packet.body.accusations {
            self.accused(*accusation);
        }
        self.answer(from, packet.body.message, bytes);
    }

    /// A packet or a statement of this node's own name that this process did not make.
    fn twin(&mut self, instance: u64, packet: &Packet) {
        for carried in &packet.body.news {
            self.take(carried);
        }
        if instance != self.instance {
            self.twins += 1;
            self.note(2, self.me, Note::NameShared);
        }
    }

    /// Takes in a statement, if its author signed it and it is newer than what is known.
    fn take(&mut self, carried: &Carried) {
        let signed = &carried.signed;
        let Statement { author, number, instance, ref suspicions, .. } = signed.statement;
        if author == self.me {
            // Of a process before this one, or beside it: this one goes on above that.
            let other = instance != self.instance && number >= self.own.statement.number;
            if other && self.checked(signed) {
                let Statement { stance, suspicions, .. } = self.own.statement.clone();
                self.restate(stance, suspicions, number);
                self.twins += 1;
                if self.twins > 3 {
                    self.note(2, self.me, Note::NameShared);
                }
            }
            return;
        }
        if !self.ring.contains(author) || !self.members.is_newer(signed) || !self.checked(signed) {
            return;
        }
        if Evidence::makes_no_sense(suspicions) {
            self.note(3, author, Note::NoSense(self.name(author)));
        }
        let here = |members: &Members| members.all.get(&author).map(|m| m.standing) == Some(Standing::Alive);
        let before = here(&self.members);
        if self.members.take(self.now, signed.clone(), u64::from(carried.held_ms) * 1000) {
            self.news.heat(author);
            if !before && here(&self.members) {
                self.note_up(author);
            }
        }
    }

    fn checked(&mut self, signed: &Signed) -> bool {
        self.figures.checked += 1;
        signed.holds(&self.ring)
    }

    fn accused(&mut self, accusation: Accusation) {
        if accusation.accused != self.me {
            if self.ring.contains(accusation.accuser) {
                self.accuse(accusation);
            }
            return;
        }
        let due = self.refuted_at == 0 || self.now.saturating_sub(self.refuted_at) >= REFUTE;
        if accusation.number == self.own.statement.number && due {
            self.refuted_at = self.now;
            self.prober.own_health(false);
            let Statement { stance, suspicions, .. } = self.own.statement.clone();
            self.restate(stance, suspicions, 0);
        }
    }

    fn answer(&mut self, from: MemberId, message: Message, bytes: &[u8]) {
        match message {
            // Who is known by it is asked at once, so that it knows this node too.
            Message::Welcome => {
                self.sync_at = self.sync_at.min(self.now + SYNC.1);
                let number = self.random.u64(..);
                self.tell(from, Message::Ping { number, bare: false }, true, true);
            }
            Message::Ping { number, bare } => drop(self.tell(from, Message::Ack(number), false, !bare)),
            Message::Ack(number) => {
                if let Some(asker) = self.prober.errand_done(from, number) {
                    self.tell(asker, Message::Proof(bytes.to_vec()), false, false);
                } else {
                    self.prober.answered(from, number);
                }
            }
            Message::PingFor { target, number } => {
                if self.members.all.contains_key(&target)
                    && self.prober.errand(self.now, from, target, number)
                {
                    self.tell(target, Message::Ping { number, bare: true }, true, false);
                }
            }
            Message::Proof(bytes) => self.proof(&bytes),
            // A stranger's knock was answered before.
            Message::News | Message::Join => {}
            Message::Digest { from: first, to: last, known } => self.compare(from, first, last, &known),
            Message::Want(ids) => self.give(from, ids),
        }
    }

    /// Another member's answer, signed by that member: that it holds a number drawn by this node shows that it is new.
    fn proof(&mut self, bytes: &[u8]) {
        let Ok(packet) = parse(bytes) else { return };
        let (from, Message::Ack(number)) = (packet.header.from, &packet.body.message) else { return };
        self.figures.checked += 1;
        if packet.holds(bytes, &self.ring) {
            self.prober.answered(from, *number);
        }
    }

    fn compare(&mut self, from: MemberId, first: MemberId, last: MemberId, known: &[(MemberId, u64)]) {
        if first > last {
            return;
        }
        let theirs = |id: MemberId| known.iter().find(|(other, _)| *other == id).map(|(_, number)| *number);
        let mut give: Vec<MemberId> = self.members.all.range(first..=last).map(|(id, _)| *id).collect();
        give.retain(|id| {
            let ours = self.members.all.get(id).map(|m| m.signed.statement.number);
            *id != from && theirs(*id) < ours
        });
        let want: Vec<MemberId> = known
            .iter()
            .filter(|(id, number)| {
                let ours = self.members.all.get(id).map(|m| m.signed.statement.number);
                *id != self.me && self.ring.contains(*id) && ours < Some(*number)
            })
            .map(|(id, _)| *id)
            .collect();
        // Not always the same first ones, if not all fit.
        self.random.shuffle(&mut give);
        let differs = !give.is_empty() || !want.is_empty();
        self.give(from, give);
        if !want.is_empty() {
            self.tell(from, Message::Want(want), false, false);
        }
        if differs {
            self.sync_at = self.sync_at.min(self.now + SYNC.1);
        }
    }

    /// Sends what is known of these, as much as fits one packet.
    fn give(&mut self, to: MemberId, ids: Vec<MemberId>) {
        let mut space = (self.for_news.left(self.now) as usize).min(PACKET_MOST).saturating_sub(FRAME);
        let mut news = Vec::new();
        for carried in ids.into_iter().filter_map(|id| self.carried(id)) {
            let size = carried.signed.size();
            if size <= space {
                space -= size;
                news.push(carried);
            }
        }
        let Some(member) = self.members.all.get(&to).filter(|_| !news.is_empty()) else { return };
        let (statement, speaks) = (&member.signed.statement, member.speaks);
        let (address, to_instance) = (statement.address, statement.instance);
        self.packets += 1;
        let header = Header {
            version: speaks.min(VERSION),
            speaks: VERSION,
            from: self.me,
            key: self.secret.hint(),
            instance: self.instance,
            to_instance,
            number: self.packets,
        };
        let body = Body { message: Message::News, accusations: Vec::new(), news };
        if let Some(bytes) = (Packet { header, body }).seal(&self.secret)
            && self.afford((0, bytes.len() + HEADERS))
        {
            self.send(address, bytes);
        }
    }

    // What the node itself does.

    fn saw(&mut self, seen: Vec<Sighting>) {
        self.sightings = seen;
        let doubts = self.evidence.weigh(self.now, &self.members, &self.sightings);
        if let Some(say) = self.evidence.say(self.now, &self.members, &self.sightings) {
            self.restate(self.own.statement.stance, say, 0);
        }
        self.out.push(Output::Doubts(doubts));
    }

    fn change_keys(&mut self, ring: KeyRing, secret: Secret) {
        if !ring.holds(self.me, &secret) {
            return;
        }
        let keep = |id: MemberId| ring.contains(id);
        self.members.retain(keep);
        self.evidence.retain(keep);
        self.by_member.retain(|id, _| keep(*id));
        self.notes.retain(|(_, id), _| keep(*id));
        (self.ring, self.secret) = (ring, secret);
        let Statement { stance, suspicions, .. } = self.own.statement.clone();
        self.restate(stance, suspicions, 0);
    }

    fn leave(&mut self, restarts: bool) {
        let stance = if restarts { Stance::Restarting } else { Stance::Leaving };
        self.restate(stance, Vec::new(), 0);
        for to in self.some_present(2 * FAN_OUT) {
            self.tell(to, Message::News, true, false);
        }
    }
}
