//! An engine with all that it works with, from its parts to its end.

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use cherryusher::Balancer;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::config::Config;
use crate::counts::Tally;
use crate::engine::{Engine, Happening, Mailbox};
use crate::feeding::ToEngine;
use crate::roster::{Feed, Roster};
use crate::servers::Servers;

/// All that an engine's thread is given.
pub(super) struct Engineering {
    pub(super) config: Config,
    pub(super) seed: u64,
    pub(super) balancer: Balancer,
    pub(super) roster: Box<dyn Roster>,
    pub(super) mailbox: Mailbox,
    pub(super) inbox: mpsc::UnboundedReceiver<Happening>,
    pub(super) tally: Arc<Tally>,
    pub(super) transfers: Arc<Semaphore>,
    pub(super) any_ready: Arc<AtomicBool>,
    pub(super) ended: CancellationToken,
}

impl Engineering {
    /// Takes in the list that is known at the start: what is asked from now on finds it. The node then runs in
    /// the future, which needs a `LocalSet`; whatever it began ends with it.
    pub(super) fn begin(mut self) -> impl Future<Output = ()> + 'static {
        let ended = self.ended.drop_guard();
        let servers = Servers::new(&self.config, self.any_ready, self.tally.clone(), self.transfers);
        let (servers, wanted) = (Rc::new(servers), Rc::new(Notify::new()));
        let fed = ToEngine::new(&self.config, servers.clone(), self.mailbox.clone(), wanted.clone());
        let mut feed = Feed::new(&self.config, self.seed, fed);
        feed.cached(&self.roster.known().unwrap_or(self.config.known));
        let (roster, inbox) = (self.roster.run(feed), self.inbox);
        let swept = servers.clone();
        let sweep = async move { swept.sweep().await };
        let engine = Engine::new(self.balancer, servers, self.mailbox, wanted, self.tally);
        async move {
            let _ended = ended;
            let roster = AbortOnDropHandle::new(tokio::task::spawn_local(roster));
            let sweep = AbortOnDropHandle::new(tokio::task::spawn_local(sweep));
            engine.run(inbox).await;
            // Who hears that the node has ended must not find any of it at work.
            for task in [roster, sweep] {
                task.abort();
                let _ = task.await;
            }
        }
    }
}
