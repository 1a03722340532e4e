//! A whole fleet on loopback: core machines, front machines, the platform's list.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rustix::process::Signal;
use serde_json::Value;
use tokio::time::timeout;

use super::client::{Connection, Request, TestClient};
use super::network::{CONTROL_PORT, FRONT_PORT, Network, READINESS_PORT};
use super::operator::OperatorClient;
use super::platform_list::PlatformList;
use super::process::FleetProcess;
use super::programs::{AGENT, CONTROL, PROXY, Programs};
use super::settings::{Class, Settings};
use super::until;

/// Seeds in a settings file.
const SEEDS: usize = 3;
/// How long a readiness check waits for its answer.
const CHECK: Duration = Duration::from_secs(1);
/// How long an operator goes on with one call.
const OPERATOR: Duration = Duration::from_secs(15);

/// What a fleet is made of at first.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Core machines.
    pub cores: u8,
    /// Front machines.
    pub fronts: u8,
}

/// One machine and its processes.
struct Machine {
    settings: Settings,
    processes: Vec<(&'static str, FleetProcess)>,
    removed: bool,
}

/// The processes of a fleet. All end when it is dropped; a failing test shows the ends of their logs.
pub struct Fleet {
    /// The loopback addresses.
    pub network: Network,
    /// The platform's list.
    pub list: PlatformList,
    folder: PathBuf,
    programs: Programs,
    cores: Vec<Machine>,
    fronts: Vec<Machine>,
}

impl Fleet {
    /// Sets up a fleet and starts nothing of it but the list. `own` is the path of the test's own program.
    pub async fn new(own: &str, plan: Plan) -> Fleet {
        Fleet::of(Programs::beside(own), plan).await
    }

