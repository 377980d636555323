//! Relaying of a stream of events to the caller.

use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyturn_ports::LinkError;
use http::StatusCode;

use crate::{
    EventSplitter, ForwardAnswer,
    forward_attempt::{Attempt, AttemptError},
    forward_run::ForwardRun,
    server_times::EventTimes,
};

/// Pause before another attempt to resume a stream when no server was available.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// A server that still answers this long after its first event was not crashed by the request: one
/// that is crashes as it begins to answer.
const PROOF_TIME: Duration = Duration::from_millis(150);

/// A server whose event grows beyond this size sends bytes that are no answer.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// How far the answer to one attempt is.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerProgress {
    /// When the first event was received.
    first_event_at: Option<Instant>,

    /// Whether the server survived the answering of the request.
    is_proven: bool,

    /// Since when the next event is waited for.
    asked_at: Option<Instant>,

    /// When its events arrived.
    event_times: EventTimes,
}

/// The stream broke and can't be resumed; the caller received only a part of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the stream broke and cannot be resumed")]
pub struct StreamBroken;

/// A stream of events that is resumed at another server when its own one fails.
///
/// Only complete events are relayed. The new server starts after the last of them, so the caller
/// receives one continuous stream, with the headers of the first server.
pub struct RelayStream {
    run: ForwardRun,
    attempt: Attempt,
    splitter: EventSplitter,

    /// Events that were received and not yet relayed.
    ready: Option<Bytes>,

    /// The server ended the stream properly.
    ended: bool,

    /// How far the answer to the current attempt is.
    progress: AnswerProgress,

    /// The status sent to the caller.
    status: StatusCode,
}

impl RelayStream {
    /// Waits for the first event. If the server fails before it, the caller has received nothing,
    /// and the whole request may be sent to another server.
    pub(crate) async fn start(
        run: ForwardRun,
        attempt: Attempt,
        limit: Option<Duration>,
    ) -> Result<ForwardAnswer, (ForwardRun, AttemptError)> {
        let status = attempt.answer.status();
        let headers = attempt.answer.headers().clone();
        let mut stream = Self {
            run,
            attempt,
            splitter: EventSplitter::default(),
            ready: None,
            ended: false,
            progress: AnswerProgress::default(),
            status,
        };
        match stream.read_events(limit).await {
            Ok(events) => {
                stream.ended = events.is_none();
                stream.run.trace.first_piece();
                if stream.ended {
                    stream.run.trace.served(status);
                }
                stream.ready = events;
                Ok(ForwardAnswer::Stream { status, headers, body: Box::new(stream) })
            }
            Err(error) => {
                stream.record_failure(error);
                Err((stream.run, error))
            }
        }
    }

    /// Returns the next events; `None` at the proper end of the stream.
    ///
    /// # Errors
    ///
    /// [`StreamBroken`] if the stream can't be resumed.
    pub async fn next_events(&mut self) -> Result<Option<Bytes>, StreamBroken> {
        if let Some(events) = self.ready.take() {
            return Ok(Some(events));
        }
        if self.ended {
            return Ok(None);
        }
        loop {
            let error = match self.read_events(self.pause_limit()).await {
                Ok(None) => {
                    self.ended = true;
                    self.run.trace.served(self.status);
                    return Ok(None);
                }
                Ok(events) => return Ok(events),
                Err(error) => error,
            };
            self.record_failure(error);
            self.resume(error).await?;
        }
    }

    /// Reads until at least one event is complete. `None` at the proper end.
    async fn read_events(
        &mut self,
        limit: Option<Duration>,
    ) -> Result<Option<Bytes>, AttemptError> {
        loop {
            if let Some(events) = self.splitter.take_whole() {
                self.record_events();
                return Ok(Some(events));
            }
            if self.splitter.partial_len() > MAX_EVENT_BYTES {
                return Err(self.run.attempt_error(LinkError::Foreign));
            }
            let asked_at = self.run.now();
            let Self { run, attempt, .. } = self;
            let chunk = run.await_server(&attempt.life, limit, attempt.answer.chunk()).await?;
            match chunk.map_err(|error| self.run.attempt_error(error))? {
                Some(bytes) => {
                    let now = self.run.now();
                    self.run.state.stalls.borrow_mut().record_seen(now, &self.attempt.life);
                    self.splitter.push(&bytes);
                    self.progress.asked_at.get_or_insert(asked_at);
                }
                None if self.splitter.has_partial() => {
                    return Err(self.run.attempt_error(LinkError::Broken));
                }
                None if !self.attempt.answer.is_delimited()
                    && self.progress.first_event_at.is_none() =>
                {
                    return Err(self.run.attempt_error(LinkError::Broken));
                }
                None => {
                    self.record_end();
                    return Ok(None);
                }
            }
        }
    }

