//! The fleet of the demonstration and the steps executed on it.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use testkit::system::programs::{AGENT, CONTROL, PROXY, Programs};
use testkit::system::scene::{HOST, POOL, first_configuration};
use testkit::system::{Configuration, Entry, Fleet, ModelServer, Outcome, Pace, Plan, Reply, Route};
use tokio::time::{Instant, sleep};

use crate::error::OperatorError;
use crate::status::{self, FleetStatus};

/// Time for which a server listed as draining still serves.
pub(crate) const DRAIN_TIME: Duration = Duration::from_secs(3);
const CONTROLS: u8 = 3;
const FRONTS: u8 = 2;
const SERVERS: u8 = 4;
/// Index of the server that drains.
const DRAINED_SERVER: usize = 0;
/// Events per response, the delay of the first, and the interval between them.
const EVENTS: u64 = 8;
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(40);
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of the fleet's start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two readiness checks during the start.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The fleet, its model servers and the progress of the demonstration.
pub(super) struct DemoFleet {
    fleet: Fleet,
    servers: Vec<ModelServer>,
    configuration: Configuration,
    version: u64,
    leader: Option<SocketAddr>,
    killed: Option<(usize, Instant)>,
    leaderless_duration: Option<Duration>,
    drained_at: Option<std::time::Instant>,
}

impl DemoFleet {
    /// Starts all programs and waits until both fronts are ready.
    pub(super) async fn start() -> Result<Self, OperatorError> {
        let programs = programs()?;
        let mut fleet = Fleet::of(programs, Plan { cores: CONTROLS, fronts: FRONTS }).await;
        let servers = servers(&fleet).await;
        let entry = |server: &ModelServer| Entry::ready(&server.id(), POOL, server.address(), "zone-1");
        fleet.list.set(servers.iter().map(entry).collect());
        fleet.start_all();
        let configuration = first_configuration();
        let version = configuration.value()["version"].as_u64().unwrap_or_default();
        let outcome = fleet.operator().replace(0, configuration.value()).await;
        if !outcome.is_taken() {
            return Err(OperatorError::Demo(format!(
                "the control machines did not apply the configuration: {}",
                describe_outcome(&outcome)
            )));
        }
        let (leader, killed, leaderless_duration, drained_at) = (None, None, None, None);
        let mut demo_fleet =
            Self { fleet, servers, configuration, version, leader, killed, leaderless_duration, drained_at };
        demo_fleet.wait_ready().await?;
        demo_fleet.query_status().await;
        Ok(demo_fleet)
    }

