//! The agent as a whole.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use dunelink_runtime::Clock;
use dunelink_settings::BootSettings;
use slog::Logger;
use tokio::sync::Notify;

use crate::directory::AddressDirectory;
use crate::shared::{AgentState, Identity};
use crate::sources::SourceSelector;
use crate::{downstream, seeds, upstream};

/// An agent, ready to run.
#[derive(Debug)]
pub struct Agent {
    shared: Arc<AgentState>,
    feed_address: SocketAddr,
    settings: PathBuf,
}

impl Agent {
    /// An agent with the settings `boot`, which were read from the file `settings`.
    pub fn new(boot: &BootSettings, settings: PathBuf, log: Logger) -> Self {
        let mut directory = AddressDirectory::default();
        directory.set_seeds(seed_addresses(boot));
        let sources = SourceSelector::new(directory, fastrand::Rng::new());
        let identity = Identity { node: boot.node_name.clone(), ip: boot.ip, zone: boot.zone.clone() };
        let shared = Arc::new(AgentState::new(identity, Clock::start(), log, sources));
        let feed_address = SocketAddr::new(boot.ip, boot.agent_feed_port());
        Self { shared, feed_address, settings }
    }

    /// Runs for ever. Dropping the future closes all connections with the runtime. `reload` tells that the settings
    /// file has changed.
    pub async fn run(self, reload: Arc<Notify>) {
        let shared = self.shared;
        let serve_proxy = async {
            let listener = downstream::bind(&shared, self.feed_address).await;
            downstream::serve(Arc::clone(&shared), listener).await;
        };
        tokio::join!(
            upstream::supervise(Arc::clone(&shared)),
            seeds::watch(Arc::clone(&shared), self.settings, reload),
            serve_proxy,
        );
    }
}

/// Where the seeds take connections of agents: at their internal port, which is the same on all machines.
pub fn seed_addresses(boot: &BootSettings) -> Vec<SocketAddr> {
    boot.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), boot.internal_port())).collect()
}
