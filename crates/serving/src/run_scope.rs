//! State and steps shared by the runs of completions and plain calls.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyturn_types::RefusalReason;
use futures_util::{FutureExt, future::pending, select_biased};

use crate::{
    CallScope, Refusal, RequestService,
    admission_controller::AdmissionPermit,
    answer_stream::CallerPresence,
    claim_guard::ClaimGuard,
    crash_confirmation::{KnownVm, crash_id},
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
///
/// Its steps that concern the claim are in `run_claim`, those that concern crashes of backend
/// servers in `run_suspicion`.
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

    // ------------------------------------------------------------------------------------------
    // Dispatch

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
}
