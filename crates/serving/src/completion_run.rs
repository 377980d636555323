//! Runs one completion from admission to its end.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use comfreyturn_ports::CompletionEvent;
use comfreyturn_types::{GroupId, RefusalReason};
use futures_util::future::select;

use crate::{
    CompletionCall, Refusal, Result, StoredAnswer,
    admission_controller::AdmissionPermit,
    answer_stream::AnswerSink,
    completion_dispatch::AttemptEnd,
    completion_place::Placement,
    open_attempt::{OpenAttempt, SilentAttempts},
    run_scope::{RunResult, RunScope, RunStop},
};

/// How often a submission starts over when its key was taken at the insert, and is free again
/// when it tries to join.
pub(crate) const CLAIM_ROUNDS: u32 = 3;

/// How long after its deadline a caller may take to read the last part of its answer.
const LAST_PART_TIMEOUT: Duration = Duration::from_secs(10);

/// The state of one completion.
///
/// Its steps are in files of their own: an earlier submission is joined in `completion_join`, a
/// group is chosen in `completion_place`, an attempt is sent in `completion_dispatch`, and its
/// answer is passed on in `completion_delivery`.
pub(crate) struct CompletionRun {
    pub(crate) run: RunScope,
    pub(crate) call: CompletionCall,
    pub(crate) sink: AnswerSink,
    permit: Option<AdmissionPermit>,
    pub(crate) delivered: Vec<String>,
    /// Groups that did not start the request. They are tried again only if the request may have run
    /// at another group before.
    pub(crate) excluded: Vec<GroupId>,
    /// Groups that lost an attempt, passed to the router.
    pub(crate) avoid: Vec<GroupId>,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) started_at: Instant,
    pub(crate) last_token_at: Option<Instant>,
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
            self.permit = Some(self.run.admit(self.estimated_tokens()).await?);
            let end = self.run_attempts().await;
            self.run.stop_timer(end.is_ok());
            match end {
                Err(RunStop::ClaimTaken) => claimed.set(true),
                end => return end,
            }
            self.permit = None;
        }
        Err(self.run.stop(RefusalReason::DuplicateKey))
    }

    async fn run_attempts(&mut self) -> RunResult<String> {
        self.run.service.policies.borrow_mut().retries.record_request(self.run.now());
        let mut silent = SilentAttempts::default();
        let mut attempt = None;
        loop {
            let end = self.run_attempt(attempt.take(), &mut silent).await;
            match end {
                Ok(None) => {}
                Ok(Some(reason)) => {
                    self.cancel_silent(&mut silent);
                    return Ok(reason);
                }
                Err(stop) => attempt = Some(self.await_silent(stop, &mut silent).await?),
            }
        }
    }

    /// Follows an attempt, or first sends one, until it ends. Returns the finish reason; `None` if
    /// another attempt is to be made.
    async fn run_attempt(
        &mut self,
        attempt: Option<Box<OpenAttempt>>,
        silent: &mut SilentAttempts,
    ) -> RunResult<Option<String>> {
        let mut attempt = match attempt {
            Some(attempt) => attempt,
            None => match silent.or(self.prepare()).await {
                Ok(placement) => self.dispatch(placement?),
                Err(attempt) => attempt,
            },
        };
        loop {
            match self.follow(&mut attempt, silent).await? {
                AttemptEnd::Overtaken(other) => attempt = other,
                AttemptEnd::Finished(reason) => return Ok(Some(reason)),
                AttemptEnd::Rejected => return Err(self.run.stop(RefusalReason::BackendError)),
                AttemptEnd::NotStarted { retry_after } => {
                    self.exclude(&attempt.placement, retry_after);
                    return Ok(None);
                }
                AttemptEnd::NotSent => {
                    self.exclude(&attempt.placement, None);
                    self.run.service.view.probe(&attempt.placement.group.head.vm).await;
                    return Ok(None);
                }
                AttemptEnd::Lost => {
                    self.handle_lost_attempt(&attempt.placement).await?;
                    return Ok(None);
                }
                AttemptEnd::Silent => {
                    let lost = self.handle_lost_attempt(&attempt.placement).await;
                    silent.push(attempt);
                    return lost.map(|()| None);
                }
            }
        }
    }

    /// Chooses a group and does what is needed before bytes are written to it.
    async fn prepare(&mut self) -> RunResult<Placement> {
        loop {
            let placement = self.place().await?;
            let (address, stream) = (placement.group.head.address, placement.stream.clone());
            self.run.ensure_claim(address, Some(stream)).await?;
            self.run.check_dispatch().await?;
            if self.may_dispatch(&placement) {
                return Ok(placement);
            }
            self.run.pause_before_attempt().await?;
        }
    }

    /// Waits for a silent attempt to go on, now that no other one can be made. Returns the `stop`
    /// once there is none left.
    async fn await_silent(
        &mut self,
        stop: RunStop,
        silent: &mut SilentAttempts,
    ) -> RunResult<Box<OpenAttempt>> {
        let stop = match stop {
            RunStop::Refused(refusal) if refusal.may_await_silent() => {
                match self.run.until_end(silent.next()).await {
                    Ok(Some(attempt)) => return Ok(attempt),
                    Ok(None) => RunStop::Refused(refusal),
                    Err(stop) => stop,
                }
            }
            stop => stop,
        };
        let is_left = matches!(&stop, RunStop::Refused(end) if self.run.is_left_to_others(end));
        if !is_left {
            self.cancel_silent(silent);
        }
        Err(stop)
    }

    /// Whether the group and the suspect status are still as they were when the group was chosen.
    fn may_dispatch(&self, placement: &Placement) -> bool {
        let has_needed_slot = placement.slot.is_some() || !self.run.is_suspect();
        has_needed_slot && self.is_whole(&placement.group)
    }

    async fn handle_lost_attempt(&mut self, placement: &Placement) -> RunResult<()> {
        let group = placement.group.assignment.group.clone();
        self.run.handle_lost_attempt(group.as_str(), &placement.known).await?;
        self.avoid.push(group);
        Ok(())
    }

    /// Upper estimate of the tokens that the request costs.
    fn estimated_tokens(&self) -> u32 {
        self.route_query().prompt_tokens.saturating_add(self.call.max_tokens)
    }

    // ------------------------------------------------------------------------------------------
    // The end

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
