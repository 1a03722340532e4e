//! An agent on loopback with stubs for control machines and for the proxy.
#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use dunelink_agent::Agent;
use dunelink_protocol::hello::PROTOCOL_VERSION;
use dunelink_protocol::{
    AgentMessage, ConfigurationChunk, FeedMessage, FeedPosition, Heartbeat, Hello, LinkKind, RosterOffset,
    RosterUpdate, ServerEntry,
};
use dunelink_runtime::{LinkReader, LinkWriter, accept};
use dunelink_settings::BootSettings;
use slog::{Discard, Logger, o};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Longest wait in these tests.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_IP_NUMBER: AtomicU32 = AtomicU32::new(1);

/// A loopback IP address that no other test uses.
pub(crate) fn unique_ip() -> IpAddr {
    let process = std::process::id();
    let number = NEXT_IP_NUMBER.fetch_add(1, Ordering::Relaxed);
    let octets = [127, 1 + (process >> 8) as u8 % 250, process as u8, number as u8];
    IpAddr::V4(Ipv4Addr::from(octets))
}

/// Waits for `future`; panics after [`TEST_TIMEOUT`].
pub(crate) async fn within_deadline<F: Future>(future: F) -> F::Output {
    tokio::time::timeout(TEST_TIMEOUT, future).await.expect("completes within the timeout")
}

/// A control machine that the test controls.
pub(crate) struct ControlStub {
    pub(crate) listener: TcpListener,
    pub(crate) address: SocketAddr,
}

impl ControlStub {
    /// A control machine at any free port.
    pub(crate) async fn at_free_port() -> Self {
        Self::bind(SocketAddr::new(unique_ip(), 0)).await
    }

    /// Another control machine at the port of `other`, since all machines use the same internal port.
    pub(crate) async fn at_port_of(other: &ControlStub) -> Self {
        Self::bind(SocketAddr::new(unique_ip(), other.address.port())).await
    }

    pub(crate) async fn bind(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.expect("address is free");
        let address = listener.local_addr().expect("bound");
        Self { listener, address }
    }

    /// Accepts the next connection of an agent and reads its subscription.
    pub(crate) async fn accept(&self) -> AgentConnection {
        let (socket, _) = within_deadline(self.listener.accept()).await.expect("accepted");
        let (mut reader, writer) = accept(socket, TEST_TIMEOUT).expect("options are set");
        let hello: Hello = within_deadline(reader.read()).await.expect("hello");
        assert_eq!(hello.link, LinkKind::Agent);
        let AgentMessage::Subscribe(subscribe) = within_deadline(reader.read()).await.expect("subscription")
        else {
            panic!("expected a subscription first");
        };
        AgentConnection { hello, subscribe, reader, writer }
    }
}

/// The control machine's side of a connection of the agent.
pub(crate) struct AgentConnection {
    pub(crate) hello: Hello,
    pub(crate) subscribe: FeedPosition,
    pub(crate) reader: LinkReader,
    pub(crate) writer: LinkWriter,
}

impl AgentConnection {
    pub(crate) async fn send(&mut self, message: FeedMessage) {
        within_deadline(self.writer.write(&message)).await.expect("written");
    }

    pub(crate) async fn next(&mut self) -> AgentMessage {
        within_deadline(self.reader.read()).await.expect("a message")
    }

    /// Reads until the agent closes the connection.
    pub(crate) async fn until_closed(mut self) {
        let drain = async { while self.reader.read::<AgentMessage>().await.is_ok() {} };
        within_deadline(drain).await;
    }

    /// Sends heartbeats until the agent closes the connection. The task returns the number sent.
    pub(crate) fn send_heartbeats(mut self, heartbeat: Heartbeat) -> JoinHandle<u64> {
        tokio::spawn(async move {
            let mut sent = 0;
            let mut period = tokio::time::interval(Duration::from_millis(100));
            loop {
                tokio::select! {
                    read = self.reader.read::<AgentMessage>() => if read.is_err() { return sent },
                    _ = period.tick() => {
                        if self.writer.write(&FeedMessage::Heartbeat(heartbeat)).await.is_err() {
                            return sent
                        }
                        sent += 1;
                    }
                }
            }
        })
    }
}

/// A running agent.
pub(crate) struct RunningAgent {
    pub(crate) ip: IpAddr,
    pub(crate) port: u16,
    pub(crate) settings: PathBuf,
    pub(crate) reload: Arc<Notify>,
    task: JoinHandle<()>,
}

impl RunningAgent {
    /// Starts an agent with the given seeds.
    pub(crate) fn start(seeds: &[&ControlStub]) -> Self {
        let ip = unique_ip();
        let port = seeds[0].address.port();
        let addresses: Vec<SocketAddr> = seeds.iter().map(|control| control.address).collect();
        let settings = std::env::temp_dir().join(format!("agent-{}-{ip}.toml", std::process::id()));
        write_settings(&settings, ip, port, &addresses);
        Self::restart(ip, port, settings)
    }

