//! One node's part in what the fleet decides: who is asked when, and what is made of the answers. It plugs the register,
//! the leases and the sides together, on one rhythm.

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

/// The resource that lets an elector propose: it spares duels, nothing rests on it.
const CHAIR: Resource = 0;
/// The resource that lets a node say that it is not ready: one at a time does.
const ASIDE: Resource = 1;
/// Beats in a lease.
const BEATS: u64 = 4;
/// Changes that wait for the chair at most.
const WANTED_MOST: usize = 64;

/// What nodes say to each other of all this.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Of views.
    Register(Message),
    /// Of leases, and which view its author knows: who holds its name by an older one may have to take less.
    #[serde(rename = "Ask")]
    LeaseRequest(LeaseRequest, Ballot, u64),
    /// The answer.
    #[serde(rename = "Answer")]
    LeaseResponse(LeaseResponse),
    /// Which view its author knows, as a sign of life; who knows a newer one tells it.
    Hello(Ballot, u64),
    /// The same, as an answer.
    #[serde(rename = "Here")]
    HelloReply(Ballot, u64),
    /// Something that its author wants decided.
    #[serde(rename = "Want")]
    Propose(Change),
}

/// What a node is told once.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its process.
    pub me: Process,
    /// The electors' names, the same at all nodes.
    pub elector_names: ElectorNames,
    /// Leases and clocks.
    pub lease_bounds: LeaseBounds,
    /// How many nodes there are meant to be.
    pub configured_nodes: usize,
    /// For random waits.
    pub seed: u64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A process said something, and it was that process.
    Received(Process, FleetMessage),
    /// The other processes that are there, as far as this node knows by itself.
    AliveProcesses(Vec<Process>),
    /// An operator wants something decided; [`Coordinator::may`] says before whether it can be.
    Propose(Change),
    /// This node wants to step aside, or does not any more.
    WantUnready(bool),
}

/// What a node may hold alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseKind {
    /// Its name, and with it its part of what the fleet may.
    NodeName,
    /// The right to propose views.
    Proposer,
    /// The right to say that it is not ready.
    Unready,
}

/// What is to be done, or was found.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Say this to whoever bears a name.
    Send(Name, FleetMessage),
    /// A view is decided.
    Decided(View),
    /// This node is on another side of a cut than before.
    PartitionSide(PartitionSide),
    /// This node holds something from now on, or has not held it for some time: it may have stood still since.
    Lease(LeaseKind, bool, Micros),
    /// What was wanted can't be decided: it would change nothing, or there is no room for it.
    Rejected(Change),
    /// What part of the fleet's limits this node takes from now on.
    LimitShare(f64),
}

/// How a node stands with the rest of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// The newest view that it knows.
    pub view: Option<View>,
    /// Its side.
    pub side: PartitionSide,
    /// For how long it still holds its name; 0 if it does not.
    pub name_lease_left: Micros,
    /// Whether it proposes.
    pub holds_proposer_lease: bool,
    /// Whether it is the one that may say that it is not ready.
    pub holds_unready_lease: bool,
    /// The electors that it has heard lately, itself among them if it is one.
    pub reachable_electors: Vec<Name>,
    /// What part of the fleet's limits it takes.
    pub limit_share: f64,
}

/// One node's part.
pub struct Coordinator {
    settings: Settings,
    register: Register,
    grantor: Option<Grantor>,
    name: LeaseHolder,
    chair: LeaseHolder,
    aside: LeaseHolder,
    wants_aside: bool,
    evictions: Evictions,
    sides: Reachability,
    parts: LimitShare,
    there: BTreeMap<Process, Micros>,
    wanted: Vec<Change>,
    began: Micros,
    beat_at: Micros,
    /// Until when a ballot that is under way is left alone, and the chair is left to another.
    patient: Micros,
    shy: Micros,
    shy_aside: Micros,
    side: PartitionSide,
    /// Whether it held its name, the chair and the right to step aside when it last looked.
    holds: [bool; 3],
    part: f64,
    /// Since when this process is a member that holds its name; 0 where it need not wait.
    member_since: Option<Micros>,
    dice: u64,
}

