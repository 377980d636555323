//! Processing of one request: attempts, retries and the answer.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use comfreyturn_policy::{SuspectLedger, SuspectStatus};
use comfreyturn_ports::{LinkError, ServerCall, ServerReply};
use comfreyturn_types::{CustomerName, RouteSpec, ServerLife, ServiceSpec};
use futures_util::future::{Either, select};

use crate::{
    ForwardAnswer, ForwardRequest, GatewayPorts, NotRunReason, RelayStream,
    forward_attempt::{Attempt, AttemptError, RetryRefusal, WholeAnswer},
    gateway_state::GatewayState,
    in_flight::InFlightGuard,
    request_trace::RequestTrace,
};

/// Unreachable servers that one attempt may try in a row.
const UNREACHED_LIMIT: u32 = 4;

/// Pause between two checks whether the server of a pending request has stalled.
const STALL_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Pause between two checks whether the node must end before a pending request.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(250);

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

    /// Servers that were tried, in order.
    pub(crate) tried: Vec<ServerLife>,

    /// Attempts that reached a server. Invariant: at most the route's `max_attempts`.
    pub(crate) sent: u32,

    /// Whether a server may have run the request.
    pub(crate) may_have_run: bool,

    /// Whether the request waited so long that it can't meet its objective any more.
    pub(crate) is_late: bool,

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
        if self.has_quarantined_part(self.now()) {
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

    async fn run_whole(mut self) -> ForwardAnswer {
        let mut failure: Option<WholeAnswer> = None;
        loop {
            let error = match self.attempt(self.answer_limit(), None, false).await {
                Ok(attempt) => match self.collect(attempt).await {
                    Ok(whole) if !self.is_retryable(&whole) => return self.served(whole),
                    Ok(whole) => {
                        failure = Some(whole);
                        if self.take_retry() {
                            continue;
                        }
                        AttemptError::OutOfTime
                    }
                    Err(error) => error,
                },
                Err(error) => error,
            };
            if let Some(whole) = failure {
                return self.served(whole);
            }
            if !self.should_retry(error) {
                return self.give_up(error);
            }
        }
    }

    fn is_retryable(&self, whole: &WholeAnswer) -> bool {
        whole.status.is_server_error()
            && self.route.kind.is_repeatable()
            && self.sent < self.route.max_attempts
    }

    /// How long to wait for an answer before another server is tried; `None` if none may be tried.
    fn answer_limit(&self) -> Option<Duration> {
        let last = self.sent + 1 >= self.route.max_attempts;
        let limit = self.route.objective.mul_f64(self.state.settings.answer_factor);
        (self.route.kind.is_repeatable() && !last).then_some(limit)
    }

    async fn collect(&self, mut attempt: Attempt) -> Result<WholeAnswer, AttemptError> {
        attempt.reading_guard = None;
        let status = attempt.answer.status();
        let headers = attempt.answer.headers().clone();
        let mut body = BytesMut::new();
        let reading = async {
            while let Some(bytes) = attempt.answer.chunk().await? {
                if body.len() + bytes.len() > self.state.settings.whole_answer_limit {
                    return Err(LinkError::Foreign);
                }
                body.extend_from_slice(&bytes);
            }
            Ok(())
        };
        match self.until_end(reading).await {
            Some(Ok(())) => Ok(WholeAnswer { status, headers, body: body.freeze() }),
            Some(Err(error)) => Err(self.attempt_error(error)),
            None => Err(AttemptError::OutOfTime),
        }
    }

    // ---------------------------------------------------------------------------------------
    // Streams

    async fn run_stream(mut self) -> ForwardAnswer {
        loop {
            let resume_after = self.request.resume_after.clone();
            let limit = self.first_event_limit();
            let error = match self.attempt(limit, resume_after, false).await {
                Ok(attempt) if !attempt.answer.status().is_success() => {
                    match self.collect(attempt).await {
                        Ok(whole) => {
                            if self.is_retryable(&whole) && self.take_retry() {
                                continue;
                            }
                            return self.served(whole);
                        }
                        Err(error) => error,
                    }
                }
                Ok(attempt) => match RelayStream::start(self, attempt, limit).await {
                    Ok(answer) => return answer,
                    Err((run, error)) => {
                        self = run;
                        error
                    }
                },
                Err(error) => error,
            };
            if !self.should_retry(error) {
                return self.give_up(error);
            }
        }
    }

    /// How long to wait for the first event before another server is tried; `None` if none may be
    /// tried.
    fn first_event_limit(&self) -> Option<Duration> {
        let settings = &self.state.settings;
        let last = self.sent + 1 >= self.route.max_attempts;
        let limit = self.route.objective.mul_f64(settings.first_event_factor);
        (self.route.kind.is_repeatable() && !last).then_some(limit.max(settings.first_event_floor))
    }

    // ---------------------------------------------------------------------------------------
    // Attempts

    /// Sends the request to the best server that was not tried yet, and waits for the head of its
    /// answer: for `limit`, or until the caller's deadline if there is no limit.
    pub(crate) async fn attempt(
        &mut self,
        limit: Option<Duration>,
        resume_after: Option<String>,
        urgent: bool,
    ) -> Result<Attempt, AttemptError> {
        for _ in 0..UNREACHED_LIMIT {
            let server = self.choose(urgent).await?;
            let now = self.now();
            let helper = self.state.helper(now).map_err(AttemptError::NotMade)?;
            self.tried.push(server.life.clone());
            self.trace.attempt_started(&server.life);
            let reading_guard = self.start_reading(now, &server);
            let load_guard = self.state.loads.start(&server.life);
            let call = ServerCall {
                request: self.request.id.clone(),
                life: server.life.clone(),
                address: server.address,
                method: self.request.method.clone(),
                target: self.request.target.clone(),
                headers: self.request.headers.clone(),
                body: self.request.body.clone(),
                time_left: self
                    .ends_at()
                    .saturating_duration_since(now)
                    .saturating_sub(RESPONSE_MARGIN),
                customer: self.customer.clone(),
                priority: self.sent_priority(),
                helper,
                resume_after: resume_after.clone(),
            };
            self.state.record_send(now, &server);
            let sending = self.ports.servers.send(&call);
            let reply = self.await_server(&server.life, limit, sending).await;
            if let Ok(ServerReply { notice: Some(notice), .. }) = &reply {
                self.state.record_notice(self.now(), &server.life, now, *notice);
            }
            let reply = reply.map(|reply| reply.answer);
            if helper.is_none() {
                self.record_path(&server.life, &reply);
            }
            match reply {
                Ok(Ok(answer)) => {
                    self.sent += 1;
                    self.may_have_run = true;
                    self.state.stalls.borrow_mut().record_seen(self.now(), &server.life);
                    self.trace.answered(self.sent);
                    let is_direct = helper.is_none();
                    let life = server.life;
                    return Ok(Attempt {
                        life,
                        answer,
                        is_direct,
                        _load_guard: load_guard,
                        reading_guard,
                        _finish_guard: self.finish_guard(),
                    });
                }
                Ok(Err(LinkError::NotSent)) => self.trace.not_reached(),
                Ok(Err(error)) => {
                    self.sent += 1;
                    self.may_have_run |= error != LinkError::NotRun;
                    let error = self.attempt_error(error);
                    if let AttemptError::Link(error) = error {
                        self.record_failure(&server.life, error);
                        self.record_part_crash(&server.life, error);
                    }
                    return Err(error);
                }
                Err(error) => {
                    self.sent += 1;
                    self.may_have_run = true;
                    if error == AttemptError::Unresponsive {
                        self.record_stall(&server.life);
                    }
                    return Err(error);
                }
            }
        }
        Err(AttemptError::NotMade(NotRunReason::NoServer))
    }

    /// Whether the request may be sent now.
    pub(crate) fn check_sendable(&self, now: Instant) -> Result<(), AttemptError> {
        if now + RESPONSE_MARGIN >= self.ends_at() {
            return Err(AttemptError::NotMade(self.lateness()));
        }
        if !self.may_have_run && !self.can_finish(now) {
            return Err(AttemptError::NotMade(NotRunReason::EndsTooSoon));
        }
        if self.customer.is_some() && !self.state.config_is_usable(now) {
            return Err(AttemptError::NotMade(NotRunReason::StaleConfig));
        }
        if self.has_quarantined_part(now) {
            return Err(AttemptError::NotMade(NotRunReason::SuspectPart));
        }
        Ok(())
    }

    fn has_quarantined_part(&self, now: Instant) -> bool {
        self.state.parts.borrow().has_quarantined(now, &self.request.shared_parts)
    }

    /// Awaits `waiting`, which depends on the server, for `limit` or until the caller's deadline. If
    /// there is a limit, gives up early once the server counts as stalled, since another one may be
    /// tried.
    pub(crate) async fn await_server<T>(
        &self,
        life: &ServerLife,
        limit: Option<Duration>,
        waiting: impl Future<Output = T>,
    ) -> Result<T, AttemptError> {
        let started_at = self.now();
        let mut waiting = std::pin::pin!(waiting);
        loop {
            let now = self.now();
            let left = self.ends_at().saturating_duration_since(now);
            if left.is_zero() {
                return Err(AttemptError::OutOfTime);
            }
            let mut pause = left.min(STOP_CHECK_PERIOD);
            if let Some(limit) = limit {
                let waited = now.saturating_duration_since(started_at);
                if waited >= limit || (waited >= STALL_CHECK_PERIOD && self.is_stalled(now, life)) {
                    self.trace.silent(waited);
                    return Err(AttemptError::Unresponsive);
                }
                pause = pause.min(limit - waited).min(STALL_CHECK_PERIOD);
            }
            match select(waiting.as_mut(), self.ports.clock.sleep(pause)).await {
                Either::Left((value, _)) => return Ok(value),
                Either::Right(_) => {}
            }
        }
    }

    fn is_stalled(&self, now: Instant, life: &ServerLife) -> bool {
        let retention = self.state.settings.stall_retention;
        let lost = self.state.lost.borrow().contains(life);
        lost || self.state.stalls.borrow().is_stalled(now, life, retention)
    }

    // ---------------------------------------------------------------------------------------
    // Retries and failures

    /// Whether the request may be sent again after this error; if so, takes a retry from the
    /// budget.
    fn should_retry(&self, error: AttemptError) -> bool {
        match error {
            AttemptError::NotMade(_) | AttemptError::OutOfTime => false,
            AttemptError::Link(LinkError::NotSent | LinkError::NotRun) => self.take_retry(),
            AttemptError::Link(_) | AttemptError::Unresponsive => {
                self.check_repeatable() && self.take_retry()
            }
        }
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
        let refusal = if self.sent >= self.route.max_attempts {
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
    async fn until_end<T>(&self, call: impl Future<Output = T>) -> Option<T> {
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
