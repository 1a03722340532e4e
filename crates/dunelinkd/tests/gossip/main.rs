//! Gossip between real processes on loopback: a stall observed by some nodes becomes known to all, and a node
//! that lies has little effect.

#[path = "../process/mod.rs"]
mod process;

use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use dunelink_gossip::{
    Gossip, Input, KeyRing, Output, Secret, ServerObservation, Settings, max_false_suspicion,
};
use process::{program, write_as};
use testkit::rig::clients::Load;
use testkit::rig::faults::{Conduct, Fault};
use testkit::rig::record::{Class, Entry, What};
use testkit::rig::{Plan, Rig, classes, listed};

const MAX_BYTES_PER_SECOND: u32 = 16 * 1024;
const SERVER_COUNT: usize = 8;

fn plan(nodes: usize, more: usize, gossips: bool) -> Plan {
    Plan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_dunelink")),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
        nodes,
        more,
        servers: (0..SERVER_COUNT).map(|_| listed("", 0)).collect(),
        zone: |_| "",
        gossips,
        top: String::new(),
        gossip: format!("ceiling = {MAX_BYTES_PER_SECOND}"),
        fleet: String::new(),
        tables: classes(Duration::from_millis(1500)),
    }
}

/// Load of clients that send only requests of class `view`.
fn load() -> Load {
    let (pause, deadline) = (Duration::from_millis(8), Duration::from_millis(1500));
    Load { clients: 3, pause, classes: vec![Class::View], deadline }
}

/// The output of an operator command on a node.
fn operator_output(rig: &Rig, node: usize, what: &str) -> String {
    let control = rig.door(node).to_string();
    let out =
        Command::new(env!("CARGO_BIN_EXE_dunelink")).args([what, "--control", &control]).output().unwrap();
    String::from_utf8(out.stdout).unwrap()
}

/// The suspicion level of the first server in the output of `dunelink suspicions`.
fn suspicion_level(output: &str) -> f64 {
    output.split("doubt=").nth(1).unwrap().split_whitespace().next().unwrap().parse().unwrap()
}

/// Number of requests that each server received in a span of time.
fn request_counts(entries: &[Entry], from: Duration, to: Duration) -> Vec<usize> {
    let mut count = vec![0; SERVER_COUNT];
    for entry in entries.iter().filter(|entry| (from..to).contains(&entry.at)) {
        if let What::Came { server, .. } = entry.what {
            count[server] += 1;
        }
    }
    count
}

/// Requests of the first server, relative to the average of the others.
fn relative_load(request_counts: &[usize]) -> f64 {
    request_counts[0] as f64 / (request_counts[1..].iter().sum::<usize>() as f64 / (SERVER_COUNT - 1) as f64)
}

/// The cost of a stall of one of eight servers to five nodes, in its first two seconds and in the two after.
#[derive(Debug)]
struct StallCost {
    /// Requests that the stalled server received in each of the two spans.
    sent: (usize, usize),
    /// Its requests in the second span, relative to the average of the others.
    relative_load: f64,
}

