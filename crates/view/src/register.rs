//! How a majority decides a view. A register in the manner of CASPaxos: who wants a change asks electors for a promise,
//! takes the view that was accepted last among their answers, and has its successor accepted. No leader is needed for
//! safety; a chair spares duels.
//!
//! *Restarts from nothing.* Votes are counted by process, not by name. One that starts is no elector until a view that
//! the others have decided says so; what its name has promised before is never counted again, so that nobody votes
//! twice for having forgotten; and it has to accept that view itself, so that nobody is counted on who does not know
//! it. Where electors differ between a view and the one it follows from, a majority of both has
//! to accept it, and as long as it is not known to be decided, a majority of both has to promise.
//!
//! *Founding.* Only processes that know of no view and have run for longer than any lease lasts may found one, as a
//! majority of the names; all that found it have to accept it. A majority of names borne by other processes leaves an
//! older generation without one, for good: it is passed over then, and whoever held it takes the new one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::process::{ElectorNames, Electors, Instance, Name, Process};
use crate::view::{Change, Generation, View};

/// Orders proposals; of two of one round, by who made them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Goes up with each try.
    pub round: u64,
    /// Who tries.
    #[serde(rename = "by")]
    pub proposer: Process,
}

/// The view that an elector has accepted last.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accepted {
    /// In which ballot.
    pub ballot: Ballot,
    /// The view.
    pub view: View,
    /// Whether it knows that a majority has.
    pub decided: bool,
}

/// By how much a ballot's round may be above those that were met.
const LEAP: u64 = 1 << 32;

/// What processes say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks to take part in no ballot below this one.
    Prepare(Ballot),
    /// It does so, and has accepted this.
    Promise(Ballot, Option<Accepted>),
    /// Asks to accept this view.
    Accept(Ballot, View),
    /// It has.
    Accepts(Ballot),
    /// It takes part in a higher ballot, which this is.
    Refuses(Ballot),
    /// This view is decided.
    Decided(Ballot, View),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Preparing(BTreeMap<Process, Option<Accepted>>),
    Accepting { view: View, votes: BTreeSet<Process> },
}

/// A ballot of this process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    ballot: Ballot,
    change: Option<Change>,
    phase: Phase,
}

/// One process's part in deciding views.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Register {
    me: Process,
    names: ElectorNames,
    /// Whether this process has run for longer than any lease that its name may have granted before lasts.
    waited: bool,
    promised: Ballot,
    accepted: Option<Accepted>,
    decided: Option<View>,
    /// In which ballot that was.
    ballot: Ballot,
    /// Which process bears a name now, as far as is known.
    running: BTreeMap<Name, Instance>,
    proposal: Option<Proposal>,
}

impl Register {
    /// A process that starts and knows nothing.
    pub fn new(me: Process, names: ElectorNames) -> Register {
        let promised = Ballot::default();
        Register {
            me,
            names,
            waited: false,
            promised,
            accepted: None,
            decided: None,
            ballot: promised,
            running: BTreeMap::new(),
            proposal: None,
        }
    }

    /// This process has run for longer than any lease lasts: it may found a view.
    pub fn allow_founding(&mut self) {
        self.waited = true;
    }

    /// This process bears its name now: there was none of that name later.
    pub fn set_running(&mut self, process: Process) {
        if self.names.contains(process.name) {
            self.running.insert(process.name, process.instance);
        }
    }

    /// Whether a generation can decide nothing any more, by the processes that are known to run.
    pub fn has_lost_majority(&self, view: &View) -> bool {
        let running =
            self.running.iter().map(|(name, instance)| Process { name: *name, instance: *instance });
        let running: Vec<Process> = running.collect();
        self.names.is_majority_lost(&view.electors, &running)
    }

    /// The newest view that it has accepted, or knows: whose generation and epoch.
    pub fn newest_epoch(&self) -> Option<(Generation, u64)> {
        let accepted = self.accepted.as_ref().map(|accepted| (accepted.view.generation, accepted.view.epoch));
        let decided = self.decided.as_ref().map(|view| (view.generation, view.epoch));
        match (accepted, decided) {
            (Some(one), Some(other)) if one.0 == other.0 => Some((one.0, one.1.max(other.1))),
            (one, other) => other.or(one),
        }
    }

