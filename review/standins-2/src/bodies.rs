//! Many users come at once, each with a body that the configuration allows.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{
    FRONT_MEMORY_MB, Fleet, HOST, KEY, Record, Servers, TENANT, configuration, exchange, resident_mb,
    start_servers, tenant,
};

const FRONTS: u8 = 2;
/// Below `maxBodyBytes`, which is 4,194,304.
const BODY_BYTES: usize = 4_000_000;
const ROUNDS: u32 = 3;
/// Requests a second of all fronts: the 94 a second of the site's sheet for six fronts, for two of them.
const USUAL_PER_S: f64 = 94.0 / 6.0 * FRONTS as f64;
/// The site's `burst`: x = 1.5, for_s = 4.0. As long a span of usual traffic comes before it.
const BURST: f64 = 1.5;
const SPAN: Duration = Duration::from_secs(4);
/// The deadline of the site's `shift-brief`, and the time that a server takes.
const DEADLINE: Duration = Duration::from_secs(4);
const WORK: Duration = Duration::from_millis(WORK_MS);
const WORK_MS: u64 = 2_800;
/// Ends of processes on one machine from which the day counts 0, and machines on which they must occur.
const MAX_ENDS: u32 = 3;
const MIN_MACHINES: usize = 2;

/// Plays the case; true if the rule held.
pub fn play(with_trouble: bool) -> io::Result<bool> {
    let record = Record::create()?;
    let fleet = Fleet::start(3, FRONTS)?;
    let servers = start_servers(&fleet.network, 4, WORK)?;
    if fleet.put_configuration(0, &configuration(3, &[tenant(TENANT, KEY, 0, 0)]), Duration::from_secs(15))
        != Some(200)
    {
        return Err(io::Error::other("the first configuration was not acknowledged"));
    }
    if !fleet.wait_ready(FRONTS, Duration::from_secs(15)) {
        return Err(io::Error::other("the fronts are not ready"));
    }
    record.line("the fronts are ready");
    let addresses: Vec<_> = (0..FRONTS).map(|front| fleet.front_address(front)).collect();
    let fleet = Arc::new(Mutex::new(fleet));
    let done = Arc::new(AtomicBool::new(false));
    let platform = {
        let (fleet, done, record) = (fleet.clone(), done.clone(), record.clone());
        thread::spawn(move || watch_memory(&fleet, &done, &record))
    };
    let next_id = Arc::new(AtomicU64::new(1));
    for round in 1..=ROUNDS {
        let factor = if with_trouble { BURST } else { 1.0 };
        record.line(&format!("round {round}: {USUAL_PER_S:.1} requests a second, then {factor} times that"));
        let usual = send(&addresses, USUAL_PER_S, &next_id);
        let burst = send(&addresses, USUAL_PER_S * factor, &next_id);
        write_outcomes(usual, "usual", &servers, &record);
        write_outcomes(burst, "burst", &servers, &record);
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let ready = fleet.lock().expect("the fleet").wait_ready(FRONTS, Duration::from_millis(300));
            if ready {
                break;
            }
            thread::sleep(Duration::from_millis(200));
        }
    }
    done.store(true, Ordering::Relaxed);
    let ends = platform.join().map_err(|_| io::Error::other("the platform's watch failed"))?;
    let machines = ends.iter().filter(|ends| **ends >= MAX_ENDS).count();
    record.line(&format!("ends of processes by front: {ends:?}"));
    Ok(machines < MIN_MACHINES)
}

/// The platform's part: it ends a process whose memory is over `memoryMb` and starts it again. Returns the ends
/// by front.
fn watch_memory(fleet: &Mutex<Fleet>, done: &AtomicBool, record: &Record) -> Vec<u32> {
    let mut ends = vec![0; usize::from(FRONTS)];
    let mut most = 0;
    while !done.load(Ordering::Relaxed) {
        let mut over = Vec::new();
        {
            let mut fleet = fleet.lock().expect("the fleet");
            for (index, process) in fleet.processes.iter_mut().enumerate() {
                if process.role != "proxy" {
                    continue;
                }
                let memory = process.pid().and_then(resident_mb).unwrap_or(0);
                most = most.max(memory);
                if memory > FRONT_MEMORY_MB || process.has_ended() {
                    record.line(&format!(
                        "{} {}: {memory} MB, the limit is {FRONT_MEMORY_MB}: ended",
                        process.machine, process.role
                    ));
                    process.kill();
                    over.push(index);
                }
            }
        }
        if !over.is_empty() {
            thread::sleep(Duration::from_millis(500));
            let mut fleet = fleet.lock().expect("the fleet");
            for index in over {
                let machine = fleet.processes[index].machine.clone();
                let front: usize = machine.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
                ends[front] += 1;
                if fleet.start_process(index).is_err() {
                    record.line(&format!("{machine}: could not be started again"));
                }
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.line(&format!("most memory of a proxy: {most} MB"));
    ends
}

type Sender = thread::JoinHandle<(String, Option<u16>)>;

/// Sends requests at an even rate for one span, on new connections, to the fronts in turn.
fn send(addresses: &[std::net::SocketAddr], per_s: f64, next_id: &AtomicU64) -> Vec<Sender> {
    let started = Instant::now();
    let count = (per_s * SPAN.as_secs_f64()) as u64;
    (0..count)
        .map(|number| {
            let due = started + Duration::from_secs_f64(number as f64 / per_s);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let id = next_id.fetch_add(1, Ordering::Relaxed);
            let address = addresses[id as usize % addresses.len()];
            let id = format!("{:016x}", 0x5eed_0000 + id);
            thread::spawn(move || {
                let head = format!(
                    "POST /order/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Dunelink-Request-Id: {id}\r\n\
                     X-Dunelink-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {BODY_BYTES}\r\n\
                     Connection: close\r\n\r\n",
                    DEADLINE.as_millis()
                );
                let mut request = head.into_bytes();
                request.resize(request.len() + BODY_BYTES, b'x');
                let answer = exchange(address, &request, DEADLINE + Duration::from_millis(500));
                (id, answer.map(|answer| answer.status).ok())
            })
        })
        .collect()
}

/// Waits for the answers and writes how the requests ended.
fn write_outcomes(senders: Vec<Sender>, name: &str, servers: &Servers, record: &Record) {
    let (mut answered, mut cut, mut lost) = (0, 0, 0);
    for sender in senders {
        let Ok((id, status)) = sender.join() else { continue };
        let ran = servers.ran.lock().expect("runs").contains_key(&id);
        record.line(&format!("{id}: sent; answer {status:?}; run by a server: {ran}"));
        match status {
            Some(_) => answered += 1,
            None if ran => lost += 1,
            None => cut += 1,
        }
    }
    record.line(&format!(
        "{name}: answered {answered}; no answer {cut}; no answer though a server had run it {lost}"
    ));
}