/// The resource that a name is.
fn resource(name: Name) -> Resource {
    name | 1 << 63
}

impl Coordinator {
    /// A process that starts now.
    pub fn new(settings: Settings, now: Micros) -> Coordinator {
        let Settings { me, elector_names: names, lease_bounds: bounds, configured_nodes: nodes, seed } =
            settings.clone();
        let silence = bounds.lease;
        Coordinator {
            register: Register::new(me, names.clone()),
            grantor: names.contains(me.name).then(|| Grantor::new(bounds, now)),
            name: LeaseHolder::new(bounds, names.clone(), resource(me.name)),
            chair: LeaseHolder::new(bounds, names.clone(), CHAIR),
            aside: LeaseHolder::new(bounds, names.clone(), ASIDE),
            wants_aside: false,
            evictions: Evictions::default(),
            sides: Reachability::new(me.name, names, silence),
            parts: LimitShare::new(nodes),
            there: BTreeMap::new(),
            wanted: Vec::new(),
            began: now,
            beat_at: now,
            patient: 0,
            shy: 0,
            shy_aside: 0,
            side: PartitionSide::Alone,
            holds: [false; 3],
            part: 0.0,
            member_since: None,
            dice: seed | 1,
            settings,
        }
    }

    fn beat(&self) -> Micros {
        self.settings.lease_bounds.lease / BEATS
    }

    /// A number below `most` (xorshift, Marsaglia, 2003).
    fn random(&mut self, most: u64) -> u64 {
        self.dice ^= self.dice << 13;
        self.dice ^= self.dice >> 7;
        self.dice ^= self.dice << 17;
        self.dice % most.max(1)
    }

    /// When it wants to be looked at next.
    pub fn next_wakeup(&self, now: Micros) -> Micros {
        let over =
            self.held().map(|(_, holder)| holder.expires_at()).into_iter().filter(|until| *until > now);
        over.fold(self.beat_at, Micros::min)
    }

