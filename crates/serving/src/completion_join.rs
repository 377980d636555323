//! Joining an earlier submission of a completion.

use std::{cell::Cell, net::SocketAddr};

use comfreyturn_ports::{BackendError, CompletionToken};
use comfreyturn_types::{RefusalReason, StreamId};

use crate::{
    ClaimRecord, Refusal, StoredAnswer,
    claim_store::ClaimJoin,
    completion_run::{CompletionRun, StreamEnd},
    run_scope::{RunResult, RunStop},
};

impl CompletionRun {
    /// Gives the answer of an earlier submission, with the reason why generation ended. `None` if
    /// there is no earlier one.
    pub(crate) async fn join(&mut self, claimed: &Cell<bool>) -> RunResult<Option<String>> {
        match self.run.join_claim(claimed).await? {
            ClaimJoin::Vacant => Ok(None),
            ClaimJoin::Settled(StoredAnswer::Completion { tokens, reason }) => {
                self.replay(tokens).await?;
                Ok(Some(reason))
            }
            ClaimJoin::Orphaned { record, address, stream: Some(stream) } => {
                self.resume_orphan(record, address, stream).await.map(Some)
            }
            join => Err(self.run.stop_joined(join)),
        }
    }

    async fn replay(&mut self, tokens: Vec<String>) -> RunResult<()> {
        for text in tokens {
            let position = self.position();
            self.deliver(CompletionToken { position, text }).await?;
        }
        Ok(())
    }

    /// Resumes the stream of an owner that is gone. It is never run again: the owner may be frozen
    /// right before its dispatch.
    async fn resume_orphan(
        &mut self,
        record: ClaimRecord,
        address: SocketAddr,
        stream: StreamId,
    ) -> RunResult<String> {
        let lost = RunStop::Refused(Refusal::unknown(RefusalReason::BackendLost));
        let settings = self.run.service.settings.clone();
        for tries in 0..settings.max_non_idempotent_resumes {
            let opened = match self.resume(address, &stream).await.map_err(not_settled)? {
                Ok(opened) => opened,
                Err(BackendError::NotSent | BackendError::Broken) => {
                    self.run
                        .pause(settings.resume_pause * 2u32.saturating_pow(tries))
                        .await
                        .map_err(not_settled)?;
                    continue;
                }
                Err(_) => {
                    let reason = RefusalReason::BackendLost;
                    self.run.settle_orphan(record, StoredAnswer::unknown(reason));
                    return Err(lost);
                }
            };
            if let StreamEnd::Finished(reason) =
                self.read(opened, None).await.map_err(not_settled)?
            {
                let limit = settings.stored_answer_bytes;
                let answer = StoredAnswer::from_completion(&self.delivered, &reason, limit);
                self.run.settle_orphan(record, answer);
                return Ok(reason);
            }
        }
        Err(lost)
    }
}

/// Nothing was sent by this submission, but an earlier one may have run.
fn not_settled(stop: RunStop) -> RunStop {
    match stop {
        RunStop::Refused(refusal) => RunStop::Refused(Refusal::unknown(refusal.reason)),
        stop => stop,
    }
}
