//! Requests that ran at backend servers when those died.

use std::time::{Duration, Instant};

/// What is held against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SuspectStatus {
    /// Nothing.
    Clear,

    /// One death: it runs alone among suspects of a group.
    Suspect,

    /// Two deaths: it does not run again before the retention time is over.
    #[strum(serialize = "condemned")]
    Quarantined {
        /// Time left.
        retry_after: Duration,
    },
}

/// Remembers which requests ran at backend servers when those died, by fingerprint of customer
/// and body.
pub trait SuspectLedger {
    /// A backend server died while the request ran there. One `death` counts once.
    fn record_crash(&mut self, now: Instant, fingerprint: u64, death: u64);

    /// The request ran to its end.
    fn clear(&mut self, now: Instant, fingerprint: u64);

    /// What is held against the request.
    fn status(&self, now: Instant, fingerprint: u64) -> SuspectStatus;
}
