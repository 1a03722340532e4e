//! Nodes that gossip, as real processes on loopback: a stall that some see is known to all, and a liar does little.

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

const CEILING: u32 = 16 * 1024;
const SERVERS: usize = 8;

fn plan(nodes: usize, more: usize, gossips: bool) -> Plan {
    Plan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_dunelink")),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
        nodes,
        more,
        servers: (0..SERVERS).map(|_| listed("", 0)).collect(),
        zone: |_| "",
        gossips,
        top: String::new(),
        gossip: format!("ceiling = {CEILING}"),
        fleet: String::new(),
        tables: classes(Duration::from_millis(1500)),
    }
}

/// Clients that ask for views alone.
fn load() -> Load {
    let (pause, deadline) = (Duration::from_millis(8), Duration::from_millis(1500));
    Load { clients: 3, pause, classes: vec![Class::View], deadline }
}

/// What a node's operators see.
fn seen(rig: &Rig, node: usize, what: &str) -> String {
    let control = rig.door(node).to_string();
    let out =
        Command::new(env!("CARGO_BIN_EXE_dunelink")).args([what, "--control", &control]).output().unwrap();
    String::from_utf8(out.stdout).unwrap()
}

/// The doubt about the first server that operators are told of.
fn doubt(told: &str) -> f64 {
    told.split("doubt=").nth(1).unwrap().split_whitespace().next().unwrap().parse().unwrap()
}

/// How many requests came to each server in a span.
fn came(entries: &[Entry], from: Duration, to: Duration) -> Vec<usize> {
    let mut count = vec![0; SERVERS];
    for entry in entries.iter().filter(|entry| (from..to).contains(&entry.at)) {
        if let What::Came { server, .. } = entry.what {
            count[server] += 1;
        }
    }
    count
}

/// The first server's part, for each that another has on average.
fn part(came: &[usize]) -> f64 {
    came[0] as f64 / (came[1..].iter().sum::<usize>() as f64 / (SERVERS - 1) as f64)
}

/// What a stall of one of eight servers costs five nodes, in its first two seconds and in two more.
#[derive(Debug)]
struct Paid {
    /// Requests that it had in each of them.
    sent: (usize, usize),
    /// The same, for each that another server had in the second.
    part: f64,
}

fn stall(gossips: bool) -> Paid {
    let mut rig = Rig::new(plan(5, 0, gossips));
    if gossips {
        rig.found();
    }
    rig.load(&load());
    let two = Duration::from_secs(2);
    thread::sleep(two);
    rig.cause(Fault::Conduct(0, Conduct::Silent));
    let began = rig.record.now();
    thread::sleep(two);
    let found = rig.record.now();
    thread::sleep(two);
    let ended = rig.record.now();
    if gossips {
        for node in 0..5 {
            let told = seen(&rig, node, "suspicions");
            assert!(told.starts_with("s0 doubt=") && doubt(&told) >= 0.5, "{told}");
            assert!(told.matches("strength=").count() >= 2, "who says so: {told}");
            let members = seen(&rig, node, "members");
            let bytes: u64 =
                members.split("sent_bytes=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap();
            assert!(bytes < u64::from(CEILING) * 12, "{members}");
        }
    }
    rig.rest();
    let entries = rig.record.entries();
    let (first, second) = (came(&entries, began, found), came(&entries, found, ended));
    Paid { sent: (first[0], second[0]), part: part(&second) }
}

#[test]
fn a_stalled_server_is_avoided_by_all_within_two_seconds() {
    let (with, without) = (stall(true), stall(false));
    println!("with gossip: {with:?}\nwithout: {without:?}");
    assert!(with.part < 0.25, "{with:?}");
    // Who is told pays less than who finds out alone, again and again.
    assert!(4 * with.sent.1 <= 3 * without.sent.1, "{with:?}, {without:?}");
}

/// A peer that is what it says it is, and lies of the first server.
fn lie(settings: Settings, ring: KeyRing, secret: Secret, at: SocketAddr, server: u64, until: Instant) {
    let socket = UdpSocket::bind(at).unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    let began = Instant::now();
    let now = || began.elapsed().as_micros() as u64;
    let mut gossip = Gossip::new(settings, ring, secret, now()).unwrap();
    let (mut bytes, mut out) = ([0; 2000], Vec::new());
    while Instant::now() < until {
        match socket.recv_from(&mut bytes) {
            Ok((length, from)) => gossip.handle(now(), Input::Packet(from, &bytes[..length]), &mut out),
            Err(_) => gossip.handle(now(), Input::Tick, &mut out),
        }
        let lie = ServerObservation { server, suspicion: 1.0, recent_answers: 0, sample_count: 60_000 };
        gossip.handle(now(), Input::Observations(vec![lie]), &mut out);
        for output in out.drain(..) {
            if let Output::Send(to, bytes) = output {
                let _ = socket.send_to(&bytes, to);
            }
        }
    }
}

#[test]
fn a_lying_peer_takes_no_more_than_its_bound_from_a_healthy_server() {
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
        max_bytes_per_second: CEILING,
        configured_nodes: 5,
        seed: 77,
        first_statement_number: 1,
    };
    let liar = thread::spawn(move || lie(settings, ring, secret, at, id, until));
    for node in 0..4 {
        rig.wait("the lie", || seen(&rig, node, "suspicions").starts_with("s0 doubt="));
        let told = seen(&rig, node, "suspicions");
        assert!(doubt(&told) <= max_false_suspicion(1, 5) + 0.01, "{told}");
    }
    rig.load_at(0..4, &load());
    let began = rig.record.now();
    thread::sleep(Duration::from_secs(9));
    let came = came(&rig.record.entries(), began, rig.record.now());
    rig.rest();
    // A quarter at most, by the bound; a count of so many varies by its root, and three times that is not chance.
    let (part, chance) = (part(&came), 3.0 / (came[0].max(1) as f64).sqrt());
    assert!(came[0] > 100 && part > 0.75 * (1.0 - chance), "it has {part} of what others have: {came:?}");
    let told = seen(&rig, 0, "members");
    let credit = told.lines().find(|line| line.starts_with("n4 ")).unwrap().split("credit=").nth(1).unwrap();
    assert!(credit.parse::<f64>().unwrap() < 0.5, "own answers speak against it: {told}");
    assert!(rig.record.log(0).iter().any(|line| line.ends_with("member=\"n4\"")));
    liar.join().unwrap();
}

fn secret(node: usize) -> Secret {
    Secret::from_seed([node as u8 + 1; 32])
}

/// The ring of so many nodes, as text.
fn ring(nodes: usize) -> String {
    (0..nodes).map(|node| format!("n{node} {}\n", secret(node).public_hex())).collect()
}

fn write_secret(node: usize) -> String {
    let path = write_as("secret", &format!("{:02x}", node as u8 + 1).repeat(32));
    Command::new("chmod").args(["600", &path]).status().unwrap();
    path
}

#[test]
fn keys_that_can_not_be_used_are_told_of_and_end_the_start() {
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
    for (secret, ring, wanted) in cases {
        let ring = write_as("ring", &ring);
        let config = format!(
            "name = \"n0\"\nlisten = \"127.0.0.1:0\"\n[gossip]\nlisten = \"127.0.0.1:0\"\nsecret = \"{secret}\"\n\
             ring = \"{ring}\"\n[[classes]]\nname = \"view\"\neffect = \"safe\"\ndeadline = \"2s\"\n"
        );
        let out = program().args(["run", "--config", &write_as("toml", &config)]).output().unwrap();
        let log = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && log.contains(wanted), "{log}");
    }
}
