//! A running node, as its owner holds it.

use std::time::Duration;

use super::handle::Handle;
use crate::counts::Counts;

/// A running node. It ends when it is dropped: what is open is then answered as failed. [`Node::shutdown`]
/// gives it time.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// # let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// // Two nodes in one process share nothing.
/// let other = Node::builder(Config {
///     classes: vec![Class::new("order", Effect::Unsafe, Duration::from_secs(3))],
///     ..Config::default()
/// });
/// let other = other.start()?;
/// node.shutdown(Duration::from_secs(1)).await;
/// assert!(!other.handle().is_closed());
/// # Ok(()) }
/// ```
pub struct Node {
    pub(super) handle: Handle,
}

impl Node {
    /// The way to it, for as many owners as there are.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Takes nothing more, and waits until all that is open has its answer or `deadline` has passed: what is
    /// still open then is answered as failed. Tells how its requests ended.
    pub async fn shutdown(self, deadline: Duration) -> Counts {
        self.handle.shutdown(deadline).await
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.handle.close(Duration::ZERO);
    }
}
