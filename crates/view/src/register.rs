//! How a majority decides a view: a replicated register in the manner of CASPaxos. The proposer of a change
//! asks the electors for a promise, takes the view that was accepted last among their answers, and asks them
//! to accept its successor. Safety needs no leader; the proposer lease only avoids competing proposals.
//!
//! *Restart without stored state.* Votes are counted by process, not by name. A process that starts is no
//! elector until the others decide a view that names it as one. Promises made earlier under its name are
//! never counted again, so that no process votes twice because it lost its state. It also has to accept that
//! view itself, so that no process is counted as an elector before it knows the view. Where the electors of a
//! view differ from those of the view before, a majority of both has to accept the new view, and until the
//! new view is known to be decided, a majority of both has to promise.
//!
//! *Founding.* Only processes that know of no view and have run for longer than any lease lasts may found a
//! generation, as a majority of the elector names; all founders have to accept the first view. Once a
//! majority of the names belongs to other processes, an older generation has lost its majority forever: it is
//! superseded, and processes that knew it take the new one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::process::{ElectorNames, Electors, Instance, Name, Process};
use crate::view::{Change, Generation, View};

/// Orders proposals: by round, then by proposer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Grows with each attempt.
    pub round: u64,
    /// The process that makes the proposal.
    #[serde(rename = "by")]
    pub proposer: Process,
}

/// The view that an elector accepted last.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accepted {
    /// The ballot in which it was accepted.
    pub ballot: Ballot,
    /// The accepted view.
    pub view: View,
    /// Whether the elector knows that a majority accepted it.
    pub decided: bool,
}

/// The largest step from the highest round known to the round of a message.
const MAX_ROUND_JUMP: u64 = 1 << 32;

/// What processes send to each other to decide a view.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a promise to take part in no ballot below this one.
    Prepare(Ballot),
    /// The promise, with the view that the sender accepted last, if any.
    Promise(Ballot, Option<Accepted>),
    /// Asks to accept this view.
    Accept(Ballot, View),
    /// The sender accepted the view of this ballot.
    Accepts(Ballot),
    /// Rejects a ballot: the sender takes part in this higher one.
    Refuses(Ballot),
    /// This view was decided in this ballot.
    Decided(Ballot, View),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Preparing(BTreeMap<Process, Option<Accepted>>),
    Accepting { view: View, votes: BTreeSet<Process> },
}

/// The ballot that this process currently proposes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    ballot: Ballot,
    change: Option<Change>,
    phase: Phase,
}

/// One process's state for deciding views.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Register {
    me: Process,
    names: ElectorNames,
    /// Whether every lease that the previous process of this name may have granted has expired, so that this
    /// process may vote on founding a view.
    may_found: bool,
    promised: Ballot,
    accepted: Option<Accepted>,
    decided: Option<View>,
    /// The ballot in which `decided` was accepted or learned.
    ballot: Ballot,
    /// The process that currently runs under each elector name, as far as known.
    running: BTreeMap<Name, Instance>,
    proposal: Option<Proposal>,
}

impl Register {
    /// A process that starts without any state.
    pub fn new(me: Process, names: ElectorNames) -> Register {
        let promised = Ballot::default();
        Register {
            me,
            names,
            may_found: false,
            promised,
            accepted: None,
            decided: None,
            ballot: promised,
            running: BTreeMap::new(),
            proposal: None,
        }
    }

    /// Call this once the process has run for longer than any lease lasts: from then on it may found a view.
    pub fn allow_founding(&mut self) {
        self.may_found = true;
    }

    /// Records that this process runs under its name, in place of any earlier one.
    pub fn set_running(&mut self, process: Process) {
        if self.names.contains(process.name) {
            self.running.insert(process.name, process.instance);
        }
    }

    /// Whether the view's generation can decide nothing any more, by the processes known to run.
    pub fn has_lost_majority(&self, view: &View) -> bool {
        let running =
            self.running.iter().map(|(name, instance)| Process { name: *name, instance: *instance });
        let running: Vec<Process> = running.collect();
        self.names.is_majority_lost(&view.electors, &running)
    }

