//! Many logs as one, and what in them can't be.

use std::collections::BTreeMap;

use crate::Micros;
use crate::align::offsets;
use crate::line::{Event, parse};

/// A clock is said to differ from here on.
const APART: Micros = 1_000;
/// What clocks that were put together by the fleet's decisions, and lines that come late, may be wrong by.
const LATE: Micros = 250_000;

/// The log of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// What it goes by: the node's name where the log tells it.
    pub name: String,
    /// Its events, in the order of the file.
    pub events: Vec<Event>,
    /// Lines that are no event.
    pub unparsed_lines: usize,
}

impl Log {
    /// Reads lines; what its events say of the node's name goes before `name`.
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

    /// When it first knew of each view.
    fn moments(&self) -> BTreeMap<String, Micros> {
        let mut moments = BTreeMap::new();
        for event in self.events.iter().filter(|event| event.message == "view decided") {
            if let Some(epoch) = event.field("epoch") {
                moments.entry(epoch.to_owned()).or_insert(event.at);
            }
        }
        moments
    }
}

/// Something that must not be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contradiction {
    /// When it showed, on the first log's clock.
    pub at: Micros,
    /// What it is.
    pub description: String,
}

/// Many logs as one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedLog {
    /// Events by time on the first log's clock, and which log each is from.
    pub events: Vec<(Micros, usize, Event)>,
    /// How each log's clock was moved; nothing for one that could not be placed.
    pub clock_offsets: Vec<Option<Micros>>,
    /// What can't be, if all logs tell the truth.
    pub contradictions: Vec<Contradiction>,
}

impl MergedLog {
    /// Logs whose clock differs from the first one's, or could not be compared.
    pub fn skewed_logs<'a>(&'a self, logs: &'a [Log]) -> impl Iterator<Item = (&'a str, Option<Micros>)> {
        let names = logs.iter().map(|log| log.name.as_str());
        names
            .zip(self.clock_offsets.iter().copied())
            .filter(|(_, moved)| moved.is_none_or(|by| by.abs() >= APART))
    }
}

/// Merges logs; with `align` they are put on the first one's clock where they can be.
pub fn merge(logs: &[Log], align: bool) -> MergedLog {
    let moved = match align {
        true => offsets(&logs.iter().map(Log::moments).collect::<Vec<_>>()),
        false => vec![Some(0); logs.len()],
    };
    let mut events = Vec::new();
    for (at, log) in logs.iter().enumerate() {
        let by = moved[at].unwrap_or(0);
        events.extend(log.events.iter().map(|event| (event.at.saturating_add(by), at, event.clone())));
    }
    // Those of one log stay in its order.
    events.sort_by_key(|(time, ..)| *time);
    let doubts = doubts(&events, logs);
    MergedLog { events, clock_offsets: moved, contradictions: doubts }
}

/// For how long something was held by one process.
struct Hold {
    log: usize,
    from: Micros,
    /// The last moment at which it surely was.
    to: Micros,
    over: bool,
}

/// What the fleet promises, held against the story: one view an epoch, one holder at a time.
fn doubts(events: &[(Micros, usize, Event)], logs: &[Log]) -> Vec<Contradiction> {
    let mut doubts = Vec::new();
    let mut views: BTreeMap<&str, (&str, usize)> = BTreeMap::new();
    let mut holds: BTreeMap<&str, Vec<Hold>> = BTreeMap::new();
    let name = |log: usize| logs[log].name.as_str();
    for (at, log, event) in events {
        // Who loses something says so at once while it runs: what it has not lost by its last word it held
        // until then. What a process of its name held before is over when it starts.
        let starts = event.message == "starts";
        for hold in holds.values_mut().flatten().filter(|hold| hold.log == *log && !hold.over) {
            hold.to = if starts { hold.to } else { *at };
            hold.over = starts;
        }
        match (event.message.as_str(), event.field("epoch"), event.field("members")) {
            ("view decided", Some(epoch), Some(members)) => {
                let (other, whose) = *views.entry(epoch).or_insert((members, *log));
                if other != members {
                    let what = format!(
                        "epoch {epoch} is {other} at {} and {members} at {}",
                        name(whose),
                        name(*log)
                    );
                    doubts.push(Contradiction { at: *at, description: what });
                }
            }
            ("lease", ..) => {
                let (Some(of), Some(held)) = (event.field("of"), event.field("held")) else { continue };
                let holds = holds.entry(of).or_default();
                if held == "true" {
                    holds.push(Hold { log: *log, from: *at, to: *at, over: false });
                } else if let Some(hold) = holds.iter_mut().rfind(|hold| hold.log == *log && !hold.over) {
                    // It may have stood still since.
                    let ago = event.field("ago_ms").and_then(|ago| ago.parse::<Micros>().ok()).unwrap_or(0);
                    hold.to = at.saturating_sub(ago.saturating_mul(1000));
                    hold.over = true;
                }
            }
            _ => {}
        }
    }
    for (of, holds) in &holds {
        for (at, one) in holds.iter().enumerate() {
            for other in holds[at + 1..].iter().filter(|other| other.log != one.log) {
                let both = one.to.min(other.to).saturating_sub(one.from.max(other.from));
                if both > LATE {
                    let what = format!(
                        "{of} is held by {} and {} for {} ms",
                        name(one.log),
                        name(other.log),
                        both / 1000
                    );
                    doubts.push(Contradiction { at: one.from.max(other.from), description: what });
                }
            }
        }
    }
    doubts.sort_by_key(|doubt| doubt.at);
    doubts
}
