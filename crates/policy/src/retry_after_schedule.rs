//! Spreads the retries of refused requests over time.

use std::time::{Duration, Instant};

use rand::RngExt;

/// Assigns retry times, spaced by the rate at which requests can be admitted.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryAfterSchedule {
    /// The last retry time that was assigned.
    last_at: Option<Instant>,
}

impl RetryAfterSchedule {
    /// Whether the last assigned retry time is in the future.
    #[inline]
    pub(crate) fn is_pending(&self, now: Instant) -> bool {
        self.last_at.is_some_and(|at| now < at)
    }

    /// Assigns the next free retry time, at least `earliest` from now. Returns the wait until then.
    ///
    /// Retry times are `interval` apart, with jitter of up to one interval. Once the schedule
    /// extends beyond `latest`, waits are drawn uniformly between half of `latest` and `latest`.
    pub(crate) fn reserve(
        &mut self,
        now: Instant,
        earliest: Duration,
        interval: Duration,
        latest: Duration,
        rng: &mut impl RngExt,
    ) -> Duration {
        let earliest = earliest.min(latest);
        let next_at = self.last_at.map_or(now, |at| at + interval).max(now + earliest);
        let wait = next_at.saturating_duration_since(now);
        if wait >= latest {
            let half = latest / 2;
            return half.max(earliest) + (latest - half.max(earliest)).mul_f64(rng.random::<f64>());
        }
        self.last_at = Some(next_at);
        wait + interval.min(latest).mul_f64(rng.random::<f64>())
    }
}
