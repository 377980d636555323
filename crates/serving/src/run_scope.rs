//! What the runs of completions and plain calls share.

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
    admission_desk::AdmissionPermit,
    answer_stream::CallerPresence,
    claim_book::{ClaimInsert, ClaimJoin},
    claim_hold::ClaimHold,
    death_doubt::{DeathDoubt, KnownVm, is_death},
    in_flight::InFlightGuard,
    place_runs::PlaceMark,
    serving_metrics::ServingMetrics,
};

/// What awaiting something came to.
pub(crate) enum Wait<T> {
    Ready(T),
    TimedOut,
    DeadlinePassed,
    CallerGone,
}

/// Why a run ended without a whole answer.
#[derive(Debug)]
pub(crate) enum RunStop {
    /// The caller gets this answer.
    Refused(Refusal),
    /// Nobody awaits an answer.
    CallerGone,
    /// Another submission holds the claim.
    ClaimTaken,
}

/// Result of a part of a run.
pub(crate) type RunResult<T> = std::result::Result<T, RunStop>;

/// What the runs of completions and plain calls share.
pub(crate) struct RunScope {
    pub(crate) service: Rc<RequestService>,
    pub(crate) scope: CallScope,
    pub(crate) presence: CallerPresence,
    pub(crate) metrics: ServingMetrics,
    pub(crate) body_hash: u64,
    /// Names customer and body over all nodes.
    pub(crate) fingerprint: u64,
    /// Whether bytes of the request may have reached a backend server that may have started it.
    pub(crate) sent: bool,
    /// Attempts that a backend server may have started and that were lost.
    pub(crate) lost: u32,
    /// The claim, once the request holds one.
    pub(crate) claim: Option<ClaimHold>,
    /// Whether the last attempt may have met a living backend server. A death before the dispatch
    /// is not the request's.
    pub(crate) accepted: bool,
    /// Where the last attempt runs, or ran until it was lost.
    pub(crate) place_mark: Option<PlaceMark>,
    pub(crate) in_flight: InFlightGuard,
}

impl RunScope {
    pub(crate) fn now(&self) -> Instant {
        self.service.ports.now()
    }

    /// Awaits `work` for at most `limit`, while there is a caller and time left.
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

    /// Awaits `work` while there is a caller and time left.
    pub(crate) async fn within_deadline<T>(&self, work: impl Future<Output = T>) -> RunResult<T> {
        match self.wait(Duration::MAX, work).await {
            Wait::Ready(output) => Ok(output),
            Wait::CallerGone => Err(RunStop::CallerGone),
            Wait::TimedOut | Wait::DeadlinePassed => {
                Err(self.stop(RefusalReason::DeadlineExceeded))
            }
        }
    }

    /// Waits for a change that has no event.
    pub(crate) async fn pause(&self, duration: Duration) -> RunResult<()> {
        self.within_deadline(self.service.ports.clock.sleep(duration)).await
    }

    /// A claimed request runs to its end without its caller, so that a resend finds the answer.
    async fn caller_gone(&self) {
        if self.claim.is_some() {
            pending::<()>().await;
        }
        self.presence.gone().await;
    }

    /// Awaits that the request may run.
    pub(crate) async fn admit(&self, tokens: u32) -> RunResult<AdmissionPermit> {
        let now = self.service.ports.now();
        self.service.view.record_demand(now, &self.scope.customer, tokens);
        let query = self.service.admission_query(&self.scope, tokens);
        let desk = self.service.desk.clone();
        let reply = self.within_deadline(desk.admit(&query)).await?;
        reply.map_err(RunStop::Refused)
    }

    // ------------------------------------------------------------------------------------------
    // Outcomes

    /// The end of the run for a reason, in the word that is true of it.
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

    /// Records the end of a claimed request.
    pub(crate) fn settle(&mut self, answer: StoredAnswer) {
        if let Some(claim) = self.claim.take() {
            claim.settle(answer, self.in_flight.clone());
        }
    }

