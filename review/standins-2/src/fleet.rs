//! A small fleet on loopback: the project's programs as processes, with the platform's list of servers, model
//! servers, an operator and clients as stand-ins. Only the standard library is used.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "hwrr6x73d3zji9n73hh2";
pub const TENANT: &str = "kaje80";
pub const SERVICE: &str = "huvo11a";

const CONTROL_PORT: u16 = 21665;
const FRONT_PORT: u16 = 21662;
const READINESS_PORT: u16 = 21663;
const LIST_PORT: u16 = 21667;
const SERVER_PORT: u16 = 21080;
const CLAIM_PORT: u16 = 21600;

/// Writes what happened to `record.txt`, with the seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create() -> io::Result<Record> {
        let file = File::create(std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned()))?;
        Ok(Record(Arc::new((Instant::now(), Mutex::new(file)))))
    }

    pub fn line(&self, text: &str) {
        let (started, file) = &*self.0;
        let mut file = file.lock().expect("the record");
        let _ = writeln!(file, "{:9.3}  {text}", started.elapsed().as_secs_f64());
    }
}

/// A range of loopback addresses that nobody else uses.
pub struct Network {
    second: u8,
    third: u8,
    _claim: TcpListener,
}

impl Network {
    pub fn claim() -> Option<Network> {
        let start = std::process::id() as usize;
        (0..2_000).find_map(|step| {
            let number = (start * 31 + step * 7) % (200 * 256);
            let (second, third) = (20 + (number / 256) as u8, (number % 256) as u8);
            let claim = TcpListener::bind((Ipv4Addr::new(127, second, third, 1), CLAIM_PORT)).ok()?;
            Some(Network { second, third, _claim: claim })
        })
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, last)
    }

    pub fn core(&self, number: u8) -> Ipv4Addr {
        self.ip(10 + number)
    }

    pub fn front(&self, number: u8) -> Ipv4Addr {
        self.ip(60 + number)
    }

    fn server(&self, number: u8) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip(110 + number), SERVER_PORT))
    }

    fn list(&self) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip(250), LIST_PORT))
    }
}

/// Memory of a process as the settings state it, in megabytes.
pub const FRONT_MEMORY_MB: u64 = 260;
const CORE_MEMORY_MB: u64 = 256;

/// One program of the deploy file on one machine.
pub struct Process {
    pub machine: String,
    pub role: &'static str,
    ip: Ipv4Addr,
    child: Option<Child>,
    starts: u32,
}

impl Process {
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// All processes and their folder; they end when this value is dropped.
pub struct Fleet {
    pub network: Network,
    pub processes: Vec<Process>,
    folder: PathBuf,
    cores: u8,
    programs: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.iter_mut().for_each(Process::kill);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts `cores` core machines and `fronts` front machines.
    pub fn start(cores: u8, fronts: u8) -> io::Result<Fleet> {
        let network = Network::claim().ok_or(io::Error::other("no free loopback addresses"))?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let programs = PathBuf::from(std::env::var("PROGRAMS").unwrap_or("target/release".to_owned()));
        let mut fleet = Fleet { network, processes: Vec::new(), folder, cores, programs };
        for number in 0..cores {
            fleet.add(format!("core-{number}"), "control", fleet.network.core(number));
        }
        for number in 0..fronts {
            let ip = fleet.network.front(number);
            fleet.add(format!("front-{number}"), "agent", ip);
            fleet.add(format!("front-{number}"), "proxy", ip);
        }
        for index in 0..fleet.processes.len() {
            fleet.start_process(index)?;
        }
        Ok(fleet)
    }

    fn add(&mut self, machine: String, role: &'static str, ip: Ipv4Addr) {
        self.processes.push(Process { machine, role, ip, child: None, starts: 0 });
    }

    /// Starts a process with its settings as they stand now.
    pub fn start_process(&mut self, index: usize) -> io::Result<()> {
        let settings = self.settings(&self.processes[index]);
        let process = &mut self.processes[index];
        let path = self.folder.join(format!("{}-{}.toml", process.machine, process.role));
        fs::write(&path, settings)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}-{}.log", process.machine, process.role)))?;
        let program = self.programs.join(format!("dunelink-{}", process.role));
        let child = Command::new(program)
            .env("DUNELINK_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        process.child = Some(child);
        process.starts += 1;
        Ok(())
    }

