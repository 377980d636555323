//! In-memory backend servers.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use comfreyturn_ports::{BackendError, BackendResult, BackendTransport, CompletionEvent};
use comfreyturn_types::{GroupGeneration, GroupId, Incarnation, NodeId, StreamId};

use super::{
    FaultPlan, MemoryBackendSettings, memory_backend::MemoryBackend, memory_runs::CompletionRun,
    node_backends::NodeBackends,
};
use crate::{ExecutionEnd, ExecutionRecord, PlainExecution};

/// In-memory backend servers, by address. Clones share them.
#[derive(Clone)]
pub struct MemoryBackends {
    pub(super) plan: FaultPlan,
    backends: Rc<RefCell<BTreeMap<SocketAddr, MemoryBackend>>>,

    /// Replaced backend servers, kept for the records of their runs.
    replaced: Rc<RefCell<Vec<MemoryBackend>>>,
}

impl MemoryBackends {
    /// No backend servers yet.
    pub fn new(plan: &FaultPlan) -> Self {
        Self { plan: plan.clone(), backends: Rc::default(), replaced: Rc::default() }
    }

    /// Starts a backend server, replacing one at the same address.
    pub fn start(&self, address: SocketAddr, settings: MemoryBackendSettings) {
        self.kill(address);
        let backend = MemoryBackend::new(settings, self.plan.next_incarnation());
        let replaced = self.backends.borrow_mut().insert(address, backend);
        self.replaced.borrow_mut().extend(replaced);
    }

    /// Kills a backend server, and ends its runs.
    pub fn kill(&self, address: SocketAddr) {
        self.end(address, ExecutionEnd::Crashed);
    }

    /// Breaks all runs at a backend server, as happens when its group loses a member.
    pub fn break_runs(&self, address: SocketAddr) {
        let now = self.now();
        self.with_backend(address, |backend| backend.end_runs(now, ExecutionEnd::Broken));
    }

    /// Sets the group that a backend server serves.
    pub fn set_place(&self, address: SocketAddr, place: Option<(GroupId, GroupGeneration)>) {
        self.with_backend(address, |backend| backend.settings.place = place);
    }

    /// Makes a backend server refuse all new requests.
    pub fn set_leaving(&self, address: SocketAddr) {
        self.with_backend(address, |backend| backend.leaving = true);
    }

    /// Makes a model engine reject each new attempt with this status; `None` ends this.
    pub fn set_rejecting(&self, address: SocketAddr, status: Option<u16>) {
        self.with_backend(address, |backend| backend.rejects_with = status);
    }

    /// The incarnation of the backend server that is alive at an address.
    pub fn live_incarnation(&self, address: SocketAddr) -> Option<Incarnation> {
        let backends = self.backends.borrow();
        let backend = backends.get(&address).filter(|backend| backend.is_alive)?;
        Some(backend.incarnation)
    }

    /// All runs of completions: first of replaced servers, then by address; each in order of start.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        let now = self.now();
        self.collect(|backend| backend.completions.iter().map(|run| run.record(now)).collect())
    }

    /// All runs at plain services, in the same order as [`MemoryBackends::executions`].
    pub fn plain_executions(&self) -> Vec<PlainExecution> {
        let now = self.now();
        self.collect(|backend| backend.plains.iter().map(|run| run.record(now)).collect())
    }

    /// The backend servers as a node calls them.
    pub fn for_node(&self, node: &NodeId) -> Rc<dyn BackendTransport> {
        Rc::new(NodeBackends { backends: self.clone(), node: node.clone() })
    }

    pub(super) fn now(&self) -> Duration {
        self.plan.manual_clock().elapsed()
    }

    fn end(&self, address: SocketAddr, end: ExecutionEnd) {
        let now = self.now();
        self.with_backend(address, |backend| {
            backend.end_runs(now, end);
            backend.is_alive = false;
        });
    }

    pub(super) fn kill_later(&self, address: SocketAddr, delay: Duration) {
        let backends = self.clone();
        let incarnation = self.incarnation(address);
        let sleep = self.plan.sleep(delay);
        self.plan.run_task(async move {
            sleep.await;
            if backends.incarnation(address) == incarnation {
                backends.kill(address);
            }
        });
    }

    pub(super) fn incarnation(&self, address: SocketAddr) -> Option<Incarnation> {
        self.backends.borrow().get(&address).map(|backend| backend.incarnation)
    }

    fn with_backend<T>(
        &self,
        address: SocketAddr,
        change: impl FnOnce(&mut MemoryBackend) -> T,
    ) -> Option<T> {
        self.backends.borrow_mut().get_mut(&address).map(change)
    }

    /// Changes a live backend server; [`BackendError::NotSent`] if there is none at the address.
    pub(super) fn with_live<T>(
        &self,
        address: SocketAddr,
        change: impl FnOnce(&mut MemoryBackend) -> BackendResult<T>,
    ) -> BackendResult<T> {
        let mut backends = self.backends.borrow_mut();
        let backend = backends.get_mut(&address).filter(|backend| backend.is_alive);
        change(backend.ok_or(BackendError::NotSent)?)
    }

    fn collect<T>(&self, records: impl Fn(&MemoryBackend) -> Vec<T>) -> Vec<T> {
        let replaced = self.replaced.borrow();
        let backends = self.backends.borrow();
        replaced.iter().chain(backends.values()).flat_map(records).collect()
    }

    /// Waits for the event at a position.
    pub(super) async fn event(
        &self,
        address: SocketAddr,
        stream: &StreamId,
        position: u32,
    ) -> BackendResult<CompletionEvent> {
        loop {
            let now = self.now();
            let at = self.with_run(address, stream, |run| {
                run.stop.is_none().then(|| run.event_at(position))
            });
            let at = at?.ok_or(BackendError::Broken)?;
            if at <= now {
                return self.with_run(address, stream, |run| run.event(position));
            }
            self.plan.sleep(at - now).await;
        }
    }

    fn with_run<T>(
        &self,
        address: SocketAddr,
        stream: &StreamId,
        read: impl FnOnce(&mut CompletionRun) -> T,
    ) -> BackendResult<T> {
        let read = self.with_live(address, |backend| {
            backend.run_mut(stream).map(read).ok_or(BackendError::Broken)
        });
        read.map_err(|_| BackendError::Broken)
    }
}
