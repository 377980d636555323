//! State and steps shared by the runs of completions and plain calls.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_policy::SuspectStatus;
use comfreyturn_ports::{PeerNotice, RowKey, Step};
use comfreyturn_types::{RefusalReason, RequestOutcome, StreamId, VmId};
use futures_util::{
    FutureExt,
    future::{join_all, pending},
    select_biased,
};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    CallScope, ClaimPhase, ClaimRecord, Refusal, RequestService, StoredAnswer,
    admission_controller::AdmissionPermit,
    answer_stream::CallerPresence,
    claim_guard::ClaimGuard,
    claim_store::{ClaimInsert, ClaimJoin},
    crash_confirmation::{CrashConfirmation, KnownVm, has_crashed},
    in_flight::InFlightGuard,
    running_requests::RunningGuard,
    serving_metrics::ServingMetrics,
};

/// Result of waiting for a future.
pub(crate) enum Wait<T> {
    Ready(T),
    TimedOut,
    DeadlinePassed,
    CallerGone,
}

/// Why a run ended without a complete answer.
#[derive(Debug)]
pub(crate) enum RunStop {
    /// The caller gets this answer.
    Refused(Refusal),
    /// The caller disconnected.
    CallerGone,
    /// Another submission holds the claim.
    ClaimTaken,
}

/// Result of one step of a run.
pub(crate) type RunResult<T> = std::result::Result<T, RunStop>;

/// State shared by the runs of completions and plain calls.
pub(crate) struct RunScope {
    pub(crate) service: Rc<RequestService>,
    pub(crate) scope: CallScope,
    pub(crate) presence: CallerPresence,
    pub(crate) metrics: ServingMetrics,
    pub(crate) body_hash: u64,
    /// Identifies customer and body, the same at all nodes.
    pub(crate) fingerprint: u64,
    /// Whether bytes of the request may have reached a backend server that may have started it.
    pub(crate) sent: bool,
    /// Number of lost attempts that a backend server may have started.
    pub(crate) lost_attempts: u32,
    /// The claim, once the request has inserted one.
    pub(crate) claim: Option<ClaimGuard>,
    /// Whether the last attempt may have reached a running backend server. The request is not
    /// blamed for a crash before the dispatch.
    pub(crate) reached_backend: bool,
    /// Lists the last attempt as running at its target, until the next attempt replaces it.
    pub(crate) running_guard: Option<RunningGuard>,
    pub(crate) in_flight: InFlightGuard,
}

impl RunScope {
    pub(crate) fn now(&self) -> Instant {
        self.service.ports.now()
    }

    /// Awaits `work` for at most `limit`; ends early at the deadline or when the caller
    /// disconnects.
    pub(crate) async fn wait<T>(&self, limit: Duration, work: impl Future<Output = T>) -> Wait<T> {
        let left = self.scope.deadline.saturating_duration_since(self.now());
        let timeout = self.service.ports.clock.sleep(limit.min(left));
        let mut work = std::pin::pin!(work.fuse());
        let mut gone = std::pin::pin!(self.caller_gone().fuse());
        let mut timeout = timeout.fuse();
        select_biased! {
            output = work => Wait::Ready(output),
            () = gone => Wait::CallerGone,
            () = timeout => if limit < left { Wait::TimedOut } else { Wait::DeadlinePassed },
        }
    }

    /// Awaits `work` until the deadline or until the caller disconnects.
    pub(crate) async fn within_deadline<T>(&self, work: impl Future<Output = T>) -> RunResult<T> {
        match self.wait(Duration::MAX, work).await {
            Wait::Ready(output) => Ok(output),
            Wait::CallerGone => Err(RunStop::CallerGone),
            Wait::TimedOut | Wait::DeadlinePassed => {
                Err(self.stop(RefusalReason::DeadlineExceeded))
            }
        }
    }

    /// Sleeps before the next check of a state that is polled.
    pub(crate) async fn pause(&self, duration: Duration) -> RunResult<()> {
        self.within_deadline(self.service.ports.clock.sleep(duration)).await
    }

    /// Completes when the caller disconnects; never for a claimed request, which runs to its end so
    /// that a resend finds the answer.
    async fn caller_gone(&self) {
        if self.claim.is_some() {
            pending::<()>().await;
        }
        self.presence.gone().await;
    }

