//! How a node stands with the fleet, for operators.

use dunelink_gossip::{Gossip, MemberId};
use dunelink_reach::{Matrix, Stance};
use dunelink_view::{Evictions, Micros, Name, Standing};
use serde::Serialize;

use super::view::{epoch_of, side_name};

/// How a node stands with what the fleet decides, and who reaches whom.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetView {
    /// The node that says this.
    pub node: String,
    /// Its side of a cut: `majority`, `minority` or `alone`.
    pub side: &'static str,
    /// The newest view that it knows: founding and number, or `none`.
    pub epoch: String,
    /// For how many milliseconds it still holds its name; 0 if it does not.
    pub name_for_ms: u64,
    /// Whether it proposes what is decided.
    pub chair: bool,
    /// Whether it holds the right to say that it is not ready.
    pub aside: bool,
    /// What part of the fleet's limits it takes.
    pub part: f64,
    /// What it is, as against the fleet.
    pub stance: String,
    /// The electors that it hears.
    pub hears_electors: Vec<String>,
    /// Members and electors.
    pub nodes: Vec<NodeView>,
    /// Ways that are open in one direction only: nothing comes from the first to the second.
    pub one_way: Vec<(String, String)>,
    /// Nodes that were put out.
    pub out: Vec<EvictionView>,
}

/// A node, as its own row tells and as this one sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NodeView {
    /// Its name.
    pub name: String,
    /// Whether it is a member of the view.
    pub member: bool,
    /// Whether its process votes.
    pub elector: bool,
    /// What it is, as against the fleet.
    pub stance: String,
    /// Whether its row came lately; what follows is empty if not.
    pub heard: bool,
    /// Whether it says that it is ready.
    pub ready: bool,
    /// Its zone.
    pub zone: String,
    /// Whose rows come to it, of those listed here.
    pub hears: Vec<String>,
    /// By zone: servers that answer it, and those that are silent.
    pub servers: Vec<(String, u16, u16)>,
    /// For how many milliseconds it has not heard the list.
    pub list_ms: Option<u32>,
    /// Requests of the last ten seconds.
    pub served: u32,
    /// Those that failed.
    pub failed: u32,
    /// Of each second, the milliseconds in which it stood still.
    pub stalled: u16,
}

/// A node that was put out.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EvictionView {
    /// Its name.
    pub name: String,
    /// For how many seconds from the decision on.
    pub seconds: u64,
    /// Why.
    pub reason: String,
}

pub(super) fn status(
    now: Micros,
    node: &str,
    standing: &Standing,
    (matrix, stance): (&Matrix, &Stance),
    gossip: &Gossip,
) -> FleetView {
    let name = |name: Name| gossip.name(MemberId(name));
    let view = standing.view.as_ref();
    let mut names: Vec<Name> =
        view.iter().flat_map(|view| view.members.keys().chain(view.electors.keys())).copied().collect();
    names.sort_unstable();
    names.dedup();
    let one = |of: &Name| {
        let row = matrix.row(now, *of).cloned();
        let heard = row.is_some();
        let row = row.unwrap_or_default();
        NodeView {
            name: name(*of),
            member: view.is_some_and(|view| view.members.contains_key(of)),
            elector: view.is_some_and(|view| view.electors.contains_key(of)),
            stance: matrix.stance(now, *of).to_string(),
            heard,
            ready: row.ready,
            zone: row.zone,
            hears: row.hears.iter().map(|other| name(*other)).collect(),
            servers: row.zones.into_iter().map(|reach| (reach.zone, reach.answer, reach.silent)).collect(),
            list_ms: row.list_ms,
            served: row.served,
            failed: row.failed,
            stalled: row.stalled,
        }
    };
    let mut nodes: Vec<NodeView> = names.iter().map(one).collect();
    nodes.sort_by(|a, b| a.name.cmp(&b.name));
    let out = view.into_iter().flat_map(Evictions::all);
    FleetView {
        node: node.to_owned(),
        side: side_name(standing.side),
        epoch: epoch_of(view),
        name_for_ms: standing.name_for / 1000,
        chair: standing.chair,
        aside: standing.aside,
        part: standing.part,
        stance: stance.to_string(),
        hears_electors: standing.heard.iter().map(|elector| name(*elector)).collect(),
        nodes,
        one_way: matrix.one_way(now).into_iter().map(|(from, to)| (name(from), name(to))).collect(),
        out: out
            .map(|(of, seconds, reason)| EvictionView { name: name(of), seconds, reason: reason.to_owned() })
            .collect(),
    }
}
