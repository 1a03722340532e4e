//! What the demo shows, without any view.

use std::collections::VecDeque;
use std::fmt::Write;
use std::time::Duration;

use dunelink::{Counts, Snapshot};

use super::fleet::{Fleet, Standing};

/// Events that are kept to be shown.
const EVENTS: usize = 8;

/// How a request ended.
#[derive(Clone, Copy)]
pub(super) enum Kind {
    Served,
    Refused,
    Failed,
}

/// One class's requests.
#[derive(Clone, Default)]
pub(super) struct Row {
    pub(super) name: &'static str,
    /// Served, refused, failed.
    pub(super) counts: [u64; 3],
    /// The time of answers from servers, all added up.
    time: Duration,
}

impl Row {
    /// The mean time of an answer from a server, in milliseconds.
    pub(super) fn mean_ms(&self) -> f64 {
        self.time.as_secs_f64() * 1000.0 / self.counts[0].max(1) as f64
    }
}

/// One server.
pub(super) struct Place {
    pub(super) uid: String,
    pub(super) state: &'static str,
    /// The node's attempts out, its idle connections, and what the server has in work.
    pub(super) in_flight: usize,
    pub(super) idle: usize,
    pub(super) inside: usize,
    pub(super) served: u64,
    /// Answers a second, lately.
    pub(super) rate: f64,
}

/// Everything that the demo shows.
pub(super) struct Board {
    pub(super) at: Duration,
    pub(super) rows: Vec<Row>,
    pub(super) places: Vec<Place>,
    pub(super) events: VecDeque<(Duration, String)>,
    pub(super) snapshot: Snapshot,
}

impl Board {
    pub(super) fn new(classes: impl IntoIterator<Item = &'static str>) -> Board {
        Board {
            at: Duration::ZERO,
            rows: classes.into_iter().map(|name| Row { name, ..Row::default() }).collect(),
            places: Vec::new(),
            events: VecDeque::new(),
            snapshot: Snapshot::default(),
        }
    }

    pub(super) fn answered(&mut self, class: usize, kind: Kind, after: Duration) {
        let row = &mut self.rows[class];
        row.counts[kind as usize] += 1;
        if matches!(kind, Kind::Served) {
            row.time += after;
        }
    }

    pub(super) fn event(&mut self, at: Duration, what: &str) {
        self.events.push_back((at, what.to_string()));
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }

    /// How things stand now.
    pub(super) fn take(&mut self, at: Duration, snapshot: Snapshot, fleet: &Fleet) {
        let span = at.saturating_sub(self.at).as_secs_f64().max(0.001);
        let place = |s: Standing| {
            let known = snapshot.servers.iter().find(|server| *server.uid == *s.uid);
            let before = self.places.iter().find(|place| place.uid == s.uid);
            let rate = (s.served - before.map_or(0, |b| b.served)) as f64 / span;
            Place {
                in_flight: known.map_or(0, |k| k.in_flight),
                idle: known.map_or(0, |k| k.idle),
                rate: before.map_or(rate, |b| 0.8 * b.rate + 0.2 * rate),
                state: match known {
                    None if s.state == "draining" && s.inside == 0 => "gone",
                    _ => s.state,
                },
                uid: s.uid,
                inside: s.inside,
                served: s.served,
            }
        };
        self.places = fleet.standing().into_iter().map(place).collect();
        (self.at, self.snapshot) = (at, snapshot);
    }

    /// Served, refused and failed of all classes.
    pub(super) fn sums(&self) -> [u64; 3] {
        let sum = |kind: usize| self.rows.iter().map(|row| row.counts[kind]).sum();
        [sum(0), sum(1), sum(2)]
    }

    /// What happened, once all is over.
    pub(super) fn summary(&self, counts: &Counts) -> String {
        let mut text =
            format!("{:18}{:>9}{:>9}{:>9}{:>12}\n", "", "served", "refused", "failed", "mean time");
        for row in &self.rows {
            let [served, refused, failed] = row.counts;
            let mean = row.mean_ms();
            let _ = writeln!(text, "{:18}{served:>9}{refused:>9}{failed:>9}{mean:>9.1} ms", row.name);
        }
        let by_server: Vec<String> = self.places.iter().map(|p| format!("{} {}", p.uid, p.served)).collect();
        let _ = writeln!(text, "answers by server: {}", by_server.join(", "));
        let _ = write!(
            text,
            "the node took {} requests: {} served, {} refused, {} failed, {} left",
            counts.taken, counts.served, counts.refused, counts.failed, counts.left
        );
        text
    }
}
