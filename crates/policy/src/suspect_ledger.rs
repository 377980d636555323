//! Requests that were running at backend servers when these crashed.

use std::time::{Duration, Instant};

/// Whether a request is suspected of crashing backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SuspectStatus {
    /// No crash is recorded.
    Clear,

    /// Too few crashes for the quarantine: a group runs at most one suspect at a time.
    Suspect,

    /// Two crashes, or more if many backend servers crash at once: the request does not run again
    /// before the retention time is over.
    #[strum(serialize = "condemned")]
    Quarantined {
        /// The remaining retention time.
        retry_after: Duration,
    },
}

/// Records which requests were running at backend servers when these crashed, by a fingerprint of
/// customer and body.
pub trait SuspectLedger {
    /// Records that a backend server crashed while the request was running there. Each `crash`
    /// counts once per request.
    fn record_crash(&mut self, now: Instant, fingerprint: u64, crash: u64);

    /// Clears a request that ran to completion.
    fn clear(&mut self, now: Instant, fingerprint: u64);

    /// The status of a request.
    fn status(&self, now: Instant, fingerprint: u64) -> SuspectStatus;
}
