//! The gateway's answer to a caller.

use std::time::Duration;

use bytes::Bytes;
use comfreyturn_policy::RefusalCause;
use http::{HeaderMap, StatusCode};

use crate::RelayStream;

/// Why a request was not run, and will not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunReason {
    /// No configuration was received yet.
    NoConfig,

    /// The configuration was not confirmed in time, and the request needs a key.
    StaleConfig,

    /// No server of the service is available.
    NoServer,

    /// All servers that could take it are in evacuated failure domains.
    Evacuated,

    /// All slots of the service's servers are occupied.
    NoRoom,

    /// All servers with free slots stated a rate limit, and this node has used its part of that.
    RateLimited,

    /// All servers with free slots are cold, and this node has used its part of what those tolerate.
    ServersCold,

    /// All servers that could take it asked this node to wait.
    ServersWait,

    /// It waited for a free place at a server, and would not get one in time any more.
    WaitEnded,

    /// The servers that received the request reported that they didn't run it.
    Declined,

    /// The request is quarantined because it crashed servers before.
    Suspect,

    /// A part of the request's prompt is quarantined because it crashed servers before.
    SuspectPart,

    /// The node is shutting down.
    Leaving,

    /// The node is shutting down, and ends before the request would be answered.
    EndsTooSoon,

    /// The caller's deadline or the route's timeout has passed.
    TooLate,
}

impl NotRunReason {
    /// Whether another server, or one more, could serve the request.
    pub(crate) fn is_lack_of_capacity(self) -> bool {
        matches!(
            self,
            Self::NoServer
                | Self::Evacuated
                | Self::NoRoom
                | Self::RateLimited
                | Self::ServersCold
                | Self::ServersWait
                | Self::WaitEnded
        )
    }

    /// Whether another node could serve the request.
    pub(crate) fn cause(self) -> RefusalCause {
        match self {
            Self::NoConfig | Self::StaleConfig | Self::Leaving | Self::EndsTooSoon => {
                RefusalCause::Node
            }
            Self::NoServer
            | Self::Evacuated
            | Self::NoRoom
            | Self::RateLimited
            | Self::ServersCold
            | Self::ServersWait
            | Self::WaitEnded
            | Self::Declined
            | Self::Suspect
            | Self::SuspectPart
            | Self::TooLate => RefusalCause::Capacity,
        }
    }
}

/// Why a request is denied; a retry would be denied as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DeniedReason {
    /// No route matches.
    NoRoute,

    /// The key is missing or belongs to no customer.
    UnknownKey,
}

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum UnknownReason {
    /// The server's answer was lost.
    AnswerLost,

    /// The server did not answer in time.
    Timeout,

    /// The server answered with a status that promises that the request did not run, but did not
    /// say so itself.
    UnprovenRefusal,
}

/// The gateway's answer to a caller.
pub enum ForwardAnswer {
    /// The request was not run, and will not be.
    NotRun {
        /// The reason.
        reason: NotRunReason,
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },

    /// The request is not allowed.
    Denied(DeniedReason),

    /// It is unknown whether the request ran.
    Unknown(UnknownReason),

    /// A server's complete answer.
    Whole {
        /// The server's status.
        status: StatusCode,
        /// The server's headers.
        headers: HeaderMap,
        /// The server's body.
        body: Bytes,
    },

    /// A server's answer that is relayed while it is received.
    Stream {
        /// The server's status.
        status: StatusCode,
        /// The server's headers.
        headers: HeaderMap,
        /// The body, as a stream of events.
        body: Box<RelayStream>,
    },
}
