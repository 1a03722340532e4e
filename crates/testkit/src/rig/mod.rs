//! A rig of several `dunelink` processes with all their files: every path between them, and from each to its servers
//! and its list, leads through a relay that the test rules over. Faults are caused by a time line; all that is seen is
//! taken down, and the rules are held against that.

pub mod clients;
pub mod faults;
pub mod paths;
pub mod record;
pub mod stands;

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use tokio::runtime::Runtime;
use tokio::sync::watch;

use clients::{Load, Open};
use faults::{Conduct, Fault, TimeLine};
use paths::{End, Net, Paths, Weather};
use record::{Record, What};
use stands::{List, Listed};

/// Nothing that is waited for takes this long; only a failing test sees it.
const WITHIN: Duration = Duration::from_secs(30);
/// How long a node may take to answer its operators; one that stands still does not.
const ASK_WITHIN: Duration = Duration::from_millis(1000);
/// Between the last request to a node that ends and its SIGTERM: what was written by then has come.
const SETTLE: Duration = Duration::from_millis(30);

/// What a rig is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// Where its files go.
    pub folder: PathBuf,
    /// How many nodes there are meant to be, all of them started by [`Rig::new`].
    pub nodes: usize,
    /// How many more have a name and a key, and may be started.
    pub more: usize,
    /// The servers, by zone and dedup group. One that is `None` is not listed at first.
    pub servers: Vec<Option<Listed>>,
    /// The zone of a node, if there are any.
    pub zone: fn(usize) -> &'static str,
    /// Whether nodes gossip.
    pub gossips: bool,
    /// Top-level keys of the configuration.
    pub top: String,
    /// Further keys of `[gossip]`.
    pub gossip: String,
    /// Further keys of `[fleet]`.
    pub fleet: String,
    /// Further tables, classes among them.
    pub tables: String,
}

/// One class of each kind, with this deadline.
pub fn classes(deadline: Duration) -> String {
    let dedup = "effect = \"keyed\"\ndedup = { group = \"cell\", window = \"10s\" }";
    [("view", "effect = \"safe\""), ("submit", dedup), ("order", "effect = \"unsafe\"")]
        .map(|(name, effect)| {
            let (aim, deadline) = (deadline.as_millis() / 5, deadline.as_millis());
            format!(
                "[[classes]]\nname = \"{name}\"\n{effect}\naim = \"{aim}ms\"\ndeadline = \"{deadline}ms\"\n"
            )
        })
        .concat()
}

/// A server that has been up for long.
pub fn listed(zone: &str, cell: usize) -> Option<Listed> {
    Some(Listed { zone: zone.to_owned(), cell, ready: true, started_ms: 0 })
}

/// What a node tells its operators at this door; nothing if it does not answer with 200.
pub fn ask(door: SocketAddr, what: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&door, ASK_WITHIN).ok()?;
    stream.set_read_timeout(Some(ASK_WITHIN)).ok()?;
    write!(stream, "GET /admin/{what} HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let (head, body) = answer.split_once("\r\n\r\n")?;
    (head.split(' ').nth(1) == Some("200")).then(|| body.to_owned())
}

struct Process {
    child: Option<Child>,
    open: Open,
}

/// Nodes, servers, a list, clients, and the paths between them. All ends when it is dropped.
pub struct Rig {
    /// What was seen.
    pub record: Record,
    /// The paths.
    pub paths: Paths,
    /// The list of servers.
    pub list: Arc<List>,
    plan: Plan,
    net: Arc<Net>,
    conduct: Vec<watch::Sender<Conduct>>,
    nodes: Vec<Process>,
    over: Open,
    runtime: Option<Runtime>,
    loads: Vec<tokio::task::JoinHandle<()>>,
}

