//! Merging of logs, and contradictions in the merged log.

use std::collections::BTreeMap;

use crate::Micros;
use crate::align::offsets;
use crate::line::{Event, parse};

/// Clock differences are reported from this size.
const MIN_REPORTED_SKEW: Micros = 1_000;
/// The tolerated error of aligned clocks and of lines written late.
const MAX_OVERLAP: Micros = 250_000;

/// The log of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// The node's name if the log contains it, otherwise the name given by the caller.
    pub name: String,
    /// The events in the order of the file.
    pub events: Vec<Event>,
    /// The number of lines that are not events.
    pub unparsed_lines: usize,
}

impl Log {
    /// Parses lines. A node name in the events takes precedence over `name`.
    pub fn read<'a>(name: &str, lines: impl IntoIterator<Item = &'a str>) -> Log {
        let mut log = Log { name: name.to_owned(), ..Log::default() };
        for line in lines.into_iter().filter(|line| !line.trim().is_empty()) {
            match parse(line) {
                Some(event) => log.events.push(event),
                None => log.unparsed_lines += 1,
            }
        }
        if let Some(node) = log.events.iter().find_map(|event| event.field("node")) {
            node.clone_into(&mut log.name);
        }
        log
    }

    /// When this log first contains each decided view, by epoch.
    fn view_times(&self) -> BTreeMap<String, Micros> {
        let mut view_times = BTreeMap::new();
        for event in self.events.iter().filter(|event| event.message == "view decided") {
            if let Some(epoch) = event.field("epoch") {
                view_times.entry(epoch.to_owned()).or_insert(event.at);
            }
        }
        view_times
    }
}

/// A violation of the fleet's guarantees.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contradiction {
    /// When it became visible, on the first log's clock.
    pub at: Micros,
    /// A description for operators.
    pub description: String,
}

/// Several logs merged into one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedLog {
    /// All events by time: the time on the first log's clock, the index of the log, and the event.
    pub events: Vec<(Micros, usize, Event)>,
    /// How much each log's clock was shifted; `None` for logs that could not be aligned.
    pub clock_offsets: Vec<Option<Micros>>,
    /// The contradictions found, assuming that all logs are correct.
    pub contradictions: Vec<Contradiction>,
}

impl MergedLog {
    /// The logs whose clocks differ from the first one's or could not be compared, with their shift.
    pub fn skewed_logs<'a>(&'a self, logs: &'a [Log]) -> impl Iterator<Item = (&'a str, Option<Micros>)> {
        let names = logs.iter().map(|log| log.name.as_str());
        names
            .zip(self.clock_offsets.iter().copied())
            .filter(|(_, offset)| offset.is_none_or(|by| by.abs() >= MIN_REPORTED_SKEW))
    }
}

/// Merges logs; with `align` their clocks are aligned with the first one's where possible.
pub fn merge(logs: &[Log], align: bool) -> MergedLog {
    let clock_offsets = match align {
        true => offsets(&logs.iter().map(Log::view_times).collect::<Vec<_>>()),
        false => vec![Some(0); logs.len()],
    };
    let mut events = Vec::new();
    for (at, log) in logs.iter().enumerate() {
        let offset = clock_offsets[at].unwrap_or(0);
        events.extend(log.events.iter().map(|event| (event.at.saturating_add(offset), at, event.clone())));
    }
    // A stable sort: events of one log keep their order.
    events.sort_by_key(|(time, ..)| *time);
    let contradictions = contradictions(&events, logs);
    MergedLog { events, clock_offsets, contradictions }
}

/// A period in which one process held a lease.
struct LeasePeriod {
    log: usize,
    from: Micros,
    /// The last moment at which the process certainly held it.
    to: Micros,
    has_ended: bool,
}

/// Checks the guarantees of the fleet on the merged log: one view per epoch, one holder of each lease at a
/// time.
fn contradictions(events: &[(Micros, usize, Event)], logs: &[Log]) -> Vec<Contradiction> {
    let mut contradictions = Vec::new();
    let mut views: BTreeMap<&str, (&str, usize)> = BTreeMap::new();
    let mut lease_periods: BTreeMap<&str, Vec<LeasePeriod>> = BTreeMap::new();
    let name = |log: usize| logs[log].name.as_str();
    for (at, log, event) in events {
        // A running process logs the loss of a lease at once: a lease whose loss is not logged was held until
        // the process's last event. When a process starts, the leases of the previous process of its name
        // have ended.
        let starts = event.message == "starts";
        for lease_period in lease_periods
            .values_mut()
            .flatten()
            .filter(|lease_period| lease_period.log == *log && !lease_period.has_ended)
        {
            lease_period.to = if starts { lease_period.to } else { *at };
            lease_period.has_ended = starts;
        }
        match (event.message.as_str(), event.field("epoch"), event.field("members")) {
            ("view decided", Some(epoch), Some(members)) => {
                let (first_members, first_log) = *views.entry(epoch).or_insert((members, *log));
                if first_members != members {
                    let description = format!(
                        "epoch {epoch} is {first_members} at {} and {members} at {}",
                        name(first_log),
                        name(*log)
                    );
                    contradictions.push(Contradiction { at: *at, description });
                }
            }
            ("lease", ..) => {
                let (Some(resource), Some(held)) = (event.field("of"), event.field("held")) else { continue };
                let lease_periods = lease_periods.entry(resource).or_default();
                if held == "true" {
                    lease_periods.push(LeasePeriod { log: *log, from: *at, to: *at, has_ended: false });
                } else if let Some(lease_period) = lease_periods
                    .iter_mut()
                    .rfind(|lease_period| lease_period.log == *log && !lease_period.has_ended)
                {
                    // The process may have been paused since the lease expired.
                    let ago = event.field("ago_ms").and_then(|ago| ago.parse::<Micros>().ok()).unwrap_or(0);
                    lease_period.to = at.saturating_sub(ago.saturating_mul(1000));
                    lease_period.has_ended = true;
                }
            }
            _ => {}
        }
    }
    for (resource, lease_periods) in &lease_periods {
        for (at, first) in lease_periods.iter().enumerate() {
            for second in lease_periods[at + 1..].iter().filter(|second| second.log != first.log) {
                let overlap = first.to.min(second.to).saturating_sub(first.from.max(second.from));
                if overlap > MAX_OVERLAP {
                    let description = format!(
                        "{resource} is held by {} and {} for {} ms",
                        name(first.log),
                        name(second.log),
                        overlap / 1000
                    );
                    contradictions.push(Contradiction { at: first.from.max(second.from), description });
                }
            }
        }
    }
    contradictions.sort_by_key(|contradiction| contradiction.at);
    contradictions
}