    /// The newest view that it knows to be decided.
    pub fn view(&self) -> Option<&View> {
        self.decided.as_ref()
    }

    /// The ballot in which it has accepted, or learned, the view that it holds.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Whether it has a ballot under way.
    pub fn is_proposing(&self) -> bool {
        self.proposal.is_some()
    }

    /// Begins a ballot for a change, or to finish or learn what is decided. One that is under way is given up.
    pub fn propose(&mut self, change: Option<Change>, out: &mut Vec<(u64, Message)>) {
        let ballot = Ballot { round: self.promised.round.saturating_add(1), proposer: self.me };
        // Whole: with the one whom it promised last in it, who may be above this one, it would refuse itself.
        self.promised = ballot;
        self.proposal = Some(Proposal { ballot, change, phase: Phase::Preparing(BTreeMap::new()) });
        self.to_all(&Message::Prepare(ballot), out);
    }

    fn to_all(&self, message: &Message, out: &mut Vec<(u64, Message)>) {
        out.extend(self.names.iter().map(|name| (name, message.clone())));
    }

    /// Takes in what a process says; appends what is to be said, and to whom. A view that is newly known to be decided
    /// is returned.
    pub fn handle(&mut self, from: Process, message: Message, out: &mut Vec<(u64, Message)>) -> Option<View> {
        let (Message::Prepare(ballot)
        | Message::Promise(ballot, _)
        | Message::Accept(ballot, _)
        | Message::Accepts(ballot)
        | Message::Refuses(ballot)
        | Message::Decided(ballot, _)) = &message;
        // Ballots go up by one: with a number near the end of all numbers a liar would stop all that follow.
        if ballot.round > self.promised.round.saturating_add(LEAP) {
            return None;
        }
        match message {
            Message::Prepare(ballot) if self.may_vote(ballot) => {
                self.promised = ballot;
                out.push((from.name, Message::Promise(ballot, self.accepted.clone())));
            }
            Message::Accept(ballot, view) if self.may_vote(ballot) => {
                self.promised = ballot;
                // What is known to be decided stays so under a higher ballot.
                let decided = self.accepted.as_ref().is_some_and(|known| known.decided && known.view == view);
                self.accepted = Some(Accepted { ballot, view, decided });
                out.push((from.name, Message::Accepts(ballot)));
            }
            Message::Prepare(ballot) | Message::Accept(ballot, _) => {
                if ballot < self.promised {
                    out.push((from.name, Message::Refuses(self.promised)));
                }
            }
            Message::Promise(ballot, accepted) => self.promise(from, ballot, accepted, out),
            Message::Accepts(ballot) => return self.vote(from, ballot, out),
            Message::Refuses(ballot) => {
                self.promised.round = self.promised.round.max(ballot.round);
                if self.proposal.as_ref().is_some_and(|proposal| proposal.ballot < ballot) {
                    self.proposal = None;
                }
            }
            Message::Decided(ballot, view) => return self.learn(ballot, view),
        }
        None
    }

    /// Whether this process takes part in a ballot: as an elector of the view that it has, or as one that may found.
    fn may_vote(&self, ballot: Ballot) -> bool {
        ballot >= self.promised
            && (self.accepted.is_some() || self.waited)
            && self.names.contains(self.me.name)
    }

