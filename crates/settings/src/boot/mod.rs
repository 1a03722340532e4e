//! The settings file of a process.
//!
//! The path stands in the environment variable [`PATH_VARIABLE`]. Keys that are not known are ignored; keys that
//! are left out get the defaults that each field documents. Only `nodeName`, `ip` and `internalPorts` are
//! required.

mod bounds;
mod error;
mod section;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::{env, fs};

use toml::{Table, Value};

pub use bounds::ContractBounds;
pub use error::BootSettingsError;
use section::Section;

/// Environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "DUNELINK_BOOT";

/// Path that is read when [`PATH_VARIABLE`] is not set.
pub const DEFAULT_PATH: &str = "/etc/dunelink/local.toml";

/// Distance of the port for the agent's feed from the first internal port.
const AGENT_FEED_OFFSET: u16 = 2;

/// Heartbeat period when the file names none, in milliseconds.
const DEFAULT_HEARTBEAT_MS: u64 = 1_000;

/// What a process is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct BootSettings {
    /// `nodeName`: name of the machine, required and not empty.
    pub node_name: String,
    /// `role`: name of the role in the deploy file (empty).
    pub role: String,
    /// `machineClass`: `front` or `core` (empty).
    pub machine_class: String,
    /// `serves`: what the role serves, of `front` and `control` (nothing).
    pub serves: Vec<String>,
    /// `ip`: address of the machine, required.
    pub ip: IpAddr,
    /// `zone`: zone of the machine (empty).
    pub zone: String,
    /// `region`: region of the machine (that of its zone in `zones`, else empty).
    pub region: String,
    /// `internalPorts`: first and last port between nodes, required; at least three ports.
    pub internal_ports: (u16, u16),
    /// `seeds`: control addresses to begin with (none).
    pub seeds: Vec<SocketAddr>,
    /// `bootstrap`: true only at the first start of the whole system (false).
    pub bootstrap: bool,
    /// `countsForQuorum`: whether the loss of this machine counts (false).
    pub counts_for_quorum: bool,
    /// `dataDir`: folder on the disk (none; an empty text is none as well).
    pub data_dir: Option<PathBuf>,
    /// `heartbeatMs`: period of heartbeats in milliseconds (1,000).
    pub heartbeat_ms: u64,
    /// `contracts`: parts of the rules in force (none).
    pub contracts: Vec<String>,
    /// `zones`: region of each zone (none).
    pub zones: BTreeMap<String, String>,
    /// `listen`: addresses to listen at.
    pub listen: ListenAddresses,
    /// `limits`: what the machine has.
    pub limits: MachineLimits,
    /// `faultTolerance`: what may be lost at once.
    pub fault_tolerance: FaultTolerance,
    /// `bounds`: figures of the contracts.
    pub bounds: ContractBounds,
    /// `cloudApi`: the platform's list of servers (none; also where it names no address).
    pub cloud_api: Option<CloudApi>,
}

/// Addresses that the role listens at; a role that does not serve one has none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListenAddresses {
    /// `front`: for clients.
    pub front: Option<SocketAddr>,
    /// `readiness`: for the platform's check.
    pub readiness: Option<SocketAddr>,
    /// `control`: for the operator.
    pub control: Option<SocketAddr>,
}

/// What the machine has; a value of 0 means that the file states none.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineLimits {
    /// `cpuShare`: share of one core, above 0 (1).
    pub cpu_share: f64,
    /// `cores`: speed of that core relative to a normal one (1).
    pub cores: f64,
    /// `memoryMb`: memory of a process in megabytes, above which it is killed (0).
    pub memory_mb: u64,
    /// `maxFds`: descriptors of a process (0).
    pub max_fds: u64,
    /// `linkMbps`: speed of the machine's link in megabits per second (0).
    pub link_mbps: f64,
    /// `diskMb`: size of the disk in megabytes (0).
    pub disk_mb: u64,
}

