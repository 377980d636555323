//! The ends of a request: the answers for its caller.

use comfreyturn_policy::RefusalCause;
use comfreyturn_ports::LinkError;
use http::StatusCode;

use crate::{
    ForwardAnswer, NotRunReason, UnknownReason,
    forward_attempt::{AttemptError, WholeAnswer},
    forward_run::{ForwardRun, RESPONSE_MARGIN},
};

impl ForwardRun {
    /// The answer after an attempt that failed and is not repeated.
    pub(crate) fn give_up(&self, error: AttemptError) -> ForwardAnswer {
        let ran = self.progress.may_have_run();
        match error {
            AttemptError::NotMade(reason) if !ran => self.not_run(reason),
            AttemptError::Link(LinkError::NotSent | LinkError::NotRun) if !ran => {
                self.not_run(NotRunReason::Declined)
            }
            AttemptError::OutOfTime if !ran => self.not_run(self.lateness()),
            AttemptError::OutOfTime => self.unknown(UnknownReason::Timeout, error),
            _ => self.unknown(UnknownReason::AnswerLost, error),
        }
    }

    fn unknown(&self, reason: UnknownReason, cause: AttemptError) -> ForwardAnswer {
        self.trace.unknown(reason, cause);
        ForwardAnswer::Unknown(reason)
    }

    /// A server's answer. Callers take some statuses for the promise that the request did not run;
    /// a server that gives them may have run it all the same.
    pub(crate) fn served(&self, whole: WholeAnswer) -> ForwardAnswer {
        if promises_not_run(whole.status) && !self.route.kind.is_repeatable() {
            let error = AttemptError::Link(LinkError::Foreign);
            return self.unknown(UnknownReason::UnprovenRefusal, error);
        }
        self.trace.served(whole.status);
        whole.into_answer()
    }

    pub(crate) fn not_run(&self, reason: NotRunReason) -> ForwardAnswer {
        if reason.is_lack_of_capacity() {
            self.state.record_refusal(&self.service, self.request.model.as_ref());
        }
        let waited = self.now().saturating_duration_since(self.request.received_at);
        let deadline = self.request.deadline.unwrap_or(self.route.timeout);
        let retry_after =
            self.state.retry_after(self.refusal_cause(reason), deadline.saturating_sub(waited));
        self.trace.not_run(reason, retry_after);
        ForwardAnswer::NotRun { reason, retry_after }
    }

    fn refusal_cause(&self, reason: NotRunReason) -> RefusalCause {
        if reason != NotRunReason::ServersWait {
            return reason.cause();
        }
        let model = self.request.model.as_ref();
        RefusalCause::Waits { first: self.state.first_wait_end(self.now(), &self.service, model) }
    }

    /// Why a request that has not run can't run any more.
    pub(crate) fn lateness(&self) -> NotRunReason {
        let is_late = self.now() + RESPONSE_MARGIN >= self.deadline_at;
        if is_late { NotRunReason::TooLate } else { NotRunReason::EndsTooSoon }
    }
}

/// Whether callers take an answer with this status for the promise that the request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
