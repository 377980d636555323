//! Requests to backend servers in memory.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use comfreyturn_ports::{
    BackendError, BackendResult, BackendTransport, CompletionAttempt, CompletionEvent,
    CompletionStream, PlainRequest, PlainResponse, Step,
};
use comfreyturn_types::{GroupGeneration, GroupId, Incarnation, NodeId, StreamId, VmId};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, StatusCode};

use super::{
    FaultEndpoint, FaultPlan,
    fault_plan::{CallFate, RequestFate},
    memory_runs::{CompletionRun, PlainRun, milliseconds},
};
use crate::{ExecutionEnd, ExecutionRecord, PlainEcho, PlainExecution, content_hash, output_token};

/// Header of a request that must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// When to come back after a batch was full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How a backend server in memory behaves.
#[derive(Clone, Debug)]
pub struct MemoryBackendSettings {
    /// The VM that it runs on.
    pub vm: VmId,

    /// The group and generation that it serves as the first VM. None serves any.
    pub place: Option<(GroupId, GroupGeneration)>,

    /// Completions that run at once.
    pub capacity: u32,

    /// Time from a dispatch to the first token.
    pub first_token_delay: Duration,

    /// Time between tokens.
    pub token_interval: Duration,

    /// Time that a plain request takes.
    pub plain_delay: Duration,

    /// The backend server crashes when it runs a prompt or body that contains this.
    pub crash_marker: Option<String>,
}

impl Default for MemoryBackendSettings {
    fn default() -> Self {
        Self {
            vm: VmId::from("vm-1"),
            place: None,
            capacity: 32,
            first_token_delay: Duration::from_millis(20),
            token_interval: Duration::from_millis(10),
            plain_delay: Duration::from_millis(20),
            crash_marker: None,
        }
    }
}

/// A backend server.
struct MemoryBackend {
    settings: MemoryBackendSettings,
    incarnation: Incarnation,
    is_alive: bool,
    leaving: bool,
    rejects_with: Option<u16>,
    completions: Vec<CompletionRun>,
    plains: Vec<PlainRun>,
}

impl MemoryBackend {
    fn is_marked(&self, content: &str) -> bool {
        self.settings.crash_marker.as_ref().is_some_and(|marker| content.contains(marker))
    }

    fn end_runs(&mut self, now: Duration, end: ExecutionEnd) {
        for run in &mut self.completions {
            run.cut_short(now, end);
        }
        for run in &mut self.plains {
            run.cut_short(now, end);
        }
    }

    fn run_mut(&mut self, stream: &StreamId) -> Option<&mut CompletionRun> {
        self.completions.iter_mut().find(|run| run.attempt.stream == *stream)
    }

    /// Whether an attempt may start.
    fn check(&self, now: Duration, attempt: &CompletionAttempt) -> BackendResult<()> {
        let is_known = self.completions.iter().any(|run| run.attempt.stream == attempt.stream);
        let place = (attempt.group.clone(), attempt.generation);
        let is_placed = self.settings.place.as_ref().is_none_or(|held| *held == place);
        if self.leaving || !is_placed {
            return Err(BackendError::NotStarted { retry_after: None });
        }
        if let Some(status) = self.rejects_with {
            return Err(BackendError::Rejected { status });
        }
        if is_known {
            return Err(BackendError::Rejected { status: StatusCode::BAD_REQUEST.as_u16() });
        }
        let mut delivered = (0..).zip(&attempt.delivered);
        if delivered.any(|(position, text)| *text != output_token(&attempt.prompt, position)) {
            let status = StatusCode::UNPROCESSABLE_ENTITY.as_u16();
            return Err(BackendError::Rejected { status });
        }
        let running = self.completions.iter().filter(|run| run.is_running(now)).count();
        if running >= usize::try_from(self.settings.capacity).unwrap_or(usize::MAX) {
            return Err(BackendError::NotStarted { retry_after: Some(FULL_RETRY_AFTER) });
        }
        Ok(())
    }

    fn start(&mut self, now: Duration, attempt: &CompletionAttempt) -> BackendResult<()> {
        self.check(now, attempt)?;
        self.completions.push(CompletionRun {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            attempt: attempt.clone(),
            started: now,
            first_token_delay: self.settings.first_token_delay,
            token_interval: self.settings.token_interval,
            stop: None,
        });
        Ok(())
    }

    fn start_plain(&mut self, now: Duration, request: &PlainRequest) -> BackendResult<PlainEcho> {
        if self.leaving {
            return Err(BackendError::NotStarted { retry_after: None });
        }
        let head = &request.head;
        let key = head.headers.get(IDEMPOTENCY_KEY).and_then(|key| key.to_str().ok());
        let path = head.uri.path_and_query().map_or_else(String::new, ToString::to_string);
        let echo = PlainEcho {
            method: head.method.to_string(),
            path,
            body_hash: content_hash(&request.body),
            execution: u64::try_from(self.plains.len()).unwrap_or(u64::MAX) + 1,
        };
        let record = PlainExecution {
            vm: self.settings.vm.clone(),
            execution: echo.execution,
            key: key.map(str::to_owned),
            method: echo.method.clone(),
            path: echo.path.clone(),
            body_hash: echo.body_hash,
            started_ms: milliseconds(now),
            ended_ms: None,
            end: ExecutionEnd::Running,
        };
        let whole_at = now + self.settings.plain_delay;
        self.plains.push(PlainRun { record, whole_at, stop: None });
        Ok(echo)
    }
}

