//! Threads with a runtime of their own.

use std::future::Future;
use std::io;

use tokio::task::LocalSet;

/// Runs a future that is made there on a thread with a runtime of its own.
pub(crate) fn spawn_local_thread<F>(
    name: String,
    make_future: impl FnOnce() -> F + Send + 'static,
) -> io::Result<()>
where
    F: Future<Output = ()> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new()
        // Linux cuts names at 15 bytes; one with a NUL would panic.
        .name(name.chars().filter(|c| *c != '\0').collect())
        .spawn(move || LocalSet::new().block_on(&runtime, async move { make_future().await }))?;
    Ok(())
}
