//! What all parts of the process share. One thread runs them all.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dunelink_grants::{ApplyOutcome, QuotaBounds, QuotaGate, RetryBounds, RetryBudget};
use dunelink_protocol::{
    GrantUpdate, Heartbeat, NodeLoads, PROMPT_UNIT_TOKENS, ProxyReport, ServerLoad, ServerObservation,
    ServerSuspicion, server_key,
};
use dunelink_routing::{Router, RouterSettings, ServerInfo};
use dunelink_runtime::Clock;
use dunelink_settings::Boot;
use slog::Logger;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::configuration::Configuration;
use crate::leaving::Leaving;
use crate::open_requests::OpenRequests;
use crate::upstream::Pool;

/// A configuration is known to be current while the agent's proof of that is younger than this, in milliseconds.
const CONFIRMED_WITHIN_MS: u64 = 1_000;
/// Descriptors that the platform keeps for files.
const RESERVED_FDS: u64 = 200;
/// Descriptors taken to be there where the settings name none.
const DEFAULT_FDS: u64 = 1_024;
/// Part of the descriptors that clients' connections may take.
const CLIENT_PART: f64 = 0.6;
/// One report of so many tells the load of every server. The reports of that time, 2 s, are what a leader waits for.
const WHOLE_LOADS_EACH: u32 = 13;

/// State of the process.
pub struct Node {
    /// Settings at the start.
    pub boot: Boot,
    /// Where events go.
    pub log: Logger,
    /// The steady clock.
    pub clock: Clock,
    /// Which server takes a request.
    pub router: RefCell<Router>,
    /// Quotas of tenants.
    pub quota: RefCell<QuotaGate>,
    incarnation: u64,
    /// Bound on repeats.
    pub retries: RefCell<RetryBudget>,
    /// Connections to servers.
    pub pool: Rc<Pool>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    confirmed: Cell<bool>,
    ready_servers: Cell<usize>,
    leaving: Cell<Option<Leaving>>,
    /// Requests that were read and whose answer is not written yet.
    pub open_requests: Rc<OpenRequests>,
    observations: RefCell<HashMap<String, (u32, u32)>>,
    /// Told when a report had better not wait for its time.
    pub report_wanted: Notify,
    /// Reports until the next one that tells the load of every server.
    reports_to_whole_loads: Cell<u32>,
}

impl Node {
    /// A node that holds nothing yet.
    pub fn new(boot: Boot, log: Logger) -> Rc<Self> {
        let bounds = &boot.bounds;
        let quota = QuotaBounds {
            window_s: bounds.quota_window_s,
            overshoot: bounds.quota_overshoot,
            slack: bounds.quota_slack,
        };
        let retry = RetryBounds {
            ratio: bounds.retry_ratio,
            window_s: bounds.retry_window_s,
            slack: bounds.retry_slack,
        };
        let router = Router::new(RouterSettings { zone: boot.zone.clone() }, fastrand::u64(..));
        let incarnation = fastrand::u64(..);
        let clock = Clock::start();
        let gate = QuotaGate::new(quota, incarnation, clock.now());
        let servers = Self::descriptors(&boot) - Self::client_descriptors(&boot);
        Rc::new(Self {
            log,
            clock,
            router: RefCell::new(router),
            quota: RefCell::new(gate),
            incarnation,
            retries: RefCell::new(RetryBudget::new(retry)),
            pool: Pool::new(servers),
            configuration: RefCell::default(),
            confirmed: Cell::new(false),
            ready_servers: Cell::new(0),
            leaving: Cell::new(None),
            open_requests: OpenRequests::new(),
            observations: RefCell::default(),
            report_wanted: Notify::new(),
            reports_to_whole_loads: Cell::new(0),
            boot,
        })
    }

    fn descriptors(boot: &Boot) -> usize {
        let all = if boot.limits.max_fds > 0 { boot.limits.max_fds } else { DEFAULT_FDS };
        all.saturating_sub(RESERVED_FDS).max(64) as usize
    }

    /// Most connections of clients.
    pub fn client_descriptors(boot: &Boot) -> usize {
        (Self::descriptors(boot) as f64 * CLIENT_PART) as usize
    }

