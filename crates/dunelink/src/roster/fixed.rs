use super::{Feed, Roster, RosterFuture};
use crate::types::{Server, Update};

/// A list that never changes.
pub struct Fixed(Vec<Server>);

impl Fixed {
    /// Just these servers.
    pub fn new(servers: impl IntoIterator<Item = Server>) -> Fixed {
        Fixed(servers.into_iter().collect())
    }
}

impl Roster for Fixed {
    fn run(self: Box<Self>, mut feed: Feed) -> RosterFuture {
        Box::pin(async move { feed.update(&Update::whole(self.0)) })
    }
}
