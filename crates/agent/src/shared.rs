//! What the tasks of the agent share. Nothing is held across a wait.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dunelink_feed::{Change, FeedError, FeedState};
use dunelink_protocol::hello::PROTOCOL_VERSION;
use dunelink_protocol::{ControlMember, FeedMessage, Hello, LinkKind, ProxyReport};
use dunelink_runtime::Clock;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use crate::limit::LineLimit;
use crate::link_feed::LinkFeed;
use crate::reports::PendingReport;
use crate::sources::{LinkId, Sources};

/// Who this agent is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the machine.
    pub node: String,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine.
    pub zone: String,
}

impl Identity {
    /// The message that opens a connection to a control machine.
    pub fn hello(&self) -> Hello {
        Hello {
            protocol_version: PROTOCOL_VERSION,
            link: LinkKind::Agent,
            node: self.node.clone(),
            ip: self.ip.to_string(),
            zone: self.zone.clone(),
        }
    }
}

/// What the tasks share.
#[derive(Debug)]
pub struct Shared {
    /// Who this agent is.
    pub identity: Identity,
    /// The steady clock.
    pub clock: Clock,
    /// Where events are written.
    pub log: Logger,
    /// Rings when the proxy may lack something.
    pub feed_changed: Notify,
    /// Rings when the choice of sources is to be looked at.
    pub sources_changed: Notify,
    inner: Mutex<Inner>,
}

/// What changes.
#[derive(Debug)]
pub struct Inner {
    /// The newest of everything that was fed.
    pub feed: FeedState,
    /// The connections to control machines.
    pub sources: Sources,
    /// What the proxy reported and no source has taken yet.
    pub report: PendingReport,
    outboxes: BTreeMap<LinkId, Arc<Outbox>>,
    lost_links: LineLimit,
    bad_proxies: LineLimit,
}

/// Tells the writing end of a connection what to send.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Rings when there may be something to send.
    pub changed: Notify,
    subscribe: AtomicBool,
}

impl Outbox {
    /// Asks for a new subscription.
    fn ask_subscription(&self) {
        self.subscribe.store(true, Ordering::Relaxed);
        self.changed.notify_one();
    }

    /// True once if a new subscription is to be sent.
    pub fn take_subscription(&self) -> bool {
        self.subscribe.swap(false, Ordering::Relaxed)
    }
}

impl Shared {
    /// The state of an agent that has nothing yet.
    pub fn new(identity: Identity, clock: Clock, log: Logger, sources: Sources) -> Self {
        let inner = Inner {
            feed: FeedState::default(),
            sources,
            report: PendingReport::default(),
            outboxes: BTreeMap::new(),
            lost_links: LineLimit::default(),
            bad_proxies: LineLimit::default(),
        };
        let (feed_changed, sources_changed) = (Notify::new(), Notify::new());
        Self { identity, clock, log, feed_changed, sources_changed, inner: Mutex::new(inner) }
    }

    /// What changes, for as long as the guard lives.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.lock().sources.directory.set_seeds(seeds);
        self.sources_changed.notify_one();
    }

    /// Notes that a connection is open and gives what tells it what to send.
    pub fn link_opened(&self, link: LinkId) -> Arc<Outbox> {
        let now = self.clock.now();
        let outbox = Arc::new(Outbox::default());
        let mut inner = self.lock();
        inner.sources.opened(link, now);
        inner.outboxes.insert(link, Arc::clone(&outbox));
        drop(inner);
        self.sources_changed.notify_one();
        outbox
    }

    /// Notes that a connection ended by itself or could not be opened.
    pub fn link_lost(&self, link: LinkId, address: SocketAddr, reason: &dyn std::fmt::Display) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.outboxes.remove(&link);
        inner.sources.closed(link, now);
        if let Some(left_out) = inner.lost_links.pass(now) {
            info!(self.log, "no link to a control machine"; "address" => %address, "reason" => %reason,
                "left_out" => left_out);
        }
        drop(inner);
        self.sources_changed.notify_one();
    }

    /// Notes that a connection was closed on purpose.
    pub fn link_dropped(&self, link: LinkId) {
        self.lock().outboxes.remove(&link);
    }

    /// Takes a message of a connection.
    ///
    /// # Errors
    ///
    /// The message breaks the rules of the feed: the connection is to be closed.
    pub fn take(&self, link: LinkId, feed: &mut LinkFeed, message: FeedMessage) -> Result<(), FeedError> {
        let now = self.clock.now();
        let mut inner = self.lock();
        if !inner.accepts(link, &message) {
            return Ok(());
        }
        let (change, subscribe) = feed.take(&mut inner.feed, message, now)?;
        if subscribe && let Some(outbox) = inner.outboxes.get(&link) {
            outbox.ask_subscription();
        }
        self.follow(&mut inner, link, change, now);
        Ok(())
    }

    /// Takes a report of the proxy.
    pub fn report(&self, report: ProxyReport) {
        let mut inner = self.lock();
        inner.report.add(report);
        inner.wake_active();
    }

    /// Writes that a connection to the proxy's port was closed.
    pub fn refuse_proxy(&self, peer: SocketAddr, reason: &dyn std::fmt::Display) {
        let now = self.clock.now();
        if let Some(left_out) = self.lock().bad_proxies.pass(now) {
            warn!(self.log, "connection to the feed's port closed"; "peer" => %peer, "reason" => %reason,
                "left_out" => left_out);
        }
    }

    fn follow(&self, inner: &mut Inner, link: LinkId, change: Change, now: u64) {
        match change {
            Change::Nothing | Change::Resubscribe => return,
            Change::Members => {
                let is_current = inner.sources.is_current(link, now);
                let members = addresses(&inner.feed.members);
                inner.sources.directory.learn(members, is_current);
                return;
            }
            Change::Heartbeat(tick) => {
                if inner.sources.ticked(link, &tick, now) {
                    self.sources_changed.notify_one();
                }
            }
            Change::Configuration => {
                info!(self.log, "configuration"; "version" => inner.feed.configuration_version())
            }
            Change::Roster | Change::Grants | Change::Suspicions | Change::Loads => {}
        }
        self.feed_changed.notify_one();
    }
}

impl Inner {
    /// Wakes the connection that takes reports, if something waits for it.
    pub fn wake_active(&self) {
        let active = self.sources.active().and_then(|active| self.outboxes.get(&active));
        if let Some(outbox) = active.filter(|_| self.report.is_waiting()) {
            outbox.changed.notify_one();
        }
    }

    /// What follows from reports comes only from the connection that takes them.
    fn accepts(&self, link: LinkId, message: &FeedMessage) -> bool {
        let bound =
            matches!(message, FeedMessage::Grants(_) | FeedMessage::Suspicions(_) | FeedMessage::Loads(_));
        !bound || self.sources.active() == Some(link)
    }
}

fn addresses(members: &[ControlMember]) -> Vec<SocketAddr> {
    members.iter().filter_map(|member| member.internal_address.parse().ok()).collect()
}
