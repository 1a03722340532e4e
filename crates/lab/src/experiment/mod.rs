//! Experiments: the simulated system, a time line of faults, the policies to compare, sweeps over any key,
//! and seeds.

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

/// An error in an experiment.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}{key}: expected {expected}", line.map(|line| format!("line {line}: ")).unwrap_or_default())]
pub struct ExperimentError {
    /// The line number from 1; `None` if it is not known.
    pub line: Option<usize>,
    /// The dotted key.
    pub key: String,
    /// The expected value.
    pub expected: String,
}

impl ExperimentError {
    /// Creates an error about a key.
    pub fn of(key: impl Into<String>, expected: impl Into<String>) -> ExperimentError {
        ExperimentError { line: None, key: key.into(), expected: expected.into() }
    }
}

/// An experiment, as read from its file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Experiment {
    /// The name in reports.
    pub name: String,
    /// A description of its purpose.
    pub about: String,
    /// The simulated time during which calls arrive.
    #[serde(with = "humantime_serde")]
    pub span: Duration,
    /// The warm-up time at the start that is excluded from the metrics.
    #[serde(with = "humantime_serde")]
    pub settle: Duration,
    /// The seeds of random numbers; each gives a run.
    pub seeds: Vec<u64>,
    /// The nodes, which balance the load.
    pub nodes: Nodes,
    /// The clients.
    pub clients: Clients,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants that send requests.
    pub tenants: Tenants,
    /// The servers.
    pub servers: Servers,
    /// The propagation of the server list to nodes.
    pub list: List,
    /// The network.
    pub network: Network,
    /// The faults and their times.
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
    /// The policies to compare.
    pub compare: Vec<Variant>,
    /// The keys to vary, each with its values; all combinations are run.
    pub sweep: BTreeMap<String, Vec<toml::Value>>,
}

/// The nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Nodes {
    /// The number of nodes.
    pub count: u32,
    /// The maximum number of attempts per request.
    pub attempts: u16,
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Whether requests may be hedged: a second attempt sent while the first is in flight.
    pub copies: bool,
    /// The number of labels that tenants are hashed to.
    pub labels: u16,
    /// The minimum number of servers in a label's pool.
    pub pool_min: u16,
    /// The maximum `Retry-After` sent to clients.
    #[serde(with = "humantime_serde")]
    pub retry_after: Duration,
    /// The size of a node's subset of servers with the `subset` policy.
    pub subset: usize,
    /// Whether nodes gossip about their membership and suspected servers.
    pub gossip: bool,
    /// The maximum number of gossip bytes that a node sends per second.
    pub gossip_ceiling: u32,
}

/// The clients of all nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Calls per second, at all nodes together; ignored with `loops`.
    pub rate: f64,
    /// The arrival process.
    pub arrivals: Arrivals,
    /// Pairs of a time in seconds and the factor of the rate at it, interpolated linearly, such as a day's
    /// curve. Empty for a constant rate.
    pub curve: Vec<(f64, f64)>,
    /// The number of closed-loop clients, each of which waits for its reply and thinks before the next call;
    /// 0 for open-loop arrivals.
    pub loops: u32,
    /// The mean think time.
    #[serde(with = "humantime_serde")]
    pub think: Duration,
    /// The maximum number of retries of a call that was refused, or failed and is safe.
    pub retries: u32,
    /// The backoff before the first retry, doubled for each further one, with jitter over its upper half.
    #[serde(with = "humantime_serde")]
    pub backoff: Duration,
    /// The fraction of clients that obey `Retry-After`.
    pub heed: f64,
}

/// The tenants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tenants {
    /// The number of tenants; if 0, requests have no tenant.
    pub count: u32,
    /// The exponent of the Zipf distribution of requests over tenants; 0 for a uniform distribution.
    pub skew: f64,
    /// The quota of each tenant, as a multiple of an equal share of the rate.
    pub quota: f64,
    /// The factor of the worth of a request over its tenant's quota.
    pub over_share_worth: f64,
}

/// The servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Servers {
    /// The number of servers.
    pub count: u32,
    /// The number of zones; servers are assigned round robin.
    pub zones: u8,
    /// The number of cells, within which servers share idempotency keys; servers are assigned round robin.
    pub cells: u16,
    /// The number of requests that a server executes at full speed.
    pub cores: u32,
    /// Whether a server executes all requests at once, each slower (processor sharing), or queues the rest in
    /// order.
    pub shares: bool,
    /// The maximum number of queued requests, or of running ones with `shares`; more are rejected.
    pub queue: usize,
    /// The mean execution time of a request that is alone on a server of speed 1.
    #[serde(with = "humantime_serde")]
    pub time: Duration,
    /// The distribution of the execution time.
    pub shape: WorkDistribution,
    /// The speeds of servers, assigned round robin.
    pub speeds: Vec<f64>,
    /// Whether the server list has the speeds as weights.
    pub weights: bool,
    /// The fraction of full speed right after a server's start.
    pub cold_from: f64,
    /// The time from a start to full speed.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// The multiple of its capacity over 2 s at which a server crashes from overload; 0 for never.
    pub falls_at: f64,
    /// The downtime after a crash from overload.
    #[serde(with = "humantime_serde")]
    pub down: Duration,
}

/// The propagation of the server list to nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct List {
    /// The mean delay of an update; exponentially distributed, independent for each node.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// The fraction of updates that are lost; the node then gets the change with the next full list.
    pub loss: f64,
    /// The mean interval between full lists.
    #[serde(with = "humantime_serde")]
    pub whole_every: Duration,
    /// The fraction of nodes whose updates are delayed ten times as long.
    pub laggards: f64,
}

/// The network between clients, nodes and servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// The minimum one-way delay.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// The mean of the random additional delay; exponentially distributed.
    #[serde(with = "humantime_serde")]
    pub jitter: Duration,
    /// The fraction of attempts whose connection is refused.
    pub refused: f64,
    /// The fraction of executed attempts whose reply is lost by a connection reset.
    pub resets: f64,
    /// The timeout of connecting to a server.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
}

/// A policy to compare, with changed settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// The name of the policy: one of [`crate::baselines::POLICY_NAMES`].
    pub policy: String,
    /// The name in reports; the policy's name if empty.
    #[serde(default)]
    pub name: String,
    /// Keys of the experiment with other values for this variant.
    #[serde(default)]
    pub set: BTreeMap<String, toml::Value>,
}

/// A duration in whole microseconds.
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
    /// The quota of each tenant in requests per second, over all nodes.
    pub(crate) fn quota_per_s(&self) -> f64 {
        self.tenants.quota * self.clients.rate / f64::from(self.tenants.count.max(1))
    }

    /// Parses and checks an experiment.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid TOML or has an invalid key or value.
    pub fn from_toml(text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment = toml::from_str(text).map_err(|error| ExperimentError {
            line: error.span().map(|span| check::line_at(text, span.start)),
            key: error.span().map(|span| check::key_at(text, span.start)).unwrap_or_default(),
            expected: format!("something else ({})", error.message().trim()),
        })?;
        // The cases are checked as well, because a sweep may contain invalid values.
        experiment
            .check()
            .and_then(|()| experiment.cases().map(drop))
            .map_err(|error| ExperimentError { line: check::line_of(text, &error.key), ..error })?;
        Ok(experiment)
    }
}
