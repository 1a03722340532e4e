//! What a node tells of itself.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Micros, Name};

/// Bytes of a zone's name; longer ones are cut.
pub const MAX_ZONE_BYTES: usize = 32;
/// Zones of which a row tells.
pub const MAX_ZONES: usize = 16;
/// Nodes that a row names.
const HEARS_MOST: usize = 64;
/// How requests ended is told of this time.
pub const REQUEST_WINDOW: Micros = 10_000_000;

/// How a zone's servers answer a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReachability {
    /// The zone; empty where it is not known.
    pub zone: String,
    /// Servers that answered lately.
    #[serde(rename = "answer")]
    pub answering: u16,
    /// Servers that were tried and have answered nothing since, for a second or longer.
    pub silent: u16,
}

/// What a node tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its zone; empty where it has none.
    pub zone: String,
    /// Whose rows come to it directly.
    #[serde(rename = "hears")]
    pub receives_from: Vec<Name>,
    /// Servers by zone.
    pub zones: Vec<ZoneReachability>,
    /// For how long it has heard nothing from the list, in milliseconds; nothing if it never has.
    #[serde(rename = "list_ms")]
    pub list_age_ms: Option<u32>,
    /// Requests that it answered in the last [`REQUEST_WINDOW`] by what a server said.
    pub served: u32,
    /// Requests that failed in the same time. What it refused on purpose is not among them.
    pub failed: u32,
    /// Of each thousand milliseconds of that time, those in which it stood still.
    #[serde(rename = "stalled")]
    pub stalled_permille: u16,
    /// Whether it says that it is ready.
    pub ready: bool,
}

impl Row {
    /// Whether it holds no more than it may. What others send is looked at once, here.
    pub fn is_sound(&self) -> bool {
        let zones = self.zones.iter().map(|reach| &reach.zone).chain([&self.zone]);
        self.receives_from.len() <= HEARS_MOST
            && self.zones.len() <= MAX_ZONES
            && self.stalled_permille <= 1000
            && zones.map(String::len).max().unwrap_or(0) <= MAX_ZONE_BYTES
    }

    /// Servers that answered, and those that are silent, in all zones.
    pub(crate) fn servers(&self) -> (u32, u32) {
        let add = |(answer, silent): (u32, u32), reach: &ZoneReachability| {
            (answer + u32::from(reach.answering), silent + u32::from(reach.silent))
        };
        self.zones.iter().fold((0, 0), add)
    }
}

/// A name of a zone, cut to what a row may hold.
pub(crate) fn cut(zone: &str) -> String {
    let ends = |end: &usize| zone.is_char_boundary(*end);
    zone[..(0..=zone.len().min(MAX_ZONE_BYTES)).rev().find(ends).unwrap_or(0)].to_owned()
}

/// Sums that only grow, by time: what came on top in the last [`REQUEST_WINDOW`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Lately(VecDeque<(Micros, [u64; 3])>);

impl Lately {
    /// What the sums are now; how much they grew in the window.
    pub(crate) fn grew(&mut self, now: Micros, sums: [u64; 3]) -> [u64; 3] {
        // The last one from before the window is where it begins.
        while self.0.get(1).is_some_and(|(at, _)| now.saturating_sub(*at) >= REQUEST_WINDOW) {
            self.0.pop_front();
        }
        self.0.push_back((now, sums));
        let first = self.0.front().map_or(sums, |(_, first)| *first);
        std::array::from_fn(|at| sums[at].saturating_sub(first[at]))
    }

    /// For how long that is known, at most the window.
    pub(crate) fn span(&self, now: Micros) -> Micros {
        self.0.front().map_or(0, |(at, _)| now.saturating_sub(*at))
    }
}