    /// Waits until the admission queue lets the request run.
    pub(crate) async fn admit(&self, tokens: u32) -> RunResult<AdmissionPermit> {
        let now = self.service.ports.now();
        self.service.view.record_demand(now, &self.scope.customer, tokens);
        let query = self.service.admission_query(&self.scope, tokens);
        let admission = self.service.admission.clone();
        let reply = self.within_deadline(admission.admit(&query)).await?;
        reply.map_err(RunStop::Refused)
    }

    // ------------------------------------------------------------------------------------------
    // Outcomes

    /// Returns the stop for a reason, with the outcome that applies to what was sent so far.
    pub(crate) fn stop(&self, reason: RefusalReason) -> RunStop {
        RunStop::Refused(self.refusal(reason))
    }

    pub(crate) fn refusal(&self, reason: RefusalReason) -> Refusal {
        if !self.sent {
            return Refusal::not_run(reason);
        }
        match reason {
            RefusalReason::BackendError
            | RefusalReason::CrashedBackends
            | RefusalReason::RetriesExhausted => Refusal::failed(reason),
            _ => Refusal::unknown(reason),
        }
    }

    /// Records the final answer of a claimed request.
    pub(crate) fn settle(&mut self, answer: StoredAnswer) {
        if let Some(claim) = self.claim.take() {
            claim.settle(answer, self.in_flight.clone());
        }
    }

    /// Records that a claimed request ended without success; deletes the claim if it did not run.
    pub(crate) fn settle_refused(&mut self, refusal: &Refusal) {
        if refusal.outcome == RequestOutcome::NotRun {
            self.claim = None;
            return;
        }
        let (outcome, reason) = (refusal.outcome, refusal.reason);
        self.settle(StoredAnswer::Refused { outcome, reason });
    }

    // ------------------------------------------------------------------------------------------
    // Claims

    /// Reads the claim under the request's key and waits until that submission ends. `claimed` is
    /// set when a claim is found.
    pub(crate) async fn join_claim(&self, claimed: &Cell<bool>) -> RunResult<ClaimJoin> {
        let Some(row) = self.claim_row() else {
            return Ok(ClaimJoin::Vacant);
        };
        let join = self.service.claims.join(&row, self.body_hash, claimed);
        match self.wait(Duration::MAX, join).await {
            Wait::Ready(join) => Ok(join),
            Wait::CallerGone => Err(RunStop::CallerGone),
            Wait::TimedOut | Wait::DeadlinePassed if claimed.get() => {
                Err(RunStop::Refused(Refusal::unknown(RefusalReason::DeadlineExceeded)))
            }
            Wait::TimedOut | Wait::DeadlinePassed => {
                Err(self.stop(RefusalReason::TableUnavailable))
            }
        }
    }

    /// Returns the stop for a submission that found an earlier one whose answer cannot be replayed.
    pub(crate) fn stop_joined(&self, join: ClaimJoin) -> RunStop {
        let refusal = match join {
            ClaimJoin::Settled(StoredAnswer::Refused { outcome, reason }) => {
                Refusal { outcome, ..Refusal::unknown(reason) }
            }
            ClaimJoin::OtherBody => Refusal::not_run(RefusalReason::DuplicateKey),
            ClaimJoin::Unavailable => self.refusal(RefusalReason::TableUnavailable),
            ClaimJoin::Orphaned { .. } => Refusal::unknown(RefusalReason::BackendLost),
            ClaimJoin::Settled(_) | ClaimJoin::Vacant => {
                Refusal::unknown(RefusalReason::DuplicateKey)
            }
        };
        RunStop::Refused(refusal)
    }

    /// Records the final answer of a claimed request whose owner is gone.
    pub(crate) fn settle_orphan(&self, record: ClaimRecord, answer: StoredAnswer) {
        let Some(row) = self.claim_row() else {
            return;
        };
        let (store, guard) = (self.service.claims.clone(), self.in_flight.clone());
        self.service.ports.spawner.spawn(Box::pin(async move {
            store.settle(&row, &record, answer).await;
            drop(guard);
        }));
    }

