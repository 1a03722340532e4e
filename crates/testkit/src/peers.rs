//! Scripted peers on loopback: servers, discovery, and a client's connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use crate::long::read_body;

/// No event takes this long; only a failing test waits for it.
pub const WITHIN: Duration = Duration::from_secs(20);

/// One HTTP message, as it came.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its first line.
    pub first: String,
    /// Names and values, in order.
    pub headers: Vec<(String, String)>,
    /// What `Content-Length` says.
    pub body: Vec<u8>,
    /// All of its head, byte by byte.
    pub raw: Vec<u8>,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Reads a message; nothing if the connection has ended.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::read_head(from)?;
        let framed =
            ["content-length", "transfer-encoding"].iter().any(|name| message.header(name).is_some());
        if framed {
            message.body = read_body(&message, from)?;
        }
        Some(message)
    }

    /// Reads a message's head alone.
    pub fn read_head(from: &mut impl BufRead) -> Option<Message> {
        let mut raw = Vec::new();
        let mut line = || {
            let began = raw.len();
            from.read_until(b'\n', &mut raw).ok().filter(|n| *n > 0)?;
            Some(String::from_utf8_lossy(&raw[began..]).trim_end().to_string())
        };
        let (first, mut headers) = (line()?, Vec::new());
        loop {
            let header = line()?;
            let Some((name, value)) = header.split_once(':') else { break };
            headers.push((name.to_string(), value.trim().to_string()));
        }
        Some(Message { first, headers, body: Vec::new(), raw })
    }
}

/// What a server does about a request.
#[derive(Clone)]
pub enum Act {
    /// Writes these bytes and reads on.
    Say(Vec<u8>),
    /// Writes these bytes and closes.
    SayAndClose(Vec<u8>),
    /// Writes some bytes, and after a while others.
    SayMore(Vec<u8>, Duration, Vec<u8>),
    /// Writes as it likes, held up while nobody reads.
    Write(Arc<dyn Fn(&mut TcpStream) + Send + Sync>),
    /// Says nothing.
    Wait,
}

/// The bytes of an answer; `headers` are whole lines.
pub fn answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Answers 200.
pub fn ok(body: &str) -> Act {
    Act::Say(answer(200, "", body))
}

/// What a server has seen.
#[derive(Debug)]
pub enum Seen {
    /// A request, and on which of the server's connections.
    Request(usize, Message),
    /// That connection has ended.
    Ended(usize),
}

/// A stand-in server.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// How many requests have come.
    pub requests: Arc<AtomicUsize>,
    seen: Receiver<Seen>,
}

impl Server {
    /// A server that does as the script says; the script is told how many requests came before.
    pub fn new(script: impl Fn(usize, &Message) -> Act + Send + Sync + 'static) -> Server {
        let count = AtomicUsize::new(0);
        Server::on(move |_, request| script(count.fetch_add(1, Ordering::SeqCst), request))
    }

    /// A server whose script is told on which connection the request came.
    pub fn on(script: impl Fn(usize, &Message) -> Act + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, seen) = channel();
        let (script, requests) = (Arc::new(script), Arc::new(AtomicUsize::new(0)));
        let count = requests.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (script, tell, count) = (script.clone(), tell.clone(), count.clone());
                thread::spawn(move || {
                    let Ok(mut stream) = stream else { return };
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Some(request) = Message::read(&mut reader) {
                        count.fetch_add(1, Ordering::SeqCst);
                        let act = script(number, &request);
                        let _ = tell.send(Seen::Request(number, request));
                        match act {
                            Act::Say(bytes) => drop(stream.write_all(&bytes)),
                            Act::SayAndClose(bytes) => {
                                drop(stream.write_all(&bytes));
                                break;
                            }
                            Act::SayMore(bytes, later, more) => {
                                drop(stream.write_all(&bytes));
                                thread::sleep(later);
                                drop(stream.write_all(&more));
                            }
                            Act::Write(write) => write(&mut stream),
                            Act::Wait => {}
                        }
                    }
                    drop((stream, reader));
                    let _ = tell.send(Seen::Ended(number));
                });
            }
        });
        Server { address, requests, seen }
    }

    /// The next request, and on which connection it came.
    pub fn request(&self) -> (usize, Message) {
        loop {
            if let Seen::Request(number, message) = self.seen.recv_timeout(WITHIN).expect("a request") {
                return (number, message);
            }
        }
    }

    /// Waits until a connection has ended.
    pub fn ended(&self) -> usize {
        loop {
            if let Seen::Ended(number) = self.seen.recv_timeout(WITHIN).expect("an end") {
                return number;
            }
        }
    }

    /// How many requests have come.
    pub fn count(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

/// An address that refuses connections.
pub fn nobody() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    // Held for as long as the process runs: another test's server must not be given the port.
    std::mem::forget(socket);
    address
}

