//! Sends one attempt of a completion, and resumes its stream if it breaks or is silent.

use std::{net::SocketAddr, time::Duration};

use comfreyturn_policy::RouteEnd;
use comfreyturn_ports::{BackendError, CompletionAttempt, Step};
use comfreyturn_types::StreamId;

use crate::{
    completion_delivery::StreamEnd,
    completion_place::Placement,
    completion_run::CompletionRun,
    open_attempt::{AttemptStreams, OpenAttempt, PartStream, SilentAttempts, part_stream},
    run_scope::{RunResult, RunStop},
};

/// An attempt that breaks later than this without a response may never have reached the backend
/// server.
const UNANSWERED_LIMIT: Duration = Duration::from_secs(1);

/// Tries to cancel a stream that is no longer needed.
const CANCEL_TRIES: u32 = 3;

/// Pause between two tries to cancel a stream.
const CANCEL_PAUSE: Duration = Duration::from_millis(500);

/// How an attempt ended.
pub(crate) enum AttemptEnd {
    /// Generation ended for this reason.
    Finished(String),
    /// The backend server answered that it did not start the request.
    NotStarted { retry_after: Option<Duration> },
    /// No byte was sent.
    NotSent,
    /// The backend server rejected the request.
    Rejected,
    /// The stream could not be resumed; the request may have run.
    Lost,
    /// Nothing came for a while, also not over new connections; the engine may still go on.
    Silent,
    /// An attempt that had been silent went on before this one answered.
    Overtaken(Box<OpenAttempt>),
}

impl CompletionRun {
    /// Sends an attempt to its group. What the engine answers is read by [`Self::follow`].
    pub(crate) fn dispatch(&mut self, placement: Placement) -> Box<OpenAttempt> {
        let target = placement.group.assignment.group.as_str();
        let sent_before = self.run.sent;
        self.run.dispatched(target, &placement.known);
        let mut streams = AttemptStreams::default();
        streams.push(self.opening(&placement));
        let dispatched_at = self.run.now();
        Box::new(OpenAttempt { placement, dispatched_at, sent_before, streams })
    }

    /// Reads an attempt's streams to its end, beside attempts that fell silent.
    pub(crate) async fn follow(
        &mut self,
        attempt: &mut OpenAttempt,
        silent: &mut SilentAttempts,
    ) -> RunResult<AttemptEnd> {
        let (group, query) = (attempt.placement.group.assignment.group.clone(), self.route_query());
        let service = self.run.service.clone();
        service.policies.borrow_mut().router.started(self.run.now(), &group, &query);
        let end = self.read_and_resume(attempt, silent).await;
        let route_end = match &end {
            Ok(AttemptEnd::Finished(_)) => RouteEnd::Finished,
            Ok(AttemptEnd::Overtaken(_)) | Err(_) => RouteEnd::Abandoned,
            Ok(_) => RouteEnd::Failed,
        };
        service.policies.borrow_mut().router.ended(self.run.now(), &group, route_end);
        let is_over = match &end {
            Err(RunStop::Refused(refusal)) => !self.run.is_left_to_others(refusal),
            end => matches!(end, Err(_) | Ok(AttemptEnd::Lost | AttemptEnd::Overtaken(_))),
        };
        if is_over {
            self.cancel(&attempt.placement);
        }
        end
    }