    /// Records that a claimed request ended without success.
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

    /// Looks for an earlier submission under the request's key, and awaits its end. `claimed` says
    /// whether a claim was seen.
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

    /// The end of a submission that found an earlier one without an answer to give.
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

    /// Records the end of a claimed request whose owner is gone.
    pub(crate) fn settle_orphan(&self, record: ClaimRecord, answer: StoredAnswer) {
        let Some(row) = self.claim_row() else {
            return;
        };
        let (book, guard) = (self.service.claims.clone(), self.in_flight.clone());
        self.service.ports.spawner.spawn(Box::pin(async move {
            book.settle(&row, &record, answer).await;
            drop(guard);
        }));
    }

    /// The row of the claim that the request needs, if it needs one.
    pub(crate) fn claim_row(&self) -> Option<RowKey> {
        let key = self.scope.idempotency_key.as_ref().filter(|_| self.scope.non_idempotent)?;
        Some(self.service.claims.row_key(&self.scope.customer, key))
    }

    /// Takes the claim, or points it to where the request goes now.
    pub(crate) async fn hold_claim(
        &mut self,
        address: SocketAddr,
        stream: Option<StreamId>,
    ) -> RunResult<()> {
        if let Some(mut claim) = self.claim.take() {
            claim.move_to(address, stream).await;
            self.claim = Some(claim);
            return Ok(());
        }
        let Some(row) = self.claim_row() else {
            return Ok(());
        };
        let book = self.service.claims.clone();
        let phase = ClaimPhase::Dispatching { address, stream };
        let insert = book.insert(row, self.body_hash, phase);
        match self.within_deadline(insert).await? {
            ClaimInsert::Held(hold) => self.claim = Some(hold),
            ClaimInsert::Taken => return Err(RunStop::ClaimTaken),
            ClaimInsert::Unavailable => return Err(self.stop(RefusalReason::TableUnavailable)),
        }
        Ok(())
    }

    /// The last look before bytes are written: the claim still standing, and time left.
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

    /// Bytes are about to be written to a backend server of a place.
    pub(crate) fn dispatched(&mut self, place: &str, known: &[KnownVm]) {
        let death = death_number(place, known);
        self.place_mark = Some(self.service.place_runs.enter(death, self.fingerprint));
        self.accepted = true;
        self.sent = true;
        if let Some(claim) = &mut self.claim {
            claim.dispatched();
        }
    }

    /// The attempt that was dispatched last never started. `sent_before` is what held before it.
    pub(crate) fn not_started(&mut self, sent_before: bool) {
        self.sent = sent_before;
        self.place_mark = None;
        if sent_before {
            return;
        }
        if let Some(claim) = &mut self.claim {
            claim.not_started();
        }
    }

    // ------------------------------------------------------------------------------------------
    // Suspects

    /// What is held against the request.
    pub(crate) fn suspect_status(&self) -> SuspectStatus {
        let policies = self.service.policies.borrow();
        policies.suspects.status(self.now(), self.fingerprint)
    }

    /// The end of a request that is condemned, if it is.
    pub(crate) fn check_condemned(&self) -> RunResult<()> {
        let SuspectStatus::Quarantined { retry_after } = self.suspect_status() else {
            return Ok(());
        };
        Err(RunStop::Refused(Refusal::failed(RefusalReason::CrashedBackends).after(retry_after)))
    }

