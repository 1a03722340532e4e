use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::time::sleep;

use super::{Feed, Roster, RosterFuture};
use crate::config::{ConfigError, servers_from_toml};
use crate::server_list::Update;

/// A server list in a TOML file of `[[servers]]` entries, read again when its text changes. If the file is
/// missing, malformed or without any server (which is hardly ever intended), the list stays as it was and the
/// error is logged once.
///
/// ```
/// use dunelink::roster::{File, Roster};
///
/// let path = std::env::temp_dir().join(format!("servers-{}.toml", std::process::id()));
/// std::fs::write(&path, "[[servers]]\nuid = \"s-1\"\nendpoint = \"127.0.0.1:9001\"\n")?;
/// let mut roster = File::new(&path, std::time::Duration::from_secs(1));
/// assert_eq!(roster.known().map(|list| list.servers.len()), Some(1));
/// std::fs::remove_file(&path)?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct File {
    path: PathBuf,
    every: Duration,
    /// The text read last, or `None` before the first read.
    last_text: Option<String>,
}

impl File {
    /// The list at `path`, which is checked at this interval, but no more often than every 10 ms.
    ///
    /// Writers should replace the file by renaming a complete one over it: a half-written file is an error at
    /// best.
    pub fn new(path: impl Into<PathBuf>, every: Duration) -> File {
        File { path: path.into(), every: every.max(Duration::from_millis(10)), last_text: None }
    }
}

/// Reads the file; `None` if its text is the same as `last_text`.
fn read_if_changed(path: &Path, last_text: &mut Option<String>) -> Option<Result<Update, String>> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return Some(Err(format!("{}: can't be read: {error}", path.display()))),
    };
    if last_text.as_ref() == Some(&text) {
        return None;
    }
    let read = servers_from_toml(&text).map_err(|e: ConfigError| e.in_file(path).to_string());
    *last_text = Some(text);
    Some(read.and_then(|update| match update.servers.is_empty() {
        true => Err(format!("{}: servers: expected at least one", path.display())),
        false => Ok(update),
    }))
}

impl Roster for File {
    fn known(&mut self) -> Option<Update> {
        let mut last_text = None;
        let read = read_if_changed(&self.path, &mut last_text)?.ok()?;
        self.last_text = last_text;
        Some(read)
    }

    fn run(mut self: Box<Self>, mut feed: Feed) -> RosterFuture {
        Box::pin(async move {
            let (mut last_text, mut last_error) = (self.last_text.take(), None);
            loop {
                let (path, mut text) = (self.path.clone(), last_text.take());
                // A slow disk must not block the engine's thread.
                let checked = tokio::task::spawn_blocking(move || {
                    let read = read_if_changed(&path, &mut text);
                    (read, text)
                });
                let Ok((read, text)) = checked.await else { return };
                last_text = text;
                match read {
                    Some(Ok(update)) => {
                        last_error = None;
                        feed.update(&update);
                    }
                    Some(Err(error)) if last_error.as_ref() != Some(&error) => {
                        feed.log(format_args!("{error}; the list stays as it was"));
                        last_error = Some(error);
                    }
                    _ => {}
                }
                sleep(self.every).await;
            }
        })
    }
}
