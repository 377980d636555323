//! Error answers.

use std::{net::SocketAddr, time::Duration};

use comfreyturn_serving::Refusal;
use comfreyturn_types::{RefusalReason, RequestOutcome};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as, skip_serializing_none};

use super::answer_body::{AnswerBody, json_answer};

/// The JSON body of an error answer.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorAnswer {
    /// The details of the error.
    pub error: ErrorDetail,
}

/// The details of an error.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Serialize)]
pub struct ErrorDetail {
    /// A message for humans.
    pub message: String,

    /// The error type of the completions API.
    #[serde(rename = "type")]
    pub kind: &'static str,

    /// Whether the request ran, as far as the node knows.
    pub outcome: RequestOutcome,

    /// Why the request did not succeed.
    pub reason: RefusalReason,

    /// Time until the caller may retry, in milliseconds.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after_ms: Option<Duration>,

    /// Other addresses to try.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub addresses: Vec<SocketAddr>,
}

impl From<Refusal> for ErrorAnswer {
    fn from(refusal: Refusal) -> Self {
        let status = status_of(refusal.reason);
        Self {
            error: ErrorDetail {
                message: message_of(refusal.reason).to_owned(),
                kind: kind_of(status),
                outcome: refusal.outcome,
                reason: refusal.reason,
                retry_after_ms: refusal.retry_after,
                addresses: refusal.other_addresses,
            },
        }
    }
}

impl ErrorAnswer {
    /// An error for a request that was refused before any part of it ran.
    pub fn not_run(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            error: ErrorDetail {
                message: message.into(),
                kind: kind_of(status_of(reason)),
                outcome: RequestOutcome::NotRun,
                reason,
                retry_after_ms: None,
                addresses: Vec::new(),
            },
        }
    }

    /// The HTTP answer.
    pub fn into_answer(self) -> Response<AnswerBody> {
        let status = status_of(self.error.reason);
        self.into_answer_with(status)
    }

    /// The HTTP answer with the given status instead of that of the reason.
    pub fn into_answer_with(self, status: StatusCode) -> Response<AnswerBody> {
        let mut answer = json_answer(status, &self);
        let headers = answer.headers_mut();
        let outcome: &'static str = self.error.outcome.into();
        headers.insert("x-outcome", HeaderValue::from_static(outcome));
        if let Some(retry_after) = self.error.retry_after_ms {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(whole_seconds(retry_after)));
        }
        answer
    }
}

/// Seconds, rounded up so that callers do not retry too early.
fn whole_seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}

fn status_of(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::UnknownCustomer => StatusCode::UNAUTHORIZED,
        RefusalReason::UnknownService => StatusCode::NOT_FOUND,
        RefusalReason::Forbidden => StatusCode::FORBIDDEN,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::LimitReached => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::DuplicateKey => StatusCode::CONFLICT,
        RefusalReason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::StaleConfig
        | RefusalReason::NodeLeaving
        | RefusalReason::Overloaded
        | RefusalReason::NoCapacity
        | RefusalReason::TableUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::CrashedBackends
        | RefusalReason::RetriesExhausted
        | RefusalReason::BackendLost
        | RefusalReason::BackendError => StatusCode::BAD_GATEWAY,
    }
}

fn kind_of(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::FORBIDDEN => "permission_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}

fn message_of(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::BadRequest => "The request is malformed.",
        RefusalReason::UnknownCustomer => "The key is missing or belongs to no customer.",
        RefusalReason::UnknownService => "No such service.",
        RefusalReason::Forbidden => "The customer may not use this service.",
        RefusalReason::TooLarge => "The request is too large.",
        RefusalReason::StaleConfig => "This node cannot tell whether its configuration is current.",
        RefusalReason::NodeLeaving => "This node is shutting down.",
        RefusalReason::LimitReached => "The customer's limit is used up.",
        RefusalReason::Overloaded => "The answer would come after the deadline.",
        RefusalReason::NoCapacity => "Nothing serves this service at the moment.",
        RefusalReason::TableUnavailable => "The request needs the table service, which is down.",
        RefusalReason::DeadlineExceeded => "The deadline passed.",
        RefusalReason::CrashedBackends => "Backend servers died while they ran this request.",
        RefusalReason::RetriesExhausted => "No further attempt is allowed.",
        RefusalReason::DuplicateKey => "The idempotency key is in use for another request.",
        RefusalReason::BackendLost => "The connection to the backend server broke.",
        RefusalReason::BackendError => "The backend server answered with an error.",
    }
}
