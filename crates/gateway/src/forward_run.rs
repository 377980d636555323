//! Processing of one request: attempts, retries and the answer.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use comfreyturn_policy::{HeldMemory, PromptStatus, SuspectLedger, SuspectStatus};
use comfreyturn_ports::{LinkError, LinkResult, ServerAnswer, ServerCall, ServerReply};
use comfreyturn_types::{CustomerName, FleetServer, RouteSpec, ServerLife, ServiceSpec};
use futures_util::future::{Either, FutureExt as _, select};

use crate::{
    ForwardAnswer, ForwardRequest, GatewayPorts, NotRunReason,
    attempt_race::{AttemptRace, SilenceWatch},
    forward_attempt::{Attempt, AttemptError, AttemptFailure, RetryRefusal, WholeAnswer},
    gateway_state::GatewayState,
    in_flight::InFlightGuard,
    request_trace::RequestTrace,
    run_progress::RunProgress,
};

/// Unreachable servers that one attempt may try in a row.
const UNREACHED_LIMIT: u32 = 4;

/// Pause between two checks whether the node must end before a pending request.
pub(crate) const STOP_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Subtracted from the time left to the server, so that its answer reaches the caller in time.
pub(crate) const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// Processing of one request: attempts, retries and the answer.
pub(crate) struct ForwardRun {
    pub(crate) state: Rc<GatewayState>,
    pub(crate) ports: GatewayPorts,
    pub(crate) request: ForwardRequest,
    pub(crate) route: RouteSpec,
    pub(crate) service: ServiceSpec,
    pub(crate) customer: Option<CustomerName>,
    pub(crate) priority: Option<u8>,

    /// When the caller's deadline or the route's timeout passes. The node may end before; see
    /// [`Self::ends_at`].
    pub(crate) deadline_at: Instant,

    pub(crate) progress: RunProgress,
    pub(crate) _in_flight: InFlightGuard,
    pub(crate) trace: RequestTrace,
}

impl ForwardRun {
    /// Runs the request until there is an answer for the caller.
    pub(crate) async fn run(self) -> ForwardAnswer {
        let suspect = self.state.suspects.borrow().status(self.now(), self.request.fingerprint());
        if matches!(suspect, SuspectStatus::Quarantined { .. }) {
            return self.not_run(NotRunReason::Suspect);
        }
        if !self.may_send_prompt(self.now()) {
            return self.not_run(NotRunReason::SuspectPart);
        }
        self.state.record_request(self.now(), &self.service.name);
        if self.route.kind.is_stream() { self.run_stream().await } else { self.run_whole().await }
    }

    pub(crate) fn now(&self) -> Instant {
        self.ports.clock.now()
    }

    /// When the request must end: by its deadline, or before the node does.
    pub(crate) fn ends_at(&self) -> Instant {
        let shutdown = self.state.shutdown.get();
        shutdown.map_or(self.deadline_at, |term| term.ends_at.min(self.deadline_at))
    }

    /// Whether the request can be answered before the node ends, if it begins now.
    fn can_finish(&self, now: Instant) -> bool {
        let left = self.deadline_at.saturating_duration_since(now);
        self.state.can_finish(now, &self.route.name, left)
    }

    // ---------------------------------------------------------------------------------------
    // Buffered answers

    async fn run_whole(self) -> ForwardAnswer {
        let start = |watch| self.whole_attempt(watch).boxed_local();
        let answer = AttemptRace::new(&self, self.answer_limit(), &start).run().await;
        match answer {
            Ok(whole) => self.served(whole),
            Err(failure) => self.failed(failure),
        }
    }

    async fn whole_attempt(&self, watch: Rc<SilenceWatch>) -> Result<WholeAnswer, AttemptFailure> {
        let attempt = self.attempt(&watch, None, false).await?;
        let whole = self.collect(attempt, &watch).await?;
        if self.is_retryable(&whole) { Err(AttemptFailure::Answer(whole)) } else { Ok(whole) }
    }

    /// For how long a server may send no part of a whole answer until another one is tried.
    fn answer_limit(&self) -> Duration {
        self.route.objective.mul_f64(self.state.settings.answer_factor)
    }

    /// Whether another server may give a better answer.
    pub(crate) fn is_retryable(&self, whole: &WholeAnswer) -> bool {
        whole.status.is_server_error() && self.route.kind.is_repeatable()
    }

    /// The answer to a request of which all attempts have failed.
    pub(crate) fn failed(&self, failure: AttemptFailure) -> ForwardAnswer {
        match failure {
            AttemptFailure::Answer(whole) => self.served(whole),
            AttemptFailure::Error(error) => self.give_up(error),
        }
    }

