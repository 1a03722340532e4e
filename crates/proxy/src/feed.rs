//! What the agent on the machine feeds: configuration, servers, grants.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dunelink_feed::{Change, FeedError, FeedReader, FeedState, RosterEntry};
use dunelink_protocol::hello::PROTOCOL_VERSION;
use dunelink_protocol::{FeedMessage, Hello, LinkKind, PROMPT_UNIT_TOKENS, ProxyMessage};
use dunelink_routing::ServerInfo;
use dunelink_runtime::aside::{aside, is_long};
use dunelink_runtime::{LinkError, LinkWriter, dial};
use dunelink_settings::{ConfigError, FleetConfig};
use slog::{info, warn};
use thiserror::Error;
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior};

use crate::configuration::Configuration;
use crate::node::Node;

/// Pause between attempts to reach the agent.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// How long the agent may take to answer a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// An agent that says nothing for so long is gone.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// How often the agent is told of demand and outcomes.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// The least time between two reports: one that is wanted sooner waits for so long.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(40);

/// Why a connection to the agent ended.
#[derive(Debug, Error)]
enum Disconnected {
    /// It was lost.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The agent broke the rules of the feed.
    #[error(transparent)]
    Feed(#[from] FeedError),
    /// The agent's changes follow another roster than the one held.
    #[error("the agent's changes follow another roster than the one held: the connection is opened anew")]
    RosterGap,
}

/// Takes in what the agent feeds, for as long as it is polled.
pub async fn run(node: Rc<Node>) {
    let mut consumer = FeedConsumer::new(node.clone());
    loop {
        // The agent may start after this process, and restart at any time.
        let reason = follow_connection(&node, &mut consumer).await;
        slog::debug!(node.log, "agent lost"; "reason" => %reason);
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// One connection to the agent, to its end.
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
                    return Err(LinkError::Silent(SILENCE_TIMEOUT).into());
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

/// What was fed, from one connection to the next.
struct FeedConsumer {
    node: Rc<Node>,
    state: FeedState,
    reader: FeedReader,
}

impl FeedConsumer {
    fn new(node: Rc<Node>) -> Self {
        Self { node, state: FeedState::default(), reader: FeedReader::new() }
    }

    /// A new connection begins with a whole configuration and a whole roster; what is held already is left out.
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
            Change::Heartbeat(tick) => self.node.observe_heartbeat(&tick),
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

    /// Tells the router how many requests of the fleet are at the servers, unless another roster is meant.
    fn apply_loads(&self, now: u64) {
        let Some((loads, _)) = self.state.loads.get() else { return };
        let roster = &self.state.roster;
        if roster.offset() != Some(loads.roster) {
            return;
        }
        let loads_by_position = loads.in_flight.iter().zip(&loads.pending_prompt_units);
        let server_loads = roster.servers().skip(loads.first_server as usize).zip(loads_by_position);
        let mut router = self.node.router.borrow_mut();
        for (listed, (requests, pending_prompt_tokens)) in server_loads {
            let pending_prompt_tokens = u32::from(*pending_prompt_tokens) * PROMPT_UNIT_TOKENS;
            router.observe_fleet_load(now, &listed.entry.id, u32::from(*requests), pending_prompt_tokens);
        }
    }

    /// Puts what was fed last in force. Its bytes are not kept.
    fn apply_configuration(&mut self) {
        let Some(received) = &mut self.state.configuration else { return };
        let (version, bytes) = (received.version, std::mem::take(&mut received.bytes));
        if !is_long(bytes.len()) {
            return activate(&self.node, version, parse_configuration(bytes));
        }
        // Clients are served while it is read. Should a newer one come meanwhile, that one stays in force.
        let node = self.node.clone();
        spawn_local(async move {
            let Some(parsed) = aside(bytes, parse_configuration).await else { return };
            activate(&node, version, parsed);
        });
    }

    fn server_infos(&self, now: u64) -> Vec<ServerInfo> {
        self.state.roster.servers().filter_map(|listed| server_info(listed, now)).collect()
    }
}

fn parse_configuration(bytes: Bytes) -> Result<Configuration, ConfigError> {
    FleetConfig::parse(&bytes).map(Configuration::new)
}

fn activate(node: &Node, version: u64, parsed: Result<Configuration, ConfigError>) {
    match parsed {
        Ok(configuration) => {
            info!(node.log, "configuration in force"; "version" => version);
            node.activate_configuration(configuration);
        }
        Err(error) => warn!(node.log, "configuration left out"; "version" => version, "reason" => %error),
    }
}

/// A server for the router; nothing if its address can't be read.
fn server_info(listed: &RosterEntry, now: u64) -> Option<ServerInfo> {
    let entry = listed.entry_at(now);
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