    /// The same with these programs.
    pub async fn of(programs: Programs, plan: Plan) -> Fleet {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let name = format!("dunelink-fleet-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let network = Network::claim();
        let list = PlatformList::start(network.list()).await;
        let mut fleet = Fleet { network, list, folder, programs, cores: Vec::new(), fronts: Vec::new() };
        for _ in 0..plan.cores {
            fleet.add_core();
        }
        for _ in 0..plan.fronts {
            fleet.add_front();
        }
        let seeds = fleet.seeds();
        for machine in fleet.cores.iter_mut().chain(&mut fleet.fronts) {
            machine.settings.seeds.clone_from(&seeds);
            machine.settings.bootstrap = true;
        }
        fleet
    }

    /// Sets up a fleet and starts all its processes.
    pub async fn start(own: &str, plan: Plan) -> Fleet {
        let mut fleet = Fleet::new(own, plan).await;
        fleet.start_all();
        fleet
    }

    /// Starts all machines, the core first.
    pub fn start_all(&mut self) {
        (0..self.cores.len()).for_each(|number| self.start_core(number));
        (0..self.fronts.len()).for_each(|number| self.start_front(number));
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let at = |machine: &Machine| SocketAddr::new(machine.settings.ip, CONTROL_PORT);
        self.cores.iter().filter(|machine| !machine.removed).map(at).take(SEEDS).collect()
    }

    /// Adds a core machine with an empty disk, not yet started, and gives its number.
    pub fn add_core(&mut self) -> usize {
        let number = self.cores.len();
        let ip = self.network.core(number as u8);
        let machine = self.machine(Class::Core, number, ip, &[CONTROL]);
        self.cores.push(machine);
        number
    }

    /// Adds a front machine, not yet started, and gives its number.
    pub fn add_front(&mut self) -> usize {
        let number = self.fronts.len();
        let ip = self.network.front(number as u8);
        let machine = self.machine(Class::Front, number, ip, &[AGENT, PROXY]);
        self.fronts.push(machine);
        number
    }

    fn machine(&self, class: Class, number: usize, ip: IpAddr, roles: &[&'static str]) -> Machine {
        let kind = if class == Class::Core { "core" } else { "front" };
        let name = format!("{kind}-{number}");
        let zones: Vec<String> = (1..=3).map(|zone| format!("zone-{zone}")).collect();
        let data = self.folder.join("data").join(&name);
        let settings = Settings {
            name: name.clone(),
            role: String::new(),
            class,
            ip,
            zone: zones[number % zones.len()].clone(),
            zones,
            seeds: self.seeds(),
            bootstrap: false,
            data: (class == Class::Core).then_some(data),
            list: self.list.address(),
            serves: None,
            bounds: Vec::new(),
        };
        let process = |role: &&'static str| {
            let program = self.programs.path(role);
            (*role, FleetProcess::new(program, &self.folder, &format!("{name}-{role}")))
        };
        Machine { settings, processes: roles.iter().map(process).collect(), removed: false }
    }

    /// Starts a core machine's process with its settings as they stand.
    pub fn start_core(&mut self, number: usize) {
        let machine = &mut self.cores[number];
        let data = machine.settings.data.as_ref().expect("a core machine's folder");
        std::fs::create_dir_all(data).expect("the disk folder");
        machine.start(CONTROL);
    }

    /// Starts both processes of a front machine.
    pub fn start_front(&mut self, number: usize) {
        self.start_agent(number);
        self.start_proxy(number);
    }

    /// Starts an agent.
    pub fn start_agent(&mut self, number: usize) {
        self.fronts[number].start(AGENT);
    }

    /// Starts a proxy.
    pub fn start_proxy(&mut self, number: usize) {
        self.fronts[number].start(PROXY);
    }

    /// Kills a core machine's process.
    pub fn kill_core(&mut self, number: usize) {
        self.cores[number].process(CONTROL).kill();
    }

    /// Takes a core machine away for good, without notice.
    pub fn remove_core(&mut self, number: usize) {
        self.kill_core(number);
        self.wipe_core(number);
        self.cores[number].removed = true;
    }

    /// Core machines so far, removed ones included.
    pub fn cores(&self) -> usize {
        self.cores.len()
    }

    /// Front machines so far.
    pub fn fronts(&self) -> usize {
        self.fronts.len()
    }

    /// The numbers of the core machines that were not removed.
    pub fn remaining_cores(&self) -> Vec<usize> {
        (0..self.cores.len()).filter(|number| !self.cores[*number].removed).collect()
    }

    /// Empties the disk of a core machine whose process does not run.
    pub fn wipe_core(&mut self, number: usize) {
        let _ = std::fs::remove_dir_all(self.data(number));
    }

    /// The disk folder of a core machine.
    pub fn data(&self, number: usize) -> PathBuf {
        self.cores[number].settings.data.clone().expect("a core machine's folder")
    }

    /// Has all core machines found a new group at their next start, as an operator does after the loss of all disks.
    pub fn found_anew(&mut self) {
        self.cores.iter_mut().for_each(|machine| machine.settings.bootstrap = true);
    }

    /// The process of a core machine.
    pub fn core(&mut self, number: usize) -> &mut FleetProcess {
        self.cores[number].process(CONTROL)
    }

    /// The agent of a front machine.
    pub fn agent(&mut self, number: usize) -> &mut FleetProcess {
        self.fronts[number].process(AGENT)
    }

    /// The proxy of a front machine.
    pub fn proxy(&mut self, number: usize) -> &mut FleetProcess {
        self.fronts[number].process(PROXY)
    }

    /// Has all machines start with another value of a bound.
    pub fn bound(&mut self, key: &str, value: &str) {
        for machine in self.cores.iter_mut().chain(&mut self.fronts) {
            machine.settings.bounds.push((key.to_owned(), value.to_owned()));
        }
    }

    /// Tells other seeds to all machines, in their files only.
    pub fn reseed(&mut self, cores: &[usize]) {
        let seeds: Vec<SocketAddr> = cores.iter().map(|number| self.control(*number)).collect();
        for machine in self.cores.iter_mut().chain(&mut self.fronts) {
            machine.settings.seeds.clone_from(&seeds);
            machine.write_settings();
        }
    }

    /// Sends a signal to every process.
    pub fn signal_all(&self, signal: Signal) {
        let machines = self.cores.iter().chain(&self.fronts);
        machines.flat_map(|machine| &machine.processes).for_each(|(_, process)| process.signal(signal));
    }

    /// A core machine's control address.
    pub fn control(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.cores[number].settings.ip, CONTROL_PORT)
    }

    /// A front machine's address for clients.
    pub fn front(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.fronts[number].settings.ip, FRONT_PORT)
    }

    /// The zone of a front machine.
    pub fn zone(&self, front: usize) -> &str {
        &self.fronts[front].settings.zone
    }

    /// An operator whose list holds all core machines that were not removed.
    pub fn operator(&self) -> OperatorClient {
        self.operator_of(&self.remaining_cores())
    }

    /// An operator whose list holds these core machines.
    pub fn operator_of(&self, cores: &[usize]) -> OperatorClient {
        OperatorClient::new(cores.iter().map(|number| self.control(*number)).collect(), OPERATOR)
    }

    /// A client of a front machine.
    pub fn client(&self, front: usize, host: &str, key: &str) -> TestClient {
        TestClient::new(self.front(front), host, key)
    }

