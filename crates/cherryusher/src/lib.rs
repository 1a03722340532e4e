//! The decisions of a reverse proxy that spreads requests over HTTP servers.
//!
//! [`Balancer`] is built from [`Settings`] and a seed. A node tells it what happened as [`Event`]s,
//! and carries out the [`Action`]s it answers with. It does no I/O and reads no clock.
//!
//! # A node of one's own
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
//! // The list as last held; the clock is the node's own, in microseconds.
//! let servers = (1..=8).map(|id| ServerEntry { id, state: ServerState::Ready, ..ServerEntry::default() });
//! balancer.handle(1_000, Event::CachedServerList(servers.collect()), &mut actions);
//!
//! // A request comes in; the node is told where to send it and when to wake the module again.
//! let request = Request { id: 7, class: 0, remaining: 900_000, expected_work: None, key: None, tenant: None };
//! balancer.handle(2_000, Event::RequestArrived(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: 7, .. })));
//! actions.clear();
//!
//! // The answer has gone to the client; nothing more is kept of the request.
//! let ended = AttemptEnd { request: 7, attempt: 0, outcome: Outcome::Served, elapsed: 40_000, request_finished: true };
//! balancer.handle(42_000, Event::AttemptEnded(ended), &mut actions);
//! assert_eq!(balancer.tracked_requests(), 0);
//! # Ok::<(), SettingsError>(())
//! ```
//!
//! What the node owes the module: each [`Action::Send`] is followed by one [`Event::AttemptEnded`]; the first
//! answer goes to the client at once and finishes its request; time-outs are cut to the client's patience.

pub mod api;
pub mod labels;
mod policy;
mod state;
#[cfg(test)]
mod tests;

pub use api::*;
pub use policy::Balancer;

impl Balancer {
    /// How many requests it still keeps anything of: a gauge for the node that embeds it.
    pub fn tracked_requests(&self) -> usize {
        self.jobs.len()
    }

    /// How many servers have been looked at to pick one, since the start: the cost of picks, told without a clock.
    pub fn servers_examined(&self) -> u64 {
        self.steps
    }

    /// How many servers the list has, those that drain included.
    pub fn listed_servers(&self) -> usize {
        self.servers.iter().filter(|server| server.entry.state != ServerState::Gone).count()
    }

    /// How many servers that take requests are avoided at this time: left alone after failures or refusals.
    pub fn ejected_servers(&self, now: Micros) -> usize {
        let ready = self.servers.iter().filter(|server| server.entry.state == ServerState::Ready);
        ready.filter(|server| server.avoid_until.max(server.shut_until) > now).count()
    }

    /// What it has seen by itself, up to this time, of the servers that it sent to lately: for other nodes.
    pub fn observations(&self, now: Micros) -> Vec<ServerObservation> {
        self.seen(now)
    }

    /// How many requests wait in the queue for a server with room: a gauge for the node that embeds it.
    pub fn queued_requests(&self) -> usize {
        self.jobs.values().filter(|job| job.held).count()
    }
}