/// What may be lost at once while all rules hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    /// `machines`: machines whose loss counts (0).
    pub machines: u64,
    /// `zones`: whole zones (0).
    pub zones: u64,
    /// `regions`: whole regions (0).
    pub regions: u64,
}

/// Where the platform's list of servers is read.
#[derive(Debug, Clone, PartialEq)]
pub struct CloudApi {
    /// `address`: where it is called.
    pub address: SocketAddr,
    /// `ratePerS`: calls per second that it takes from all nodes together (1).
    pub rate_per_s: f64,
    /// `lagMs`: how far the list is behind, in milliseconds (0).
    pub lag_ms: u64,
}

impl BootSettings {
    /// The path from [`PATH_VARIABLE`], or [`DEFAULT_PATH`] when that is not set or empty.
    pub fn path() -> PathBuf {
        match env::var_os(PATH_VARIABLE) {
            Some(path) if !path.is_empty() => PathBuf::from(path),
            _ => PathBuf::from(DEFAULT_PATH),
        }
    }

    /// Reads the file at [`BootSettings::path`].
    ///
    /// # Errors
    /// [`BootSettingsError`] when the file can't be read or [`BootSettings::parse`] refuses it.
    pub fn load() -> Result<Self, BootSettingsError> {
        let path = Self::path();
        match fs::read_to_string(&path) {
            Ok(text) => Self::parse(&text, &path),
            Err(source) => Err(BootSettingsError::Unreadable { path, variable: PATH_VARIABLE, source }),
        }
    }

    /// Reads the text of a settings file; `path` only stands in errors.
    ///
    /// # Errors
    /// [`BootSettingsError`] when the text is not TOML, a required key is missing or a key holds a wrong value.
    pub fn parse(text: &str, path: &Path) -> Result<Self, BootSettingsError> {
        let table: Table = text.parse().map_err(|error: toml::de::Error| syntax_error(path, &error))?;
        Self::read(&Section::top(path, &table))
    }

    /// Port at which control machines serve the operator: this machine's own, else that of the seeds.
    pub fn control_port(&self) -> Option<u16> {
        let own = self.listen.control.as_ref();
        own.or(self.seeds.first()).map(SocketAddr::port)
    }

    /// Port at which control machines talk with one another and with agents.
    pub fn internal_port(&self) -> u16 {
        self.internal_ports.0
    }

    /// Loopback port at which the agent of a front machine feeds the proxy beside it.
    pub fn agent_feed_port(&self) -> u16 {
        self.internal_ports.0 + AGENT_FEED_OFFSET
    }

    /// True when the role serves `what` (`front` or `control`).
    pub fn serves(&self, what: &str) -> bool {
        self.serves.iter().any(|served| served == what)
    }

    /// True when the part of the rules called `name` is in force.
    pub fn has_contract(&self, name: &str) -> bool {
        self.contracts.iter().any(|contract| contract == name)
    }

    fn read(top: &Section<'_>) -> Result<Self, BootSettingsError> {
        let zone = top.text("zone")?.unwrap_or_default().to_owned();
        let zones: BTreeMap<String, String> = top.section("zones")?.text_pairs()?.into_iter().collect();
        let region = match top.text("region")? {
            Some(region) => region.to_owned(),
            None => zones.get(&zone).cloned().unwrap_or_default(),
        };
        Ok(Self {
            node_name: read_node_name(top)?,
            role: top.text("role")?.unwrap_or_default().to_owned(),
            machine_class: top.text("machineClass")?.unwrap_or_default().to_owned(),
            serves: top.texts("serves")?,
            ip: top.ip("ip")?.ok_or_else(|| top.missing("ip", "the machine's IP address"))?,
            zone,
            region,
            internal_ports: read_internal_ports(top)?,
            seeds: top.addresses("seeds")?,
            bootstrap: top.flag("bootstrap")?.unwrap_or(false),
            counts_for_quorum: top.flag("countsForQuorum")?.unwrap_or(false),
            data_dir: top.text("dataDir")?.filter(|folder| !folder.is_empty()).map(PathBuf::from),
            heartbeat_ms: top.whole("heartbeatMs")?.unwrap_or(DEFAULT_HEARTBEAT_MS),
            contracts: top.texts("contracts")?,
            zones,
            listen: ListenAddresses::read(&top.section("listen")?)?,
            limits: MachineLimits::read(&top.section("limits")?)?,
            fault_tolerance: FaultTolerance::read(&top.section("faultTolerance")?)?,
            bounds: ContractBounds::read(&top.section("bounds")?)?,
            cloud_api: CloudApi::read(&top.section("cloudApi")?)?,
        })
    }
}