    fn settings(&self, process: &Process) -> String {
        let seeds: Vec<String> =
            (0..self.cores).map(|core| format!("\"{}:{CONTROL_PORT}\"", self.network.core(core))).collect();
        let is_core = process.role == "control";
        let (class, share, memory, disk) =
            if is_core { ("core", 0.6, CORE_MEMORY_MB, 128) } else { ("front", 0.25, FRONT_MEMORY_MB, 0) };
        let (serves, listen) = match process.role {
            "control" => ("\"control\"", format!("control = \"{}:{CONTROL_PORT}\"\n", process.ip)),
            "proxy" => (
                "\"front\"",
                format!("front = \"{0}:{FRONT_PORT}\"\nreadiness = \"{0}:{READINESS_PORT}\"\n", process.ip),
            ),
            _ => ("", String::new()),
        };
        let data = if is_core {
            format!("dataDir = \"{}\"\n", self.folder.join(format!("data-{}", process.machine)).display())
        } else {
            String::new()
        };
        format!(
            "nodeName = \"{}\"\nrole = \"{}\"\nmachineClass = \"{class}\"\nserves = [{serves}]\nip = \"{}\"\n\
             zone = \"boku\"\nregion = \"adama\"\ninternalPorts = [21680,21695]\nseeds = [{}]\n\
             bootstrap = {}\ncountsForQuorum = {is_core}\n{data}discovery = \"cloud_api\"\nentry = \"vip\"\n\
             heartbeatMs = 1200\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\
             \"engine\",\"stream\",\"tenants\",\"quota\"]\n\n[zones]\nboku = \"adama\"\n\n[listen]\n{listen}\n\
             [limits]\ncpuShare = {share}\ncores = 1\nmemoryMb = {memory}\nmaxFds = 4100\n\
             linkMbps = 1000.0\ndiskMb = {disk}\n\n[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\n\
             drainMs = 3000\ngraceS = 8\nlossSlackMs = 200\nconfigMs = 2000\nrollbackSlackMs = 250\n\
             maxSkewMs = 5000\nrevocation = false\nrevokeMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\n\
             retrySlack = 52\nquotaWindowS = 8\nquotaOvershoot = 0.1\nquotaSlack = 110000\nrecoveryS = 12\n\
             pass_ms = 120\nagain_s = 9.3\n\n[cloudApi]\naddress = \"{}\"\nratePerS = 40.0\nduties = []\n\
             lagMs = 0\n",
            process.machine,
            process.role,
            process.ip,
            seeds.join(","),
            process.starts == 0,
            self.network.list(),
        )
    }

