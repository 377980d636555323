//! What became of a request, in the words that callers are told.

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
pub enum OutcomeWord {
    /// No byte went to a backend server, or the backend server says that it never started.
    NotRun,

    /// It may have run, wholly or in part, and will not be run again by this system.
    Unknown,

    /// It ran and ended in an error, which is final.
    Failed,
}

/// Why a request was refused or ended without success. A bounded set, usable as a metric label.
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
    /// No whole group or no live backend server serves this service now.
    NoCapacity,
    /// The platform's table service cannot be reached, and the request needs it.
    TableUnavailable,
    /// The deadline passed.
    DeadlineExceeded,
    /// Backend servers died while they ran this request.
    CrashedBackends,
    /// The attempts allowed by the retry budget are used up.
    RetriesExhausted,
    /// Another request with the same idempotency key ran or runs.
    DuplicateKey,
    /// The connection to the backend server broke after the request was sent.
    BackendLost,
    /// The backend server answered with an error.
    BackendError,
}
