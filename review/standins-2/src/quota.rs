//! The operator takes a tenant out of the configuration and puts it back with the same limit, while the tenant asks
//! for more than that.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, HOST, KEY, Record, TENANT, configuration, exchange, start_servers, tenant};

const FRONTS: u8 = 2;
/// The tenant's limit, as in the page's example.
const RATE_PER_S: u64 = 170_347;
const BURST: u64 = 170_347;
/// A tenant that stays, so that requests need a key all the time.
const OTHER_TENANT: &str = "mudi41";
const OTHER_KEY: &str = "b9wu3fexd9dnn2ctnfzs";
/// Tokens of a request: those of the site's `shift-brief`.
const TOKENS_IN: u64 = 9_190;
const TOKENS_OUT: u64 = 54;
/// The site's hot tenant sends 7.5 times its usual, and its limit is 1.3 times its usual.
const ASKED_PER_S: f64 = RATE_PER_S as f64 / 1.3 * 7.5;
/// The site's `config_storm`: a change each 0.9 s for 7 s.
const GAP: Duration = Duration::from_millis(900);
const STORM: Duration = Duration::from_secs(7);
/// The bounds of the settings.
const WINDOW: Duration = Duration::from_secs(8);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 110_000.0;
/// How long the tenant asks for so much.
const LOAD: Duration = Duration::from_secs(20);

/// Plays the case; true if the rule held.
pub fn play(with_trouble: bool) -> io::Result<bool> {
    let record = Record::create()?;
    let fleet = Fleet::start(3, FRONTS)?;
    let servers = start_servers(&fleet.network, 4, Duration::from_millis(20))?;
    let other = tenant(OTHER_TENANT, OTHER_KEY, 0, 0);
    let limited = tenant(TENANT, KEY, RATE_PER_S, BURST);
    let with = |version| configuration(version, &[other.clone(), limited.clone()]);
    let without = |version| configuration(version, std::slice::from_ref(&other));
    if fleet.put_configuration(0, &with(3), Duration::from_secs(15)) != Some(200) {
        return Err(io::Error::other("the first configuration was not acknowledged"));
    }
    if !fleet.wait_ready(FRONTS, Duration::from_secs(15)) {
        return Err(io::Error::other("the fronts are not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    record.line("the fronts are ready");
    let started = Instant::now();
    let counts: Arc<[AtomicU64; 4]> = Arc::default();
    let done = Arc::new(AtomicBool::new(false));
    let addresses: Vec<_> = (0..FRONTS).map(|front| fleet.front_address(front)).collect();
    let clients = start_clients(&addresses, &counts, &done);
    thread::sleep(Duration::from_secs(6));
    let mut version = 3;
    let changes = if with_trouble { (STORM.as_secs_f64() / GAP.as_secs_f64()) as u32 + 1 } else { 0 };
    let storm = Instant::now();
    for change in 0..changes / 2 * 2 {
        thread::sleep((storm + GAP * change).saturating_duration_since(Instant::now()));
        let next = version + 2;
        let body = if change % 2 == 0 { without(next) } else { with(next) };
        let status = fleet.put_configuration(version, &body, Duration::from_secs(4));
        record.line(&format!(
            "version {next} {} the tenant: {status:?}",
            if change % 2 == 0 { "without" } else { "with" }
        ));
        if status != Some(200) {
            return Err(io::Error::other("a change was not acknowledged"));
        }
        version = next;
    }
    thread::sleep((started + LOAD).saturating_duration_since(Instant::now()));
    done.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let count = |index: usize| counts[index].load(Ordering::Relaxed);
    record.line(&format!(
        "answers: 200 {}, 429 {}, 401 {}, others {}",
        count(0),
        count(1),
        count(2),
        count(3)
    ));
    let runs = servers.tokens.lock().expect("tokens").clone();
    let most = most_in_window(runs, &record, started);
    let limit = (RATE_PER_S as f64 * WINDOW.as_secs_f64() + BURST as f64) * (1.0 + OVERSHOOT) + SLACK;
    record.line(&format!("most tokens run in {WINDOW:?}: {most}; allowed: {limit:.0}"));
    Ok(most as f64 <= limit)
}

/// Clients of the tenant, which send at an even rate over new connections.
fn start_clients(
    addresses: &[std::net::SocketAddr],
    counts: &Arc<[AtomicU64; 4]>,
    done: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    const CLIENTS: u64 = 16;
    let pause = Duration::from_secs_f64((TOKENS_IN + TOKENS_OUT) as f64 * CLIENTS as f64 / ASKED_PER_S);
    (0..CLIENTS)
        .map(|client| {
            let (address, counts, done) =
                (addresses[client as usize % addresses.len()], counts.clone(), done.clone());
            thread::spawn(move || {
                let mut due = Instant::now() + pause.mul_f64(client as f64 / CLIENTS as f64);
                for number in 0.. {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    due += pause;
                    if done.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{:016x}", (client + 1) << 32 | number);
                    let request = format!(
                        "POST /order/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Dunelink-Request-Id: {id}\r\n\
                         X-Dunelink-Deadline-Ms: 4000\r\nAuthorization: Bearer {KEY}\r\n\
                         X-Dunelink-Token-Counts: {TOKENS_IN},{TOKENS_OUT}\r\nContent-Length: 4\r\n\
                         Connection: close\r\n\r\nbody"
                    );
                    let answer = exchange(address, request.as_bytes(), Duration::from_secs(4));
                    let index = match answer.map(|answer| answer.status) {
                        Ok(200) => 0,
                        Ok(429) => 1,
                        Ok(401) => 2,
                        _ => 3,
                    };
                    counts[index].fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect()
}

/// The most tokens run in any window, and a line in the record for each second.
fn most_in_window(mut runs: Vec<(Instant, u64)>, record: &Record, started: Instant) -> u64 {
    runs.sort_unstable();
    let mut by_second = std::collections::BTreeMap::<u64, u64>::new();
    for (at, tokens) in &runs {
        *by_second.entry(at.saturating_duration_since(started).as_secs()).or_default() += tokens;
    }
    for (second, tokens) in by_second {
        record.line(&format!("second {second} of the load: {tokens} tokens run"));
    }
    let (mut first, mut sum, mut most) = (0, 0, 0);
    for last in 0..runs.len() {
        sum += runs[last].1;
        while runs[last].0 - runs[first].0 > WINDOW {
            sum -= runs[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}