impl ListenAddresses {
    fn read(section: &Section<'_>) -> Result<Self, BootSettingsError> {
        Ok(Self {
            front: section.address("front")?,
            readiness: section.address("readiness")?,
            control: section.address("control")?,
        })
    }
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self { cpu_share: 1.0, cores: 1.0, memory_mb: 0, max_fds: 0, link_mbps: 0.0, disk_mb: 0 }
    }
}

impl MachineLimits {
    fn read(section: &Section<'_>) -> Result<Self, BootSettingsError> {
        let default = Self::default();
        Ok(Self {
            cpu_share: section.number("cpuShare")?.unwrap_or(default.cpu_share),
            cores: section.number("cores")?.unwrap_or(default.cores),
            memory_mb: section.whole("memoryMb")?.unwrap_or(default.memory_mb),
            max_fds: section.whole("maxFds")?.unwrap_or(default.max_fds),
            link_mbps: section.number("linkMbps")?.unwrap_or(default.link_mbps),
            disk_mb: section.whole("diskMb")?.unwrap_or(default.disk_mb),
        })
    }
}

impl FaultTolerance {
    fn read(section: &Section<'_>) -> Result<Self, BootSettingsError> {
        Ok(Self {
            machines: section.whole("machines")?.unwrap_or(0),
            zones: section.whole("zones")?.unwrap_or(0),
            regions: section.whole("regions")?.unwrap_or(0),
        })
    }
}

impl CloudApi {
    /// Calls per second when the file names no rate.
    const DEFAULT_RATE_PER_S: f64 = 1.0;

    fn read(section: &Section<'_>) -> Result<Option<Self>, BootSettingsError> {
        let address = section.address("address")?;
        let rate_per_s = section.number("ratePerS")?.unwrap_or(Self::DEFAULT_RATE_PER_S);
        let lag_ms = section.whole("lagMs")?.unwrap_or(0);
        Ok(address.map(|address| Self { address, rate_per_s, lag_ms }))
    }
}

fn read_node_name(top: &Section<'_>) -> Result<String, BootSettingsError> {
    let expected = "a text that is not empty";
    let name = top.optional("nodeName", expected, |value| value.as_str().filter(|name| !name.is_empty()))?;
    name.map(str::to_owned).ok_or_else(|| top.missing("nodeName", expected))
}

fn read_internal_ports(top: &Section<'_>) -> Result<(u16, u16), BootSettingsError> {
    let expected = "two ports, the first and the last of a range of at least three, such as [7000, 7015]";
    let ports = top.optional("internalPorts", expected, port_range)?;
    ports.ok_or_else(|| top.missing("internalPorts", expected))
}

fn port_range(value: &Value) -> Option<(u16, u16)> {
    let [first, last] = value.as_array()?.as_slice() else { return None };
    let first = u16::try_from(first.as_integer()?).ok()?;
    let last = u16::try_from(last.as_integer()?).ok()?;
    let needed = first.checked_add(AGENT_FEED_OFFSET)?;
    (first > 0 && last >= needed).then_some((first, last))
}

fn syntax_error(path: &Path, error: &toml::de::Error) -> BootSettingsError {
    let reason = error.to_string();
    BootSettingsError::Syntax { path: path.to_owned(), reason: reason.trim().replace('\n', " ") }
}
