//! Servers that answer before they have read a long body, and some of whose answers are lost: how often a request
//! that may not be repeated runs.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use testkit::system::message::read_head;
use testkit::system::programs::Programs;
use testkit::system::{Configuration, Entry, Fleet, Plan, Route};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

use crate::record::Record;

const HOST: &str = "ficu95.example";
const KEY: &str = "hwrr6x73d3zji9n73hh2";
const SERVICE: &str = "wuno96b";
const PATH: &str = "/order/";
const SERVERS: u8 = 4;
/// Of four servers, as many lose answers: a share of 0.5.
const LOSING: u8 = 2;
/// Each of them loses one answer in so many: 0.05 of the requests that it ran.
const ONE_IN: usize = 20;
/// The servers lose answers for so long.
const FOR: Duration = Duration::from_secs(4);
/// What a server reads of a body before it begins to work.
const BEGINNING: usize = 16 * 1024;
/// The receive buffer of a server's connection.
const WINDOW: u32 = 16 * 1024;
/// How long a server works.
const WORK: Duration = Duration::from_millis(30);

/// A run: which request, at which server, when it began.
struct Run {
    id: String,
    server: u8,
    at: f64,
    lost: bool,
}

struct Shared {
    record: Arc<Record>,
    runs: Mutex<Vec<Run>>,
    losing_until: Mutex<Option<Instant>>,
}

/// A listener whose connections have small windows.
fn listen(address: SocketAddr) -> Option<TcpListener> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.set_recv_buffer_size(WINDOW).ok()?;
    socket.bind(address).ok()?;
    socket.listen(128).ok()
}

async fn serve(number: u8, listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let shared = shared.clone();
        tokio::spawn(async move {
            let _ = connection(number, stream, &shared).await;
        });
    }
}

async fn connection(number: u8, stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let own = format!("i-{number}");
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader).await? {
        let id = head.field("x-dunelink-request-id").unwrap_or_default().to_owned();
        let length: usize = head.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        if head.word(1) == "/health" {
            let text =
                format!("HTTP/1.1 200 OK\r\nX-Dunelink-Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n");
            reader.get_mut().write_all(text.as_bytes()).await?;
            continue;
        }
        if head.field("x-dunelink-expect-instance").is_some_and(|expected| expected != own) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Dunelink-Request-Id: {id}\r\n\
                 X-Dunelink-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            );
            reader.get_mut().write_all(text.as_bytes()).await?;
            return Ok(());
        }
        let mut left = length;
        let mut piece = vec![0; BEGINNING];
        while left > 0 && length - left < BEGINNING {
            let most = left.min(BEGINNING);
            let read = reader.read(&mut piece[..most]).await?;
            if read == 0 {
                return Ok(());
            }
            left -= read;
        }
        // It has what it needs: the work begins.
        let lost = begins(number, &id, length - left, length, shared);
        sleep(WORK).await;
        if lost {
            reader.get_ref().set_zero_linger()?;
            return Ok(());
        }
        let body = "noted";
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Dunelink-Request-Id: {id}\r\nX-Dunelink-Response-Seal: {own}.{id}.c9f2a4d1\r\n\
             X-Dunelink-Server-Load: 1,0,6\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        reader.get_mut().write_all(text.as_bytes()).await?;
        // The rest of the body is read behind the answer.
        while left > 0 {
            let most = left.min(BEGINNING);
            let read = reader.read(&mut piece[..most]).await?;
            if read == 0 {
                return Ok(());
            }
            left -= read;
        }
    }
    Ok(())
}

/// Enters a run; whether its answer will be lost.
fn begins(number: u8, id: &str, read: usize, length: usize, shared: &Shared) -> bool {
    let mut runs = shared.runs.lock().unwrap();
    let losing = shared.losing_until.lock().unwrap().is_some_and(|until| Instant::now() < until);
    let so_far = runs.iter().filter(|run| run.server == number).count();
    let lost = losing && number < LOSING && so_far % ONE_IN == ONE_IN - 1;
    let at = shared.record.ms(Instant::now());
    let told = if lost { "; its answer will be lost" } else { "" };
    shared.record.line(at, &format!("server i-{number} runs {id}, {read} of {length} bytes are in{told}"));
    runs.push(Run { id: id.to_owned(), server: number, at, lost });
    lost
}

