//! Receives configuration, servers and grants from the agent on the machine.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dunelink_feed::{Change, FeedError, FeedReader, FeedState, RosterEntry};
use dunelink_protocol::hello::PROTOCOL_VERSION;
use dunelink_protocol::{FeedMessage, Hello, LinkKind, PROMPT_UNIT_TOKENS, ProxyMessage};
use dunelink_routing::ServerInfo;
use dunelink_runtime::offload::{is_large_document, offload_if_large};
use dunelink_runtime::{LinkError, LinkWriter, dial};
use dunelink_settings::{ConfigError, FleetConfig};
use slog::{info, warn};
use thiserror::Error;
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior};

use crate::configuration::Configuration;
use crate::node::Node;

/// Delay between attempts to connect to the agent.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// Timeout for connecting to the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The connection is given up if the agent sends nothing for this time.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval between reports of demand and outcomes to the agent.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Minimum time between two reports; a report that is requested earlier is delayed until then.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(40);

/// Why a connection to the agent ended.
#[derive(Debug, Error)]
enum Disconnected {
    /// The connection was lost.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The agent violated the feed protocol.
    #[error(transparent)]
    Feed(#[from] FeedError),
    /// The agent's roster changes are based on a different roster than the local one.
    #[error("the agent's roster changes are based on a different roster than the local one: reconnecting")]
    RosterGap,
}

/// Processes the agent's feed for as long as the future is polled.
pub async fn run(node: Rc<Node>) {
    let mut consumer = FeedConsumer::new(node.clone());
    loop {
        // The agent may start after this process, and may restart at any time.
        let reason = follow_connection(&node, &mut consumer).await;
        slog::debug!(node.log, "connection to the agent lost"; "reason" => %reason);
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Processes one connection to the agent until it ends.
async fn follow_connection(node: &Node, consumer: &mut FeedConsumer) -> Disconnected {
    match process_messages(node, consumer).await {
        Ok(never) => match never {},
        Err(error) => error,
    }
}

async fn process_messages(node: &Node, consumer: &mut FeedConsumer) -> Result<Infallible, Disconnected> {
    let agent = SocketAddr::new(node.boot.ip, node.boot.agent_feed_port());
    let (mut reader, mut writer) = dial(agent, CONNECT_TIMEOUT, SILENCE_TIMEOUT).await?;
    writer.write(&hello_message(node)).await?;
    consumer.begin_connection();
    let mut reports = tokio::time::interval(REPORT_INTERVAL);
    reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_received = Instant::now();
    let mut last_reported = Instant::now();
    loop {
        tokio::select! {
            message = reader.read::<FeedMessage>() => {
                last_received = Instant::now();
                consumer.apply(message?)?;
            }
            _ = reports.tick() => {
                if last_received.elapsed() > SILENCE_TIMEOUT {
                    return Err(LinkError::Timeout(SILENCE_TIMEOUT).into());
                }
                last_reported = Instant::now();
                send_report(node, &mut writer).await?;
            }
            () = node.report_requested.notified() => {
                let earliest = last_reported + MIN_REPORT_INTERVAL;
                reports.reset_after(earliest.saturating_duration_since(Instant::now()));
            }
        }
    }
}

async fn send_report(node: &Node, writer: &mut LinkWriter) -> Result<(), LinkError> {
    writer.write(&ProxyMessage::Report(node.report())).await
}

fn hello_message(node: &Node) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        link: LinkKind::Proxy,
        node: node.boot.node_name.clone(),
        ip: node.boot.ip.to_string(),
        zone: node.boot.zone.clone(),
    }
}

/// The state received from the agent; it is kept across connections.
struct FeedConsumer {
    node: Rc<Node>,
    state: FeedState,
    reader: FeedReader,
}

impl FeedConsumer {
    fn new(node: Rc<Node>) -> Self {
        Self { node, state: FeedState::default(), reader: FeedReader::new() }
    }

