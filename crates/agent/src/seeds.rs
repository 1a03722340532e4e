//! Follows the settings file: seeds may change with a signal or without.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use dunelink_settings::BootSettings;
use slog::{info, warn};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::agent::seed_addresses;
use crate::shared::AgentState;

/// How often the file is looked at without a signal.
const LOOK_PERIOD: Duration = Duration::from_secs(1);

/// Reads the seeds anew whenever the file changes or `reload` rings, for ever. A file that can't be used leaves the
/// seeds as they are.
pub async fn watch(shared: Arc<AgentState>, path: PathBuf, reload: Arc<Notify>) {
    let mut seen = stamp(&path);
    loop {
        let rung = timeout(LOOK_PERIOD, reload.notified()).await.is_ok();
        let found = stamp(&path);
        if rung || found != seen {
            seen = found;
            read(&shared, &path);
        }
    }
}

/// What tells that a file was written.
fn stamp(path: &Path) -> Option<(SystemTime, u64)> {
    let metadata = fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}

fn read(shared: &AgentState, path: &Path) {
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return warn!(shared.log, "settings can't be read, the seeds stay"; "reason" => %error),
    };
    match BootSettings::parse(&text, path) {
        Ok(boot) => {
            info!(shared.log, "seeds read"; "seeds" => boot.seeds.len());
            shared.set_seeds(seed_addresses(&boot));
        }
        Err(error) => warn!(shared.log, "settings can't be used, the seeds stay"; "reason" => %error),
    }
}
