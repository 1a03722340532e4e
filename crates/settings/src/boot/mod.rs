//! The settings file of a process.
//!
//! The environment variable [`PATH_VARIABLE`] holds its path. Unknown keys are ignored. The documentation of
//! each field names its key, with the default for a missing key in parentheses. Only `nodeName`, `ip` and
//! `internalPorts` are required.

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

/// Path of the settings file if [`PATH_VARIABLE`] is not set.
pub const DEFAULT_PATH: &str = "/etc/dunelink/local.toml";

/// Offset of the agent's feed port from the first internal port.
const AGENT_FEED_PORT_OFFSET: u16 = 2;

/// Default heartbeat interval in milliseconds.
const DEFAULT_HEARTBEAT_MS: u64 = 1_000;

/// The settings that a process reads at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct BootSettings {
    /// `nodeName`: name of the machine, required and not empty.
    pub node_name: String,
    /// `role`: name of the role in the deploy file (empty).
    pub role: String,
    /// `machineClass`: `front` or `core` (empty).
    pub machine_class: String,
    /// `serves`: endpoints that the role serves, out of `front` and `control` (none).
    pub serves: Vec<String>,
    /// `ip`: address of the machine, required.
    pub ip: IpAddr,
    /// `zone`: zone of the machine (empty).
    pub zone: String,
    /// `region`: region of the machine (the region of its zone in `zones`, else empty).
    pub region: String,
    /// `internalPorts`: first and last port for connections between nodes, required; at least three ports.
    pub internal_ports: (u16, u16),
    /// `seeds`: addresses of control machines that are known at the start (none).
    pub seeds: Vec<SocketAddr>,
    /// `bootstrap`: true only at the first start of the whole fleet (false).
    pub bootstrap: bool,
    /// `countsForQuorum`: whether the loss of this machine counts toward `faultTolerance` (false).
    pub counts_for_quorum: bool,
    /// `dataDir`: folder for persistent data (`None`; also for an empty string).
    pub data_dir: Option<PathBuf>,
    /// `heartbeatMs`: interval between heartbeats in milliseconds (1,000).
    pub heartbeat_ms: u64,
    /// `contracts`: names of the contracts in force (none).
    pub contracts: Vec<String>,
    /// `zones`: region of each zone (none).
    pub zones: BTreeMap<String, String>,
    /// `listen`: addresses to listen on.
    pub listen: ListenAddresses,
    /// `limits`: resources of the machine.
    pub limits: MachineLimits,
    /// `faultTolerance`: failures that the fleet has to tolerate at the same time.
    pub fault_tolerance: FaultTolerance,
    /// `bounds`: numeric limits of the contracts.
    pub bounds: ContractBounds,
    /// `cloudApi`: access to the platform's server list (`None`; also without an address).
    pub cloud_api: Option<CloudApi>,
}

/// Addresses that the role listens on; `None` for endpoints that it does not serve.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListenAddresses {
    /// `front`: for requests of clients.
    pub front: Option<SocketAddr>,
    /// `readiness`: for the platform's readiness check.
    pub readiness: Option<SocketAddr>,
    /// `control`: for the operator's API.
    pub control: Option<SocketAddr>,
}

/// Resources of the machine. A value of 0 means that the file does not state it.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineLimits {
    /// `cpuShare`: share of one core available to the machine, above 0 (1).
    pub cpu_share: f64,
    /// `cores`: speed of that core relative to a standard one (1).
    pub cores: f64,
    /// `memoryMb`: memory limit of a process in megabytes, above which it is killed (0).
    pub memory_mb: u64,
    /// `maxFds`: most open file descriptors of a process (0).
    pub max_fds: u64,
    /// `linkMbps`: bandwidth of the machine's network link in megabits per second (0).
    pub link_mbps: f64,
    /// `diskMb`: size of the disk in megabytes (0).
    pub disk_mb: u64,
}

