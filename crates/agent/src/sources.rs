//! Which control machines to be connected to: a state machine without I/O.
//!
//! A source is *current* while signs of life arrive and the proof they carry is young. One current source is
//! enough. While there is none, up to two connections are kept: the better one so far, and one that tries another
//! machine. Times are microseconds on a steady clock.

use std::net::SocketAddr;

use dunelink_protocol::Heartbeat;

use crate::directory::Directory;

/// A source without a sign of life for this long is not current.
pub const SILENCE: u64 = 800_000;
/// A source whose last proof is older than this is not current.
pub const CONFIRMED: u64 = 1_000_000;
/// A source that is not current for this long is given up.
pub const DOUBT: u64 = 700_000;
/// A connection that takes longer than this is tried in parallel with another one.
const SLOW_DIAL: u64 = 250_000;
/// Shortest pause between attempts.
const BACKOFF_MIN: u64 = 100_000;
/// Longest pause between attempts.
const BACKOFF_MAX: u64 = 1_000_000;
/// Connections at once.
const LINKS: usize = 2;
/// Microseconds in a millisecond.
const MICROS: u64 = 1_000;

/// Names a connection.
pub type LinkId = u64;

/// What is to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Open a connection.
    Dial {
        /// Its name from now on.
        link: LinkId,
        /// Where to.
        address: SocketAddr,
    },
    /// Close a connection.
    Close(LinkId),
}

/// The connections, and when to try another.
#[derive(Debug)]
pub struct Sources {
    /// The addresses known.
    pub directory: Directory,
    links: Vec<Link>,
    active: Option<LinkId>,
    last_link: LinkId,
    failures: u32,
    next_dial_at: u64,
    random: fastrand::Rng,
}

#[derive(Debug)]
struct Link {
    id: LinkId,
    address: SocketAddr,
    begun_at: u64,
    stage: Stage,
}

#[derive(Debug)]
enum Stage {
    Dialing,
    Open,
    /// A sign of life came at `at`; after `expires_at` it no longer proves anything.
    Alive {
        at: u64,
        expires_at: u64,
    },
}

impl Link {
    /// Since when the source has not been current; nothing if it is.
    fn doubted_since(&self, now: u64) -> Option<u64> {
        let since = match self.stage {
            Stage::Dialing | Stage::Open => self.begun_at,
            Stage::Alive { at, expires_at } => expires_at.min(at + SILENCE).max(self.begun_at),
        };
        (since <= now).then_some(since)
    }

    fn is_current(&self, now: u64) -> bool {
        self.doubted_since(now).is_none()
    }

    /// When another connection is to be tried beside this one, unless signs of life come before.
    fn doubtful_at(&self) -> u64 {
        match self.stage {
            Stage::Dialing => self.begun_at + SLOW_DIAL,
            Stage::Open => self.begun_at + DOUBT,
            Stage::Alive { at, expires_at } => expires_at.min(at + SILENCE).max(self.begun_at) + DOUBT,
        }
    }

    /// When this connection may be given up for a third one. A connection being opened is given up by its own
    /// patience.
    fn given_up_at(&self) -> Option<u64> {
        match self.stage {
            Stage::Dialing => None,
            Stage::Open | Stage::Alive { .. } => Some(self.doubtful_at()),
        }
    }

    /// Larger for the better connection.
    fn worth(&self) -> (u64, u64) {
        match self.stage {
            Stage::Dialing => (0, self.begun_at),
            Stage::Open => (1, self.begun_at),
            Stage::Alive { expires_at, .. } => (expires_at.max(2), self.begun_at),
        }
    }
}

impl Sources {
    /// No connections yet; the first attempt is due at once.
    pub fn new(directory: Directory, random: fastrand::Rng) -> Self {
        let links = Vec::with_capacity(LINKS);
        Self { directory, links, active: None, last_link: 0, failures: 0, next_dial_at: 0, random }
    }

    /// The connection that takes reports and gives grants.
    pub fn active(&self) -> Option<LinkId> {
        self.active
    }

    /// True if the connection's source is current at `now`.
    pub fn is_current(&self, link: LinkId, now: u64) -> bool {
        self.link(link).is_some_and(|link| link.is_current(now))
    }

    /// Notes that a connection is open since `now`.
    pub fn opened(&mut self, id: LinkId, now: u64) {
        let Some(link) = self.links.iter_mut().find(|link| link.id == id) else { return };
        link.begun_at = now;
        link.stage = Stage::Open;
        if self.active.is_none() {
            self.active = Some(id);
        }
    }

