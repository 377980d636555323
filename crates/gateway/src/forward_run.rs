//! One request on its way through servers.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use comfreyturn_policy::{SuspectLedger, SuspectStatus};
use comfreyturn_ports::{LinkError, ServerCall};
use comfreyturn_types::{CustomerName, RouteSpec, ServerLife, ServiceSpec};
use futures_util::future::{Either, select};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ForwardAnswer, ForwardRequest, GatewayPorts, NotRunReason, RelayStream, UnknownReason,
    forward_attempt::{Attempt, AttemptError, InFlight, WholeAnswer},
    gateway_state::GatewayState,
    request_story::RequestStory,
};

/// Servers that may be tried in a row without one of them being reached.
const UNREACHED_LIMIT: u32 = 4;

/// Pause between two looks at whether a server that is waited for has stalled.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// What is taken off the time that a server is given, for the way of the answer.
const WAY_TIME: Duration = Duration::from_millis(10);

/// A connection that breaks this long before the caller's time is over was cut off by the server
/// because its own time was over.
const CUT_OFF_TIME: Duration = Duration::from_millis(30);

/// One request on its way through servers.
pub(crate) struct ForwardRun {
    pub(crate) state: Rc<GatewayState>,
    pub(crate) ports: GatewayPorts,
    pub(crate) request: ForwardRequest,
    pub(crate) route: RouteSpec,
    pub(crate) service: ServiceSpec,
    pub(crate) customer: Option<CustomerName>,
    pub(crate) priority: Option<u8>,

    /// When the caller, or the route, gives up.
    pub(crate) deadline_at: Instant,

    /// Servers that were asked, in order.
    pub(crate) tried: Vec<ServerLife>,

    /// Attempts that reached a server. Invariant: at most the route's `max_attempts`.
    pub(crate) sent: u32,

    /// Whether a server may have run the request, for all that is known.
    pub(crate) may_have_run: bool,

    pub(crate) _in_flight: InFlight,
    pub(crate) story: RequestStory,
}

impl ForwardRun {
    /// Runs the request to its answer.
    pub(crate) async fn run(self) -> ForwardAnswer {
        let suspect = self.state.suspects.borrow().status(self.now(), self.request.fingerprint());
        if matches!(suspect, SuspectStatus::Quarantined { .. }) {
            return self.not_run(NotRunReason::Suspect);
        }
        self.state.note_request(self.now(), &self.service.name);
        if self.route.kind.is_stream() { self.run_stream().await } else { self.run_whole().await }
    }

    pub(crate) fn now(&self) -> Instant {
        self.ports.clock.now()
    }

    // ---------------------------------------------------------------------------------------
    // Answers that are kept back until they are whole

