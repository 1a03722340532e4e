//! The policies of nodes: the decision module, or one of the baselines, each after its paper or public
//! description.

mod ejection;
mod oracle;
mod policy;
mod prequal;
mod selectors;

use cherryusher::{
    Action, Balancer, Class, DedupScope, Discovery, Event, Idempotency, ServerId, ServerObservation,
    Settings, SettingsError, Tenant,
};
use rand::RngCore;

use crate::Micros;
use crate::experiment::{self, Experiment, micros};
use crate::invariants::KEY_WINDOW;
use crate::simulation::ground_truth::GroundTruth;
use crate::simulation::random::{RngPurpose, generator};

pub use policy::{BaselinePolicy, ServerSelector, ServerView};

/// The names of the policies that an experiment can use.
pub const POLICY_NAMES: [&str; 11] = [
    "dunelink",
    "random",
    "round-robin",
    "least-requests",
    "p2c",
    "peak-ewma",
    "weighted-least-load",
    "subset",
    "outlier-ejection",
    "prequal",
    "oracle",
];

/// A load-balancing policy of a node. It is deterministic: the same events and server states give the same
/// actions.
pub trait Policy {
    /// Handles an event and adds the resulting actions to `out`. `truth` is only for baselines that probe
    /// servers and for the oracle.
    fn handle(&mut self, now: Micros, event: Event, truth: &GroundTruth<'_>, out: &mut Vec<Action>);

    /// The policy's own observations of servers, which nodes gossip. The default has none.
    fn server_observations(&self, _now: Micros) -> Vec<ServerObservation> {
        Vec::new()
    }
}

impl Policy for Balancer {
    fn handle(&mut self, now: Micros, event: Event, _: &GroundTruth<'_>, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }

    fn server_observations(&self, now: Micros) -> Vec<ServerObservation> {
        Balancer::observations(self, now)
    }
}

/// The id of a server by its index: spread over the range as hashed names are.
pub(crate) fn server_id(number: usize) -> ServerId {
    (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 2
}

/// The settings of the decision module at a node.
pub fn settings(e: &Experiment, rank: u32) -> Settings {
    let effect = |effect: experiment::Effect| match effect {
        experiment::Effect::Safe => Idempotency::Idempotent,
        experiment::Effect::Keyed => {
            Idempotency::Deduplicated { scope: DedupScope::Cell, window: KEY_WINDOW }
        }
        experiment::Effect::Unsafe => Idempotency::NonIdempotent,
    };
    let class = |class: &experiment::Class| Class {
        target_latency: micros(class.aim),
        target_latency_per_work: 0.0,
        deadline: micros(class.deadline),
        value: class.worth,
        late_value_fraction: class.late_worth,
        idempotency: effect(class.effect),
    };
    let tenants = f64::from(e.tenants.count.max(1));
    let tenant = Tenant { quota_per_s: e.quota_per_s(), share: 1.0 / tenants };
    Settings {
        balancers: e.nodes.count,
        rank,
        zone: (rank % u32::from(e.servers.zones)) as u8,
        classes: e.classes.iter().map(class).collect(),
        tenants: vec![tenant; e.tenants.count as usize],
        over_quota_value: e.tenants.over_share_worth,
        max_attempts: e.nodes.attempts,
        cancelling: e.nodes.cancelling,
        hedging: e.nodes.copies,
        key_affinity: false,
        cross_zone_price: 0.0,
        live_weights: false,
        discovery: Discovery::Pushed,
        cold_capacity: e.servers.cold_from,
        warm_up: micros(e.servers.warm_up),
        overload_factor: if e.servers.falls_at > 0.0 { e.servers.falls_at } else { 3.0 },
        timer_resolution: 5_000,
        max_retry_after: micros(e.nodes.retry_after),
        labels: e.nodes.labels,
        min_pool_size: e.nodes.pool_min,
    }
}

/// Creates the policy with this name for a node. An unknown name gives random selection; experiments with
/// unknown names are already rejected when they are read.
///
/// # Errors
///
/// Fails if the decision module rejects its settings.
pub fn create_policy(
    name: &str,
    e: &Experiment,
    seed: u64,
    rank: u32,
) -> Result<Box<dyn Policy>, SettingsError> {
    let mut rng = generator(seed, RngPurpose::Policies, u64::from(rank));
    let settings = settings(e, rank);
    if name == "dunelink" {
        return Ok(Box::new(Balancer::new(settings, rng.next_u64())?));
    }
    let selector: Box<dyn ServerSelector> = match name {
        "round-robin" => Box::new(selectors::RoundRobin::default()),
        "least-requests" => Box::new(selectors::LeastRequests { weighted: false }),
        "p2c" => Box::new(selectors::TwoChoices),
        "peak-ewma" => Box::new(selectors::PeakEwma::default()),
        "weighted-least-load" => Box::new(selectors::LeastRequests { weighted: true }),
        "subset" => Box::new(selectors::Subset::new(rank, e.nodes.count, e.nodes.subset)),
        "outlier-ejection" => Box::new(ejection::OutlierEjection::default()),
        "prequal" => Box::new(prequal::Prequal::new(4 * micros(e.network.delay))),
        "oracle" => Box::new(oracle::Oracle { work: micros(e.servers.time) as f64 }),
        _ => Box::new(selectors::Random),
    };
    Ok(Box::new(BaselinePolicy::new(settings, rng, selector)))
}