impl Rig {
    /// Starts everything, and waits until all nodes are ready.
    pub fn new(mut plan: Plan) -> Rig {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        plan.folder = plan.folder.join(format!("rig-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&plan.folder);
        std::fs::create_dir_all(&plan.folder).expect("a folder");
        let (net, paths, record) = (Arc::new(Net::claim()), Paths::default(), Record::default());
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.expect("a runtime");
        let count = plan.nodes + plan.more;
        let list = Arc::new(List::new(net.clone(), record.clone(), plan.servers.clone()));
        let well = Conduct::Answers(Duration::from_millis(20));
        let conduct: Vec<_> = plan.servers.iter().map(|_| watch::Sender::new(well)).collect();
        runtime.block_on(async {
            paths::packets(net.clone(), count, paths.clone()).await;
            for (number, conduct) in conduct.iter().enumerate() {
                stands::server(&net, number, conduct.subscribe(), record.clone()).await;
            }
            for node in 0..count {
                list.serve(node).await;
                let (at, source) = ((net.list(node).1, net.list(node).0), net.node(node));
                let heard = record.clone();
                let heard = move |piece: &[u8]| {
                    if let Some(rev) = stands::version(piece) {
                        heard.note(What::Heard { node, rev });
                    }
                };
                paths::streams(at, (source, End::Node(node), End::List), paths.clone(), heard).await;
                for server in 0..conduct.len() {
                    let at = (net.way(node, server), net.server(server));
                    let ends = (source, End::Node(node), End::Server(server));
                    paths::streams(at, ends, paths.clone(), |_: &[u8]| {}).await;
                }
            }
        });
        let process = |_| Process { child: None, open: Arc::default() };
        let mut rig = Rig {
            record,
            paths,
            list,
            net,
            conduct,
            nodes: (0..count).map(process).collect(),
            over: Arc::default(),
            runtime: Some(runtime),
            loads: Vec::new(),
            plan,
        };
        if rig.plan.gossips {
            rig.keys();
        }
        (0..rig.plan.nodes).for_each(|node| rig.launch(node));
        (0..rig.plan.nodes).for_each(|node| rig.ready(node));
        rig
    }

    fn file(&self, name: &str) -> PathBuf {
        self.plan.folder.join(name)
    }

    /// Has the program make a key for each name, and writes the ring.
    fn keys(&self) {
        let mut ring = String::new();
        for node in 0..self.nodes.len() {
            let secret = self.secret(node);
            let made = Command::new(&self.plan.program)
                .args(["gossip", "keygen", &format!("n{node}")])
                .arg(secret)
                .output()
                .expect("the program");
            ring.push_str(&String::from_utf8_lossy(&made.stdout));
        }
        std::fs::write(self.file("ring"), ring).expect("the ring");
    }

    /// The ring file's path.
    pub fn ring(&self) -> PathBuf {
        self.file("ring")
    }

    /// The file with a node's secret.
    pub fn secret(&self, node: usize) -> PathBuf {
        self.file(&format!("n{node}.secret"))
    }

    /// Where a node's gossip is, and where others reach it.
    pub fn place(&self, node: usize) -> (SocketAddr, SocketAddr) {
        (self.net.node(node), self.net.front(node))
    }

    /// Writes a node's configuration; where it is.
    pub fn config(&self, node: usize) -> PathBuf {
        let at = |port: u16| SocketAddr::from((self.net.node(node).ip(), port));
        let plan = &self.plan;
        let mut text = format!(
            "name = \"n{node}\"\nlisten = \"{}\"\ncontrol = \"{}\"\n{}\n",
            self.address(node),
            self.door(node),
            plan.top
        );
        let path = |path: &Path| path.display().to_string();
        // Writing to a string can't fail.
        if plan.gossips {
            let seeds: Vec<String> =
                (0..plan.nodes.min(3)).map(|n| format!("\"{}\"", self.net.front(n))).collect();
            let (secret, ring) = (self.secret(node), self.ring());
            let _ = write!(
                text,
                "[gossip]\nlisten = \"{}\"\nadvertise = \"{}\"\nsecret = \"{}\"\nring = \"{}\"\nseeds = [{}]\n{}\n",
                at(self.net.node(node).port()),
                self.net.front(node),
                path(&secret),
                path(&ring),
                seeds.join(", "),
                plan.gossip
            );
        }
        let rank = node.min(plan.nodes - 1);
        let zones: Vec<&str> = (0..plan.nodes).map(plan.zone).filter(|zone| !zone.is_empty()).collect();
        let mut zones: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\"")).collect();
        zones.sort();
        zones.dedup();
        let _ = write!(text, "[fleet]\nnodes = {}\nrank = {rank}\n{}\n", plan.nodes, plan.fleet);
        if !zones.is_empty() {
            let _ = write!(text, "zone = \"{}\"\nzones = [{}]\n", (plan.zone)(node), zones.join(", "));
        }
        let _ = write!(
            text,
            "{}\n[roster]\nfrom = \"watch\"\naddress = \"{}\"\n",
            plan.tables,
            self.net.list(node).1
        );
        let file = self.file(&format!("n{node}.toml"));
        std::fs::write(&file, text).expect("a configuration");
        file
    }

