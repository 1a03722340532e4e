//! All that clients, servers and nodes saw, in the order of one clock, and what holds of it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::faults::Fault;

/// What a request may do when it runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Nothing.
    View,
    /// Nothing, within its dedup group and window.
    Submit,
    /// Harm.
    Order,
}

/// Something that was seen.
#[derive(Clone, Debug)]
pub enum What {
    /// A client has written a request to a node.
    Asked {
        /// The node.
        node: usize,
        /// The request.
        id: u64,
        /// Its class.
        class: Class,
    },
    /// It got its answer; status 0 is none at all.
    Answered {
        /// The request.
        id: u64,
        /// The answer's status.
        status: u16,
    },
    /// An attempt came whole to a server.
    Came {
        /// The server.
        server: usize,
        /// The node that it is from.
        node: usize,
        /// The request.
        id: u64,
        /// Its class.
        class: Class,
    },
    /// A node wrote a line to its log.
    Line {
        /// The node.
        node: usize,
        /// What it said.
        text: String,
    },
    /// The list changed what it says of a server.
    Listed {
        /// The list's version from then on.
        rev: u64,
        /// The server.
        server: usize,
        /// Whether it takes requests.
        ready: bool,
    },
    /// A node was handed a list of this version.
    Heard {
        /// The node.
        node: usize,
        /// The version.
        rev: u64,
    },
    /// A fault was caused.
    Caused(Fault),
}

/// Something that was seen, and when.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Since the rig began.
    pub at: Duration,
    /// What it was.
    pub what: What,
}

/// Takes down what is seen, from any thread.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Default for Record {
    fn default() -> Record {
        Record { began: Instant::now(), entries: Arc::default() }
    }
}

impl Record {
    /// Takes it down.
    pub fn note(&self, what: What) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push(Entry { at: self.began.elapsed(), what });
    }

    /// How long the rig has run.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// All that was seen so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// What a node has logged.
    pub fn log(&self, of: usize) -> Vec<String> {
        let line = |entry: Entry| match entry.what {
            What::Line { node, text } if node == of => Some(text),
            _ => None,
        };
        self.entries().into_iter().filter_map(line).collect()
    }
}

/// What the rules allow.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long clients wait.
    pub deadline: Duration,
    /// What a busy machine may add.
    pub slack: Duration,
    /// How long a dedup group remembers a key.
    pub window: Duration,
    /// The dedup group of a server.
    pub cell: fn(usize) -> usize,
    /// A server that starts cold: what, from when, how much of what a warm one gets it bears at first, how long until
    /// all, and the multiple of it, within a span, at which it falls.
    pub cold: Option<Cold>,
}

/// How much a server that starts bears.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// Which.
    pub server: usize,
    /// Since when.
    pub from: Duration,
    /// What part of a warm server's work it does at first.
    pub least: f64,
    /// When it does all.
    pub warm_up: Duration,
    /// It falls at this multiple of what it can do.
    pub falls_at: f64,
    /// Within this time.
    pub within: Duration,
}

/// What came of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Written by clients.
    pub asked: usize,
    /// Answered with 200.
    pub served: usize,
    /// Answered with 429 or 503.
    pub refused: usize,
    /// Answered otherwise.
    pub failed: usize,
    /// Open at a node that was killed, and never answered.
    pub lost: usize,
}

/// When a node could not act: killed, or standing still.
#[derive(Default)]
struct Away {
    killed: Vec<Duration>,
    paused: Vec<(Duration, Duration)>,
}

/// Holds the four rules against what was seen; what broke them, in words.
pub fn check(entries: &[Entry], rules: &Rules) -> (Sum, Vec<String>) {
    let mut breaches = Vec::new();
    let away = away(entries);
    let sum = one_answer(entries, rules, &away, &mut breaches);
    not_twice(entries, rules, &mut breaches);
    nothing_new(entries, rules, &away, &mut breaches);
    if let Some(cold) = &rules.cold {
        not_pushed(entries, cold, &mut breaches);
    }
    (sum, breaches)
}

fn away(entries: &[Entry]) -> HashMap<usize, Away> {
    let mut away: HashMap<usize, Away> = HashMap::new();
    for entry in entries {
        match &entry.what {
            What::Caused(Fault::Kill(node)) => away.entry(*node).or_default().killed.push(entry.at),
            What::Caused(Fault::Pause(node)) => {
                away.entry(*node).or_default().paused.push((entry.at, Duration::MAX));
            }
            What::Caused(Fault::Wake(node)) => {
                if let Some(last) = away.get_mut(node).and_then(|away| away.paused.last_mut()) {
                    last.1 = entry.at;
                }
            }
            _ => {}
        }
    }
    away
}

impl Away {
    /// The end of the last pause that began before `end` and was not over at `begin`, if there is one.
    fn woke(&self, begin: Duration, end: Duration) -> Option<Duration> {
        let touches = |(from, to): &&(Duration, Duration)| *from <= end && *to >= begin;
        self.paused.iter().filter(touches).map(|(_, to)| *to).max()
    }
}

