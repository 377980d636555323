//! What a caller is answered.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use crate::RelayStream;

/// Why a request was not run, and will not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunReason {
    /// No configuration is known yet.
    NoConfig,

    /// The configuration was not confirmed in time, and the request needs a key.
    StaleConfig,

    /// No server of the service is there.
    NoServer,

    /// All servers have as much work as they can take.
    NoRoom,

    /// The servers that were asked did not run it.
    Declined,

    /// It crashed servers before.
    Suspect,

    /// The node is about to stop.
    Leaving,

    /// The caller's deadline or the route's timeout is over.
    TooLate,
}

/// Why a request is refused for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DeniedReason {
    /// No route matches.
    NoRoute,

    /// The key is missing or belongs to no customer.
    UnknownKey,
}

/// Why nobody knows whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum UnknownReason {
    /// The server's answer was lost.
    AnswerLost,

    /// The server did not answer in time.
    Timeout,
}

/// What a caller is answered.
pub enum ForwardAnswer {
    /// The request was not run, and will not be.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When the caller may come back.
        retry_after: Duration,
    },

    /// The request is not allowed.
    Denied(DeniedReason),

    /// Nobody knows whether the request ran.
    Unknown(UnknownReason),

    /// A server's whole answer.
    Whole {
        /// The server's status.
        status: StatusCode,
        /// The server's headers.
        headers: HeaderMap,
        /// The server's body.
        body: Bytes,
    },

    /// A server's answer that is still coming.
    Stream {
        /// The server's status.
        status: StatusCode,
        /// The server's headers.
        headers: HeaderMap,
        /// The body.
        body: Box<RelayStream>,
    },
}
