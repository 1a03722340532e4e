//! Runs a proxy in the test process, with a scripted agent and scripted servers, over loopback.
#![allow(dead_code, reason = "each test file uses a part of this module")]

pub(crate) mod agent;
pub(crate) mod client;
pub(crate) mod process;
pub(crate) mod server;
pub(crate) mod stalled;

use std::future::Future;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use dunelink_proxy::listener::ClientConnections;
use dunelink_proxy::node::Node;
use dunelink_proxy::{Proxy, shutdown};
use dunelink_settings::BootSettings;
use tokio::task::{LocalSet, yield_now};

use agent::Agent;
use client::Client;

/// Timeout of a test; a test that takes longer hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test on a single thread.
pub(crate) fn run(test: impl Future<Output = ()>) {
    run_within(TEST_TIMEOUT, test);
}

/// Runs a test that may take this long on a single thread.
pub(crate) fn run_within(max_duration: Duration, test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(max_duration, test).await.expect("the test timed out");
    });
}

/// Waits until other tasks have made a condition true.
pub(crate) async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        yield_now().await;
    }
}

/// A proxy with its agent.
pub(crate) struct ProxyHarness {
    pub(crate) node: Rc<Node>,
    pub(crate) clients: Rc<ClientConnections>,
    pub(crate) agent: Agent,
    front: std::net::SocketAddr,
    readiness: std::net::SocketAddr,
}

/// A route of the test configuration.
pub(crate) struct Route {
    pub(crate) path: &'static str,
    pub(crate) kind: &'static str,
    pub(crate) resumable: bool,
    pub(crate) max_attempts: u32,
    pub(crate) timeout_ms: u64,
}

impl Route {
    pub(crate) fn new(path: &'static str, kind: &'static str) -> Self {
        Self { path, kind, resumable: false, max_attempts: 3, timeout_ms: 2_000 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"name":"r{0}","host":"h.example","pathPrefix":"{0}","kind":"{1}","timeoutMs":{2},"targetLatencyMs":500,"service":"s","maxAttempts":{3},"resumable":{4},"gap_aim_ms":600}}"#,
            self.path, self.kind, self.timeout_ms, self.max_attempts, self.resumable,
        )
    }
}

/// The routes that most tests use.
pub(crate) fn routes() -> Vec<Route> {
    vec![
        Route::new("/safe/", "safe"),
        Route::new("/once/", "unsafe"),
        Route::new("/flow/", "streaming"),
        Route { resumable: true, timeout_ms: 10_000, ..Route::new("/again/", "streaming") },
        Route { timeout_ms: 10_000, ..Route::new("/long/", "safe") },
        Route { timeout_ms: 200, ..Route::new("/hasty/", "safe") },
        Route { timeout_ms: 200, ..Route::new("/hasty-once/", "unsafe") },
    ]
}

/// Limits of the test configuration that tests change.
pub(crate) struct Limits {
    pub(crate) max_body_bytes: usize,
    pub(crate) header_timeout_ms: u64,
    /// Connections that one server accepts from all proxies.
    pub(crate) max_server_connections: u32,
}

/// The limits that most tests use.
pub(crate) const DEFAULT_LIMITS: Limits =
    Limits { max_body_bytes: 100_000, header_timeout_ms: 300, max_server_connections: 64 };

/// Returns a configuration with these routes and tenants as JSON.
pub(crate) fn configuration(version: u64, routes: &[Route], tenants: &str) -> String {
    configuration_with_limits(version, routes, tenants, &DEFAULT_LIMITS)
}

/// Returns a configuration with these routes, tenants and limits as JSON.
pub(crate) fn configuration_with_limits(
    version: u64,
    routes: &[Route],
    tenants: &str,
    limits: &Limits,
) -> String {
    let routes: Vec<String> = routes.iter().map(Route::json).collect();
    let Limits { max_body_bytes, header_timeout_ms, max_server_connections } = limits;
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"s","maxConns":{max_server_connections}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":{max_body_bytes},"headerTimeoutMs":{header_timeout_ms},"idleTimeoutMs":15000}},"tenants":[{tenants}]}}"#,
        routes.join(",")
    )
}

/// Returns the settings of a proxy with this agent.
pub(crate) fn settings(agent: &Agent) -> String {
    format!(
        r#"
nodeName = "front-1"
ip = "127.0.0.1"
zone = "z"
internalPorts = [{}, {}]
[listen]
front = "127.0.0.1:0"
readiness = "127.0.0.1:0"
[bounds]
graceS = 4
retryRatio = 0.2
retryWindowS = 10
retrySlack = 5000
"#,
        agent.port - 2,
        agent.port + 3
    )
}

impl ProxyHarness {
    /// Starts a proxy without configuration, servers or grants.
    pub(crate) async fn unconfigured() -> Self {
        let agent = Agent::listen().await;
        let settings = settings(&agent);
        let boot = BootSettings::parse(&settings, Path::new("settings")).unwrap();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let proxy = Proxy::bind(Node::new(boot, log)).unwrap();
        let (node, front, readiness) = (proxy.node(), proxy.front().unwrap(), proxy.readiness().unwrap());
        Self { node, clients: proxy.start(), agent, front, readiness }
    }

    /// Starts a proxy with the default routes and these servers, and waits until it is ready.
    pub(crate) async fn with_servers(servers: &[&server::Server]) -> Self {
        Self::with_configuration(&configuration(1, &routes(), ""), servers).await
    }

    /// Starts a proxy with this configuration and these servers, and waits until it is ready.
    pub(crate) async fn with_configuration(configuration: &str, servers: &[&server::Server]) -> Self {
        let harness = Self::unconfigured().await;
        harness.agent.send_configuration(configuration);
        harness.agent.send_grants(1);
        harness.agent.set_servers(servers);
        harness.agent.send_heartbeat(0, 1);
        let node = harness.node.clone();
        wait_until(|| node.is_ready()).await;
        harness
    }

    /// Opens a client connection.
    pub(crate) async fn client(&self) -> Client {
        Client::connect(self.front).await
    }

    /// Opens a client connection; `None` if it is refused.
    pub(crate) async fn try_client(&self) -> Option<Client> {
        Client::try_connect(self.front).await
    }

    /// Whether the proxy accepts connections.
    pub(crate) async fn accepts_connections(&self) -> bool {
        tokio::net::TcpStream::connect(self.front).await.is_ok()
    }

    /// Returns the status of a readiness check.
    pub(crate) async fn readiness_status(&self) -> u16 {
        readiness_status(self.readiness).await
    }

    /// Shuts the proxy down as SIGTERM does.
    pub(crate) async fn shut_down(&self) {
        self.node.begin_shutdown();
        shutdown::drain(&self.node, &self.clients).await;
    }
}

/// Returns the status of a readiness check at this address.
pub(crate) async fn readiness_status(address: std::net::SocketAddr) -> u16 {
    let mut client = Client::connect(address).await;
    client.send("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
    client.read_response().await.status
}