    /// Drawn at random at the start: grants are for this start alone.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Version of the configuration in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.configuration.borrow().as_ref().map_or(0, |configuration| configuration.fleet.version)
    }

    /// Puts a configuration in force, unless it is not newer than the one that is.
    pub fn put_in_force(&self, configuration: Configuration) {
        if configuration.fleet.version <= self.version() {
            return;
        }
        let now = self.clock.now();
        let mut router = self.router.borrow_mut();
        router.set_services(now, &configuration.services());
        router.set_tenantless_services(&configuration.tenantless_services());
        self.quota.borrow_mut().set_tenants(now, &configuration.quotas());
        let services = configuration.fleet.services.iter();
        self.pool.set_bounds(services.map(|service| (service.name.clone(), service.max_conns)).collect());
        *self.configuration.borrow_mut() = Some(Rc::new(configuration));
    }

    /// Takes over the whole list of servers.
    pub fn set_servers(&self, servers: &[ServerInfo]) {
        let now = self.clock.now();
        let mut router = self.router.borrow_mut();
        router.update_servers(now, servers);
        self.ready_servers.set(servers.iter().filter(|server| server.ready).count());
        self.pool.keep_only(|server| router.is_usable(server));
    }

    /// Takes over grants.
    pub fn apply_grants(&self, update: &GrantUpdate) {
        match self.quota.borrow_mut().apply(self.clock.now(), update) {
            ApplyOutcome::Ignored => return,
            ApplyOutcome::HistoryRequested => return self.report_wanted.notify_one(),
            ApplyOutcome::Applied => {}
        }
        self.retries.borrow_mut().set_nodes(update.node_count);
        self.router.borrow_mut().set_fleet_size(update.node_count);
        self.pool.set_nodes(update.node_count);
    }

    /// Takes over which servers other nodes find failing.
    pub fn suspect(&self, suspicions: &[ServerSuspicion]) {
        let now = self.clock.now();
        let mut router = self.router.borrow_mut();
        for suspicion in suspicions {
            router.observe_suspicion(now, &suspicion.server, suspicion.failed_share);
        }
    }

    /// Takes in a sign of life of the agent. A proof from before the process started says nothing of a version that
    /// was committed since.
    pub fn tick(&self, tick: &Heartbeat) {
        let version = self.version();
        let own = self.clock.age().as_millis() as u64;
        let proven = tick.confirmed_age_ms < CONFIRMED_WITHIN_MS.min(own.saturating_add(1));
        if proven && tick.configuration_version <= version && version > 0 {
            self.confirmed.set(true);
        }
    }

    /// Whether the platform may send clients: the configuration was confirmed as current once, there is a server, and
    /// the process is not about to end.
    pub fn is_ready(&self) -> bool {
        self.confirmed.get() && self.ready_servers.get() > 0 && !self.is_leaving()
    }

    /// From now on each answer ends its connection, and the platform is told to send no more clients.
    /// Gives when what stops.
    pub fn leave(&self) -> Leaving {
        let grace = Duration::from_secs_f64(self.boot.bounds.grace_s);
        let leaving = self.leaving.get().unwrap_or_else(|| Leaving::new(Instant::now(), grace));
        self.leaving.set(Some(leaving));
        leaving
    }

    /// When what stops, once [`Self::leave`] was called.
    pub fn leaving(&self) -> Option<Leaving> {
        self.leaving.get()
    }

    /// Whether [`Self::leave`] was called.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get().is_some()
    }

    /// How many requests were read and have no written answer yet.
    pub fn in_hand(&self) -> usize {
        self.open_requests.count()
    }

    /// Counts an attempt at a server for the next report.
    pub fn observe(&self, server: &str, served: bool) {
        let mut observations = self.observations.borrow_mut();
        if !observations.contains_key(server) {
            observations.insert(server.to_owned(), (0, 0));
        }
        if let Some(counts) = observations.get_mut(server) {
            if served { counts.0 += 1 } else { counts.1 += 1 }
        }
    }

    /// What the agent is told: demand, and the outcomes since the last report.
    pub fn report(&self) -> ProxyReport {
        let demand = self.quota.borrow_mut().demand_report(self.clock.now());
        let observations = self.observations.borrow_mut().drain().collect::<Vec<_>>();
        let observation =
            |(server, (served, failed)): (String, (u32, u32))| ServerObservation { server, served, failed };
        let observations = observations.into_iter().map(observation).collect();
        ProxyReport { demand, observations, loads: self.loads() }
    }

    /// The next report tells the load of every server: what was told before may be lost.
    pub fn repeat_loads(&self) {
        self.reports_to_whole_loads.set(0);
    }

    /// Requests of this node at servers: all of them now and then, else what has changed.
    fn loads(&self) -> NodeLoads {
        let is_whole = self.reports_to_whole_loads.get() == 0;
        let left = if is_whole { WHOLE_LOADS_EACH } else { self.reports_to_whole_loads.get() };
        self.reports_to_whole_loads.set(left - 1);
        let mut servers = Vec::new();
        self.router.borrow_mut().report_loads(is_whole, PROMPT_UNIT_TOKENS, |id, requests, unread| {
            servers.push(ServerLoad {
                server_key: server_key(id),
                in_flight: requests,
                pending_prompt_units: unread,
            });
        });
        NodeLoads { is_full: is_whole, servers }
    }
}
