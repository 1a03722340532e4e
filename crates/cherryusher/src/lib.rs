//! The decisions of a reverse proxy that spreads requests over HTTP servers.
//!
//! A [`Balancer`] makes the decisions of one node, that is, of one of the proxies that share the work. It is
//! created from [`Settings`] and a random seed, receives [`Event`]s, and returns the [`Action`]s that the node
//! has to carry out. It does no I/O and reads no clock.
//!
//! # Example
//!
//! ```
//! use cherryusher::*;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         target_latency: 300_000,
//!         target_latency_per_work: 0.0,
//!         deadline: 1_000_000,
//!         value: 1.0,
//!         late_value_fraction: 0.2,
//!         idempotency: Idempotency::Idempotent,
//!     }],
//!     ..Settings::default()
//! };
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! // The server list that the node last had. Times are microseconds of the node's own clock.
//! let servers = (1..=8).map(|id| ServerEntry { id, state: ServerState::Ready, ..ServerEntry::default() });
//! balancer.handle(1_000, Event::CachedServerList(servers.collect()), &mut actions);
//!
//! // A request arrives. The actions say where to send it and which timers to set.
//! let request =
//!     Request { id: 7, class: 0, remaining: 900_000, expected_work: None, key: None, tenant: None };
//! balancer.handle(2_000, Event::RequestArrived(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: 7, .. })));
//! actions.clear();
//!
//! // The response has gone to the client, and the balancer drops the request.
//! let end = AttemptEnd {
//!     request: 7,
//!     attempt: 0,
//!     outcome: Outcome::Served,
//!     elapsed: 40_000,
//!     request_finished: true,
//! };
//! balancer.handle(42_000, Event::AttemptEnded(end), &mut actions);
//! assert_eq!(balancer.tracked_requests(), 0);
//! # Ok::<(), SettingsError>(())
//! ```
//!
//! The node has these duties: each [`Action::Send`] is followed by one [`Event::AttemptEnded`]; the first
//! response goes to the client at once and finishes its request; attempts time out when the client gives up.

pub mod api;
pub mod labels;
mod policy;
mod state;
#[cfg(test)]
mod tests;

pub use api::*;
pub use policy::Balancer;

impl Balancer {
    /// The number of requests about which any state is kept, as a gauge for the node.
    pub fn tracked_requests(&self) -> usize {
        self.requests.len()
    }

    /// The number of servers examined to pick one, since the start: the cost of picks independent of a clock.
    pub fn servers_examined(&self) -> u64 {
        self.examined
    }

    /// The number of servers in the list, including those that drain.
    pub fn listed_servers(&self) -> usize {
        self.servers.iter().filter(|server| server.entry.state != ServerState::Gone).count()
    }

    /// The number of ready servers that currently get no requests because of failures or refusals.
    pub fn ejected_servers(&self, now: Micros) -> usize {
        let ready = self.servers.iter().filter(|server| server.entry.state == ServerState::Ready);
        ready.filter(|server| server.ejected_until.max(server.backoff_until) > now).count()
    }

    /// What this node's own requests have shown about the servers that it recently sent to, for other nodes.
    pub fn observations(&self, now: Micros) -> Vec<ServerObservation> {
        self.observe(now)
    }

    /// The number of requests queued until a server has capacity, as a gauge for the node.
    pub fn queued_requests(&self) -> usize {
        self.requests.values().filter(|req| req.queued).count()
    }
}
