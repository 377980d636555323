//! Requests for streams of events: attempts until the first event, and resumptions.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use comfreyturn_ports::LinkError;
use futures_util::future::FutureExt as _;

use crate::{
    ForwardAnswer, RelayStream,
    attempt_race::{AttemptRace, SilenceWatch},
    forward_attempt::{AttemptError, AttemptFailure, WholeAnswer},
    forward_run::ForwardRun,
    resume_point::ResumePoint,
    stream_source::StreamSource,
};

/// The first part of the answer to a stream.
enum BegunAnswer {
    /// The server answers with a failure.
    Whole(WholeAnswer),

    /// A stream, with its first events; `None` if it has ended.
    Stream(Box<StreamSource>, Option<Bytes>),
}

impl ForwardRun {
    pub(crate) async fn run_stream(self) -> ForwardAnswer {
        let start = |watch| self.stream_attempt(watch).boxed_local();
        let answer = AttemptRace::new(&self, self.first_event_limit(), &start).run().await;
        match answer {
            Ok(BegunAnswer::Stream(source, events)) => RelayStream::begin(self, *source, events),
            Ok(BegunAnswer::Whole(whole)) => self.served(whole),
            Err(failure) => self.failed(failure),
        }
    }

    async fn stream_attempt(&self, watch: Rc<SilenceWatch>) -> Result<BegunAnswer, AttemptFailure> {
        let resume_after = self.request.resume_after.clone();
        let point = resume_after.as_deref().map(ResumePoint::stated);
        let attempt = self.attempt(&watch, resume_after, false).await?;
        if !attempt.answer.status().is_success() {
            let whole = self.collect(attempt, &watch).await?;
            return match self.is_retryable(&whole) {
                true => Err(AttemptFailure::Answer(whole)),
                false => Ok(BegunAnswer::Whole(whole)),
            };
        }
        let mut source = StreamSource::new(attempt, watch, self.state.answer_memory.hold());
        let events = source.read_first(self, point.as_ref()).await?;
        Ok(BegunAnswer::Stream(Box::new(source), events))
    }

    /// Sends a stream whose caller received a part of it to another server, which has to go on at
    /// this point.
    pub(crate) async fn resumed_attempt(
        &self,
        watch: Rc<SilenceWatch>,
        point: ResumePoint,
    ) -> Result<(StreamSource, Option<Bytes>), AttemptFailure> {
        let attempt = self.attempt(&watch, Some(point.last_id.clone()), true).await?;
        if !attempt.answer.status().is_success() {
            return Err(AttemptError::Link(LinkError::Foreign).into());
        }
        let mut source = StreamSource::new(attempt, watch, self.state.answer_memory.hold());
        let events = source.read_first(self, Some(&point)).await?;
        Ok((source, events))
    }

    /// For how long a stream's server may be silent between two events until another one is tried.
    pub(crate) fn longest_silence(&self) -> Duration {
        let settings = &self.state.settings;
        let pause = self.route.longest_pause.unwrap_or(settings.default_pause);
        pause.mul_f64(settings.stall_factor)
    }

    /// For how long a server may be silent before its first event until another one is tried.
    pub(crate) fn first_event_limit(&self) -> Duration {
        let settings = &self.state.settings;
        let limit = self.route.objective.mul_f64(settings.first_event_factor);
        limit.max(settings.first_event_floor)
    }
}