    /// Prepares for a new connection, which starts with a complete configuration and a complete roster. Parts
    /// that are already present are skipped.
    fn begin_connection(&mut self) {
        self.reader = FeedReader::new();
        self.node.request_full_loads();
    }

    fn apply(&mut self, message: FeedMessage) -> Result<(), Disconnected> {
        let now = self.node.clock.now();
        match self.reader.apply(&mut self.state, message, now)? {
            Change::Nothing | Change::Members => {}
            Change::Configuration => self.apply_configuration(),
            Change::Roster => self.node.set_servers(&self.server_infos(now)),
            Change::Heartbeat(heartbeat) => self.node.observe_heartbeat(&heartbeat),
            Change::Grants => {
                if let Some((update, _)) = self.state.grants.get() {
                    self.node.apply_grants(update);
                }
            }
            Change::Suspicions => {
                if let Some((suspicions, _)) = self.state.suspicions.get() {
                    self.node.apply_suspicions(suspicions);
                }
            }
            Change::Loads => self.apply_loads(now),
            Change::Resubscribe => return Err(Disconnected::RosterGap),
        }
        Ok(())
    }

    /// Passes on to the router how many of the fleet's requests are at each server, unless the loads refer to
    /// a different roster.
    fn apply_loads(&self, now: u64) {
        let Some((loads, _)) = self.state.loads.get() else { return };
        let roster = &self.state.roster;
        if roster.offset() != Some(loads.roster) {
            return;
        }
        let loads_by_position = loads.in_flight.iter().zip(&loads.pending_prompt_units);
        let server_loads = roster.servers().skip(loads.first_server as usize).zip(loads_by_position);
        let mut router = self.node.router.borrow_mut();
        for (roster_entry, (requests, pending_prompt_tokens)) in server_loads {
            let pending_prompt_tokens = u32::from(*pending_prompt_tokens) * PROMPT_UNIT_TOKENS;
            router.observe_fleet_load(
                now,
                &roster_entry.entry.id,
                u32::from(*requests),
                pending_prompt_tokens,
            );
        }
    }

    /// Activates the configuration that was received last. Its bytes are not kept.
    fn apply_configuration(&mut self) {
        let Some(received) = &mut self.state.configuration else { return };
        let (version, bytes) = (received.version, std::mem::take(&mut received.bytes));
        if !is_large_document(bytes.len()) {
            return activate(&self.node, version, parse_configuration(bytes));
        }
        // Requests are served while a long configuration is parsed. If a newer one arrives meanwhile, the
        // newer one stays active.
        let node = self.node.clone();
        spawn_local(async move {
            let Some(parsed) = offload_if_large(bytes, parse_configuration).await else { return };
            activate(&node, version, parsed);
        });
    }

    fn server_infos(&self, now: u64) -> Vec<ServerInfo> {
        self.state.roster.servers().filter_map(|roster_entry| server_info(roster_entry, now)).collect()
    }
}

fn parse_configuration(bytes: Bytes) -> Result<Configuration, ConfigError> {
    FleetConfig::parse(&bytes).map(Configuration::new)
}

fn activate(node: &Node, version: u64, parsed: Result<Configuration, ConfigError>) {
    match parsed {
        Ok(configuration) => {
            info!(node.log, "configuration activated"; "version" => version);
            node.activate_configuration(configuration);
        }
        Err(error) => warn!(node.log, "configuration rejected"; "version" => version, "reason" => %error),
    }
}

/// Converts a roster entry for the router; `None` if its address is invalid.
fn server_info(roster_entry: &RosterEntry, now: u64) -> Option<ServerInfo> {
    let entry = roster_entry.entry_at(now);
    Some(ServerInfo {
        id: entry.id,
        service: entry.service,
        address: entry.address.parse().ok()?,
        zone: entry.zone,
        slots: entry.slots,
        ready: entry.ready,
        cold_remaining_ms: entry.cold_remaining_ms,
    })
}
