//! Threads of a lab.

use std::thread::{self, JoinHandle};

use comfreyturn_node::{NodeSettings, StopSignal, run_node};
use compio::runtime::Runtime;

use crate::{CtlError, Result};

/// A node that runs on its own thread.
pub(crate) struct LabNode {
    stop: flume::Sender<StopSignal>,
    thread: JoinHandle<Result<()>>,
}

impl LabNode {
    /// Starts a node.
    pub(crate) fn start(settings: NodeSettings) -> Result<Self> {
        let (stop, receiver) = flume::unbounded();
        let thread = start_thread(settings.node.to_string(), move || {
            let running = Runtime::new()?.block_on(run_node(settings, receiver));
            running.map_err(CtlError::Node)
        })?;
        Ok(Self { stop, thread })
    }

    /// Whether the node still runs.
    pub(crate) fn is_running(&self) -> bool {
        !self.thread.is_finished()
    }

    /// Stops the node without waiting for requests in progress.
    pub(crate) fn stop(&self) {
        for signal in [StopSignal::Graceful, StopSignal::Now] {
            let _ = self.stop.send(signal);
        }
    }

    /// Waits until the node has ended.
    pub(crate) fn join(self) -> Result<()> {
        join(self.thread)
    }
}

/// Starts a thread of a lab.
pub(crate) fn start_thread(
    name: String,
    body: impl FnOnce() -> Result<()> + Send + 'static,
) -> Result<JoinHandle<Result<()>>> {
    Ok(thread::Builder::new().name(name).spawn(body)?)
}

/// Waits until a thread has ended.
pub(crate) fn join(thread: JoinHandle<Result<()>>) -> Result<()> {
    thread.join().unwrap_or(Err(CtlError::LabPanicked))
}
