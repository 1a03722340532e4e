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
const REDIAL: Duration = Duration::from_millis(150);
/// How long the agent may take to answer a connection.
const DIAL_WITHIN: Duration = Duration::from_millis(500);
/// An agent that says nothing for so long is gone.
const SILENCE: Duration = Duration::from_secs(4);
/// How often the agent is told of demand and outcomes.
const REPORT_EVERY: Duration = Duration::from_millis(150);
/// The least time between two reports: one that is wanted sooner waits for so long.
const REPORT_PAUSE: Duration = Duration::from_millis(40);

/// Why a connection to the agent ended.
#[derive(Debug, Error)]
enum Ended {
    /// It was lost.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The agent broke the rules of the feed.
    #[error(transparent)]
    Feed(#[from] FeedError),
    /// The agent's changes follow another roster than the one held.
    #[error("the agent's changes follow another roster than the one held: the connection is opened anew")]
    Gap,
}

/// Takes in what the agent feeds, for as long as it is polled.
pub async fn run(node: Rc<Node>) {
    let mut intake = Intake::new(node.clone());
    loop {
        // The agent may start after this process, and restart at any time.
        let ended = follow(&node, &mut intake).await;
        slog::debug!(node.log, "agent lost"; "reason" => %ended);
        tokio::time::sleep(REDIAL).await;
    }
}

/// One connection to the agent, to its end.
async fn follow(node: &Node, intake: &mut Intake) -> Ended {
    match follow_to_end(node, intake).await {
        Ok(never) => match never {},
        Err(error) => error,
    }
}

async fn follow_to_end(node: &Node, intake: &mut Intake) -> Result<Infallible, Ended> {
    let agent = SocketAddr::new(node.boot.ip, node.boot.agent_feed_port());
    let (mut reader, mut writer) = dial(agent, DIAL_WITHIN, SILENCE).await?;
    writer.write(&hello(node)).await?;
    intake.connected();
    let mut reports = tokio::time::interval(REPORT_EVERY);
    reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut heard = Instant::now();
    let mut reported = Instant::now();
    loop {
        tokio::select! {
            message = reader.read::<FeedMessage>() => {
                heard = Instant::now();
                intake.take(message?)?;
            }
            _ = reports.tick() => {
                if heard.elapsed() > SILENCE {
                    return Err(LinkError::Silent(SILENCE).into());
                }
                reported = Instant::now();
                report(node, &mut writer).await?;
            }
            () = node.report_wanted.notified() => {
                let soonest = reported + REPORT_PAUSE;
                reports.reset_after(soonest.saturating_duration_since(Instant::now()));
            }
        }
    }
}

async fn report(node: &Node, writer: &mut LinkWriter) -> Result<(), LinkError> {
    writer.write(&ProxyMessage::Report(node.report())).await
}

fn hello(node: &Node) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        link: LinkKind::Proxy,
        node: node.boot.node_name.clone(),
        ip: node.boot.ip.to_string(),
        zone: node.boot.zone.clone(),
    }
}

/// What was fed, from one connection to the next.
struct Intake {
    node: Rc<Node>,
    state: FeedState,
    reader: FeedReader,
}

impl Intake {
    fn new(node: Rc<Node>) -> Self {
        Self { node, state: FeedState::default(), reader: FeedReader::new() }
    }

    /// A new connection begins with a whole configuration and a whole roster; what is held already is left out.
    fn connected(&mut self) {
        self.reader = FeedReader::new();
        self.node.repeat_loads();
    }

    fn take(&mut self, message: FeedMessage) -> Result<(), Ended> {
        let now = self.node.clock.now();
        match self.reader.apply(&mut self.state, message, now)? {
            Change::Nothing | Change::Members => {}
            Change::Configuration => self.take_configuration(),
            Change::Roster => self.node.set_servers(&self.servers(now)),
            Change::Heartbeat(tick) => self.node.tick(&tick),
            Change::Grants => {
                if let Some((update, _)) = self.state.grants.get() {
                    self.node.apply_grants(update);
                }
            }
            Change::Suspicions => {
                if let Some((suspicions, _)) = self.state.suspicions.get() {
                    self.node.suspect(suspicions);
                }
            }
            Change::Loads => self.take_loads(now),
            Change::Resubscribe => return Err(Ended::Gap),
        }
        Ok(())
    }

    /// Tells the router how many requests of the fleet are at the servers, unless another roster is meant.
    fn take_loads(&self, now: u64) {
        let Some((loads, _)) = self.state.loads.get() else { return };
        let roster = &self.state.roster;
        if roster.offset() != Some(loads.roster) {
            return;
        }
        let figures = loads.in_flight.iter().zip(&loads.pending_prompt_units);
        let told = roster.servers().skip(loads.first_server as usize).zip(figures);
        let mut router = self.node.router.borrow_mut();
        for (listed, (requests, unread)) in told {
            let unread = u32::from(*unread) * PROMPT_UNIT_TOKENS;
            router.observe_fleet_load(now, &listed.entry.id, u32::from(*requests), unread);
        }
    }

    /// Puts what was fed last in force. Its bytes are not kept.
    fn take_configuration(&mut self) {
        let Some(whole) = &mut self.state.configuration else { return };
        let (version, bytes) = (whole.version, std::mem::take(&mut whole.bytes));
        if !is_long(bytes.len()) {
            return put_in_force(&self.node, version, read(bytes));
        }
        // Clients are served while it is read. Should a newer one come meanwhile, that one stays in force.
        let node = self.node.clone();
        spawn_local(async move {
            let Some(read) = aside(bytes, read).await else { return };
            put_in_force(&node, version, read);
        });
    }

    fn servers(&self, now: u64) -> Vec<ServerInfo> {
        self.state.roster.servers().filter_map(|listed| server(listed, now)).collect()
    }
}

fn read(bytes: Bytes) -> Result<Configuration, ConfigError> {
    FleetConfig::parse(&bytes).map(Configuration::new)
}

fn put_in_force(node: &Node, version: u64, read: Result<Configuration, ConfigError>) {
    match read {
        Ok(configuration) => {
            info!(node.log, "configuration in force"; "version" => version);
            node.put_in_force(configuration);
        }
        Err(error) => warn!(node.log, "configuration left out"; "version" => version, "reason" => %error),
    }
}

/// A server for the router; nothing if its address can't be read.
fn server(listed: &RosterEntry, now: u64) -> Option<ServerInfo> {
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
