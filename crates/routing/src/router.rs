//! The router: its state, and what changes it from outside.

use std::collections::HashMap;

use dunelink_serving_model::{Micros, ServerCapacity, SpeedEstimate};

use crate::attempts::Attempts;
use crate::locality::KeyRates;
use crate::pools::{Member, Pools};
use crate::servers::{Server, Servers};
use crate::{AttemptId, Outcome, RouterSettings, ServerHandle, ServerInfo, ServiceSpec};

/// So long after a sign of life was due a server counts as silent.
const SILENT_FROM: Micros = 300_000;
/// So long after it a request that ends without an event ejects the server.
const SILENT_FOR: Micros = 1_000_000;

/// One service: what the configuration says of it, if it does, and its pools.
pub(crate) struct Service {
    pub(crate) spec: Option<ServiceSpec>,
    pub(crate) tenantless: bool,
    pub(crate) pools: Pools,
    pub(crate) speed: SpeedEstimate,
}

/// Decides which server takes each request of one process.
pub struct Router {
    pub(crate) settings: RouterSettings,
    pub(crate) random: fastrand::Rng,
    pub(crate) nodes: u32,
    pub(crate) services: Vec<Service>,
    pub(crate) by_name: HashMap<String, usize>,
    pub(crate) servers: Servers,
    pub(crate) attempts: Attempts,
    pub(crate) keys: KeyRates,
    /// Kept between decisions so that none of them allocates.
    pub(crate) found: Vec<(u64, u32)>,
    pub(crate) candidates: Vec<crate::choose::Candidate>,
}

impl Router {
    /// A router that knows no service and no server yet. `seed` moves only its random draws.
    pub fn new(settings: RouterSettings, seed: u64) -> Router {
        Router {
            settings,
            random: fastrand::Rng::with_seed(seed),
            nodes: 1,
            services: Vec::new(),
            by_name: HashMap::new(),
            servers: Servers::default(),
            attempts: Attempts::default(),
            keys: KeyRates::default(),
            found: Vec::new(),
            candidates: Vec::new(),
        }
    }

    /// Takes over the services of a configuration; what is known of their servers stays.
    pub fn set_services(&mut self, _now: Micros, specs: &[ServiceSpec]) {
        self.services.iter_mut().for_each(|service| service.spec = None);
        for spec in specs {
            let at = self.service_index(&spec.name);
            self.services[at].spec = Some(spec.clone());
        }
        let services = &self.services;
        for (_, server) in self.servers.iter_mut() {
            let shape = shape_of(services[server.service].spec.as_ref(), &server.info);
            if server.model.capacity() != shape {
                server.model.set_capacity(shape);
            }
        }
    }

    /// Says which services have requests without a tenant: those that a public route leads to. Only from many
    /// servers on these get servers of their own. Every process must say the same.
    pub fn set_tenantless_services(&mut self, names: &[&str]) {
        let mut changed = Vec::new();
        for (name, &at) in &self.by_name {
            let tenantless = names.contains(&name.as_str());
            if self.services[at].tenantless != tenantless {
                self.services[at].tenantless = tenantless;
                changed.push(at);
            }
        }
        self.rebuild(changed);
    }

    /// Takes over the whole list of servers.
    pub fn update_servers(&mut self, now: Micros, servers: &[ServerInfo]) {
        let mut changed = Vec::new();
        self.servers.begin_list();
        for info in servers {
            let service = self.service_index(&info.service);
            let shape = shape_of(self.services[service].spec.as_ref(), info);
            if self.servers.list(now, info, service, shape) {
                changed.push(service);
            }
        }
        changed.extend(self.servers.end_list());
        self.rebuild(changed);
    }

    /// Says how many processes of the fleet send to the same servers, this one included.
    pub fn set_fleet_size(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    /// What the list says of a server; none if it is not listed any more.
    pub fn server(&self, handle: ServerHandle) -> Option<&ServerInfo> {
        self.servers.get(handle).map(|server| &*server.info)
    }

    /// Whether a server is still listed and ready. To be asked right before the first byte is sent.
    pub fn is_usable(&self, handle: ServerHandle) -> bool {
        self.servers.get(handle).is_some_and(|server| server.info.ready)
    }

    /// How long a server has given no sign of life beyond the time when one was due; 0 while it is not silent.
    /// What may be repeated need not wait for it.
    pub fn silent_for(&self, now: Micros, handle: ServerHandle) -> Micros {
        self.servers.get(handle).map_or(0, |server| silence(now, server))
    }

    /// How many attempts are out.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    fn service_index(&mut self, name: &str) -> usize {
        if let Some(&at) = self.by_name.get(name) {
            return at;
        }
        self.services.push(Service {
            spec: None,
            tenantless: false,
            pools: Pools::default(),
            speed: SpeedEstimate::default(),
        });
        self.by_name.insert(name.to_owned(), self.services.len() - 1);
        self.services.len() - 1
    }

    /// Builds the pools of these services anew.
    fn rebuild(&mut self, mut services: Vec<usize>) {
        services.sort_unstable();
        services.dedup();
        for at in services {
            let own = || self.servers.iter().filter(|(_, server)| server.service == at);
            let ready: Vec<Member> =
                own().filter(|(_, s)| s.info.ready).map(|(place, s)| (s.hash, place)).collect();
            let pools = Pools::build(ready, own().count(), self.services[at].tenantless);
            for (_, server) in self.servers.iter_mut().filter(|(_, server)| server.service == at) {
                server.label = None;
            }
            for (label, pool) in pools.labelled.iter().enumerate() {
                for (_, place) in pool {
                    if let Some(server) = self.servers.at_mut(*place) {
                        server.label = Some(label);
                    }
                }
            }
            self.services[at].pools = pools;
        }
    }