    /// Generation and epoch of the newest view that this process accepted or knows to be decided.
    pub fn newest_epoch(&self) -> Option<(Generation, u64)> {
        let accepted = self.accepted.as_ref().map(|accepted| (accepted.view.generation, accepted.view.epoch));
        let decided = self.decided.as_ref().map(|view| (view.generation, view.epoch));
        match (accepted, decided) {
            (Some(accepted), Some(decided)) if accepted.0 == decided.0 => {
                Some((accepted.0, accepted.1.max(decided.1)))
            }
            (accepted, decided) => decided.or(accepted),
        }
    }

    /// The newest view known to be decided.
    pub fn view(&self) -> Option<&View> {
        self.decided.as_ref()
    }

    /// The ballot in which [`Self::view`] was accepted or learned.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Whether a proposal of this process is in progress.
    pub fn is_proposing(&self) -> bool {
        self.proposal.is_some()
    }

    /// Starts a ballot for a change; without a change it only completes or learns what is already decided. A
    /// proposal in progress is abandoned.
    pub fn propose(&mut self, change: Option<Change>, out: &mut Vec<(u64, Message)>) {
        let ballot = Ballot { round: self.promised.round.saturating_add(1), proposer: self.me };
        // The whole ballot, not only its round: an earlier promise to a proposer with a higher number would
        // make this process reject its own ballot.
        self.promised = ballot;
        self.proposal = Some(Proposal { ballot, change, phase: Phase::Preparing(BTreeMap::new()) });
        self.to_all(&Message::Prepare(ballot), out);
    }

    fn to_all(&self, message: &Message, out: &mut Vec<(u64, Message)>) {
        out.extend(self.names.iter().map(|name| (name, message.clone())));
    }

