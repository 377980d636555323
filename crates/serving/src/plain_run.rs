//! Runs one call of a plain service from admission to its end.

use std::{cell::Cell, pin::pin, rc::Rc, time::Instant};

use comfreyturn_ports::{BackendError, BackendResult, PlainRequest, PlainResponse, Step};
use comfreyturn_types::{RefusalReason, VmId, VmRecord};
use futures_util::{
    FutureExt,
    future::{Either, select},
};

use crate::{
    PlainCall, Refusal, Result, StoredAnswer,
    claim_store::ClaimJoin,
    completion_run::CLAIM_ROUNDS,
    crash_confirmation::KnownVm,
    run_scope::{RunResult, RunScope, RunStop, Wait},
    silent_calls::SilentCalls,
    suspect_slots::SlotGuard,
};

/// Destination of an attempt.
pub(crate) struct Placement {
    backend: VmRecord,
    known: Vec<KnownVm>,
    /// Held by a suspect until it has ended.
    slot: Option<SlotGuard>,
    /// Counts the call at the backend server.
    _load: Rc<VmId>,
}

/// The state of one call of a plain service.
pub(crate) struct PlainRun {
    run: RunScope,
    request: PlainRequest,
    excluded: Vec<VmId>,
    started_at: Instant,
}

impl PlainRun {
    pub(crate) fn new(run: RunScope, call: PlainCall, started_at: Instant) -> Self {
        let request = PlainRequest { head: call.head, body: call.body };
        Self { run, request, excluded: Vec::new(), started_at }
    }

    /// Runs the call; `None` if the caller disconnected.
    pub(crate) async fn run(mut self) -> Option<Result<PlainResponse>> {
        match self.serve().await {
            Ok(response) => {
                self.finish(&response);
                Some(Ok(response))
            }
            Err(RunStop::Refused(refusal)) => Some(Err(self.refuse(refusal))),
            Err(RunStop::CallerGone | RunStop::ClaimTaken) => None,
        }
    }

    /// Joins an earlier submission with the same key, or runs the call.
    async fn serve(&mut self) -> RunResult<PlainResponse> {
        let claimed = Cell::new(false);
        for _ in 0..CLAIM_ROUNDS {
            if let Some(response) = self.join(&claimed).await? {
                return Ok(response);
            }
            let _permit = self.run.admit(0).await?;
            let end = self.run_attempts().await;
            self.run.stop_timer(end.is_ok());
            match end {
                Err(RunStop::ClaimTaken) => claimed.set(true),
                end => return end,
            }
        }
        Err(self.run.stop(RefusalReason::DuplicateKey))
    }

    async fn join(&self, claimed: &Cell<bool>) -> RunResult<Option<PlainResponse>> {
        let join = match self.run.join_claim(claimed).await? {
            ClaimJoin::Vacant => return Ok(None),
            join => join,
        };
        if let ClaimJoin::Orphaned { record, .. } = &join {
            let answer = StoredAnswer::unknown(RefusalReason::BackendLost);
            self.run.settle_orphan(record.clone(), answer);
        }
        match &join {
            ClaimJoin::Settled(answer) if answer.to_plain().is_some() => Ok(answer.to_plain()),
            _ => Err(self.run.stop_joined(join)),
        }
    }

    /// Calls backend servers. The first complete response wins, also one of a server that was silent.
    async fn run_attempts(&mut self) -> RunResult<PlainResponse> {
        self.run.service.policies.borrow_mut().retries.record_request(self.run.now());
        let silent = SilentCalls::default();
        let stop = match select(pin!(self.call_backends(&silent)), pin!(silent.response())).await {
            Either::Left((Ok(response), _)) | Either::Right((response, _)) => return Ok(response),
            Either::Left((Err(stop), _)) => stop,
        };
        match stop {
            RunStop::Refused(refusal) if refusal.may_await_silent() => {
                let response = self.run.until_end(silent.last_response()).await?;
                response.ok_or(RunStop::Refused(refusal))
            }
            stop => Err(stop),
        }
    }

    /// Calls one backend server after the other. Calls to silent ones go on in `silent`.
    async fn call_backends(&mut self, silent: &SilentCalls) -> RunResult<PlainResponse> {
        loop {
            let placement = self.place().await?;
            self.run.ensure_claim(placement.backend.address, None).await?;
            self.run.check_dispatch().await?;
            if !self.may_dispatch(&placement) {
                self.run.pause_before_attempt().await?;
                continue;
            }
            let sent_before = self.run.sent;
            let target = placement.backend.vm.clone();
            let known = placement.known.clone();
            self.run.dispatched(target.as_str(), &known);
            match self.call(placement, silent).await? {
                Ok(response) => return Ok(response),
                Err(BackendError::NotSent) => {
                    self.run.not_started(sent_before);
                    self.excluded.push(target.clone());
                    self.run.service.view.probe(&target).await;
                }
                Err(BackendError::NotStarted { .. }) => {
                    self.run.not_started(sent_before);
                    self.excluded.push(target);
                }
                Err(BackendError::Rejected { .. }) => {
                    return Err(self.run.stop(RefusalReason::BackendError));
                }
                Err(BackendError::Broken | BackendError::UnknownStream) => {
                    self.excluded.push(target.clone());
                    self.run.handle_lost_attempt(target.as_str(), &known).await?;
                }
            }
        }
    }

