//! Assembles an engine with its servers, roster and background tasks, and runs it.

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use cherryusher::Balancer;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::config::Config;
use crate::counts::RequestCounters;
use crate::engine::{Engine, EngineMessage, Mailbox};
use crate::engine_feed::EngineFeed;
use crate::roster::{Feed, Roster};
use crate::servers::Servers;

/// Everything that an engine's thread needs to start it.
pub(super) struct EngineSetup {
    pub(super) config: Config,
    pub(super) seed: u64,
    pub(super) balancer: Balancer,
    pub(super) roster: Box<dyn Roster>,
    pub(super) mailbox: Mailbox,
    pub(super) inbox: mpsc::UnboundedReceiver<EngineMessage>,
    pub(super) counters: Arc<RequestCounters>,
    pub(super) transfers: Arc<Semaphore>,
    pub(super) any_ready: Arc<AtomicBool>,
    pub(super) ended: CancellationToken,
}

impl EngineSetup {
    /// Applies the initial server list, so that requests from here on find it. The returned future runs the
    /// engine and needs a `LocalSet`; all tasks that it spawns end with it.
    pub(super) fn start(mut self) -> impl Future<Output = ()> + 'static {
        let ended = self.ended.drop_guard();
        let servers = Servers::new(&self.config, self.any_ready, self.counters.clone(), self.transfers);
        let (servers, list_wanted) = (Rc::new(servers), Rc::new(Notify::new()));
        let engine_feed =
            EngineFeed::new(&self.config, servers.clone(), self.mailbox.clone(), list_wanted.clone());
        let mut feed = Feed::new(&self.config, self.seed, engine_feed);
        feed.cached(&self.roster.known().unwrap_or(self.config.known));
        let (roster, inbox) = (self.roster.run(feed), self.inbox);
        let swept_servers = servers.clone();
        let sweep = async move { swept_servers.sweep().await };
        let engine = Engine::new(self.balancer, servers, self.mailbox, list_wanted, self.counters);
        async move {
            let _ended = ended;
            let roster = AbortOnDropHandle::new(tokio::task::spawn_local(roster));
            let sweep = AbortOnDropHandle::new(tokio::task::spawn_local(sweep));
            engine.run(inbox).await;
            // When the end of the node is signalled, none of its tasks may be running any more.
            for task in [roster, sweep] {
                task.abort();
                let _ = task.await;
            }
        }
    }
}
