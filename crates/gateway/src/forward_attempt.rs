//! One attempt to run a request at one server.

use bytes::Bytes;
use comfreyturn_ports::{LinkError, ServerAnswer};
use comfreyturn_types::ServerLife;
use http::{HeaderMap, StatusCode};

use crate::{
    ForwardAnswer, NotRunReason,
    forward_wait::FinishGuard,
    load_tracker::{LoadGuard, ReadingGuard},
};

/// A server's answer to one attempt.
pub(crate) struct Attempt {
    pub(crate) life: ServerLife,
    pub(crate) answer: Box<dyn ServerAnswer>,

    /// Whether it took this node's own path.
    pub(crate) is_direct: bool,
    pub(crate) _load_guard: LoadGuard,

    /// Counts the prompt as unread until the first event.
    pub(crate) reading_guard: Option<ReadingGuard>,
    /// Dropped after the load guard, so that the place is free when waiting requests learn of it.
    pub(crate) _finish_guard: FinishGuard,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(crate) enum AttemptError {
    /// The request was not sent.
    #[display("not sent: {_0}")]
    NotMade(NotRunReason),

    /// The connection or the server failed.
    #[display("{_0}")]
    Link(LinkError),

    /// The caller's deadline has passed.
    #[display("out of time")]
    OutOfTime,
}

impl From<AttemptError> for &'static str {
    fn from(error: AttemptError) -> Self {
        match error {
            AttemptError::NotMade(reason) => reason.into(),
            AttemptError::Link(error) => error.into(),
            AttemptError::OutOfTime => "out-of-time",
        }
    }
}

/// How an attempt failed.
#[derive(derive_more::From)]
pub(crate) enum AttemptFailure {
    /// It has no answer.
    Error(AttemptError),

    /// The server answered with a failure, and another one may do better.
    Answer(WholeAnswer),
}

/// Why a request is not sent to another server after an attempt that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum RetryRefusal {
    /// The request may have run, and must not run twice.
    NotRepeatable,

    /// It was sent to as many servers as its route allows.
    NoAttemptLeft,

    /// The request must end now.
    NoTimeLeft,

    /// The service's budget for retries is used up.
    NoBudget,
}

/// A server's complete answer.
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl WholeAnswer {
    pub(crate) fn into_answer(self) -> ForwardAnswer {
        let Self { status, headers, body } = self;
        ForwardAnswer::Whole { status, headers, body }
    }
}