    // ------------------------------------------------------------------------------------------
    // Placing

    /// Chooses the backend server with the fewest calls in progress from this node.
    async fn place(&mut self) -> RunResult<Placement> {
        let give_up_at = self.run.now() + self.run.service.settings.group_wait;
        loop {
            self.run.check_quarantined()?;
            if let Some(placement) = self.try_place().await? {
                return Ok(placement);
            }
            let busy = !self.open_backends().is_empty();
            let late = self.run.now() >= give_up_at && !self.run.is_suspect();
            if late || !(busy || self.run.sent) {
                return Err(self.run.stop(RefusalReason::NoCapacity));
            }
            self.run.pause_before_attempt().await?;
            if self.run.sent {
                self.excluded.clear();
            }
        }
    }

    async fn try_place(&self) -> RunResult<Option<Placement>> {
        let suspect = self.run.is_suspect();
        for backend in self.open_backends() {
            let slot = if suspect { self.acquire_slot(&backend).await? } else { None };
            if (!suspect || slot.is_some()) && self.is_open(&backend) {
                return Ok(Some(self.placement(backend, slot)));
            }
        }
        Ok(None)
    }

    async fn acquire_slot(&self, backend: &VmRecord) -> RunResult<Option<SlotGuard>> {
        let slots = self.run.service.slots.clone();
        if !slots.may_acquire(self.run.now(), backend.vm.as_str()) {
            return Ok(None);
        }
        self.run.before_attempt(slots.acquire(backend.vm.as_str())).await
    }

    fn open_backends(&self) -> Vec<VmRecord> {
        let service = &self.run.service;
        let mut backends = service.view.plain_backends(self.run.now(), &self.run.scope.service);
        backends.retain(|backend| !self.excluded.contains(&backend.vm));
        backends.sort_by_key(|backend| service.plain_load.count(&backend.vm));
        backends
    }

    fn is_open(&self, backend: &VmRecord) -> bool {
        self.open_backends().iter().any(|open| open.vm == backend.vm)
    }

    fn may_dispatch(&self, placement: &Placement) -> bool {
        let has_needed_slot = placement.slot.is_some() || !self.run.is_suspect();
        has_needed_slot && self.is_open(&placement.backend)
    }

    fn placement(&self, backend: VmRecord, slot: Option<SlotGuard>) -> Placement {
        let known = self.run.known_vms(std::slice::from_ref(&backend.vm));
        let load = self.run.service.plain_load.enter(&backend.vm);
        Placement { backend, known, slot, _load: load }
    }

    // ------------------------------------------------------------------------------------------
    // One attempt

    /// Calls the backend server. Polls it after each stall timeout; if it doesn't answer the poll, the
    /// call goes on in `silent` and counts as broken here.
    async fn call(
        &self,
        placement: Placement,
        silent: &SilentCalls,
    ) -> RunResult<BackendResult<PlainResponse>> {
        let backends = self.run.service.ports.backends.clone();
        let step = self.dispatch_step(&placement);
        let (address, request) = (placement.backend.address, self.request.clone());
        let mut work = async move { backends.call(step, address, &request).await }.boxed_local();
        loop {
            let stall = self.run.service.settings.stall_timeout;
            match self.run.wait(stall, &mut work).await {
                Wait::Ready(answer) => return Ok(answer),
                Wait::TimedOut => {}
                Wait::Ended(reason) => return Err(self.run.stop(reason)),
                Wait::CallerGone => return Err(RunStop::CallerGone),
            }
            let poll = self.run.service.view.probe(&placement.backend.vm);
            let responds = match select(&mut work, poll).await {
                Either::Left((answer, _)) => return Ok(answer),
                Either::Right((run, _)) => run.is_some(),
            };
            if !responds {
                silent.push(work, placement);
                return Ok(Err(BackendError::Broken));
            }
        }
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

    // ------------------------------------------------------------------------------------------
    // The end

    fn finish(&mut self, response: &PlainResponse) {
        self.run.clear_suspicion();
        let limit = self.run.service.settings.stored_answer_bytes;
        self.run.settle(StoredAnswer::from_plain(response, limit));
        let elapsed = self.run.now().saturating_duration_since(self.started_at);
        self.run.metrics.whole_answer(elapsed);
    }

    fn refuse(&mut self, refusal: Refusal) -> Refusal {
        self.run.settle_refused(&refusal);
        let refusal = self.run.service.add_retry_hints(&self.run.scope, refusal);
        self.run.metrics.refused(&refusal);
        refusal
    }
}
