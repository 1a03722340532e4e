//! Watches the settings file and applies changed seeds, on a reload signal or when the file changes.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use dunelink_settings::BootSettings;
use slog::{info, warn};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::agent::seed_addresses;
use crate::state::AgentState;

/// Time between two checks of the file without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the seeds again whenever the file changes or `reload` is notified, for ever. An invalid file leaves
/// the seeds unchanged.
pub async fn watch(state: Arc<AgentState>, path: PathBuf, reload: Arc<Notify>) {
    let mut last = file_stamp(&path);
    loop {
        let reload_requested = timeout(CHECK_INTERVAL, reload.notified()).await.is_ok();
        let current = file_stamp(&path);
        if reload_requested || current != last {
            last = current;
            reload_seeds(&state, &path);
        }
    }
}

/// Modification time and length of the file, which change when it is written. `None` if the file can't be
/// examined.
fn file_stamp(path: &Path) -> Option<(SystemTime, u64)> {
    let metadata = fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}

fn reload_seeds(state: &AgentState, path: &Path) {
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return warn!(state.log, "settings unreadable, seeds unchanged"; "reason" => %error),
    };
    match BootSettings::parse(&text, path) {
        Ok(boot) => {
            info!(state.log, "seeds loaded"; "seeds" => boot.seeds.len());
            state.set_seeds(seed_addresses(&boot));
        }
        Err(error) => warn!(state.log, "settings invalid, seeds unchanged"; "reason" => %error),
    }
}