    fn promise(
        &mut self,
        from: Process,
        ballot: Ballot,
        accepted: Option<Accepted>,
        out: &mut Vec<(u64, Message)>,
    ) {
        let Some(proposal) = self.proposal.as_mut().filter(|proposal| proposal.ballot == ballot) else {
            return;
        };
        let Phase::Preparing(promises) = &mut proposal.phase else { return };
        promises.insert(from, accepted);
        // Who has accepted nothing is no elector of anything decided: all who are new in a view accept it.
        let blank: Vec<Process> =
            promises.iter().filter(|(_, accepted)| accepted.is_none()).map(|(process, _)| *process).collect();
        let lives = |known: &&Accepted| {
            let votes = |(name, instance): &(&Name, &Instance)| {
                !blank.contains(&Process { name: **name, instance: **instance })
            };
            let electors =
                known.view.electors.iter().filter(votes).map(|(name, instance)| (*name, *instance));
            !self.names.is_majority_lost(&electors.collect(), promises.keys())
        };
        let newest = promises.values().flatten().filter(lives).max_by_key(|accepted| accepted.ballot);
        let Some(newest) = newest else {
            // Nobody knows a view that could still decide.
            let electors: Electors = promises.keys().map(|p| (p.name, p.instance)).collect();
            if self.names.has_majority(&electors, promises.keys()) {
                let view = View::found(ballot, electors);
                self.accepting(view, out);
            }
            return;
        };
        let view = &newest.view;
        let decided = promises.values().flatten().any(|known| known.decided && known.view == *view);
        let by_own = self.names.has_majority(&view.electors, promises.keys());
        let by_before = decided || self.names.has_majority(&view.previous_electors, promises.keys());
        if !by_own || !by_before {
            return;
        }
        let is_elector = |change: &Change| matches!(change, Change::Admit(p) if self.names.contains(p.name));
        // What is not known to be decided is brought to its end first, with all who are new in it: a view that followed it
        // would not ask them, and one that knows of nothing could found beside it. Those that are gone can do neither.
        let knows_it = |p: &Process| {
            promises.get(p).is_some_and(|accepted| accepted.as_ref().is_some_and(|known| known.view == *view))
        };
        let is_gone = |p: &Process| promises.keys().any(|q| q.name == p.name && q.instance != p.instance);
        let ends = decided || view.newcomers().all(|p| knows_it(&p) || is_gone(&p));
        let change = proposal.change.as_ref().filter(|_| ends);
        let next = change.and_then(|change| view.apply(change, is_elector(change)));
        let view = next.unwrap_or_else(|| view.clone());
        self.accepting(view, out);
    }

    fn accepting(&mut self, view: View, out: &mut Vec<(u64, Message)>) {
        let Some(proposal) = &mut self.proposal else { return };
        proposal.phase = Phase::Accepting { view: view.clone(), votes: BTreeSet::new() };
        let message = Message::Accept(proposal.ballot, view);
        self.to_all(&message, out);
    }

    fn vote(&mut self, from: Process, ballot: Ballot, out: &mut Vec<(u64, Message)>) -> Option<View> {
        let proposal = self.proposal.as_mut().filter(|proposal| proposal.ballot == ballot)?;
        let Phase::Accepting { view, votes } = &mut proposal.phase else { return None };
        votes.insert(from);
        let by_all = self.names.has_majority(&view.electors, &*votes)
            && self.names.has_majority(&view.previous_electors, &*votes);
        if !by_all || !view.newcomers().all(|process| votes.contains(&process)) {
            return None;
        }
        let view = view.clone();
        self.proposal = None;
        self.to_all(&Message::Decided(ballot, view.clone()), out);
        self.learn(ballot, view)
    }

    /// A view is decided. An elector takes it as accepted: who is admitted begins to vote with it.
    fn learn(&mut self, ballot: Ballot, view: View) -> Option<View> {
        let is_elector = view.electors.get(&self.me.name) == Some(&self.me.instance);
        let newer = self.accepted.as_ref().is_none_or(|known| known.ballot < ballot);
        match &mut self.accepted {
            Some(known) if known.view == view => known.decided = true,
            _ if newer && is_elector && ballot >= self.promised => {
                self.accepted = Some(Accepted { ballot, view: view.clone(), decided: true });
            }
            _ => {}
        }
        let later = match &self.decided {
            None => true,
            Some(known) if known.generation == view.generation => known.epoch < view.epoch,
            Some(known) => self.has_lost_majority(known) && !self.has_lost_majority(&view),
        };
        if !later {
            return None;
        }
        self.decided = Some(view.clone());
        self.ballot = ballot;
        Some(view)
    }
}