/// An entry of the list.
pub fn target(uid: &str, endpoint: SocketAddr, pod: u16, state: &str) -> Value {
    json!({"uid": uid, "endpoint": endpoint.to_string(), "az": "sapporo-a", "model": "std-1c",
        "pod_group": pod, "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// An entry for a server that takes requests.
pub fn ready(uid: &str, server: &Server) -> Value {
    target(uid, server.address, 1, "ready")
}

/// A watch that the node has begun.
pub struct Watch {
    /// What it asked for.
    pub request: Message,
    stream: TcpStream,
}

impl Watch {
    /// The next watch to come.
    pub fn accept(listener: &TcpListener) -> Watch {
        Watch::accept_in_turn(listener, Duration::ZERO)
    }

    /// The next watch to come, whose turn comes after this time.
    pub fn accept_in_turn(listener: &TcpListener, turn: Duration) -> Watch {
        let (mut stream, _) = listener.accept().unwrap();
        let request = Message::read(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
        thread::sleep(turn);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
        Watch { request, stream }
    }

    /// Says a line.
    pub fn line(&mut self, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        self.stream.write_all(chunk.as_bytes()).unwrap();
    }

    /// Says what changed.
    pub fn changes(&mut self, rev: u64, targets: &[Value]) {
        self.line(&json!({"rev": rev, "all": false, "targets": targets}).to_string());
    }
}

/// A node's configuration in the platform's form; port 0 is where it listens.
pub fn config(discovery: SocketAddr, targets: &[Value], sockets: usize) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "discovery": discovery.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": {"rev": 41, "all": true, "targets": targets}, "settings": settings()})
}

/// The settings of [`config`]: one class of each kind, and one tenant.
pub fn settings() -> Value {
    let class = |name: &str, repeats: &str| {
        json!({"name": name, "idempotency": repeats, "dedup_scope": "cell", "window_us": 10_000_000,
            "goal_time_us": 4_000_000, "deadline_us": 15_000_000, "points": 1.0, "late_value": 0.2})
    };
    json!({"balancers": 1, "rank": 0, "zone": 0, "zones": ["sapporo-a", "sapporo-b"], "skus": ["std-1c"],
        "discovery": "automatic", "step_us": 5000, "over_share_worth": 0.05,
        "allowed": {"max_attempts": 3, "cancelling": true, "second_copies": true, "retry_after": true,
            "max_retry_after_us": 2_000_000, "connect_timeout_us": 2_000_000, "keepalive_us": 60_000_000},
        "obligations": {"cold_from": 0.12, "warm_up_us": 21_000_000, "fall_multiple": 3.0},
        "parties": [{"name": "acme", "quota_rps": 100.0, "share": 1.0}],
        "services": [class("view", "pure"), class("submit", "token"), class("order", "side_effect")]})
}

/// How many answers clients have had, by what they mean.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Status 200.
    pub served: u64,
    /// Status 429 or 503.
    pub refused: u64,
    /// Any other but 4xx.
    pub failed: u64,
}

/// A client's connection.
pub struct Client {
    /// Its socket.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
    answers: Arc<Mutex<Answers>>,
}

impl Client {
    /// Connects; answers are added up here.
    pub fn connect(address: SocketAddr, answers: Arc<Mutex<Answers>>) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WITHIN)).unwrap();
        Client { reader: BufReader::new(stream.try_clone().unwrap()), stream, answers }
    }

    /// The same with a socket that holds little of what comes.
    pub fn connect_with_little_room(address: SocketAddr, answers: Arc<Mutex<Answers>>) -> Client {
        use rustix::net::{AddressFamily, SocketType, connect, socket, sockopt};
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        sockopt::set_socket_recv_buffer_size(&socket, 4096).unwrap();
        connect(&socket, &address).unwrap();
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(WITHIN)).unwrap();
        Client { reader: BufReader::new(stream.try_clone().unwrap()), stream, answers }
    }

    /// Sends bytes, whatever they are.
    pub fn send(&mut self, bytes: &[u8]) {
        // The node may have answered and closed before all is written.
        let _ = self.stream.write_all(bytes);
    }

    /// Waits for the next answer.
    pub fn answer(&mut self) -> Message {
        self.try_answer().expect("an answer")
    }

    /// The same; nothing if the connection ends first.
    pub fn try_answer(&mut self) -> Option<Message> {
        let answer = Message::read(&mut self.reader)?;
        let health = matches!(&answer.body[..], b"ok" | b"not serving");
        let mut answers = self.answers.lock().unwrap();
        match answer.status() {
            _ if health => {}
            200 => answers.served += 1,
            429 | 503 => answers.refused += 1,
            400..500 => {}
            _ => answers.failed += 1,
        }
        Some(answer)
    }

    /// Waits for the head of an answer that stands for itself: to a `HEAD`, or one that is no more looked at.
    pub fn head(&mut self) -> Message {
        Message::read_head(&mut self.reader).expect("an answer")
    }

    /// Waits for an answer of any length and framing: its head, and its body if that came whole.
    pub fn long_answer(&mut self) -> (Message, Option<Vec<u8>>) {
        let head = self.head();
        let body = self.body(&head);
        (head, body)
    }

    /// The body behind a head, to the end that it states; nothing if it is not whole.
    pub fn body(&mut self, head: &Message) -> Option<Vec<u8>> {
        let body = read_body(head, &mut self.reader);
        self.answers.lock().unwrap().served += u64::from(body.is_some());
        body
    }

    /// Counts an answer as served that was read in parts.
    pub fn count_served(&self) {
        self.answers.lock().unwrap().served += 1;
    }

    /// Waits for so many bytes.
    pub fn read(&mut self, bytes: &mut [u8]) {
        self.reader.read_exact(bytes).unwrap();
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }

    /// Whether the node has closed the connection.
    pub fn ended(&mut self) -> bool {
        matches!(self.reader.read(&mut [0]), Ok(0))
    }

    /// Sends a request and waits for its answer; nothing if the connection ends first.
    pub fn try_ask(&mut self, bytes: &[u8]) -> Option<Message> {
        self.send(bytes);
        self.try_answer()
    }

    /// Sends a request and waits for its answer.
    pub fn ask(&mut self, bytes: &[u8]) -> Message {
        self.send(bytes);
        self.answer()
    }
}

