//! The answer of one server to a request for a stream of events.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyturn_policy::HeldMemory;
use comfreyturn_ports::LinkError;

use crate::{
    EventSplitter,
    attempt_race::SilenceWatch,
    forward_attempt::{Attempt, AttemptError},
    forward_run::ForwardRun,
    resume_point::ResumePoint,
    server_times::EventTimes,
};

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

/// The answer of one server to a request for a stream of events.
pub(crate) struct StreamSource {
    pub(crate) attempt: Attempt,
    pub(crate) watch: Rc<SilenceWatch>,
    splitter: EventSplitter,
    progress: AnswerProgress,

    /// The memory of the partial event.
    held: HeldMemory,

    /// Where the stream was resumed at this server.
    resumed_at: Option<ResumePoint>,
}

impl StreamSource {
    pub(crate) fn new(attempt: Attempt, watch: Rc<SilenceWatch>, held: HeldMemory) -> Self {
        let (splitter, progress) = (EventSplitter::default(), AnswerProgress::default());
        Self { attempt, watch, splitter, progress, held, resumed_at: None }
    }

    /// Where another server has to go on; `None` if that can't be told.
    pub(crate) fn resume_point(&self) -> Option<ResumePoint> {
        let (ids, headers) = (self.splitter.ids(), self.attempt.answer.headers());
        ResumePoint::after(self.resumed_at.as_ref(), ids, headers)
    }

    /// Reads the first events, which have to follow `point`.
    pub(crate) async fn read_first(
        &mut self,
        run: &ForwardRun,
        point: Option<&ResumePoint>,
    ) -> Result<Option<Bytes>, AttemptError> {
        let events = self.read(run).await?;
        let headers = self.attempt.answer.headers();
        let goes_on = |point: &ResumePoint| {
            point.admits(headers) && point.is_followed_by(self.splitter.ids())
        };
        if point.is_none_or(goes_on) {
            self.resumed_at = point.cloned();
            return Ok(events);
        }
        let error = AttemptError::Link(LinkError::Foreign);
        self.record_failure(run, error);
        Err(error)
    }

    /// Reads until at least one event is complete, and records what that tells about the server.
    /// `None` at the proper end.
    pub(crate) async fn read(&mut self, run: &ForwardRun) -> Result<Option<Bytes>, AttemptError> {
        self.watch.wait_for(run.now(), &self.attempt.life, self.attempt.is_direct);
        let read = self.read_events(run).await;
        match read {
            Ok(_) => run.trace.heard(&self.attempt.life),
            Err(error) => self.record_failure(run, error),
        }
        read
    }

    async fn read_events(&mut self, run: &ForwardRun) -> Result<Option<Bytes>, AttemptError> {
        loop {
            if let Some(events) = self.splitter.take_whole() {
                self.record_events(run);
                return Ok(Some(events));
            }
            if self.splitter.is_foreign() || self.splitter.partial_len() > MAX_EVENT_BYTES {
                return Err(run.attempt_error(LinkError::Foreign));
            }
            let reserved =
                run.reserve(&mut self.held, self.splitter.partial_len(), &self.attempt.life);
            reserved.map_err(|error| run.attempt_error(error))?;
            let asked_at = run.now();
            let chunk = run.until_end(self.attempt.answer.chunk()).await;
            let chunk = chunk.ok_or(AttemptError::OutOfTime)?;
            match chunk.map_err(|error| run.attempt_error(error))? {
                Some(bytes) => {
                    let now = run.now();
                    self.watch.heard(now);
                    let limit = match self.progress.first_event_at {
                        Some(_) => run.longest_silence(),
                        None => run.first_event_limit(),
                    };
                    let is_late = now.saturating_duration_since(asked_at) >= limit;
                    run.record_heard(now, &self.attempt, is_late);
                    self.splitter.push(&bytes);
                    self.progress.asked_at.get_or_insert(asked_at);
                }
                None if self.is_cut() => return Err(run.attempt_error(LinkError::Broken)),
                None => {
                    self.record_end(run);
                    return Ok(None);
                }
            }
        }
    }

    /// Whether the answer, of which no more bytes come, has no proper end.
    fn is_cut(&self) -> bool {
        let is_empty = self.progress.first_event_at.is_none();
        self.splitter.has_partial() || (is_empty && !self.attempt.answer.is_delimited())
    }

    /// Records that events were received.
    fn record_events(&mut self, run: &ForwardRun) {
        let now = run.now();
        // Before the time is recorded: this prompt was read before the event.
        self.attempt.reading_guard = None;
        if let Some(asked_at) = self.progress.asked_at.take() {
            let times = &mut self.progress.event_times;
            run.record_event_time(times, &self.attempt.life, asked_at, now);
        }
        let first_at = *self.progress.first_event_at.get_or_insert(now);
        if now.saturating_duration_since(first_at) >= PROOF_TIME {
            self.record_proof(run);
        }
    }

    /// Records that the answer ended. An end that is not marked may be a crash.
    fn record_end(&mut self, run: &ForwardRun) {
        if self.progress.first_event_at.is_none() {
            return;
        }
        if self.attempt.answer.is_delimited() {
            self.record_proof(run);
        } else if !self.progress.is_proven {
            run.record_part_crash(&self.attempt.life, LinkError::Broken);
        }
    }

    fn record_proof(&mut self, run: &ForwardRun) {
        if !self.progress.is_proven {
            self.progress.is_proven = true;
            run.record_answer();
        }
    }

    fn record_failure(&self, run: &ForwardRun, error: AttemptError) {
        let AttemptError::Link(error) = error else { return };
        let Attempt { life, is_direct, .. } = &self.attempt;
        if *is_direct && error == LinkError::Broken {
            run.state.record_unreached(run.now(), life);
        }
        run.record_failure(life, error);
        if !self.progress.is_proven {
            run.record_part_crash(life, error);
        }
    }
}
