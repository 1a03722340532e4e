//! What is tried: a world, a time line of troubles, the policies to compare, sweeps over any key, seeds.

mod cases;
mod check;
mod kinds;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use cases::Case;
pub use kinds::{Arrivals, Class, Effect, Fault, FaultKind, TargetSelector, WorkDistribution};

use crate::Micros;

/// What is wrong with an experiment.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}{key}: expected {expected}", line.map(|line| format!("line {line}: ")).unwrap_or_default())]
pub struct ExperimentError {
    /// The line, from 1, where it is known.
    pub line: Option<usize>,
    /// The key.
    pub key: String,
    /// What was expected there.
    pub expected: String,
}

impl ExperimentError {
    /// A problem with a key.
    pub fn of(key: impl Into<String>, expected: impl Into<String>) -> ExperimentError {
        ExperimentError { line: None, key: key.into(), expected: expected.into() }
    }
}

/// An experiment, as its file says it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it asks.
    pub about: String,
    /// For how long requests come.
    #[serde(with = "humantime_serde")]
    pub span: Duration,
    /// For how long from the start nothing is counted.
    #[serde(with = "humantime_serde")]
    pub settle: Duration,
    /// For random numbers: a run for each.
    pub seeds: Vec<u64>,
    /// The nodes that share the work.
    pub nodes: Nodes,
    /// Who asks.
    pub clients: Clients,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// Whom requests come from.
    pub tenants: Tenants,
    /// Who answers.
    pub servers: Servers,
    /// How nodes hear of servers.
    pub list: List,
    /// What lies between them.
    pub network: Network,
    /// What goes wrong, and when.
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
    /// What is compared.
    pub compare: Vec<Variant>,
    /// Keys, and the values that each of them takes in turn.
    pub sweep: BTreeMap<String, Vec<toml::Value>>,
}

/// The nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Nodes {
    /// How many.
    pub count: u32,
    /// The most attempts of a request.
    pub attempts: u16,
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Whether a second attempt may be out beside the first.
    pub copies: bool,
    /// How many labels tenants are hashed to.
    pub labels: u16,
    /// The least servers of a label's pool.
    pub pool_min: u16,
    /// The longest that clients are asked to stay away.
    #[serde(with = "humantime_serde")]
    pub retry_after: Duration,
    /// How many servers a node of the `subset` policy keeps to.
    pub subset: usize,
    /// Whether they gossip: who is there, and which servers they suspect.
    pub gossip: bool,
    /// The most bytes of that which a node sends in any second.
    pub gossip_ceiling: u32,
}

/// The clients of all nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Requests a second, all nodes together; with `loops`, nothing.
    pub rate: f64,
    /// How they come.
    pub arrivals: Arrivals,
    /// Multiples of the rate at times, with straight lines between: a day's curve. Nothing for an even rate.
    pub curve: Vec<(f64, f64)>,
    /// Closed loop: so many clients, each of which waits for its answer before it thinks and asks again.
    pub loops: u32,
    /// How long they think, on average.
    #[serde(with = "humantime_serde")]
    pub think: Duration,
    /// How often a request that was refused, or failed harmlessly, is asked again.
    pub retries: u32,
    /// How long they wait before they do, doubled each time, at random from half of it on.
    #[serde(with = "humantime_serde")]
    pub backoff: Duration,
    /// The part of them that heed `Retry-After`.
    pub heed: f64,
}

/// The tenants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tenants {
    /// How many; with none, requests have no tenant.
    pub count: u32,
    /// How uneven they are: the part of the k-th is k to the minus this. 0 for even.
    pub skew: f64,
    /// The share of each, as a multiple of an even part of the rate.
    pub quota: f64,
    /// What a request beyond its tenant's share is worth, as a part of what it else is.
    pub over_share_worth: f64,
}

/// The servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Servers {
    /// How many.
    pub count: u32,
    /// How many zones they are in, in turn.
    pub zones: u8,
    /// How many cells that know each other's keys, in turn.
    pub cells: u16,
    /// How many requests one works on at full speed.
    pub cores: u32,
    /// Whether it works on all that it has at once, each the slower (processor sharing), or keeps the rest in order.
    pub shares: bool,
    /// How many may wait, or with `shares` be there; more are turned away.
    pub queue: usize,
    /// How long a request takes alone on a server of speed 1.
    #[serde(with = "humantime_serde")]
    pub time: Duration,
    /// How that varies.
    pub shape: WorkDistribution,
    /// Their speeds, in turn.
    pub speeds: Vec<f64>,
    /// Whether the list tells of the speeds, as weights.
    pub weights: bool,
    /// The part of its speed that a server starts with.
    pub cold_from: f64,
    /// Until it has all of it.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// A server that is sent this multiple of what it can do, over 2 s, falls over; 0 for never.
    pub falls_at: f64,
    /// For how long it is down then.
    #[serde(with = "humantime_serde")]
    pub down: Duration,
}

