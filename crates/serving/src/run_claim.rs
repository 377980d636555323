//! The claim of a run: how it is joined, inserted and settled.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use comfreyturn_ports::RowKey;
use comfreyturn_types::{RefusalReason, RequestOutcome, StreamId};

use crate::{
    ClaimPhase, ClaimRecord, Refusal, StoredAnswer,
    claim_guard::ClaimGuard,
    claim_store::{ClaimInsert, ClaimJoin},
    run_scope::{RunResult, RunScope, RunStop, Wait},
};

impl RunScope {
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
            Wait::Ended(reason) if claimed.get() => Err(RunStop::Refused(Refusal::unknown(reason))),
            Wait::Ended(RefusalReason::NodeLeaving) => Err(self.stop(RefusalReason::NodeLeaving)),
            Wait::TimedOut | Wait::Ended(_) => Err(self.stop(RefusalReason::TableUnavailable)),
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
        match self.before_attempt(insert).await? {
            ClaimInsert::Held(guard) => self.claim = Some(guard),
            ClaimInsert::Taken => return Err(RunStop::ClaimTaken),
            ClaimInsert::Unavailable => return Err(self.stop(RefusalReason::TableUnavailable)),
        }
        Ok(())
    }

    /// Records the final answer of a claimed request.
    pub(crate) fn settle(&mut self, answer: StoredAnswer) {
        if let Some(claim) = self.claim.take() {
            claim.settle(answer, self.in_flight.clone());
        }
    }

    /// Whether the stream of a claimed request goes on at the engine without this node, which ends:
    /// a submission elsewhere joins it.
    pub(crate) fn is_left_to_others(&self, refusal: &Refusal) -> bool {
        let has_stream = self.claim.as_ref().is_some_and(ClaimGuard::has_stream);
        has_stream && refusal.reason == RefusalReason::NodeLeaving
    }

    /// Records that a claimed request ended without success; deletes the claim if it did not run.
    pub(crate) fn settle_refused(&mut self, refusal: &Refusal) {
        if refusal.outcome == RequestOutcome::NotRun || self.is_left_to_others(refusal) {
            self.claim = None;
            return;
        }
        let (outcome, reason) = (refusal.outcome, refusal.reason);
        self.settle(StoredAnswer::Refused { outcome, reason });
    }
}