    pub(crate) async fn collect(
        &self,
        mut attempt: Attempt,
        watch: &SilenceWatch,
    ) -> Result<WholeAnswer, AttemptError> {
        attempt.reading_guard = None;
        let status = attempt.answer.status();
        let headers = attempt.answer.headers().clone();
        let mut held = self.state.answer_memory.hold();
        let mut body = BytesMut::new();
        let reading = async {
            let mut asked_at = self.now();
            while let Some(bytes) = attempt.answer.chunk().await? {
                if body.len() + bytes.len() > self.state.settings.whole_answer_limit {
                    return Err(LinkError::Foreign);
                }
                body.extend_from_slice(&bytes);
                self.reserve(&mut held, body.capacity(), &attempt.life)?;
                let now = self.now();
                let is_late = now.saturating_duration_since(asked_at) >= self.answer_limit();
                watch.heard(now);
                self.record_heard(now, &attempt, is_late);
                asked_at = now;
            }
            Ok(())
        };
        match self.until_end(reading).await {
            Some(Ok(())) => {
                self.trace.heard(&attempt.life);
                if status.is_success() {
                    self.record_answer();
                }
                Ok(WholeAnswer { status, headers, body: held.attach(body.freeze()) })
            }
            Some(Err(error)) => {
                let error = self.attempt_error(error);
                if let AttemptError::Link(error) = error {
                    self.record_part_crash(&attempt.life, error);
                }
                Err(error)
            }
            None => Err(AttemptError::OutOfTime),
        }
    }

    /// Makes room for an answer of this size.
    pub(crate) fn reserve(
        &self,
        held: &mut HeldMemory,
        bytes: usize,
        life: &ServerLife,
    ) -> LinkResult<()> {
        if held.resize(bytes) {
            return Ok(());
        }
        let taken = self.state.answer_memory.shared_bytes();
        log::warn!(request:% = self.request.id, server:% = life, bytes = bytes, taken = taken;
            "gateway: no memory for an answer.");
        Err(LinkError::Foreign)
    }

    // ---------------------------------------------------------------------------------------
    // Attempts

    /// Sends the request to the best server that was not tried yet, and waits for the head of its
    /// answer.
    pub(crate) async fn attempt(
        &self,
        watch: &SilenceWatch,
        resume_after: Option<String>,
        urgent: bool,
    ) -> Result<Attempt, AttemptError> {
        for _ in 0..UNREACHED_LIMIT {
            let server = self.choose(urgent).await?;
            // Another attempt may have been made while this one waited for a place.
            if self.progress.sent.get() >= self.route.max_attempts {
                return Err(AttemptError::NotMade(NotRunReason::NoServer));
            }
            let now = self.now();
            let helper = self.state.helper(now).map_err(AttemptError::NotMade)?;
            let is_direct = helper.is_none();
            self.progress.record_sent(&server.life);
            self.trace.attempt_started(&server.life, self.progress.sent.get());
            watch.wait_for(now, &server.life, is_direct);
            let reading_guard = self.start_reading(now, &server);
            let load_guard = self.state.loads.start(&server.life);
            let call =
                ServerCall { helper, ..self.server_call(now, &server, resume_after.clone()) };
            match self.exchange(&server, &call, now).await? {
                Ok(answer) => {
                    watch.heard(self.now());
                    return Ok(Attempt {
                        life: server.life,
                        answer,
                        is_direct,
                        _load_guard: load_guard,
                        reading_guard,
                        _finish_guard: self.finish_guard(),
                    });
                }
                Err(LinkError::NotSent) => {
                    watch.clear();
                    self.trace.not_reached(&server.life, self.progress.sent.get());
                }
                Err(error) => return Err(self.attempt_error(error)),
            }
        }
        Err(AttemptError::NotMade(NotRunReason::NoServer))
    }

    fn server_call(
        &self,
        now: Instant,
        server: &FleetServer,
        resume_after: Option<String>,
    ) -> ServerCall {
        let time_left = self.ends_at().saturating_duration_since(now);
        ServerCall {
            request: self.request.id.clone(),
            life: server.life.clone(),
            address: server.address,
            method: self.request.method.clone(),
            target: self.request.target.clone(),
            headers: self.request.headers.clone(),
            body: self.request.body.clone(),
            time_left: time_left.saturating_sub(RESPONSE_MARGIN),
            customer: self.customer.clone(),
            priority: self.sent_priority(),
            helper: None,
            resume_after,
        }
    }

