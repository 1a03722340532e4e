//! The parts of an experiment that come in kinds.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How open-loop requests come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Arrivals {
    /// Each by itself: a Poisson process.
    #[default]
    Poisson,
    /// At even distances.
    Even,
    /// In bursts of ten at the same moment; these are a Poisson process.
    Bursts,
}

/// How the work of a request varies about its mean.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum WorkDistribution {
    /// Always the same.
    Even,
    /// Exponential.
    Exponential,
    /// Lognormal.
    Lognormal {
        /// The deviation of its logarithm.
        sigma: f64,
    },
    /// Most take little, some take much.
    Bimodal {
        /// The part that takes much.
        part: f64,
        /// How many times as long those take.
        times: f64,
    },
    /// Pareto: few are very long.
    Pareto {
        /// Its exponent, over 1.
        alpha: f64,
    },
    /// From a recorded histogram: lengths against each other, and how often each is met.
    Recorded {
        /// Pairs of length and count.
        counts: Vec<(f64, f64)>,
    },
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Repeats do no harm.
    #[default]
    Safe,
    /// The servers of a cell drop repeats for 10 s.
    Keyed,
    /// It must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Whether a request may run again.
    pub effect: Effect,
    /// How much of the requests it is, against the others.
    pub part: f64,
    /// How many times as much work as the mean a request is.
    pub work: f64,
    /// An answer within this time earns all.
    #[serde(with = "humantime_serde")]
    pub aim: Duration,
    /// The client's whole wait.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// What an answer in time is worth.
    pub worth: f64,
    /// The share of that which a late one earns.
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

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultKind {
    /// Servers take requests and do nothing.
    Stall,
    /// Servers do `factor` of their speed.
    Slow,
    /// Servers are gone at once with all that they have, and start cold at the end.
    Crash,
    /// Servers drain, and are gone after that; they start cold at the end.
    Drain,
    /// Nodes (`nodes`) can't reach servers.
    Partition,
    /// Nodes (`nodes`) can't reach the other nodes, nor these them.
    Cut,
    /// Nodes (`nodes`) hear nothing of the list.
    Silence,
    /// `factor` of the attempts at servers run and lose their connection.
    Resets,
    /// `factor` times as many requests come.
    Burst,
    /// The clocks of nodes (`nodes`) jump ahead by `factor` seconds, and stay there.
    Clock,
}

/// TargetSelector servers, or nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum TargetSelector {
    /// This part of them, drawn at random.
    Part(f64),
    /// Those of a zone; nodes are in zones in turn as servers are.
    Zone(u8),
    /// These, by number.
    These(Vec<u32>),
}

/// Something that goes wrong for a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// When it begins.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// How long it lasts.
    #[serde(rename = "for", with = "humantime_serde")]
    pub duration: Duration,
    /// How much of it; see [`FaultKind`].
    #[serde(default = "one")]
    pub factor: f64,
    /// TargetSelector servers; all if it does not say.
    #[serde(default = "all")]
    pub servers: TargetSelector,
    /// TargetSelector nodes; all if it does not say.
    #[serde(default = "all")]
    pub nodes: TargetSelector,
}

fn one() -> f64 {
    1.0
}

fn all() -> TargetSelector {
    TargetSelector::Part(1.0)
}