/// Memory limit of a process that the settings file does not state, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 256;
const BYTES_PER_MB: u64 = 1_048_576;

impl MachineLimits {
    /// Returns a share of the memory limit of a process, in bytes. Without a limit in the settings file, one of
    /// 256 MB is assumed.
    pub fn memory_share_bytes(&self, share: f64) -> usize {
        let megabytes = if self.memory_mb > 0 { self.memory_mb } else { DEFAULT_MEMORY_MB };
        (megabytes.saturating_mul(BYTES_PER_MB) as f64 * share) as usize
    }
}

/// Failures at the same time during which all contracts have to be met.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    /// `machines`: number of lost machines, out of those with `countsForQuorum` (0).
    pub machines: u64,
    /// `zones`: number of lost zones (0).
    pub zones: u64,
    /// `regions`: number of lost regions (0).
    pub regions: u64,
}

/// Access to the platform's server list.
#[derive(Debug, Clone, PartialEq)]
pub struct CloudApi {
    /// `address`: address of the API.
    pub address: SocketAddr,
    /// `ratePerS`: calls per second that it accepts from all nodes together (1).
    pub rate_per_s: f64,
    /// `lagMs`: age of the list's contents in milliseconds (0).
    pub lag_ms: u64,
}

impl BootSettings {
    /// The path from [`PATH_VARIABLE`], or [`DEFAULT_PATH`] if the variable is not set or empty.
    pub fn path() -> PathBuf {
        match env::var_os(PATH_VARIABLE) {
            Some(path) if !path.is_empty() => PathBuf::from(path),
            _ => PathBuf::from(DEFAULT_PATH),
        }
    }

    /// Reads the file at [`BootSettings::path`].
    ///
    /// # Errors
    /// The file can't be read, or [`BootSettings::parse`] rejects it.
    pub fn load() -> Result<Self, BootSettingsError> {
        let path = Self::path();
        match fs::read_to_string(&path) {
            Ok(text) => Self::parse(&text, &path),
            Err(source) => Err(BootSettingsError::Unreadable { path, variable: PATH_VARIABLE, source }),
        }
    }

    /// Parses the text of a settings file; `path` is only used in errors.
    ///
    /// # Errors
    /// The text is not valid TOML, a required key is missing, or the value of a key is invalid.
    pub fn parse(text: &str, path: &Path) -> Result<Self, BootSettingsError> {
        let table: Table = text.parse().map_err(|error: toml::de::Error| syntax_error(path, &error))?;
        Self::read(&Section::root(path, &table))
    }

    /// Port of the operator's API on control machines: this machine's own, else the port of the first seed.
    /// `None` if the settings name neither.
    pub fn control_port(&self) -> Option<u16> {
        let own_address = self.listen.control.as_ref();
        own_address.or(self.seeds.first()).map(SocketAddr::port)
    }

    /// Port on which control machines accept connections from one another and from agents.
    pub fn internal_port(&self) -> u16 {
        self.internal_ports.0
    }

    /// Port on which the agent of a front machine serves the feed to the proxy on the same machine.
    pub fn agent_feed_port(&self) -> u16 {
        self.internal_ports.0 + AGENT_FEED_PORT_OFFSET
    }

    /// True if the role serves `endpoint` (`front` or `control`).
    pub fn serves(&self, endpoint: &str) -> bool {
        self.serves.iter().any(|served| served == endpoint)
    }

    /// True if the contract `name` is in force.
    pub fn has_contract(&self, name: &str) -> bool {
        self.contracts.iter().any(|contract| contract == name)
    }

