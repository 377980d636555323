//! Tasks that end with their owner.

use compio::runtime::JoinHandle;

/// Tasks that are cancelled when the set is dropped.
#[derive(Default)]
pub(crate) struct TaskSet {
    handles: Vec<JoinHandle<()>>,
}

impl TaskSet {
    /// Starts a task.
    pub(crate) fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        self.handles.retain(|handle| !handle.is_finished());
        self.handles.push(compio::runtime::spawn(task));
    }
}
