//! An agent on loopback with stand-ins for control machines and for the proxy.
#![allow(dead_code, reason = "each test file uses a part")]

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
use dunelink_settings::Boot;
use slog::{Discard, Logger, o};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// No wait in these tests lasts longer.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(1);

/// A loopback address that no other test uses.
pub(crate) fn fresh_ip() -> IpAddr {
    let process = std::process::id();
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let octets = [127, 1 + (process >> 8) as u8 % 250, process as u8, number as u8];
    IpAddr::V4(Ipv4Addr::from(octets))
}

/// Waits for `what`, but not for ever.
pub(crate) async fn soon<F: Future>(what: F) -> F::Output {
    tokio::time::timeout(PATIENCE, what).await.expect("in time")
}

/// A control machine that does as the test says.
pub(crate) struct Control {
    pub(crate) listener: TcpListener,
    pub(crate) address: SocketAddr,
}

impl Control {
    /// A control machine at a port that is free.
    pub(crate) async fn first() -> Self {
        Self::bind(SocketAddr::new(fresh_ip(), 0)).await
    }

    /// Another control machine, at the port that all machines share.
    pub(crate) async fn beside(other: &Control) -> Self {
        Self::bind(SocketAddr::new(fresh_ip(), other.address.port())).await
    }

    pub(crate) async fn bind(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.expect("address is free");
        let address = listener.local_addr().expect("bound");
        Self { listener, address }
    }

    /// The next connection of an agent, with its subscription.
    pub(crate) async fn accept(&self) -> Served {
        let (socket, _) = soon(self.listener.accept()).await.expect("accepted");
        let (mut reader, writer) = accept(socket, PATIENCE).expect("options are set");
        let hello: Hello = soon(reader.read()).await.expect("hello");
        assert_eq!(hello.link, LinkKind::Agent);
        let AgentMessage::Subscribe(subscribe) = soon(reader.read()).await.expect("subscription") else {
            panic!("a subscription comes first");
        };
        Served { hello, subscribe, reader, writer }
    }
}

/// A connection of the agent to a control machine.
pub(crate) struct Served {
    pub(crate) hello: Hello,
    pub(crate) subscribe: FeedPosition,
    pub(crate) reader: LinkReader,
    pub(crate) writer: LinkWriter,
}

impl Served {
    pub(crate) async fn send(&mut self, message: FeedMessage) {
        soon(self.writer.write(&message)).await.expect("written");
    }

    pub(crate) async fn next(&mut self) -> AgentMessage {
        soon(self.reader.read()).await.expect("a message")
    }

    /// Reads until the agent closes the connection.
    pub(crate) async fn until_closed(mut self) {
        let drain = async { while self.reader.read::<AgentMessage>().await.is_ok() {} };
        soon(drain).await;
    }

    /// Sends signs of life for ever; gives the number sent when the agent closes the connection.
    pub(crate) fn keep_ticking(mut self, tick: Heartbeat) -> JoinHandle<u64> {
        tokio::spawn(async move {
            let mut sent = 0;
            let mut period = tokio::time::interval(Duration::from_millis(100));
            loop {
                tokio::select! {
                    read = self.reader.read::<AgentMessage>() => if read.is_err() { return sent },
                    _ = period.tick() => {
                        if self.writer.write(&FeedMessage::Heartbeat(tick)).await.is_err() { return sent }
                        sent += 1;
                    }
                }
            }
        })
    }
}

/// A running agent.
pub(crate) struct Running {
    pub(crate) ip: IpAddr,
    pub(crate) port: u16,
    pub(crate) settings: PathBuf,
    pub(crate) reload: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Running {
    /// Starts an agent that knows `seeds`.
    pub(crate) fn start(seeds: &[&Control]) -> Self {
        let ip = fresh_ip();
        let port = seeds[0].address.port();
        let addresses: Vec<SocketAddr> = seeds.iter().map(|control| control.address).collect();
        let settings = std::env::temp_dir().join(format!("agent-{}-{ip}.toml", std::process::id()));
        write_settings(&settings, ip, port, &addresses);
        Self::restart(ip, port, settings)
    }

    /// Starts an agent with a settings file that is there already.
    pub(crate) fn restart(ip: IpAddr, port: u16, settings: PathBuf) -> Self {
        let text = std::fs::read_to_string(&settings).expect("settings are there");
        let boot = Boot::parse(&text, &settings).expect("settings can be used");
        let agent = Agent::new(&boot, settings.clone(), Logger::root(Discard, o!()));
        let reload = Arc::new(Notify::new());
        let task = tokio::spawn(agent.run(Arc::clone(&reload)));
        Self { ip, port, settings, reload, task }
    }

    /// Ends the agent as a kill does.
    pub(crate) async fn kill(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    /// Connects as the proxy on the agent's machine.
    pub(crate) async fn proxy(&self) -> Proxy {
        let (reader, mut writer) = self.connect(self.ip).await;
        let hello = self.hello(LinkKind::Proxy);
        soon(writer.write(&hello)).await.expect("written");
        Proxy { reader, writer }
    }

    pub(crate) fn hello(&self, link: LinkKind) -> Hello {
        let ip = self.ip.to_string();
        Hello { protocol_version: PROTOCOL_VERSION, link, node: "front".into(), ip, zone: "z".into() }
    }

    /// Connects from `source`, again and again until the agent listens.
    pub(crate) async fn connect(&self, source: IpAddr) -> (LinkReader, LinkWriter) {
        let address = SocketAddr::new(self.ip, self.port + 2);
        let dial = async {
            loop {
                let socket = TcpSocket::new_v4().expect("socket");
                socket.bind(SocketAddr::new(source, 0)).expect("own address");
                match socket.connect(address).await {
                    Ok(socket) => return accept(socket, PATIENCE).expect("options are set"),
                    Err(_) => tokio::task::yield_now().await,
                }
            }
        };
        soon(dial).await
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// The proxy's end of the feed.
pub(crate) struct Proxy {
    pub(crate) reader: LinkReader,
    pub(crate) writer: LinkWriter,
}

impl Proxy {
    pub(crate) async fn next(&mut self) -> FeedMessage {
        soon(self.reader.read()).await.expect("a message")
    }

    /// The next message that `pick` takes; others are left out.
    pub(crate) async fn until<T>(&mut self, pick: impl Fn(FeedMessage) -> Option<T>) -> T {
        loop {
            if let Some(picked) = pick(self.next().await) {
                return picked;
            }
        }
    }

    pub(crate) async fn configuration(&mut self) -> ConfigurationChunk {
        self.until(|message| match message {
            FeedMessage::Configuration(chunk) => Some(chunk),
            _ => None,
        })
        .await
    }

    pub(crate) async fn roster(&mut self) -> RosterUpdate {
        self.until(|message| match message {
            FeedMessage::Roster(update) => Some(update),
            _ => None,
        })
        .await
    }

    /// The next sign of life that `wanted` accepts.
    pub(crate) async fn tick(&mut self, wanted: impl Fn(&Heartbeat) -> bool) -> Heartbeat {
        self.until(|message| match message {
            FeedMessage::Heartbeat(tick) if wanted(&tick) => Some(tick),
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

pub(crate) fn tick(version: u64, confirmed_age_ms: u64) -> Heartbeat {
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

pub(crate) fn whole_roster(epoch: u64, sequence: u64, ids: &[&str]) -> FeedMessage {
    let changed = ids.iter().map(|id| server(id)).collect();
    let offset = RosterOffset { epoch, sequence };
    FeedMessage::Roster(RosterUpdate { base: None, offset, changed, removed: Vec::new() })
}
