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

    /// The largest frame, in bytes; a larger one ends the connection.
    pub frame_limit: usize,

    /// Messages that wait to be sent to one peer; more are refused at once.
    pub queue_length: usize,

    /// Questions of one connection that are answered at the same time.
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
