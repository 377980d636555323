//! State and HTTP handler of a model engine.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use comfreyturn_types::{Incarnation, StreamId, VmRecord, VmReport, VmRole};
use http::{Method, StatusCode, request::Parts};

use super::{
    batch_queue::BatchQueue, engine_place::EnginePlace, member_checker::MemberChecker,
    stream_log::StreamLog,
};
use crate::{
    EngineRecords, EngineSettings, RunJournal,
    http_client::json_call,
    http_server::{HttpAnswer, HttpHandler, empty_answer, json_answer},
    run_records::run_time_ms,
    task_set::TaskSet,
};

/// Time limit of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause before a failed call to the platform is retried.
const PLATFORM_RETRY_DELAY: Duration = Duration::from_millis(200);

/// State and HTTP handler of a model engine.
pub(crate) struct EngineService {
    pub(super) settings: EngineSettings,
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
    pub(super) leaving: Cell<bool>,
    pub(super) place: RefCell<EnginePlace>,
    pub(super) members: MemberChecker,
    pub(super) queue: Rc<BatchQueue>,
    pub(super) streams: RefCell<BTreeMap<StreamId, Rc<StreamLog>>>,
    pub(super) stream_tasks: RefCell<TaskSet>,
    pub(super) place_tasks: RefCell<TaskSet>,
    pub(super) announce_tasks: RefCell<TaskSet>,
    pub(super) journal: RunJournal<EngineRecords>,
    pub(super) crash: flume::Sender<()>,
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
            members: MemberChecker::new(&settings),
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

    /// Sends the VM's current record to the platform's list, in a task.
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

    /// Ends all tasks. They hold references to the engine, which would otherwise never be freed.
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

/// Sends a VM's record to the platform's list; retries until that succeeds.
pub(crate) async fn announce_vm(platform: SocketAddr, record: VmRecord) {
    call_until_success(platform, "/vms", &record).await;
}

/// Repeats a call to the platform until it succeeds.
pub(super) async fn call_until_success(
    platform: SocketAddr,
    path: &str,
    content: &impl serde::Serialize,
) {
    loop {
        let call = json_call::<Option<()>>(platform, Method::POST, path, content, PLATFORM_TIMEOUT);
        if call.await.is_ok() {
            return;
        }
        compio::time::sleep(PLATFORM_RETRY_DELAY).await;
    }
}
