//! Entry point for the requests of a node's callers.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use comfreyturn_policy::{AdmissionQuery, ShutdownTerm, SuspectStatus};
use comfreyturn_ports::{PeerIdentity, PeerNotice, PlainResponse, Step};
use comfreyturn_types::{CustomerIntent, RefusalReason, ServiceBackend, StreamId};

use crate::{
    AnswerStream, CallScope, CompletionCall, PlainCall, Refusal, Result, ServingPolicies,
    ServingPorts, ServingSettings, ServingView,
    admission_controller::AdmissionController,
    answer_stream::CallerPresence,
    capacity_controller::CapacityController,
    claim_store::ClaimStore,
    completion_run::CompletionRun,
    crash_history::CrashHistory,
    in_flight::{InFlightCount, InFlightGuard},
    plain_load::PlainLoad,
    plain_run::PlainRun,
    request_fingerprint,
    run_scope::RunScope,
    running_requests::RunningRequests,
    serving_metrics::ServingMetrics,
    shutdown_watch::ShutdownWatch,
    suspect_slots::SuspectSlots,
};

/// Kind of backend that serves a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BackendKind {
    Model,
    Plain,
}

/// Runs the requests of a node's callers from the checks on arrival to their end.
pub struct RequestService {
    identity: PeerIdentity,
    pub(crate) view: Rc<dyn ServingView>,
    pub(crate) ports: ServingPorts,
    pub(crate) policies: Rc<RefCell<ServingPolicies>>,
    pub(crate) settings: ServingSettings,
    pub(crate) admission: Rc<AdmissionController>,
    pub(crate) claims: Rc<ClaimStore>,
    pub(crate) slots: Rc<SuspectSlots>,
    pub(crate) plain_load: PlainLoad,
    pub(crate) running_requests: Rc<RunningRequests>,
    crashes: RefCell<CrashHistory>,
    in_flight: InFlightCount,
    refusing: Cell<bool>,
    pub(crate) shutdown: Rc<ShutdownWatch>,
    next_stream: Cell<u64>,
}

impl RequestService {
    /// Creates the service for one incarnation of a node.
    pub fn new(
        identity: PeerIdentity,
        view: Rc<dyn ServingView>,
        ports: ServingPorts,
        policies: ServingPolicies,
        settings: ServingSettings,
    ) -> Rc<Self> {
        let policies = Rc::new(RefCell::new(policies));
        Rc::new(Self {
            admission: AdmissionController::new(
                ports.clone(),
                policies.clone(),
                CapacityController::new(view.clone(), settings.plain_capacity),
                settings.poll_period,
            ),
            claims: ClaimStore::new(
                identity.clone(),
                ports.clone(),
                view.clone(),
                settings.clone(),
            ),
            slots: SuspectSlots::new(identity.clone(), ports.clone(), view.clone()),
            plain_load: PlainLoad::default(),
            running_requests: Rc::default(),
            crashes: RefCell::default(),
            in_flight: InFlightCount::default(),
            refusing: Cell::new(false),
            shutdown: ShutdownWatch::new(settings.run_times),
            next_stream: Cell::new(0),
            identity,
            view,
            ports,
            policies,
            settings,
        })
    }

    /// Runs a completion. Returns the stream once the answer starts, or the refusal if it never
    /// does. Dropping the future before that cancels the request, like dropping the stream.
    pub async fn complete(self: &Rc<Self>, call: CompletionCall) -> Result<AnswerStream> {
        let guard = self.in_flight.enter();
        let metrics = ServingMetrics::new(&call.scope.customer, call.scope.class);
        self.check(&call.scope, BackendKind::Model, &metrics)?;
        let (sink, answer) = AnswerStream::channel(self.settings.answer_buffer);
        let presence = sink.presence.clone();
        let scope = call.scope.clone();
        let run = self.run_scope(scope, call.body_hash, presence, metrics, guard);
        let run = CompletionRun::new(run, call, sink, self.ports.now());
        self.ports.spawner.spawn(Box::pin(run.run()));
        answer.started().await
    }

