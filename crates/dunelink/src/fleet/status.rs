//! Status of a node within the fleet, for operators.

use dunelink_gossip::{Gossip, MemberId};
use dunelink_reach::{Condition, ReachMatrix};
use dunelink_view::{Evictions, Micros, Name, NodeStatus};
use serde::Serialize;

use super::view::{format_epoch, side_name};

/// The consensus state of a node, and its view of which nodes and servers reach each other.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetView {
    /// Name of the node that reports this.
    pub node: String,
    /// Its side of a network partition: `majority`, `minority` or `alone`.
    pub side: &'static str,
    /// The newest view that it knows: its founding and number, or `none`.
    pub epoch: String,
    /// Milliseconds left of the lease on its name; 0 if it does not hold it.
    pub name_for_ms: u64,
    /// Whether it holds the proposer's lease and proposes the decisions.
    pub chair: bool,
    /// Whether it holds the exclusive right to report that it is not ready.
    pub aside: bool,
    /// Fraction of the fleet's limits that it uses.
    pub part: f64,
    /// Its health compared with the rest of the fleet.
    pub stance: String,
    /// Names of the electors that it can reach.
    pub hears_electors: Vec<String>,
    /// Members of the view and electors.
    pub nodes: Vec<NodeView>,
    /// Pairs of nodes that communicate in one direction only: nothing arrives from the first at the second.
    pub one_way: Vec<(String, String)>,
    /// Nodes that are evicted.
    pub out: Vec<EvictionView>,
}

/// A node, as it reports itself and as the reporting node sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NodeView {
    /// Name of the node.
    pub name: String,
    /// Whether it is a member of the view.
    pub member: bool,
    /// Whether its process votes.
    pub elector: bool,
    /// Its health compared with the rest of the fleet.
    pub stance: String,
    /// Whether its row arrived recently; if not, the following fields are empty.
    pub heard: bool,
    /// Whether it reports that it is ready.
    pub ready: bool,
    /// Its zone.
    pub zone: String,
    /// The listed nodes whose rows it receives.
    pub hears: Vec<String>,
    /// Zone, number of servers that answer it, and number of servers that don't.
    pub servers: Vec<(String, u16, u16)>,
    /// Milliseconds since it lost contact with the source of the server list, 0 while it is in contact;
    /// `None` if it never received a list.
    pub list_ms: Option<u32>,
    /// Requests of the last ten seconds that servers answered.
    pub served: u32,
    /// Requests that failed in that time.
    pub failed: u32,
    /// Milliseconds per second during which it was paused.
    pub stalled: u16,
}

/// An evicted node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EvictionView {
    /// Name of the node.
    pub name: String,
    /// Duration of the eviction in seconds, counted from the decision.
    pub seconds: u64,
    /// Reason that the operator gave.
    pub reason: String,
}

pub(super) fn status(
    now: Micros,
    node: &str,
    node_status: &NodeStatus,
    (matrix, condition): (&ReachMatrix, &Condition),
    gossip: &Gossip,
) -> FleetView {
    let name = |name: Name| gossip.name(MemberId(name));
    let view = node_status.view.as_ref();
    let mut names: Vec<Name> =
        view.iter().flat_map(|view| view.members.keys().chain(view.electors.keys())).copied().collect();
    names.sort_unstable();
    names.dedup();
    let node_view = |id: &Name| {
        let row = matrix.row(now, *id).cloned();
        let heard = row.is_some();
        let row = row.unwrap_or_default();
        NodeView {
            name: name(*id),
            member: view.is_some_and(|view| view.members.contains_key(id)),
            elector: view.is_some_and(|view| view.electors.contains_key(id)),
            stance: matrix.condition(now, *id).to_string(),
            heard,
            ready: row.ready,
            zone: row.zone,
            hears: row.receives_from.iter().map(|other| name(*other)).collect(),
            servers: row.zones.into_iter().map(|reach| (reach.zone, reach.answering, reach.silent)).collect(),
            list_ms: row.list_age_ms,
            served: row.served,
            failed: row.failed,
            stalled: row.stalled_permille,
        }
    };
    let mut nodes: Vec<NodeView> = names.iter().map(node_view).collect();
    nodes.sort_by(|a, b| a.name.cmp(&b.name));
    let out = view.into_iter().flat_map(Evictions::evicted);
    FleetView {
        node: node.to_owned(),
        side: side_name(node_status.side),
        epoch: format_epoch(view),
        name_for_ms: node_status.name_lease_left / 1000,
        chair: node_status.holds_proposer_lease,
        aside: node_status.holds_unready_lease,
        part: node_status.limit_share,
        stance: condition.to_string(),
        hears_electors: node_status.reachable_electors.iter().map(|elector| name(*elector)).collect(),
        nodes,
        one_way: matrix.one_way_links(now).into_iter().map(|(from, to)| (name(from), name(to))).collect(),
        out: out
            .map(|(id, seconds, reason)| EvictionView { name: name(id), seconds, reason: reason.to_owned() })
            .collect(),
    }
}