/// A request to send, with an id of its own; `more` are further header lines.
pub fn request(method: &str, path: &str, deadline: &str, more: &str, body: &str) -> Vec<u8> {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let id = format!("9b1f03aa{:08x}", NUMBER.fetch_add(1, Ordering::SeqCst));
    identified(&id, method, path, deadline, more, body)
}

/// A request with this id.
pub fn identified(id: &str, method: &str, path: &str, deadline: &str, more: &str, body: &str) -> Vec<u8> {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n\
         Req-Deadline: {deadline}\r\n{more}{length}\r\n{body}"
    )
    .into_bytes()
}

/// Waits, without any runtime, until something holds.
pub fn wait_for(what: &str, holds: impl Fn() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < WITHIN, "waited for: {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Lets connections to servers rest for far longer than they have to before they are used again.
pub fn rested() {
    thread::sleep(Duration::from_millis(200));
}

/// A safe request.
pub fn view() -> Vec<u8> {
    request("GET", "/view/7f3a?x=1", "14.0", "", "")
}

/// A keyed request.
pub fn submit() -> Vec<u8> {
    request("POST", "/submit/7f3a", "14.0", "Idempotency-Key: 5c0f6e1a\r\n", "hours")
}

/// An unsafe request.
pub fn order() -> Vec<u8> {
    request("POST", "/order/7f3a", "14.0", "", "yen")
}
