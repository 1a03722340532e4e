use tokio::sync::mpsc;

use super::{Feed, Roster, RosterFuture};
use crate::server_list::Update;

/// Number of updates that may be queued for the engine's thread, which takes them as they arrive.
const QUEUE_CAPACITY: usize = 64;

/// Creates a server list that the host program supplies itself.
///
/// ```
/// # use dunelink::{Update, Server, ServerState, roster};
/// let (sender, roster) = roster::channel();
/// // `roster` goes to `Builder::roster`; from anywhere, at any time:
/// let server = Server::new("s-1", ([127, 0, 0, 1], 9001).into());
/// sender.try_send(Update::whole([server.clone()]))?;
/// sender.try_send(Update::changes([server.with_state(ServerState::Draining)]))?;
/// # drop(roster);
/// # Ok::<(), roster::RosterSendError>(())
/// ```
pub fn channel() -> (RosterSender, ChannelRoster) {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    (RosterSender(sender), ChannelRoster(receiver))
}

/// Sends server lists to one node. Once all senders are dropped, the list stays as it is.
#[derive(Clone, Debug)]
pub struct RosterSender(mpsc::Sender<Update>);

/// Why an update was not sent: the node has ended, or its queue is full.
///
/// ```
/// use dunelink::{Update, roster};
///
/// let (sender, roster) = roster::channel();
/// drop(roster);
/// assert_eq!(sender.try_send(Update::whole([])), Err(roster::RosterSendError::Ended));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterSendError {
    /// The node has ended or was never started.
    #[error("the node has ended")]
    Ended,
    /// The node has not taken the last 64 updates yet; this one was not sent.
    #[error("the node has not taken earlier updates yet")]
    Full,
}

impl RosterSender {
    /// Sends an update; waits for space in the queue.
    ///
    /// # Errors
    ///
    /// [`RosterSendError::Ended`] if the node has ended.
    pub async fn send(&self, update: Update) -> Result<(), RosterSendError> {
        self.0.send(update).await.map_err(|_| RosterSendError::Ended)
    }

    /// Sends an update if the queue has space for it.
    ///
    /// # Errors
    ///
    /// A [`RosterSendError`]; the node then does not receive the update.
    pub fn try_send(&self, update: Update) -> Result<(), RosterSendError> {
        self.0.try_send(update).map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => RosterSendError::Full,
            mpsc::error::TrySendError::Closed(_) => RosterSendError::Ended,
        })
    }
}

/// The receiving end of a [`channel`], to be passed to the node.
pub struct ChannelRoster(mpsc::Receiver<Update>);

impl Roster for ChannelRoster {
    fn run(mut self: Box<Self>, mut feed: Feed) -> RosterFuture {
        Box::pin(async move {
            while let Some(update) = self.0.recv().await {
                feed.update(&update);
            }
        })
    }
}
