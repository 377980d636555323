//! When a node that received a stop signal ends.

use std::time::{Duration, Instant};

/// The node ends this long before the platform would kill it.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// New requests are answered in at most one part in so many of the time until the node ends.
const CLOSING_DIVISOR: u32 = 2;

/// How long a node may take to stop.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSettings {
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,

    /// How long callers may use the node's address after they were told of others.
    pub address_hold: Duration,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self { grace: Duration::from_secs(8), address_hold: Duration::from_secs(4) }
    }
}

/// When a node that received a stop signal takes new requests, and when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTerm {
    /// When the stop signal came.
    pub stopped_at: Instant,

    /// From then on no new request is taken.
    pub closes_at: Instant,

    /// When the node ends, whatever still runs.
    pub ends_at: Instant,
}

impl ShutdownTerm {
    /// The term of a node that received the stop signal at `stopped_at`.
    pub fn new(stopped_at: Instant, settings: &ShutdownSettings) -> Self {
        let limit = settings.grace.saturating_sub(GRACE_MARGIN);
        let hold = settings.address_hold.min(limit / CLOSING_DIVISOR);
        Self { stopped_at, closes_at: stopped_at + hold, ends_at: stopped_at + limit }
    }

    /// Time until the node ends.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.ends_at.saturating_duration_since(now)
    }
}