    /// Whether the request must run alone among suspects of its place.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspect_status() != SuspectStatus::Clear
    }

    /// The request ran to its end; peers are told if it was suspect.
    pub(crate) fn clear_suspicion(&self) {
        let (service, fingerprint) = (self.service.clone(), self.fingerprint);
        if !service.note_cleared(fingerprint) {
            return;
        }
        let guard = self.in_flight.clone();
        self.service.ports.spawner.spawn(Box::pin(async move {
            let notice = PeerNotice::SuspectCleared { fingerprint };
            service.view.notify(Step::SuspectNotify, notice).await;
            drop(guard);
        }));
    }

    /// Runs of backend servers as known before a dispatch.
    pub(crate) fn known_vms(&self, vms: &[VmId]) -> Vec<KnownVm> {
        vms.iter().map(|vm| KnownVm { vm: vm.clone(), run: self.service.view.vm_run(vm) }).collect()
    }

    /// Looks for a death behind a lost attempt, and says whether there is one. If so, the request
    /// becomes suspect, and all peers know it before this returns.
    ///
    /// A first death is believed at once, so that the request can go on, and taken back if the
    /// backend server turns out to be alive. A second one, which condemns, is doubted first.
    async fn examine_loss(&self, place: &str, known: &[KnownVm]) -> bool {
        let since = self.now();
        let mut missing = Vec::new();
        for member in known {
            let run = self.service.view.probe(&member.vm).await;
            if run.is_none() {
                self.service.view.report_lost(self.now(), &member.vm);
            }
            if is_death(member.run, run) {
                missing.push(member.clone());
            }
        }
        if missing.is_empty() || !self.accepted {
            return false;
        }
        let death = death_number(place, known);
        if self.service.knows_death(self.fingerprint, death) {
            self.tell_death(self.fingerprint, death).await;
            return true;
        }
        let doubt = DeathDoubt { service: self.service.clone(), missing, since };
        if self.is_suspect() && !doubt.is_confirmed().await {
            return false;
        }
        self.record_death(death, &doubt).await;
        true
    }

    /// An attempt is lost. The request becomes suspect if a backend server died, and may run again
    /// if nothing speaks against it.
    ///
    /// The first attempt that a death took costs nothing of the retry budget: all requests of a
    /// place lose it at the same moment, and the place is out of service by then, so these repeats
    /// are at most one for each request that ran there and cannot feed on themselves.
    pub(crate) async fn give_up_attempt(
        &mut self,
        place: &str,
        known: &[KnownVm],
    ) -> RunResult<()> {
        self.lost += 1;
        let died = self.examine_loss(place, known).await;
        if self.scope.non_idempotent {
            return Err(self.stop(RefusalReason::BackendLost));
        }
        self.check_condemned()?;
        let now = self.now();
        let spent = self.lost >= self.service.settings.max_attempts;
        let is_free = died && self.lost == 1;
        let allowed = is_free || self.service.policies.borrow_mut().retries.try_retry(now);
        if spent || !allowed {
            return Err(self.stop(RefusalReason::RetriesExhausted));
        }
        self.metrics.retried();
        Ok(())
    }

    /// Holds a death against this request, and against all others that ran at the place. They
    /// would find it themselves, but this node may be gone by then.
    async fn record_death(&self, death: u64, doubt: &DeathDoubt) {
        log::warn!("suspects: request {} lost its backend server.", self.scope.request_id);
        self.metrics.died();
        let mut held = self.service.place_runs.at(death);
        held.retain(|fingerprint| self.service.is_clear(*fingerprint));
        let first_deaths = held.clone();
        held.insert(self.fingerprint);
        for fingerprint in &held {
            let number = self.service.number_death(*fingerprint, death);
            self.service.note_death(*fingerprint, number);
        }
        join_all(held.into_iter().map(|fingerprint| self.tell_death(fingerprint, death))).await;
        first_deaths.into_iter().for_each(|fingerprint| doubt.follow(fingerprint));
    }

    async fn tell_death(&self, fingerprint: u64, death: u64) {
        let death = self.service.number_death(fingerprint, death);
        let notice = PeerNotice::Suspect { fingerprint, death };
        self.service.view.notify(Step::SuspectNotify, notice).await;
    }
}

/// Names a death: the same at all nodes for one loss of a place, another one after any of its
/// backend servers started again.
fn death_number(place: &str, known: &[KnownVm]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(place.as_bytes());
    for member in known {
        hasher.update(member.vm.as_str().as_bytes());
        hasher.update(&member.run.map_or(0, |run| run.incarnation.0).to_be_bytes());
    }
    hasher.digest()
}