    /// Where a node serves.
    pub fn address(&self, node: usize) -> SocketAddr {
        (self.net.node(node).ip(), 8080).into()
    }

    /// Where a node answers its operators.
    pub fn door(&self, node: usize) -> SocketAddr {
        (self.net.node(node).ip(), 8443).into()
    }

    /// How many names there are.
    pub fn names(&self) -> usize {
        self.nodes.len()
    }

    /// Whether a node's process runs, for all that the rig did to it.
    pub fn runs(&self, node: usize) -> bool {
        self.nodes[node].child.is_some()
    }

    fn launch(&mut self, node: usize) {
        if self.nodes[node].child.is_some() {
            return;
        }
        let mut program = Command::new(&self.plan.program);
        program.args(["run", "--config"]).arg(self.config(node));
        program.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = program.spawn().expect("the program");
        let (told, record) = (child.stderr.take().expect("its log"), self.record.clone());
        thread::spawn(move || {
            let lines = BufReader::new(told).lines().map_while(Result::ok);
            lines.for_each(|text| record.note(What::Line { node, text }));
        });
        self.nodes[node].child = Some(child);
    }

    /// Waits until a node serves, and lets its clients in.
    fn ready(&mut self, node: usize) {
        let serves = || self.ask(node, "health").is_some_and(|answer| answer == "serving\n");
        self.wait(&format!("n{node} to serve"), serves);
        self.nodes[node].open.store(true, Ordering::SeqCst);
    }

