//! Events of the fleet, one for each change of view, side, lease and stance, with its epoch and cause: the logs of all
//! processes can be merged and read as one story.

use dunelink_gossip::{Gossip, MemberId, Note};
use dunelink_reach::Stance;
use dunelink_view::{Change, Evictions, Held, Micros, Name, Side, Step, View};
use tracing::{info, warn};

use super::view::{epoch_of, side_name};

/// Who tells: this node's name, and the names of others.
pub(super) struct Teller<'a> {
    pub(super) node: &'a str,
    pub(super) gossip: &'a Gossip,
}

impl Teller<'_> {
    fn name(&self, name: Name) -> String {
        self.gossip.name(MemberId(name))
    }

    fn names(&self, names: impl Iterator<Item = Name>) -> String {
        names.map(|name| self.name(name)).collect::<Vec<_>>().join(",")
    }

    fn step(&self, step: &Step, view: &View) -> String {
        // Facts bear the number of the name that they are about.
        let about = |key: &str| {
            let name = key.split(' ').nth(1).and_then(|hex| Name::from_str_radix(hex, 16).ok());
            name.map(|name| self.name(name)).unwrap_or_default()
        };
        match step {
            Step::Found => "it is the first that is known here, or of a new founding".into(),
            Step::Came(process) => format!("{} came in", self.name(process.name)),
            Step::Went(process) => format!("{} went out", self.name(process.name)),
            Step::Set(key) => match Evictions::all(view).find(|(name, ..)| self.name(*name) == about(key)) {
                Some((name, seconds, reason)) => {
                    format!("{} is put out for {seconds} s: {reason}", self.name(name))
                }
                None => format!("{key} is set"),
            },
            Step::Cleared(key) => format!("{} may come back in", about(key)),
        }
    }

    pub(super) fn decided(&self, view: &View, before: Option<&View>) {
        let epoch = epoch_of(Some(view));
        let cause: Vec<String> = view.since(before).iter().map(|step| self.step(step, view)).collect();
        let (members, electors) =
            (self.names(view.members.keys().copied()), self.names(view.electors.keys().copied()));
        info!(target: "fleet", node = self.node, epoch, members, electors, cause = cause.join("; "), "view decided");
    }

    pub(super) fn side(&self, side: Side, unheard: &[Name], epoch: &str) {
        let cause = match unheard {
            [] => "all electors are heard".into(),
            some => format!("not heard: {}", self.names(some.iter().copied())),
        };
        info!(target: "fleet", node = self.node, epoch, side = side_name(side), cause, "side");
    }

    pub(super) fn lease(&self, what: Held, held: bool, ago: Micros, epoch: &str) {
        let of = match what {
            Held::Name => format!("name {}", self.node),
            Held::Chair => "chair".into(),
            Held::Aside => "aside".into(),
        };
        let cause = match (held, ago) {
            (true, _) => "granted by a majority",
            (false, 0) => "given back, or over at this moment",
            (false, _) => "over while nobody looked",
        };
        info!(target: "fleet", node = self.node, epoch, of, held, ago_ms = ago / 1000, cause, "lease");
    }

    pub(super) fn dropped(&self, change: &Change) {
        warn!(target: "fleet", node = self.node, change = ?change, "what was wanted can't be decided");
    }

    pub(super) fn part(&self, part: f64, epoch: &str) {
        info!(target: "fleet", node = self.node, epoch, part = format!("{part:.3}"), "part");
    }

    pub(super) fn stance(&self, stance: &Stance, before: &Stance, epoch: &str) {
        let (stance, before) = (stance.to_string(), before.to_string());
        info!(target: "fleet", node = self.node, epoch, stance, before, "stance");
    }

    pub(super) fn ready(&self, ready: bool, stance: &Stance, epoch: &str) {
        info!(target: "fleet", node = self.node, epoch, ready, cause = stance.to_string(), "ready");
    }

    pub(super) fn note(&self, note: &Note) {
        let node = self.node;
        match note {
            Note::Up(member) => info!(target: "gossip", node, member, "it is there"),
            Note::Down(member) => info!(target: "gossip", node, member, "it does not answer any more"),
            Note::NameShared => warn!(target: "gossip", node, "another process goes by this name"),
            Note::NoSense(member) => {
                warn!(target: "gossip", node, member, "it tells ages that can't be; its word on servers is not heard");
            }
            Note::StoodStill(span) => {
                warn!(target: "gossip", node, ms = span / 1000, "this process stood still");
            }
        }
    }
}
