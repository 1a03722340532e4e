//! The fleet of the demonstration and what is done to it.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use testkit::system::programs::{AGENT, CONTROL, PROXY, Programs};
use testkit::system::scene::{HOST, POOL, first_configuration};
use testkit::system::{Configuration, Entry, Fleet, ModelServer, Outcome, Pace, Plan, Reply, Route};
use tokio::time::{Instant, sleep};

use crate::error::OperatorError;
use crate::status::{self, FleetStatus};

/// How long a server that is listed as draining still serves.
pub(crate) const DRAIN: Duration = Duration::from_secs(3);
const CORES: u8 = 3;
const FRONTS: u8 = 2;
const SERVERS: u8 = 4;
/// The server that drains.
const DRAINED: usize = 0;
/// Events of an answer, and the pauses before the first and between them.
const EVENTS: u64 = 8;
const FIRST_PAUSE: Duration = Duration::from_millis(40);
const PAUSE: Duration = Duration::from_millis(20);
/// How long the fleet may take to come up.
const START: Duration = Duration::from_secs(20);
/// Time between two looks while it comes up.
const LOOK: Duration = Duration::from_millis(50);

/// The fleet, its servers, and what has happened so far.
pub(super) struct Stage {
    fleet: Fleet,
    servers: Vec<ModelServer>,
    configuration: Configuration,
    version: u64,
    leader: Option<SocketAddr>,
    killed: Option<(usize, Instant)>,
    gap: Option<Duration>,
    drained_at: Option<std::time::Instant>,
}

impl Stage {
    /// Starts everything and waits until both fronts are ready.
    pub(super) async fn start() -> Result<Self, OperatorError> {
        let programs = programs()?;
        let mut fleet = Fleet::of(programs, Plan { cores: CORES, fronts: FRONTS }).await;
        let servers = servers(&fleet).await;
        let entry = |server: &ModelServer| Entry::ready(&server.id(), POOL, server.address(), "zone-1");
        fleet.list.set(servers.iter().map(entry).collect());
        fleet.start_all();
        let configuration = first_configuration();
        let version = configuration.value()["version"].as_u64().unwrap_or_default();
        let taken = fleet.operator().replace(0, configuration.value()).await;
        if !taken.is_taken() {
            return Err(OperatorError::Demo(format!("the core took no configuration: {}", told(&taken))));
        }
        let (leader, killed, gap, drained_at) = (None, None, None, None);
        let mut stage = Self { fleet, servers, configuration, version, leader, killed, gap, drained_at };
        stage.wait_ready().await?;
        stage.look().await;
        Ok(stage)
    }

    async fn wait_ready(&self) -> Result<(), OperatorError> {
        let began = Instant::now();
        for front in 0..usize::from(FRONTS) {
            while !self.fleet.is_ready(front).await {
                if began.elapsed() > START {
                    let text = format!("front {front} is not ready after {} s", START.as_secs());
                    return Err(OperatorError::Demo(text));
                }
                sleep(LOOK).await;
            }
        }
        Ok(())
    }

    /// Where clients connect.
    pub(super) fn fronts(&self) -> Vec<SocketAddr> {
        (0..usize::from(FRONTS)).map(|front| self.fleet.front(front)).collect()
    }

    fn controls(&self) -> Vec<SocketAddr> {
        (0..usize::from(CORES)).map(|core| self.fleet.control(core)).collect()
    }

    /// Looks at the control machines; leader, configuration, servers and agents as text.
    pub(super) async fn look(&mut self) -> String {
        match status::collect(&self.controls()).await {
            Ok(found) => self.note(&found),
            Err(_) => "no control machine answers".to_owned(),
        }
    }

    fn note(&mut self, found: &FleetStatus) -> String {
        let leading =
            found.preferred_page().filter(|page| page.group().is_some_and(|group| group.holds_lease));
        self.leader = leading.and_then(|page| page.group()?.leader);
        if let (Some(_), Some((_, at)), None) = (self.leader, self.killed, self.gap) {
            self.gap = Some(at.elapsed());
        }
        let pages = || found.machines.iter().filter_map(|machine| machine.page.as_ref());
        let agents: usize = pages().map(|page| page.agents.len()).sum();
        let leader = match (self.leader, leading.and_then(|page| page.group())) {
            (Some(leader), Some(group)) => format!("leader {} term {}", leader.ip(), group.term),
            _ => "no leader".to_owned(),
        };
        let servers = found.preferred_page().map_or(0, |page| page.server_list.servers);
        format!(
            "{leader}  control {}/{CORES}  configuration {}  agents {agents}/{FRONTS}  servers {servers}",
            pages().count(),
            found.newest_version(),
        )
    }

    /// Puts a configuration with one more route in force.
    pub(super) async fn reconfigure(&mut self) -> String {
        let base = self.version;
        let added = Route::new(HOST, "/added/", "safe", POOL);
        self.version += 1;
        self.configuration = self.configuration.clone().version(self.version).route(added);
        let taken = self.fleet.operator().replace(base, self.configuration.value()).await;
        match taken {
            Outcome::Taken(_, after) => {
                format!("configuration {} taken after {} ms", self.version, after.as_millis())
            }
            other => format!("configuration {}: {}", self.version, told(&other)),
        }
    }

    /// Kills the leader's process and lists one server as draining.
    pub(super) fn kill_leader_and_drain(&mut self) -> String {
        let leader = self.controls().iter().position(|control| Some(*control) == self.leader).unwrap_or(0);
        self.fleet.kill_core(leader);
        self.killed = Some((leader, Instant::now()));
        self.drained_at = Some(std::time::Instant::now());
        let id = self.servers[DRAINED].id();
        self.fleet.list.drain(&id);
        format!("leader {} killed; server {id} drains", self.fleet.control(leader).ip())
    }

    /// Ends the drained server.
    pub(super) async fn end_server(&mut self) -> String {
        let id = self.servers[DRAINED].id();
        self.fleet.list.edit(|entries| entries.retain(|entry| entry.id != id));
        self.servers[DRAINED].stop().await;
        format!("server {id} has ended")
    }

    /// Starts the killed control machine again.
    pub(super) fn start_again(&mut self) -> String {
        let Some((killed, _)) = self.killed else { return "nothing was killed".to_owned() };
        self.fleet.start_core(killed);
        format!("control machine {} starts again", self.fleet.control(killed).ip())
    }

    /// Time from the killing of the leader until another was seen to hold the lease.
    pub(super) fn gap(&self) -> Option<Duration> {
        self.gap
    }

    /// Requests that came to the drained server later than its time to drain.
    pub(super) fn late_requests(&self) -> usize {
        let Some(at) = self.drained_at else { return 0 };
        let requests = self.servers[DRAINED].seen().requests;
        requests.iter().filter(|request| request.at > at + DRAIN).count()
    }
}

/// The fleet's programs beside this one.
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
        server.usually(Reply::events(EVENTS, Pace::Every(PAUSE)).after(FIRST_PAUSE));
        servers.push(server);
    }
    servers
}

fn told(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Taken(..) => "taken".to_owned(),
        Outcome::Refused(status, text) => format!("refused with {status}, {}", text.trim()),
        Outcome::Unclear(last) => format!("no clear answer, {last}"),
    }
}
