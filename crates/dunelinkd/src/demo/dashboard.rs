//! The data that the demo displays.

use std::collections::VecDeque;
use std::fmt::Write;
use std::time::Duration;

use dunelink::{Counts, Snapshot};

use super::servers::{DemoServers, ServerStatus};

/// Number of events that are kept for display.
const MAX_EVENTS: usize = 8;

/// How a request ended.
#[derive(Clone, Copy)]
pub(super) enum Outcome {
    Served,
    Refused,
    Failed,
}

/// The requests of one class.
#[derive(Clone, Default)]
pub(super) struct ClassRow {
    pub(super) name: &'static str,
    /// Numbers of served, refused and failed requests, indexed by [`Outcome`].
    pub(super) counts: [u64; 3],
    /// The sum of the response times of served requests.
    total_time: Duration,
}

impl ClassRow {
    /// The mean response time of served requests, in milliseconds.
    pub(super) fn mean_ms(&self) -> f64 {
        self.total_time.as_secs_f64() * 1000.0 / self.counts[0].max(1) as f64
    }
}

/// The state of one server.
pub(super) struct ServerRow {
    pub(super) uid: String,
    pub(super) state: &'static str,
    /// The node's attempts in flight and its idle connections, and the requests inside the server.
    pub(super) in_flight: usize,
    pub(super) idle: usize,
    pub(super) in_progress: usize,
    pub(super) served: u64,
    /// Answers per second, as a moving average.
    pub(super) rate: f64,
}

/// Everything that the demo displays.
pub(super) struct Dashboard {
    pub(super) at: Duration,
    pub(super) rows: Vec<ClassRow>,
    pub(super) server_rows: Vec<ServerRow>,
    pub(super) events: VecDeque<(Duration, String)>,
    pub(super) snapshot: Snapshot,
}

impl Dashboard {
    pub(super) fn new(classes: impl IntoIterator<Item = &'static str>) -> Dashboard {
        Dashboard {
            at: Duration::ZERO,
            rows: classes.into_iter().map(|name| ClassRow { name, ..ClassRow::default() }).collect(),
            server_rows: Vec::new(),
            events: VecDeque::new(),
            snapshot: Snapshot::default(),
        }
    }

    pub(super) fn record_answer(&mut self, class: usize, outcome: Outcome, response_time: Duration) {
        let row = &mut self.rows[class];
        row.counts[outcome as usize] += 1;
        if matches!(outcome, Outcome::Served) {
            row.total_time += response_time;
        }
    }

    pub(super) fn add_event(&mut self, at: Duration, description: &str) {
        self.events.push_back((at, description.to_string()));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Updates the state of the servers and of the node.
    pub(super) fn update(&mut self, at: Duration, snapshot: Snapshot, demo_servers: &DemoServers) {
        let elapsed_s = at.saturating_sub(self.at).as_secs_f64().max(0.001);
        let server_row = |status: ServerStatus| {
            let known = snapshot.servers.iter().find(|server| *server.uid == *status.uid);
            let previous = self.server_rows.iter().find(|server_row| server_row.uid == status.uid);
            let rate = (status.served - previous.map_or(0, |b| b.served)) as f64 / elapsed_s;
            ServerRow {
                in_flight: known.map_or(0, |k| k.in_flight),
                idle: known.map_or(0, |k| k.idle),
                rate: previous.map_or(rate, |b| 0.8 * b.rate + 0.2 * rate),
                state: match known {
                    None if status.state == "draining" && status.in_progress == 0 => "gone",
                    _ => status.state,
                },
                uid: status.uid,
                in_progress: status.in_progress,
                served: status.served,
            }
        };
        self.server_rows = demo_servers.statuses().into_iter().map(server_row).collect();
        (self.at, self.snapshot) = (at, snapshot);
    }

    /// Numbers of served, refused and failed requests of all classes.
    pub(super) fn sums(&self) -> [u64; 3] {
        let sum = |outcome: usize| self.rows.iter().map(|row| row.counts[outcome]).sum();
        [sum(0), sum(1), sum(2)]
    }

    /// The results, for printing at the end.
    pub(super) fn summary(&self, counts: &Counts) -> String {
        let mut text =
            format!("{:18}{:>9}{:>9}{:>9}{:>12}\n", "", "served", "refused", "failed", "mean time");
        for row in &self.rows {
            let [served, refused, failed] = row.counts;
            let mean = row.mean_ms();
            let _ = writeln!(text, "{:18}{served:>9}{refused:>9}{failed:>9}{mean:>9.1} ms", row.name);
        }
        let by_server: Vec<String> =
            self.server_rows.iter().map(|p| format!("{} {}", p.uid, p.served)).collect();
        let _ = writeln!(text, "answers by server: {}", by_server.join(", "));
        let _ = write!(
            text,
            "the node accepted {} requests: {} served, {} refused, {} failed, {} abandoned by their clients",
            counts.taken, counts.served, counts.refused, counts.failed, counts.left
        );
        text
    }
}
