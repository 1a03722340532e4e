//! Selection of the control machines to connect to: a state machine without I/O.
//!
//! A source is a control machine at the other end of a connection. It is *current* while its heartbeats
//! arrive and report that its state was confirmed recently. One current source is enough. While there is
//! none, up to two connections are kept: the better one so far, and one that tries another machine. Times are
//! microseconds on a monotonic clock.

use std::net::SocketAddr;

use dunelink_protocol::Heartbeat;

use crate::directory::AddressDirectory;

/// A source without a heartbeat for this long is no longer current.
pub const HEARTBEAT_TIMEOUT_US: u64 = 800_000;
/// A source whose state was last confirmed longer ago than this is not current.
pub const MAX_CONFIRMATION_AGE_US: u64 = 1_000_000;
/// After a source has not been current for this long, another one is tried, and the connection may be closed.
pub const STALE_TIMEOUT_US: u64 = 700_000;
/// While a connection takes longer than this to open, another one is tried in parallel.
const SLOW_DIAL_US: u64 = 250_000;
/// Shortest pause between connection attempts, before jitter.
const MIN_BACKOFF_US: u64 = 100_000;
/// Longest pause between connection attempts.
const MAX_BACKOFF_US: u64 = 1_000_000;
/// Most connections at once, including those being opened.
const MAX_LINKS: usize = 2;
/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;

/// Identifies a connection within this process; never reused.
pub type LinkId = u64;

/// An action that the caller of [`SourceSelector::poll`] has to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Open a connection.
    Dial {
        /// Identifier of the new connection.
        link: LinkId,
        /// Address of the control machine.
        address: SocketAddr,
    },
    /// Close a connection.
    Close(LinkId),
}

/// Tracks the connections and decides when to open and close them.
#[derive(Debug)]
pub struct SourceSelector {
    /// The known addresses of control machines.
    pub directory: AddressDirectory,
    links: Vec<Link>,
    active: Option<LinkId>,
    last_link: LinkId,
    /// Failed attempts since a source was last found current.
    failures: u32,
    /// Earliest time of the next connection attempt.
    next_dial_at: u64,
    random: fastrand::Rng,
}

#[derive(Debug)]
struct Link {
    id: LinkId,
    address: SocketAddr,
    /// Time at which the attempt began or, once the connection is open, at which it was opened.
    started_at: u64,
    stage: Stage,
}

#[derive(Debug)]
enum Stage {
    Dialing,
    Open,
    /// The last heartbeat was received at `at`; after `expires_at` its confirmation is too old.
    Alive {
        at: u64,
        expires_at: u64,
    },
}

impl Link {
    /// Time since which the source has not been current; `None` if it is current.
    fn stale_since(&self, now: u64) -> Option<u64> {
        let since = match self.stage {
            Stage::Dialing | Stage::Open => self.started_at,
            Stage::Alive { at, expires_at } => expires_at.min(at + HEARTBEAT_TIMEOUT_US).max(self.started_at),
        };
        (since <= now).then_some(since)
    }

    fn is_current(&self, now: u64) -> bool {
        self.stale_since(now).is_none()
    }

    /// Time at which another connection is tried in parallel with this one, unless a heartbeat is received
    /// before.
    fn fallback_at(&self) -> u64 {
        match self.stage {
            Stage::Dialing => self.started_at + SLOW_DIAL_US,
            Stage::Open => self.started_at + STALE_TIMEOUT_US,
            Stage::Alive { at, expires_at } => {
                expires_at.min(at + HEARTBEAT_TIMEOUT_US).max(self.started_at) + STALE_TIMEOUT_US
            }
        }
    }

    /// Time from which this connection may be closed in favor of a third one. `None` for a connection being
    /// opened, which ends by its own timeout.
    fn give_up_at(&self) -> Option<u64> {
        match self.stage {
            Stage::Dialing => None,
            Stage::Open | Stage::Alive { .. } => Some(self.fallback_at()),
        }
    }

    /// Sort key of connections: the better connection has the larger one.
    fn quality(&self) -> (u64, u64) {
        match self.stage {
            Stage::Dialing => (0, self.started_at),
            Stage::Open => (1, self.started_at),
            Stage::Alive { expires_at, .. } => (expires_at.max(2), self.started_at),
        }
    }
}

impl SourceSelector {
    /// Creates a selector without connections; the first attempt is due immediately.
    pub fn new(directory: AddressDirectory, random: fastrand::Rng) -> Self {
        let links = Vec::with_capacity(MAX_LINKS);
        Self { directory, links, active: None, last_link: 0, failures: 0, next_dial_at: 0, random }
    }

    /// The connection that reports are sent to and grants are accepted from.
    pub fn active(&self) -> Option<LinkId> {
        self.active
    }

    /// True if the connection's source is current at `now`.
    pub fn is_current(&self, link: LinkId, now: u64) -> bool {
        self.link(link).is_some_and(|link| link.is_current(now))
    }

    /// Records that a connection was opened at `now`.
    pub fn record_opened(&mut self, id: LinkId, now: u64) {
        let Some(link) = self.links.iter_mut().find(|link| link.id == id) else { return };
        link.started_at = now;
        link.stage = Stage::Open;
        if self.active.is_none() {
            self.active = Some(id);
        }
    }

