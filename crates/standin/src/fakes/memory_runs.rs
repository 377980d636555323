//! Runs of requests in memory. Their state is computed from the current virtual time.

use std::time::Duration;

use comfreyturn_ports::{CompletionAttempt, CompletionEvent, CompletionToken};
use comfreyturn_types::{Incarnation, VmId};

use crate::{
    ExecutionEnd, ExecutionRecord, PlainExecution, content_hash, finish_reason, output_length,
    output_token,
};

/// When and how a run was ended early.
pub(crate) type RunStop = Option<(Duration, ExecutionEnd)>;

/// A completion that runs at a model engine. Times are virtual time since the start.
pub(crate) struct CompletionRun {
    pub(crate) vm: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) attempt: CompletionAttempt,
    pub(crate) started: Duration,
    pub(crate) first_token_delay: Duration,
    pub(crate) token_interval: Duration,
    pub(crate) stop: RunStop,
}

impl CompletionRun {
    /// The position of the first token that this run generates.
    pub(crate) fn first(&self) -> u32 {
        u32::try_from(self.attempt.delivered.len()).unwrap_or(u32::MAX)
    }

    /// When the event at a position becomes available.
    pub(crate) fn event_at(&self, position: u32) -> Duration {
        let index = position.saturating_sub(self.first());
        self.started + self.first_token_delay + self.token_interval * index
    }

    /// The event at a position: a token, or the end of the answer.
    pub(crate) fn event(&self, position: u32) -> CompletionEvent {
        let CompletionAttempt { prompt, max_tokens, .. } = &self.attempt;
        if position < self.length() {
            let text = output_token(prompt, position);
            return CompletionEvent::Token(CompletionToken { position, text });
        }
        CompletionEvent::Finished { reason: finish_reason(prompt, *max_tokens).to_owned() }
    }

    /// Whether the run occupies a slot in the batch.
    pub(crate) fn is_running(&self, now: Duration) -> bool {
        self.stop.is_none() && now < self.event_at(self.length())
    }

    /// Ends the run early, unless it has ended already.
    pub(crate) fn cut_short(&mut self, now: Duration, end: ExecutionEnd) {
        if self.is_running(now) {
            self.stop = Some((now, end));
        }
    }

    /// The record of this run as of `now`.
    pub(crate) fn record(&self, now: Duration) -> ExecutionRecord {
        let ended = self.ended(now);
        let last = ended.map_or(now, |(at, _)| at);
        ExecutionRecord {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            stream: self.attempt.stream.clone(),
            prompt_hash: content_hash(self.attempt.prompt.as_bytes()),
            group: self.attempt.group.clone(),
            generation: self.attempt.generation,
            accepted_ms: milliseconds(self.started),
            started_ms: Some(milliseconds(self.started)),
            ended_ms: ended.map(|(at, _)| milliseconds(at)),
            first_position: self.first(),
            tokens: self.tokens(last),
            end: ended.map_or(ExecutionEnd::Running, |(_, end)| end),
        }
    }

    fn length(&self) -> u32 {
        output_length(&self.attempt.prompt, self.attempt.max_tokens).max(self.first())
    }

    fn ended(&self, now: Duration) -> RunStop {
        let finishes_at = self.event_at(self.length());
        self.stop.or_else(|| (finishes_at <= now).then_some((finishes_at, ExecutionEnd::Finished)))
    }

    fn tokens(&self, now: Duration) -> u32 {
        let positions = self.first()..self.length();
        let sent = positions.take_while(|position| self.event_at(*position) <= now);
        u32::try_from(sent.count()).unwrap_or(u32::MAX)
    }
}

/// A request that runs at a plain service.
pub(crate) struct PlainRun {
    pub(crate) record: PlainExecution,
    pub(crate) finishes_at: Duration,
    pub(crate) stop: RunStop,
}

impl PlainRun {
    /// Ends the run early, unless it has ended already.
    pub(crate) fn cut_short(&mut self, now: Duration, end: ExecutionEnd) {
        if self.stop.is_none() && now < self.finishes_at {
            self.stop = Some((now, end));
        }
    }

    /// The record of this run as of `now`.
    pub(crate) fn record(&self, now: Duration) -> PlainExecution {
        let whole = (self.finishes_at <= now).then_some((self.finishes_at, ExecutionEnd::Finished));
        let ended = self.stop.or(whole);
        PlainExecution {
            ended_ms: ended.map(|(at, _)| milliseconds(at)),
            end: ended.map_or(ExecutionEnd::Running, |(_, end)| end),
            ..self.record.clone()
        }
    }
}

pub(crate) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
