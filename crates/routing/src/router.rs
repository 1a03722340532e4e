//! The state of the router, and the updates it receives.

use std::collections::HashMap;

use dunelink_serving_model::{Micros, ServerCapacity, SpeedEstimate};

use crate::attempts::AttemptTable;
use crate::locality::KeyRates;
use crate::pools::{Member, Pools};
use crate::servers::{Server, ServerTable};
use crate::{AttemptId, Outcome, RouterSettings, ServerHandle, ServerInfo, ServiceSpec};

/// A server counts as silent this long after a response was due, in microseconds.
const SILENCE_GRACE_US: Micros = 300_000;
/// A request that ends without an event this long after a response was due ejects the server; in
/// microseconds.
const SILENCE_EJECTION_US: Micros = 1_000_000;

/// One service: its configuration, if there is one, its pools and its estimated speed.
pub(crate) struct Service {
    pub(crate) spec: Option<ServiceSpec>,
    pub(crate) has_tenantless: bool,
    pub(crate) pools: Pools,
    pub(crate) speed: SpeedEstimate,
}

/// Selects the server for each request of one process.
pub struct Router {
    pub(crate) settings: RouterSettings,
    pub(crate) random: fastrand::Rng,
    /// Processes that send requests to the same servers, including this one.
    pub(crate) fleet_size: u32,
    pub(crate) services: Vec<Service>,
    pub(crate) service_by_name: HashMap<String, usize>,
    pub(crate) servers: ServerTable,
    pub(crate) attempts: AttemptTable,
    pub(crate) keys: KeyRates,
    /// Buffers reused by all decisions, so that a decision allocates nothing.
    pub(crate) home_buffer: Vec<(u64, u32)>,
    pub(crate) candidate_buffer: Vec<crate::choose::Candidate>,
}

impl Router {
    /// Creates a router without services and servers. `seed` affects only its random choices.
    pub fn new(settings: RouterSettings, seed: u64) -> Router {
        Router {
            settings,
            random: fastrand::Rng::with_seed(seed),
            fleet_size: 1,
            services: Vec::new(),
            service_by_name: HashMap::new(),
            servers: ServerTable::default(),
            attempts: AttemptTable::default(),
            keys: KeyRates::default(),
            home_buffer: Vec::new(),
            candidate_buffer: Vec::new(),
        }
    }

    /// Replaces the services by those of a configuration. The state of their servers is kept.
    pub fn set_services(&mut self, _now: Micros, specs: &[ServiceSpec]) {
        self.services.iter_mut().for_each(|service| service.spec = None);
        for spec in specs {
            let index = self.service_index(&spec.name);
            self.services[index].spec = Some(spec.clone());
        }
        let services = &self.services;
        for (_, server) in self.servers.iter_mut() {
            let capacity = capacity_of(services[server.service].spec.as_ref(), &server.info);
            if server.model.capacity() != capacity {
                server.model.set_capacity(capacity);
            }
        }
    }

    /// Sets the services that receive requests without a tenant, which are those that a public route leads
    /// to. These requests get servers of their own only if the service has many servers. Every process must
    /// set the same services.
    pub fn set_tenantless_services(&mut self, names: &[&str]) {
        let mut changed = Vec::new();
        for (name, &index) in &self.service_by_name {
            let has_tenantless = names.contains(&name.as_str());
            if self.services[index].has_tenantless != has_tenantless {
                self.services[index].has_tenantless = has_tenantless;
                changed.push(index);
            }
        }
        self.rebuild_pools(changed);
    }

    /// Replaces the list of servers.
    pub fn update_servers(&mut self, now: Micros, servers: &[ServerInfo]) {
        let mut changed = Vec::new();
        self.servers.begin_listing();
        for info in servers {
            let service = self.service_index(&info.service);
            let capacity = capacity_of(self.services[service].spec.as_ref(), info);
            if self.servers.upsert(now, info, service, capacity) {
                changed.push(service);
            }
        }
        changed.extend(self.servers.finish_listing());
        self.rebuild_pools(changed);
    }

