//! Limits of HTTP calls.

use std::time::Duration;

/// Limits of a pool of HTTP connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpSettings {
    /// Time to open a connection.
    pub connect_timeout: Duration,

    /// Time limit of a complete call, counted from when its connection is open.
    pub call_timeout: Duration,

    /// An unused connection is closed after this time.
    pub idle_timeout: Duration,

    /// Limit of connections to one address, idle ones included; a call beyond it is not sent.
    pub connections_per_address: usize,

    /// Largest complete response, in bytes.
    pub answer_limit: usize,

    /// What complete responses may take while they are received and used, all of them together, in
    /// bytes.
    pub answer_memory: usize,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            connections_per_address: 1024,
            answer_limit: 16 * 1024 * 1024,
            answer_memory: 64 * 1024 * 1024,
        }
    }
}

/// Limits of requests to backend servers, in addition to those of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendSettings {
    /// Time limit for the response head of a stream. Longer than any silence after which an engine
    /// may go on; callers' own deadlines are usually shorter.
    pub head_timeout: Duration,

    /// A stream without data for this time counts as broken. As long as [`Self::head_timeout`], for
    /// the same reason.
    pub stream_idle_timeout: Duration,

    /// Time limit of a complete call of a plain service; callers' own deadlines are usually
    /// shorter.
    pub plain_timeout: Duration,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(60),
            stream_idle_timeout: Duration::from_secs(60),
            plain_timeout: Duration::from_secs(60),
        }
    }
}