    /// Runs a call of a plain service. Dropping the future cancels the call unless it holds a
    /// claim.
    pub async fn call_plain(self: &Rc<Self>, call: PlainCall) -> Result<PlainResponse> {
        let guard = self.in_flight.enter();
        let metrics = ServingMetrics::new(&call.scope.customer, call.scope.class);
        self.check(&call.scope, BackendKind::Plain, &metrics)?;
        let (presence, _present) = CallerPresence::new();
        let (reply, answer) = flume::bounded(1);
        let run = self.run_scope(call.scope.clone(), call.body_hash(), presence, metrics, guard);
        let run = PlainRun::new(run, call, self.ports.now());
        self.ports.spawner.spawn(Box::pin(async move {
            if let Some(answer) = run.run().await {
                let _ = reply.send(answer);
            }
        }));
        answer
            .recv_async()
            .await
            .unwrap_or_else(|_| Err(Refusal::unknown(RefusalReason::BackendLost)))
    }

    /// States when the node ends, whatever runs then. Requests that cannot be answered by then are
    /// refused, and those that run get a final answer before.
    pub fn end_by(&self, term: ShutdownTerm) {
        let left_ms = term.time_left(self.ports.now()).as_millis();
        log::info!(
            "serving: node ends in {left_ms} ms, requests that may take longer are refused."
        );
        self.shutdown.end_by(term);
    }

    /// Shuts down gracefully: notifies peers, keeps serving while callers may still use this node's
    /// address, then refuses new requests and completes when the last one has ended. With an end
    /// ([`Self::end_by`]), new requests are refused earlier if time is short.
    pub async fn drain(&self) {
        log::info!("serving: shutdown started, still accepting requests.");
        self.view.notify(Step::ShutdownAnnounce, PeerNotice::NodeLeaving).await;
        let term = self.shutdown.term();
        let serves_for = term.map_or(self.settings.address_validity, |term| {
            term.closes_at.saturating_duration_since(self.ports.now())
        });
        self.ports.clock.sleep(serves_for).await;
        self.refusing.set(true);
        while self.in_flight.count() > 0 {
            self.ports.clock.sleep(self.settings.poll_period).await;
        }
        log::info!("serving: shutdown finished, no requests in progress.");
    }