/// Backend servers in memory. Clones share them.
#[derive(Clone)]
pub struct MemoryBackends {
    plan: FaultPlan,
    backends: Rc<RefCell<BTreeMap<SocketAddr, MemoryBackend>>>,

    /// Backend servers that were replaced, for their records.
    replaced: Rc<RefCell<Vec<MemoryBackend>>>,
}

impl MemoryBackends {
    /// No backend servers yet.
    pub fn new(plan: &FaultPlan) -> Self {
        Self { plan: plan.clone(), backends: Rc::default(), replaced: Rc::default() }
    }

    /// Starts a backend server, in place of an earlier one at the same address.
    pub fn start(&self, address: SocketAddr, settings: MemoryBackendSettings) {
        self.kill(address);
        let backend = MemoryBackend {
            settings,
            incarnation: self.plan.next_incarnation(),
            is_alive: true,
            leaving: false,
            rejects_with: None,
            completions: Vec::new(),
            plains: Vec::new(),
        };
        let replaced = self.backends.borrow_mut().insert(address, backend);
        self.replaced.borrow_mut().extend(replaced);
    }

    /// Ends a backend server, and all that runs there.
    pub fn kill(&self, address: SocketAddr) {
        self.end(address, ExecutionEnd::Crashed);
    }

    /// Breaks all that runs at a backend server, as when its group loses a member.
    pub fn break_runs(&self, address: SocketAddr) {
        let now = self.now();
        self.with_backend(address, |backend| backend.end_runs(now, ExecutionEnd::Broken));
    }

    /// Sets the group that a backend server serves.
    pub fn set_place(&self, address: SocketAddr, place: Option<(GroupId, GroupGeneration)>) {
        self.with_backend(address, |backend| backend.settings.place = place);
    }

    /// Lets a backend server start nothing more.
    pub fn set_leaving(&self, address: SocketAddr) {
        self.with_backend(address, |backend| backend.leaving = true);
    }

    /// Lets a model engine answer each new attempt with an error status.
    pub fn set_rejecting(&self, address: SocketAddr, status: Option<u16>) {
        self.with_backend(address, |backend| backend.rejects_with = status);
    }

    /// The run of the backend server that listens at an address now.
    pub fn live_incarnation(&self, address: SocketAddr) -> Option<Incarnation> {
        let backends = self.backends.borrow();
        let backend = backends.get(&address).filter(|backend| backend.is_alive)?;
        Some(backend.incarnation)
    }