    /// Takes in what happened, and appends what is to be done. What this node no longer holds comes first.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.look(now, out);
        match input {
            Input::Tick => {}
            Input::Received(from, wire) => self.hear(now, from, wire, out),
            Input::AliveProcesses(others) => {
                others
                    .iter()
                    .chain([&self.settings.me])
                    .for_each(|process| self.register.set_running(*process));
                let seen = |process: Process| (process, now);
                self.there.extend(others.into_iter().map(seen));
                let kept = self.settings.lease_bounds.grantor_duration();
                self.there.retain(|_, at| now.saturating_sub(*at) <= 2 * kept);
            }
            Input::Propose(change) => self.want(change, out),
            Input::WantUnready(wanted) => self.step_aside(now, wanted, out),
        }
        if now >= self.beat_at {
            self.beat_at = now + self.beat() + self.random(self.beat() / 4);
            self.work(now, out);
        }
        self.look(now, out);
    }

    /// The newest view that it knows.
    pub fn view(&self) -> Option<&View> {
        self.register.view()
    }

    /// How it stands.
    pub fn status(&self, now: Micros) -> NodeStatus {
        NodeStatus {
            view: self.register.view().cloned(),
            side: self.sides.side(now),
            name_lease_left: self.name.expires_at().saturating_sub(now),
            holds_proposer_lease: self.chair.is_held(now),
            holds_unready_lease: self.aside.is_held(now),
            reachable_electors: self.sides.reachable_electors(now).collect(),
            limit_share: self.part,
        }
    }

    fn held(&self) -> [(LeaseKind, &LeaseHolder); 3] {
        [
            (LeaseKind::NodeName, &self.name),
            (LeaseKind::Proposer, &self.chair),
            (LeaseKind::Unready, &self.aside),
        ]
    }

    /// Whether something can be decided, as far as this node knows.
    ///
    /// # Errors
    ///
    /// Why not.
    pub fn validate(&self, change: &Change) -> Result<(), Refusal> {
        let view = self.register.view().ok_or(Refusal::NoView)?;
        if !self.settings.elector_names.contains(self.settings.me.name) && Evictions::is_eviction(change) {
            return Err(Refusal::NotElector);
        }
        Evictions::may(change, view, &self.settings.elector_names, self.settings.configured_nodes)
    }

    /// Takes the right to step aside while it is wanted, and gives it back at once.
    fn step_aside(&mut self, now: Micros, wanted: bool, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.wants_aside, wanted) && !wanted {
            let ask = self.aside.release(now);
            self.ask_electors(ask, out);
        }
    }

    /// Finds what has changed with time alone.
    fn look(&mut self, now: Micros, out: &mut Vec<Output>) {
        let held = self.held().map(|(what, holder)| (what, holder.is_held(now), holder.expires_at()));
        let name = held[0].1;
        for (before, (what, holds, until)) in self.holds.iter_mut().zip(held) {
            if std::mem::replace(before, holds) != holds {
                // What was given back ends now.
                let ago = if holds || until == 0 { 0 } else { now.saturating_sub(until) };
                out.push(Output::Lease(what, holds, ago));
            }
        }
        let side = self.sides.side(now);
        if std::mem::replace(&mut self.side, side) != side {
            out.push(Output::PartitionSide(side));
        }
        let members = self.members_with(now, name);
        let part = self.parts.update(now, members, self.settings.configured_nodes);
        if std::mem::replace(&mut self.part, part) != part {
            out.push(Output::LimitShare(part));
        }
    }

    /// How many members share the work, if this process is one that may take a whole part: a member that holds its name,
    /// and has for as long as others may still hold theirs by a view without it. Who founded the first view waits for
    /// nobody: nobody was a member before.
    fn members_with(&mut self, now: Micros, name: bool) -> Option<usize> {
        let me = self.settings.me;
        let view = self.register.view().filter(|view| name && !self.register.has_lost_majority(view));
        let view = view.filter(|view| view.members.get(&me.name) == Some(&me.instance));
        let Some((members, first)) = view.map(|view| (view.members.len(), view.epoch == 1)) else {
            self.member_since = None;
            return None;
        };
        let kept = self.settings.lease_bounds.grantor_duration();
        let since = *self.member_since.get_or_insert(if first { 0 } else { now });
        (since == 0 || now.saturating_sub(since) >= kept).then_some(members)
    }

    fn known(&self) -> (Ballot, u64) {
        self.register.view().map_or_else(Default::default, |view| (view.generation, view.epoch))
    }

    fn to_electors(&self, wire: &FleetMessage, out: &mut Vec<Output>) {
        out.extend(self.settings.elector_names.iter().map(|name| Output::Send(name, wire.clone())));
    }

    fn ask_electors(&self, ask: LeaseRequest, out: &mut Vec<Output>) {
        let (generation, epoch) = self.known();
        self.to_electors(&FleetMessage::LeaseRequest(ask, generation, epoch), out);
    }

    fn say(messages: Vec<(Name, Message)>, out: &mut Vec<Output>) {
        out.extend(
            messages.into_iter().map(|(to, message)| Output::Send(to, FleetMessage::Register(message))),
        );
    }

    fn hear(&mut self, now: Micros, from: Process, wire: FleetMessage, out: &mut Vec<Output>) {
        let answers = matches!(
            wire,
            FleetMessage::LeaseResponse(_) | FleetMessage::HelloReply(..) | FleetMessage::Register(_)
        );
        // Only an answer shows that the way is open in both directions.
        if answers {
            self.sides.record_contact(now, from.name);
        }
        match wire {
            // Views are the electors' alone, and who is a member is not for others to say.
            FleetMessage::Register(_) if !self.settings.elector_names.contains(from.name) => {}
            FleetMessage::Propose(Change::Admit(_) | Change::Remove(_) | Change::Move(..)) => {}
            // Nor who is out: that is for the operators at electors.
            FleetMessage::Propose(change)
                if Evictions::is_eviction(&change) && !self.settings.elector_names.contains(from.name) => {}
            FleetMessage::Register(message) => {
                let mut say = Vec::new();
                let decided = self.register.handle(from, message, &mut say);
                Coordinator::say(say, out);
                if let Some(view) = decided {
                    // All others hear it from who is asked, or ask for it.
                    self.wanted.retain(|change| !is_done(change, &view));
                    self.patient = now;
                    self.evictions.see(now, &view);
                    out.push(Output::Decided(view));
                    // Many come back at once when a cut heals: what is left to decide waits for no beat.
                    if self.chair.is_held(now) && self.grantor.is_some() {
                        self.propose(now, out);
                    }
                }
            }
            FleetMessage::LeaseRequest(ask, generation, epoch) => {
                let old = self.is_old(from, &ask, generation, epoch);
                if let Some(grantor) = &mut self.grantor {
                    let refusal =
                        LeaseResponse { resource: ask.resource, number: ask.number, granted: false };
                    let answer = if old { refusal } else { grantor.handle(now, from, ask) };
                    out.push(Output::Send(from.name, FleetMessage::LeaseResponse(answer)));
                }
            }
            FleetMessage::LeaseResponse(answer) => {
                self.name.handle(from, answer);
                self.chair.handle(from, answer);
                self.aside.handle(from, answer);
                if !answer.granted {
                    self.give_back(now, answer.resource, out);
                }
            }
            FleetMessage::Hello(generation, epoch) => {
                let (known, at) = self.known();
                out.push(Output::Send(from.name, FleetMessage::HelloReply(known, at)));
                let Some(view) = self.register.view() else { return };
                let older =
                    if generation == known { epoch < at } else { !self.register.has_lost_majority(view) };
                if older {
                    let told = Message::Decided(self.register.ballot(), view.clone());
                    out.push(Output::Send(from.name, FleetMessage::Register(told)));
                }
            }
            FleetMessage::HelloReply(..) => {}
            FleetMessage::Propose(change) => self.want(change, out),
        }
    }

    /// Another has what this node asked for, or asks for it too: what some electors have granted is given back. Kept by
    /// several, nobody would have a majority for a lease.
    fn give_back(&mut self, now: Micros, resource: Resource, out: &mut Vec<Output>) {
        let shy = now + self.beat() / 4 + self.random(2 * self.beat());
        let (holder, until) = match resource {
            CHAIR => (&mut self.chair, &mut self.shy),
            ASIDE if self.wants_aside => (&mut self.aside, &mut self.shy_aside),
            _ => return,
        };
        // What was given back is refused, too.
        if now < *until || holder.is_held(now) {
            return;
        }
        *until = shy;
        let ask = holder.release(now);
        self.ask_electors(ask, out);
    }

    /// Whether a process wants to hold its name on by a view before the newest: others may have come in since, and it
    /// would take more than its part is now. It is told the newest, and asks again.
    fn is_old(&self, from: Process, ask: &LeaseRequest, generation: Ballot, epoch: u64) -> bool {
        let Some((newest, at)) = self.register.newest_epoch() else { return false };
        let knows_none = epoch == 0;
        let of_name = ask.resource == resource(from.name) && !ask.release;
        of_name && !knows_none && (generation != newest || epoch < at)
    }

    /// Kept until it is decided; the chair proposes it.
    fn want(&mut self, change: Change, out: &mut Vec<Output>) {
        if self.wanted.len() >= WANTED_MOST || self.wanted.contains(&change) {
            return;
        }
        self.wanted.push(change.clone());
        self.to_electors(&FleetMessage::Propose(change), out);
    }

    fn work(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (generation, epoch) = self.known();
        self.to_electors(&FleetMessage::Hello(generation, epoch), out);
        let ask = self.name.request(now);
        self.ask_electors(ask, out);
        if self.wants_aside && now >= self.shy_aside {
            let ask = self.aside.request(now);
            self.ask_electors(ask, out);
        }
        let Some(grantor) = &self.grantor else { return };
        if grantor.is_granting(now) {
            self.register.allow_founding();
        }
        if now >= self.shy {
            let ask = self.chair.request(now);
            self.ask_electors(ask, out);
        }
        if self.chair.is_held(now) && now >= self.patient {
            self.propose(now, out);
        }
    }

    /// What the chair has to have decided: first that all which are there are members, then what others want.
    fn propose(&mut self, now: Micros, out: &mut Vec<Output>) {
        // What can decide nothing any more is passed over, and founded anew.
        let change = match self.register.view().filter(|view| !self.register.has_lost_majority(view)) {
            None => None,
            Some(view) => {
                let (view, names) = (view.clone(), &self.settings.elector_names);
                let is_elector =
                    |change: &Change| matches!(change, Change::Admit(p) if names.contains(p.name));
                // What can't be decided must not be in the way of what can.
                let useless = |change: &mut Change| {
                    view.apply(change, is_elector(change)).is_none()
                        || Evictions::may(change, &view, names, self.settings.configured_nodes).is_err()
                };
                out.extend(self.wanted.extract_if(.., useless).map(Output::Rejected));
                let wanted = || self.evictions.over(now, &view).or_else(|| self.wanted.first().cloned());
                match self.membership(now, &view).or_else(wanted) {
                    Some(change) => Some(change),
                    None => return,
                }
            }
        };
        self.patient = now + 2 * self.beat();
        let mut say = Vec::new();
        self.register.propose(change, &mut say);
        Coordinator::say(say, out);
    }

    /// Who is there comes in, who is gone or out goes; all at once that changes nothing of who votes, else one.
    fn membership(&self, now: Micros, view: &View) -> Option<Change> {
        let (bounds, members) = (self.settings.lease_bounds, &view.members);
        let me = self.settings.me;
        let lately = |at: &Micros| now.saturating_sub(*at) <= self.beat();
        let there = self.there.iter().filter(|(_, at)| lately(at)).map(|(process, _)| *process);
        // One of its name before it may hold that still: it is let in once that is over, or this one says so.
        let over = |new: &Process| {
            let old = members.get(&new.name).map(|instance| Process { name: new.name, instance: *instance });
            old.is_none_or(|old| self.gone(now, old) >= bounds.lease)
        };
        let new = |p: &Process| {
            members.get(&p.name) != Some(&p.instance) && !Evictions::is_evicted(view, p.name) && over(p)
        };
        let votes = |p: &Process| {
            self.settings.elector_names.contains(p.name) && view.electors.get(&p.name) != Some(&p.instance)
        };
        let (voters, come): (Vec<Process>, Vec<Process>) = there.chain([me]).filter(new).partition(votes);
        // Its lease is over on everyone's clock.
        let gone = |process: &Process| {
            Evictions::is_evicted(view, process.name)
                || *process != me
                    && self.gone(now, *process) > bounds.grantor_duration()
                    && !come.iter().any(|new| new.name == process.name)
        };
        let here = members.iter().map(|(name, instance)| Process { name: *name, instance: *instance });
        let go: Vec<Process> = here.filter(gone).collect();
        if come.is_empty() && go.is_empty() {
            return voters.first().copied().map(Change::Admit);
        }
        Some(Change::Move(come, go))
    }

    /// For how long a process was not there, as far as this one can know. Who still has its name from this elector is.
    fn gone(&self, now: Micros, process: Process) -> Micros {
        let held = self.grantor.as_ref().and_then(|grantor| grantor.holder(now, resource(process.name)));
        match held == Some(process) {
            true => 0,
            false => now.saturating_sub(self.there.get(&process).copied().unwrap_or(self.began)),
        }
    }
}

fn is_done(change: &Change, view: &View) -> bool {
    match change {
        Change::Admit(p) => view.members.get(&p.name) == Some(&p.instance),
        Change::Remove(p) => view.members.get(&p.name) != Some(&p.instance),
        Change::Set(key, value) => view.facts.get(key) == Some(value),
        Change::Clear(key) => !view.facts.contains_key(key),
        Change::Move(come, go) => {
            let has = |p: &Process| view.members.get(&p.name) == Some(&p.instance);
            come.iter().all(has) && !go.iter().any(has)
        }
    }
}