    fn read(root: &Section<'_>) -> Result<Self, BootSettingsError> {
        let zone = root.string("zone")?.unwrap_or_default().to_owned();
        let zones: BTreeMap<String, String> = root.section("zones")?.string_pairs()?.into_iter().collect();
        let region = match root.string("region")? {
            Some(region) => region.to_owned(),
            None => zones.get(&zone).cloned().unwrap_or_default(),
        };
        Ok(Self {
            node_name: read_node_name(root)?,
            role: root.string("role")?.unwrap_or_default().to_owned(),
            machine_class: root.string("machineClass")?.unwrap_or_default().to_owned(),
            serves: root.strings("serves")?,
            ip: root.ip("ip")?.ok_or_else(|| root.missing_key("ip", "the machine's IP address"))?,
            zone,
            region,
            internal_ports: read_internal_ports(root)?,
            seeds: root.addresses("seeds")?,
            bootstrap: root.boolean("bootstrap")?.unwrap_or(false),
            counts_for_quorum: root.boolean("countsForQuorum")?.unwrap_or(false),
            data_dir: root.string("dataDir")?.filter(|folder| !folder.is_empty()).map(PathBuf::from),
            heartbeat_ms: root.integer("heartbeatMs")?.unwrap_or(DEFAULT_HEARTBEAT_MS),
            contracts: root.strings("contracts")?,
            zones,
            listen: ListenAddresses::read(&root.section("listen")?)?,
            limits: MachineLimits::read(&root.section("limits")?)?,
            fault_tolerance: FaultTolerance::read(&root.section("faultTolerance")?)?,
            bounds: ContractBounds::read(&root.section("bounds")?)?,
            cloud_api: CloudApi::read(&root.section("cloudApi")?)?,
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
            memory_mb: section.integer("memoryMb")?.unwrap_or(default.memory_mb),
            max_fds: section.integer("maxFds")?.unwrap_or(default.max_fds),
            link_mbps: section.number("linkMbps")?.unwrap_or(default.link_mbps),
            disk_mb: section.integer("diskMb")?.unwrap_or(default.disk_mb),
        })
    }
}

impl FaultTolerance {
    fn read(section: &Section<'_>) -> Result<Self, BootSettingsError> {
        Ok(Self {
            machines: section.integer("machines")?.unwrap_or(0),
            zones: section.integer("zones")?.unwrap_or(0),
            regions: section.integer("regions")?.unwrap_or(0),
        })
    }
}

impl CloudApi {
    /// Calls per second if the file does not state a rate.
    const DEFAULT_RATE_PER_S: f64 = 1.0;

    fn read(section: &Section<'_>) -> Result<Option<Self>, BootSettingsError> {
        let address = section.address("address")?;
        let rate_per_s = section.number("ratePerS")?.unwrap_or(Self::DEFAULT_RATE_PER_S);
        let lag_ms = section.integer("lagMs")?.unwrap_or(0);
        Ok(address.map(|address| Self { address, rate_per_s, lag_ms }))
    }
}

fn read_node_name(root: &Section<'_>) -> Result<String, BootSettingsError> {
    let expected = "a string that is not empty";
    let name = root.optional("nodeName", expected, |value| value.as_str().filter(|name| !name.is_empty()))?;
    name.map(str::to_owned).ok_or_else(|| root.missing_key("nodeName", expected))
}

fn read_internal_ports(root: &Section<'_>) -> Result<(u16, u16), BootSettingsError> {
    let expected = "two ports, the first and the last of a range of at least three, such as [7000, 7015]";
    let ports = root.optional("internalPorts", expected, port_range)?;
    ports.ok_or_else(|| root.missing_key("internalPorts", expected))
}

fn port_range(value: &Value) -> Option<(u16, u16)> {
    let [first, last] = value.as_array()?.as_slice() else { return None };
    let first = u16::try_from(first.as_integer()?).ok()?;
    let last = u16::try_from(last.as_integer()?).ok()?;
    let min_last = first.checked_add(AGENT_FEED_PORT_OFFSET)?;
    (first > 0 && last >= min_last).then_some((first, last))
}

fn syntax_error(path: &Path, error: &toml::de::Error) -> BootSettingsError {
    let reason = error.to_string();
    BootSettingsError::Syntax { path: path.to_owned(), reason: reason.trim().replace('\n', " ") }
}