    /// The row key of the request's claim; `None` if the request needs no claim.
    pub(crate) fn claim_row(&self) -> Option<RowKey> {
        let key = self.scope.idempotency_key.as_ref().filter(|_| self.scope.non_idempotent)?;
        Some(self.service.claims.row_key(&self.scope.customer, key))
    }

    /// Inserts the claim, or updates its destination if the request already holds it.
    pub(crate) async fn ensure_claim(
        &mut self,
        address: SocketAddr,
        stream: Option<StreamId>,
    ) -> RunResult<()> {
        if let Some(mut claim) = self.claim.take() {
            claim.set_destination(address, stream).await;
            self.claim = Some(claim);
            return Ok(());
        }
        let Some(row) = self.claim_row() else {
            return Ok(());
        };
        let store = self.service.claims.clone();
        let phase = ClaimPhase::Dispatching { address, stream };
        let insert = store.insert(row, self.body_hash, phase);
        match self.within_deadline(insert).await? {
            ClaimInsert::Held(guard) => self.claim = Some(guard),
            ClaimInsert::Taken => return Err(RunStop::ClaimTaken),
            ClaimInsert::Unavailable => return Err(self.stop(RefusalReason::TableUnavailable)),
        }
        Ok(())
    }

    /// Last check before bytes are written: the claim is still valid and the deadline has not
    /// passed.
    pub(crate) async fn check_dispatch(&mut self) -> RunResult<()> {
        if let Some(mut claim) = self.claim.take() {
            match claim.confirm(self.now()).await {
                Ok(true) => self.claim = Some(claim),
                Ok(false) => return Err(self.stop(RefusalReason::DuplicateKey)),
                Err(_) => return Err(self.stop(RefusalReason::TableUnavailable)),
            }
        }
        if self.now() >= self.scope.deadline {
            return Err(self.stop(RefusalReason::DeadlineExceeded));
        }
        Ok(())
    }

    /// Records that bytes are about to be written to a target (a group or a plain backend server).
    pub(crate) fn dispatched(&mut self, target: &str, known: &[KnownVm]) {
        let crash = crash_id(target, known);
        self.running_guard = Some(self.service.running_requests.enter(crash, self.fingerprint));
        self.reached_backend = true;
        self.sent = true;
        if let Some(claim) = &mut self.claim {
            claim.dispatched();
        }
    }

    /// Records that the last dispatched attempt never started. `sent_before` is the value of
    /// [`Self::sent`] before that attempt.
    pub(crate) fn not_started(&mut self, sent_before: bool) {
        self.sent = sent_before;
        self.running_guard = None;
        if sent_before {
            return;
        }
        if let Some(claim) = &mut self.claim {
            claim.not_started();
        }
    }

    // ------------------------------------------------------------------------------------------
    // Suspects

    /// Whether the request is clear, suspect or quarantined.
    pub(crate) fn suspect_status(&self) -> SuspectStatus {
        let policies = self.service.policies.borrow();
        policies.suspects.status(self.now(), self.fingerprint)
    }

    /// Ends the run if the request is quarantined.
    pub(crate) fn check_quarantined(&self) -> RunResult<()> {
        let SuspectStatus::Quarantined { retry_after } = self.suspect_status() else {
            return Ok(());
        };
        Err(RunStop::Refused(
            Refusal::failed(RefusalReason::CrashedBackends).with_retry_after(retry_after),
        ))
    }

