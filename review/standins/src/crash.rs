//! Servers whose streams carry no length and end with the connection; one of them crashes.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use testkit::system::message::{BodyReader, read_head};
use testkit::system::programs::Programs;
use testkit::system::{Configuration, Connection, Entry, Fleet, Plan, Route};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::record::Record;

const HOST: &str = "ficu95.example";
const KEY: &str = "hwrr6x73d3zji9n73hh2";
const POOL: &str = "huvo11a";
/// A stream that may not be taken up at another server.
const PATH: &str = "/draft/";
const SERVERS: u8 = 6;
const EVENTS: u32 = 9;
/// From the first half of an event to the second.
const WITHIN_EVENT: Duration = Duration::from_millis(70);
/// From the second half of an event to the next event.
const BETWEEN_EVENTS: Duration = Duration::from_millis(30);
/// Requests a second.
const PER_S: u64 = 80;

/// The two halves of an event.
fn halves(number: u32) -> (String, String) {
    (
        format!("id: {number}\ndata: the first half of piece {number}, "),
        format!("the second half of piece {number}\n\n"),
    )
}

fn whole_stream() -> String {
    (1..=EVENTS).map(halves).map(|(first, second)| first + &second).collect()
}

/// The server's process: `ADDRESS` and `ID`. Each request is told on the standard output as it begins and ends.
pub async fn serve(address: &Path, id: &Path) -> ExitCode {
    let (Some(address), Some(id)) = (address.to_str(), id.to_str()) else { return ExitCode::from(2) };
    let Ok(listener) = TcpListener::bind(address).await else { return ExitCode::from(2) };
    let id: Arc<str> = id.into();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let id = id.clone();
        tokio::spawn(async move {
            let _ = answer(stream, &id).await;
        });
    }
}

fn tell(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

async fn answer(stream: TcpStream, own: &str) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader).await? else { return Ok(()) };
    BodyReader::of_request(&head).rest(&mut reader).await?;
    let id = head.field("x-dunelink-request-id").unwrap_or_default().to_owned();
    let stream = reader.get_mut();
    if head.word(1) == "/health" {
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Dunelink-Instance-Id: {own}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        );
        return stream.write_all(text.as_bytes()).await;
    }
    if head.field("x-dunelink-expect-instance").is_some_and(|expected| expected != own) {
        let text = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Dunelink-Request-Id: {id}\r\nX-Dunelink-Not-Executed: 1\r\n\
             Content-Length: 0\r\nConnection: close\r\n\r\n"
        );
        return stream.write_all(text.as_bytes()).await;
    }
    tell(&format!("{own} runs {id}"));
    // No length: the answer ends with its connection.
    let text = format!(
        "HTTP/1.1 200 OK\r\nX-Dunelink-Request-Id: {id}\r\nX-Dunelink-Response-Seal: {own}.{id}.c9f2a4d1\r\n\
         X-Dunelink-Server-Load: 1,0,24\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await?;
    for number in 1..=EVENTS {
        let (first, second) = halves(number);
        stream.write_all(first.as_bytes()).await?;
        sleep(WITHIN_EVENT).await;
        stream.write_all(second.as_bytes()).await?;
        sleep(BETWEEN_EVENTS).await;
    }
    tell(&format!("{own} has sent all of {id}"));
    Ok(())
}

struct Processes(Vec<Child>);

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// What a client got: the status, whether the answer was framed as a whole one, and its body.
struct Got {
    id: String,
    status: u16,
    whole: bool,
    body: String,
}

async fn ask(address: SocketAddr, request: &testkit::system::Request) -> (u16, bool, String) {
    let Ok(mut connection) = Connection::open(address).await else { return (0, false, String::new()) };
    if connection.send(request).await.is_err() {
        return (0, false, String::new());
    }
    let Ok(answering) = connection.head().await else { return (0, false, String::new()) };
    let status = answering.head.status();
    match answering.rest().await {
        Ok(answer) => (status, true, answer.text()),
        Err(_) => (status, false, String::new()),
    }
}

