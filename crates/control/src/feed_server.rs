//! The internal port: agents that read the feed, and other control machines.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dunelink_protocol::hello::PROTOCOL_VERSION;
use dunelink_protocol::{AgentMessage, FeedMessage, Hello, LinkKind};
use dunelink_runtime::{LinkError, LinkReader, LinkWriter, accept};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

use crate::engine::{AgentMailbox, Engine};
use crate::feed_session::FeedSession;
use crate::message::Envelope;

/// Connections accepted at once.
const MAX_CONNECTIONS: usize = 1_536;
/// How long a new connection may take to say what it is for.
const HELLO_PATIENCE: Duration = Duration::from_secs(2);
/// Data that stays unacknowledged for this long ends a connection.
const SILENCE: Duration = Duration::from_millis(3_000);
/// How long an agent may take to read a message.
const WRITE_PATIENCE: Duration = Duration::from_secs(5);
/// A control machine that sends nothing for this long has closed its connection, though this was not told.
const PEER_IDLE: Duration = Duration::from_secs(40);
/// Pause after an error of the listener, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves the internal port, for ever.
pub async fn serve(listener: TcpListener, engine: Engine) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() < MAX_CONNECTIONS {
            let counted = Counted::new(open.clone());
            let engine = engine.clone();
            spawn_local(async move {
                let _counted = counted;
                // A connection that ends is opened anew by its opener.
                let _ = connection(socket, engine).await;
            });
        }
    }
}

/// Counts an open connection while it lives.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(open: Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn connection(socket: TcpStream, engine: Engine) -> Result<(), LinkError> {
    let peer = socket.peer_addr()?.ip();
    let (mut reader, writer) = accept(socket, SILENCE)?;
    let hello: Hello = reader.read_within(HELLO_PATIENCE).await?;
    if hello.protocol_version != PROTOCOL_VERSION {
        return Ok(());
    }
    match hello.link {
        LinkKind::Replica | LinkKind::ReplicaBulk => {
            let ip = hello.ip.parse().unwrap_or(peer);
            engine.update(|node, _, effects| node.learn_zone(ip, &hello.zone, effects));
            replica(reader, engine).await
        }
        LinkKind::Agent => Agent::new(reader, writer, engine, hello.node).serve().await,
        LinkKind::Proxy => Ok(()),
    }
}

/// Takes in what another control machine sends.
async fn replica(mut reader: LinkReader, engine: Engine) -> Result<(), LinkError> {
    loop {
        let envelope: Envelope = reader.read_within(PEER_IDLE).await?;
        engine.update(|node, now, effects| node.handle_message(now, envelope, effects));
    }
}

/// One agent's connection.
struct Agent {
    reader: LinkReader,
    writer: LinkWriter,
    engine: Engine,
    node: String,
}

impl Agent {
    fn new(reader: LinkReader, writer: LinkWriter, engine: Engine, node: String) -> Self {
        Self { reader, writer, engine, node }
    }

    async fn serve(mut self) -> Result<(), LinkError> {
        let registration = self.engine.register(self.node.clone());
        let mut session = self.subscribed().await?;
        loop {
            self.send_news(&mut session, &registration.mailbox).await?;
            let due = self.engine.instant(session.next_tick_due());
            tokio::select! {
                () = registration.mailbox.wakeup.notified() => {}
                () = sleep_until(due) => {}
                read = self.reader.read::<AgentMessage>() => self.take(read?, &mut session),
            }
        }
    }

    /// Waits for the agent to say where it stands.
    async fn subscribed(&mut self) -> Result<FeedSession, LinkError> {
        loop {
            match self.reader.read_within(HELLO_PATIENCE).await? {
                AgentMessage::Subscribe(subscribe) => return Ok(FeedSession::new(&subscribe)),
                AgentMessage::Report(report) => {
                    self.engine.update(|node, now, effects| {
                        node.handle_agent_report(now, &self.node, report, effects)
                    });
                }
            }
        }
    }

    fn take(&self, message: AgentMessage, session: &mut FeedSession) {
        match message {
            AgentMessage::Subscribe(subscribe) => *session = FeedSession::new(&subscribe),
            AgentMessage::Report(report) => {
                self.engine
                    .update(|node, now, effects| node.handle_agent_report(now, &self.node, report, effects));
            }
        }
    }

    /// Sends all that the agent lacks. Each message is made when the one before it is on its way.
    async fn send_news(&mut self, session: &mut FeedSession, door: &AgentMailbox) -> Result<(), LinkError> {
        if let Some(grants) = door.take_grants() {
            session.set_grants(grants);
        }
        while let Some(message) = self.engine.next_message(session) {
            let large = matches!(message, FeedMessage::Configuration(_) | FeedMessage::Roster(_));
            note_sent(door, &message);
            self.writer.queue(&message);
            // A reader that is slow costs the bytes only, not the whole roster beside them.
            drop(message);
            if large {
                self.flush().await?;
            }
        }
        self.flush().await
    }

    async fn flush(&mut self) -> Result<(), LinkError> {
        match timeout(WRITE_PATIENCE, self.writer.flush()).await {
            Ok(flushed) => flushed,
            Err(_) => Err(LinkError::Silent(WRITE_PATIENCE)),
        }
    }
}

/// Remembers for the status page where the agent stands.
fn note_sent(door: &AgentMailbox, message: &FeedMessage) {
    let (version, epoch, sequence) = door.sent_position.get();
    match message {
        FeedMessage::Configuration(chunk) => door.sent_position.set((chunk.version, epoch, sequence)),
        FeedMessage::Roster(update) => {
            door.sent_position.set((version, update.offset.epoch, update.offset.sequence))
        }
        _ => {}
    }
}
