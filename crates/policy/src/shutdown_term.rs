//! When a node that received a stop signal takes new requests, and when it ends.

use std::time::{Duration, Instant};

/// How long a node may take to stop.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSettings {
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,

    /// How long callers may use the node's address after they were told of others.
    pub address_hold: Duration,

    /// Time kept for writing the last answers, at most a tenth of `grace`.
    pub answer_margin: Duration,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            address_hold: Duration::from_secs(6),
            answer_margin: Duration::from_millis(100),
        }
    }
}

/// Of the grace, the part in which new requests may be taken. The rest belongs to requests that run:
/// some take longer than all that a node has seen.
const CLOSING_FRACTION: f64 = 3.0 / 8.0;

/// The answer margin is at most one in so many parts of the grace.
const MARGIN_DIVISOR: u32 = 10;

/// When a node that received a stop signal takes new requests, and when it ends. Times count from
/// the signal, also if the process was frozen since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTerm {
    /// The earliest moment at which the stop signal may have come.
    pub stopped_at: Instant,

    /// From then on no new request is taken.
    pub closes_at: Instant,

    /// Answers must be complete by then. Invariant: not before `closes_at`.
    pub ends_at: Instant,

    /// When the process is killed. Invariant: not before `ends_at`.
    pub killed_at: Instant,
}

impl ShutdownTerm {
    /// The term of a node that received the stop signal at `stopped_at`.
    pub fn new(stopped_at: Instant, settings: &ShutdownSettings) -> Self {
        let margin = settings.answer_margin.min(settings.grace / MARGIN_DIVISOR);
        let hold = settings.address_hold.min(settings.grace.mul_f64(CLOSING_FRACTION));
        Self {
            stopped_at,
            closes_at: stopped_at + hold,
            ends_at: stopped_at + settings.grace.saturating_sub(margin),
            killed_at: stopped_at + settings.grace,
        }
    }

    /// Whether a new request that may take `needed` can be taken now.
    pub fn admits(&self, now: Instant, needed: Duration) -> bool {
        now < self.closes_at && self.can_finish(now, needed)
    }

    /// Whether work that may take `needed` is done before the node ends.
    pub fn can_finish(&self, now: Instant, needed: Duration) -> bool {
        needed <= self.time_left(now)
    }

    /// Time until answers must be complete.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.ends_at.saturating_duration_since(now)
    }
}