    /// The answer to a readiness check; nothing if there is none.
    async fn readiness(&self, front: usize) -> Option<u16> {
        let at = SocketAddr::new(self.fronts[front].settings.ip, READINESS_PORT);
        let check =
            async { Connection::open(at).await?.ask(&Request::new("GET", "ready", "/api/ready")).await };
        let answer = timeout(CHECK, check).await.ok()?;
        answer.ok().map(|answer| answer.status())
    }

    /// Whether a front machine calls itself ready.
    pub async fn is_ready(&self, front: usize) -> bool {
        self.readiness(front).await == Some(200)
    }

    /// Waits until a front machine answers a check, and has it say that it is not ready.
    ///
    /// # Panics
    ///
    /// If it is ready.
    pub async fn answers_not_ready(&self, front: usize) {
        let look = || self.readiness(front);
        let status = until(&format!("front {front} to answer a readiness check"), look).await;
        assert_ne!(status, 200, "front {front} is ready");
    }

    /// Waits until a front machine calls itself ready.
    pub async fn ready(&self, front: usize) {
        let look = || async { self.is_ready(front).await.then_some(()) };
        until(&format!("front {front} to be ready"), look).await;
    }

    /// Waits until a front machine does not call itself ready.
    pub async fn not_ready(&self, front: usize) {
        let look = || async { (!self.is_ready(front).await).then_some(()) };
        until(&format!("front {front} not to be ready"), look).await;
    }

    /// The core machine that redirects to no other, asked for the configuration; nothing if none answers.
    pub async fn leader(&self) -> Option<usize> {
        let request = Request::new("GET", "control", "/api/Config.Read");
        for number in 0..self.cores.len() {
            let ask = async { Connection::open(self.control(number)).await?.ask(&request).await };
            let answer = timeout(CHECK, ask).await;
            if matches!(answer, Ok(Ok(answer)) if matches!(answer.status(), 200 | 404)) {
                return Some(number);
            }
        }
        None
    }

    /// The status page of a core machine; nothing if there is none.
    pub async fn status(&self, core: usize) -> Option<Value> {
        let request = Request::new("GET", "control", "/api/status");
        let ask = async { Connection::open(self.control(core)).await?.ask(&request).await };
        let answer = timeout(CHECK, ask).await.ok()?.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Waits until the core's voters are these machines as they run now, each with the whole log.
    pub async fn voters(&self, cores: &[usize]) {
        let look = || async {
            let mut running = Vec::new();
            for core in cores {
                let status = self.status(*core).await?;
                running.push(status["groups"][0]["id"].as_str()?.to_owned());
            }
            running.sort_unstable();
            let status = self.status(self.leader().await?).await?;
            let members = status["groups"][0]["members"].as_array()?;
            let mut voters = Vec::new();
            for member in members.iter().filter(|member| member["voter"] == true) {
                voters.push(member["id"].as_str()?.to_owned());
            }
            voters.sort_unstable();
            let whole = members.iter().all(|member| member["lagEntries"].as_u64().unwrap_or(0) == 0);
            (voters == running && whole).then_some(())
        };
        until(&format!("the core machines {cores:?} to vote"), look).await;
    }

    /// Shows the ends of all processes' logs.
    pub fn show_logs(&self) {
        for machine in self.cores.iter().chain(&self.fronts) {
            for (role, process) in &machine.processes {
                eprintln!("--- {} {role}:\n{}", machine.settings.name, process.log_tail());
            }
        }
    }

    /// Waits for a leader.
    pub async fn led(&self) -> usize {
        until("a leader of the core", || self.leader()).await
    }
}

impl Machine {
    fn process(&mut self, role: &str) -> &mut FleetProcess {
        let own = self.processes.iter_mut().find(|(name, _)| *name == role);
        &mut own.expect("a role of this machine").1
    }

    /// Writes the settings and starts a process; from its second start on, `bootstrap` is false.
    fn start(&mut self, role: &'static str) {
        self.write_settings();
        let process = self.process(role);
        process.kill();
        process.start();
        let started = self.processes.iter_mut().all(|(_, process)| process.runs());
        if started {
            self.settings.bootstrap = false;
        }
    }

    fn write_settings(&self) {
        for (role, process) in &self.processes {
            let mut settings = self.settings.clone();
            settings.role = (*role).to_owned();
            settings.serves = match *role {
                CONTROL => Some("control"),
                PROXY => Some("front"),
                _ => None,
            };
            process.write_settings(&settings.text());
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.show_logs();
        }
        self.cores.clear();
        self.fronts.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
