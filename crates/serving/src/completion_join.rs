//! Joins an earlier submission of a completion.

use std::{cell::Cell, net::SocketAddr};

use comfreyturn_ports::CompletionToken;
use comfreyturn_types::{RefusalReason, StreamId};

use crate::{
    ClaimRecord, Refusal, StoredAnswer,
    claim_store::ClaimJoin,
    completion_delivery::StreamEnd,
    completion_run::CompletionRun,
    open_attempt::{AttemptStreams, SilentAttempts},
    run_scope::{RunResult, RunStop},
};

impl CompletionRun {
    /// Delivers the answer of an earlier submission and returns its finish reason; `None` if there
    /// is no earlier submission.
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
            let token = CompletionToken { position, text };
            self.deliver(token).await.map_err(with_unknown_outcome)?;
        }
        Ok(())
    }

    /// Resumes the stream of a submission whose owner is gone. The request is never run again: the
    /// owner may be paused right before its dispatch.
    async fn resume_orphan(
        &mut self,
        record: ClaimRecord,
        address: SocketAddr,
        stream: StreamId,
    ) -> RunResult<String> {
        let lost = RunStop::Refused(Refusal::unknown(RefusalReason::BackendLost));
        let settings = self.run.service.settings.clone();
        let (mut streams, mut silent) = (AttemptStreams::default(), SilentAttempts::default());
        for tries in 0.. {
            if tries < settings.max_non_idempotent_resumes {
                streams.push(self.resume(address, &stream));
            } else if streams.is_empty() {
                break;
            }
            let delivered_before = self.delivered.len();
            match self.read(&mut streams, &mut silent, None).await.map_err(with_unknown_outcome)? {
                StreamEnd::Finished(reason) => {
                    let limit = settings.stored_answer_bytes;
                    let answer = StoredAnswer::from_completion(&self.delivered, &reason, limit);
                    self.run.settle_orphan(record, answer);
                    return Ok(reason);
                }
                StreamEnd::Gone => {
                    let reason = RefusalReason::BackendLost;
                    self.run.settle_orphan(record, StoredAnswer::unknown(reason));
                    return Err(lost);
                }
                _ if self.delivered.len() > delivered_before || !streams.is_empty() => {}
                _ => {
                    let pause = settings.resume_pause * 2u32.saturating_pow(tries);
                    self.run.pause(pause).await.map_err(with_unknown_outcome)?;
                }
            }
        }
        Err(lost)
    }
}

/// Changes the outcome of a refusal to `unknown`: this submission sent nothing, but the earlier one
/// may have run.
fn with_unknown_outcome(stop: RunStop) -> RunStop {
    match stop {
        RunStop::Refused(refusal) => RunStop::Refused(Refusal::unknown(refusal.reason)),
        stop => stop,
    }
}