    /// Records that events were received.
    fn record_events(&mut self) {
        let now = self.run.now();
        // Before the time is recorded: this prompt was read before the event.
        self.attempt.reading_guard = None;
        if let Some(asked_at) = self.progress.asked_at.take() {
            let times = &mut self.progress.event_times;
            self.run.record_event_time(times, &self.attempt.life, asked_at, now);
        }
        let first_at = *self.progress.first_event_at.get_or_insert(now);
        if now.saturating_duration_since(first_at) >= PROOF_TIME {
            self.record_proof();
        }
    }

    /// Records that the answer ended. An end that is not marked may be a crash.
    fn record_end(&mut self) {
        if self.progress.first_event_at.is_none() {
            return;
        }
        if self.attempt.answer.is_delimited() {
            self.record_proof();
        } else if !self.progress.is_proven {
            self.run.record_part_crash(&self.attempt.life, LinkError::Broken);
        }
    }

    fn record_proof(&mut self) {
        if !self.progress.is_proven {
            self.progress.is_proven = true;
            self.run.record_answer();
        }
    }

    /// How long to wait for an event before the stream is resumed at another server; `None` if it
    /// may not be resumed.
    fn pause_limit(&self) -> Option<Duration> {
        let settings = &self.run.state.settings;
        let pause = self.run.route.longest_pause.unwrap_or(settings.default_pause);
        let may_resume =
            self.run.route.kind.is_repeatable() && self.run.sent < self.run.route.max_attempts;
        may_resume.then(|| pause.mul_f64(settings.stall_factor))
    }

    fn record_failure(&self, error: AttemptError) {
        let Attempt { life, is_direct, .. } = &self.attempt;
        let now = self.run.now();
        if *is_direct
            && matches!(error, AttemptError::Unresponsive | AttemptError::Link(LinkError::Broken))
        {
            self.run.state.record_unreached(now, life);
        }
        match error {
            AttemptError::Unresponsive => self.run.record_stall(&self.attempt.life),
            AttemptError::Link(error) => {
                self.run.record_failure(&self.attempt.life, error);
                if !self.progress.is_proven {
                    self.run.record_part_crash(&self.attempt.life, error);
                }
            }
            AttemptError::NotMade(_) | AttemptError::OutOfTime => {}
        }
    }

    /// Resumes the stream at another server after the last complete event.
    async fn resume(&mut self, cause: AttemptError) -> Result<(), StreamBroken> {
        self.splitter.drop_partial();
        let is_over = cause == AttemptError::OutOfTime;
        if is_over || !self.run.check_repeatable() || !self.run.take_retry() {
            return Err(self.broken(cause));
        }
        let last = self.splitter.last_id().map(str::to_owned);
        let after = last.or_else(|| self.run.request.resume_after.clone());
        loop {
            match self.run.attempt(None, after.clone(), true).await {
                Ok(attempt) if attempt.answer.status().is_success() => {
                    self.run.trace.resumed(after.as_deref());
                    self.attempt = attempt;
                    self.progress = AnswerProgress::default();
                    return Ok(());
                }
                Err(AttemptError::NotMade(reason)) if reason.is_lack_of_capacity() => {
                    self.run.ports.clock.sleep(RESUME_PAUSE).await;
                }
                Ok(_) => return Err(self.broken(AttemptError::Link(LinkError::Foreign))),
                Err(AttemptError::Link(LinkError::NotRun)) if self.run.take_retry() => {}
                Err(error) => return Err(self.broken(error)),
            }
        }
    }

    fn broken(&self, cause: AttemptError) -> StreamBroken {
        self.run.trace.broken(cause);
        StreamBroken
    }
}