    /// Number of requests in progress, including queued ones and those whose outcome is not yet
    /// recorded.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.count()
    }

    /// Applies a peer's notice on a suspect request. A notice that changed something is relayed to
    /// all peers, since the sender may be cut off from some of them. Other notices are ignored.
    pub fn apply_notice(&self, notice: &PeerNotice) {
        let is_new = match *notice {
            PeerNotice::Suspect { fingerprint, death: crash } => {
                self.record_crash(fingerprint, crash)
            }
            PeerNotice::SuspectCleared { fingerprint } => self.record_cleared(fingerprint),
            _ => false,
        };
        if is_new {
            self.relay(notice.clone());
        }
    }

    /// Records that a backend server crashed while a request ran there; `false` if that was known.
    pub(crate) fn record_crash(&self, fingerprint: u64, crash: u64) -> bool {
        if !self.crashes.borrow_mut().record(fingerprint, crash) {
            return false;
        }
        let now = self.ports.now();
        self.policies.borrow_mut().suspects.record_crash(now, fingerprint, crash);
        true
    }

    /// Clears the suspicion against a request; `false` if there was none.
    pub(crate) fn record_cleared(&self, fingerprint: u64) -> bool {
        let now = self.ports.now();
        let mut policies = self.policies.borrow_mut();
        let was_suspect = policies.suspects.status(now, fingerprint) != SuspectStatus::Clear;
        policies.suspects.clear(now, fingerprint);
        if was_suspect {
            self.crashes.borrow_mut().record_cleared(fingerprint);
        }
        was_suspect
    }

    /// Whether a request is neither suspect nor quarantined.
    pub(crate) fn is_clear(&self, fingerprint: u64) -> bool {
        let now = self.ports.now();
        self.policies.borrow().suspects.status(now, fingerprint) == SuspectStatus::Clear
    }

    /// Whether a crash that this node detects now is already recorded for a request.
    pub(crate) fn knows_crash(&self, fingerprint: u64, crash: u64) -> bool {
        let history = self.crashes.borrow();
        history.contains(fingerprint, history.request_crash_id(fingerprint, crash))
    }

    /// Identifies a crash that this node detects now, see [`CrashHistory::request_crash_id`].
    pub(crate) fn request_crash_id(&self, fingerprint: u64, crash: u64) -> u64 {
        self.crashes.borrow().request_crash_id(fingerprint, crash)
    }

    fn relay(&self, notice: PeerNotice) {
        let view = self.view.clone();
        self.ports.spawner.spawn(Box::pin(async move {
            view.notify(Step::SuspectNotify, notice).await;
        }));
    }

    // ------------------------------------------------------------------------------------------
    // Checks

    fn check(&self, scope: &CallScope, kind: BackendKind, metrics: &ServingMetrics) -> Result<()> {
        self.check_scope(scope, kind).map_err(|refusal| {
            let refusal = self.add_retry_hints(scope, refusal);
            metrics.refused(&refusal);
            refusal
        })
    }

    fn check_scope(&self, scope: &CallScope, kind: BackendKind) -> Result<()> {
        let now = self.ports.now();
        if self.refusing.get() || !self.shutdown.can_take(now, &scope.service, scope.deadline) {
            return Err(Refusal::not_run(RefusalReason::NodeLeaving));
        }
        if !self.view.may_admit(now) {
            return Err(Refusal::not_run(RefusalReason::StaleConfig));
        }
        if now >= scope.deadline {
            return Err(Refusal::not_run(RefusalReason::DeadlineExceeded));
        }
        let config = self.view.config();
        let Some(customer) = config.customers.get(&scope.customer) else {
            return Err(Refusal::not_run(RefusalReason::UnknownCustomer));
        };
        let Some(service) = config.services.get(&scope.service) else {
            return Err(Refusal::not_run(RefusalReason::UnknownService));
        };
        if !may_use(customer, scope) {
            return Err(Refusal::not_run(RefusalReason::Forbidden));
        }
        if backend_kind(&service.backend) != kind {
            return Err(Refusal::not_run(RefusalReason::BadRequest));
        }
        let share = self.view.customer_share(now, customer);
        self.admission.prepare(&scope.service, &scope.customer, share);
        Ok(())
    }

    // ------------------------------------------------------------------------------------------
    // Used by the runs

    fn run_scope(
        self: &Rc<Self>,
        scope: CallScope,
        body_hash: u64,
        presence: CallerPresence,
        metrics: ServingMetrics,
        in_flight: InFlightGuard,
    ) -> RunScope {
        RunScope {
            fingerprint: request_fingerprint(&scope.customer, body_hash),
            service: self.clone(),
            scope,
            presence,
            metrics,
            body_hash,
            sent: false,
            lost_attempts: 0,
            claim: None,
            reached_backend: false,
            running_guard: None,
            timer: None,
            in_flight,
        }
    }

    /// Returns a stream id that is unique over all attempts and nodes.
    pub(crate) fn next_stream(&self) -> StreamId {
        let number = self.next_stream.get();
        self.next_stream.set(number + 1);
        StreamId::from(format!("{}-{number}", self.identity.incarnation))
    }

    pub(crate) fn admission_query(&self, scope: &CallScope, tokens: u32) -> AdmissionQuery {
        let config = self.view.config();
        AdmissionQuery {
            customer: scope.customer.clone(),
            weight: config.customers.get(&scope.customer).map_or(1, |customer| customer.weight),
            class: scope.class,
            service: scope.service.clone(),
            tokens,
            deadline: scope.deadline,
        }
    }

    /// Adds when to retry and at which other addresses.
    pub(crate) fn add_retry_hints(&self, scope: &CallScope, refusal: Refusal) -> Refusal {
        let retry_after = refusal.retry_after.or_else(|| self.retry_after(refusal.reason));
        let other_addresses = if self.view.is_leaving() || suggests_other_nodes(refusal.reason) {
            self.view.other_addresses(self.ports.now(), &scope.service, &scope.customer)
        } else {
            Vec::new()
        };
        Refusal { retry_after, other_addresses, ..refusal }
    }

    fn retry_after(&self, reason: RefusalReason) -> Option<std::time::Duration> {
        let is_temporary = matches!(
            reason,
            RefusalReason::StaleConfig
                | RefusalReason::LimitReached
                | RefusalReason::Overloaded
                | RefusalReason::NoCapacity
                | RefusalReason::TableUnavailable
                | RefusalReason::RetriesExhausted
        );
        is_temporary.then_some(self.settings.retry_after)
    }
}

fn may_use(customer: &CustomerIntent, scope: &CallScope) -> bool {
    customer.services.is_empty() || customer.services.contains(&scope.service)
}

fn backend_kind(backend: &ServiceBackend) -> BackendKind {
    match backend {
        ServiceBackend::Model(_) => BackendKind::Model,
        ServiceBackend::Plain => BackendKind::Plain,
    }
}

/// Whether another node may accept what this one refuses.
fn suggests_other_nodes(reason: RefusalReason) -> bool {
    matches!(reason, RefusalReason::NodeLeaving | RefusalReason::StaleConfig)
}