    /// Waits until something holds.
    pub fn wait(&self, what: &str, holds: impl Fn() -> bool) {
        let began = Instant::now();
        while !holds() {
            assert!(began.elapsed() < WITHIN, "waited for: {what}\n{}", self.story());
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// The logs of all nodes as one, for a test that fails.
    pub fn story(&self) -> String {
        let mut story = String::new();
        for entry in self.record.entries() {
            // Writing to a string can't fail.
            let _ = match entry.what {
                What::Line { node, text } => writeln!(story, "{:>9.3?} n{node}: {text}", entry.at),
                What::Caused(fault) => writeln!(story, "{:>9.3?} {fault}", entry.at),
                _ => Ok(()),
            };
        }
        story
    }

    /// What a node tells its operators; nothing if it does not answer with 200.
    pub fn ask(&self, node: usize, what: &str) -> Option<String> {
        ask(self.door(node), what)
    }

    /// How many others a node holds to be there.
    pub fn others(&self, node: usize) -> usize {
        self.ask(node, "members").map_or(0, |told| told.matches(" alive ").count())
    }

    /// Whether all that run see all that run, and nobody else.
    pub fn agree(&self) -> bool {
        let running: Vec<usize> = (0..self.names()).filter(|node| self.runs(*node)).collect();
        running.iter().all(|node| self.others(*node) == running.len() - 1)
    }

    /// Waits until all that run see each other.
    pub fn found(&self) {
        self.wait("the others", || self.agree());
    }

    fn signal(&self, node: usize, signal: Signal) {
        let pid = self.nodes[node].child.as_ref().map(Child::id);
        if let Some(pid) = pid.and_then(|pid| Pid::from_raw(pid as i32)) {
            kill_process(pid, signal).expect("a process of ours");
        }
    }

    /// Causes a fault, now.
    pub fn cause(&mut self, fault: Fault) {
        if let Fault::Wake(_) = fault {
            // What it does from here on is after the pause.
            self.record.note(What::Caused(fault.clone()));
        }
        match &fault {
            Fault::Kill(node) => {
                self.nodes[*node].open.store(false, Ordering::SeqCst);
                self.record.note(What::Caused(fault.clone()));
                if let Some(mut child) = self.nodes[*node].child.take() {
                    let _ = child.kill();
                    let _ = child.wait();
                }
            }
            Fault::End(node) => {
                self.nodes[*node].open.store(false, Ordering::SeqCst);
                thread::sleep(SETTLE);
                self.signal(*node, Signal::TERM);
                if let Some(mut child) = self.nodes[*node].child.take() {
                    let _ = child.wait();
                }
            }
            Fault::Start(node) => {
                self.launch(*node);
                self.ready(*node);
            }
            Fault::Pause(node) => {
                self.record.note(What::Caused(fault.clone()));
                self.signal(*node, Signal::STOP);
            }
            Fault::Wake(node) => self.signal(*node, Signal::CONT),
            Fault::Cut(sides) => {
                let side = |node: usize| sides.iter().position(|side| side.contains(&node));
                self.between(|from, to, weather| {
                    let apart = side(from).zip(side(to)).is_some_and(|(one, other)| one != other);
                    weather.cut = apart;
                });
            }
            Fault::OneWay(from, to) => {
                self.paths.change(End::Node(*from), End::Node(*to), |weather| weather.cut = true);
            }
            Fault::Servers(node, cut) => {
                for server in 0..self.conduct.len() {
                    self.both(End::Node(*node), End::Server(server), *cut);
                }
            }
            Fault::List(node, cut) => self.both(End::Node(*node), End::List, *cut),
            Fault::Weather(weather) => {
                let all = *weather;
                self.between(|_, _, weather| *weather = Weather { cut: weather.cut, ..all });
            }
            Fault::Heal => self.paths.heal(),
            Fault::Conduct(server, conduct) => drop(self.conduct[*server].send_replace(*conduct)),
        }
        if !matches!(fault, Fault::Kill(_) | Fault::Pause(_) | Fault::Wake(_)) {
            self.record.note(What::Caused(fault));
        }
    }

    fn both(&self, one: End, other: End, cut: bool) {
        self.paths.change(one, other, |weather| weather.cut = cut);
        self.paths.change(other, one, |weather| weather.cut = cut);
    }

    fn between(&self, change: impl Fn(usize, usize, &mut Weather)) {
        for (from, to) in (0..self.names()).flat_map(|from| (0..self.names()).map(move |to| (from, to))) {
            self.paths.change(End::Node(from), End::Node(to), |weather| change(from, to, weather));
        }
    }

    /// Causes the faults of a time line, each at its time from now.
    pub fn play(&mut self, line: &TimeLine) {
        let began = Instant::now();
        for (at, fault) in &line.faults {
            thread::sleep(at.saturating_sub(began.elapsed()));
            self.cause(fault.clone());
        }
    }

    /// Clients begin to ask all nodes, also those that are started later.
    pub fn load(&mut self, load: &Load) {
        self.load_at(0..self.names(), load);
    }

    /// Clients begin to ask these nodes.
    pub fn load_at(&mut self, nodes: impl IntoIterator<Item = usize>, load: &Load) {
        let Some(runtime) = &self.runtime else { return };
        for node in nodes {
            for _ in 0..load.clients {
                let (flags, record) =
                    ((self.nodes[node].open.clone(), self.over.clone()), self.record.clone());
                let client = clients::client((node, self.address(node)), load.clone(), flags, record);
                self.loads.push(runtime.spawn(client));
            }
        }
    }

    /// Clients ask nothing more; waits for what they were still to be told.
    pub fn rest(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        if let Some(runtime) = &self.runtime {
            for load in self.loads.drain(..) {
                runtime.block_on(load).expect("a client");
            }
        }
        self.over = Arc::new(AtomicBool::new(false));
    }
}

/// Time within which the tasks of a runtime end.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// Ends a runtime and waits until its tasks have closed their sockets: the next rig may use the same addresses.
pub fn close(runtime: Runtime) {
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
}

impl Drop for Rig {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if let Some(runtime) = self.runtime.take() {
            close(runtime);
        }
        let _ = std::fs::remove_dir_all(&self.plan.folder);
    }
}
