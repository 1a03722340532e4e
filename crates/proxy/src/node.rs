//! State that all tasks of the process share. A single thread runs all tasks.

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
use dunelink_settings::BootSettings;
use slog::{Logger, warn};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::configuration::Configuration;
use crate::memory::plan::MemoryPlan;
use crate::memory::request_bodies::{ReleaseCounts, RequestBodies};
use crate::open_requests::OpenRequests;
use crate::shutdown_schedule::ShutdownSchedule;
use crate::upstream::ConnectionPool;

/// A heartbeat confirms the active configuration only if the agent has confirmed it with the control plane
/// more recently than this, in milliseconds.
const MAX_CONFIRMATION_AGE_MS: u64 = 1_000;
/// File descriptors that the platform reserves for files.
const RESERVED_FDS: u64 = 200;
/// File descriptor limit that is assumed if the settings have none.
const DEFAULT_MAX_FDS: u64 = 1_024;
/// Limit of a request's head while there is no configuration, in bytes.
const DEFAULT_MAX_HEAD_BYTES: u64 = 16_384;
/// Share of the usable file descriptors that client connections may take; connections to servers take the
/// rest.
const CLIENT_FD_FRACTION: f64 = 0.6;
/// Every n-th report contains the loads of all servers; the others contain only changes. A newly elected
/// leader waits for the 2 s that this many reports take.
const REPORTS_PER_FULL_LOADS: u32 = 13;

/// Shared state of the proxy process.
pub struct Node {
    /// Settings that were read at startup.
    pub boot: BootSettings,
    /// Logger of the process.
    pub log: Logger,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Chooses the server for each request.
    pub router: RefCell<Router>,
    /// Enforces the tenants' quotas.
    pub quota_gate: RefCell<QuotaGate>,
    incarnation: u64,
    /// Limits the retries of each service.
    pub retry_budget: RefCell<RetryBudget>,
    /// Connections to servers.
    pub pool: Rc<ConnectionPool>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    /// Whether the active configuration was confirmed as current at least once.
    configuration_confirmed: Cell<bool>,
    ready_servers: Cell<usize>,
    shutdown_schedule: Cell<Option<ShutdownSchedule>>,
    /// How the memory of the process is divided.
    pub memory_plan: MemoryPlan,
    /// Bodies of the open requests, within the memory for them.
    pub request_bodies: Rc<RequestBodies>,
    /// Released bodies that were logged.
    logged_releases: Cell<ReleaseCounts>,
    /// Requests that were read and whose response is not fully written yet.
    pub open_requests: Rc<OpenRequests>,
    /// Served and failed attempts per server id since the last report.
    observations: RefCell<HashMap<String, (u32, u32)>>,
    /// Notified when a report to the agent is needed before its regular time.
    pub report_requested: Notify,
    /// Number of reports left until the next one that contains the loads of all servers.
    reports_until_full_loads: Cell<u32>,
}

impl Node {
    /// Creates the state of a proxy without configuration, servers or grants.
    pub fn new(boot: BootSettings, log: Logger) -> Rc<Self> {
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
        let quota_gate = QuotaGate::new(quota, incarnation, clock.now());
        let memory_plan = MemoryPlan::new(&boot.limits);
        let max_server_connections = Self::server_fds(&boot).min(memory_plan.max_server_connections());
        Rc::new(Self {
            log,
            clock,
            router: RefCell::new(router),
            quota_gate: RefCell::new(quota_gate),
            incarnation,
            retry_budget: RefCell::new(RetryBudget::new(retry)),
            pool: ConnectionPool::new(max_server_connections),
            configuration: RefCell::default(),
            configuration_confirmed: Cell::new(false),
            ready_servers: Cell::new(0),
            shutdown_schedule: Cell::new(None),
            memory_plan,
            request_bodies: RequestBodies::new(memory_plan.buffer_bytes),
            logged_releases: Cell::default(),
            open_requests: OpenRequests::new(),
            observations: RefCell::default(),
            report_requested: Notify::new(),
            reports_until_full_loads: Cell::new(0),
            boot,
        })
    }

