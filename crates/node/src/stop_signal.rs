//! How a node is told to stop.

/// Tells a running node to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StopSignal {
    /// Stop once no request is in progress. A second one stops at once.
    Graceful,

    /// Stop at once, which breaks requests in progress.
    Now,
}