    /// All runs of completions, by address and then in order.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        let now = self.now();
        self.collect(|backend| backend.completions.iter().map(|run| run.record(now)).collect())
    }

    /// All runs at plain services, by address and then in order.
    pub fn plain_executions(&self) -> Vec<PlainExecution> {
        let now = self.now();
        self.collect(|backend| backend.plains.iter().map(|run| run.record(now)).collect())
    }

    /// The backend servers as a node calls them.
    pub fn for_node(&self, node: &NodeId) -> Rc<dyn BackendTransport> {
        Rc::new(NodeBackends { backends: self.clone(), node: node.clone() })
    }

    fn now(&self) -> Duration {
        self.plan.manual_clock().elapsed()
    }

    fn end(&self, address: SocketAddr, end: ExecutionEnd) {
        let now = self.now();
        self.with_backend(address, |backend| {
            backend.end_runs(now, end);
            backend.is_alive = false;
        });
    }

    fn end_later(&self, address: SocketAddr, delay: Duration) {
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

    fn incarnation(&self, address: SocketAddr) -> Option<Incarnation> {
        self.backends.borrow().get(&address).map(|backend| backend.incarnation)
    }

    fn with_backend<T>(
        &self,
        address: SocketAddr,
        change: impl FnOnce(&mut MemoryBackend) -> T,
    ) -> Option<T> {
        self.backends.borrow_mut().get_mut(&address).map(change)
    }

    /// Changes a backend server that is there, or says that it was not reached.
    fn with_live<T>(
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

    /// The event at a position, once it is there.
    async fn event(
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

/// The backend servers as a node calls them.
#[derive(Clone)]
struct NodeBackends {
    backends: MemoryBackends,
    node: NodeId,
}

impl NodeBackends {
    async fn pass(&self, step: Step, address: SocketAddr) -> BackendResult<CallFate> {
        let plan = &self.backends.plan;
        let fate = plan.pass(step, &self.node, &FaultEndpoint::Address(address)).await;
        match fate.request {
            RequestFate::Arrives => Ok(fate),
            RequestFate::NotSent => Err(BackendError::NotSent),
            RequestFate::Vanishes => {
                plan.wait_in_vain().await;
                Err(BackendError::Broken)
            }
        }
    }

    /// Waits where the answer is late or lost.
    async fn end_call(&self, fate: CallFate) -> BackendResult<()> {
        let plan = &self.backends.plan;
        if fate.loses_answer {
            plan.wait_in_vain().await;
            return Err(BackendError::Broken);
        }
        if fate.is_duplicate {
            plan.sleep(plan.settings().late).await;
        }
        Ok(())
    }

    fn events(&self, address: SocketAddr, stream: &StreamId, position: u32) -> CompletionStream {
        let reader = EventReader {
            transport: self.clone(),
            address,
            stream: stream.clone(),
            position,
            is_over: false,
        };
        stream::unfold(reader, EventReader::next).boxed_local()
    }
}

#[async_trait(?Send)]
impl BackendTransport for NodeBackends {
    async fn complete(
        &self,
        step: Step,
        address: SocketAddr,
        attempt: &CompletionAttempt,
    ) -> BackendResult<CompletionStream> {
        let fate = self.pass(step, address).await?;
        let now = self.backends.now();
        let crash_delay = self.backends.with_live(address, |backend| {
            backend.start(now, attempt)?;
            let is_marked = backend.is_marked(&attempt.prompt);
            Ok(is_marked.then_some(backend.settings.first_token_delay))
        })?;
        if let Some(delay) = crash_delay {
            self.backends.end_later(address, delay);
        }
        self.end_call(fate).await?;
        let first = u32::try_from(attempt.delivered.len()).unwrap_or(u32::MAX);
        Ok(self.events(address, &attempt.stream, first))
    }

    async fn resume(
        &self,
        step: Step,
        address: SocketAddr,
        stream: &StreamId,
        position: u32,
    ) -> BackendResult<CompletionStream> {
        let fate = self.pass(step, address).await?;
        self.backends.with_live(address, |backend| match backend.run_mut(stream) {
            Some(run) if run.stop.is_none() && run.first() <= position => Ok(()),
            _ => Err(BackendError::UnknownStream),
        })?;
        self.end_call(fate).await?;
        Ok(self.events(address, stream, position))
    }

    async fn cancel(
        &self,
        step: Step,
        address: SocketAddr,
        stream: &StreamId,
    ) -> BackendResult<()> {
        let fate = self.pass(step, address).await?;
        let now = self.backends.now();
        self.backends.with_live(address, |backend| {
            let run = backend.run_mut(stream).ok_or(BackendError::UnknownStream)?;
            run.cut_short(now, ExecutionEnd::Cancelled);
            Ok(())
        })?;
        self.end_call(fate).await
    }

    async fn call(
        &self,
        step: Step,
        address: SocketAddr,
        request: &PlainRequest,
    ) -> BackendResult<PlainResponse> {
        let fate = self.pass(step, address).await?;
        let now = self.backends.now();
        let body = String::from_utf8_lossy(&request.body);
        let (echo, delay, is_marked) = self.backends.with_live(address, |backend| {
            let echo = backend.start_plain(now, request)?;
            Ok((echo, backend.settings.plain_delay, backend.is_marked(&body)))
        })?;
        let incarnation = self.backends.incarnation(address);
        if is_marked {
            self.backends.end_later(address, delay / 2);
        }
        self.backends.plan.sleep(delay).await;
        let is_same = self.backends.incarnation(address) == incarnation;
        let is_whole = self.backends.with_live(address, |backend| {
            let run = backend.plains.iter().find(|run| run.record.execution == echo.execution);
            Ok(run.is_some_and(|run| run.stop.is_none()))
        });
        if !is_same || is_whole != Ok(true) {
            return Err(BackendError::Broken);
        }
        self.end_call(fate).await?;
        plain_response(&echo)
    }
}

fn plain_response(echo: &PlainEcho) -> BackendResult<PlainResponse> {
    let body = serde_json::to_vec(echo).map_err(|_| BackendError::Broken)?;
    Ok(PlainResponse { status: StatusCode::OK, headers: HeaderMap::new(), body: Bytes::from(body) })
}

/// Reads a stream event by event.
struct EventReader {
    transport: NodeBackends,
    address: SocketAddr,
    stream: StreamId,
    position: u32,
    is_over: bool,
}

impl EventReader {
    async fn next(mut self) -> Option<(BackendResult<CompletionEvent>, Self)> {
        if self.is_over {
            return None;
        }
        let event = self.read().await;
        self.is_over = !matches!(event, Ok(CompletionEvent::Token(_)));
        self.position += 1;
        Some((event, self))
    }

    async fn read(&self) -> BackendResult<CompletionEvent> {
        let fate = self.transport.pass(Step::RequestStream, self.address).await;
        let fate = fate.map_err(|_| BackendError::Broken)?;
        self.transport.end_call(fate).await?;
        let backends = &self.transport.backends;
        backends.event(self.address, &self.stream, self.position).await
    }
}
