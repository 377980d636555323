//! Runs one completion from admission to its end.

use std::{
    cell::Cell,
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyturn_policy::RouteEnd;
use comfreyturn_ports::{
    BackendError, BackendResult, CompletionAttempt, CompletionEvent, CompletionStream,
    CompletionToken, Step,
};
use comfreyturn_types::{GroupId, RefusalReason, StreamId};
use futures_util::{StreamExt, future::select};

use crate::{
    CompletionCall, Refusal, Result, StoredAnswer,
    admission_controller::AdmissionPermit,
    answer_stream::AnswerSink,
    completion_place::Placement,
    run_scope::{RunResult, RunScope, RunStop, Wait},
};

/// How often a submission starts over when its key was taken at the insert, and is free again
/// when it tries to join.
pub(crate) const CLAIM_ROUNDS: u32 = 3;

/// An attempt that breaks later than this without a response may never have reached the backend
/// server.
const UNANSWERED_LIMIT: Duration = Duration::from_secs(1);

/// How long after its deadline a caller may take to read the last part of its answer.
const LAST_PART_TIMEOUT: Duration = Duration::from_secs(10);

/// Tries to cancel a stream that is no longer needed.
const CANCEL_TRIES: u32 = 3;

/// Pause between two tries to cancel a stream.
const CANCEL_PAUSE: Duration = Duration::from_millis(500);

/// How an attempt ended.
enum AttemptEnd {
    /// Generation ended for this reason.
    Finished(String),
    /// The backend server answered that it did not start the request.
    NotStarted { retry_after: Option<Duration> },
    /// No byte was sent.
    NotSent,
    /// The backend server rejected the request.
    Rejected,
    /// The stream could not be resumed; the request may have run.
    Lost,
}

/// How reading a stream ended.
pub(crate) enum StreamEnd {
    Finished(String),
    Rejected,
    Broken,
}

/// The state of one completion.
pub(crate) struct CompletionRun {
    pub(crate) run: RunScope,
    pub(crate) call: CompletionCall,
    sink: AnswerSink,
    permit: Option<AdmissionPermit>,
    pub(crate) delivered: Vec<String>,
    /// Groups that did not start the request. They are tried again only if the request may have run
    /// at another group before.
    pub(crate) excluded: Vec<GroupId>,
    /// Groups that lost an attempt, passed to the router.
    pub(crate) avoid: Vec<GroupId>,
    pub(crate) retry_after: Option<Duration>,
    started_at: Instant,
    last_token_at: Option<Instant>,
}

impl CompletionRun {
    pub(crate) fn new(
        run: RunScope,
        call: CompletionCall,
        sink: AnswerSink,
        started_at: Instant,
    ) -> Self {
        Self {
            run,
            call,
            sink,
            permit: None,
            delivered: Vec::new(),
            excluded: Vec::new(),
            avoid: Vec::new(),
            retry_after: None,
            started_at,
            last_token_at: None,
        }
    }

    /// Runs the request and sends its answer to the caller.
    pub(crate) async fn run(mut self) {
        let end = self.serve().await;
        self.charge();
        match end {
            Ok(reason) => self.finish(reason).await,
            Err(RunStop::Refused(refusal)) => self.refuse(refusal).await,
            Err(RunStop::CallerGone | RunStop::ClaimTaken) => {}
        }
    }

    /// Joins an earlier submission with the same key, or runs the request.
    async fn serve(&mut self) -> RunResult<String> {
        let claimed = Cell::new(false);
        for _ in 0..CLAIM_ROUNDS {
            if let Some(reason) = self.join(&claimed).await? {
                return Ok(reason);
            }
            self.permit = Some(self.run.admit(self.tokens()).await?);
            match self.run_attempts().await {
                Err(RunStop::ClaimTaken) => claimed.set(true),
                end => return end,
            }
            self.permit = None;
        }
        Err(self.run.stop(RefusalReason::DuplicateKey))
    }

    async fn run_attempts(&mut self) -> RunResult<String> {
        self.run.service.policies.borrow_mut().retries.record_request(self.run.now());
        loop {
            let placement = self.place().await?;
            let (address, stream) = (placement.group.head.address, placement.stream.clone());
            self.run.ensure_claim(address, Some(stream)).await?;
            self.run.check_dispatch().await?;
            if !self.may_dispatch(&placement) {
                self.run.pause(self.run.service.settings.poll_period).await?;
                continue;
            }
            match self.attempt(&placement).await? {
                AttemptEnd::Finished(reason) => return Ok(reason),
                AttemptEnd::Rejected => return Err(self.run.stop(RefusalReason::BackendError)),
                AttemptEnd::NotStarted { retry_after } => self.exclude(&placement, retry_after),
                AttemptEnd::NotSent => {
                    self.exclude(&placement, None);
                    self.run.service.view.probe(&placement.group.head.vm).await;
                }
                AttemptEnd::Lost => self.handle_lost_attempt(&placement).await?,
            }
        }
    }

    /// Whether the group and the suspect status are still as they were when the group was chosen.
    fn may_dispatch(&self, placement: &Placement) -> bool {
        let has_needed_slot = placement.slot.is_some() || !self.run.is_suspect();
        has_needed_slot && self.is_whole(&placement.group)
    }

    // ------------------------------------------------------------------------------------------
    // One attempt

    async fn attempt(&mut self, placement: &Placement) -> RunResult<AttemptEnd> {
        let (group, query) = (placement.group.assignment.group.clone(), self.route_query());
        let service = self.run.service.clone();
        service.policies.borrow_mut().router.started(self.run.now(), &group, &query);
        let end = self.dispatch(placement).await;
        let route_end = match &end {
            Ok(AttemptEnd::Finished(_)) => RouteEnd::Finished,
            Ok(_) => RouteEnd::Failed,
            Err(_) => RouteEnd::Abandoned,
        };
        service.policies.borrow_mut().router.ended(self.run.now(), &group, route_end);
        if matches!(end, Err(_) | Ok(AttemptEnd::Lost)) {
            self.cancel(placement);
        }
        end
    }

    /// Sends the attempt, reads its stream and resumes it after broken connections.
    async fn dispatch(&mut self, placement: &Placement) -> RunResult<AttemptEnd> {
        let sent_before = self.run.sent;
        let target = placement.group.assignment.group.as_str();
        self.run.dispatched(target, &placement.known);
        let dispatched_at = self.run.now();
        let mut opened = match self.open(placement).await? {
            Err(BackendError::NotSent) => {
                self.run.not_started(sent_before);
                return Ok(AttemptEnd::NotSent);
            }
            Err(BackendError::NotStarted { retry_after }) => {
                self.run.not_started(sent_before);
                return Ok(AttemptEnd::NotStarted { retry_after });
            }
            Err(BackendError::Rejected { .. }) => return Ok(AttemptEnd::Rejected),
            opened => opened.ok(),
        };
        let elapsed = self.run.now().saturating_duration_since(dispatched_at);
        // The group of a suspect was polled and found whole when it was chosen.
        let seen_alive = placement.slot.is_some();
        self.run.reached_backend = seen_alive || opened.is_some() || elapsed < UNANSWERED_LIMIT;
        let address = placement.group.head.address;
        let source = (placement.group.assignment.group.clone(), dispatched_at);
        let mut idle_resumes = 0;
        loop {
            let delivered_before = self.delivered.len();
            if let Some(stream) = opened {
                match self.read(stream, Some(&source)).await? {
                    StreamEnd::Finished(reason) => return Ok(AttemptEnd::Finished(reason)),
                    StreamEnd::Rejected => return Ok(AttemptEnd::Rejected),
                    StreamEnd::Broken => {}
                }
            }
            if self.delivered.len() > delivered_before {
                idle_resumes = 0;
            }
            if idle_resumes >= self.max_resumes() {
                return Ok(AttemptEnd::Lost);
            }
            self.pause_before_resume(idle_resumes).await?;
            idle_resumes += 1;
            opened = match self.resume(address, &placement.stream).await? {
                Ok(stream) => {
                    self.run.reached_backend = true;
                    Some(stream)
                }
                Err(BackendError::NotSent | BackendError::Broken) => None,
                Err(_) => return Ok(AttemptEnd::Lost),
            };
        }
    }

    async fn open(&self, placement: &Placement) -> RunResult<BackendResult<CompletionStream>> {
        let assignment = &placement.group.assignment;
        let attempt = CompletionAttempt {
            stream: placement.stream.clone(),
            group: assignment.group.clone(),
            generation: assignment.generation,
            prompt: self.call.prompt.clone(),
            delivered: self.delivered.clone(),
            max_tokens: self.call.max_tokens,
            priority: self.run.scope.class as u32,
            parameters: self.call.parameters.clone(),
        };
        let address = placement.group.head.address;
        let backends = self.run.service.ports.backends.clone();
        self.or_broken(backends.complete(self.dispatch_step(placement), address, &attempt)).await
    }

    fn dispatch_step(&self, placement: &Placement) -> Step {
        if placement.slot.is_some() {
            Step::SuspectRetry
        } else if self.run.claim.is_some() {
            Step::ClaimDispatch
        } else {
            Step::RequestDispatch
        }
    }

    pub(crate) async fn resume(
        &self,
        address: SocketAddr,
        stream: &StreamId,
    ) -> RunResult<BackendResult<CompletionStream>> {
        self.run.metrics.resumed();
        let backends = self.run.service.ports.backends.clone();
        let position = self.position();
        self.or_broken(backends.resume(Step::RequestResume, address, stream, position)).await
    }

    /// Treats a stall timeout as a broken connection.
    async fn or_broken(
        &self,
        work: impl Future<Output = BackendResult<CompletionStream>>,
    ) -> RunResult<BackendResult<CompletionStream>> {
        match self.run.wait(self.run.service.settings.stall_timeout, work).await {
            Wait::Ready(opened) => Ok(opened),
            Wait::TimedOut => Ok(Err(BackendError::Broken)),
            Wait::DeadlinePassed => Err(self.run.stop(RefusalReason::DeadlineExceeded)),
            Wait::CallerGone => Err(RunStop::CallerGone),
        }
    }

    async fn pause_before_resume(&self, idle_resumes: u32) -> RunResult<()> {
        if idle_resumes == 0 {
            return Ok(());
        }
        let pause = self.run.service.settings.resume_pause * 2u32.saturating_pow(idle_resumes - 1);
        self.run.pause(pause).await
    }

    fn max_resumes(&self) -> u32 {
        let settings = &self.run.service.settings;
        if self.run.scope.non_idempotent {
            settings.max_non_idempotent_resumes
        } else {
            settings.max_resumes
        }
    }

    // ------------------------------------------------------------------------------------------
    // Reading an answer

    /// Delivers the parts of a stream to the caller, each position once. `source` is the group and
    /// the time of the dispatch; `None` if the stream belongs to an earlier submission.
    pub(crate) async fn read(
        &mut self,
        mut stream: CompletionStream,
        source: Option<&(GroupId, Instant)>,
    ) -> RunResult<StreamEnd> {
        loop {
            let stall = self.run.service.settings.stall_timeout;
            let part = match self.run.wait(stall, stream.next()).await {
                Wait::Ready(part) => part,
                Wait::TimedOut => return Ok(StreamEnd::Broken),
                Wait::DeadlinePassed => {
                    return Err(self.run.stop(RefusalReason::DeadlineExceeded));
                }
                Wait::CallerGone => return Err(RunStop::CallerGone),
            };
            match part {
                Some(Ok(CompletionEvent::Token(token))) if token.position < self.position() => {}
                Some(Ok(CompletionEvent::Token(token))) if token.position == self.position() => {
                    self.record_token(source);
                    self.deliver(token).await?;
                }
                Some(Ok(CompletionEvent::Finished { reason })) if self.is_plausible(&reason) => {
                    return Ok(StreamEnd::Finished(reason));
                }
                Some(Err(BackendError::Rejected { .. })) => return Ok(StreamEnd::Rejected),
                _ => return Ok(StreamEnd::Broken),
            }
        }
    }

    /// Rejects the finish reason `length` before the maximum length is reached: part of the answer
    /// was lost then.
    fn is_plausible(&self, reason: &str) -> bool {
        reason != "length" || self.position() >= self.call.max_tokens
    }

    pub(crate) async fn deliver(&mut self, token: CompletionToken) -> RunResult<()> {
        self.delivered.push(token.text.clone());
        let sent = self.sink.send(Ok(CompletionEvent::Token(token)));
        let sent = self.run.within_deadline(sent).await?;
        if sent || self.run.claim.is_some() { Ok(()) } else { Err(RunStop::CallerGone) }
    }

    fn record_token(&mut self, source: Option<&(GroupId, Instant)>) {
        let now = self.run.now();
        if let Some(last) = self.last_token_at.replace(now) {
            self.run.metrics.between_tokens(now.saturating_duration_since(last));
            return;
        }
        self.run.metrics.first_token(now.saturating_duration_since(self.started_at));
        if let Some((group, dispatched_at)) = source {
            let elapsed = now.saturating_duration_since(*dispatched_at);
            self.run.service.policies.borrow_mut().router.first_token(now, group, elapsed);
        }
    }

    pub(crate) fn position(&self) -> u32 {
        u32::try_from(self.delivered.len()).unwrap_or(u32::MAX)
    }

    // ------------------------------------------------------------------------------------------
    // After an attempt

    async fn handle_lost_attempt(&mut self, placement: &Placement) -> RunResult<()> {
        let group = placement.group.assignment.group.clone();
        self.run.handle_lost_attempt(group.as_str(), &placement.known).await?;
        self.avoid.push(group);
        Ok(())
    }

    /// Asks the engine to stop a stream that is no longer needed.
    fn cancel(&self, placement: &Placement) {
        let ports = self.run.service.ports.clone();
        let (address, stream) = (placement.group.head.address, placement.stream.clone());
        self.run.metrics.cancelled();
        self.run.service.ports.spawner.spawn(Box::pin(async move {
            for _ in 0..CANCEL_TRIES {
                match ports.backends.cancel(Step::RequestCancel, address, &stream).await {
                    Err(BackendError::NotSent | BackendError::Broken) => {
                        ports.clock.sleep(CANCEL_PAUSE).await;
                    }
                    _ => return,
                }
            }
        }));
    }

    /// Upper estimate of the tokens that the request costs.
    fn tokens(&self) -> u32 {
        self.route_query().prompt_tokens.saturating_add(self.call.max_tokens)
    }

    fn charge(&mut self) {
        if let Some(permit) = self.permit.take() {
            let prompt = self.route_query().prompt_tokens;
            permit.charge(prompt.saturating_add(self.position()));
        }
    }

    async fn finish(&mut self, reason: String) {
        self.run.clear_suspicion();
        let limit = self.run.service.settings.stored_answer_bytes;
        self.run.settle(StoredAnswer::from_completion(&self.delivered, &reason, limit));
        let elapsed = self.run.now().saturating_duration_since(self.started_at);
        self.run.metrics.whole_answer(elapsed);
        self.send_last(Ok(CompletionEvent::Finished { reason })).await;
    }

    /// Sends the last part. Bounded by [`LAST_PART_TIMEOUT`] after the deadline, so that a caller
    /// that stays connected without reading cannot block a shutdown.
    async fn send_last(&self, part: Result<CompletionEvent>) {
        let left = self.run.scope.deadline.saturating_duration_since(self.run.now());
        let timeout = self.run.service.ports.clock.sleep(left + LAST_PART_TIMEOUT);
        let send = std::pin::pin!(self.sink.send(part));
        select(send, timeout).await;
    }

    async fn refuse(&mut self, refusal: Refusal) {
        self.run.settle_refused(&refusal);
        let refusal = self.run.service.add_retry_hints(&self.run.scope, refusal);
        self.run.metrics.refused(&refusal);
        self.send_last(Err(refusal)).await;
    }
}
