//! Agents without machines: the connections, messages and state of agents, many in one process.

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
const REPORT_EVERY: Duration = Duration::from_millis(150);
/// Pause before a lost connection is opened anew.
const REDIAL: Duration = Duration::from_millis(150);
/// Threads that the nodes share.
const THREADS: usize = 3;
/// Kinds of [`FeedMessage`].
const KINDS: usize = 7;
/// Units a second that a node's proxy lets pass for each active tenant.
const RATE: f64 = 350.0;

/// What each node reports.
#[derive(Clone, Copy, Default)]
pub(crate) struct Load {
    /// Tenants with demand.
    pub(crate) active: usize,
    /// Servers with outcomes in each report.
    pub(crate) observed: usize,
}

/// Counts since they were last taken.
pub(crate) struct Counted {
    pub(crate) bytes_in: [u64; KINDS],
    pub(crate) bytes_out: u64,
    pub(crate) messages_in: u64,
    pub(crate) messages_out: u64,
    pub(crate) lost: u64,
}

/// What all nodes together count and hold.
pub(crate) struct Totals {
    bytes_in: [AtomicU64; KINDS],
    bytes_out: AtomicU64,
    messages_in: AtomicU64,
    messages_out: AtomicU64,
    lost: AtomicU64,
    active: AtomicUsize,
    observed: AtomicUsize,
    versions: Vec<AtomicU64>,
    servers: Vec<AtomicUsize>,
    newest: Vec<AtomicUsize>,
    reached: Mutex<Vec<(u64, Instant)>>,
}

impl Totals {
    pub(crate) fn new(nodes: usize) -> Self {
        Self {
            bytes_in: Default::default(),
            bytes_out: AtomicU64::new(0),
            messages_in: AtomicU64::new(0),
            messages_out: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            active: AtomicUsize::new(0),
            observed: AtomicUsize::new(0),
            versions: (0..nodes).map(|_| AtomicU64::new(0)).collect(),
            servers: (0..nodes).map(|_| AtomicUsize::new(0)).collect(),
            newest: (0..nodes).map(|_| AtomicUsize::new(0)).collect(),
            reached: Mutex::default(),
        }
    }

    /// Sets what all nodes report from now on.
    pub(crate) fn set_load(&self, load: Load) {
        self.active.store(load.active, Ordering::Relaxed);
        self.observed.store(load.observed, Ordering::Relaxed);
    }

    fn load(&self) -> Load {
        Load { active: self.active.load(Ordering::Relaxed), observed: self.observed.load(Ordering::Relaxed) }
    }

    /// Takes the counts, which begin at 0 again.
    pub(crate) fn take(&self) -> Counted {
        let take = |count: &AtomicU64| count.swap(0, Ordering::Relaxed);
        Counted {
            bytes_in: std::array::from_fn(|kind| take(&self.bytes_in[kind])),
            bytes_out: take(&self.bytes_out),
            messages_in: take(&self.messages_in),
            messages_out: take(&self.messages_out),
            lost: take(&self.lost),
        }
    }

    /// Nodes that hold this version or a newer one.
    pub(crate) fn at_version(&self, version: u64) -> usize {
        self.versions.iter().filter(|held| held.load(Ordering::Relaxed) >= version).count()
    }

    /// Nodes that hold so many servers or more.
    pub(crate) fn with_roster(&self, servers: usize) -> usize {
        self.servers.iter().filter(|held| held.load(Ordering::Relaxed) >= servers).count()
    }

    /// Nodes that hold the server of this number or a newer one.
    pub(crate) fn with_server(&self, number: usize) -> usize {
        self.newest.iter().filter(|held| held.load(Ordering::Relaxed) >= number).count()
    }

    /// When the version reached its `rank`th node, counted from 0.
    pub(crate) fn reached(&self, version: u64, rank: usize) -> Option<Instant> {
        let reached = self.reached.lock().unwrap_or_else(PoisonError::into_inner);
        reached.iter().filter(|(taken, _)| *taken == version).map(|(_, at)| *at).nth(rank)
    }
}

