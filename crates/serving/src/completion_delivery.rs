//! Reads the stream of a completion and delivers its tokens to the caller, each position once.

use std::time::{Duration, Instant};

use comfreyturn_ports::{BackendError, CompletionEvent, CompletionToken};
use comfreyturn_types::GroupId;

use crate::{
    completion_run::CompletionRun,
    open_attempt::{AttemptStreams, OpenAttempt, SilentAttempts, StreamPart},
    run_scope::{RunResult, RunStop, Wait},
};

/// How reading an attempt's streams ended.
pub(crate) enum StreamEnd {
    Finished(String),
    Rejected,
    /// No byte of the request was written.
    NotSent,
    /// The engine reports that it did not start the request.
    NotStarted {
        retry_after: Option<Duration>,
    },
    /// All connections ended, or the events were incomplete.
    Broken,
    /// All connections ended, and the engine does not know the stream.
    Gone,
    /// Nothing came for the stall timeout. The connections are still open.
    Silent,
    /// An attempt that had been silent went on first.
    Overtaken(Box<OpenAttempt>),
}

impl CompletionRun {
    /// Delivers the parts of an attempt's streams to the caller, each position once. The first token
    /// ends the attempts that fell silent. `source` is the group and the time of the dispatch; `None`
    /// if the attempt belongs to an earlier submission.
    pub(crate) async fn read(
        &mut self,
        streams: &mut AttemptStreams,
        silent: &mut SilentAttempts,
        source: Option<&(GroupId, Instant)>,
    ) -> RunResult<StreamEnd> {
        let mut is_gone = false;
        loop {
            let stall = self.run.service.settings.stall_timeout;
            let part = match self.run.wait(stall, streams.next_or(silent)).await {
                Wait::Ready(Ok(part)) => part,
                Wait::Ready(Err(other)) => return Ok(StreamEnd::Overtaken(other)),
                Wait::TimedOut => return Ok(StreamEnd::Silent),
                Wait::Ended(reason) => return Err(self.run.stop(reason)),
                Wait::CallerGone => return Err(RunStop::CallerGone),
            };
            match part {
                Some(Ok(StreamPart::Opened)) => {}
                Some(Ok(StreamPart::Event(CompletionEvent::Token(token))))
                    if token.position <= self.position() =>
                {
                    if token.position == self.position() {
                        self.cancel_silent(silent);
                        self.record_token(source);
                        self.deliver(token).await?;
                    }
                }
                Some(Ok(StreamPart::Event(CompletionEvent::Finished { reason })))
                    if self.is_plausible(&reason) =>
                {
                    return Ok(StreamEnd::Finished(reason));
                }
                Some(Ok(StreamPart::Event(_))) => {
                    streams.clear();
                    return Ok(StreamEnd::Broken);
                }
                Some(Err(BackendError::Rejected { .. })) => return Ok(StreamEnd::Rejected),
                Some(Err(BackendError::NotSent)) => return Ok(StreamEnd::NotSent),
                Some(Err(BackendError::NotStarted { retry_after })) => {
                    return Ok(StreamEnd::NotStarted { retry_after });
                }
                Some(Err(BackendError::UnknownStream)) => is_gone = true,
                Some(Err(BackendError::Broken)) => {}
                None if is_gone => return Ok(StreamEnd::Gone),
                None => return Ok(StreamEnd::Broken),
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
