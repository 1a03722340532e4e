//! The state that the agent's tasks share. The lock is never held across an `await`.

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

use crate::link_feed::LinkFeed;
use crate::log_rate_limit::LogRateLimit;
use crate::reports::PendingReport;
use crate::sources::{LinkId, SourceSelector};

/// Identity of the machine that this agent runs on.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Node name of the machine.
    pub node: String,
    /// IP address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine; may be empty.
    pub zone: String,
}

impl Identity {
    /// The first message on a connection to a control machine.
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

/// The state shared by all tasks of the agent.
#[derive(Debug)]
pub struct AgentState {
    /// Identity of the machine.
    pub identity: Identity,
    /// The monotonic clock of the agent.
    pub clock: Clock,
    /// The log of the agent.
    pub log: Logger,
    /// Notified when there may be something new to send to the proxy.
    pub feed_changed: Notify,
    /// Notified when [`SourceSelector::poll`] has to be called.
    pub sources_changed: Notify,
    inner: Mutex<LockedState>,
}

/// The mutable part of the state.
#[derive(Debug)]
pub struct LockedState {
    /// The newest data received from control machines.
    pub feed: FeedState,
    /// The connections to control machines.
    pub sources: SourceSelector,
    /// Data reported by the proxy that has not yet been sent to a control machine.
    pub report: PendingReport,
    writer_signals: BTreeMap<LinkId, Arc<WriterSignal>>,
    link_failure_log: LogRateLimit,
    refused_proxy_log: LogRateLimit,
}

/// Tells the writing task of a connection that it has something to send.
#[derive(Debug, Default)]
pub struct WriterSignal {
    /// Notified when there may be something to send.
    pub notify: Notify,
    subscribe: AtomicBool,
}

impl WriterSignal {
    /// Requests that a new subscription be sent.
    fn request_resubscribe(&self) {
        self.subscribe.store(true, Ordering::Relaxed);
        self.notify.notify_one();
    }

    /// Returns whether a new subscription was requested, and clears the request.
    pub fn take_resubscribe_request(&self) -> bool {
        self.subscribe.swap(false, Ordering::Relaxed)
    }
}

impl AgentState {
    /// Creates the state of an agent that has not received any data.
    pub fn new(identity: Identity, clock: Clock, log: Logger, sources: SourceSelector) -> Self {
        let inner = LockedState {
            feed: FeedState::default(),
            sources,
            report: PendingReport::default(),
            writer_signals: BTreeMap::new(),
            link_failure_log: LogRateLimit::default(),
            refused_proxy_log: LogRateLimit::default(),
        };
        let (feed_changed, sources_changed) = (Notify::new(), Notify::new());
        Self { identity, clock, log, feed_changed, sources_changed, inner: Mutex::new(inner) }
    }

    /// Locks the mutable part of the state.
    pub fn lock(&self) -> MutexGuard<'_, LockedState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.lock().sources.directory.set_seeds(seeds);
        self.sources_changed.notify_one();
    }

    /// Registers an open connection and returns the signal for its writing task.
    pub fn link_opened(&self, link: LinkId) -> Arc<WriterSignal> {
        let now = self.clock.now();
        let signal = Arc::new(WriterSignal::default());
        let mut inner = self.lock();
        inner.sources.record_opened(link, now);
        inner.writer_signals.insert(link, Arc::clone(&signal));
        drop(inner);
        self.sources_changed.notify_one();
        signal
    }

    /// Handles a connection that failed to open or ended without a request of this agent.
    pub fn link_failed(&self, link: LinkId, address: SocketAddr, reason: &dyn std::fmt::Display) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.writer_signals.remove(&link);
        inner.sources.record_closed(link, now);
        if let Some(suppressed) = inner.link_failure_log.admit(now) {
            info!(self.log, "connection to a control machine failed"; "address" => %address,
                "reason" => %reason, "left_out" => suppressed);
        }
        drop(inner);
        self.sources_changed.notify_one();
    }

    /// Handles a connection that this agent closed.
    pub fn link_closed(&self, link: LinkId) {
        self.lock().writer_signals.remove(&link);
    }

    /// Handles a message received on a connection.
    ///
    /// # Errors
    ///
    /// The message violates the feed protocol; the connection has to be closed.
    pub fn receive(&self, link: LinkId, feed: &mut LinkFeed, message: FeedMessage) -> Result<(), FeedError> {
        let now = self.clock.now();
        let mut inner = self.lock();
        if !inner.accepts(link, &message) {
            return Ok(());
        }
        let (change, subscribe) = feed.receive(&mut inner.feed, message, now)?;
        if subscribe && let Some(signal) = inner.writer_signals.get(&link) {
            signal.request_resubscribe();
        }
        self.apply_change(&mut inner, link, change, now);
        Ok(())
    }

    /// Adds a report of the proxy to the pending report.
    pub fn add_report(&self, report: ProxyReport) {
        let mut inner = self.lock();
        inner.report.add(report);
        inner.wake_active();
    }

    /// Logs that a connection to the proxy's port was closed or refused; at most one line per second.
    pub fn log_refused_proxy(&self, peer: SocketAddr, reason: &dyn std::fmt::Display) {
        let now = self.clock.now();
        if let Some(suppressed) = self.lock().refused_proxy_log.admit(now) {
            warn!(self.log, "connection to the feed port closed"; "peer" => %peer, "reason" => %reason,
                "left_out" => suppressed);
        }
    }

    fn apply_change(&self, inner: &mut LockedState, link: LinkId, change: Change, now: u64) {
        match change {
            Change::Nothing | Change::Resubscribe => return,
            Change::Members => {
                let is_current = inner.sources.is_current(link, now);
                let members = addresses(&inner.feed.members);
                inner.sources.directory.update_members(members, is_current);
                return;
            }
            Change::Heartbeat(heartbeat) => {
                if inner.sources.record_heartbeat(link, &heartbeat, now) {
                    self.sources_changed.notify_one();
                }
            }
            Change::Configuration => {
                info!(self.log, "configuration received"; "version" => inner.feed.configuration_version())
            }
            Change::Roster | Change::Grants | Change::Suspicions | Change::Loads => {}
        }
        self.feed_changed.notify_one();
    }
}

impl LockedState {
    /// Wakes the writing task of the active connection if a report is pending.
    pub fn wake_active(&self) {
        let active = self.sources.active().and_then(|active| self.writer_signals.get(&active));
        if let Some(signal) = active.filter(|_| self.report.has_report()) {
            signal.notify.notify_one();
        }
    }

    /// Whether a message is accepted from a connection. Grants, suspicions and loads are computed from this
    /// agent's reports, so they are accepted only from the active connection, to which the reports are sent.
    fn accepts(&self, link: LinkId, message: &FeedMessage) -> bool {
        let answers_report =
            matches!(message, FeedMessage::Grants(_) | FeedMessage::Suspicions(_) | FeedMessage::Loads(_));
        !answers_report || self.sources.active() == Some(link)
    }
}

fn addresses(members: &[ControlMember]) -> Vec<SocketAddr> {
    members.iter().filter_map(|member| member.internal_address.parse().ok()).collect()
}
