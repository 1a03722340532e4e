use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::time::sleep;

use super::{Feed, Roster, RosterFuture};
use crate::config::{ConfigError, servers_from_toml};
use crate::server_list::Update;

/// A list in a TOML file of `[[servers]]` entries, read again when its text changes. A file that is missing or
/// wrong changes nothing and is logged once; so is one without any server, which is hardly ever meant.
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
    /// What it said last.
    last: Option<String>,
}

impl File {
    /// The list at `path`, looked at this often.
    ///
    /// Writers should replace the file by renaming a whole one over it: half a file is an error at best.
    pub fn new(path: impl Into<PathBuf>, every: Duration) -> File {
        File { path: path.into(), every: every.max(Duration::from_millis(10)), last: None }
    }
}

/// What the file says; only if it changed.
fn changed(path: &Path, last: &mut Option<String>) -> Option<Result<Update, String>> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return Some(Err(format!("{}: can't be read: {error}", path.display()))),
    };
    if last.as_ref() == Some(&text) {
        return None;
    }
    let read = servers_from_toml(&text).map_err(|e: ConfigError| e.in_file(path).to_string());
    *last = Some(text);
    Some(read.and_then(|update| match update.servers.is_empty() {
        true => Err(format!("{}: servers: expected at least one", path.display())),
        false => Ok(update),
    }))
}

impl Roster for File {
    fn known(&mut self) -> Option<Update> {
        let mut last = None;
        let read = changed(&self.path, &mut last)?.ok()?;
        self.last = last;
        Some(read)
    }

    fn run(mut self: Box<Self>, mut feed: Feed) -> RosterFuture {
        Box::pin(async move {
            let (mut last, mut complaint) = (self.last.take(), None);
            loop {
                let (path, mut text) = (self.path.clone(), last.take());
                // A slow disk must not hold up the engine.
                let looked = tokio::task::spawn_blocking(move || {
                    let read = changed(&path, &mut text);
                    (read, text)
                });
                let Ok((read, text)) = looked.await else { return };
                last = text;
                match read {
                    Some(Ok(update)) => {
                        complaint = None;
                        feed.update(&update);
                    }
                    Some(Err(why)) if complaint.as_ref() != Some(&why) => {
                        feed.log(format_args!("{why}; the list stays as it was"));
                        complaint = Some(why);
                    }
                    _ => {}
                }
                sleep(self.every).await;
            }
        })
    }
}
