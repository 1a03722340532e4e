//! Operation of a running node: its admin endpoint, and upgrades to a new version under load.

#[path = "../process/mod.rs"]
mod process;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use process::*;
use serde_json::Value;
use testkit::peers::*;

/// Sends one request to the admin endpoint, which closes the connection after its answer.
fn admin_request(admin: SocketAddr, text: &str) -> Message {
    let mut client = Client::connect(admin, Default::default());
    let answer = client.ask(text.as_bytes());
    assert!(client.ended(), "a connection is closed after one request");
    answer
}

fn health(admin: SocketAddr) -> u16 {
    admin_request(admin, "GET /admin/health HTTP/1.1\r\nHost: n\r\n\r\n").status()
}

fn stats(admin: SocketAddr) -> HashMap<String, u64> {
    let answer = admin_request(admin, "GET /admin/stats HTTP/1.1\r\nHost: n\r\n\r\n");
    assert_eq!(answer.status(), 200);
    let line =
        |line: &str| line.split_once('=').map(|(name, value)| (name.to_string(), value.parse().unwrap()));
    String::from_utf8(answer.body).unwrap().lines().map(|text| line(text).expect(text)).collect()
}

fn config_with_admin(discovery: &TcpListener, targets: &[Value]) -> Value {
    let mut config = config(discovery.local_addr().unwrap(), targets, 1024);
    config["control"] = "127.0.0.1:0".into();
    config
}

#[test]
fn stats_match_clients_and_servers() {
    let slip = |_: usize, request: &Message| match request.first.contains("/hang") {
        true => Act::Wait,
        false => ok("slip"),
    };
    let (server, broken) = (Server::new(slip), nobody());
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = config_with_admin(&discovery, &[ready("a", &server), target("gone", broken, 1, "draining")]);
    let node = Node::with_discovery(program(), discovery, config);
    let admin = node.process.admin.unwrap();
    wait_for("the node", || health(admin) == 200);
    let mut client = node.client();
    for _ in 0..5 {
        assert_eq!(client.ask(&view()).status(), 200);
    }
    assert_eq!(client.ask(&submit()).status(), 200);
    // One request that times out during an attempt, and one that stays open.
    assert_eq!(client.ask(&request("POST", "/order/hang", "0.2", "", "yen")).status(), 504);
    let mut open = node.client();
    open.send(&request("POST", "/order/hang", "14", "", "yen"));
    wait_for("the attempt of the open request", || server.count() == 8);
    assert_eq!(client.ask(&request("GET", "/view/1", "0.000", "", "")).status(), 503);
    let current = stats(admin);
    let of = |name: &str| current[name];
    assert_eq!(
        (of("results.view.succeeded"), of("results.view.declined"), of("results.view.aborted")),
        (5, 1, 0)
    );
    assert_eq!((of("results.submit.succeeded"), of("results.order.succeeded")), (1, 0));
    assert_eq!((of("results.order.aborted"), of("results.order.declined")), (1, 0));
    assert_eq!((of("forwards"), of("outstanding"), of("discovered")), (8, 1, 2));
    assert_eq!(of("ejected"), 0);
    let mut watch = Watch::accept(&node.discovery);
    watch.changes(42, &[target("down", nobody(), 1, "ready")]);
    let is_ejected = || {
        assert_eq!(node.client().ask(&view()).status(), 200);
        stats(admin)["ejected"] == 1
    };
    wait_for("the unreachable server to be ejected", is_ejected);
    drop(open);
    wait_for("the open request to end with its client", || stats(admin)["outstanding"] == 0);
}

