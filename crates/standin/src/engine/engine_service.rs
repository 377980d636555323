//! What a model engine holds and does.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use comfreyturn_ports::{CompletionAttempt, EngineOrder};
use comfreyturn_types::{
    AdapterName, FencingNumber, GroupAssignment, Incarnation, ModelName, ModelVersionName,
    StreamId, VmPhase, VmRecord, VmReport, VmRole,
};
use http::{HeaderValue, Method, StatusCode, header, request::Parts};

use super::{
    batch_queue::{BatchPlace, BatchQueue},
    member_watch::MemberWatch,
    stream_log::{StreamEnd, StreamLog},
};
use crate::{
    EngineRecords, EngineSettings, ExecutionEnd, ExecutionRecord, PlaceRecord, RunJournal,
    content_hash, finish_reason,
    http_client::json_call,
    http_server::{
        HttpAnswer, HttpHandler, empty_answer, error_answer, event_answer, json_answer, json_body,
        malformed_answer,
    },
    output_length, output_token,
    run_records::run_time_ms,
    task_set::TaskSet,
};

/// Time limit of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause before a call to the platform is made again.
const PLATFORM_RETRY: Duration = Duration::from_millis(200);

/// Parts in which weights are loaded, so that engines share the weight store evenly.
const WEIGHT_PARTS: u64 = 20;

/// When to come back after the queue was full, in seconds.
const QUEUE_RETRY_AFTER: &str = "1";

/// What stands in the accelerators' memory.
type LoadedWeights = (ModelName, ModelVersionName, Vec<AdapterName>);

/// A model engine's place in a group.
#[derive(Default)]
struct EnginePlace {
    fencing: FencingNumber,
    assignment: Option<GroupAssignment>,
    loaded: Option<LoadedWeights>,

    /// Whether all members were there at the last check.
    is_whole: bool,
}

impl EnginePlace {
    fn phase(&self) -> VmPhase {
        match &self.assignment {
            None => VmPhase::Idle,
            Some(assignment) if self.loaded == Some(weights_of(assignment)) => VmPhase::Ready,
            Some(_) => VmPhase::Loading,
        }
    }
}

/// What a model engine holds and does.
pub(crate) struct EngineService {
    settings: EngineSettings,
    address: SocketAddr,
    incarnation: Incarnation,
    leaving: Cell<bool>,
    place: RefCell<EnginePlace>,
    members: MemberWatch,
    queue: Rc<BatchQueue>,
    streams: RefCell<BTreeMap<StreamId, Rc<StreamLog>>>,
    stream_tasks: RefCell<TaskSet>,
    place_tasks: RefCell<TaskSet>,
    announce_tasks: RefCell<TaskSet>,
    journal: RunJournal<EngineRecords>,
    crash: flume::Sender<()>,
}

impl EngineService {
    /// An idle engine.
    pub(crate) fn new(
        settings: EngineSettings,
        address: SocketAddr,
        crash: flume::Sender<()>,
    ) -> Self {
        let queue =
            BatchQueue::new(Instant::now(), settings.batch_capacity, settings.queue_capacity);
        Self {
            members: MemberWatch::new(&settings),
            settings,
            address,
            incarnation: Incarnation::random(),
            leaving: Cell::new(false),
            place: RefCell::default(),
            queue: Rc::new(queue),
            streams: RefCell::default(),
            stream_tasks: RefCell::default(),
            place_tasks: RefCell::default(),
            announce_tasks: RefCell::default(),
            journal: RunJournal::default(),
            crash,
        }
    }

    /// The engine's records.
    pub(crate) fn journal(&self) -> RunJournal<EngineRecords> {
        self.journal.clone()
    }

    /// Puts the VM on the platform's list, as it is now.
    pub(crate) fn announce(&self) {
        let Some(platform) = self.settings.platform else {
            return;
        };
        let record = VmRecord {
            vm: self.settings.vm.clone(),
            role: VmRole::Engine { accelerators: self.settings.accelerators },
            address: self.address,
            failure_domain: self.settings.failure_domain.clone(),
            fabric_domain: self.settings.fabric_domain.clone(),
            leaving: self.leaving.get(),
        };
        self.announce_tasks.borrow_mut().spawn(announce_vm(platform, record));
    }

