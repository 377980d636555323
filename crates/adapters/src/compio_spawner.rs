//! Tasks of the compio runtime.

use comfreyturn_ports::Spawner;
use futures_util::future::LocalBoxFuture;

/// Starts tasks on the current compio runtime.
#[derive(Clone, Copy, Debug, Default)]
pub struct CompioSpawner;

impl Spawner for CompioSpawner {
    fn spawn(&self, task: LocalBoxFuture<'static, ()>) {
        compio::runtime::spawn(task).detach();
    }
}