    /// Handles a message; appends the messages to send with their receivers. Returns a view that has just
    /// become known as decided.
    pub fn handle(&mut self, from: Process, message: Message, out: &mut Vec<(u64, Message)>) -> Option<View> {
        let (Message::Prepare(ballot)
        | Message::Promise(ballot, _)
        | Message::Accept(ballot, _)
        | Message::Accepts(ballot)
        | Message::Refuses(ballot)
        | Message::Decided(ballot, _)) = &message;
        // Ballots grow by one: a message with a round near the maximum would block all later ballots.
        if ballot.round > self.promised.round.saturating_add(MAX_ROUND_JUMP) {
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
                let decided =
                    self.accepted.as_ref().is_some_and(|current| current.decided && current.view == view);
                self.accepted = Some(Accepted { ballot, view, decided });
                out.push((from.name, Message::Accepts(ballot)));
            }
            Message::Prepare(ballot) | Message::Accept(ballot, _) => {
                if ballot < self.promised {
                    out.push((from.name, Message::Refuses(self.promised)));
                }
            }
            Message::Promise(ballot, accepted) => self.handle_promise(from, ballot, accepted, out),
            Message::Accepts(ballot) => return self.handle_vote(from, ballot, out),
            Message::Refuses(ballot) => {
                self.promised.round = self.promised.round.max(ballot.round);
                if self.proposal.as_ref().is_some_and(|proposal| proposal.ballot < ballot) {
                    self.proposal = None;
                }
            }
            Message::Decided(ballot, view) => return self.record_decided(ballot, view),
        }
        None
    }

    /// Whether this process votes in a ballot: as an elector that has accepted a view, or as a possible
    /// founder.
    fn may_vote(&self, ballot: Ballot) -> bool {
        ballot >= self.promised
            && (self.accepted.is_some() || self.may_found)
            && self.names.contains(self.me.name)
    }

    fn handle_promise(
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
        // A process that has accepted nothing is no elector of any decided view, as all new electors of a
        // view accept it.
        let without_view: Vec<Process> =
            promises.iter().filter(|(_, accepted)| accepted.is_none()).map(|(process, _)| *process).collect();
        let can_still_decide = |current: &&Accepted| {
            let votes = |(name, instance): &(&Name, &Instance)| {
                !without_view.contains(&Process { name: **name, instance: **instance })
            };
            let electors =
                current.view.electors.iter().filter(votes).map(|(name, instance)| (*name, *instance));
            !self.names.is_majority_lost(&electors.collect(), promises.keys())
        };
        let newest =
            promises.values().flatten().filter(can_still_decide).max_by_key(|accepted| accepted.ballot);
        let Some(newest) = newest else {
            // No view is known whose generation can still decide: found a new one.
            let electors: Electors = promises.keys().map(|p| (p.name, p.instance)).collect();
            if self.names.has_majority(&electors, promises.keys()) {
                let view = View::founding(ballot, electors);
                self.start_accepting(view, out);
            }
            return;
        };
        let view = &newest.view;
        let decided = promises.values().flatten().any(|current| current.decided && current.view == *view);
        let promised_by_electors = self.names.has_majority(&view.electors, promises.keys());
        let promised_by_previous =
            decided || self.names.has_majority(&view.previous_electors, promises.keys());
        if !promised_by_electors || !promised_by_previous {
            return;
        }
        let is_elector = |change: &Change| matches!(change, Change::Admit(p) if self.names.contains(p.name));
        // A view that is not known to be decided is completed first, including acceptance by all its new
        // electors: a view that followed it would not ask them, and one of them that knows no view could
        // found another generation. Processes that are gone can do neither and are not waited for.
        let accepted_view = |p: &Process| {
            promises
                .get(p)
                .is_some_and(|accepted| accepted.as_ref().is_some_and(|current| current.view == *view))
        };
        let is_replaced = |p: &Process| promises.keys().any(|q| q.name == p.name && q.instance != p.instance);
        let is_complete = decided || view.newcomers().all(|p| accepted_view(&p) || is_replaced(&p));
        let change = proposal.change.as_ref().filter(|_| is_complete);
        let next = change.and_then(|change| view.apply(change, is_elector(change)));
        let view = next.unwrap_or_else(|| view.clone());
        self.start_accepting(view, out);
    }

    fn start_accepting(&mut self, view: View, out: &mut Vec<(u64, Message)>) {
        let Some(proposal) = &mut self.proposal else { return };
        proposal.phase = Phase::Accepting { view: view.clone(), votes: BTreeSet::new() };
        let message = Message::Accept(proposal.ballot, view);
        self.to_all(&message, out);
    }

    fn handle_vote(&mut self, from: Process, ballot: Ballot, out: &mut Vec<(u64, Message)>) -> Option<View> {
        let proposal = self.proposal.as_mut().filter(|proposal| proposal.ballot == ballot)?;
        let Phase::Accepting { view, votes } = &mut proposal.phase else { return None };
        votes.insert(from);
        let has_both_majorities = self.names.has_majority(&view.electors, &*votes)
            && self.names.has_majority(&view.previous_electors, &*votes);
        if !has_both_majorities || !view.newcomers().all(|process| votes.contains(&process)) {
            return None;
        }
        let view = view.clone();
        self.proposal = None;
        self.to_all(&Message::Decided(ballot, view.clone()), out);
        self.record_decided(ballot, view)
    }

    /// Records a decided view. An elector also takes it as accepted: a process that has just been admitted
    /// votes with it.
    fn record_decided(&mut self, ballot: Ballot, view: View) -> Option<View> {
        let is_elector = view.electors.get(&self.me.name) == Some(&self.me.instance);
        let newer = self.accepted.as_ref().is_none_or(|current| current.ballot < ballot);
        match &mut self.accepted {
            Some(current) if current.view == view => current.decided = true,
            _ if newer && is_elector && ballot >= self.promised => {
                self.accepted = Some(Accepted { ballot, view: view.clone(), decided: true });
            }
            _ => {}
        }
        let later = match &self.decided {
            None => true,
            Some(current) if current.generation == view.generation => current.epoch < view.epoch,
            Some(current) => self.has_lost_majority(current) && !self.has_lost_majority(&view),
        };
        if !later {
            return None;
        }
        self.decided = Some(view.clone());
        self.ballot = ballot;
        Some(view)
    }
}