    /// Records a heartbeat received at `now`. Returns whether [`Self::poll`] has to be called because of it.
    pub fn record_heartbeat(&mut self, id: LinkId, heartbeat: &Heartbeat, now: u64) -> bool {
        let is_only_link = self.links.len() == 1;
        let Some(link) = self.links.iter_mut().find(|link| link.id == id) else { return false };
        let was_current = link.is_current(now);
        let age = heartbeat.confirmed_age_ms.saturating_mul(MICROS_PER_MS);
        link.stage =
            Stage::Alive { at: now, expires_at: (now + MAX_CONFIRMATION_AGE_US).saturating_sub(age) };
        if !link.is_current(now) {
            // A former leader that lost its lease reports at once that its state is not confirmed, so the
            // selection is reconsidered without waiting for a timeout.
            return was_current;
        }
        self.failures = 0;
        self.directory.record_success(link.address);
        !(is_only_link && was_current)
    }

    /// Records that a connection ended or failed to open at `now`.
    pub fn record_closed(&mut self, id: LinkId, now: u64) {
        let Some(index) = self.links.iter().position(|link| link.id == id) else { return };
        let link = self.links.remove(index);
        self.directory.record_failure(link.address);
        self.back_off(now);
        self.choose_active(now);
    }

    /// Returns the actions that are due at `now`.
    pub fn poll(&mut self, now: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.choose_active(now);
        if self.any_current(now) {
            self.close_all_but_active(&mut actions);
            return actions;
        }
        if self.links.len() == MAX_LINKS && self.all_given_up(now) {
            self.close_worst(now, &mut actions);
        }
        if self.needs_another_link(now) && now >= self.next_dial_at {
            self.dial_next(now, &mut actions);
        }
        actions
    }

    /// Time at which [`Self::poll`] has to be called next if no event occurs before. `None` if only an event
    /// can make an action due.
    pub fn next_poll(&self, now: u64) -> Option<u64> {
        if self.links.len() == MAX_LINKS {
            let give_up_times = self.links.iter().map(Link::give_up_at);
            return give_up_times.collect::<Option<Vec<u64>>>()?.into_iter().max();
        }
        if self.directory.is_empty() {
            return None;
        }
        let needed_at = self.links.first().map_or(now, Link::fallback_at);
        Some(needed_at.max(self.next_dial_at))
    }

    fn link(&self, id: LinkId) -> Option<&Link> {
        self.links.iter().find(|link| link.id == id)
    }

    fn any_current(&self, now: u64) -> bool {
        self.links.iter().any(|link| link.is_current(now))
    }

    fn all_given_up(&self, now: u64) -> bool {
        self.links.iter().all(|link| link.give_up_at().is_some_and(|at| at <= now))
    }

    fn needs_another_link(&self, now: u64) -> bool {
        self.links.len() < MAX_LINKS && self.links.iter().all(|link| link.fallback_at() <= now)
    }

    /// A current source stays active. Otherwise another current source becomes active. If no source is
    /// current, the active one is kept, or the best open one becomes active if there was none.
    fn choose_active(&mut self, now: u64) {
        let active = self.active.and_then(|id| self.link(id));
        if active.is_some_and(|link| link.is_current(now)) {
            return;
        }
        let current = self.links.iter().find(|link| link.is_current(now));
        let open = self.links.iter().filter(|link| !matches!(link.stage, Stage::Dialing));
        let best = open.max_by_key(|link| link.quality());
        self.active = current.or(active).or(best).map(|link| link.id);
    }

    fn close_all_but_active(&mut self, actions: &mut Vec<Action>) {
        let active = self.active;
        self.links.retain(|link| {
            let kept = active == Some(link.id);
            if !kept {
                actions.push(Action::Close(link.id));
            }
            kept
        });
    }

    fn close_worst(&mut self, now: u64, actions: &mut Vec<Action>) {
        let Some(worst) = self.links.iter().min_by_key(|link| link.quality()).map(|link| link.id) else {
            return;
        };
        actions.push(Action::Close(worst));
        self.record_closed(worst, now);
    }

    fn dial_next(&mut self, now: u64, actions: &mut Vec<Action>) {
        let connected: Vec<SocketAddr> = self.links.iter().map(|link| link.address).collect();
        let Some(address) = self.directory.pick(&connected, &mut self.random, now) else {
            self.back_off(now);
            return;
        };
        self.last_link += 1;
        let link = self.last_link;
        self.links.push(Link { id: link, address, started_at: now, stage: Stage::Dialing });
        actions.push(Action::Dial { link, address });
    }

    /// Delays the next attempt. The pause doubles after each round through all addresses, and is jittered.
    fn back_off(&mut self, now: u64) {
        let rounds = self.failures / (self.directory.len().max(1) as u32);
        let pause = MIN_BACKOFF_US.saturating_mul(1 << rounds.min(8)).min(MAX_BACKOFF_US);
        let jittered = self.random.u64(pause / 2..=pause);
        self.failures = self.failures.saturating_add(1);
        self.next_dial_at = now + jittered;
    }
}