    /// Whether the request may run only while no other suspect runs at its target.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspect_status() != SuspectStatus::Clear
    }

    /// Clears the request after it ran to its end, and notifies peers if it was suspect.
    pub(crate) fn clear_suspicion(&self) {
        let (service, fingerprint) = (self.service.clone(), self.fingerprint);
        if !service.record_cleared(fingerprint) {
            return;
        }
        let guard = self.in_flight.clone();
        self.service.ports.spawner.spawn(Box::pin(async move {
            let notice = PeerNotice::SuspectCleared { fingerprint };
            service.view.notify(Step::SuspectNotify, notice).await;
            drop(guard);
        }));
    }

    /// Backend servers with their runs as known before a dispatch.
    pub(crate) fn known_vms(&self, vms: &[VmId]) -> Vec<KnownVm> {
        vms.iter().map(|vm| KnownVm { vm: vm.clone(), run: self.service.view.vm_run(vm) }).collect()
    }

    /// Checks whether a lost attempt was caused by a crash. If so, the request becomes suspect, and
    /// all peers are notified before this returns.
    ///
    /// A first crash is accepted at once, so that the request can be retried without delay, and is
    /// retracted if the backend server turns out to be alive. A second crash quarantines the
    /// request, so it is confirmed first.
    async fn detect_crash(&self, target: &str, known: &[KnownVm]) -> bool {
        let since = self.now();
        let mut missing = Vec::new();
        for member in known {
            let run = self.service.view.probe(&member.vm).await;
            if run.is_none() {
                self.service.view.report_lost(self.now(), &member.vm);
            }
            if has_crashed(member.run, run) {
                missing.push(member.clone());
            }
        }
        if missing.is_empty() || !self.reached_backend {
            return false;
        }
        let crash = crash_id(target, known);
        if self.service.knows_crash(self.fingerprint, crash) {
            self.announce_crash(self.fingerprint, crash).await;
            return true;
        }
        let confirmation = CrashConfirmation { service: self.service.clone(), missing, since };
        if self.is_suspect() && !confirmation.is_confirmed().await {
            return false;
        }
        self.mark_suspects(crash, &confirmation).await;
        true
    }

    /// Handles the loss of an attempt: marks the request as suspect if a backend server crashed,
    /// and returns `Ok` if the request may be retried.
    ///
    /// The first attempt lost to a crash is not charged to the retry budget. All requests at a
    /// target lose it at the same moment and the target is out of service by then, so these retries
    /// are limited to one per request that ran there and cannot amplify each other.
    pub(crate) async fn handle_lost_attempt(
        &mut self,
        target: &str,
        known: &[KnownVm],
    ) -> RunResult<()> {
        self.lost_attempts += 1;
        let crashed = self.detect_crash(target, known).await;
        if self.scope.non_idempotent {
            return Err(self.stop(RefusalReason::BackendLost));
        }
        self.check_quarantined()?;
        let now = self.now();
        let spent = self.lost_attempts >= self.service.settings.max_attempts;
        let exempt_from_budget = crashed && self.lost_attempts == 1;
        let allowed =
            exempt_from_budget || self.service.policies.borrow_mut().retries.try_retry(now);
        if spent || !allowed {
            return Err(self.stop(RefusalReason::RetriesExhausted));
        }
        self.metrics.retried();
        Ok(())
    }

    /// Records a crash for this request and for all others that ran at the same target. Their own
    /// runs would detect it too, but this node may be gone by then.
    async fn mark_suspects(&self, crash: u64, confirmation: &CrashConfirmation) {
        log::warn!(
            "suspects: request {} is suspect, its backend server seems to have crashed.",
            self.scope.request_id
        );
        self.metrics.crashed();
        let mut suspects = self.service.running_requests.at(crash);
        suspects.retain(|fingerprint| self.service.is_clear(*fingerprint));
        let newly_suspect = suspects.clone();
        suspects.insert(self.fingerprint);
        for fingerprint in &suspects {
            let request_crash = self.service.request_crash_id(*fingerprint, crash);
            self.service.record_crash(*fingerprint, request_crash);
        }
        join_all(suspects.into_iter().map(|fingerprint| self.announce_crash(fingerprint, crash)))
            .await;
        newly_suspect
            .into_iter()
            .for_each(|fingerprint| confirmation.retract_unless_confirmed(fingerprint));
    }

    async fn announce_crash(&self, fingerprint: u64, crash: u64) {
        let crash = self.service.request_crash_id(fingerprint, crash);
        let notice = PeerNotice::Suspect { fingerprint, death: crash };
        self.service.view.notify(Step::SuspectNotify, notice).await;
    }
}

/// Identifies a crash by the target and the incarnations of its backend servers: the same at all
/// nodes, and different after any of these servers has restarted.
fn crash_id(target: &str, known: &[KnownVm]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(target.as_bytes());
    for member in known {
        hasher.update(member.vm.as_str().as_bytes());
        hasher.update(&member.run.map_or(0, |run| run.incarnation.0).to_be_bytes());
    }
    hasher.digest()
}