    pub fn front_address(&self, number: u8) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.network.front(number), FRONT_PORT))
    }

    /// Whether a front answers the platform's readiness check with 200.
    pub fn is_ready(&self, number: u8) -> bool {
        let address = SocketAddr::V4(SocketAddrV4::new(self.network.front(number), READINESS_PORT));
        let request = b"GET /api/ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
        exchange(address, request, Duration::from_secs(1)).is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until all fronts are ready.
    pub fn wait_ready(&self, fronts: u8, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if (0..fronts).all(|front| self.is_ready(front)) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a configuration, as the operator does, until it has a clear answer.
    pub fn put_configuration(&self, base: u64, body: &str, limit: Duration) -> Option<u16> {
        let until = Instant::now() + limit;
        let mut turn = 0;
        while Instant::now() < until {
            let mut ip = self.network.core(turn % self.cores);
            turn += 1;
            for _ in 0..3 {
                let head = format!(
                    "POST /api/Config.Replace HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
                     X-Dunelink-Base-Version: {base}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                    body.len()
                );
                let address = SocketAddr::V4(SocketAddrV4::new(ip, CONTROL_PORT));
                let Ok(answer) = exchange(address, head.as_bytes(), Duration::from_secs(1)) else { break };
                match (answer.status, answer.field("location")) {
                    (307, Some(location)) => {
                        let Some(next) =
                            location.split("//").nth(1).and_then(|rest| rest.split(':').next()?.parse().ok())
                        else {
                            break;
                        };
                        ip = next;
                    }
                    (status @ (200 | 400 | 409 | 412 | 413 | 422), _) => return Some(status),
                    _ => break,
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }
}

/// An answer that came whole.
pub struct Answer {
    pub status: u16,
    fields: HashMap<String, String>,
}

impl Answer {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<(String, HashMap<String, String>)> {
    let (mut first, mut fields) = (String::new(), HashMap::new());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() && !first.is_empty() {
            return Ok((first, fields));
        }
        match line.split_once(':') {
            Some((name, value)) if !first.is_empty() => {
                fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            _ => first = line.to_owned(),
        }
    }
}

/// Discards a body of `length` bytes.
fn skip(reader: &mut impl Read, length: u64) -> io::Result<()> {
    let copied = io::copy(&mut reader.take(length), &mut io::sink())?;
    if copied == length { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
}

/// Sends one request on a new connection and reads the whole answer.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Answer> {
    let stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    (&stream).write_all(request)?;
    let mut reader = BufReader::new(&stream);
    let (first, fields) = read_head(&mut reader)?;
    let status =
        first.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
    skip(&mut reader, fields.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0))?;
    Ok(Answer { status, fields })
}

/// What the model servers saw: the ids of the requests that they ran.
#[derive(Default)]
pub struct Servers {
    pub ran: Mutex<HashMap<String, u32>>,
    /// When each run began, and the two numbers of its `X-Dunelink-Token-Counts` added together.
    pub tokens: Mutex<Vec<(Instant, u64)>>,
    number: AtomicU64,
}

/// Starts the platform's list and `count` model servers, which read a request whole, take `work` for it and
/// answer with 200.
pub fn start_servers(network: &Network, count: u8, work: Duration) -> io::Result<Arc<Servers>> {
    let servers = Arc::new(Servers::default());
    let mut instances = Vec::new();
    for number in 0..count {
        let (address, id) = (network.server(number), format!("i-{number}"));
        instances.push(format!(
            "{{\"id\":\"{id}\",\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"boku\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0}}"
        ));
        let listener = TcpListener::bind(address)?;
        let servers = servers.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (servers, id) = (servers.clone(), id.clone());
                thread::spawn(move || serve(stream, &servers, &id, work));
            }
        });
    }
    let list = format!("{{\"instances\":[{}],\"nextToken\":null}}", instances.join(","));
    let listener = TcpListener::bind(network.list())?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(&stream);
                while read_head(&mut reader).is_ok() {
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{list}",
                        list.len()
                    );
                    if (&stream).write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(servers)
}

fn serve(stream: TcpStream, servers: &Servers, id: &str, work: Duration) {
    let mut reader = BufReader::with_capacity(256 * 1024, &stream);
    while let Ok((_, fields)) = read_head(&mut reader) {
        let length = fields.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        if skip(&mut reader, length).is_err() {
            return;
        }
        let request = fields.get("x-dunelink-request-id").cloned().unwrap_or_default();
        let answer = if fields.get("x-dunelink-expect-instance").is_some_and(|expected| expected != id) {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Dunelink-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n"
            )
        } else {
            *servers.ran.lock().expect("runs").entry(request.clone()).or_default() += 1;
            if let Some(counts) = fields.get("x-dunelink-token-counts") {
                let tokens = counts.split(',').filter_map(|count| count.trim().parse::<u64>().ok()).sum();
                servers.tokens.lock().expect("tokens").push((Instant::now(), tokens));
            }
            thread::sleep(work);
            let seal = servers.number.fetch_add(1, Ordering::Relaxed);
            format!(
                "HTTP/1.1 200 OK\r\nX-Dunelink-Request-Id: {request}\r\nX-Dunelink-Response-Seal: {id}.{seal}\r\n\
                 Content-Length: 4\r\n\r\nwell"
            )
        };
        if (&stream).write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A tenant of a configuration, as JSON.
pub fn tenant(name: &str, key: &str, rate_per_s: u64, burst: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":1,\"unit\":\"token_stream\",\
         \"plainTokens\":200,\"ratePerS\":{rate_per_s},\"burst\":{burst}}}"
    )
}

/// A configuration of the operator: one unsafe route to the service, and the limits of the pages.
pub fn configuration(version: u64, tenants: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"pathPrefix\":\"/order/\",\
         \"kind\":\"unsafe\",\"timeoutMs\":12000,\"targetLatencyMs\":500,\"priority\":0,\
         \"service\":\"{SERVICE}\",\"maxAttempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}

/// Resident memory of a process, in megabytes of 1,048,576 bytes.
pub fn resident_mb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? / 1_024)
}
