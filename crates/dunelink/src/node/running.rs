//! A running node, as its owner holds it.

use std::time::Duration;

use super::handle::Handle;
use crate::counts::Counts;

/// A running node. It ends when this is dropped: open requests are then answered as failed.
/// [`Node::shutdown`] gives them time to finish.
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
    /// The handle to the node, to be cloned for each user.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Accepts no more requests, and waits until all open ones are answered or `deadline`, counted from now,
    /// has passed; those that are then still open are answered as failed. Returns how requests ended.
    pub async fn shutdown(self, deadline: Duration) -> Counts {
        self.handle.shutdown(deadline).await
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.handle.close(Duration::ZERO);
    }
}
