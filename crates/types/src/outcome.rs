//! Outcomes and refusal reasons of requests, as reported to callers.

use serde::{Deserialize, Serialize};

/// The outcome of a request that did not succeed.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RequestOutcome {
    /// Nothing was sent to a backend server, or the backend server reports that it did not start
    /// the request.
    NotRun,

    /// It may have run, completely or in part, and this system does not run it again.
    Unknown,

    /// It ran and ended in an error, which is final.
    Failed,
}

/// Why a request was refused or failed. The set is bounded, so it can be used as a metric label.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The request is malformed.
    BadRequest,
    /// No customer has the key that came with the request.
    UnknownCustomer,
    /// No such service is configured.
    UnknownService,
    /// The customer may not use this service.
    Forbidden,
    /// Head or body is larger than the settings allow.
    TooLarge,
    /// The node cannot tell whether its configuration is current.
    StaleConfig,
    /// The node is shutting down.
    NodeLeaving,
    /// The customer's limit is used up.
    LimitReached,
    /// The predicted wait exceeds the deadline.
    Overloaded,
    /// At present no whole group or no live backend server serves this service.
    NoCapacity,
    /// The platform's table service cannot be reached, and the request needs it.
    TableUnavailable,
    /// The deadline passed.
    DeadlineExceeded,
    /// Backend servers crashed while they ran this request.
    CrashedBackends,
    /// The attempts allowed by the retry budget are used up.
    RetriesExhausted,
    /// Another request with the same idempotency key ran or is running.
    DuplicateKey,
    /// The connection to the backend server broke after the request was sent.
    BackendLost,
    /// The backend server answered with an error.
    BackendError,
}
