//! Runs the daemon as a process, which is killed when dropped.
#![allow(dead_code, unreachable_pub)]

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

use serde_json::Value;
use testkit::peers::{Answers, Client, config};

/// A running daemon.
pub struct Process {
    pub address: SocketAddr,
    /// Address of its admin endpoint, if the configuration has one.
    pub admin: Option<SocketAddr>,
    path: String,
    child: Child,
    /// Reads the rest of the log, so that the node never blocks on a full pipe, and returns the last line.
    log: Option<JoinHandle<String>>,
}

impl Process {
    /// Starts it with a configuration in the platform's format, and reads its addresses from the first log
    /// lines.
    pub fn start(mut command: Command, config: &str) -> Process {
        let path = write(config);
        let mut child = command.env("GW_CONFIG", &path).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut read_address = || {
            let mut line = String::new();
            log.read_line(&mut line).unwrap();
            line.trim().rsplit(' ').next().unwrap().parse().expect(&line)
        };
        let address = read_address();
        let admin = config.contains("\"control\"").then(read_address);
        let log = std::thread::spawn(move || log.lines().map_while(Result::ok).last().unwrap_or_default());
        Process { address, admin, path, child, log: Some(log) }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reconfigure(&self, text: &str) {
        std::fs::write(&self.path, text).unwrap();
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        Command::new("kill").args([signal, &self.child.id().to_string()]).status().unwrap();
    }

    pub fn exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// The counts in the last line of the log, once the process has ended.
    pub fn counted(&mut self) -> Answers {
        let line = self.log.take().unwrap().join().unwrap();
        let count = |what: &str| {
            let words: Vec<&str> = line.split([' ', ',']).filter(|word| !word.is_empty()).collect();
            let index = words.iter().position(|word| *word == what).expect(&line);
            words[index - 1].parse().expect(&line)
        };
        Answers { served: count("served"), refused: count("refused"), failed: count("failed") }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A running daemon with the listener of its discovery service.
pub struct Node {
    pub address: SocketAddr,
    pub discovery: TcpListener,
    pub process: Process,
    config: Value,
    answers: Arc<Mutex<Answers>>,
}

impl Node {
    pub fn new(targets: &[Value]) -> Node {
        Node::with_socket_limit(targets, 1024)
    }

    pub fn with_socket_limit(targets: &[Value], sockets: usize) -> Node {
        Node::start(program(), targets, sockets)
    }

    /// A node whose process may open no more than this many file descriptors, whatever its configuration
    /// says.
    pub fn with_descriptor_limit(targets: &[Value], descriptors: usize) -> Node {
        let mut shell = Command::new("sh");
        let script = format!("ulimit -n {descriptors}; exec \"$0\"");
        shell.args(["-c", &script, env!("CARGO_BIN_EXE_dunelink")]);
        shell.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        Node::start(shell, targets, 1024)
    }

    /// A node that subscribes to a list service that it shares with other nodes.
    pub fn subscribing(targets: &[Value]) -> Node {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut config = config(discovery.local_addr().unwrap(), targets, 1024);
        config["settings"]["discovery"] = "subscribe".into();
        config["settings"]["obligations"]["ask_every_us"] = 10_000_000.into();
        Node::with_discovery(program(), discovery, config)
    }

    pub fn start(command: Command, targets: &[Value], sockets: usize) -> Node {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let config = config(discovery.local_addr().unwrap(), targets, sockets);
        Node::with_discovery(command, discovery, config)
    }

    pub fn with_discovery(command: Command, discovery: TcpListener, config: Value) -> Node {
        let process = Process::start(command, &config.to_string());
        Node { address: process.address, discovery, process, config, answers: Arc::default() }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address, self.answers.clone())
    }

    pub fn client_with_small_buffer(&self) -> Client {
        Client::connect_with_little_room(self.address, self.answers.clone())
    }

    /// The configuration with another discovery service.
    pub fn config_with(&self, discovery: &TcpListener) -> String {
        let mut config = self.config.clone();
        config["discovery"] = discovery.local_addr().unwrap().to_string().into();
        config.to_string()
    }
}

/// Starts the daemon with this configuration in the platform's format.
pub fn start(config: &str) -> Child {
    program().env("GW_CONFIG", write(config)).spawn().unwrap()
}

/// Writes a configuration in the platform's format to a new file; returns its path.
pub fn write(config: &str) -> String {
    write_as("json", config)
}

/// Writes a configuration to a new file with this extension; returns its path.
pub fn write_as(extension: &str, config: &str) -> String {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = format!("{}/config-{}-{number}.{extension}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, config).unwrap();
    path
}

pub fn program() -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_dunelink"));
    program.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    program
}
