//! A test agent that sends the feed messages that a test asks for and records what the proxy sends.

use bytes::BytesMut;
use dunelink_protocol::{
    ConfigurationChunk, FeedMessage, GrantUpdate, Heartbeat, Hello, ProxyMessage, ProxyReport, RosterOffset,
    RosterUpdate, ServerEntry, decode, encode,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use super::server::Server;

pub(crate) struct Agent {
    pub(crate) port: u16,
    messages: UnboundedSender<FeedMessage>,
    pub(crate) reports: Rc<RefCell<Vec<ProxyReport>>>,
    pub(crate) hellos: Rc<RefCell<Vec<Hello>>>,
    /// Sequence number of the last complete roster.
    sequence: Cell<u64>,
}

impl Agent {
    pub(crate) async fn listen() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let port = listener.local_addr().unwrap().port();
        let (messages, mut queue) = unbounded_channel::<FeedMessage>();
        let (reports, hellos) = (Rc::default(), Rc::default());
        let agent = Self { port, messages, reports, hellos, sequence: Cell::new(0) };
        let (reports, hellos) = (agent.reports.clone(), agent.hellos.clone());
        tokio::task::spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let (mut reader, mut writer) = stream.split();
                let mut incoming = BytesMut::new();
                let mut hello_received = false;
                loop {
                    tokio::select! {
                        read = reader.read_buf(&mut incoming) => {
                            if read.unwrap_or(0) == 0 { break }
                            if !hello_received && let Some(hello) = decode::<Hello>(&mut incoming).unwrap() {
                                hello_received = true;
                                hellos.borrow_mut().push(hello);
                            }
                            while hello_received && let Some(ProxyMessage::Report(report)) = decode(&mut incoming).unwrap() {
                                reports.borrow_mut().push(report);
                            }
                        }
                        message = queue.recv() => {
                            let Some(message) = message else { return };
                            let mut bytes = BytesMut::new();
                            encode(&message, &mut bytes);
                            if writer.write_all(&bytes).await.is_err() { break }
                        }
                    }
                }
            }
        });
        agent
    }

    pub(crate) fn send(&self, message: FeedMessage) {
        self.messages.send(message).unwrap();
    }

    /// Sends a configuration in two chunks.
    pub(crate) fn send_configuration(&self, json: &str) {
        let bytes = json.as_bytes();
        let version: u64 = json.split(['{', ':', ',']).nth(2).unwrap().parse().unwrap();
        for (offset, part) in bytes.chunks(bytes.len() / 2 + 1).scan(0, |next_offset, part| {
            let start = *next_offset;
            *next_offset += part.len();
            Some((start, part))
        }) {
            let (total_bytes, offset) = (bytes.len() as u64, offset as u64);
            let chunk = ConfigurationChunk { version, total_bytes, offset, bytes: part.to_vec() };
            self.send(FeedMessage::Configuration(chunk));
        }
    }

    pub(crate) fn set_servers(&self, servers: &[&Server]) {
        self.send_roster(servers.iter().map(|server| server.entry()).collect());
    }

    /// Sends a complete roster with the next sequence number.
    pub(crate) fn send_roster(&self, changed: Vec<ServerEntry>) {
        self.sequence.set(self.sequence.get() + 1);
        self.send_roster_at(self.sequence.get(), None, changed);
    }

    /// Sends a roster with this sequence number: a complete one, or changes to the roster with the sequence
    /// number `base`.
    pub(crate) fn send_roster_at(&self, sequence: u64, base: Option<u64>, changed: Vec<ServerEntry>) {
        let at = |sequence| RosterOffset { epoch: 1, sequence };
        let update = RosterUpdate { base: base.map(at), offset: at(sequence), changed, removed: Vec::new() };
        self.send(FeedMessage::Roster(update));
    }

    pub(crate) fn send_heartbeat(&self, confirmed_age_ms: u64, configuration_version: u64) {
        let roster = RosterOffset::default();
        let heartbeat = Heartbeat { confirmed_age_ms, configuration_version, roster, roster_age_ms: 0 };
        self.send(FeedMessage::Heartbeat(heartbeat));
    }

    pub(crate) fn send_grants(&self, nodes: u32) {
        let update = GrantUpdate {
            valid_ms: 1_000,
            node_count: nodes,
            configuration_version: 1,
            tenants: Vec::new(),
            throttled: Vec::new(),
            ..GrantUpdate::default()
        };
        self.send(FeedMessage::Grants(update));
    }
}
