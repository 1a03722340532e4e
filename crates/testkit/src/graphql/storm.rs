//! Many random operations while servers break, drain and come back and the node itself is started anew.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::{ENDPOINT, Ledger, Trouble, batch, server};
use crate::conformance::{Node, Subject};
use crate::peers::*;

/// How large a storm is.
#[derive(Clone, Copy, Debug)]
pub struct Storm {
    /// Operations in all.
    pub operations: usize,
    /// Nodes that follow one another.
    pub nodes: usize,
}

impl Storm {
    /// For every run of the tests.
    pub const SHORT: Storm = Storm { operations: 1_500, nodes: 3 };
    /// By itself.
    pub const LONG: Storm = Storm { operations: 20_000, nodes: 12 };
}

const CLIENTS: usize = 8;
const SERVERS: usize = 4;

/// What a client was told of a mutation that must not run twice.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Told {
    Served,
    Refused,
    Unknown,
}

/// What clients saw.
#[derive(Default)]
struct Seen {
    mutations: Vec<(String, Told)>,
    /// Queries that had an answer, and those that were served.
    queries: (usize, usize),
}

/// One question, on a connection of its own; nothing if the node had gone before it was sent, or under it.
fn question(address: SocketAddr, bytes: &[u8]) -> Result<Option<Message>, ()> {
    let mut stream = TcpStream::connect(address).map_err(drop)?;
    stream.set_read_timeout(Some(WITHIN)).unwrap();
    let _ = stream.write_all(bytes);
    Ok(Message::read(&mut BufReader::new(stream)))
}

/// What a response or a part of a batch tells of its mutation.
fn told(status: u16, response: &Value) -> Told {
    match (&response["errors"][0]["extensions"]["code"], &response["data"]) {
        (Value::String(code), _) if code == "REFUSED" || code == "NOT_RUN" => Told::Refused,
        (_, Value::Object(_)) if status == 200 => Told::Served,
        _ => Told::Unknown,
    }
}

/// Nothing that changes something runs twice, whatever breaks; what was refused did not run; queries are served.
pub fn nothing_that_changes_something_runs_twice<S: Subject>(storm: Storm) {
    let ledger = Ledger::default();
    let servers: Vec<Server> = (0..SERVERS)
        .map(|at| {
            let random = Mutex::new(fastrand::Rng::with_seed(7 + at as u64));
            server(&ledger, move |_| match random.lock().unwrap().u8(..200) {
                0..10 => Trouble::CloseBefore,
                10..20 => Trouble::CloseAfter,
                20..30 => Trouble::Half,
                30..40 => Trouble::ErrorAfter,
                40..50 => Trouble::Declined,
                50 => Trouble::Silent,
                _ => Trouble::None,
            })
        })
        .collect();
    let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
    let entry = |at: usize, state: &str| target(&format!("s-{at}"), addresses[at], 1, state);
    let all: Vec<Value> = (0..SERVERS).map(|at| entry(at, "ready")).collect();
    let done = Arc::new(AtomicUsize::new(0));
    let seen = Arc::new(Mutex::new(Seen::default()));
    let place: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (done, seen, place) = (done.clone(), seen.clone(), place.clone());
            thread::spawn(move || client(number, storm.operations, &done, &seen, &place))
        })
        .collect();
    for number in 1..=storm.nodes {
        let node = Node::<S>::with(&all, ENDPOINT);
        *place.lock().unwrap() = Some(node.address());
        let ended = AtomicBool::new(false);
        let due = storm.operations * number / storm.nodes;
        thread::scope(|scope| {
            let (discovery, ended) = (&node.discovery, &ended);
            scope.spawn(move || roster(discovery, entry, ended));
            // It ends while clients are at it.
            while done.load(Ordering::SeqCst) < due && !clients.iter().all(|client| client.is_finished()) {
                thread::sleep(Duration::from_millis(1));
            }
            ended.store(true, Ordering::SeqCst);
        });
        if number < storm.nodes {
            place.lock().unwrap().take();
            drop(node);
        } else {
            clients_end(&clients);
        }
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    assert_eq!(ledger.twice(), Vec::<String>::new(), "ran twice");
    let seen = seen.lock().unwrap();
    for (id, told) in &seen.mutations {
        let runs = ledger.runs(id);
        match told {
            Told::Served => assert_eq!(runs, 1, "{id} was served"),
            Told::Refused => assert_eq!(runs, 0, "{id} was refused"),
            Told::Unknown => assert!(runs <= 1, "{id}"),
        }
    }
    let of = |wanted: Told| seen.mutations.iter().filter(|(_, told)| *told == wanted).count();
    let (queries, served) = seen.queries;
    println!(
        "{storm:?}: of {} mutations {} served, {} refused, {} unknown; of {queries} queries {served} served; {} runs of mutations, {} of queries",
        seen.mutations.len(),
        of(Told::Served),
        of(Told::Refused),
        of(Told::Unknown),
        ledger.order().len(),
        ledger.queries(),
    );
    assert!(
        of(Told::Served) > seen.mutations.len() / 2 && of(Told::Unknown) > 0,
        "there was trouble, and life"
    );
    // Of three attempts a few queries have trouble with each.
    assert!(
        queries > storm.operations / 4 && served * 100 > queries * 90,
        "{served} of {queries} queries were served"
    );
}