    /// Notes a sign of life received at `now`. True if [`Self::poll`] is to be called because of it.
    pub fn ticked(&mut self, id: LinkId, tick: &Heartbeat, now: u64) -> bool {
        let lonely = self.links.len() == 1;
        let Some(link) = self.links.iter_mut().find(|link| link.id == id) else { return false };
        let was_current = link.is_current(now);
        let age = tick.confirmed_age_ms.saturating_mul(MICROS);
        link.stage = Stage::Alive { at: now, expires_at: (now + CONFIRMED).saturating_sub(age) };
        if !link.is_current(now) {
            // One that led and was cut off tells at once that it proves nothing: its time is not waited for.
            return was_current;
        }
        self.failures = 0;
        self.directory.succeeded(link.address);
        !(lonely && was_current)
    }

    /// Notes that a connection ended or could not be opened, at `now`.
    pub fn closed(&mut self, id: LinkId, now: u64) {
        let Some(index) = self.links.iter().position(|link| link.id == id) else { return };
        let link = self.links.remove(index);
        self.directory.failed(link.address);
        self.back_off(now);
        self.choose_active(now);
    }

    /// What is to be done at `now`.
    pub fn poll(&mut self, now: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.choose_active(now);
        if self.any_current(now) {
            self.close_all_but_active(&mut actions);
            return actions;
        }
        if self.links.len() == LINKS && self.all_given_up(now) {
            self.close_worst(now, &mut actions);
        }
        if self.wants_another(now) && now >= self.next_dial_at {
            self.dial(now, &mut actions);
        }
        actions
    }

    /// When [`Self::poll`] has to be called next, if nothing else happens; nothing if only an event can change
    /// anything.
    pub fn next_poll(&self, now: u64) -> Option<u64> {
        if self.links.len() == LINKS {
            let given_up = self.links.iter().map(Link::given_up_at);
            return given_up.collect::<Option<Vec<u64>>>()?.into_iter().max();
        }
        if self.directory.is_empty() {
            return None;
        }
        let wanted_at = self.links.first().map_or(now, Link::doubtful_at);
        Some(wanted_at.max(self.next_dial_at))
    }

    fn link(&self, id: LinkId) -> Option<&Link> {
        self.links.iter().find(|link| link.id == id)
    }

    fn any_current(&self, now: u64) -> bool {
        self.links.iter().any(|link| link.is_current(now))
    }

    fn all_given_up(&self, now: u64) -> bool {
        self.links.iter().all(|link| link.given_up_at().is_some_and(|at| at <= now))
    }

    fn wants_another(&self, now: u64) -> bool {
        self.links.len() < LINKS && self.links.iter().all(|link| link.doubtful_at() <= now)
    }

    /// A current source stays active; otherwise one that is current takes over, and failing that, the best open
    /// one if there was none.
    fn choose_active(&mut self, now: u64) {
        let active = self.active.and_then(|id| self.link(id));
        if active.is_some_and(|link| link.is_current(now)) {
            return;
        }
        let current = self.links.iter().find(|link| link.is_current(now));
        let open = self.links.iter().filter(|link| !matches!(link.stage, Stage::Dialing));
        let best = open.max_by_key(|link| link.worth());
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
        let Some(worst) = self.links.iter().min_by_key(|link| link.worth()).map(|link| link.id) else {
            return;
        };
        actions.push(Action::Close(worst));
        self.closed(worst, now);
    }

    fn dial(&mut self, now: u64, actions: &mut Vec<Action>) {
        let connected: Vec<SocketAddr> = self.links.iter().map(|link| link.address).collect();
        let Some(address) = self.directory.pick(&connected, &mut self.random, now) else {
            self.back_off(now);
            return;
        };
        self.last_link += 1;
        let link = self.last_link;
        self.links.push(Link { id: link, address, begun_at: now, stage: Stage::Dialing });
        actions.push(Action::Dial { link, address });
    }

    /// Puts the next attempt off. The pause doubles with each round of all addresses, and chance spreads it.
    fn back_off(&mut self, now: u64) {
        let rounds = self.failures / (self.directory.len().max(1) as u32);
        let pause = BACKOFF_MIN.saturating_mul(1 << rounds.min(8)).min(BACKOFF_MAX);
        let spread = self.random.u64(pause / 2..=pause);
        self.failures = self.failures.saturating_add(1);
        self.next_dial_at = now + spread;
    }
}