    async fn run_whole(mut self) -> ForwardAnswer {
        let mut failure: Option<WholeAnswer> = None;
        loop {
            let error = match self.attempt(self.answer_limit(), None, false).await {
                Ok(attempt) => match self.collect(attempt).await {
                    Ok(whole) if !self.is_worth_repeating(&whole) => return self.served(whole),
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
            if !self.goes_on(error) {
                return self.give_up(error);
            }
        }
    }

    fn is_worth_repeating(&self, whole: &WholeAnswer) -> bool {
        whole.status.is_server_error()
            && self.route.kind.is_repeatable()
            && self.sent < self.route.max_attempts
    }

    /// How long the answer is waited for before another server is asked.
    fn answer_limit(&self) -> Option<Duration> {
        let last = self.sent + 1 >= self.route.max_attempts;
        let limit = self.route.objective.mul_f64(self.state.settings.answer_factor);
        (self.route.kind.is_repeatable() && !last).then_some(limit)
    }

    async fn collect(&self, mut attempt: Attempt) -> Result<WholeAnswer, AttemptError> {
        let status = attempt.answer.status();
        let headers = attempt.answer.headers().clone();
        let mut body = BytesMut::new();
        let left = self.deadline_at.saturating_duration_since(self.now());
        let reading = async {
            while let Some(bytes) = attempt.answer.chunk().await? {
                if body.len() + bytes.len() > self.state.settings.whole_answer_limit {
                    return Err(LinkError::Foreign);
                }
                body.extend_from_slice(&bytes);
            }
            Ok(())
        };
        match self.within(left, reading).await {
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
                            if self.is_worth_repeating(&whole) && self.take_retry() {
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
            if !self.goes_on(error) {
                return self.give_up(error);
            }
        }
    }

    /// How long a first event is waited for before another server is asked.
    fn first_event_limit(&self) -> Option<Duration> {
        let settings = &self.state.settings;
        let last = self.sent + 1 >= self.route.max_attempts;
        let limit = self.route.objective.mul_f64(settings.first_event_factor);
        (self.route.kind.is_repeatable() && !last).then_some(limit.max(settings.first_event_floor))
    }

    // ---------------------------------------------------------------------------------------
    // Attempts

    /// Sends the request to the best server that was not asked yet, and awaits the head of its
    /// answer: for `limit`, or else until the caller's time is over.
    pub(crate) async fn attempt(
        &mut self,
        limit: Option<Duration>,
        resume_after: Option<String>,
        urgent: bool,
    ) -> Result<Attempt, AttemptError> {
        for _ in 0..UNREACHED_LIMIT {
            let now = self.now();
            self.check(now)?;
            let model = self.request.model.as_ref();
            let server = self.state.pick(now, &self.service, model, &self.tried, urgent);
            let server = server.map_err(AttemptError::NotMade)?;
            self.tried.push(server.life.clone());
            self.story.asked(&server.life);
            let ticket = self.state.loads.start(&server.life);
            let call = ServerCall {
                request: self.request.id.clone(),
                life: server.life.clone(),
                address: server.address,
                method: self.request.method.clone(),
                target: self.request.target.clone(),
                headers: self.request.headers.clone(),
                body: self.request.body.clone(),
                time_left: self.deadline_at.saturating_duration_since(now).saturating_sub(WAY_TIME),
                customer: self.customer.clone(),
                priority: self.priority,
                resume_after: resume_after.clone(),
            };
            let sending = self.ports.servers.send(&call);
            match self.await_server(&server.life, limit, sending).await {
                Ok(Ok(answer)) => {
                    self.sent += 1;
                    self.may_have_run = true;
                    self.story.answered(self.sent);
                    return Ok(Attempt { life: server.life, answer, _ticket: ticket });
                }
                Ok(Err(LinkError::NotSent)) => self.story.not_reached(),
                Ok(Err(error)) => {
                    self.sent += 1;
                    self.may_have_run |= error != LinkError::NotRun;
                    let error = self.attempt_error(error);
                    if let AttemptError::Link(error) = error {
                        self.note_failure(&server.life, error);
                    }
                    return Err(error);
                }
                Err(error) => {
                    self.sent += 1;
                    self.may_have_run = true;
                    if error == AttemptError::Silent {
                        self.note_stall(&server.life);
                    }
                    return Err(error);
                }
            }
        }
        Err(AttemptError::NotMade(NotRunReason::NoServer))
    }

    /// Whether the request may be sent now.
    fn check(&self, now: Instant) -> Result<(), AttemptError> {
        if now + WAY_TIME >= self.deadline_at {
            return Err(AttemptError::NotMade(NotRunReason::TooLate));
        }
        if self.customer.is_some() && !self.state.config_is_usable(now) {
            return Err(AttemptError::NotMade(NotRunReason::StaleConfig));
        }
        Ok(())
    }

    /// Awaits something of a server, for `limit` or until the caller's time is over. Sooner if
    /// the server is found stalled and another one may try.
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
            let left = self.deadline_at.saturating_duration_since(now);
            if left.is_zero() {
                return Err(AttemptError::OutOfTime);
            }
            let mut pause = left;
            if let Some(limit) = limit {
                let waited = now.saturating_duration_since(started_at);
                if waited >= limit || (waited >= LOOK_PERIOD && self.is_stalled(now, life)) {
                    return Err(AttemptError::Silent);
                }
                pause = pause.min(limit - waited).min(LOOK_PERIOD);
            }
            match select(waiting.as_mut(), self.ports.clock.sleep(pause)).await {
                Either::Left((value, _)) => return Ok(value),
                Either::Right(_) => {}
            }
        }
    }

    fn is_stalled(&self, now: Instant, life: &ServerLife) -> bool {
        let memory = self.state.settings.stall_memory;
        let lost = self.state.lost.borrow().contains(life);
        lost || self.state.stalls.borrow().is_stalled(now, life, memory)
    }

    pub(crate) fn note_stall(&self, life: &ServerLife) {
        self.story.failed(self.sent, AttemptError::Silent);
        self.state.stalls.borrow_mut().stall(self.now(), life);
    }

    /// What an error of a connection means. A server cuts a request off when the time that it was
    /// given is over; that is no failure of the server.
    pub(crate) fn attempt_error(&self, error: LinkError) -> AttemptError {
        let left = self.deadline_at.saturating_duration_since(self.now());
        if error == LinkError::Broken && left <= CUT_OFF_TIME {
            return AttemptError::OutOfTime;
        }
        AttemptError::Link(error)
    }

    /// Remembers a connection that broke while the request may have run: its request may have
    /// killed the server.
    pub(crate) fn note_failure(&self, life: &ServerLife, error: LinkError) {
        self.story.failed(self.sent, AttemptError::Link(error));
        if error != LinkError::Broken {
            return;
        }
        let now = self.now();
        let fingerprint = self.request.fingerprint();
        let death = xxh3_64(life.to_string().as_bytes());
        self.state.suspects.borrow_mut().record_crash(now, fingerprint, death);
        self.state.deaths.borrow_mut().push((now, fingerprint, death));
    }

    // ---------------------------------------------------------------------------------------
    // Going on and giving up

    /// Whether another attempt may follow this error; if so, counts it.
    fn goes_on(&self, error: AttemptError) -> bool {
        match error {
            AttemptError::NotMade(_) | AttemptError::OutOfTime => false,
            AttemptError::Link(LinkError::NotSent | LinkError::NotRun) => self.take_retry(),
            AttemptError::Link(_) | AttemptError::Silent => {
                self.route.kind.is_repeatable() && self.take_retry()
            }
        }
    }

    /// Whether one more attempt is allowed; if so, counts it.
    pub(crate) fn take_retry(&self) -> bool {
        let now = self.now();
        self.sent < self.route.max_attempts
            && now < self.deadline_at
            && self.state.try_retry(now, &self.service.name)
    }

    fn give_up(&self, error: AttemptError) -> ForwardAnswer {
        let ran = self.may_have_run;
        match error {
            AttemptError::NotMade(reason) if !ran => self.not_run(reason),
            AttemptError::Link(LinkError::NotSent | LinkError::NotRun) if !ran => {
                self.not_run(NotRunReason::Declined)
            }
            AttemptError::OutOfTime if !ran => self.not_run(NotRunReason::TooLate),
            AttemptError::OutOfTime | AttemptError::Silent => {
                self.unknown(UnknownReason::Timeout, error)
            }
            _ => self.unknown(UnknownReason::AnswerLost, error),
        }
    }

    fn unknown(&self, reason: UnknownReason, cause: AttemptError) -> ForwardAnswer {
        self.story.unknown(reason, cause);
        ForwardAnswer::Unknown(reason)
    }

    fn served(&self, whole: WholeAnswer) -> ForwardAnswer {
        self.story.served(whole.status);
        whole.into_answer()
    }

    pub(crate) fn not_run(&self, reason: NotRunReason) -> ForwardAnswer {
        if matches!(reason, NotRunReason::NoRoom | NotRunReason::NoServer) {
            self.state.note_refusal(self.request.model.as_ref());
        }
        let retry_after = self.state.retry_after();
        self.story.not_run(reason, retry_after);
        ForwardAnswer::NotRun { reason, retry_after }
    }

    /// Drops a call that takes longer than `limit`.
    pub(crate) async fn within<T>(
        &self,
        limit: Duration,
        call: impl Future<Output = T>,
    ) -> Option<T> {
        let call = std::pin::pin!(call);
        match select(call, self.ports.clock.sleep(limit)).await {
            Either::Left((value, _)) => Some(value),
            Either::Right(_) => None,
        }
    }
}