    /// Reads an attempt's streams. Asks the engine for another one if they broke, and beside them if
    /// nothing came for a while.
    async fn read_and_resume(
        &mut self,
        attempt: &mut OpenAttempt,
        silent: &mut SilentAttempts,
    ) -> RunResult<AttemptEnd> {
        let address = attempt.placement.group.head.address;
        let source = (attempt.placement.group.assignment.group.clone(), attempt.dispatched_at);
        let mut idle_resumes = 0;
        loop {
            let delivered_before = self.delivered.len();
            match self.read(&mut attempt.streams, silent, Some(&source)).await? {
                StreamEnd::Finished(reason) => return Ok(AttemptEnd::Finished(reason)),
                StreamEnd::Rejected => return Ok(AttemptEnd::Rejected),
                StreamEnd::NotSent => {
                    self.run.not_started(attempt.sent_before);
                    return Ok(AttemptEnd::NotSent);
                }
                StreamEnd::NotStarted { retry_after } => {
                    self.run.not_started(attempt.sent_before);
                    return Ok(AttemptEnd::NotStarted { retry_after });
                }
                StreamEnd::Gone => return Ok(AttemptEnd::Lost),
                StreamEnd::Overtaken(other) => return Ok(AttemptEnd::Overtaken(other)),
                StreamEnd::Broken | StreamEnd::Silent => {}
            }
            if self.delivered.len() > delivered_before {
                idle_resumes = 0;
            }
            if attempt.streams.was_opened() {
                self.run.reached_backend = true;
            } else if idle_resumes == 0 {
                let elapsed = self.run.now().saturating_duration_since(attempt.dispatched_at);
                // The group of a suspect was polled and found whole when it was chosen.
                let seen_alive = attempt.placement.slot.is_some();
                self.run.reached_backend = seen_alive || elapsed < UNANSWERED_LIMIT;
            }
            let is_open = !attempt.streams.is_empty();
            if idle_resumes >= self.max_resumes() {
                return Ok(if is_open { AttemptEnd::Silent } else { AttemptEnd::Lost });
            }
            if !is_open {
                self.pause_before_resume(idle_resumes).await?;
            }
            idle_resumes += 1;
            attempt.streams.push(self.resume(address, &attempt.placement.stream));
        }
    }

    fn opening(&self, placement: &Placement) -> PartStream {
        let assignment = &placement.group.assignment;
        let attempt = CompletionAttempt {
            stream: placement.stream.clone(),
            group: assignment.group.clone(),
            generation: assignment.generation,
            prompt: self.call.prompt.clone(),
            delivered: self.delivered.clone(),
            max_tokens: self.call.max_tokens,
            priority: self.run.scope.class as u32,
            parameters: self.call.parameters.clone(),
        };
        let address = placement.group.head.address;
        let backends = self.run.service.ports.backends.clone();
        let step = self.dispatch_step(placement);
        part_stream(async move {
            match backends.complete(step, address, &attempt).await {
                Err(BackendError::UnknownStream) => Err(BackendError::Broken),
                opened => opened,
            }
        })
    }

    fn dispatch_step(&self, placement: &Placement) -> Step {
        if placement.slot.is_some() {
            Step::SuspectRetry
        } else if self.run.claim.is_some() {
            Step::ClaimDispatch
        } else {
            Step::RequestDispatch
        }
    }

    /// Asks an engine for the rest of a stream over a new connection.
    pub(crate) fn resume(&self, address: SocketAddr, stream: &StreamId) -> PartStream {
        self.run.metrics.resumed();
        let backends = self.run.service.ports.backends.clone();
        let (stream, position) = (stream.clone(), self.position());
        part_stream(async move {
            match backends.resume(Step::RequestResume, address, &stream, position).await {
                Err(BackendError::NotSent | BackendError::Broken) => Err(BackendError::Broken),
                opened => opened.map_err(|_| BackendError::UnknownStream),
            }
        })
    }

    async fn pause_before_resume(&self, idle_resumes: u32) -> RunResult<()> {
        if idle_resumes == 0 {
            return Ok(());
        }
        let pause = self.run.service.settings.resume_pause * 2u32.saturating_pow(idle_resumes - 1);
        self.run.pause(pause).await
    }

    fn max_resumes(&self) -> u32 {
        let settings = &self.run.service.settings;
        if self.run.scope.non_idempotent {
            settings.max_non_idempotent_resumes
        } else {
            settings.max_resumes
        }
    }

    /// Ends attempts that fell silent.
    pub(crate) fn cancel_silent(&self, silent: &mut SilentAttempts) {
        silent.take_all().iter().for_each(|attempt| self.cancel(&attempt.placement));
    }

    /// Asks the engine to stop a stream that is no longer needed.
    fn cancel(&self, placement: &Placement) {
        let ports = self.run.service.ports.clone();
        let (address, stream) = (placement.group.head.address, placement.stream.clone());
        self.run.metrics.cancelled();
        self.run.service.ports.spawner.spawn(Box::pin(async move {
            for _ in 0..CANCEL_TRIES {
                match ports.backends.cancel(Step::RequestCancel, address, &stream).await {
                    Err(BackendError::NotSent | BackendError::Broken) => {
                        ports.clock.sleep(CANCEL_PAUSE).await;
                    }
                    _ => return,
                }
            }
        }));
    }
}
