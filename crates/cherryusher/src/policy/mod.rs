//! The decisions of one node. Settings, events and actions are in `api.rs`.
//! A tenant's label names a small pool of servers. Of two random members, the one with fewer of this node's
//! own attempts in flight gets the request. The other modules refine that:
//!
//! `pools` assigns servers to pools, `pick` selects a server, `admission` admits and queues requests,
//! `attempts` sends, retries, hedges and gives up, `feedback` learns from outcomes and ejects servers,
//! `peer_health` reports this node's view of servers and applies the suspicions of other nodes.

mod admission;
mod attempts;
mod feedback;
mod peer_health;
mod pick;
mod pools;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use crate::api::*;
use crate::state::*;

/// The token of the timer that subscribes again. No request has one of these numbers as its id.
const DISCOVERY_TIMER: u64 = u64::MAX;
/// The token of the timer that looks at the queues again.
const QUEUE_TIMER: u64 = u64::MAX - 1;
/// The token of the timer that rebuilds the pools.
const POOL_TIMER: u64 = u64::MAX - 2;
/// The upper bound of the first wait after a failed call to discovery, for few nodes. It doubles each time.
const DISCOVERY_BACKOFF: Micros = 1_000_000;
/// The longest wait, for few nodes: a list change counts as delivered in time if it arrives within 6 s after
/// discovery can be reached, and a call may wait 2 s for its turn.
const MAX_DISCOVERY_BACKOFF: Micros = 4_000_000;
/// The time per call of a discovery service; the first wait leaves enough for a call of each node in turn.
const DISCOVERY_CALL_TIME: Micros = 50_000;
/// A server's initial concurrency limit for the attempts of all nodes together; it never falls below this.
const MIN_LIMIT: f64 = 2.0;
/// The smallest burst of a tenant at one node: a tenant's requests are spread unevenly over the nodes.
const MIN_BURST: f64 = 4.0;
/// The lowest and the highest latency ratio of a server.
const LATENCY_RATIOS: (f64, f64) = (0.5, 4.0);
/// A pool accepts requests of other pools while less than this part of its capacity is in use.
const LENDING_FILL: f64 = 0.5;
/// An answer is expected within this multiple of the median latency, which half of all answers exceed.
const LATENCY_MARGIN: f64 = 1.5;
/// The relative step by which one outcome changes a learned value.
const STEP: f64 = 0.05;

/// The decision module of one node.
pub struct Balancer {
    settings: Settings,
    now: Micros,
    actions: Vec<Action>,
    random: fastrand::Rng,
    /// The salt with which tenants are hashed to labels, and the sum of the tenants' shares by label.
    salt: u64,
    label_shares: Vec<f64>,
    /// Servers by slot, the slots by server id, and the free slots.
    pub(crate) servers: Vec<Server>,
    slots: HashMap<ServerId, usize>,
    free_slots: Vec<usize>,
    kind_sizes: BTreeMap<u8, f64>,
    /// One pool per label, the unlabelled pool, and the pool of all ready servers.
    pools: Vec<Pool>,
    /// When the pools were last built, and whether the server list has changed since.
    built_at: Micros,
    stale: bool,
    rebuild_scheduled: bool,
    /// When the contributions of servers change through time alone, and the servers' slots.
    updates: BinaryHeap<Reverse<(Micros, usize)>>,
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    queues: Vec<Vec<RequestInfo>>,
    buckets: Vec<TokenBucket>,
    latencies: Vec<LatencyEstimate>,
    queueing_delay: QueueingDelay,
    /// The concurrency limit of a server of mean size, for the attempts of all nodes together.
    limit: f64,
    /// The baseline latencies of answers within quotas; their rate is the concurrency needed.
    needed: DecayingSum,
    discovery_failures: u32,
    /// The recent part of hedged requests whose first answer came from a later attempt.
    hedge_wins: f64,
    /// Whether the last report of other nodes named any suspicion, and when suspicions last changed.
    any_suspicion: bool,
    suspicions_at: Micros,
    queue_timer_set: bool,
    pub(crate) examined: u64,
}

