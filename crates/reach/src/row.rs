//! The report that a node sends about itself.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Micros, Name};

/// The largest size of a zone's name; longer names are truncated.
pub const MAX_ZONE_BYTES: usize = 32;
/// The largest number of zones in a row.
pub const MAX_ZONES: usize = 16;
/// The largest number of nodes that a row names.
const MAX_NAMED_NODES: usize = 64;
/// The period of the request counts in a row.
pub const REQUEST_WINDOW: Micros = 10_000_000;

/// How many of a zone's servers answer a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReachability {
    /// The zone's name; empty for servers without a known zone.
    pub zone: String,
    /// The number of servers that answered recently.
    #[serde(rename = "answer")]
    pub answering: u16,
    /// The number of servers that were tried and have not answered for at least a second.
    pub silent: u16,
}

/// A node's report about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The node's zone; empty if it has none.
    pub zone: String,
    /// The nodes whose rows it receives directly.
    #[serde(rename = "hears")]
    pub receives_from: Vec<Name>,
    /// The reachability of servers in each zone.
    pub zones: Vec<ZoneReachability>,
    /// The milliseconds since it last heard from the server list; `None` if it never has.
    #[serde(rename = "list_ms")]
    pub list_age_ms: Option<u32>,
    /// The number of requests in the last [`REQUEST_WINDOW`] that a server answered.
    pub served: u32,
    /// The number of requests in the same time that failed; deliberate rejections are not counted.
    pub failed: u32,
    /// The milliseconds per second of that time in which its process was paused, from 0 to 1000.
    #[serde(rename = "stalled")]
    pub stalled_permille: u16,
    /// Whether it reports that it is ready.
    pub ready: bool,
}

impl Row {
    /// Whether all parts are within their limits. Received rows are checked once, with this.
    pub fn is_valid(&self) -> bool {
        let zones = self.zones.iter().map(|reach| &reach.zone).chain([&self.zone]);
        self.receives_from.len() <= MAX_NAMED_NODES
            && self.zones.len() <= MAX_ZONES
            && self.stalled_permille <= 1000
            && zones.map(String::len).max().unwrap_or(0) <= MAX_ZONE_BYTES
    }

    /// The numbers of answering and of silent servers in all zones.
    pub(crate) fn servers(&self) -> (u32, u32) {
        let add = |(answer, silent): (u32, u32), reach: &ZoneReachability| {
            (answer + u32::from(reach.answering), silent + u32::from(reach.silent))
        };
        self.zones.iter().fold((0, 0), add)
    }
}

/// Truncates a zone's name to the size that a row may hold.
pub(crate) fn truncate_zone(zone: &str) -> String {
    let is_boundary = |end: &usize| zone.is_char_boundary(*end);
    zone[..(0..=zone.len().min(MAX_ZONE_BYTES)).rev().find(is_boundary).unwrap_or(0)].to_owned()
}

/// Computes how much monotonic sums have grown within the last [`REQUEST_WINDOW`]: their values with times.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct WindowedGrowth(VecDeque<(Micros, [u64; 3])>);

impl WindowedGrowth {
    /// Records the current sums; returns how much they grew within the window.
    pub(crate) fn record(&mut self, now: Micros, sums: [u64; 3]) -> [u64; 3] {
        // The last value from before the window is its starting point.
        while self.0.get(1).is_some_and(|(at, _)| now.saturating_sub(*at) >= REQUEST_WINDOW) {
            self.0.pop_front();
        }
        self.0.push_back((now, sums));
        let first = self.0.front().map_or(sums, |(_, first)| *first);
        std::array::from_fn(|at| sums[at].saturating_sub(first[at]))
    }

    /// The time that the growth covers, at most the window.
    pub(crate) fn covered_time(&self, now: Micros) -> Micros {
        self.0.front().map_or(0, |(at, _)| now.saturating_sub(*at))
    }
}
