//! The daemon as a process, ended when dropped.
#![allow(dead_code, unreachable_pub)]

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

use serde_json::Value;
use testkit::peers::{Answers, Client, config};

/// A daemon that listens.
pub struct Process {
    pub address: SocketAddr,
    /// Where it answers its operators, if its configuration says so.
    pub door: Option<SocketAddr>,
    path: String,
    child: Child,
    /// Reads the log on, lest the node waits for it; tells its last line.
    log: Option<JoinHandle<String>>,
}

impl Process {
    /// Starts it by a configuration in the platform's form.
    pub fn start(mut command: Command, config: &str) -> Process {
        let path = write(config);
        let mut child = command.env("GW_CONFIG", &path).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut told = || {
            let mut line = String::new();
            log.read_line(&mut line).unwrap();
            line.trim().rsplit(' ').next().unwrap().parse().expect(&line)
        };
        let address = told();
        let door = config.contains("\"control\"").then(told);
        let log = std::thread::spawn(move || log.lines().map_while(Result::ok).last().unwrap_or_default());
        Process { address, door, path, child, log: Some(log) }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration and says so.
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

    /// What its last line says that it counted, once it has ended.
    pub fn counted(&mut self) -> Answers {
        let line = self.log.take().unwrap().join().unwrap();
        let count = |what: &str| {
            let words: Vec<&str> = line.split([' ', ',']).filter(|word| !word.is_empty()).collect();
            let at = words.iter().position(|word| *word == what).expect(&line);
            words[at - 1].parse().expect(&line)
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

/// A daemon with its discovery.
pub struct Node {
    pub address: SocketAddr,
    pub discovery: TcpListener,
    pub process: Process,
    config: Value,
    answers: Arc<Mutex<Answers>>,
}

impl Node {
    pub fn new(targets: &[Value]) -> Node {
        Node::with(targets, 1024)
    }

    pub fn with(targets: &[Value], sockets: usize) -> Node {
        Node::run(program(), targets, sockets)
    }

    /// A node whose process gets no more than this many descriptors, whatever its configuration says.
    pub fn starved(targets: &[Value], descriptors: usize) -> Node {
        let mut shell = Command::new("sh");
        let script = format!("ulimit -n {descriptors}; exec \"$0\"");
        shell.args(["-c", &script, env!("CARGO_BIN_EXE_dunelink")]);
        shell.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        Node::run(shell, targets, 1024)
    }

    /// A node that shares one list service with all others, and has to ask it.
    pub fn asking(targets: &[Value]) -> Node {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut config = config(discovery.local_addr().unwrap(), targets, 1024);
        config["settings"]["discovery"] = "subscribe".into();
        config["settings"]["obligations"]["ask_every_us"] = 10_000_000.into();
        Node::on(program(), discovery, config)
    }

    pub fn run(command: Command, targets: &[Value], sockets: usize) -> Node {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let config = config(discovery.local_addr().unwrap(), targets, sockets);
        Node::on(command, discovery, config)
    }

    pub fn on(command: Command, discovery: TcpListener, config: Value) -> Node {
        let process = Process::start(command, &config.to_string());
        Node { address: process.address, discovery, process, config, answers: Arc::default() }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address, self.answers.clone())
    }

    pub fn client_with_little_room(&self) -> Client {
        Client::connect_with_little_room(self.address, self.answers.clone())
    }

    /// The configuration with discovery elsewhere.
    pub fn config_with(&self, discovery: &TcpListener) -> String {
        let mut config = self.config.clone();
        config["discovery"] = discovery.local_addr().unwrap().to_string().into();
        config.to_string()
    }
}

/// Starts the program with this configuration.
pub fn start(config: &str) -> Child {
    program().env("GW_CONFIG", write(config)).spawn().unwrap()
}

/// Writes a configuration to a file of its own.
pub fn write(config: &str) -> String {
    write_as("json", config)
}

/// The same in a form that the file's name tells.
pub fn write_as(form: &str, config: &str) -> String {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = format!("{}/config-{}-{number}.{form}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, config).unwrap();
    path
}

pub fn program() -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_dunelink"));
    program.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    program
}