#[test]
fn silent_admin_connections_do_not_block_others() {
    let server = Server::new(|_, _| ok("slip"));
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = config_with_admin(&discovery, &[ready("a", &server)]);
    let node = Node::with_discovery(program(), discovery, config);
    let admin = node.process.admin.unwrap();
    wait_for("the node", || health(admin) == 200);
    let silent: Vec<Client> = (0..100).map(|_| Client::connect(admin, Default::default())).collect();
    let mut incomplete: Vec<Client> = (0..100).map(|_| Client::connect(admin, Default::default())).collect();
    incomplete.iter_mut().for_each(|client| client.send(b"GET /admin/stats HTTP/1.1\r\nHo"));
    let start = Instant::now();
    assert_eq!(health(admin), 200);
    assert!(start.elapsed() < Duration::from_secs(1));
    for (text, status) in [
        ("GET /admin/nothing HTTP/1.1\r\nHost: n\r\n\r\n", 404),
        ("POST /admin/health HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n", 405),
        ("GET /admin/stats HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\n\r\nyen", 400),
        ("NOT HTTP\r\n\r\n", 400),
    ] {
        assert_eq!(admin_request(admin, text).status(), status);
    }
    let mut endless = Client::connect(admin, Default::default());
    endless.send(format!("GET /admin/stats HTTP/1.1\r\nX: {}", "x".repeat(100_000)).as_bytes());
    assert_eq!(endless.answer().status(), 431);
    assert_eq!(server.count(), 0);
    // The listener for clients does not serve admin requests.
    assert_eq!(node.client().ask(b"GET /admin/health HTTP/1.1\r\nHost: n\r\n\r\n").status(), 404);
    drop((silent, incomplete));
}

/// The `run` command of the deploy file, with `passed` as descriptor 7.
fn run(passed: impl Into<Stdio>, descriptor: &str) -> Command {
    let deploy = include_str!("../../../../deploy/balancer.toml");
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next()).unwrap();
    let script = format!("exec 7<&0; {}", run.replace("target/release/dunelink", "\"$0\""));
    let mut shell = Command::new("sh");
    shell.args(["-c", &script, env!("CARGO_BIN_EXE_dunelink")]).env("GW_LISTEN_FD", descriptor);
    shell.stdin(passed).stdout(Stdio::null()).stderr(Stdio::piped());
    shell
}

/// The platform during an upgrade: it keeps the listening socket open and starts one version after another.
struct Platform {
    listener: TcpListener,
    discovery: TcpListener,
    config: Value,
}

impl Platform {
    fn new(targets: &[Value]) -> Platform {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let config = config_with_admin(&discovery, targets);
        Platform { listener: TcpListener::bind("127.0.0.1:0").unwrap(), discovery, config }
    }

    /// Starts a version that watches discovery, but is not ready yet because it has no list.
    fn start(&self) -> (Process, Watch) {
        let passed = OwnedFd::from(self.listener.try_clone().unwrap());
        let process = Process::start(run(passed, "7"), &self.config.to_string());
        (process, Watch::accept(&self.discovery))
    }

    /// Starts a version and waits until it is ready.
    fn ready(&self) -> (Process, Watch) {
        let (process, mut watch) = self.start();
        watch.changes(42, &[]);
        wait_for("the new version to be ready", || health(process.admin.unwrap()) == 200);
        (process, watch)
    }

    fn client(&self) -> Client {
        Client::connect(self.listener.local_addr().unwrap(), Default::default())
    }

    /// Starts clients that send requests continuously, half of them on a new connection each time; every
    /// request must be served.
    fn start_load(&self, wire: fn() -> Vec<u8>) -> ContinuousLoad {
        let (stop, address) = (Arc::new(AtomicBool::new(false)), self.listener.local_addr().unwrap());
        let ask = |number: usize| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let new = || Client::connect(address, Default::default());
                let (mut client, mut request_count, mut reused) = (new(), 0, false);
                while !stop.load(Ordering::SeqCst) {
                    let wire = wire();
                    client.send(&wire);
                    let answer = client.try_answer().unwrap_or_else(|| {
                        // A reused connection may be closed before the request was read: the request is sent
                        // again.
                        assert!(reused, "a new connection was closed without an answer");
                        client = new();
                        client.ask(&wire)
                    });
                    reused = true;
                    assert_eq!(answer.status(), 200);
                    request_count += 1;
                    if number.is_multiple_of(2) || answer.header("connection") == Some("close") {
                        (client, reused) = (new(), false);
                    }
                }
                request_count
            })
        };
        ContinuousLoad { threads: (0..6).map(ask).collect(), stop }
    }
}

struct ContinuousLoad {
    threads: Vec<std::thread::JoinHandle<usize>>,
    stop: Arc<AtomicBool>,
}

