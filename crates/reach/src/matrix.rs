//! All rows together, and what a node is by them.

use std::collections::BTreeMap;
use std::fmt;

use crate::row::Row;
use crate::{Micros, Name, Process, SILENCE, row_interval};

/// The part of a node's servers that is silent, at one that does not reach them and at others that do; and
/// servers that it must have tried.
const SILENT: (f64, f64) = (0.8, 0.3);
const TRIED_LEAST: u32 = 3;
/// By how much more of its requests fail than at the others, and of how many at least.
const FAILS: f64 = 0.2;
const ENDED_LEAST: u32 = 20;
/// Milliseconds of each second in which a node stands still that is said to, and others at most.
const STALLS: (u16, u16) = (100, 30);
/// How long a node has heard nothing from the list that others hear.
const LIST_MS: (u32, u32) = (10_000, 5_000);

/// What a node is, as against the fleet. The first that fits counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// As well off as the others, as far as can be told.
    Healthy,
    /// Nobody hears it and it hears nobody, or less than half do.
    CutOff,
    /// Its peers hear it, and it hears less than half of them.
    ReceivesNothing,
    /// It hears its peers, and less than half of them hear it.
    NotReceived,
    /// It stands still again and again.
    Stalls,
    /// It does not reach servers that others reach: in this zone, or in none if the name is empty.
    NoServers(String),
    /// More of its requests fail than of others'.
    FailsRequests,
    /// It does not hear the list that others hear. That alone is no reason to send it nothing.
    NoServerList,
    /// No row of it has come, though others hear it.
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
    /// Whether clients are better off at another node.
    pub fn is_worse_than_fleet(&self) -> bool {
        !matches!(self, Condition::Healthy | Condition::NoServerList | Condition::NoRow | Condition::CutOff)
            && !matches!(self, Condition::NoServers(zone) if !zone.is_empty())
    }
}

/// The rows that this node has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachMatrix {
    me: Name,
    members: Vec<Name>,
    own: Row,
    rows: BTreeMap<Name, (Process, Micros, Row)>,
}

fn median<T: PartialOrd + Copy>(mut values: Vec<T>) -> Option<T> {
    values.sort_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
    // Of an even number the better one: what half of the fleet suffers is no node's own fault.
    values.get(values.len() / 2).copied()
}

fn part(of: u32, rest: u32) -> f64 {
    f64::from(of) / (f64::from(of) + f64::from(rest)).max(1.0)
}

impl ReachMatrix {
    /// A node that knows of nobody yet.
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

    /// A process told its row, directly.
    pub(crate) fn hear(&mut self, now: Micros, from: Process, row: Row) {
        if from.name != self.me && row.is_sound() {
            self.rows.insert(from.name, (from, now, row));
        }
    }

    /// Only these names count from now on.
    pub(crate) fn set_members(&mut self, members: Vec<Name>) {
        self.rows.retain(|name, _| members.contains(name));
        self.members = members;
    }

    /// The members of the fleet's view.
    pub(crate) fn members(&self) -> &[Name] {
        &self.members
    }

    /// The others' rows that came lately.
    pub fn recent_rows(&self, now: Micros) -> impl Iterator<Item = (Name, &Row)> {
        let silence = row_interval(self.members.len()) * SILENCE / 2;
        let fresh = move |at: Micros| now.saturating_sub(at) <= silence;
        self.rows.iter().filter(move |(_, (_, at, _))| fresh(*at)).map(|(name, (.., row))| (*name, row))
    }

    /// The row of a name, if it came lately or is this node's own.
    pub fn row(&self, now: Micros, name: Name) -> Option<&Row> {
        if name == self.me {
            return Some(&self.own);
        }
        self.recent_rows(now).find(|(other, _)| *other == name).map(|(_, row)| row)
    }

    /// Whether one hears the other, as it says itself; nothing if it has said nothing lately.
    pub fn receives_from(&self, now: Micros, who: Name, whom: Name) -> Option<bool> {
        self.row(now, who).map(|row| row.receives_from.contains(&whom))
    }