fn clients_end(clients: &[thread::JoinHandle<()>]) {
    while !clients.iter().all(|client| client.is_finished()) {
        thread::sleep(Duration::from_millis(1));
    }
}

/// The list: one server after the other drains or goes, and is back.
fn roster(discovery: &TcpListener, entry: impl Fn(usize, &str) -> Value, ended: &AtomicBool) {
    let mut watch = Watch::accept(discovery);
    let mut rev = 42;
    for at in (0..SERVERS).cycle() {
        for state in ["draining", "ready", "gone", "ready"] {
            if ended.load(Ordering::SeqCst) {
                return;
            }
            watch.changes(rev, &[entry(at, state)]);
            rev += 1;
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Where the node is; between two nodes there is none.
fn wait_for_place(place: &Mutex<Option<SocketAddr>>) -> SocketAddr {
    loop {
        if let Some(address) = *place.lock().unwrap() {
            return address;
        }
        thread::sleep(Duration::from_millis(1));
    }
}

fn client(
    number: usize,
    operations: usize,
    done: &AtomicUsize,
    seen: &Mutex<Seen>,
    place: &Mutex<Option<SocketAddr>>,
) {
    let mut random = fastrand::Rng::with_seed(number as u64);
    let json_body = "Content-Type: application/json\r\n";
    let post =
        |more: &str, text: &str| request("POST", "/graphql", "1.0", &format!("{json_body}{more}"), text);
    let one = |document: &str| json!({"query": document}).to_string();
    while done.fetch_add(1, Ordering::SeqCst) < operations {
        let id = format!("{number}-{}", random.u64(..));
        let pay = format!("mutation {{ pay(id: \"{id}\") }}");
        // What is sent, which mutations that must not run twice are in it, and whether it may be sent again.
        let (kind, bytes) = match random.u8(..10) {
            0..3 => (0, post("", &one("{ payslips(first: 3) }"))),
            3 => (0, request("GET", "/graphql?query=%7Bpayslips%7D", "1.0", "", "")),
            4..7 => (1, post("", &one(&pay))),
            7..9 => (
                2,
                post(
                    &format!("Idempotency-Key: {id}\r\n"),
                    &one(&format!("mutation {{ submit(id: \"{id}\") }}")),
                ),
            ),
            _ => (
                3,
                post(
                    "",
                    &batch(&["{ payslips }", &pay, &pay.replace(&id, &format!("{id}b")), "{ payslips }"]),
                ),
            ),
        };
        for _ in 0..3 {
            let address = wait_for_place(place);
            // What was not sent may go to the next node.
            let Ok(answer) = question(address, &bytes) else { continue };
            let (status, response) = match &answer {
                Some(answer) => {
                    (answer.status(), serde_json::from_slice(&answer.body).unwrap_or(Value::Null))
                }
                None => (0, Value::Null),
            };
            let mut seen = seen.lock().unwrap();
            match kind {
                0 if status > 0 => {
                    seen.queries.0 += 1;
                    seen.queries.1 += usize::from(status == 200);
                }
                1 => seen.mutations.push((id.clone(), told(status, &response))),
                3 => {
                    let part = |at: usize| if response.is_array() { &response[at] } else { &response };
                    seen.mutations.push((id.clone(), told(status, part(1))));
                    seen.mutations.push((format!("{id}b"), told(status, part(2))));
                }
                _ => {}
            }
            // A client asks again with its key.
            if kind != 2 || status == 200 {
                break;
            }
        }
    }
}
