//! The matrix of all rows, and the condition of each node that follows from it.

use std::collections::BTreeMap;
use std::fmt;

use crate::row::Row;
use crate::{Micros, Name, Process, ROW_TIMEOUT_HALF_INTERVALS, row_interval};

/// The fraction of silent servers from which a node counts as not reaching them, and up to which the other
/// nodes count as reaching them; and the least number of servers that a node must have tried.
const SILENT_FRACTION: (f64, f64) = (0.8, 0.3);
const MIN_TRIED_SERVERS: u32 = 3;
/// How much larger a node's fraction of failed requests has to be than the others', and the least number of
/// requests.
const MIN_EXTRA_FAILURES: f64 = 0.2;
const MIN_REQUESTS: u32 = 20;
/// Paused milliseconds per second: from how many a node counts as pausing, and the largest median of the
/// others for that.
const PAUSED_MS_PER_SECOND: (u16, u16) = (100, 30);
/// Milliseconds since a node heard from the server list: from how many it counts as cut off from the list,
/// and up to how many the others count as connected to it.
const LIST_AGE_MS: (u32, u32) = (10_000, 5_000);

/// The condition of a node, compared with the rest of the fleet. The first one that applies is used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No worse than the other nodes, as far as known.
    Healthy,
    /// Cut off in both directions: less than half of the nodes receive its rows, and it receives the rows of
    /// less than half.
    CutOff,
    /// The other nodes receive its rows, but it receives the rows of less than half of them.
    ReceivesNothing,
    /// It receives the other nodes' rows, but less than half of them receive its rows.
    NotReceived,
    /// Its process pauses repeatedly.
    Stalls,
    /// It does not reach servers that other nodes reach: in this zone, or anywhere if the name is empty.
    NoServers(String),
    /// A larger fraction of its requests fails than of the others'.
    FailsRequests,
    /// It does not hear from the server list although others do. This alone is no reason to avoid the node.
    NoServerList,
    /// This node has no recent row of it, but other nodes do.
    NoRow,
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Condition::Healthy => f.write_str("well"),
            Condition::CutOff => f.write_str("cut off"),
            Condition::ReceivesNothing => f.write_str("hears nobody"),
            Condition::NotReceived => f.write_str("heard by nobody"),
            Condition::Stalls => f.write_str("stalls"),
            Condition::NoServers(zone) if zone.is_empty() => f.write_str("reaches no servers"),
            Condition::NoServers(zone) => write!(f, "reaches no servers in {zone}"),
            Condition::FailsRequests => f.write_str("fails its clients"),
            Condition::NoServerList => f.write_str("hears no list"),
            Condition::NoRow => f.write_str("not heard here"),
        }
    }
}

impl Condition {
    /// Whether clients are better served by other nodes.
    pub fn is_worse_than_fleet(&self) -> bool {
        !matches!(self, Condition::Healthy | Condition::NoServerList | Condition::NoRow | Condition::CutOff)
            && !matches!(self, Condition::NoServers(zone) if !zone.is_empty())
    }
}

/// The rows that this node knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachMatrix {
    me: Name,
    members: Vec<Name>,
    own: Row,
    rows: BTreeMap<Name, (Process, Micros, Row)>,
}

fn median<T: PartialOrd + Copy>(mut values: Vec<T>) -> Option<T> {
    values.sort_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
    // For an even number the upper of the two middle values: what affects half of the fleet is not attributed
    // to a single node.
    values.get(values.len() / 2).copied()
}

fn fraction(of: u32, rest: u32) -> f64 {
    f64::from(of) / (f64::from(of) + f64::from(rest)).max(1.0)
}

impl ReachMatrix {
    /// The matrix of a node that knows no other node yet.
    pub fn new(me: Name) -> ReachMatrix {
        ReachMatrix {
            me,
            members: Vec::new(),
            own: Row { ready: true, ..Row::default() },
            rows: BTreeMap::new(),
        }
    }

    /// This node's own row.
    pub fn own(&self) -> &Row {
        &self.own
    }

    pub(crate) fn set_own(&mut self, now: Micros, mut row: Row) {
        row.receives_from = self.recent_rows(now).map(|(name, _)| name).collect();
        self.own = row;
    }

    /// Records a row received directly from its process.
    pub(crate) fn record_row(&mut self, now: Micros, from: Process, row: Row) {
        if from.name != self.me && row.is_valid() {
            self.rows.insert(from.name, (from, now, row));
        }
    }

    /// Replaces the members; rows of all other nodes are dropped.
    pub(crate) fn set_members(&mut self, members: Vec<Name>) {
        self.rows.retain(|name, _| members.contains(name));
        self.members = members;
    }

    /// The members of the fleet's view.
    pub(crate) fn members(&self) -> &[Name] {
        &self.members
    }

    /// The recent rows of the other nodes.
    pub fn recent_rows(&self, now: Micros) -> impl Iterator<Item = (Name, &Row)> {
        let timeout = row_interval(self.members.len()) * ROW_TIMEOUT_HALF_INTERVALS / 2;
        let fresh = move |at: Micros| now.saturating_sub(at) <= timeout;
        self.rows.iter().filter(move |(_, (_, at, _))| fresh(*at)).map(|(name, (.., row))| (*name, row))
    }

