//! Signals that stop a node.

/// Requests that a running node stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StopSignal {
    /// Stop once no request is in progress. A second one stops at once.
    Graceful,

    /// Stop at once and interrupt requests in progress.
    Now,
}