    /// Starts an agent with an existing settings file.
    pub(crate) fn restart(ip: IpAddr, port: u16, settings: PathBuf) -> Self {
        let text = std::fs::read_to_string(&settings).expect("settings file exists");
        let boot = BootSettings::parse(&text, &settings).expect("settings are valid");
        let agent = Agent::new(&boot, settings.clone(), Logger::root(Discard, o!()));
        let reload = Arc::new(Notify::new());
        let task = tokio::spawn(agent.run(Arc::clone(&reload)));
        Self { ip, port, settings, reload, task }
    }

    /// Ends the agent abruptly, as SIGKILL does.
    pub(crate) async fn kill(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    /// Connects as the proxy on the agent's machine.
    pub(crate) async fn proxy(&self) -> ProxyStub {
        let (reader, mut writer) = self.connect(self.ip).await;
        let hello = self.hello(LinkKind::Proxy);
        within_deadline(writer.write(&hello)).await.expect("written");
        ProxyStub { reader, writer }
    }

    pub(crate) fn hello(&self, link: LinkKind) -> Hello {
        let ip = self.ip.to_string();
        Hello { protocol_version: PROTOCOL_VERSION, link, node: "front".into(), ip, zone: "z".into() }
    }

    /// Connects from the address `source`, with retries until the agent listens.
    pub(crate) async fn connect(&self, source: IpAddr) -> (LinkReader, LinkWriter) {
        let address = SocketAddr::new(self.ip, self.port + 2);
        let dial = async {
            loop {
                let socket = TcpSocket::new_v4().expect("socket");
                socket.bind(SocketAddr::new(source, 0)).expect("own address");
                match socket.connect(address).await {
                    Ok(socket) => return accept(socket, TEST_TIMEOUT).expect("options are set"),
                    Err(_) => tokio::task::yield_now().await,
                }
            }
        };
        within_deadline(dial).await
    }
}

impl Drop for RunningAgent {
    fn drop(&mut self) {
        self.task.abort();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// The proxy's side of its connection to the agent.
pub(crate) struct ProxyStub {
    pub(crate) reader: LinkReader,
    pub(crate) writer: LinkWriter,
}

impl ProxyStub {
    pub(crate) async fn next(&mut self) -> FeedMessage {
        within_deadline(self.reader.read()).await.expect("a message")
    }

    /// Reads messages until `pick` returns a value; the others are discarded.
    pub(crate) async fn next_matching<T>(&mut self, pick: impl Fn(FeedMessage) -> Option<T>) -> T {
        loop {
            if let Some(picked) = pick(self.next().await) {
                return picked;
            }
        }
    }

    pub(crate) async fn configuration(&mut self) -> ConfigurationChunk {
        self.next_matching(|message| match message {
            FeedMessage::Configuration(chunk) => Some(chunk),
            _ => None,
        })
        .await
    }

    pub(crate) async fn roster(&mut self) -> RosterUpdate {
        self.next_matching(|message| match message {
            FeedMessage::Roster(update) => Some(update),
            _ => None,
        })
        .await
    }

    /// Reads messages until a heartbeat satisfies `accept_heartbeat`.
    pub(crate) async fn next_heartbeat(
        &mut self,
        accept_heartbeat: impl Fn(&Heartbeat) -> bool,
    ) -> Heartbeat {
        self.next_matching(|message| match message {
            FeedMessage::Heartbeat(heartbeat) if accept_heartbeat(&heartbeat) => Some(heartbeat),
            _ => None,
        })
        .await
    }
}

pub(crate) fn write_settings(path: &Path, ip: IpAddr, port: u16, seeds: &[SocketAddr]) {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{}:9\"", seed.ip())).collect();
    let seeds = seeds.join(",");
    let last = port + 9;
    let text = format!(
        "nodeName = \"front\"\nip = \"{ip}\"\nzone = \"z\"\ninternalPorts = [{port},{last}]\nseeds = [{seeds}]\n"
    );
    std::fs::write(path, text).expect("settings are written");
}

pub(crate) fn chunk(version: u64, text: &str) -> FeedMessage {
    let bytes = text.as_bytes().to_vec();
    FeedMessage::Configuration(ConfigurationChunk {
        version,
        total_bytes: bytes.len() as u64,
        offset: 0,
        bytes,
    })
}

pub(crate) fn heartbeat(version: u64, confirmed_age_ms: u64) -> Heartbeat {
    let roster = RosterOffset::default();
    Heartbeat { confirmed_age_ms, configuration_version: version, roster, roster_age_ms: 0 }
}

pub(crate) fn server(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.1:80".into(),
        zone: "z".into(),
        slots: 4,
        ready: true,
        cold_remaining_ms: 0,
        software_version: "v1".into(),
        weights_version: None,
    }
}

pub(crate) fn full_roster(epoch: u64, sequence: u64, ids: &[&str]) -> FeedMessage {
    let changed = ids.iter().map(|id| server(id)).collect();
    let offset = RosterOffset { epoch, sequence };
    FeedMessage::Roster(RosterUpdate { base: None, offset, changed, removed: Vec::new() })
}
