//! The enums and parameter types of experiments.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The arrival process of open-loop calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Arrivals {
    /// A Poisson process.
    #[default]
    Poisson,
    /// At constant intervals.
    Even,
    /// In bursts of ten simultaneous calls; the bursts are a Poisson process.
    Bursts,
}

/// The distribution of the work of requests about its mean.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum WorkDistribution {
    /// Constant.
    Even,
    /// Exponential.
    Exponential,
    /// Lognormal.
    Lognormal {
        /// The standard deviation of the logarithm.
        sigma: f64,
    },
    /// Two values: most requests are short, some are long.
    Bimodal {
        /// The fraction of long requests.
        part: f64,
        /// The factor by which they are longer.
        times: f64,
    },
    /// Pareto: a few requests are very long.
    Pareto {
        /// The exponent, greater than 1.
        alpha: f64,
    },
    /// A recorded histogram of relative lengths.
    Recorded {
        /// Pairs of a length and its count.
        counts: Vec<(f64, f64)>,
    },
}

/// The effect of running a request more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Repeats are harmless.
    #[default]
    Safe,
    /// The servers of a cell deduplicate repeats for 10 s.
    Keyed,
    /// It must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// The name in reports.
    pub name: String,
    /// The effect of running a request more than once.
    pub effect: Effect,
    /// The relative share of calls that are of this class.
    pub part: f64,
    /// The factor of the mean work of its requests.
    pub work: f64,
    /// The target latency; a reply within it earns the full worth.
    #[serde(with = "humantime_serde")]
    pub aim: Duration,
    /// The time after which the client gives up.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// The worth of a reply within the target latency.
    pub worth: f64,
    /// The fraction of the worth that a later reply earns.
    pub late_worth: f64,
}

impl Default for Class {
    fn default() -> Class {
        Class {
            name: "view".into(),
            effect: Effect::Safe,
            part: 1.0,
            work: 1.0,
            aim: Duration::from_millis(300),
            deadline: Duration::from_secs(2),
            worth: 1.0,
            late_worth: 0.2,
        }
    }
}

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultKind {
    /// Servers accept requests but make no progress.
    Stall,
    /// The speed of servers is multiplied by `factor`.
    Slow,
    /// Servers crash and lose their requests; they start cold at the end.
    Crash,
    /// Servers drain and then stop; they start cold at the end.
    Drain,
    /// Nodes (`nodes`) can't reach servers.
    Partition,
    /// Nodes (`nodes`) can't reach the other nodes, nor these them.
    Cut,
    /// Nodes (`nodes`) get no updates of the server list.
    Silence,
    /// The fraction `factor` of the attempts at servers run, but their connections are reset.
    Resets,
    /// The arrival rate is multiplied by `factor`.
    Burst,
    /// The clocks of nodes (`nodes`) jump ahead by `factor` seconds and stay ahead.
    Clock,
}

/// Selects servers or nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum TargetSelector {
    /// This fraction of them, drawn at random.
    Part(f64),
    /// Those of a zone; nodes are assigned to zones round robin, like servers.
    Zone(u8),
    /// These, by index.
    These(Vec<u32>),
}

/// A fault for a limited time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The start, from the start of the run.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// The duration.
    #[serde(rename = "for", with = "humantime_serde")]
    pub duration: Duration,
    /// How much of it; see [`FaultKind`].
    #[serde(default = "one")]
    pub factor: f64,
    /// The affected servers; all by default.
    #[serde(default = "all")]
    pub servers: TargetSelector,
    /// The affected nodes; all by default.
    #[serde(default = "all")]
    pub nodes: TargetSelector,
}

fn one() -> f64 {
    1.0
}

fn all() -> TargetSelector {
    TargetSelector::Part(1.0)
}
