//! Measures the cost of the control plane as the numbers of nodes, servers and tenants grow.
//!
//! Starts real `dunelink-control` processes over loopback with a mock of the platform's server list, and
//! simulates the agents in this process: each has its own connection, speaks the real protocol, and keeps the
//! state that it is fed. A run takes less than a minute and prints one line of JSON for each phase.
//!
//! ```text
//! cargo build --release -p dunelink-control --example scale
//! target/release/examples/scale --cores 3 --nodes 450 --servers 4300 --tenants 32
//! ```

mod agents;
mod node_costs;
mod usage;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agents::{AgentTotals, ReportSize};
use testkit::system::programs::Programs;
use testkit::system::{Configuration, Entry, Fleet, OperatorClient, Plan, Route, Value, json};
use tokio::time::sleep;
use usage::Usage;

/// Measured duration of each phase.
const PHASE_DURATION: Duration = Duration::from_secs(5);
/// Pause before a phase, in which the traffic of the previous phase ends.
const PAUSE_BEFORE_PHASE: Duration = Duration::from_millis(1_500);
/// Time between two changes of the configuration: 23,000 a day.
const CHANGE_INTERVAL: Duration = Duration::from_secs(4);
/// Changes of the configuration in a run.
const CHANGES: u64 = 3;
/// Time between two changes of the list.
const LIST_CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Servers that each change of the list replaces.
const REPLACED_PER_LIST_CHANGE: usize = 2;
/// Changes of the list in a run.
const LIST_CHANGES: usize = 4;
/// Longest time that a state may take to reach all nodes.
const REACH_TIMEOUT: Duration = Duration::from_secs(20);

/// Command line arguments.
struct Arguments {
    /// Core machines.
    cores: u8,
    /// Simulated agents.
    nodes: usize,
    /// Servers in the list.
    servers: usize,
    /// Tenants in the configuration.
    tenants: usize,
    /// Tenants with demand in each report.
    active: usize,
    /// Servers with request outcomes in each report.
    observed: usize,
    /// Servers in a page of the list.
    page: usize,
    /// Folder of the programs.
    programs: PathBuf,
}

impl Arguments {
    fn read() -> Result<Self, pico_args::Error> {
        let mut line = pico_args::Arguments::from_env();
        let executable = std::env::current_exe().unwrap_or_default();
        let default_folder =
            executable.parent().and_then(|folder| folder.parent()).unwrap_or(&executable).to_owned();
        Ok(Self {
            cores: line.opt_value_from_str("--cores")?.unwrap_or(3),
            nodes: line.opt_value_from_str("--nodes")?.unwrap_or(50),
            servers: line.opt_value_from_str("--servers")?.unwrap_or(500),
            tenants: line.opt_value_from_str("--tenants")?.unwrap_or(32),
            active: line.opt_value_from_str("--active")?.unwrap_or(16),
            observed: line.opt_value_from_str("--observed")?.unwrap_or(8),
            page: line.opt_value_from_str("--page")?.unwrap_or(500),
            programs: line.opt_value_from_str("--programs")?.unwrap_or(default_folder),
        })
    }
}

