//! Limits of the protocol between nodes.

use std::time::Duration;

/// Limits of connections between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Time to open a connection.
    pub connect_timeout: Duration,

    /// Time from a question to its answer, connecting included.
    pub ask_timeout: Duration,

    /// A connection without traffic is closed after this time.
    pub idle_timeout: Duration,

    /// The largest frame, in bytes. A larger message is not sent; receiving a larger frame ends the
    /// connection.
    pub frame_limit: usize,

    /// Maximum number of messages queued for one peer; further ones are rejected immediately.
    pub queue_length: usize,

    /// Maximum number of questions of one connection that are answered concurrently.
    pub concurrent_answers: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            ask_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
            frame_limit: 4 * 1024 * 1024,
            queue_length: 256,
            concurrent_answers: 64,
        }
    }
}