/// One: exactly one final answer each, in time.
fn one_answer(
    entries: &[Entry],
    rules: &Rules,
    away: &HashMap<usize, Away>,
    breaches: &mut Vec<String>,
) -> Sum {
    let mut sum = Sum::default();
    let mut answers: HashMap<u64, Vec<(Duration, u16)>> = HashMap::new();
    for entry in entries {
        if let What::Answered { id, status } = entry.what {
            answers.entry(id).or_default().push((entry.at, status));
        }
    }
    for entry in entries {
        let What::Asked { node, id, class } = entry.what else { continue };
        sum.asked += 1;
        let due = entry.at + rules.deadline + rules.slack;
        let killed = away.get(&node).is_some_and(|a| a.killed.iter().any(|at| (entry.at..due).contains(at)));
        let due = away
            .get(&node)
            .and_then(|a| a.woke(entry.at, due))
            .map_or(due, |woke| woke.saturating_add(rules.deadline + rules.slack));
        match answers.get(&id).map_or(&[][..], |all| all) {
            [(_, 0)] | [] if killed => sum.lost += 1,
            [] => {
                breaches.push(format!("{class:?} {id:x}, asked of n{node} at {:?}, has no answer", entry.at))
            }
            [(at, 0)] => breaches
                .push(format!("{class:?} {id:x}, asked of n{node} at {:?}, was cut off at {at:?}", entry.at)),
            [(at, status)] => {
                match status {
                    200 => sum.served += 1,
                    429 | 503 => sum.refused += 1,
                    _ => sum.failed += 1,
                }
                if *at > due {
                    breaches.push(format!(
                        "{class:?} {id:x}, asked of n{node} at {:?}, was answered at {at:?}",
                        entry.at
                    ));
                }
            }
            more => breaches.push(format!("{class:?} {id:x} has {} answers", more.len())),
        }
    }
    sum
}

/// Two: no order twice, and a key's repeats in one dedup group, within its window.
fn not_twice(entries: &[Entry], rules: &Rules, breaches: &mut Vec<String>) {
    let mut came: HashMap<u64, (Duration, usize, usize)> = HashMap::new();
    for entry in entries {
        let What::Came { server, node, id, class } = entry.what else { continue };
        if class == Class::View {
            continue;
        }
        let Some((first, other, from)) = came.get(&id) else {
            came.insert(id, (entry.at, server, node));
            continue;
        };
        let same = (rules.cell)(*other) == (rules.cell)(server) && entry.at - *first <= rules.window;
        if class == Class::Order || !same {
            breaches.push(format!(
                "{class:?} {id:x} came to s{other} from n{from} at {first:?} and to s{server} from n{node} at {:?}",
                entry.at
            ));
        }
    }
}

/// Three: nothing new to a server later than a second after hearing that it drains.
fn nothing_new(entries: &[Entry], rules: &Rules, away: &HashMap<usize, Away>, breaches: &mut Vec<String>) {
    // By server and node: since when it knows that it is to send nothing there.
    let mut said: HashMap<usize, (u64, bool)> = HashMap::new();
    let mut known: HashMap<(usize, usize), Duration> = HashMap::new();
    for entry in entries {
        match entry.what {
            What::Listed { rev, server, ready } => {
                said.insert(server, (rev, ready));
                if ready {
                    known.retain(|(of, _), _| *of != server);
                }
            }
            What::Heard { node, rev } => {
                for (server, (since, ready)) in &said {
                    if !ready && rev >= *since {
                        known.entry((*server, node)).or_insert(entry.at);
                    }
                }
            }
            What::Came { server, node, id, class } => {
                let Some(heard) = known.get(&(server, node)) else { continue };
                // One that stood still reads what waits for it when it goes on.
                let heard =
                    away.get(&node).and_then(|a| a.woke(*heard, entry.at)).map_or(*heard, |w| w.max(*heard));
                if entry.at > heard + Duration::from_secs(1) + rules.slack {
                    breaches.push(format!(
                        "{class:?} {id:x} came to s{server} from n{node} at {:?}, heard of at {heard:?}",
                        entry.at
                    ));
                }
            }
            _ => {}
        }
    }
}

/// Four: a cold server is not pushed over by all nodes together.
fn not_pushed(entries: &[Entry], cold: &Cold, breaches: &mut Vec<String>) {
    let since = |entry: &Entry| entry.at.checked_sub(cold.from).map(|span| span.as_secs_f64());
    let mut warm: HashMap<usize, usize> = HashMap::new();
    let (mut got, mut end) = (Vec::new(), 0.0_f64);
    for entry in entries {
        let (What::Came { server, .. }, Some(at)) = (&entry.what, since(entry)) else { continue };
        end = end.max(at);
        if *server == cold.server {
            got.push(at);
        } else {
            *warm.entry(*server).or_default() += 1;
        }
    }
    let servers = warm.len().max(1) as f64;
    let warm = warm.values().sum::<usize>() as f64 / servers / end.max(1e-9);
    let within = cold.within.as_secs_f64();
    for from in &got {
        let came = got.iter().filter(|at| (*from..from + within).contains(at)).count() as f64;
        let part = cold.least + (1.0 - cold.least) * (from / cold.warm_up.as_secs_f64()).min(1.0);
        let able = warm * within * part;
        if came > cold.falls_at * able + 2.0 {
            breaches.push(format!("s{} got {came} from {from:.1} s on, against {able:.1}", cold.server));
        }
    }
}
