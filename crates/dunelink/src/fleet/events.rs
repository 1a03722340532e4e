//! Log events of the fleet, one for each change of view, side, lease and condition, each with its epoch and
//! cause. The logs of all processes can be merged into one sequence.

use dunelink_gossip::{Gossip, LogEvent, MemberId};
use dunelink_reach::Condition;
use dunelink_view::{Change, Evictions, LeaseKind, Micros, Name, PartitionSide, View, ViewDelta};
use tracing::{info, warn};

use super::view::{format_epoch, side_name};

/// Writes the events: knows this node's name and resolves the names of others.
pub(super) struct EventLog<'a> {
    pub(super) node: &'a str,
    pub(super) gossip: &'a Gossip,
}

impl EventLog<'_> {
    fn name(&self, name: Name) -> String {
        self.gossip.name(MemberId(name))
    }

    fn names(&self, names: impl Iterator<Item = Name>) -> String {
        names.map(|name| self.name(name)).collect::<Vec<_>>().join(",")
    }

    fn step(&self, step: &ViewDelta, view: &View) -> String {
        // The key of a fact contains the numeric id of the node that it concerns.
        let subject = |key: &str| {
            let name = key.split(' ').nth(1).and_then(|hex| Name::from_str_radix(hex, 16).ok());
            name.map(|name| self.name(name)).unwrap_or_default()
        };
        match step {
            ViewDelta::Founded => "the first view known to this node, or a new founding".into(),
            ViewDelta::Joined(process) => format!("{} came in", self.name(process.name)),
            ViewDelta::Left(process) => format!("{} went out", self.name(process.name)),
            ViewDelta::Set(key) => {
                match Evictions::evicted(view).find(|(name, ..)| self.name(*name) == subject(key)) {
                    Some((name, seconds, reason)) => {
                        format!("{} is evicted for {seconds} s: {reason}", self.name(name))
                    }
                    None => format!("{key} is set"),
                }
            }
            ViewDelta::Cleared(key) => format!("{} is restored", subject(key)),
        }
    }

    pub(super) fn decided(&self, view: &View, before: Option<&View>) {
        let epoch = format_epoch(Some(view));
        let cause: Vec<String> =
            view.changes_since(before).iter().map(|step| self.step(step, view)).collect();
        let (members, electors) =
            (self.names(view.members.keys().copied()), self.names(view.electors.keys().copied()));
        info!(
            target: "fleet", node = self.node, epoch, members, electors, cause = cause.join("; "),
            "view decided"
        );
    }

    pub(super) fn side(&self, side: PartitionSide, unreachable: &[Name], epoch: &str) {
        let cause = match unreachable {
            [] => "all electors are heard".into(),
            names => format!("not heard: {}", self.names(names.iter().copied())),
        };
        info!(target: "fleet", node = self.node, epoch, side = side_name(side), cause, "side");
    }

    pub(super) fn lease(&self, what: LeaseKind, held: bool, ago: Micros, epoch: &str) {
        let of = match what {
            LeaseKind::NodeName => format!("name {}", self.node),
            LeaseKind::Proposer => "chair".into(),
            LeaseKind::Unready => "aside".into(),
        };
        let cause = match (held, ago) {
            (true, _) => "granted by a majority",
            (false, 0) => "released, or expired just now",
            (false, _) => "expired while this process did not check",
        };
        info!(target: "fleet", node = self.node, epoch, of, held, ago_ms = ago / 1000, cause, "lease");
    }

    pub(super) fn rejected(&self, change: &Change) {
        warn!(target: "fleet", node = self.node, change = ?change, "a requested change can't be decided");
    }

    pub(super) fn share(&self, share: f64, epoch: &str) {
        info!(target: "fleet", node = self.node, epoch, part = format!("{share:.3}"), "part");
    }

    pub(super) fn condition(&self, condition: &Condition, before: &Condition, epoch: &str) {
        let (stance, before) = (condition.to_string(), before.to_string());
        info!(target: "fleet", node = self.node, epoch, stance, before, "stance");
    }

    pub(super) fn ready(&self, ready: bool, condition: &Condition, epoch: &str) {
        info!(target: "fleet", node = self.node, epoch, ready, cause = condition.to_string(), "ready");
    }

    pub(super) fn event(&self, event: &LogEvent) {
        let node = self.node;
        match event {
            LogEvent::MemberUp(member) => info!(target: "gossip", node, member, "member is up"),
            LogEvent::MemberDown(member) => {
                info!(target: "gossip", node, member, "member is down")
            }
            LogEvent::DuplicateName => warn!(target: "gossip", node, "another process goes by this name"),
            LogEvent::InvalidAges(member) => {
                warn!(target: "gossip", node, member, "impossible ages: its server reports are ignored");
            }
            LogEvent::ProcessPaused(span) => {
                warn!(target: "gossip", node, ms = span / 1000, "this process was paused");
            }
        }
    }
}