fn main() {
    let arguments = match Arguments::read() {
        Ok(arguments) => arguments,
        Err(error) => return eprintln!("scale: {error}"),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("an event loop");
    runtime.block_on(run(arguments));
}

/// A run: the control processes and the simulated agents.
struct ScaleRun {
    arguments: Arguments,
    fleet: Fleet,
    operator: OperatorClient,
    totals: Arc<AgentTotals>,
    version: u64,
}

async fn run(arguments: Arguments) {
    let text = configuration(1, arguments.tenants).to_string();
    println!("{}", node_costs::measure(&text, arguments.active));
    let plan = Plan { cores: arguments.cores, fronts: 0 };
    let mut fleet = Fleet::of(Programs::in_folder(&arguments.programs), plan).await;
    fleet.list.page(arguments.page);
    fleet.list.set((0..arguments.servers).map(server).collect());
    fleet.start_all();
    let operator = fleet.operator();
    let totals = Arc::new(AgentTotals::new(arguments.nodes));
    let mut run = ScaleRun { arguments, fleet, operator, totals, version: 0 };
    run.replace_configuration().await;
    run.join().await;
    run.phase("empty reports", ReportSize::default()).await;
    let report_size =
        ReportSize { active_tenants: run.arguments.active, observed_servers: run.arguments.observed };
    run.phase("demand", report_size).await;
    run.list_changes(report_size).await;
    run.configuration_changes(report_size).await;
}

impl ScaleRun {
    /// Connects all simulated agents and measures until each holds the configuration and the roster.
    async fn join(&mut self) {
        let before = Usage::of_children();
        let started_at = Instant::now();
        let controls: Vec<_> = (0..self.fleet.cores()).map(|core| self.fleet.control(core).ip()).collect();
        agents::start(&self.totals, &controls);
        let (nodes, servers) = (self.arguments.nodes, self.arguments.servers);
        let totals = self.totals.clone();
        wait_until(|| totals.at_version(1) >= nodes && totals.with_roster(servers) >= nodes).await;
        self.print(
            "join",
            started_at,
            &before,
            json!({"allServedMs": started_at.elapsed().as_millis() as u64}),
        );
    }

    /// Measures a phase in which nothing changes.
    async fn phase(&mut self, name: &str, report_size: ReportSize) {
        self.totals.set_report_size(report_size);
        sleep(PAUSE_BEFORE_PHASE).await;
        self.totals.take();
        let (before, started_at) = (Usage::of_children(), Instant::now());
        sleep(PHASE_DURATION).await;
        self.print(
            name,
            started_at,
            &before,
            json!({"activeTenants": report_size.active_tenants, "observed": report_size.observed_servers}),
        );
    }

    /// Replaces servers in the list, and measures each time until all nodes hold the new ones.
    async fn list_changes(&mut self, report_size: ReportSize) {
        self.totals.set_report_size(report_size);
        self.totals.take();
        let (before, started_at) = (Usage::of_children(), Instant::now());
        let mut times = Vec::new();
        let mut next = self.arguments.servers;
        for _ in 0..LIST_CHANGES {
            let edited = Instant::now();
            self.fleet.list.edit(|entries| {
                entries.drain(..REPLACED_PER_LIST_CHANGE);
                entries.extend((next..next + REPLACED_PER_LIST_CHANGE).map(server));
            });
            next += REPLACED_PER_LIST_CHANGE;
            let (nodes, totals) = (self.arguments.nodes, self.totals.clone());
            wait_until(|| totals.with_server(next - 1) >= nodes).await;
            times.push(millis(edited.elapsed()));
            sleep(LIST_CHANGE_INTERVAL.saturating_sub(edited.elapsed())).await;
        }
        self.print(
            "list changes",
            started_at,
            &before,
            json!({"exchanged": REPLACED_PER_LIST_CHANGE, "allMs": times}),
        );
    }

    /// Replaces the configuration several times, and measures each time until all nodes hold it.
    async fn configuration_changes(&mut self, report_size: ReportSize) {
        self.totals.set_report_size(report_size);
        self.totals.take();
        let (before, started_at) = (Usage::of_children(), Instant::now());
        let mut times = Vec::new();
        for _ in 0..CHANGES {
            let due = Instant::now() + CHANGE_INTERVAL;
            let (sent, acknowledged) = self.replace_configuration().await;
            let (version, nodes, totals) = (self.version, self.arguments.nodes, self.totals.clone());
            wait_until(|| totals.at_version(version) >= nodes).await;
            let median_arrival = totals.arrival(version, nodes / 2);
            times.push(json!({
                "acknowledgedMs": millis(acknowledged - sent),
                "halfMs": median_arrival.map(|at| millis(at.saturating_duration_since(sent))),
                "allMs": totals.arrival(version, nodes - 1).map(|at| millis(at.saturating_duration_since(sent))),
            }));
            sleep(due.saturating_duration_since(Instant::now())).await;
        }
        let bytes = configuration(self.version, self.arguments.tenants).to_string().len();
        self.print("configuration changes", started_at, &before, json!({"bytes": bytes, "changes": times}));
    }

    /// Sends the next configuration; returns when it was sent and when it was acknowledged.
    async fn replace_configuration(&mut self) -> (Instant, Instant) {
        let base = self.version;
        self.version += 1;
        let text = configuration(self.version, self.arguments.tenants).to_string();
        let sent = Instant::now();
        let outcome = self.operator.replace_text(base, &text).await;
        assert!(outcome.is_taken(), "configuration {}: {outcome:?}", self.version);
        (sent, Instant::now())
    }

    /// Prints the results of a phase: rates per node, and the usage of the control processes, the busiest
    /// first.
    fn print(&self, name: &str, started_at: Instant, before: &[Usage], more: Value) {
        let seconds = started_at.elapsed().as_secs_f64();
        let per_node = seconds * self.arguments.nodes as f64;
        let counts = self.totals.take();
        let rate = |count: u64| (count as f64 / per_node * 10.0).round() / 10.0;
        let control = control_usage_since(before, seconds);
        let arguments = &self.arguments;
        let line = json!({
            "phase": name, "cores": arguments.cores, "nodes": arguments.nodes, "servers": arguments.servers,
            "tenants": arguments.tenants, "page": arguments.page, "seconds": (seconds * 100.0).round() / 100.0,
            "inBytesPerNodeS": rate(counts.bytes_in.iter().sum()), "outBytesPerNodeS": rate(counts.bytes_out),
            "inMessagesPerNodeS": rate(counts.messages_in), "outMessagesPerNodeS": rate(counts.messages_out),
            "inByKind": json!({
                "configuration": rate(counts.bytes_in[0]), "roster": rate(counts.bytes_in[1]),
                "tick": rate(counts.bytes_in[2]), "grants": rate(counts.bytes_in[3]),
                "members": rate(counts.bytes_in[4]), "suspicions": rate(counts.bytes_in[5]),
                "loads": rate(counts.bytes_in[6]),
            }),
            "lostLinks": counts.lost_connections, "control": control, "more": more,
        });
        println!("{line}");
    }
}

/// Usage of the control processes since `before`, the busiest first.
fn control_usage_since(before: &[Usage], seconds: f64) -> Vec<Value> {
    let cpu_spent = |now: &Usage| {
        before.iter().find(|earlier| earlier.pid == now.pid).map_or(0.0, |earlier| now.cpu_s - earlier.cpu_s)
    };
    let mut processes: Vec<(f64, Usage)> =
        Usage::of_children().into_iter().map(|now| (cpu_spent(&now), now)).collect();
    processes.sort_by(|one, other| other.0.total_cmp(&one.0));
    let value = |(cpu_s, now): &(f64, Usage)| {
        let share = (cpu_s / seconds * 10_000.0).round() / 100.0;
        json!({"cpuPercent": share, "residentMb": now.resident_kb / 1_024,
            "mostMb": now.peak_resident_kb / 1_024})
    };
    processes.iter().map(value).collect()
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// Waits until `reached` holds; panics after [`REACH_TIMEOUT`].
async fn wait_until(reached: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !reached() {
        assert!(
            started_at.elapsed() < REACH_TIMEOUT,
            "a state did not reach all nodes within {REACH_TIMEOUT:?}"
        );
        sleep(Duration::from_millis(2)).await;
    }
}

/// A server with a unique id; nothing connects to its address.
fn server(number: usize) -> Entry {
    let address = format!("10.{}.{}.9:8080", 128 + number / 65_536, number / 256 % 256);
    let zone = format!("zone-{}", number % 10);
    Entry::ready(&format!("i-{number:08x}"), "pool", address.parse().expect("an address"), &zone)
}

/// A configuration as operators send it, with `tenants` tenants.
fn configuration(version: u64, tenants: usize) -> Value {
    let mut configuration = Configuration::new(version).engine("pool").service("records");
    for route in 0..8 {
        configuration =
            configuration.route(Route::streaming("scale.example", &format!("/m{route}/"), "pool", true));
    }
    let tenant = |number: usize| {
        let (first, second) = (format!("{:020x}", number * 2 + 1), format!("{:020x}", number * 2 + 2));
        json!({"name": agents::tenant(number), "apiKeys": [first, second], "priority": 1,
            "unit": "token_stream", "plainTokens": 200, "ratePerS": 170_000, "burst": 170_000})
    };
    configuration = configuration.with("tenants", (0..tenants).map(tenant).collect());
    configuration.value().clone()
}
