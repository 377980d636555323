//! The suspicion of a run: whether its request crashed backend servers, and what follows from that.

use comfreyturn_policy::SuspectStatus;
use comfreyturn_ports::{PeerNotice, Step};
use comfreyturn_types::{RefusalReason, VmId};
use futures_util::future::join_all;

use crate::{
    Refusal,
    crash_confirmation::{CrashConfirmation, KnownVm, crash_id, has_crashed},
    run_scope::{RunResult, RunScope, RunStop},
};

impl RunScope {
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
        let exhausted = self.lost_attempts >= self.service.settings.max_attempts;
        let exempt_from_budget = crashed && self.lost_attempts == 1;
        let allowed =
            exempt_from_budget || self.service.policies.borrow_mut().retries.try_retry(now);
        if exhausted || !allowed {
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