pub async fn run(programs: &Path, record: &Path, trouble: bool) -> Option<bool> {
    let record = Arc::new(Record::new(record));
    let mut fleet = Fleet::of(Programs::in_folder(programs), Plan { cores: 3, fronts: 2 }).await;
    fleet.bound("retryRatio", "0.2");
    let shared =
        Arc::new(Shared { record: record.clone(), runs: Mutex::default(), losing_until: Mutex::new(None) });
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        let address: SocketAddr = fleet.network.server(number);
        let listener = listen(address)?;
        tokio::spawn(serve(number, listener, shared.clone()));
        entries.push(Entry { slots: 6, ..Entry::ready(&format!("i-{number}"), SERVICE, address, "zone-1") });
    }
    fleet.list.set(entries);
    fleet.start_all();
    let route = Route::new(HOST, PATH, "unsafe", SERVICE)
        .with("maxAttempts", 1.into())
        .with("timeoutMs", 4000.into())
        .with("targetLatencyMs", 300.into());
    let configuration = Configuration::new(3).service(SERVICE).route(route).tenant("bureau", &[KEY], 0);
    if !fleet.operator().replace(0, configuration.value()).await.is_taken() {
        record.say("the configuration was not taken");
        return None;
    }
    for front in 0..2 {
        fleet.ready(front).await;
    }
    let length: usize =
        std::env::var("LONG_BODY").ok().and_then(|text| text.parse().ok()).unwrap_or(4_190_000);
    record.say(&format!("2 fronts are ready; requests of {length} bytes on an unsafe route"));
    if trouble {
        *shared.losing_until.lock().unwrap() = Some(Instant::now() + FOR);
        record.say(
            "from now on for 4 s, 2 of 4 servers lose the answer of one in 20 of the requests that they ran",
        );
    }
    let body = vec![b'x'; length];
    let until = Instant::now() + FOR;
    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let mut tasks = Vec::new();
    for front in 0..2 {
        for _ in 0..2 {
            let (client, body) = (fleet.client(front, HOST, KEY), body.clone());
            let (record, answers) = (record.clone(), answers.clone());
            tasks.push(tokio::spawn(async move {
                while Instant::now() < until {
                    let request =
                        client.request("POST", PATH).field("X-Dunelink-Deadline-Ms", "4000").body(&body);
                    let sent = record.ms(Instant::now());
                    let status = client.ask(&request).await.map_or(0, |answer| answer.status());
                    let answered = record.ms(Instant::now());
                    record.line(sent, &format!("front {front} gets {}", request.id));
                    record.line(answered, &format!("front {front} answers {}: {status}", request.id));
                    answers.lock().unwrap().push((request.id, status));
                    sleep(Duration::from_millis(20)).await;
                }
            }));
        }
    }
    for task in tasks {
        let _ = task.await;
    }
    sleep(Duration::from_millis(300)).await;
    Some(judge(&record, &shared.runs.lock().unwrap(), &answers.lock().unwrap()))
}

/// Whether a request of the unsafe route ran more than once.
fn judge(record: &Record, runs: &[Run], answers: &[(String, u16)]) -> bool {
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    answers.iter().for_each(|(_, status)| *statuses.entry(*status).or_default() += 1);
    let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    runs.iter().for_each(|run| by_id.entry(&run.id).or_default().push(run));
    let twice: Vec<_> = by_id.iter().filter(|(_, own)| own.len() > 1).collect();
    for (id, own) in &twice {
        let places: Vec<String> =
            own.iter().map(|run| format!("at i-{} from {:.1} ms on", run.server, run.at)).collect();
        let status = answers.iter().find(|(own, _)| own == *id).map_or(0, |(_, status)| *status);
        record.say(&format!(
            "request {id} ran {} times: {}; its client got {status}",
            own.len(),
            places.join(", ")
        ));
    }
    record.say(&format!(
        "{} requests, answered {statuses:?}; {} runs, {} answers lost; run more than once: {}",
        answers.len(),
        runs.len(),
        runs.iter().filter(|run| run.lost).count(),
        twice.len()
    ));
    !twice.is_empty()
}