impl Balancer {
    /// Creates a node's decision module. Its first event should be the server list that the node last had.
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        settings.check()?;
        let latencies =
            settings.classes.iter().map(|c| LatencyEstimate::guess(c.target_latency as f64 / 4.0)).collect();
        let rate = |t: &Tenant| t.quota_per_s / f64::from(settings.balancers);
        let buckets =
            settings.tenants.iter().map(|t| TokenBucket::full(rate(t), rate(t).max(MIN_BURST))).collect();
        let labels = usize::from(settings.labels);
        // Of 64 salts, the one that spreads the tenants' shares most evenly over the labels.
        let largest = |s: &u64| pools::label_shares(&settings, *s).into_iter().fold(0.0, f64::max);
        let salt = (0..64).min_by(|a, b| largest(a).total_cmp(&largest(b))).unwrap_or(0);
        Ok(Balancer {
            now: 0,
            actions: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            salt,
            label_shares: pools::label_shares(&settings, salt),
            servers: Vec::new(),
            slots: HashMap::new(),
            free_slots: Vec::new(),
            kind_sizes: BTreeMap::new(),
            pools: (0..labels + 2).map(|_| Pool::default()).collect(),
            built_at: 0,
            stale: false,
            rebuild_scheduled: false,
            updates: BinaryHeap::new(),
            requests: BTreeMap::new(),
            queues: vec![Vec::new(); labels + 1],
            buckets,
            latencies,
            queueing_delay: QueueingDelay::default(),
            limit: MIN_LIMIT,
            needed: DecayingSum::default(),
            discovery_failures: 0,
            hedge_wins: 0.0,
            any_suspicion: false,
            suspicions_at: 0,
            queue_timer_set: false,
            examined: 0,
            settings,
        })
    }

    /// Processes an event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        // If the clock runs backwards, time differences must not wrap around.
        self.now = self.now.max(now);
        self.apply_updates();
        match event {
            Event::ServerList(list) => self.list_changed(list, true),
            Event::ServerChanges(list) => self.list_changed(list, false),
            Event::CachedServerList(list) => {
                self.list_changed(list, true);
                self.subscribe();
            }
            Event::DiscoveryFailed => self.subscribe_later(),
            Event::RequestArrived(request) => self.request_arrived(request, None),
            Event::StreamedRequestArrived(request, upload) => self.request_arrived(request, Some(upload)),
            Event::BodyReceived(id, remaining) => self.body_received(id, remaining),
            Event::BodyConsumed(id) => self.update_request(id, |req| req.body_consumed = true),
            Event::ClientLeft(id) => self.finish(id),
            Event::ResponseStreamStarted(id, attempt) => {
                self.update_request(id, |req| req.finished = true);
                self.cancel_attempts(id, Some(attempt));
            }
            Event::AttemptEnded(end) => self.attempt_ended(end),
            Event::PeerSuspicions(suspicions) => self.set_suspicions(&suspicions),
            Event::FleetChanged { balancers, rank } => self.fleet_changed(balancers, rank),
            Event::TimerFired(DISCOVERY_TIMER) => self.subscribe(),
            Event::TimerFired(QUEUE_TIMER) => {
                self.queue_timer_set = false;
                self.dispatch();
            }
            Event::TimerFired(POOL_TIMER) => {
                self.rebuild_scheduled = false;
                self.rebuild_if_due();
                self.dispatch();
            }
            Event::TimerFired(id) => self.check_request(id),
        }
        actions.append(&mut self.actions);
    }

    fn subscribe(&mut self) {
        let by_subscription = self.settings.discovery != Discovery::Pushed;
        self.actions.extend(by_subscription.then_some(Action::Subscribe));
    }

    /// Subscribes again after a random wait whose upper bound doubles with each failure: nodes that failed at
    /// the same time come back spread over the range, so that a small service is neither idle nor overloaded.
    /// The wait stays below the longest interval that the settings allow.
    fn subscribe_later(&mut self) {
        let Discovery::Subscribed { max_retry_interval } = self.settings.discovery else { return };
        let longest = DISCOVERY_BACKOFF.max(DISCOVERY_CALL_TIME * u64::from(self.settings.balancers));
        let max = MAX_DISCOVERY_BACKOFF.max(longest / 2 * 3).min(max_retry_interval / 4 * 3);
        let longest = (longest << self.discovery_failures.min(3)).min(max).max(8);
        self.discovery_failures += 1;
        let least = longest / 8;
        self.actions.push(Action::SetTimer {
            after: least + self.random.u64(..longest - least),
            token: DISCOVERY_TIMER,
        });
    }

    fn update_request(&mut self, id: RequestId, update: impl FnOnce(&mut OpenRequest)) {
        self.requests.get_mut(&id).map(update);
    }
}
