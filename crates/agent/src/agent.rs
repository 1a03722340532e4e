//! Assembles the agent's tasks and runs them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use dunelink_runtime::Clock;
use dunelink_settings::BootSettings;
use slog::Logger;
use tokio::sync::Notify;

use crate::directory::AddressDirectory;
use crate::sources::SourceSelector;
use crate::state::{AgentState, Identity};
use crate::{downstream, seeds, upstream};

/// An agent, ready to run.
#[derive(Debug)]
pub struct Agent {
    state: Arc<AgentState>,
    feed_address: SocketAddr,
    settings_path: PathBuf,
}

impl Agent {
    /// Creates an agent with the settings `boot`, which were read from the file `settings_path`.
    pub fn new(boot: &BootSettings, settings_path: PathBuf, log: Logger) -> Self {
        let mut directory = AddressDirectory::default();
        directory.set_seeds(seed_addresses(boot));
        let sources = SourceSelector::new(directory, fastrand::Rng::new());
        let identity = Identity { node: boot.node_name.clone(), ip: boot.ip, zone: boot.zone.clone() };
        let state = Arc::new(AgentState::new(identity, Clock::start(), log, sources));
        let feed_address = SocketAddr::new(boot.ip, boot.agent_feed_port());
        Self { state, feed_address, settings_path }
    }

    /// Runs for ever. Dropping the future aborts the tasks of all connections; the runtime then closes their
    /// sockets. A notification on `reload` makes the agent read the settings file again.
    pub async fn run(self, reload: Arc<Notify>) {
        let state = self.state;
        let serve_proxy = async {
            let listener = downstream::bind(&state, self.feed_address).await;
            downstream::serve(Arc::clone(&state), listener).await;
        };
        tokio::join!(
            upstream::supervise(Arc::clone(&state)),
            seeds::watch(Arc::clone(&state), self.settings_path, reload),
            serve_proxy,
        );
    }
}

/// Addresses at which the seeds accept connections of agents: the IP addresses of `seeds` with the internal
/// port, which is the same on all machines.
pub fn seed_addresses(boot: &BootSettings) -> Vec<SocketAddr> {
    boot.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), boot.internal_port())).collect()
}