    /// Ways that are open in one direction only: from whom to whom nothing comes, while the other way it
    /// does.
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

    /// What a node is, by all rows.
    pub fn condition(&self, now: Micros, name: Name) -> Condition {
        let others: Vec<(Name, &Row)> =
            self.recent_rows(now).chain([(self.me, &self.own)]).filter(|(other, _)| *other != name).collect();
        let heard_by = others.iter().filter(|(_, row)| row.receives_from.contains(&name)).count();
        let all = self.members.iter().filter(|member| **member != name).count();
        let Some(row) = self.row(now, name) else {
            let by_others =
                others.iter().any(|(other, row)| *other != self.me && row.receives_from.contains(&name));
            return if by_others { Condition::NoRow } else { Condition::CutOff };
        };
        if others.is_empty() {
            return Condition::CutOff;
        }
        let hears =
            row.receives_from.iter().filter(|other| **other != name && self.members.contains(other)).count();
        // Those that are somewhere around, by whoever is heard. Where that is no half either, it is a cut.
        let around = |member: &&Name| {
            **member != name
                && others.iter().any(|(other, row)| other == *member || row.receives_from.contains(member))
        };
        let around = self.members.iter().filter(around).count();
        match (2 * heard_by >= others.len(), 2 * hears >= all) {
            (true, true) => {}
            (true, false) if 2 * around >= all => return Condition::ReceivesNothing,
            (false, true) => return Condition::NotReceived,
            (_, false) => return Condition::CutOff,
        }
        let rows: Vec<&Row> = others.iter().map(|(_, row)| *row).collect();
        let still = median(rows.iter().map(|row| row.stalled_permille).collect()).unwrap_or(0);
        if row.stalled_permille >= STALLS.0 && still <= STALLS.1 {
            return Condition::Stalls;
        }
        if let Some(zone) = unreached(row, &rows) {
            return Condition::NoServers(zone);
        }
        let fails = |row: &Row| part(row.failed, row.served);
        let enough = |row: &Row| row.served.saturating_add(row.failed) >= ENDED_LEAST;
        let ended: Vec<f64> = rows.iter().filter(|row| enough(row)).map(|r| fails(r)).collect();
        let more = median(ended).is_some_and(|others| fails(row) > others + FAILS);
        if enough(row) && more {
            return Condition::FailsRequests;
        }
        let hear_it = rows.iter().filter(|row| row.list_age_ms.is_some_and(|ms| ms <= LIST_MS.1)).count();
        if row.list_age_ms.is_none_or(|ms| ms >= LIST_MS.0) && 2 * hear_it > rows.len() {
            return Condition::NoServerList;
        }
        Condition::Healthy
    }
}

/// Where a node reaches no servers though others do: everywhere (an empty name), or in a zone.
fn unreached(row: &Row, others: &[&Row]) -> Option<String> {
    let lost =
        |(answer, silent): (u32, u32)| answer + silent >= TRIED_LEAST && part(silent, answer) >= SILENT.0;
    let found = |reach: Vec<(u32, u32)>| {
        let tried = reach.into_iter().filter(|(answer, silent)| answer + silent >= TRIED_LEAST);
        median(tried.map(|(answer, silent)| part(silent, answer)).collect())
            .is_some_and(|part| part <= SILENT.1)
    };
    if lost(row.servers()) && found(others.iter().map(|row| row.servers()).collect()) {
        return Some(String::new());
    }
    let of = |row: &Row, zone: &str| {
        let reach = row.zones.iter().find(|reach| reach.zone == zone);
        reach.map_or((0, 0), |reach| (u32::from(reach.answering), u32::from(reach.silent)))
    };
    let zones = row.zones.iter().map(|reach| reach.zone.as_str());
    let mut zones = zones.filter(|zone| {
        !zone.is_empty() && lost(of(row, zone)) && found(others.iter().map(|row| of(row, zone)).collect())
    });
    zones.next().map(str::to_owned)
}
