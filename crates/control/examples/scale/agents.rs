//! Simulated agents: the connections, messages and state of many agents in one process.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use dunelink_feed::{Change, FeedReader, FeedState};
use dunelink_protocol::hello::PROTOCOL_VERSION;
use dunelink_protocol::{
    AgentMessage, FeedMessage, Hello, LinkKind, NodeDemand, ProxyReport, ServerObservation, TenantDemand,
    decode, encode,
};
use testkit::system::network::INTERNAL_FIRST;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

/// Time between two reports of a proxy.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Delay before a lost connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// Threads over which the nodes are spread.
const THREADS: usize = 3;
/// Kinds of [`FeedMessage`].
const MESSAGE_KINDS: usize = 7;
/// Quota units a second that the proxy of a node admits for each active tenant.
const ADMITTED_UNITS_PER_S: f64 = 350.0;

/// Size of the reports of each node.
#[derive(Clone, Copy, Default)]
pub(crate) struct ReportSize {
    /// Tenants with demand.
    pub(crate) active_tenants: usize,
    /// Servers with request outcomes in each report.
    pub(crate) observed_servers: usize,
}

/// Counts over all nodes since the counts were last taken.
pub(crate) struct Counts {
    /// Received bytes by message kind, in the order of `kind_index`.
    pub(crate) bytes_in: [u64; MESSAGE_KINDS],
    pub(crate) bytes_out: u64,
    pub(crate) messages_in: u64,
    pub(crate) messages_out: u64,
    /// Lost connections.
    pub(crate) lost_connections: u64,
}

/// Counters over all nodes, and the state that each node holds.
pub(crate) struct AgentTotals {
    bytes_in: [AtomicU64; MESSAGE_KINDS],
    bytes_out: AtomicU64,
    messages_in: AtomicU64,
    messages_out: AtomicU64,
    lost_connections: AtomicU64,
    active_tenants: AtomicUsize,
    observed_servers: AtomicUsize,
    /// Configuration version of each node.
    node_versions: Vec<AtomicU64>,
    /// Number of servers in the roster of each node.
    roster_sizes: Vec<AtomicUsize>,
    /// Number of the newest server in the roster of each node.
    newest_servers: Vec<AtomicUsize>,
    /// Each arrival of a configuration version at a node.
    arrivals: Mutex<Vec<(u64, Instant)>>,
}

impl AgentTotals {
    pub(crate) fn new(nodes: usize) -> Self {
        Self {
            bytes_in: Default::default(),
            bytes_out: AtomicU64::new(0),
            messages_in: AtomicU64::new(0),
            messages_out: AtomicU64::new(0),
            lost_connections: AtomicU64::new(0),
            active_tenants: AtomicUsize::new(0),
            observed_servers: AtomicUsize::new(0),
            node_versions: (0..nodes).map(|_| AtomicU64::new(0)).collect(),
            roster_sizes: (0..nodes).map(|_| AtomicUsize::new(0)).collect(),
            newest_servers: (0..nodes).map(|_| AtomicUsize::new(0)).collect(),
            arrivals: Mutex::default(),
        }
    }

    /// Sets the size of all further reports.
    pub(crate) fn set_report_size(&self, report_size: ReportSize) {
        self.active_tenants.store(report_size.active_tenants, Ordering::Relaxed);
        self.observed_servers.store(report_size.observed_servers, Ordering::Relaxed);
    }

    fn report_size(&self) -> ReportSize {
        ReportSize {
            active_tenants: self.active_tenants.load(Ordering::Relaxed),
            observed_servers: self.observed_servers.load(Ordering::Relaxed),
        }
    }

    /// Takes the counts and resets them to 0.
    pub(crate) fn take(&self) -> Counts {
        let take = |count: &AtomicU64| count.swap(0, Ordering::Relaxed);
        Counts {
            bytes_in: std::array::from_fn(|kind_index| take(&self.bytes_in[kind_index])),
            bytes_out: take(&self.bytes_out),
            messages_in: take(&self.messages_in),
            messages_out: take(&self.messages_out),
            lost_connections: take(&self.lost_connections),
        }
    }

    /// Number of nodes that hold this version or a newer one.
    pub(crate) fn at_version(&self, version: u64) -> usize {
        self.node_versions.iter().filter(|value| value.load(Ordering::Relaxed) >= version).count()
    }

    /// Number of nodes that hold at least `servers` servers.
    pub(crate) fn with_roster(&self, servers: usize) -> usize {
        self.roster_sizes.iter().filter(|value| value.load(Ordering::Relaxed) >= servers).count()
    }

    /// Number of nodes that hold the server with this number or a newer one.
    pub(crate) fn with_server(&self, number: usize) -> usize {
        self.newest_servers.iter().filter(|value| value.load(Ordering::Relaxed) >= number).count()
    }

    /// When the version reached the node with this rank in order of arrival, counted from 0; `None` if it has
    /// not.
    pub(crate) fn arrival(&self, version: u64, rank: usize) -> Option<Instant> {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.iter().filter(|(received, _)| *received == version).map(|(_, at)| *at).nth(rank)
    }
}

/// The name of a tenant.
pub(crate) fn tenant(number: usize) -> String {
    format!("tenant{number:04}")
}

/// Starts all nodes, spread over the control machines. They run until the process ends.
pub(crate) fn start(totals: &Arc<AgentTotals>, controls: &[IpAddr]) {
    for thread in 0..THREADS {
        let (totals, controls) = (totals.clone(), controls.to_vec());
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let nodes = LocalSet::new();
            for number in (thread..totals.node_versions.len()).step_by(THREADS) {
                let address = SocketAddr::new(controls[number / THREADS % controls.len()], INTERNAL_FIRST);
                nodes.spawn_local(SimulatedAgent::new(number, totals.clone()).run(address));
            }
            runtime.expect("an event loop").block_on(nodes);
        });
    }
}