    /// Ends all tasks. Those hold the engine, which would otherwise never go away.
    pub(crate) fn end_tasks(&self) {
        drop(self.stream_tasks.take());
        drop(self.place_tasks.take());
        drop(self.announce_tasks.take());
    }

    fn report(&self) -> VmReport {
        let place = self.place.borrow();
        VmReport {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            phase: place.phase(),
            leaving: self.leaving.get(),
            assignment: place.assignment.clone(),
            fencing: self.settings.checks_fencing.then_some(place.fencing),
            load: self.queue.load(Instant::now(), self.settings.load_lag),
        }
    }

    fn leave(&self) -> HttpAnswer {
        if !self.leaving.replace(true) {
            self.journal.write(|records| records.leaving_ms = Some(run_time_ms()));
            self.announce();
        }
        empty_answer(StatusCode::NO_CONTENT)
    }

    // ------------------------------------------------------------------------------------------
    // Orders

    fn order(self: &Rc<Self>, body: &[u8]) -> HttpAnswer {
        let Some(order) = json_body::<EngineOrder>(body) else {
            return malformed_answer();
        };
        let seen = self.place.borrow().fencing;
        if self.settings.checks_fencing && order.fencing < seen {
            self.journal.write(|records| records.fenced_orders += 1);
            let refusal = serde_json::json!({ "error": "fenced", "seen": seen });
            return json_answer(StatusCode::CONFLICT, &refusal);
        }
        self.place.borrow_mut().fencing = order.fencing;
        if self.place.borrow().assignment != order.assignment {
            self.take_place(order);
        }
        empty_answer(StatusCode::NO_CONTENT)
    }

    fn take_place(self: &Rc<Self>, order: EngineOrder) {
        drop(self.place_tasks.take());
        self.break_streams();
        let record = PlaceRecord {
            vm: self.settings.vm.clone(),
            at_ms: run_time_ms(),
            fencing: order.fencing,
            assignment: order.assignment.clone(),
        };
        self.journal.write(|records| records.places.push(record));
        self.set_assignment(order.assignment.clone());
        let Some(assignment) = order.assignment else {
            return;
        };
        let engine = self.clone();
        self.place_tasks.borrow_mut().spawn(async move { engine.hold_place(assignment).await });
    }

    fn set_assignment(&self, assignment: Option<GroupAssignment>) {
        let mut place = self.place.borrow_mut();
        place.is_whole = false;
        place.assignment = assignment;
    }

    async fn hold_place(&self, assignment: GroupAssignment) {
        let weights = weights_of(&assignment);
        if self.place.borrow().loaded.as_ref() != Some(&weights) {
            self.place.borrow_mut().loaded = None;
            self.load_weights().await;
            self.place.borrow_mut().loaded = Some(weights);
        }
        if assignment.members.first() != Some(&self.settings.vm) {
            return;
        }
        loop {
            self.check_members(&assignment).await;
            compio::time::sleep(self.settings.member_period).await;
        }
    }

    async fn check_members(&self, assignment: &GroupAssignment) -> bool {
        let is_whole = self.members.is_whole(&self.settings, assignment).await;
        let was_whole = std::mem::replace(&mut self.place.borrow_mut().is_whole, is_whole);
        if was_whole && !is_whole {
            log::info!("engine: {} lost a member of {}.", self.settings.vm, assignment.group);
            self.break_streams();
        }
        is_whole
    }

    async fn load_weights(&self) {
        let Some(platform) = self.settings.platform else {
            return self.load_alone().await;
        };
        let part = serde_json::json!({ "bytes": self.settings.weight_bytes / WEIGHT_PARTS });
        for _ in 0..WEIGHT_PARTS {
            call_until_done(platform, "/weights", &part).await;
        }
    }

    async fn load_alone(&self) {
        let rate = self.settings.weight_bytes_per_second;
        if rate > 0 {
            let duration = Duration::from_secs_f64(self.settings.weight_bytes as f64 / rate as f64);
            compio::time::sleep(duration).await;
        }
    }

    // ------------------------------------------------------------------------------------------
    // Streams

