//! A token bucket whose level may become negative.

use std::time::{Duration, Instant};

/// Fills at a constant rate up to the burst size; charges reduce its level.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    /// Units per second. Invariant: not negative.
    rate: f64,

    /// The maximum level.
    burst: f64,

    /// Negative after a charge was corrected upwards beyond the level.
    level: f64,

    filled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(now: Instant, rate: f64, burst: f64) -> Self {
        Self { rate, burst, level: burst, filled_at: now }
    }

    /// Changes rate and burst. The level stays, capped at the new burst.
    pub(crate) fn set_rate(&mut self, now: Instant, rate: f64, burst: f64) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// How long until `amount` can be charged; zero if it can be now. An amount larger than the
    /// burst requires a full bucket.
    pub(crate) fn wait_for(&mut self, now: Instant, amount: f64) -> Duration {
        self.fill(now);
        let missing = amount.min(self.burst) - self.level;
        if self.rate <= 0.0 {
            return Duration::MAX;
        }
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
    }

    /// Reduces the level by `amount`; a negative amount raises it.
    pub(crate) fn charge(&mut self, now: Instant, amount: f64) {
        self.fill(now);
        self.level = (self.level - amount).min(self.burst);
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.level = (self.level + self.rate * elapsed.as_secs_f64()).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }
}