    /// Notes that the request's bytes are sent now; its decision may have been a while ago.
    pub fn record_sent(&mut self, now: Micros, attempt: AttemptId) {
        let Some(out) = self.attempts.get(attempt) else { return };
        if let Some(server) = self.servers.get_mut(out.server) {
            let due = out.due.max(now);
            server.sign_due.get_or_insert(due);
        }
    }

    /// Notes the first event of an answer, or its head where it is no stream.
    pub fn record_first_event(&mut self, now: Micros, attempt: AttemptId) {
        let Some(out) = self.attempts.get(attempt) else { return };
        let Some(server) = self.servers.get_mut(out.server) else { return };
        server.model.record_first_event(now, &mut self.services[server.service].speed, &mut out.work);
        server.health.alive();
        server.sign_due = None;
    }

    /// Notes that more events of a stream came.
    pub fn record_progress(&mut self, _now: Micros, attempt: AttemptId, _events: u32) {
        let Some(out) = self.attempts.get(attempt) else { return };
        if let Some(server) = self.servers.get_mut(out.server) {
            server.sign_due = None;
        }
    }

    /// Notes the end of an attempt. Each decision to send needs exactly one.
    pub fn record_outcome(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(out) = self.attempts.remove(attempt) else { return };
        let Some(server) = self.servers.get_mut(out.server) else { return };
        let speed = &mut self.services[server.service].speed;
        server.model.record_end(now, speed, &out.work, outcome == Outcome::Served);
        let silent = server.sign_due.is_some_and(|due| now > due + SILENT_FOR) && !out.work.has_started();
        // A client that left a silent server says what a time-out says.
        let outcome = if outcome == Outcome::Cancelled && silent { Outcome::TimedOut } else { outcome };
        let answered = matches!(outcome, Outcome::Served | Outcome::Rejected | Outcome::ServerError);
        if answered || server.model.in_flight() == 0 {
            server.sign_due = None;
        }
        if server.health.ended(now, attempt, outcome) || (silent && !answered) {
            self.eject(now, out.server);
        }
    }

    /// Takes in `X-Dunelink-Server-Load`. The slots are those of the list.
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

    /// Takes in how many requests of the whole fleet were at a server a moment ago, those of this process included.
    /// A server that is not listed is left out.
    pub fn observe_fleet_load(&mut self, now: Micros, server: &str, requests: u32, unread: u32) {
        if let Some(server) = self.servers.by_id_mut(server) {
            server.model.observe_fleet_load(now, requests, unread);
        }
    }

    /// Tells the requests of this process at servers: at all that have some, else at those where their number has
    /// changed since the last call.
    pub fn report_loads(&mut self, whole: bool, unit: u32, mut tell: impl FnMut(&str, u32, u32)) {
        for (_, server) in self.servers.iter_mut() {
            let (load, has_changed) = server.model.report_load(unit);
            let is_told = if whole { load.requests > 0 } else { has_changed };
            if is_told {
                tell(&server.info.id, load.requests, load.pending_prefill);
            }
        }
    }

    /// Takes in that other processes find a server failing: the failing part of its answers, 0 to 1. For three seconds
    /// it counts as if this process had seen that; it is compared by it, and never ejected for it. A server that is
    /// not listed is left out.
    pub fn observe_suspicion(&mut self, now: Micros, server: &str, failed_share: f32) {
        let share = if failed_share.is_finite() { f64::from(failed_share.clamp(0.0, 1.0)) } else { 0.0 };
        if let Some(server) = self.servers.by_id_mut(server) {
            server.health.suspect(now, share);
        }
    }

    /// Ejects a server, unless half of its service would then be ejected.
    pub(crate) fn eject(&mut self, now: Micros, handle: ServerHandle) {
        let Some(server) = self.servers.get(handle) else { return };
        let pool = self.services[server.service].pools.pool_of(server.label);
        let is_other = |place: u32| self.servers.handle(place) != handle;
        let is_ejected = |place: u32| self.servers.at(place).is_some_and(|s| s.health.ejected_for(now) > 0);
        let ejected = pool.iter().filter(|(_, place)| is_other(*place) && is_ejected(*place)).count();
        let bounded = (ejected + 1) * 2 <= pool.len();
        if let Some(server) = self.servers.get_mut(handle) {
            if bounded { server.health.eject(now) } else { server.health.readmit() }
        }
    }
}

/// How long a server has been silent.
pub(crate) fn silence(now: Micros, server: &Server) -> Micros {
    server.sign_due.map_or(0, |due| now.saturating_sub(due + SILENT_FROM))
}

/// What the list and the configuration say of a server's size.
fn shape_of(spec: Option<&ServiceSpec>, info: &ServerInfo) -> ServerCapacity {
    let engine = spec.and_then(|spec| spec.engine);
    let slots = if info.slots > 0 { info.slots } else { engine.map_or(1, |engine| engine.slots) };
    ServerCapacity { slots, kv_tokens: engine.map_or(0, |engine| engine.kv_tokens) }
}
