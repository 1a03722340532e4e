//! The soak of one seed.

mod clients;
mod operations;
mod servers;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::common::agent::Agent;
use crate::common::client::Client;
use crate::common::process::ProxyProcess;
use crate::common::server::Server;
use crate::common::{DEFAULT_LIMITS, Limits, Route, configuration_with_limits, routes};
use clients::Outcomes;
use operations::ProxyUnderTest;

/// Memory limits of deployed fronts, in megabytes.
const MEMORY_LIMITS_MB: [u64; 3] = [88, 160, 260];
const MAX_BODY_BYTES: usize = 4 << 20;
/// Period in which operations and requests start.
const DURATION: Duration = Duration::from_secs(5);
/// Time after the soak within which a short request must be served.
const RECOVERY_ATTEMPTS: usize = 50;
const RECOVERY_PAUSE: Duration = Duration::from_millis(100);
const SERVER_COUNT: usize = 3;

/// Returns the configuration of a soak with this version.
pub(crate) fn soak_configuration(version: u64) -> String {
    let slow_once = Route { timeout_ms: 4_000, ..Route::new("/slow-once/", "unsafe") };
    let routes: Vec<Route> = routes().into_iter().chain([slow_once]).collect();
    let limits = Limits { max_body_bytes: MAX_BODY_BYTES, header_timeout_ms: 3_000, ..DEFAULT_LIMITS };
    configuration_with_limits(version, &routes, "", &limits)
}

/// Runs the soak of one seed and returns its failures, one line each.
pub(crate) async fn run_soak(seed: u64, client_count: usize) -> Vec<String> {
    let mut random = fastrand::Rng::with_seed(seed);
    let memory_mb = MEMORY_LIMITS_MB[random.usize(..MEMORY_LIMITS_MB.len())];
    let mut servers = Vec::new();
    for number in 0..SERVER_COUNT {
        servers.push(servers::start(&format!("i-{number}"), random.fork()).await);
    }
    let agent = Rc::new(Agent::listen().await);
    let mut proxy = ProxyUnderTest::start(agent, memory_mb, &servers).await;
    let stop = Rc::new(Cell::new(false));
    let outcomes = Rc::new(Outcomes::default());
    let clients: Vec<JoinHandle<()>> = (0..client_count)
        .map(|number| {
            let client = clients::SoakClient::new(number, proxy.front(), &outcomes, &stop, random.fork());
            tokio::task::spawn_local(client.run())
        })
        .collect();
    proxy.operate(&servers, DURATION, &mut random).await;
    stop.set(true);
    for client in &clients {
        client.abort();
    }
    let mut failures = proxy.failures().to_vec();
    if !serves_again(proxy.process()).await {
        failures.push("no short request is served after the soak".to_owned());
    }
    failures.extend(outcomes.check(&servers));
    let max_mb = proxy.max_memory_mb();
    if max_mb >= memory_mb {
        failures.push(format!("{max_mb} MB of {memory_mb}"));
    }
    eprintln!(
        "seed {seed}: {max_mb} MB of {memory_mb}, {} starts, {} refused, {outcomes}, {} failures",
        proxy.starts(),
        proxy.refused(),
        failures.len()
    );
    failures.into_iter().map(|failure| format!("seed {seed}: {failure}")).collect()
}

/// Whether a short request is served once the load is gone.
async fn serves_again(proxy: &ProxyProcess) -> bool {
    for attempt in 0..RECOVERY_ATTEMPTS {
        if let Some(mut client) = Client::try_connect(proxy.front).await
            && client.try_send_request("/safe/x", &format!("recovery-{attempt}")).await
            && client.try_read_response().await.is_some_and(|response| response.status == 200)
        {
            return true;
        }
        sleep(RECOVERY_PAUSE).await;
    }
    false
}

/// Returns how often the servers ran the request with this id.
pub(crate) fn count_runs(servers: &[Server], id: &str) -> usize {
    let runs = |server: &Server| {
        let received = server.received.borrow();
        received
            .iter()
            .filter(|request| {
                request.header("x-dunelink-request-id") == Some(id) && !servers::is_rejected(request)
            })
            .count()
    };
    servers.iter().map(runs).sum()
}
