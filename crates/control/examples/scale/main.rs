//! Measures what the control plane costs as nodes, servers and tenants grow.
//!
//! Starts real `dunelink-control` processes over loopback with a stand-in of the platform's list, and plays
//! the agents in this process: each has a connection of its own, speaks the real protocol, and holds what it
//! is fed. A run takes less than a minute and prints one line of JSON for each phase.
//!
//! ```text
//! cargo build --release -p dunelink-control --example scale
//! target/release/examples/scale --cores 3 --nodes 450 --servers 4300 --tenants 32
//! ```

mod hollow;
mod node_costs;
mod usage;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hollow::{Load, Totals};
use testkit::system::programs::Programs;
use testkit::system::{Configuration, Entry, Fleet, OperatorClient, Plan, Route, Value, json};
use tokio::time::sleep;
use usage::Usage;

/// How long each phase is measured.
const PHASE: Duration = Duration::from_secs(5);
/// Pause before a phase, in which the last one's traffic ends.
const SETTLE: Duration = Duration::from_millis(1_500);
/// Time between two changes of the configuration: 23,000 a day.
const CHANGE_EVERY: Duration = Duration::from_secs(4);
/// Changes of the configuration in a run.
const CHANGES: u64 = 3;
/// Time between two changes of the list.
const LIST_EVERY: Duration = Duration::from_secs(1);
/// Servers that each change of the list exchanges.
const EXCHANGED: usize = 2;
/// Changes of the list in a run.
const EXCHANGES: usize = 4;
/// How long a state may take to reach all nodes.
const WITHIN: Duration = Duration::from_secs(20);

/// What a run plays.
struct Arguments {
    cores: u8,
    nodes: usize,
    servers: usize,
    tenants: usize,
    active: usize,
    observed: usize,
    page: usize,
    programs: PathBuf,
}

