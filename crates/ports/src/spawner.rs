//! Starting tasks.

use futures_util::future::LocalBoxFuture;

/// Starts tasks on the node's thread.
pub trait Spawner {
    /// Runs a task until it ends by itself, or until the node stops.
    fn spawn(&self, task: LocalBoxFuture<'static, ()>);
}