/// How the list of servers reaches nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct List {
    /// How long a change takes on average; exponential, for each node by itself.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// The part of changes that a node never hears of, until the whole list comes.
    pub loss: f64,
    /// How often the whole list comes.
    #[serde(with = "humantime_serde")]
    pub whole_every: Duration,
    /// The part of nodes that hear ten times as late as the others.
    pub laggards: f64,
}

/// What lies between nodes, servers and clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// One way.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// What is added at random, on average; exponential.
    #[serde(with = "humantime_serde")]
    pub jitter: Duration,
    /// The part of attempts whose connection is refused.
    pub refused: f64,
    /// The part of attempts that ran and whose answer is lost with the connection.
    pub resets: f64,
    /// How long a connection is tried for.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
}

/// A policy to compare, with what is different for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// TargetSelector policy: see [`crate::baselines::POLICY_NAMES`].
    pub policy: String,
    /// What it is called in the report; the policy's name if empty.
    #[serde(default)]
    pub name: String,
    /// Keys that have other values for it.
    #[serde(default)]
    pub set: BTreeMap<String, toml::Value>,
}

/// A span in whole microseconds.
pub(crate) fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

impl Default for Experiment {
    fn default() -> Experiment {
        Experiment {
            name: "unnamed".into(),
            about: String::new(),
            span: Duration::from_secs(60),
            settle: Duration::ZERO,
            seeds: vec![1],
            nodes: Nodes::default(),
            clients: Clients::default(),
            classes: vec![Class::default()],
            tenants: Tenants::default(),
            servers: Servers::default(),
            list: List::default(),
            network: Network::default(),
            faults: Vec::new(),
            compare: Vec::new(),
            sweep: BTreeMap::new(),
        }
    }
}

impl Default for Nodes {
    fn default() -> Nodes {
        Nodes {
            count: 1,
            attempts: 3,
            cancelling: true,
            copies: true,
            labels: 2,
            pool_min: 4,
            retry_after: Duration::ZERO,
            subset: 20,
            gossip: false,
            gossip_ceiling: 16 * 1024,
        }
    }
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            rate: 100.0,
            arrivals: Arrivals::Poisson,
            curve: Vec::new(),
            loops: 0,
            think: Duration::from_secs(1),
            retries: 0,
            backoff: Duration::from_millis(500),
            heed: 1.0,
        }
    }
}

impl Default for Tenants {
    fn default() -> Tenants {
        Tenants { count: 0, skew: 0.0, quota: 2.0, over_share_worth: 0.1 }
    }
}

impl Default for Servers {
    fn default() -> Servers {
        Servers {
            count: 10,
            zones: 1,
            cells: 1,
            cores: 1,
            shares: false,
            queue: 100,
            time: Duration::from_millis(20),
            shape: WorkDistribution::Exponential,
            speeds: vec![1.0],
            weights: false,
            cold_from: 0.12,
            warm_up: Duration::from_secs(20),
            falls_at: 3.0,
            down: Duration::from_secs(5),
        }
    }
}

impl Default for List {
    fn default() -> List {
        List {
            delay: Duration::from_millis(100),
            loss: 0.0,
            whole_every: Duration::from_secs(30),
            laggards: 0.0,
        }
    }
}

impl Default for Network {
    fn default() -> Network {
        Network {
            delay: Duration::from_micros(200),
            jitter: Duration::from_micros(50),
            refused: 0.0,
            resets: 0.0,
            connect_timeout: Duration::from_millis(500),
        }
    }
}

impl Experiment {
    /// How many requests a second are within the share of each tenant, over all nodes.
    pub(crate) fn quota_per_s(&self) -> f64 {
        self.tenants.quota * self.clients.rate / f64::from(self.tenants.count.max(1))
    }

    /// Reads an experiment, and checks it.
    pub fn from_toml(text: &str) -> Result<Experiment, ExperimentError> {
        let read: Experiment = toml::from_str(text).map_err(|error| ExperimentError {
            line: error.span().map(|span| check::line_at(text, span.start)),
            key: error.span().map(|span| check::key_at(text, span.start)).unwrap_or_default(),
            expected: format!("something else ({})", error.message().trim()),
        })?;
        // What cases say is checked as well: a sweep may lead to values that can't be.
        read.check()
            .and_then(|()| read.cases().map(drop))
            .map_err(|problem| ExperimentError { line: check::line_of(text, &problem.key), ..problem })?;
        Ok(read)
    }
}