impl ContinuousLoad {
    /// Stops the clients; returns the number of requests, all of which were served.
    fn shut_down(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().map(|thread| thread.join().unwrap()).sum()
    }
}

/// Ends a version as in an upgrade, by SIGTERM.
fn shut_down(mut process: Process) {
    process.terminate();
    assert!(process.exit().success());
}

/// Clients that send requests during the upgrade, on new connections and on reused ones, are always served.
#[test]
fn upgrade_serves_every_request() {
    let server = Server::new(|_, request| match request.first.contains("/hang") {
        true => Act::SayMore(Vec::new(), Duration::from_millis(800), answer(200, "", "late")),
        false => ok("slip"),
    });
    let platform = Platform::new(&[ready("a", &server)]);
    let (old, _watch) = platform.ready();
    let start_load = platform.start_load(view);
    let (next, mut watch) = platform.start();
    assert_eq!(health(next.admin.unwrap()), 503, "it has no list from discovery yet");
    watch.changes(42, &[]);
    wait_for("the new version to be ready", || health(next.admin.unwrap()) == 200);
    let mut late = platform.client();
    late.send(&request("POST", "/order/hang", "9", "", "yen"));
    shut_down(old);
    assert_eq!(late.answer().body, b"late", "the process that accepted the request answers it");
    assert!(start_load.shut_down() > 100);
    assert!(stats(next.admin.unwrap())["results.view.succeeded"] > 0);
    shut_down(next);
    // The platform still has the socket open: a third version would accept connections that arrived
    // meanwhile.
    assert!(TcpStream::connect(platform.listener.local_addr().unwrap()).is_ok());
}

/// Two upgrades in a row under a load of orders: none runs twice, and each is answered.
#[test]
fn orders_run_once_across_two_upgrades() {
    let run_counts = Arc::new(Mutex::new(HashMap::<String, usize>::new()));
    let runs = run_counts.clone();
    let server = Server::new(move |_, request| {
        *runs.lock().unwrap().entry(request.header("req-id").unwrap().to_string()).or_default() += 1;
        ok("paid")
    });
    let platform = Platform::new(&[ready("a", &server)]);
    let (mut serving, mut watch) = platform.ready();
    let start_load = platform.start_load(order);
    for _ in 0..2 {
        // The configuration is reloaded during the upgrade.
        serving.reconfigure(&platform.config.to_string());
        let (next, next_watch) = platform.ready();
        shut_down(serving);
        (serving, watch) = (next, next_watch);
    }
    let request_count = start_load.shut_down();
    let run_counts = run_counts.lock().unwrap();
    assert!(
        run_counts.values().all(|times| *times == 1) && run_counts.len() == request_count,
        "{} of {request_count}",
        run_counts.len()
    );
    drop((serving, watch));
}

#[test]
fn failed_upgrade_keeps_old_version_serving() {
    let server = Server::new(|_, _| ok("slip"));
    let platform = Platform::new(&[ready("a", &server)]);
    let (old, _watch) = platform.ready();
    let start_load = platform.start_load(view);
    // This version has no servers and never becomes ready.
    let mut config = platform.config.clone();
    config["known"]["targets"] = Value::Array(Vec::new());
    let passed = OwnedFd::from(platform.listener.try_clone().unwrap());
    let never_ready = Process::start(run(passed, "7"), &config.to_string());
    let mut empty_watch = Watch::accept(&platform.discovery);
    empty_watch.changes(42, &[]);
    let request_count = || stats(old.admin.unwrap())["results.view.succeeded"];
    let before = request_count();
    wait_for("the old version to continue serving", || request_count() > before + 200);
    assert_eq!(
        (health(never_ready.admin.unwrap()), stats(never_ready.admin.unwrap())["results.view.declined"]),
        (503, 0)
    );
    drop(never_ready);
    assert!(start_load.shut_down() > 200);
    // The next version dies as soon as it is ready: only requests that it had accepted are lost.
    let (short_lived, _short_lived_watch) = platform.ready();
    drop(short_lived);
    assert_eq!(platform.client().ask(&view()).status(), 200);
    shut_down(old);
}

