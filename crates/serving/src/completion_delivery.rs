//! Reads the stream of a completion and delivers its tokens to the caller, each position once.

use std::time::Instant;

use comfreyturn_ports::{BackendError, CompletionEvent, CompletionStream, CompletionToken};
use comfreyturn_types::GroupId;
use futures_util::StreamExt;

use crate::{
    completion_run::CompletionRun,
    run_scope::{RunResult, RunStop, Wait},
};

/// How reading a stream ended.
pub(crate) enum StreamEnd {
    Finished(String),
    Rejected,
    Broken,
}

impl CompletionRun {
    /// Delivers the parts of a stream to the caller, each position once. `source` is the group and
    /// the time of the dispatch; `None` if the stream belongs to an earlier submission.
    pub(crate) async fn read(
        &mut self,
        mut stream: CompletionStream,
        source: Option<&(GroupId, Instant)>,
    ) -> RunResult<StreamEnd> {
        loop {
            let stall = self.run.service.settings.stall_timeout;
            let part = match self.run.wait(stall, stream.next()).await {
                Wait::Ready(part) => part,
                Wait::TimedOut => return Ok(StreamEnd::Broken),
                Wait::Ended(reason) => return Err(self.run.stop(reason)),
                Wait::CallerGone => return Err(RunStop::CallerGone),
            };
            match part {
                Some(Ok(CompletionEvent::Token(token))) if token.position < self.position() => {}
                Some(Ok(CompletionEvent::Token(token))) if token.position == self.position() => {
                    self.record_token(source);
                    self.deliver(token).await?;
                }
                Some(Ok(CompletionEvent::Finished { reason })) if self.is_plausible(&reason) => {
                    return Ok(StreamEnd::Finished(reason));
                }
                Some(Err(BackendError::Rejected { .. })) => return Ok(StreamEnd::Rejected),
                _ => return Ok(StreamEnd::Broken),
            }
        }
    }

    /// Rejects the finish reason `length` before the maximum length is reached: part of the answer
    /// was lost then.
    fn is_plausible(&self, reason: &str) -> bool {
        reason != "length" || self.position() >= self.call.max_tokens
    }

    pub(crate) async fn deliver(&mut self, token: CompletionToken) -> RunResult<()> {
        self.delivered.push(token.text.clone());
        let sent = self.sink.send(Ok(CompletionEvent::Token(token)));
        let sent = self.run.until_end(sent).await?;
        if sent || self.run.claim.is_some() { Ok(()) } else { Err(RunStop::CallerGone) }
    }

    fn record_token(&mut self, source: Option<&(GroupId, Instant)>) {
        let now = self.run.now();
        if let Some(last) = self.last_token_at.replace(now) {
            self.run.metrics.between_tokens(now.saturating_duration_since(last));
            return;
        }
        self.run.metrics.first_token(now.saturating_duration_since(self.started_at));
        if let Some((group, dispatched_at)) = source {
            let elapsed = now.saturating_duration_since(*dispatched_at);
            self.run.service.policies.borrow_mut().router.first_token(now, group, elapsed);
        }
    }

    pub(crate) fn position(&self) -> u32 {
        u32::try_from(self.delivered.len()).unwrap_or(u32::MAX)
    }
}