    /// The row of a node, if it is recent or this node's own.
    pub fn row(&self, now: Micros, name: Name) -> Option<&Row> {
        if name == self.me {
            return Some(&self.own);
        }
        self.recent_rows(now).find(|(other, _)| *other == name).map(|(_, row)| row)
    }

    /// Whether the first node receives the second node's rows, by its own report; `None` without a recent row
    /// of the first.
    pub fn receives_from(&self, now: Micros, receiver: Name, sender: Name) -> Option<bool> {
        self.row(now, receiver).map(|row| row.receives_from.contains(&sender))
    }

    /// Links that work in one direction only: no rows arrive from the first node at the second, while they do
    /// arrive from the second at the first.
    pub fn one_way_links(&self, now: Micros) -> Vec<(Name, Name)> {
        let names: Vec<Name> = self.recent_rows(now).map(|(name, _)| name).chain([self.me]).collect();
        let pairs = names.iter().flat_map(|from| names.iter().map(move |to| (*from, *to)));
        let broken = |(from, to): &(Name, Name)| {
            from != to
                && self.receives_from(now, *to, *from) == Some(false)
                && self.receives_from(now, *from, *to) == Some(true)
        };
        pairs.filter(broken).collect()
    }

    /// The condition of a node, by all known rows.
    pub fn condition(&self, now: Micros, name: Name) -> Condition {
        let others: Vec<(Name, &Row)> =
            self.recent_rows(now).chain([(self.me, &self.own)]).filter(|(other, _)| *other != name).collect();
        let receivers = others.iter().filter(|(_, row)| row.receives_from.contains(&name)).count();
        let other_members = self.members.iter().filter(|member| **member != name).count();
        let Some(row) = self.row(now, name) else {
            let others_receive_it =
                others.iter().any(|(other, row)| *other != self.me && row.receives_from.contains(&name));
            return if others_receive_it { Condition::NoRow } else { Condition::CutOff };
        };
        if others.is_empty() {
            return Condition::CutOff;
        }
        let received_count =
            row.receives_from.iter().filter(|other| **other != name && self.members.contains(other)).count();
        // The members other than this one that anyone still receives rows from. Without half of them, it is a
        // partition and not a one-way loss.
        let visible = |member: &&Name| {
            **member != name
                && others.iter().any(|(other, row)| other == *member || row.receives_from.contains(member))
        };
        let visible = self.members.iter().filter(visible).count();
        match (2 * receivers >= others.len(), 2 * received_count >= other_members) {
            (true, true) => {}
            (true, false) if 2 * visible >= other_members => return Condition::ReceivesNothing,
            (false, true) => return Condition::NotReceived,
            (_, false) => return Condition::CutOff,
        }
        let rows: Vec<&Row> = others.iter().map(|(_, row)| *row).collect();
        let others_paused = median(rows.iter().map(|row| row.stalled_permille).collect()).unwrap_or(0);
        if row.stalled_permille >= PAUSED_MS_PER_SECOND.0 && others_paused <= PAUSED_MS_PER_SECOND.1 {
            return Condition::Stalls;
        }
        if let Some(zone) = unreached_zone(row, &rows) {
            return Condition::NoServers(zone);
        }
        let failed_fraction = |row: &Row| fraction(row.failed, row.served);
        let enough_requests = |row: &Row| row.served.saturating_add(row.failed) >= MIN_REQUESTS;
        let other_fractions: Vec<f64> =
            rows.iter().filter(|row| enough_requests(row)).map(|r| failed_fraction(r)).collect();
        let fails_more =
            median(other_fractions).is_some_and(|others| failed_fraction(row) > others + MIN_EXTRA_FAILURES);
        if enough_requests(row) && fails_more {
            return Condition::FailsRequests;
        }
        let list_receivers =
            rows.iter().filter(|row| row.list_age_ms.is_some_and(|ms| ms <= LIST_AGE_MS.1)).count();
        if row.list_age_ms.is_none_or(|ms| ms >= LIST_AGE_MS.0) && 2 * list_receivers > rows.len() {
            return Condition::NoServerList;
        }
        Condition::Healthy
    }
}

/// Where a node does not reach servers that other nodes reach: everywhere (an empty name), or in a zone.
fn unreached_zone(row: &Row, others: &[&Row]) -> Option<String> {
    let is_unreached = |(answering, silent): (u32, u32)| {
        answering + silent >= MIN_TRIED_SERVERS && fraction(silent, answering) >= SILENT_FRACTION.0
    };
    let others_reach = |reach: Vec<(u32, u32)>| {
        let tried = reach.into_iter().filter(|(answering, silent)| answering + silent >= MIN_TRIED_SERVERS);
        median(tried.map(|(answering, silent)| fraction(silent, answering)).collect())
            .is_some_and(|fraction| fraction <= SILENT_FRACTION.1)
    };
    if is_unreached(row.servers()) && others_reach(others.iter().map(|row| row.servers()).collect()) {
        return Some(String::new());
    }
    let of = |row: &Row, zone: &str| {
        let reach = row.zones.iter().find(|reach| reach.zone == zone);
        reach.map_or((0, 0), |reach| (u32::from(reach.answering), u32::from(reach.silent)))
    };
    let zones = row.zones.iter().map(|reach| reach.zone.as_str());
    let mut zones = zones.filter(|zone| {
        !zone.is_empty()
            && is_unreached(of(row, zone))
            && others_reach(others.iter().map(|row| of(row, zone)).collect())
    });
    zones.next().map(str::to_owned)
}