    /// Sets the number of processes that send requests to the same servers, including this one.
    pub fn set_fleet_size(&mut self, fleet_size: u32) {
        self.fleet_size = fleet_size.max(1);
    }

    /// The list entry of a server; `None` once the server is no longer listed.
    pub fn server(&self, handle: ServerHandle) -> Option<&ServerInfo> {
        self.servers.get(handle).map(|server| &*server.info)
    }

    /// Whether a server is still listed and ready. The caller must check this right before it sends the first
    /// byte.
    pub fn is_usable(&self, handle: ServerHandle) -> bool {
        self.servers.get(handle).is_some_and(|server| server.info.ready)
    }

    /// How long a response from the server has been overdue, beyond a grace period; 0 if the server is not
    /// silent. An idempotent request need not wait for a silent server.
    pub fn silent_for(&self, now: Micros, handle: ServerHandle) -> Micros {
        self.servers.get(handle).map_or(0, |server| silence_us(now, server))
    }

    /// The number of attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    fn service_index(&mut self, name: &str) -> usize {
        if let Some(&index) = self.service_by_name.get(name) {
            return index;
        }
        self.services.push(Service {
            spec: None,
            has_tenantless: false,
            pools: Pools::default(),
            speed: SpeedEstimate::default(),
        });
        self.service_by_name.insert(name.to_owned(), self.services.len() - 1);
        self.services.len() - 1
    }

    /// Rebuilds the pools of the given services.
    fn rebuild_pools(&mut self, mut services: Vec<usize>) {
        services.sort_unstable();
        services.dedup();
        for index in services {
            let members = || self.servers.iter().filter(|(_, server)| server.service == index);
            let ready: Vec<Member> =
                members().filter(|(_, s)| s.info.ready).map(|(index, s)| (s.hash, index)).collect();
            let pools = Pools::build(ready, members().count(), self.services[index].has_tenantless);
            for (_, server) in self.servers.iter_mut().filter(|(_, server)| server.service == index) {
                server.label = None;
            }
            for (label, pool) in pools.labelled.iter().enumerate() {
                for (_, index) in pool {
                    if let Some(server) = self.servers.by_index_mut(*index) {
                        server.label = Some(label);
                    }
                }
            }
            self.services[index].pools = pools;
        }
    }

    /// Records that the bytes of the request are sent now, which may be a while after the decision.
    pub fn record_sent(&mut self, now: Micros, attempt: AttemptId) {
        let Some(in_flight) = self.attempts.get(attempt) else { return };
        if let Some(server) = self.servers.get_mut(in_flight.server) {
            let due = in_flight.first_event_due.max(now);
            server.response_due.get_or_insert(due);
        }
    }

    /// Records the first event of a stream, or the head of a response that is no stream.
    pub fn record_first_event(&mut self, now: Micros, attempt: AttemptId) {
        let Some(in_flight) = self.attempts.get(attempt) else { return };
        let Some(server) = self.servers.get_mut(in_flight.server) else { return };
        server.model.record_first_event(
            now,
            &mut self.services[server.service].speed,
            &mut in_flight.request,
        );
        server.health.record_response();
        server.response_due = None;
    }

    /// Records that further events of a stream arrived.
    pub fn record_progress(&mut self, _now: Micros, attempt: AttemptId, _events: u32) {
        let Some(in_flight) = self.attempts.get(attempt) else { return };
        if let Some(server) = self.servers.get_mut(in_flight.server) {
            server.response_due = None;
        }
    }

    /// Records how an attempt ended. Must be called exactly once for each decision to send.
    pub fn record_outcome(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(in_flight) = self.attempts.remove(attempt) else { return };
        let Some(server) = self.servers.get_mut(in_flight.server) else { return };
        let speed = &mut self.services[server.service].speed;
        server.model.record_end(now, speed, &in_flight.request, outcome == Outcome::Served);
        let is_silent = server.response_due.is_some_and(|due| now > due + SILENCE_EJECTION_US)
            && !in_flight.request.has_started();
        // A client that disconnects from a silent server is evidence of a timeout.
        let outcome = if outcome == Outcome::Cancelled && is_silent { Outcome::TimedOut } else { outcome };
        let has_answered = matches!(outcome, Outcome::Served | Outcome::Rejected | Outcome::ServerError);
        if has_answered || server.model.in_flight() == 0 {
            server.response_due = None;
        }
        if server.health.record_outcome(now, attempt, outcome) || (is_silent && !has_answered) {
            self.eject(now, in_flight.server);
        }
    }

    /// Records the content of `X-Dunelink-Server-Load`. The number of slots is taken from the server list
    /// instead.
    pub fn observe_load(
        &mut self,
        now: Micros,
        handle: ServerHandle,
        running: u32,
        waiting: u32,
        _slots: u32,
    ) {
        if let Some(server) = self.servers.get_mut(handle) {
            server.model.observe_load(now, running, waiting);
        }
    }

    /// Records how many requests the whole fleet, including this process, recently had in flight at a server,
    /// and their prompt tokens still to be processed. An unlisted server is ignored.
    pub fn observe_fleet_load(&mut self, now: Micros, server: &str, requests: u32, pending_prefill: u32) {
        if let Some(server) = self.servers.by_id_mut(server) {
            server.model.observe_fleet_load(now, requests, pending_prefill);
        }
    }

    /// Reports the requests that this process has in flight at each server: for all servers with any if
    /// `include_all` is set, else for the servers whose figures changed since the last call.
    pub fn report_loads(
        &mut self,
        include_all: bool,
        prefill_unit: u32,
        mut report: impl FnMut(&str, u32, u32),
    ) {
        for (_, server) in self.servers.iter_mut() {
            let (load, has_changed) = server.model.report_load(prefill_unit);
            let is_reported = if include_all { load.requests > 0 } else { has_changed };
            if is_reported {
                report(&server.info.id, load.requests, load.pending_prefill);
            }
        }
    }

    /// Records that other processes see a server fail: the failure rate they observed, 0 to 1. For three
    /// seconds it counts in comparisons as if this process had observed it; it never ejects the server. An
    /// unlisted server is ignored.
    pub fn observe_suspicion(&mut self, now: Micros, server: &str, failed_share: f32) {
        let failure_rate =
            if failed_share.is_finite() { f64::from(failed_share.clamp(0.0, 1.0)) } else { 0.0 };
        if let Some(server) = self.servers.by_id_mut(server) {
            server.health.observe_suspicion(now, failure_rate);
        }
    }

    /// Ejects a server, unless more than half of its pool would then be ejected.
    pub(crate) fn eject(&mut self, now: Micros, handle: ServerHandle) {
        let Some(server) = self.servers.get(handle) else { return };
        let pool = self.services[server.service].pools.pool_of_label(server.label);
        let is_other = |index: u32| self.servers.handle(index) != handle;
        let is_ejected =
            |index: u32| self.servers.by_index(index).is_some_and(|s| s.health.ejected_for(now) > 0);
        let ejected = pool.iter().filter(|(_, index)| is_other(*index) && is_ejected(*index)).count();
        let is_within_limit = (ejected + 1) * 2 <= pool.len();
        if let Some(server) = self.servers.get_mut(handle) {
            if is_within_limit { server.health.eject(now) } else { server.health.readmit() }
        }
    }
}

/// How long a response from the server has been overdue, beyond the grace period.
pub(crate) fn silence_us(now: Micros, server: &Server) -> Micros {
    server.response_due.map_or(0, |due| now.saturating_sub(due + SILENCE_GRACE_US))
}

/// The capacity of a server according to the server list and the configuration.
fn capacity_of(spec: Option<&ServiceSpec>, info: &ServerInfo) -> ServerCapacity {
    let engine = spec.and_then(|spec| spec.engine);
    let slots = if info.slots > 0 { info.slots } else { engine.map_or(1, |engine| engine.slots) };
    ServerCapacity { slots, kv_tokens: engine.map_or(0, |engine| engine.kv_tokens) }
}
