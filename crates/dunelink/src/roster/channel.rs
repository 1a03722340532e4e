use tokio::sync::mpsc;

use super::{Feed, Roster, RosterFuture};
use crate::entries::Update;

/// How many updates may wait for the engine's thread, which takes them as they come.
const WAITING_MOST: usize = 64;

/// A list that the host program itself sends.
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
    let (sender, receiver) = mpsc::channel(WAITING_MOST);
    (RosterSender(sender), ChannelRoster(receiver))
}

/// Sends lists to one node. Once all senders are gone the list stays as it is.
#[derive(Clone, Debug)]
pub struct RosterSender(mpsc::Sender<Update>);

/// The node that the list was for has ended, or takes no updates now.
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
    /// It has ended, or was never started.
    #[error("the node has ended")]
    Ended,
    /// It has not taken the last 64 updates yet; this one was not sent.
    #[error("the node has not taken earlier updates yet")]
    Full,
}

impl RosterSender {
    /// Sends an update, waiting for space.
    ///
    /// # Errors
    ///
    /// [`RosterSendError::Ended`] if the node has ended.
    pub async fn send(&self, update: Update) -> Result<(), RosterSendError> {
        self.0.send(update).await.map_err(|_| RosterSendError::Ended)
    }

    /// Sends an update if there is space for it.
    ///
    /// # Errors
    ///
    /// [`RosterSendError`], and then the node will not hear of it.
    pub fn try_send(&self, update: Update) -> Result<(), RosterSendError> {
        self.0.try_send(update).map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => RosterSendError::Full,
            mpsc::error::TrySendError::Closed(_) => RosterSendError::Ended,
        })
    }
}

/// The node's end of a [`channel`].
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