impl Arguments {
    fn read() -> Result<Self, pico_args::Error> {
        let mut line = pico_args::Arguments::from_env();
        let own = std::env::current_exe().unwrap_or_default();
        let beside = own.parent().and_then(|folder| folder.parent()).unwrap_or(&own).to_owned();
        Ok(Self {
            cores: line.opt_value_from_str("--cores")?.unwrap_or(3),
            nodes: line.opt_value_from_str("--nodes")?.unwrap_or(50),
            servers: line.opt_value_from_str("--servers")?.unwrap_or(500),
            tenants: line.opt_value_from_str("--tenants")?.unwrap_or(32),
            active: line.opt_value_from_str("--active")?.unwrap_or(16),
            observed: line.opt_value_from_str("--observed")?.unwrap_or(8),
            page: line.opt_value_from_str("--page")?.unwrap_or(500),
            programs: line.opt_value_from_str("--programs")?.unwrap_or(beside),
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

/// A run: the processes, the hollow nodes, and the counts of both.
struct Run {
    arguments: Arguments,
    fleet: Fleet,
    operator: OperatorClient,
    totals: Arc<Totals>,
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
    let totals = Arc::new(Totals::new(arguments.nodes));
    let mut run = Run { arguments, fleet, operator, totals, version: 0 };
    run.change().await;
    run.join().await;
    run.phase("empty reports", Load::default()).await;
    let load = Load { active: run.arguments.active, observed: run.arguments.observed };
    run.phase("demand", load).await;
    run.list_changes(load).await;
    run.changes(load).await;
}

impl Run {
    /// Connects all hollow nodes and measures until each holds the configuration and the roster.
    async fn join(&mut self) {
        let before = Usage::of_children();
        let began = Instant::now();
        let at: Vec<_> = (0..self.fleet.cores()).map(|core| self.fleet.control(core).ip()).collect();
        hollow::start(&self.totals, &at);
        let (nodes, servers) = (self.arguments.nodes, self.arguments.servers);
        let totals = self.totals.clone();
        wait(|| totals.at_version(1) >= nodes && totals.with_roster(servers) >= nodes).await;
        self.print("join", began, &before, json!({"allServedMs": began.elapsed().as_millis() as u64}));
    }

    async fn phase(&mut self, name: &str, load: Load) {
        self.totals.set_load(load);
        sleep(SETTLE).await;
        self.totals.take();
        let (before, began) = (Usage::of_children(), Instant::now());
        sleep(PHASE).await;
        self.print(name, began, &before, json!({"activeTenants": load.active, "observed": load.observed}));
    }

    /// Servers are exchanged for new ones, each time measured until all nodes hold the new ones.
    async fn list_changes(&mut self, load: Load) {
        self.totals.set_load(load);
        self.totals.take();
        let (before, began) = (Usage::of_children(), Instant::now());
        let mut times = Vec::new();
        let mut next = self.arguments.servers;
        for _ in 0..EXCHANGES {
            let edited = Instant::now();
            self.fleet.list.edit(|entries| {
                entries.drain(..EXCHANGED);
                entries.extend((next..next + EXCHANGED).map(server));
            });
            next += EXCHANGED;
            let (nodes, totals) = (self.arguments.nodes, self.totals.clone());
            wait(|| totals.with_server(next - 1) >= nodes).await;
            times.push(millis(edited.elapsed()));
            sleep(LIST_EVERY.saturating_sub(edited.elapsed())).await;
        }
        self.print("list changes", began, &before, json!({"exchanged": EXCHANGED, "allMs": times}));
    }

    /// Changes of the configuration, each measured until all nodes hold it.
    async fn changes(&mut self, load: Load) {
        self.totals.set_load(load);
        self.totals.take();
        let (before, began) = (Usage::of_children(), Instant::now());
        let mut times = Vec::new();
        for _ in 0..CHANGES {
            let due = Instant::now() + CHANGE_EVERY;
            let (sent, acknowledged) = self.change().await;
            let (version, nodes, totals) = (self.version, self.arguments.nodes, self.totals.clone());
            wait(|| totals.at_version(version) >= nodes).await;
            let half = totals.reached(version, nodes / 2);
            times.push(json!({
                "acknowledgedMs": millis(acknowledged - sent),
                "halfMs": half.map(|at| millis(at.saturating_duration_since(sent))),
                "allMs": totals.reached(version, nodes - 1).map(|at| millis(at.saturating_duration_since(sent))),
            }));
            sleep(due.saturating_duration_since(Instant::now())).await;
        }
        let bytes = configuration(self.version, self.arguments.tenants).to_string().len();
        self.print("configuration changes", began, &before, json!({"bytes": bytes, "changes": times}));
    }

    /// Sends the next configuration; when it was sent and acknowledged.
    async fn change(&mut self) -> (Instant, Instant) {
        let base = self.version;
        self.version += 1;
        let text = configuration(self.version, self.arguments.tenants).to_string();
        let sent = Instant::now();
        let outcome = self.operator.replace_text(base, &text).await;
        assert!(outcome.is_taken(), "configuration {}: {outcome:?}", self.version);
        (sent, Instant::now())
    }

    /// Prints a phase: its rates for each node, and the control processes, the busiest first.
    fn print(&self, name: &str, began: Instant, before: &[Usage], more: Value) {
        let seconds = began.elapsed().as_secs_f64();
        let per_node = seconds * self.arguments.nodes as f64;
        let counted = self.totals.take();
        let rate = |count: u64| (count as f64 / per_node * 10.0).round() / 10.0;
        let control = control_since(before, seconds);
        let arguments = &self.arguments;
        let line = json!({
            "phase": name, "cores": arguments.cores, "nodes": arguments.nodes, "servers": arguments.servers,
            "tenants": arguments.tenants, "page": arguments.page, "seconds": (seconds * 100.0).round() / 100.0,
            "inBytesPerNodeS": rate(counted.bytes_in.iter().sum()), "outBytesPerNodeS": rate(counted.bytes_out),
            "inMessagesPerNodeS": rate(counted.messages_in), "outMessagesPerNodeS": rate(counted.messages_out),
            "inByKind": json!({
                "configuration": rate(counted.bytes_in[0]), "roster": rate(counted.bytes_in[1]),
                "tick": rate(counted.bytes_in[2]), "grants": rate(counted.bytes_in[3]),
                "members": rate(counted.bytes_in[4]), "suspicions": rate(counted.bytes_in[5]),
                "loads": rate(counted.bytes_in[6]),
            }),
            "lostLinks": counted.lost, "control": control, "more": more,
        });
        println!("{line}");
    }
}

/// What the control processes used, the busiest first.
fn control_since(before: &[Usage], seconds: f64) -> Vec<Value> {
    let spent = |now: &Usage| {
        before.iter().find(|then| then.pid == now.pid).map_or(0.0, |then| now.cpu_s - then.cpu_s)
    };
    let mut processes: Vec<(f64, Usage)> =
        Usage::of_children().into_iter().map(|now| (spent(&now), now)).collect();
    processes.sort_by(|one, other| other.0.total_cmp(&one.0));
    let value = |(cpu_s, now): &(f64, Usage)| {
        let share = (cpu_s / seconds * 10_000.0).round() / 100.0;
        json!({"cpuPercent": share, "residentMb": now.resident_kb / 1_024, "mostMb": now.most_kb / 1_024})
    };
    processes.iter().map(value).collect()
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

async fn wait(reached: impl Fn() -> bool) {
    let began = Instant::now();
    while !reached() {
        assert!(began.elapsed() < WITHIN, "a state did not reach all nodes within {WITHIN:?}");
        sleep(Duration::from_millis(2)).await;
    }
}

/// A server with an identity of its own; addresses are never connected to.
fn server(number: usize) -> Entry {
    let address = format!("10.{}.{}.9:8080", 128 + number / 65_536, number / 256 % 256);
    let zone = format!("zone-{}", number % 10);
    Entry::ready(&format!("i-{number:08x}"), "pool", address.parse().expect("an address"), &zone)
}

/// A configuration of the shape that operators send, with so many tenants.
fn configuration(version: u64, tenants: usize) -> Value {
    let mut whole = Configuration::new(version).engine("pool").service("records");
    for route in 0..8 {
        whole = whole.route(Route::streaming("scale.example", &format!("/m{route}/"), "pool", true));
    }
    let tenant = |number: usize| {
        let (first, second) = (format!("{:020x}", number * 2 + 1), format!("{:020x}", number * 2 + 2));
        json!({"name": hollow::tenant(number), "apiKeys": [first, second], "priority": 1, "unit": "token_stream",
            "plainTokens": 200, "ratePerS": 170_000, "burst": 170_000})
    };
    whole = whole.with("tenants", (0..tenants).map(tenant).collect());
    whole.value().clone()
}
