//! Final answers other than success.

use std::{net::SocketAddr, time::Duration};

use comfreyturn_types::{RefusalReason, RequestOutcome};

/// The final answer to a request that did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{outcome}: {reason}")]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: RequestOutcome,

    /// Why.
    pub reason: RefusalReason,

    /// When to retry, if a retry can succeed.
    pub retry_after: Option<Duration>,

    /// Addresses of other nodes to try, the preferred one first.
    pub other_addresses: Vec<SocketAddr>,
}

impl Refusal {
    /// A refusal of a request of which no byte went to a backend server.
    pub(crate) fn not_run(reason: RefusalReason) -> Self {
        Self::new(RequestOutcome::NotRun, reason)
    }

    /// An answer that leaves open whether the request ran.
    pub(crate) fn unknown(reason: RefusalReason) -> Self {
        Self::new(RequestOutcome::Unknown, reason)
    }

    /// A final failure.
    pub(crate) fn failed(reason: RefusalReason) -> Self {
        Self::new(RequestOutcome::Failed, reason)
    }

    /// Adds the time after which to retry.
    pub(crate) fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// Whether an attempt that fell silent may still be waited for before this answer.
    pub(crate) fn may_await_silent(&self) -> bool {
        !matches!(
            self.reason,
            RefusalReason::DeadlineExceeded
                | RefusalReason::NodeLeaving
                | RefusalReason::CrashedBackends
        )
    }

    fn new(outcome: RequestOutcome, reason: RefusalReason) -> Self {
        Self { outcome, reason, retry_after: None, other_addresses: Vec::new() }
    }
}

/// Result of serving a request.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;
