//! The TCP server of a plain service.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use comfreyturn_types::{
    FabricDomain, FailureDomain, Incarnation, ServiceName, VmId, VmLoad, VmPhase, VmRecord,
    VmReport, VmRole,
};
use compio::net::TcpListener;
use http::{HeaderValue, Method, StatusCode, request::Parts};
use serde::{Deserialize, Serialize};

use crate::{
    ExecutionEnd, PlainExecution, PlainRecords, RunJournal, ServerEnd, StandinResult, announce_vm,
    content_hash,
    http_server::{
        HttpAnswer, HttpHandler, empty_answer, error_answer, json_answer, listen, serve_http,
    },
    run_records::run_time_ms,
    task_set::TaskSet,
};

/// Header of a request that must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header of an answer to a request that was not started.
const NOT_STARTED: &str = "x-not-started";

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// The VM that it runs on.
    pub vm: VmId,

    /// The service.
    pub service: ServiceName,

    /// The VM's failure domain.
    pub failure_domain: FailureDomain,

    /// The VM's fabric domain.
    pub fabric_domain: FabricDomain,

    /// The platform that lists the VM.
    pub platform: Option<SocketAddr>,

    /// Time that each request takes.
    pub delay: Duration,

    /// The service crashes when it runs a body that contains this.
    pub crash_marker: Option<String>,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            vm: VmId::from("vm-1"),
            service: ServiceName::from("plain"),
            failure_domain: FailureDomain::from("domain-1"),
            fabric_domain: FabricDomain::from("fabric-1"),
            platform: None,
            delay: Duration::from_millis(5),
            crash_marker: None,
        }
    }
}

/// The answer of a plain service: a summary of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainEcho {
    /// The HTTP method.
    pub method: String,

    /// Path and query.
    pub path: String,

    /// The body's [`content_hash`].
    pub body_hash: u64,

    /// Number of this run at the backend server, counted from one.
    pub execution: u64,
}

/// A plain service, which answers any request with a [`PlainEcho`].
///
/// Besides that it serves `GET /control/report`, `POST /control/leave` and
/// `GET /control/records` ([`PlainRecords`]).
pub struct PlainServer {
    listener: TcpListener,
    address: SocketAddr,
    plain: Rc<PlainService>,
    crash: flume::Receiver<()>,
}

impl PlainServer {
    /// Opens the listener; [`serve`](Self::serve) accepts connections.
    pub async fn bind(address: SocketAddr, settings: PlainSettings) -> StandinResult<Self> {
        let listener = listen(address).await?;
        let address = listener.local_addr().unwrap_or(address);
        let (crash_sender, crash) = flume::bounded(1);
        let plain = Rc::new(PlainService::new(settings, address, crash_sender));
        Ok(Self { listener, address, plain, crash })
    }

    /// The address that it listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// The service's records, which stay readable after the server has ended.
    pub fn journal(&self) -> RunJournal<PlainRecords> {
        self.plain.journal.clone()
    }

    /// Announces the VM to the platform, then serves until `stop` receives a message or is closed,
    /// or until a request crashes the service.
    pub async fn serve(self, stop: flume::Receiver<()>) -> ServerEnd {
        self.plain.announce();
        serve_http(self.listener, self.plain, stop, self.crash).await
    }
}

/// State and HTTP handler of a plain service.
struct PlainService {
    settings: PlainSettings,
    address: SocketAddr,
    incarnation: Incarnation,
    leaving: Cell<bool>,
    running: Cell<u32>,
    tasks: RefCell<TaskSet>,
    journal: RunJournal<PlainRecords>,
    crash: flume::Sender<()>,
}

impl PlainService {
    fn new(settings: PlainSettings, address: SocketAddr, crash: flume::Sender<()>) -> Self {
        Self {
            settings,
            address,
            incarnation: Incarnation::random(),
            leaving: Cell::new(false),
            running: Cell::new(0),
            tasks: RefCell::default(),
            journal: RunJournal::default(),
            crash,
        }
    }

