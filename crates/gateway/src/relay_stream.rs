//! Relaying of a stream of events to the caller.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::FutureExt as _;
use http::StatusCode;

use crate::{
    ForwardAnswer,
    attempt_race::{AttemptRace, SilenceWatch},
    forward_attempt::{AttemptError, AttemptFailure},
    forward_run::ForwardRun,
    resume_point::ResumePoint,
    stream_source::StreamSource,
};

/// The stream broke and can't be resumed; the caller received only a part of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the stream broke and cannot be resumed")]
pub struct StreamBroken;

/// The next events of a stream.
struct NextEvents {
    /// The server that goes on in place of the one before, if there is one.
    replacement: Option<StreamSource>,

    /// `None` at the proper end.
    events: Option<Bytes>,
}

/// A stream of events that is resumed at another server when its own one fails, or when another one
/// goes on before its own one does.
///
/// Only complete events are relayed. The new server starts after the last of them, so the caller
/// receives one continuous stream, with the headers of the first server.
pub struct RelayStream {
    run: ForwardRun,
    source: StreamSource,

    /// Events that were received and not yet relayed.
    ready: Option<Bytes>,

    /// The server ended the stream properly.
    ended: bool,

    /// The status sent to the caller.
    status: StatusCode,
}

impl RelayStream {
    /// The answer to a request whose server has sent its first events; `None` if it has ended.
    pub(crate) fn begin(
        run: ForwardRun,
        source: StreamSource,
        events: Option<Bytes>,
    ) -> ForwardAnswer {
        let status = source.attempt.answer.status();
        let headers = source.attempt.answer.headers().clone();
        let ended = events.is_none();
        run.trace.first_piece();
        if ended {
            run.trace.served(status);
        }
        let body = Box::new(Self { run, source, ready: events, ended, status });
        ForwardAnswer::Stream { status, headers, body }
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
        let point = self.source.resume_point();
        let next = match self.read_next(point.as_ref()).await {
            Ok(next) => next,
            Err(failure) => return Err(self.broken(&failure)),
        };
        if let Some(source) = next.replacement {
            self.run.trace.resumed(point.as_ref().map(|point| point.last_id.as_str()));
            self.source = source;
        }
        if next.events.is_none() {
            self.ended = true;
            self.run.trace.served(self.status);
        }
        Ok(next.events)
    }

    /// Reads the next events from the stream's server, or from another one if it is silent or fails.
    async fn read_next(
        &mut self,
        point: Option<&ResumePoint>,
    ) -> Result<NextEvents, AttemptFailure> {
        let pause = self.run.longest_silence();
        let Self { run, source, .. } = self;
        let run: &ForwardRun = run;
        let watch = source.watch.clone();
        let current = async {
            let events = source.read(run).await?;
            Ok(NextEvents { replacement: None, events })
        };
        let Some(point) = point.filter(|_| run.route.kind.is_repeatable()) else {
            return current.await;
        };
        let resume = |watch: Rc<SilenceWatch>| {
            let resumed = async move {
                let (source, events) = run.resumed_attempt(watch, point.clone()).await?;
                Ok(NextEvents { replacement: Some(source), events })
            };
            resumed.boxed_local()
        };
        let limit = run.first_event_limit();
        let current = (current.boxed_local(), watch);
        AttemptRace::resumed(run, limit, &resume, current, pause).run().await
    }

    fn broken(&self, failure: &AttemptFailure) -> StreamBroken {
        let cause = match failure {
            AttemptFailure::Error(error) => *error,
            AttemptFailure::Answer(_) => AttemptError::Link(comfreyturn_ports::LinkError::Foreign),
        };
        self.run.trace.broken(cause);
        StreamBroken
    }
}