    async fn wait_ready(&self) -> Result<(), OperatorError> {
        let started_at = Instant::now();
        for front in 0..usize::from(FRONTS) {
            while !self.fleet.is_ready(front).await {
                if started_at.elapsed() > START_TIMEOUT {
                    let text = format!("front {front} is not ready after {} s", START_TIMEOUT.as_secs());
                    return Err(OperatorError::Demo(text));
                }
                sleep(READINESS_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// The addresses that clients connect to.
    pub(super) fn fronts(&self) -> Vec<SocketAddr> {
        (0..usize::from(FRONTS)).map(|front| self.fleet.front(front)).collect()
    }

    fn controls(&self) -> Vec<SocketAddr> {
        (0..usize::from(CONTROLS)).map(|core| self.fleet.control(core)).collect()
    }

    /// Queries the control machines and describes leader, configuration, servers and agents in one line.
    pub(super) async fn query_status(&mut self) -> String {
        match status::collect(&self.controls()).await {
            Ok(status) => self.record_status(&status),
            Err(_) => "no control machine responds".to_owned(),
        }
    }

    fn record_status(&mut self, status: &FleetStatus) -> String {
        let leader_page =
            status.preferred_page().filter(|page| page.group().is_some_and(|group| group.holds_lease));
        self.leader = leader_page.and_then(|page| page.group()?.leader);
        if let (Some(_), Some((_, at)), None) = (self.leader, self.killed, self.leaderless_duration) {
            self.leaderless_duration = Some(at.elapsed());
        }
        let pages = || status.machines.iter().filter_map(|machine| machine.page.as_ref());
        let agents: usize = pages().map(|page| page.agents.len()).sum();
        let leader = match (self.leader, leader_page.and_then(|page| page.group())) {
            (Some(leader), Some(group)) => format!("leader {} term {}", leader.ip(), group.term),
            _ => "no leader".to_owned(),
        };
        let servers = status.preferred_page().map_or(0, |page| page.server_list.servers);
        format!(
            "{leader}  control {}/{CONTROLS}  configuration {}  agents {agents}/{FRONTS}  servers {servers}",
            pages().count(),
            status.newest_version(),
        )
    }

    /// Applies a configuration with one more route.
    pub(super) async fn reconfigure(&mut self) -> String {
        let base = self.version;
        let added = Route::new(HOST, "/added/", "safe", POOL);
        self.version += 1;
        self.configuration = self.configuration.clone().version(self.version).route(added);
        let outcome = self.fleet.operator().replace(base, self.configuration.value()).await;
        match outcome {
            Outcome::Taken(_, after) => {
                format!("configuration {} applied after {} ms", self.version, after.as_millis())
            }
            other => format!("configuration {}: {}", self.version, describe_outcome(&other)),
        }
    }

    /// Kills the process of the leader and lists one server as draining.
    pub(super) fn kill_leader_and_drain(&mut self) -> String {
        let leader = self.controls().iter().position(|control| Some(*control) == self.leader).unwrap_or(0);
        self.fleet.kill_core(leader);
        self.killed = Some((leader, Instant::now()));
        self.drained_at = Some(std::time::Instant::now());
        let id = self.servers[DRAINED_SERVER].id();
        self.fleet.list.drain(&id);
        format!("leader {} killed; server {id} drains", self.fleet.control(leader).ip())
    }

    /// Stops the drained server.
    pub(super) async fn stop_server(&mut self) -> String {
        let id = self.servers[DRAINED_SERVER].id();
        self.fleet.list.edit(|entries| entries.retain(|entry| entry.id != id));
        self.servers[DRAINED_SERVER].stop().await;
        format!("server {id} stopped")
    }

    /// Restarts the killed control machine.
    pub(super) fn restart_control(&mut self) -> String {
        let Some((killed, _)) = self.killed else { return "no control machine was killed".to_owned() };
        self.fleet.start_core(killed);
        format!("control machine {} restarted", self.fleet.control(killed).ip())
    }

    /// Time from killing the leader until a new leader with a lease was observed; `None` if none was
    /// observed.
    pub(super) fn leaderless_duration(&self) -> Option<Duration> {
        self.leaderless_duration
    }

    /// Number of requests that the drained server received after its drain time.
    pub(super) fn requests_after_drain(&self) -> usize {
        let Some(at) = self.drained_at else { return 0 };
        let requests = self.servers[DRAINED_SERVER].seen().requests;
        requests.iter().filter(|request| request.at > at + DRAIN_TIME).count()
    }
}

/// The programs of the fleet in the folder of this program.
fn programs() -> Result<Programs, OperatorError> {
    let own = std::env::current_exe().map_err(OperatorError::file(Path::new("this program")))?;
    let folder = own.parent().unwrap_or(Path::new("."));
    for name in [CONTROL, AGENT, PROXY] {
        if !folder.join(name).is_file() {
            let text =
                format!("{name} is not in {}; build it there: cargo build --release", folder.display());
            return Err(OperatorError::Demo(text));
        }
    }
    Ok(Programs::in_folder(folder))
}

async fn servers(fleet: &Fleet) -> Vec<ModelServer> {
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = ModelServer::start(fleet.network.server(number), &format!("i-{number}")).await;
        server.usually(Reply::events(EVENTS, Pace::Every(EVENT_INTERVAL)).after(FIRST_EVENT_DELAY));
        servers.push(server);
    }
    servers
}

fn describe_outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Taken(..) => "applied".to_owned(),
        Outcome::Refused(status, text) => format!("refused with {status}, {}", text.trim()),
        Outcome::Unclear(last) => format!("no definite response, {last}"),
    }
}
