//! Sends one attempt of a completion, and resumes its stream after broken connections.

use std::{net::SocketAddr, time::Duration};

use comfreyturn_policy::RouteEnd;
use comfreyturn_ports::{BackendError, BackendResult, CompletionAttempt, CompletionStream, Step};
use comfreyturn_types::StreamId;

use crate::{
    completion_delivery::StreamEnd,
    completion_place::Placement,
    completion_run::CompletionRun,
    run_scope::{RunResult, RunStop, Wait},
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
}

impl CompletionRun {
    pub(crate) async fn attempt(&mut self, placement: &Placement) -> RunResult<AttemptEnd> {
        let (group, query) = (placement.group.assignment.group.clone(), self.route_query());
        let service = self.run.service.clone();
        service.policies.borrow_mut().router.started(self.run.now(), &group, &query);
        let end = self.dispatch(placement).await;
        let route_end = match &end {
            Ok(AttemptEnd::Finished(_)) => RouteEnd::Finished,
            Ok(_) => RouteEnd::Failed,
            Err(_) => RouteEnd::Abandoned,
        };
        service.policies.borrow_mut().router.ended(self.run.now(), &group, route_end);
        let is_over = match &end {
            Err(RunStop::Refused(refusal)) => !self.run.is_left_to_others(refusal),
            end => matches!(end, Err(_) | Ok(AttemptEnd::Lost)),
        };
        if is_over {
            self.cancel(placement);
        }
        end
    }

    /// Sends the attempt, reads its stream and resumes it after broken connections.
    async fn dispatch(&mut self, placement: &Placement) -> RunResult<AttemptEnd> {
        let sent_before = self.run.sent;
        let target = placement.group.assignment.group.as_str();
        self.run.dispatched(target, &placement.known);
        let dispatched_at = self.run.now();
        let mut opened = match self.open(placement).await? {
            Err(BackendError::NotSent) => {
                self.run.not_started(sent_before);
                return Ok(AttemptEnd::NotSent);
            }
            Err(BackendError::NotStarted { retry_after }) => {
                self.run.not_started(sent_before);
                return Ok(AttemptEnd::NotStarted { retry_after });
            }
            Err(BackendError::Rejected { .. }) => return Ok(AttemptEnd::Rejected),
            opened => opened.ok(),
        };
        let elapsed = self.run.now().saturating_duration_since(dispatched_at);
        // The group of a suspect was polled and found whole when it was chosen.
        let seen_alive = placement.slot.is_some();
        self.run.reached_backend = seen_alive || opened.is_some() || elapsed < UNANSWERED_LIMIT;
        let address = placement.group.head.address;
        let source = (placement.group.assignment.group.clone(), dispatched_at);
        let mut idle_resumes = 0;
        loop {
            let delivered_before = self.delivered.len();
            if let Some(stream) = opened {
                match self.read(stream, Some(&source)).await? {
                    StreamEnd::Finished(reason) => return Ok(AttemptEnd::Finished(reason)),
                    StreamEnd::Rejected => return Ok(AttemptEnd::Rejected),
                    StreamEnd::Broken => {}
                }
            }
            if self.delivered.len() > delivered_before {
                idle_resumes = 0;
            }
            if idle_resumes >= self.max_resumes() {
                return Ok(AttemptEnd::Lost);
            }
            self.pause_before_resume(idle_resumes).await?;
            idle_resumes += 1;
            opened = match self.resume(address, &placement.stream).await? {
                Ok(stream) => {
                    self.run.reached_backend = true;
                    Some(stream)
                }
                Err(BackendError::NotSent | BackendError::Broken) => None,
                Err(_) => return Ok(AttemptEnd::Lost),
            };
        }
    }

    async fn open(&self, placement: &Placement) -> RunResult<BackendResult<CompletionStream>> {
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
        self.with_stall_timeout(backends.complete(self.dispatch_step(placement), address, &attempt))
            .await
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

    pub(crate) async fn resume(
        &self,
        address: SocketAddr,
        stream: &StreamId,
    ) -> RunResult<BackendResult<CompletionStream>> {
        self.run.metrics.resumed();
        let backends = self.run.service.ports.backends.clone();
        let position = self.position();
        self.with_stall_timeout(backends.resume(Step::RequestResume, address, stream, position))
            .await
    }

    /// Treats a stall timeout as a broken connection.
    async fn with_stall_timeout(
        &self,
        work: impl Future<Output = BackendResult<CompletionStream>>,
    ) -> RunResult<BackendResult<CompletionStream>> {
        match self.run.wait(self.run.service.settings.stall_timeout, work).await {
            Wait::Ready(opened) => Ok(opened),
            Wait::TimedOut => Ok(Err(BackendError::Broken)),
            Wait::Ended(reason) => Err(self.run.stop(reason)),
            Wait::CallerGone => Err(RunStop::CallerGone),
        }
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