    fn announce(&self) {
        let Some(platform) = self.settings.platform else {
            return;
        };
        let record = VmRecord {
            vm: self.settings.vm.clone(),
            role: VmRole::Plain { service: self.settings.service.clone() },
            address: self.address,
            failure_domain: self.settings.failure_domain.clone(),
            fabric_domain: self.settings.fabric_domain.clone(),
            leaving: self.leaving.get(),
        };
        self.tasks.borrow_mut().spawn(announce_vm(platform, record));
    }

    fn report(&self) -> VmReport {
        VmReport {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            phase: VmPhase::Ready,
            leaving: self.leaving.get(),
            assignment: None,
            fencing: None,
            load: VmLoad { running: self.running.get(), ..VmLoad::default() },
        }
    }

    fn leave(&self) -> HttpAnswer {
        if !self.leaving.replace(true) {
            self.journal.write(|records| records.leaving_ms = Some(run_time_ms()));
            self.announce();
        }
        empty_answer(StatusCode::NO_CONTENT)
    }

    async fn run(&self, head: &Parts, body: &[u8]) -> HttpAnswer {
        if self.leaving.get() {
            self.journal.write(|records| records.not_started_ms.push(run_time_ms()));
            return not_started_answer();
        }
        let execution = self.record_start(head, body);
        self.running.set(self.running.get() + 1);
        let _running = RunningGuard(&self.running);
        self.crash_if_marked(body).await;
        compio::time::sleep(self.settings.delay).await;
        self.record_end(execution);
        let echo = PlainEcho {
            method: head.method.to_string(),
            path: path_and_query(head),
            body_hash: content_hash(body),
            execution,
        };
        json_answer(StatusCode::OK, &echo)
    }

    async fn crash_if_marked(&self, body: &[u8]) {
        let Some(marker) = &self.settings.crash_marker else {
            return;
        };
        if !String::from_utf8_lossy(body).contains(marker) {
            return;
        }
        log::info!("plain: {} crashes: body contains the crash marker.", self.settings.vm);
        self.journal.write(crash_executions);
        // Fails if another request has already crashed the server.
        let _ = self.crash.try_send(());
        std::future::pending().await
    }

    fn record_start(&self, head: &Parts, body: &[u8]) -> u64 {
        let key = head.headers.get(IDEMPOTENCY_KEY);
        let key = key.and_then(|key| key.to_str().ok()).map(str::to_owned);
        self.journal.write(|records| {
            let execution = u64::try_from(records.executions.len()).unwrap_or(u64::MAX) + 1;
            records.executions.push(PlainExecution {
                vm: self.settings.vm.clone(),
                execution,
                key,
                method: head.method.to_string(),
                path: path_and_query(head),
                body_hash: content_hash(body),
                started_ms: run_time_ms(),
                ended_ms: None,
                end: ExecutionEnd::Running,
            });
            execution
        })
    }

    fn record_end(&self, execution: u64) {
        self.journal.write(|records| {
            let mut executions = records.executions.iter_mut();
            if let Some(record) = executions.find(|record| record.execution == execution) {
                record.end = ExecutionEnd::Finished;
                record.ended_ms = Some(run_time_ms());
            }
        });
    }
}

#[async_trait(?Send)]
impl HttpHandler for PlainService {
    async fn handle(self: Rc<Self>, head: Parts, body: Bytes) -> HttpAnswer {
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/control/report") => json_answer(StatusCode::OK, &self.report()),
            (&Method::POST, "/control/leave") => self.leave(),
            (&Method::GET, "/control/records") => {
                json_answer(StatusCode::OK, &self.journal.records())
            }
            _ => self.run(&head, &body).await,
        }
    }
}

/// Decrements the number of running requests on drop, also when the connection is dropped.
struct RunningGuard<'a>(&'a Cell<u32>);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn not_started_answer() -> HttpAnswer {
    let mut response = error_answer(StatusCode::SERVICE_UNAVAILABLE, "not-started")?;
    response.headers_mut().insert(NOT_STARTED, HeaderValue::from_static("true"));
    Ok(response)
}

fn path_and_query(head: &Parts) -> String {
    head.uri.path_and_query().map_or_else(String::new, ToString::to_string)
}

fn crash_executions(records: &mut PlainRecords) {
    for record in &mut records.executions {
        if record.end == ExecutionEnd::Running {
            record.end = ExecutionEnd::Crashed;
            record.ended_ms = Some(run_time_ms());
        }
    }
}