pub async fn run(programs: &Path, record: &Path, trouble: bool) -> Option<bool> {
    let record = Arc::new(Record::new(record));
    let mut fleet = Fleet::of(Programs::in_folder(programs), Plan { cores: 3, fronts: 2 }).await;
    fleet.bound("retryRatio", "0.2");
    let own = std::env::current_exe().ok()?;
    let (mut entries, mut servers) = (Vec::new(), Processes(Vec::new()));
    let told = tempfile(&fleet);
    for number in 0..SERVERS {
        let (address, id) = (fleet.network.server(number), format!("i-{number}"));
        let out = std::fs::OpenOptions::new().create(true).append(true).open(&told).ok()?;
        let child = Command::new(&own)
            .args(["stream-server", &address.to_string(), &id])
            .stdin(Stdio::null())
            .stdout(out)
            .spawn()
            .ok()?;
        servers.0.push(child);
        entries.push(Entry { slots: 24, ..Entry::ready(&id, POOL, address, "zone-1") });
    }
    fleet.list.set(entries);
    fleet.start_all();
    let route = Route::streaming(HOST, PATH, POOL, false)
        .with("maxAttempts", 1.into())
        .with("timeoutMs", 4000.into())
        .with("targetLatencyMs", 600.into());
    let configuration = Configuration::new(3).engine(POOL).route(route).tenant("bureau", &[KEY], 0);
    if !fleet.operator().replace(0, configuration.value()).await.is_taken() {
        record.say("the configuration was not taken");
        return None;
    }
    for front in 0..2 {
        fleet.ready(front).await;
    }
    record.say(&format!(
        "2 fronts and {SERVERS} servers are ready; each stream has {EVENTS} events and no length"
    ));
    let got: Arc<Mutex<Vec<Got>>> = Arc::default();
    let mut tasks = Vec::new();
    let start = Instant::now();
    let mut killed = false;
    for number in 0..PER_S * 4 {
        sleep(Duration::from_millis(1_000 / PER_S)).await;
        if trouble && !killed && start.elapsed() > Duration::from_secs(2) {
            killed = true;
            record.say("one of 6 servers crashes: SIGKILL");
            let _ = servers.0[0].kill();
        }
        let front = (number % 2) as usize;
        let (client, record, got) = (fleet.client(front, HOST, KEY), record.clone(), got.clone());
        tasks.push(tokio::spawn(async move {
            let request = client
                .request("POST", PATH)
                .prompt(2_890, 54, &format!("{:x}:2890", fastrand::u32(..)))
                .field("X-Dunelink-Deadline-Ms", "4000")
                .body(b"a draft, please");
            record.line(record.ms(Instant::now()), &format!("front {front} gets {}", request.id));
            let (status, whole, body) = ask(client.front, &request).await;
            let events = body.matches("\n\n").count();
            let end = if whole { "as a whole answer" } else { "cut off" };
            record.line(
                record.ms(Instant::now()),
                &format!(
                    "front {front} answers {}: {status}, {events} whole events, it ends {end}",
                    request.id
                ),
            );
            got.lock().unwrap().push(Got { id: request.id, status, whole, body });
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    drop(servers);
    for line in std::fs::read_to_string(&told).unwrap_or_default().lines() {
        record.line(0.0, &format!("server {line}"));
    }
    Some(judge(&record, &got.lock().unwrap()))
}

/// A file in the fleet's own temporary folder.
fn tempfile(fleet: &Fleet) -> std::path::PathBuf {
    let data = fleet.data(0);
    let folder = data.ancestors().nth(2).expect("the fleet's folder");
    folder.join("servers.txt")
}

/// Whether an answer looked whole and was not.
fn judge(record: &Record, got: &[Got]) -> bool {
    let whole_stream = whole_stream();
    let (mut served, mut cut, mut others, mut amid, mut between) = (0, 0, 0, 0, 0);
    for answer in got {
        match (answer.status, answer.whole) {
            (200, true) if answer.body == whole_stream => served += 1,
            (200, true) if answer.body.ends_with("\n\n") || answer.body.is_empty() => between += 1,
            (200, true) => {
                amid += 1;
                let end: String =
                    answer.body.chars().rev().take(40).collect::<Vec<_>>().into_iter().rev().collect();
                record.say(&format!(
                    "{}: 200, a whole answer by its framing, that ends amid an event: …{end:?}",
                    answer.id
                ));
            }
            (200, false) => cut += 1,
            _ => others += 1,
        }
    }
    record.say(&format!(
        "{} requests: {served} whole streams, {cut} visibly cut, {others} other answers; complete by their framing \
         but not whole: {amid} that end amid an event, {between} that end between events",
        got.len()
    ));
    amid > 0
}