    async fn complete(self: &Rc<Self>, body: &[u8]) -> HttpAnswer {
        let Some(attempt) = json_body::<CompletionAttempt>(body) else {
            return malformed_answer();
        };
        if !self.serves(&attempt).await {
            self.journal.write(|records| records.not_started_ms.push(run_time_ms()));
            return error_answer(StatusCode::CONFLICT, "not-started");
        }
        if self.streams.borrow().contains_key(&attempt.stream) {
            return error_answer(StatusCode::BAD_REQUEST, "duplicate-stream");
        }
        if !delivered_fits(&attempt) {
            self.journal.write(|records| records.foreign_output += 1);
            return error_answer(StatusCode::UNPROCESSABLE_ENTITY, "foreign-output");
        }
        let Some(place) = self.queue.enter(attempt.priority) else {
            self.journal.write(|records| records.not_started_ms.push(run_time_ms()));
            return refuse_for_now();
        };
        event_answer(self.start_stream(attempt, place).events(0))
    }

    /// Whether the attempt is for this VM as the first one of its whole group.
    async fn serves(&self, attempt: &CompletionAttempt) -> bool {
        if self.leaving.get() || self.place.borrow().phase() != VmPhase::Ready {
            return false;
        }
        let Some(assignment) = self.place.borrow().assignment.clone() else {
            return false;
        };
        assignment.group == attempt.group
            && assignment.generation == attempt.generation
            && assignment.members.first() == Some(&self.settings.vm)
            && (self.place.borrow().is_whole || self.check_members(&assignment).await)
    }

    fn start_stream(
        self: &Rc<Self>,
        attempt: CompletionAttempt,
        place: BatchPlace,
    ) -> Rc<StreamLog> {
        let first = u32::try_from(attempt.delivered.len()).unwrap_or(u32::MAX);
        let log = Rc::new(StreamLog::new(Instant::now(), first));
        self.streams.borrow_mut().insert(attempt.stream.clone(), log.clone());
        let index = self.record_execution(&attempt, first);
        let engine = self.clone();
        let stream_log = log.clone();
        self.stream_tasks.borrow_mut().spawn(async move {
            let end = engine.generate(&attempt, &stream_log, &place, index).await;
            drop(place);
            stream_log.finish(end);
            engine.record_end(index, end);
            compio::time::sleep(engine.settings.retention).await;
            engine.streams.borrow_mut().remove(&attempt.stream);
        });
        log
    }

    async fn generate(
        &self,
        attempt: &CompletionAttempt,
        log: &StreamLog,
        place: &BatchPlace,
        index: usize,
    ) -> StreamEnd {
        place.admitted().await;
        self.journal.write(|records| records.executions[index].started_ms = Some(run_time_ms()));
        compio::time::sleep(self.settings.first_token_delay).await;
        self.crash_if_marked(&attempt.prompt).await;
        let length = output_length(&attempt.prompt, attempt.max_tokens);
        for position in log.first()..length {
            if let Some(end) = log.end() {
                return end;
            }
            if log.unread_for(Instant::now(), self.settings.retention) {
                return StreamEnd::Cancelled;
            }
            log.push(output_token(&attempt.prompt, position));
            self.journal.write(|records| records.executions[index].tokens += 1);
            compio::time::sleep(self.token_interval()).await;
        }
        StreamEnd::Finished(finish_reason(&attempt.prompt, attempt.max_tokens))
    }