    fn usable_fds(boot: &BootSettings) -> usize {
        let all = if boot.limits.max_fds > 0 { boot.limits.max_fds } else { DEFAULT_MAX_FDS };
        all.saturating_sub(RESERVED_FDS).max(64) as usize
    }

    fn client_fds(boot: &BootSettings) -> usize {
        (Self::usable_fds(boot) as f64 * CLIENT_FD_FRACTION) as usize
    }

    fn server_fds(boot: &BootSettings) -> usize {
        Self::usable_fds(boot) - Self::client_fds(boot)
    }

    /// Returns the maximum number of client connections, for which there are file descriptors and memory.
    pub fn max_client_connections(&self) -> usize {
        Self::client_fds(&self.boot).min(self.memory_plan.max_client_connections(self.max_head_bytes()))
    }

    /// Returns the limit of a request's head, in bytes.
    pub fn max_head_bytes(&self) -> usize {
        let configuration = self.configuration.borrow();
        let limit = configuration.as_ref().map(|configuration| configuration.fleet.limits.max_header_bytes);
        usize::try_from(limit.unwrap_or(DEFAULT_MAX_HEAD_BYTES)).unwrap_or(usize::MAX)
    }

    /// Returns a random number that identifies this run of the process. Grants apply to a single incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the active configuration, if there is one.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Returns the version of the active configuration, or 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.borrow().as_ref().map_or(0, |configuration| configuration.fleet.version)
    }

    /// Activates a configuration, unless its version is not newer than the active one.
    pub fn activate_configuration(&self, configuration: Configuration) {
        if configuration.fleet.version <= self.configuration_version() {
            return;
        }
        let now = self.clock.now();
        let mut router = self.router.borrow_mut();
        router.set_services(now, &configuration.service_specs());
        router.set_tenantless_services(&configuration.tenantless_services());
        self.quota_gate.borrow_mut().set_tenants(now, &configuration.tenant_quotas());
        let services = configuration.fleet.services.iter();
        self.pool.set_connection_limits(
            services.map(|service| (service.name.clone(), service.max_conns)).collect(),
        );
        *self.configuration.borrow_mut() = Some(Rc::new(configuration));
    }

    /// Replaces the list of servers.
    pub fn set_servers(&self, servers: &[ServerInfo]) {
        let now = self.clock.now();
        let mut router = self.router.borrow_mut();
        router.update_servers(now, servers);
        self.ready_servers.set(servers.iter().filter(|server| server.ready).count());
        self.pool.retain_usable(|server| router.is_usable(server));
    }

    /// Applies an update of quota grants and of the number of nodes.
    pub fn apply_grants(&self, update: &GrantUpdate) {
        match self.quota_gate.borrow_mut().apply(self.clock.now(), update) {
            ApplyOutcome::Ignored => return,
            ApplyOutcome::HistoryRequested => return self.report_requested.notify_one(),
            ApplyOutcome::Applied => {}
        }
        self.retry_budget.borrow_mut().set_nodes(update.node_count);
        self.router.borrow_mut().set_fleet_size(update.node_count);
        self.pool.set_node_count(update.node_count);
    }

    /// Passes on to the router which servers other nodes report as failing.
    pub fn apply_suspicions(&self, suspicions: &[ServerSuspicion]) {
        let now = self.clock.now();
        let mut router = self.router.borrow_mut();
        for suspicion in suspicions {
            router.observe_suspicion(now, &suspicion.server, suspicion.failed_share);
        }
    }

    /// Processes a heartbeat of the agent. A confirmation from before this process started is ignored: a
    /// newer version may have been committed since then.
    pub fn observe_heartbeat(&self, heartbeat: &Heartbeat) {
        let version = self.configuration_version();
        let uptime_ms = self.clock.uptime().as_millis() as u64;
        let is_recent = heartbeat.confirmed_age_ms < MAX_CONFIRMATION_AGE_MS.min(uptime_ms.saturating_add(1));
        if is_recent && heartbeat.configuration_version <= version && version > 0 {
            self.configuration_confirmed.set(true);
        }
    }

    /// Whether the platform may send clients: the configuration was confirmed as current at least once, at
    /// least one server is ready, and the process is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.configuration_confirmed.get() && self.ready_servers.get() > 0 && !self.is_shutting_down()
    }

    /// Starts the shutdown and returns its schedule. From now on each response closes its connection, and
    /// readiness checks fail.
    pub fn begin_shutdown(&self) -> ShutdownSchedule {
        let grace = Duration::from_secs_f64(self.boot.bounds.grace_s);
        let schedule =
            self.shutdown_schedule.get().unwrap_or_else(|| ShutdownSchedule::new(Instant::now(), grace));
        self.shutdown_schedule.set(Some(schedule));
        schedule
    }

    /// Returns the shutdown schedule, once [`Self::begin_shutdown`] was called.
    pub fn shutdown_schedule(&self) -> Option<ShutdownSchedule> {
        self.shutdown_schedule.get()
    }

    /// Whether [`Self::begin_shutdown`] was called.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_schedule.get().is_some()
    }

    /// Returns the number of requests that were read and whose response is not fully written yet.
    pub fn open_request_count(&self) -> usize {
        self.open_requests.count()
    }

    /// Logs the request bodies that were released for lack of memory since the last call.
    pub fn log_released_bodies(&self) {
        let counts = self.request_bodies.release_counts();
        let before = self.logged_releases.replace(counts);
        if counts != before {
            warn!(self.log, "memory for requests is used up"; "released_sent" => counts.sent - before.sent,
                "refused" => counts.refused - before.refused, "used_bytes" => self.request_bodies.budget().used(),
                "limit_bytes" => self.request_bodies.budget().limit());
        }
    }

    /// Counts the outcome of an attempt at a server for the next report.
    pub fn record_attempt(&self, server: &str, served: bool) {
        let mut observations = self.observations.borrow_mut();
        if !observations.contains_key(server) {
            observations.insert(server.to_owned(), (0, 0));
        }
        if let Some(counts) = observations.get_mut(server) {
            if served { counts.0 += 1 } else { counts.1 += 1 }
        }
    }

    /// Builds the next report to the agent: quota demand, outcomes since the last report, and server loads.
    pub fn report(&self) -> ProxyReport {
        let demand = self.quota_gate.borrow_mut().demand_report(self.clock.now());
        let observations = self.observations.borrow_mut().drain().collect::<Vec<_>>();
        let observation =
            |(server, (served, failed)): (String, (u32, u32))| ServerObservation { server, served, failed };
        let observations = observations.into_iter().map(observation).collect();
        ProxyReport { demand, observations, loads: self.loads() }
    }

    /// Makes the next report contain the loads of all servers, because earlier reports may be lost.
    pub fn request_full_loads(&self) {
        self.reports_until_full_loads.set(0);
    }

    /// Returns this node's in-flight requests per server: for all servers at a fixed interval of reports,
    /// otherwise only those that changed.
    fn loads(&self) -> NodeLoads {
        let is_full = self.reports_until_full_loads.get() == 0;
        let remaining_reports =
            if is_full { REPORTS_PER_FULL_LOADS } else { self.reports_until_full_loads.get() };
        self.reports_until_full_loads.set(remaining_reports - 1);
        let mut servers = Vec::new();
        self.router.borrow_mut().report_loads(
            is_full,
            PROMPT_UNIT_TOKENS,
            |id, requests, pending_prompt_units| {
                servers.push(ServerLoad {
                    server_key: server_key(id),
                    in_flight: requests,
                    pending_prompt_units,
                });
            },
        );
        NodeLoads { is_full, servers }
    }
}
