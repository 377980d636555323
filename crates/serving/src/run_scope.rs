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
    shutdown_watch::RunTimer,
};

/// Pause between two checks whether the node must end before a pending request.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Result of waiting for a future.
pub(crate) enum Wait<T> {
    Ready(T),
    TimedOut,
    /// The deadline has passed, or the node must end.
    Ended(RefusalReason),
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
    /// The time that the request runs, once it is admitted.
    pub(crate) timer: Option<RunTimer>,
    pub(crate) in_flight: InFlightGuard,
}

impl RunScope {
    pub(crate) fn now(&self) -> Instant {
        self.service.ports.now()
    }

    /// When the request must have ended, and why.
    fn ends_at(&self) -> (Instant, RefusalReason) {
        match self.service.shutdown.term() {
            Some(term) if term.ends_at < self.scope.deadline => {
                (term.ends_at, RefusalReason::NodeLeaving)
            }
            _ => (self.scope.deadline, RefusalReason::DeadlineExceeded),
        }
    }

    /// Awaits `work` for at most `limit`; ends early at the deadline, in time before the node ends,
    /// or when the caller disconnects.
    pub(crate) async fn wait<T>(&self, limit: Duration, work: impl Future<Output = T>) -> Wait<T> {
        let started_at = self.now();
        let mut work = std::pin::pin!(work.fuse());
        let mut gone = std::pin::pin!(self.caller_gone().fuse());
        loop {
            let now = self.now();
            let (ends_at, reason) = self.ends_at();
            let left = ends_at.saturating_duration_since(now);
            let limit = limit.saturating_sub(now.saturating_duration_since(started_at));
            let pause = limit.min(left).min(STOP_CHECK_PERIOD);
            let mut timeout = self.service.ports.clock.sleep(pause).fuse();
            select_biased! {
                output = work => return Wait::Ready(output),
                () = gone => return Wait::CallerGone,
                () = timeout => {}
            }
            if pause == limit.min(left) {
                return if limit < left { Wait::TimedOut } else { Wait::Ended(reason) };
            }
        }
    }

    /// Awaits `work` until the request must end or the caller disconnects.
    pub(crate) async fn until_end<T>(&self, work: impl Future<Output = T>) -> RunResult<T> {
        match self.wait(Duration::MAX, work).await {
            Wait::Ready(output) => Ok(output),
            Wait::CallerGone => Err(RunStop::CallerGone),
            Wait::TimedOut => Err(self.stop(RefusalReason::DeadlineExceeded)),
            Wait::Ended(reason) => Err(self.stop(reason)),
        }
    }

    /// Like [`Self::until_end`] for what comes before an attempt. A request that has not run also
    /// ends once it could not be answered any more before the node ends.
    pub(crate) async fn before_attempt<T>(&self, work: impl Future<Output = T>) -> RunResult<T> {
        let mut work = std::pin::pin!(work);
        loop {
            self.check_time_left()?;
            match self.wait(STOP_CHECK_PERIOD, &mut work).await {
                Wait::Ready(output) => return Ok(output),
                Wait::CallerGone => return Err(RunStop::CallerGone),
                Wait::Ended(reason) => return Err(self.stop(reason)),
                Wait::TimedOut => {}
            }
        }
    }

    /// Ends a request that has not run if it could not be answered before the node ends.
    fn check_time_left(&self) -> RunResult<()> {
        let (service, deadline) = (&self.scope.service, self.scope.deadline);
        if self.sent || self.service.shutdown.can_finish(self.now(), service, deadline) {
            return Ok(());
        }
        Err(self.stop(RefusalReason::NodeLeaving))
    }

    /// Sleeps before the next try to resume a stream.
    pub(crate) async fn pause(&self, duration: Duration) -> RunResult<()> {
        self.until_end(self.service.ports.clock.sleep(duration)).await
    }

    /// Sleeps before the next check whether an attempt can begin.
    pub(crate) async fn pause_before_attempt(&self) -> RunResult<()> {
        let period = self.service.settings.poll_period;
        self.before_attempt(self.service.ports.clock.sleep(period)).await
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
    pub(crate) async fn admit(&mut self, tokens: u32) -> RunResult<AdmissionPermit> {
        let now = self.service.ports.now();
        self.service.view.record_demand(now, &self.scope.customer, tokens);
        let query = self.service.admission_query(&self.scope, tokens);
        let admission = self.service.admission.clone();
        let reply = self.before_attempt(admission.admit(&query)).await?;
        let permit = reply.map_err(RunStop::Refused)?;
        self.timer = Some(self.service.shutdown.enter(self.now(), &self.scope.service));
        Ok(permit)
    }

    /// Ends the time that the request runs. It counts if the answer is complete.
    pub(crate) fn stop_timer(&mut self, is_answered: bool) {
        if let Some(timer) = self.timer.take()
            && is_answered
        {
            timer.record(self.now());
        }
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

    /// Last check before bytes are written: the claim is still valid, the deadline has not passed,
    /// and the node does not end too soon.
    pub(crate) async fn check_dispatch(&mut self) -> RunResult<()> {
        if let Some(mut claim) = self.claim.take() {
            match claim.confirm(self.now()).await {
                Ok(true) => self.claim = Some(claim),
                Ok(false) => return Err(self.stop(RefusalReason::DuplicateKey)),
                Err(_) => return Err(self.stop(RefusalReason::TableUnavailable)),
            }
        }
        let (ends_at, reason) = self.ends_at();
        if self.now() >= ends_at {
            return Err(self.stop(reason));
        }
        self.check_time_left()
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