    fn token_interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.settings.tokens_per_second)
    }

    async fn crash_if_marked(&self, prompt: &str) {
        let Some(marker) = &self.settings.crash_marker else {
            return;
        };
        if !prompt.contains(marker) {
            return;
        }
        log::info!("engine: {} crashes on a marked prompt.", self.settings.vm);
        self.journal.write(crash_executions);
        // The server may have crashed already, by another stream.
        let _ = self.crash.try_send(());
        std::future::pending().await
    }

    fn resume(&self, stream: &str, query: Option<&str>) -> HttpAnswer {
        let position = query
            .and_then(|query| query.strip_prefix("position="))
            .and_then(|position| position.parse().ok())
            .unwrap_or(0);
        let log = self.streams.borrow().get(&StreamId::from(stream)).cloned();
        match log {
            Some(log) if position >= log.first() => event_answer(log.events(position)),
            _ => error_answer(StatusCode::NOT_FOUND, "unknown-stream"),
        }
    }

    fn cancel(&self, stream: &str) -> HttpAnswer {
        let log = self.streams.borrow_mut().remove(&StreamId::from(stream));
        let Some(log) = log else {
            return error_answer(StatusCode::NOT_FOUND, "unknown-stream");
        };
        log.finish(StreamEnd::Cancelled);
        empty_answer(StatusCode::NO_CONTENT)
    }

    fn break_streams(&self) {
        let streams = self.streams.take();
        drop(self.stream_tasks.take());
        for log in streams.values() {
            log.finish(StreamEnd::Broken);
        }
        self.journal.write(break_executions);
    }

    fn record_execution(&self, attempt: &CompletionAttempt, first: u32) -> usize {
        let record = ExecutionRecord {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            stream: attempt.stream.clone(),
            prompt_hash: content_hash(attempt.prompt.as_bytes()),
            group: attempt.group.clone(),
            generation: attempt.generation,
            accepted_ms: run_time_ms(),
            started_ms: None,
            ended_ms: None,
            first_position: first,
            tokens: 0,
            end: ExecutionEnd::Running,
        };
        self.journal.write(|records| {
            records.executions.push(record);
            records.executions.len() - 1
        })
    }

    fn record_end(&self, index: usize, end: StreamEnd) {
        let end = match end {
            StreamEnd::Finished(_) => ExecutionEnd::Finished,
            StreamEnd::Broken => ExecutionEnd::Broken,
            StreamEnd::Cancelled => ExecutionEnd::Cancelled,
        };
        self.journal.write(|records| end_execution(&mut records.executions[index], end));
    }
}

#[async_trait(?Send)]
impl HttpHandler for EngineService {
    async fn handle(self: Rc<Self>, head: Parts, body: Bytes) -> HttpAnswer {
        let path = head.uri.path();
        if let Some(stream) = path.strip_prefix("/v1/streams/") {
            return match head.method {
                Method::GET => self.resume(stream, head.uri.query()),
                Method::DELETE => self.cancel(stream),
                _ => empty_answer(StatusCode::METHOD_NOT_ALLOWED),
            };
        }
        match (&head.method, path) {
            (&Method::GET, "/control/report") => json_answer(StatusCode::OK, &self.report()),
            (&Method::POST, "/control/order") => self.order(&body),
            (&Method::POST, "/control/leave") => self.leave(),
            (&Method::GET, "/control/records") => {
                json_answer(StatusCode::OK, &self.journal.records())
            }
            (&Method::POST, "/v1/completions") => self.complete(&body).await,
            _ => empty_answer(StatusCode::NOT_FOUND),
        }
    }
}

/// Puts a VM on the platform's list, however long that takes.
pub(crate) async fn announce_vm(platform: SocketAddr, record: VmRecord) {
    call_until_done(platform, "/vms", &record).await;
}

async fn call_until_done(platform: SocketAddr, path: &str, content: &impl serde::Serialize) {
    loop {
        let call = json_call::<Option<()>>(platform, Method::POST, path, content, PLATFORM_TIMEOUT);
        if call.await.is_ok() {
            return;
        }
        compio::time::sleep(PLATFORM_RETRY).await;
    }
}

fn weights_of(assignment: &GroupAssignment) -> LoadedWeights {
    (assignment.model.clone(), assignment.version.clone(), assignment.adapters.clone())
}

fn delivered_fits(attempt: &CompletionAttempt) -> bool {
    (0..)
        .zip(&attempt.delivered)
        .all(|(position, text)| *text == output_token(&attempt.prompt, position))
}

fn refuse_for_now() -> HttpAnswer {
    let mut response = error_answer(StatusCode::SERVICE_UNAVAILABLE, "not-started")?;
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static(QUEUE_RETRY_AFTER));
    Ok(response)
}

fn crash_executions(records: &mut EngineRecords) {
    end_running(records, ExecutionEnd::Crashed);
}

fn break_executions(records: &mut EngineRecords) {
    end_running(records, ExecutionEnd::Broken);
}

fn end_running(records: &mut EngineRecords, end: ExecutionEnd) {
    let running = |execution: &&mut ExecutionRecord| execution.end == ExecutionEnd::Running;
    for execution in records.executions.iter_mut().filter(running) {
        end_execution(execution, end);
    }
}

fn end_execution(execution: &mut ExecutionRecord, end: ExecutionEnd) {
    if execution.end == ExecutionEnd::Running {
        execution.end = end;
        execution.ended_ms = Some(run_time_ms());
    }
}