fn stall_cost(gossips: bool) -> StallCost {
    let mut rig = Rig::new(plan(5, 0, gossips));
    if gossips {
        rig.found();
    }
    rig.load(&load());
    let two = Duration::from_secs(2);
    thread::sleep(two);
    rig.cause(Fault::Conduct(0, Conduct::Silent));
    let start = rig.record.now();
    thread::sleep(two);
    let first_end = rig.record.now();
    thread::sleep(two);
    let second_end = rig.record.now();
    if gossips {
        for node in 0..5 {
            let output = operator_output(&rig, node, "suspicions");
            assert!(output.starts_with("s0 doubt=") && suspicion_level(&output) >= 0.5, "{output}");
            assert!(output.matches("strength=").count() >= 2, "several witnesses: {output}");
            let members = operator_output(&rig, node, "members");
            let bytes: u64 =
                members.split("sent_bytes=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap();
            assert!(bytes < u64::from(MAX_BYTES_PER_SECOND) * 12, "{members}");
        }
    }
    rig.rest();
    let entries = rig.record.entries();
    let (first, second) =
        (request_counts(&entries, start, first_end), request_counts(&entries, first_end, second_end));
    StallCost { sent: (first[0], second[0]), relative_load: relative_load(&second) }
}

#[test]
fn stalled_server_is_avoided_within_two_seconds() {
    let (with, without) = (stall_cost(true), stall_cost(false));
    println!("with gossip: {with:?}\nwithout: {without:?}");
    assert!(with.relative_load < 0.25, "{with:?}");
    // Nodes that learn of the stall by gossip lose fewer requests than nodes that each have to detect it.
    assert!(4 * with.sent.1 <= 3 * without.sent.1, "{with:?}, {without:?}");
}

/// Runs a peer with valid keys that gossips false observations of one server.
fn run_lying_peer(
    settings: Settings,
    ring: KeyRing,
    secret: Secret,
    at: SocketAddr,
    server: u64,
    until: Instant,
) {
    let socket = UdpSocket::bind(at).unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    let start = Instant::now();
    let now = || start.elapsed().as_micros() as u64;
    let mut gossip = Gossip::new(settings, ring, secret, now()).unwrap();
    let (mut bytes, mut out) = ([0; 2000], Vec::new());
    while Instant::now() < until {
        match socket.recv_from(&mut bytes) {
            Ok((length, from)) => gossip.handle(now(), Input::Packet(from, &bytes[..length]), &mut out),
            Err(_) => gossip.handle(now(), Input::Tick, &mut out),
        }
        let false_observation =
            ServerObservation { server, suspicion: 1.0, recent_answers: 0, sample_count: 60_000 };
        gossip.handle(now(), Input::Observations(vec![false_observation]), &mut out);
        for output in out.drain(..) {
            if let Output::Send(to, bytes) = output {
                let _ = socket.send_to(&bytes, to);
            }
        }
    }
}

#[test]
fn lying_peer_has_bounded_effect() {
    let mut rig = Rig::new(plan(4, 1, true));
    let id = dunelink::Server::new("s0", ([127, 0, 0, 1], 1).into()).id();
    let until = Instant::now() + Duration::from_secs(14);
    let read = |path: PathBuf| std::fs::read_to_string(path).unwrap();
    let ring = KeyRing::parse(&read(rig.ring())).unwrap();
    let secret = Secret::parse(&read(rig.secret(4))).unwrap();
    let (at, front) = rig.place(4);
    let settings = Settings {
        name: "n4".into(),
        address: front,
        seeds: vec![rig.place(0).1],
        probe_period: 500_000,
        max_bytes_per_second: MAX_BYTES_PER_SECOND,
        configured_nodes: 5,
        seed: 77,
        first_statement_number: 1,
    };
    let liar = thread::spawn(move || run_lying_peer(settings, ring, secret, at, id, until));
    for node in 0..4 {
        rig.wait("the false suspicion", || {
            operator_output(&rig, node, "suspicions").starts_with("s0 doubt=")
        });
        let output = operator_output(&rig, node, "suspicions");
        assert!(suspicion_level(&output) <= max_false_suspicion(1, 5) + 0.01, "{output}");
    }
    rig.load_at(0..4, &load());
    let start = rig.record.now();
    thread::sleep(Duration::from_secs(9));
    let request_counts = request_counts(&rig.record.entries(), start, rig.record.now());
    rig.rest();
    // The bound permits a loss of a quarter; a count varies by its square root, so the tolerance is three
    // times that.
    let (relative_load, tolerance) =
        (relative_load(&request_counts), 3.0 / (request_counts[0].max(1) as f64).sqrt());
    assert!(
        request_counts[0] > 100 && relative_load > 0.75 * (1.0 - tolerance),
        "relative load {relative_load}: {request_counts:?}"
    );
    let output = operator_output(&rig, 0, "members");
    let credit =
        output.lines().find(|line| line.starts_with("n4 ")).unwrap().split("credit=").nth(1).unwrap();
    assert!(credit.parse::<f64>().unwrap() < 0.5, "answers from the server contradict the liar: {output}");
    assert!(rig.record.log(0).iter().any(|line| line.ends_with("member=\"n4\"")));
    liar.join().unwrap();
}

fn secret(node: usize) -> Secret {
    Secret::from_seed([node as u8 + 1; 32])
}

/// The key ring of this number of nodes, as text.
fn ring(nodes: usize) -> String {
    (0..nodes).map(|node| format!("n{node} {}\n", secret(node).public_hex())).collect()
}

fn write_secret(node: usize) -> String {
    let path = write_as("secret", &format!("{:02x}", node as u8 + 1).repeat(32));
    Command::new("chmod").args(["600", &path]).status().unwrap();
    path
}

#[test]
fn unusable_keys_are_reported_at_start() {
    let secret = write_secret(0);
    let open = write_as("secret", &"01".repeat(32));
    Command::new("chmod").args(["644", &open]).status().unwrap();
    let cases = [
        (open.as_str(), ring(1), "gossip.secret: expected a file that only its owner may read"),
        (&secret, ring(1).replace("n0", "other"), "gossip.ring: expected a line with the name n0"),
        (
            &secret,
            format!("{}n1 0011\n", ring(1)),
            ":2: gossip.ring: expected a key of 64 hexadecimal digits",
        ),
    ];
    for (secret, ring, expected) in cases {
        let ring = write_as("ring", &ring);
        let config = format!(
            "name = \"n0\"\nlisten = \"127.0.0.1:0\"\n[gossip]\nlisten = \"127.0.0.1:0\"\nsecret = \"{secret}\"\n\
             ring = \"{ring}\"\n[[classes]]\nname = \"view\"\neffect = \"safe\"\ndeadline = \"2s\"\n"
        );
        let out = program().args(["run", "--config", &write_as("toml", &config)]).output().unwrap();
        let log = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && log.contains(expected), "{log}");
    }
}