struct SimulatedAgent {
    number: usize,
    totals: Arc<AgentTotals>,
    state: FeedState,
    started_at: Instant,
    report_count: u64,
}

impl SimulatedAgent {
    fn new(number: usize, totals: Arc<AgentTotals>) -> Self {
        Self { number, totals, state: FeedState::default(), started_at: Instant::now(), report_count: 0 }
    }

    async fn run(mut self, address: SocketAddr) {
        // Nodes start at random times, so that their reports are spread over the interval.
        sleep(REPORT_INTERVAL.mul_f64(fastrand::f64())).await;
        loop {
            let _ = self.follow_feed(address).await;
            self.totals.lost_connections.fetch_add(1, Ordering::Relaxed);
            sleep(RECONNECT_DELAY).await;
        }
    }

    async fn follow_feed(&mut self, address: SocketAddr) -> std::io::Result<()> {
        let mut socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let (mut reader, mut buffer, mut out) = (FeedReader::new(), BytesMut::new(), BytesMut::new());
        encode(&self.hello(), &mut out);
        encode(&AgentMessage::Subscribe(self.state.position()), &mut out);
        let mut report_timer = interval(REPORT_INTERVAL);
        report_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.totals.bytes_out.fetch_add(out.len() as u64, Ordering::Relaxed);
            socket.write_all(&out).await?;
            out.clear();
            buffer.reserve(16 * 1024);
            tokio::select! {
                read = socket.read_buf(&mut buffer) => {
                    if read? == 0 {
                        return Ok(());
                    }
                    self.apply_messages(&mut reader, &mut buffer, &mut out)?;
                }
                _ = report_timer.tick() => self.report(&mut out),
            }
        }
    }

    fn apply_messages(
        &mut self,
        reader: &mut FeedReader,
        buffer: &mut BytesMut,
        out: &mut BytesMut,
    ) -> std::io::Result<()> {
        loop {
            let before = buffer.len();
            let message: Option<FeedMessage> = decode(buffer).map_err(std::io::Error::other)?;
            let Some(message) = message else { return Ok(()) };
            let bytes = (before - buffer.len()) as u64;
            self.totals.bytes_in[kind_index(&message)].fetch_add(bytes, Ordering::Relaxed);
            self.totals.messages_in.fetch_add(1, Ordering::Relaxed);
            let now = self.started_at.elapsed().as_micros() as u64;
            let change = reader.apply(&mut self.state, message, now).map_err(std::io::Error::other)?;
            self.record_change(change, out);
        }
    }

    fn record_change(&self, change: Change, out: &mut BytesMut) {
        match change {
            Change::Configuration => {
                let version = self.state.configuration_version();
                self.totals.node_versions[self.number].store(version, Ordering::Relaxed);
                let mut arrivals = self.totals.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
                arrivals.push((version, Instant::now()));
            }
            Change::Roster => {
                self.totals.roster_sizes[self.number].store(self.state.roster.len(), Ordering::Relaxed);
                let newest_server = self.state.roster.servers().last();
                let number =
                    newest_server.and_then(|listed| usize::from_str_radix(&listed.entry.id[2..], 16).ok());
                self.totals.newest_servers[self.number].store(number.unwrap_or(0), Ordering::Relaxed);
            }
            Change::Resubscribe => encode(&AgentMessage::Subscribe(self.state.position()), out),
            _ => {}
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            protocol_version: PROTOCOL_VERSION,
            link: LinkKind::Agent,
            node: format!("front-{}", self.number),
            ip: format!("10.1.{}.{}", self.number / 250, self.number % 250 + 1),
            zone: format!("zone-{}", self.number % 10),
        }
    }

    /// Appends the report of a proxy whose active tenants each request about [`ADMITTED_UNITS_PER_S`] units a
    /// second.
    fn report(&mut self, out: &mut BytesMut) {
        self.report_count += 1;
        let report_size = self.totals.report_size();
        let admitted_units =
            (self.report_count as f64 * REPORT_INTERVAL.as_secs_f64() * ADMITTED_UNITS_PER_S).round();
        let demand = (0..report_size.active_tenants).map(|number| TenantDemand {
            tenant: tenant(number),
            rate_per_s: ADMITTED_UNITS_PER_S + fastrand::f64(),
            admitted: admitted_units,
            mean_request_units: 212.7,
            incarnation: self.number as u64 + 0x5eed_0000_0000,
            acknowledged: 0.0,
            ..TenantDemand::default()
        });
        let observations = (0..report_size.observed_servers).map(|number| ServerObservation {
            server: format!("i-{:08x}", self.number * report_size.observed_servers + number),
            served: 1,
            failed: 0,
        });
        let report = ProxyReport {
            demand: NodeDemand { tenants: demand.collect(), ..NodeDemand::default() },
            observations: observations.collect(),
            ..ProxyReport::default()
        };
        encode(&AgentMessage::Report(report), out);
        self.totals.messages_out.fetch_add(1, Ordering::Relaxed);
    }
}

/// Index of the message kind in `bytes_in`.
fn kind_index(message: &FeedMessage) -> usize {
    match message {
        FeedMessage::Configuration(_) => 0,
        FeedMessage::Roster(_) => 1,
        FeedMessage::Heartbeat(_) => 2,
        FeedMessage::Grants(_) => 3,
        FeedMessage::Members(_) => 4,
        FeedMessage::Suspicions(_) => 5,
        FeedMessage::Loads(_) => 6,
    }
}
