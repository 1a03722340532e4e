//! The internal port: connections of agents, which receive the feed, and of other control machines.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dunelink_protocol::hello::PROTOCOL_VERSION;
use dunelink_protocol::{AgentMessage, FeedMessage, Hello, LinkKind};
use dunelink_runtime::{LinkError, LinkReader, LinkWriter, ListenLimits, accept};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

use crate::engine::{AgentMailbox, Engine};
use crate::feed_session::FeedSession;
use crate::message::Envelope;

/// Most connections open at a time.
const MAX_CONNECTIONS: usize = 1_536;
/// Limits of the listening socket. All agents may connect at the same time.
pub const LISTEN_LIMITS: ListenLimits = ListenLimits { max_pending: 1_024, receive_buffer_bytes: None };
/// Time within which a new connection must send its hello, and an agent its subscription.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection ends when sent data stays unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time within which an agent must read what is sent to it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection on which a control machine sends nothing for this long counts as closed, even if the close
/// was not received.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(40);
/// Pause after an error of the listener, such as too many open files.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Serves the internal port, forever.
pub async fn serve(listener: TcpListener, engine: Engine) {
    let open_connections = Rc::new(Cell::new(0));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        if open_connections.get() < MAX_CONNECTIONS {
            let guard = ConnectionGuard::new(open_connections.clone());
            let engine = engine.clone();
            spawn_local(async move {
                let _guard = guard;
                // After a failure, the peer opens a new connection.
                let _ = serve_connection(socket, engine).await;
            });
        }
    }
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    fn new(open_connections: Rc<Cell<usize>>) -> Self {
        open_connections.set(open_connections.get() + 1);
        Self(open_connections)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve_connection(socket: TcpStream, engine: Engine) -> Result<(), LinkError> {
    let peer = socket.peer_addr()?.ip();
    let (mut reader, writer) = accept(socket, UNACKNOWLEDGED_TIMEOUT)?;
    let hello: Hello = reader.read_with_timeout(HELLO_TIMEOUT).await?;
    if hello.protocol_version != PROTOCOL_VERSION {
        return Ok(());
    }
    match hello.link {
        LinkKind::Replica | LinkKind::ReplicaBulk => {
            let ip = hello.ip.parse().unwrap_or(peer);
            engine.update(|node, _, effects| node.learn_zone(ip, &hello.zone, effects));
            receive_from_replica(reader, engine).await
        }
        LinkKind::Agent => AgentConnection::new(reader, writer, engine, hello.node).serve().await,
        LinkKind::Proxy => Ok(()),
    }
}

/// Handles the messages of another control machine.
async fn receive_from_replica(mut reader: LinkReader, engine: Engine) -> Result<(), LinkError> {
    loop {
        let envelope: Envelope = reader.read_with_timeout(PEER_IDLE_TIMEOUT).await?;
        engine.update(|node, now, effects| node.handle_message(now, envelope, effects));
    }
}

/// Connection of one agent.
struct AgentConnection {
    reader: LinkReader,
    writer: LinkWriter,
    engine: Engine,
    node: String,
}

impl AgentConnection {
    fn new(reader: LinkReader, writer: LinkWriter, engine: Engine, node: String) -> Self {
        Self { reader, writer, engine, node }
    }

    async fn serve(mut self) -> Result<(), LinkError> {
        let registration = self.engine.register(self.node.clone());
        let mut session = self.wait_for_subscription().await?;
        loop {
            self.send_updates(&mut session, &registration.mailbox).await?;
            let due = self.engine.instant(session.next_tick_due());
            tokio::select! {
                () = registration.mailbox.wakeup.notified() => {}
                () = sleep_until(due) => {}
                message = self.reader.read::<AgentMessage>() => self.handle_message(message?, &mut session),
            }
        }
    }

    /// Waits for the agent's subscription; reports may come before it.
    async fn wait_for_subscription(&mut self) -> Result<FeedSession, LinkError> {
        loop {
            match self.reader.read_with_timeout(HELLO_TIMEOUT).await? {
                AgentMessage::Subscribe(subscribe) => return Ok(FeedSession::new(&subscribe)),
                AgentMessage::Report(report) => {
                    self.engine.update(|node, now, effects| {
                        node.handle_agent_report(now, &self.node, report, effects)
                    });
                }
            }
        }
    }

    fn handle_message(&self, message: AgentMessage, session: &mut FeedSession) {
        match message {
            AgentMessage::Subscribe(subscribe) => *session = FeedSession::new(&subscribe),
            AgentMessage::Report(report) => {
                self.engine
                    .update(|node, now, effects| node.handle_agent_report(now, &self.node, report, effects));
            }
        }
    }

    /// Sends everything that the agent does not have yet. Each message is built when the previous one has
    /// been queued.
    async fn send_updates(
        &mut self,
        session: &mut FeedSession,
        mailbox: &AgentMailbox,
    ) -> Result<(), LinkError> {
        if let Some(grants) = mailbox.take_grants() {
            session.set_grants(grants);
        }
        while let Some(message) = self.engine.next_message(session) {
            let is_large = matches!(message, FeedMessage::Configuration(_) | FeedMessage::Roster(_));
            record_sent(mailbox, &message);
            self.writer.queue(&message);
            // Frees the message before the flush: a slow agent then costs only the encoded bytes and not the
            // roster beside them.
            drop(message);
            if is_large {
                self.flush().await?;
            }
        }
        self.flush().await
    }

    async fn flush(&mut self) -> Result<(), LinkError> {
        match timeout(WRITE_TIMEOUT, self.writer.flush()).await {
            Ok(flushed) => flushed,
            Err(_) => Err(LinkError::Timeout(WRITE_TIMEOUT)),
        }
    }
}

/// Records the position sent to the agent, for the status page.
fn record_sent(mailbox: &AgentMailbox, message: &FeedMessage) {
    let (version, epoch, sequence) = mailbox.sent_position.get();
    match message {
        FeedMessage::Configuration(chunk) => mailbox.sent_position.set((chunk.version, epoch, sequence)),
        FeedMessage::Roster(update) => {
            mailbox.sent_position.set((version, update.offset.epoch, update.offset.sequence))
        }
        _ => {}
    }
}