/// The name of a tenant.
pub(crate) fn tenant(number: usize) -> String {
    format!("tenant{number:04}")
}

/// Starts all nodes, spread over the control machines. They run until the process ends.
pub(crate) fn start(totals: &Arc<Totals>, controls: &[IpAddr]) {
    for thread in 0..THREADS {
        let (totals, controls) = (totals.clone(), controls.to_vec());
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let nodes = LocalSet::new();
            for number in (thread..totals.versions.len()).step_by(THREADS) {
                let address = SocketAddr::new(controls[number / THREADS % controls.len()], INTERNAL_FIRST);
                nodes.spawn_local(Node::new(number, totals.clone()).run(address));
            }
            runtime.expect("an event loop").block_on(nodes);
        });
    }
}

struct Node {
    number: usize,
    totals: Arc<Totals>,
    state: FeedState,
    began: Instant,
    reports: u64,
}

impl Node {
    fn new(number: usize, totals: Arc<Totals>) -> Self {
        Self { number, totals, state: FeedState::default(), began: Instant::now(), reports: 0 }
    }

    async fn run(mut self, address: SocketAddr) {
        // Nodes do not start in the same moment: their reports are spread over the period.
        sleep(REPORT_EVERY.mul_f64(fastrand::f64())).await;
        loop {
            let _ = self.follow(address).await;
            self.totals.lost.fetch_add(1, Ordering::Relaxed);
            sleep(REDIAL).await;
        }
    }

    async fn follow(&mut self, address: SocketAddr) -> std::io::Result<()> {
        let mut socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let (mut reader, mut buffer, mut out) = (FeedReader::new(), BytesMut::new(), BytesMut::new());
        encode(&self.hello(), &mut out);
        encode(&AgentMessage::Subscribe(self.state.position()), &mut out);
        let mut reports = interval(REPORT_EVERY);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
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
                    self.take_all(&mut reader, &mut buffer, &mut out)?;
                }
                _ = reports.tick() => self.report(&mut out),
            }
        }
    }

    fn take_all(
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
            self.totals.bytes_in[kind(&message)].fetch_add(bytes, Ordering::Relaxed);
            self.totals.messages_in.fetch_add(1, Ordering::Relaxed);
            let now = self.began.elapsed().as_micros() as u64;
            let change = reader.apply(&mut self.state, message, now).map_err(std::io::Error::other)?;
            self.follow_change(change, out);
        }
    }

    fn follow_change(&self, change: Change, out: &mut BytesMut) {
        match change {
            Change::Configuration => {
                let version = self.state.configuration_version();
                self.totals.versions[self.number].store(version, Ordering::Relaxed);
                let mut reached = self.totals.reached.lock().unwrap_or_else(PoisonError::into_inner);
                reached.push((version, Instant::now()));
            }
            Change::Roster => {
                self.totals.servers[self.number].store(self.state.roster.len(), Ordering::Relaxed);
                let newest = self.state.roster.servers().last();
                let number = newest.and_then(|listed| usize::from_str_radix(&listed.entry.id[2..], 16).ok());
                self.totals.newest[self.number].store(number.unwrap_or(0), Ordering::Relaxed);
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

    /// The report of a proxy whose active tenants each ask for [`RATE`] units a second.
    fn report(&mut self, out: &mut BytesMut) {
        self.reports += 1;
        let load = self.totals.load();
        let passed = (self.reports as f64 * REPORT_EVERY.as_secs_f64() * RATE).round();
        let demand = (0..load.active).map(|nth| TenantDemand {
            tenant: tenant(nth),
            rate_per_s: RATE + fastrand::f64(),
            admitted: passed,
            mean_request_units: 212.7,
            incarnation: self.number as u64 + 0x5eed_0000_0000,
            acknowledged: 0.0,
            ..TenantDemand::default()
        });
        let observations = (0..load.observed).map(|nth| ServerObservation {
            server: format!("i-{:08x}", self.number * load.observed + nth),
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

fn kind(message: &FeedMessage) -> usize {
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