    /// Makes a call and records what its reply tells.
    async fn exchange(
        &self,
        server: &FleetServer,
        call: &ServerCall,
        sent_at: Instant,
    ) -> Result<LinkResult<Box<dyn ServerAnswer>>, AttemptError> {
        self.state.record_send(sent_at, server);
        let reply = self.until_end(self.ports.servers.send(call)).await;
        let ServerReply { notice, answer } = reply.ok_or(AttemptError::OutOfTime)?;
        if let Some(notice) = notice {
            self.state.record_notice(self.now(), &server.life, sent_at, notice);
        }
        if call.helper.is_none() {
            self.record_path(&server.life, &answer);
        }
        match &answer {
            Ok(_) => {
                self.state.stalls.borrow_mut().record_seen(self.now(), &server.life);
                self.trace.answered();
            }
            Err(error) => {
                self.progress.record_not_run(*error);
                if *error != LinkError::NotSent
                    && let AttemptError::Link(error) = self.attempt_error(*error)
                {
                    self.record_failure(&server.life, error);
                    self.record_part_crash(&server.life, error);
                }
            }
        }
        Ok(answer)
    }

    /// Whether the request may be sent now.
    pub(crate) fn check_sendable(&self, now: Instant) -> Result<(), AttemptError> {
        if now + RESPONSE_MARGIN >= self.ends_at() {
            return Err(AttemptError::NotMade(self.lateness()));
        }
        if !self.progress.may_have_run() && !self.can_finish(now) {
            return Err(AttemptError::NotMade(NotRunReason::EndsTooSoon));
        }
        if self.customer.is_some() && !self.state.config_is_usable(now) {
            return Err(AttemptError::NotMade(NotRunReason::StaleConfig));
        }
        if !self.may_send_prompt(now) {
            return Err(AttemptError::NotMade(NotRunReason::SuspectPart));
        }
        Ok(())
    }

    /// Whether a server may get the request as far as the parts of its prompt tell. If only a server
    /// can tell whether it would crash, nodes try one after the other.
    fn may_send_prompt(&self, now: Instant) -> bool {
        let mut parts = self.state.parts.borrow_mut();
        match parts.status(now, &self.request.shared_parts) {
            PromptStatus::Clear => true,
            PromptStatus::Quarantined => false,
            PromptStatus::Undecided { part } => {
                let is_trial = self.progress.is_trial.get()
                    || parts.try_begin_trial(now, part, &self.state.senders.borrow());
                self.progress.is_trial.set(is_trial);
                is_trial
            }
        }
    }

    // ---------------------------------------------------------------------------------------
    // Retries and failures

    /// Whether the request may be sent again after this failure; if so, takes a retry from the
    /// budget.
    pub(crate) fn should_retry(&self, failure: &AttemptFailure) -> bool {
        match failure {
            AttemptFailure::Error(AttemptError::NotMade(_) | AttemptError::OutOfTime) => false,
            AttemptFailure::Error(AttemptError::Link(LinkError::NotSent | LinkError::NotRun)) => {
                self.take_retry()
            }
            AttemptFailure::Error(AttemptError::Link(_)) | AttemptFailure::Answer(_) => {
                self.check_repeatable() && self.take_retry()
            }
        }
    }

    /// Whether the route allows to send the request to one more server.
    pub(crate) fn has_attempt_left(&self) -> bool {
        self.route.kind.is_repeatable() && self.progress.sent.get() < self.route.max_attempts
    }

    /// Whether the request may run more than once.
    pub(crate) fn check_repeatable(&self) -> bool {
        let is_repeatable = self.route.kind.is_repeatable();
        if !is_repeatable {
            self.trace.retry_refused(RetryRefusal::NotRepeatable);
        }
        is_repeatable
    }

    /// Whether one more attempt is allowed; if so, takes a retry from the budget.
    pub(crate) fn take_retry(&self) -> bool {
        let now = self.now();
        let refusal = if self.progress.sent.get() >= self.route.max_attempts {
            Some(RetryRefusal::NoAttemptLeft)
        } else if now >= self.ends_at() {
            Some(RetryRefusal::NoTimeLeft)
        } else if !self.state.try_retry(now, &self.service.name) {
            Some(RetryRefusal::NoBudget)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            self.trace.retry_refused(refusal);
        }
        refusal.is_none()
    }

    /// Runs a call until the request must end; `None` if it takes longer.
    pub(crate) async fn until_end<T>(&self, call: impl Future<Output = T>) -> Option<T> {
        let mut call = std::pin::pin!(call);
        loop {
            let left = self.ends_at().saturating_duration_since(self.now());
            if left.is_zero() {
                return None;
            }
            let pause = self.ports.clock.sleep(left.min(STOP_CHECK_PERIOD));
            if let Either::Left((value, _)) = select(call.as_mut(), pause).await {
                return Some(value);
            }
        }
    }
}
