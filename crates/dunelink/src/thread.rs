//! Threads with their own tokio runtime.

use std::future::Future;
use std::io;

use tokio::task::LocalSet;

/// Spawns a thread with its own single-threaded runtime and `LocalSet`, which runs the future that
/// `make_future` creates on it.
pub(crate) fn spawn_local_thread<F>(
    name: String,
    make_future: impl FnOnce() -> F + Send + 'static,
) -> io::Result<()>
where
    F: Future<Output = ()> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new()
        // Linux truncates thread names to 15 bytes; a name with a NUL would panic.
        .name(name.chars().filter(|c| *c != '\0').collect())
        .spawn(move || LocalSet::new().block_on(&runtime, async move { make_future().await }))?;
    Ok(())
}