#[test]
fn new_version_serves_after_kill_of_old() {
    let server =
        Server::new(|_, request| if request.first.contains("/hang") { Act::Wait } else { ok("slip") });
    let platform = Platform::new(&[ready("a", &server)]);
    let (old, _watch) = platform.ready();
    let mut lost = platform.client();
    lost.send(&request("GET", "/view/hang", "9", "", ""));
    server.request();
    let (next, _next_watch) = platform.ready();
    drop(old);
    assert!(lost.ended(), "the request is lost with its process");
    for _ in 0..20 {
        assert_eq!(platform.client().ask(&view()).status(), 200);
    }
    shut_down(next);
}

/// A drain applies to the process that was notified of it; another process follows the updates that it
/// receives itself.
#[test]
fn drain_applies_to_notified_process() {
    let (one, two) = (Server::new(|_, _| ok("one")), Server::new(|_, _| ok("two")));
    let platform = Platform::new(&[ready("a", &one), ready("b", &two)]);
    let (old, _watch) = platform.ready();
    let (next, mut watch) = platform.ready();
    watch.changes(43, &[target("a", one.address, 1, "draining")]);
    shut_down(old);
    let before = one.count();
    wait_for("the drain to be received", || stats(next.admin.unwrap())["discovered"] == 2);
    while platform.client().ask(&view()).body == b"one" {}
    let count_after_drain = one.count();
    assert!(count_after_drain <= before + 20);
    for _ in 0..50 {
        assert_eq!(platform.client().ask(&view()).body, b"two");
    }
    assert_eq!(one.count(), count_after_drain);
    shut_down(next);
}

/// A process that can't listen reports that in one line and ends.
#[test]
fn unusable_inherited_socket_is_reported() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let path = write(&config(discovery.local_addr().unwrap(), &[], 1024).to_string());
    let platform = TcpListener::bind("127.0.0.1:0").unwrap();
    let connected = TcpStream::connect(platform.local_addr().unwrap()).unwrap();
    let bound = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut without_socket = program();
    without_socket.env("GW_LISTEN_FD", "7").env_remove("LISTEN_FDS");
    for (mut command, expected) in [
        (without_socket, "GW_LISTEN_FD names 7, but"),
        (run(OwnedFd::from(connected), "7"), "GW_LISTEN_FD: expected a"),
        (run(OwnedFd::from(bound), "7"), "GW_LISTEN_FD: expected a"),
        (run(Stdio::null(), "7"), "GW_LISTEN_FD: expected a"),
        (run(Stdio::null(), "9"), "GW_LISTEN_FD: expected a"),
        (run(Stdio::null(), "seven"), "GW_LISTEN_FD: expected a descriptor's number"),
    ] {
        let output = command.env("GW_CONFIG", &path).output().unwrap();
        let log = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && log.contains(expected) && log.lines().count() == 1, "{log}");
    }
}

/// While there is no memory for another long body, the next is refused at once, and short ones are served.
#[test]
fn long_request_without_memory_is_refused() {
    let server = Server::new(|_, _| ok("paid"));
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = config_with_admin(&discovery, &[ready("a", &server)]);
    // Memory for eight long bodies, the minimum.
    config["limits"]["memory_mb"] = 1.into();
    let node = Node::with_discovery(program(), discovery, config);
    let open = || {
        let mut client = node.client();
        let text = String::from_utf8(request("POST", "/order/1", "9", "", "")).unwrap();
        client.send(text.replace("Content-Length: 0", "Content-Length: 200000").as_bytes());
        client.send(&[7; 100_000]);
        client
    };
    let mut slow: Vec<Client> = (0..8).map(|_| open()).collect();
    wait_for("the eight requests", || stats(node.process.admin.unwrap())["outstanding"] == 8);
    assert_eq!(open().answer().status(), 503);
    assert_eq!(node.client().ask(&order()).status(), 200);
    for client in &mut slow {
        client.send(&[7; 100_000]);
        assert_eq!(client.answer().status(), 200);
    }
    let mut next = open();
    next.send(&[7; 100_000]);
    assert_eq!(next.answer().status(), 200);
}
