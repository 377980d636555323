//! When refused requests should come back, so that they do not all come at once.

use std::time::{Duration, Instant};

use rand::RngExt;

/// Hands out times to come back, spaced by the rate at which requests can be taken.
#[derive(Clone, Debug, Default)]
pub(crate) struct ComebackSchedule {
    /// The last time handed out.
    next_at: Option<Instant>,
}

impl ComebackSchedule {
    /// Whether times are handed out that are still to come.
    #[inline]
    pub(crate) fn is_pending(&self, now: Instant) -> bool {
        self.next_at.is_some_and(|at| now < at)
    }

    /// The next free time that is not before `earliest` from now.
    ///
    /// Times follow each other by `interval`, with jitter of one interval. Once the schedule reaches
    /// past `latest`, times are drawn evenly between half of `latest` and `latest`.
    pub(crate) fn reserve(
        &mut self,
        now: Instant,
        earliest: Duration,
        interval: Duration,
        latest: Duration,
        rng: &mut impl RngExt,
    ) -> Duration {
        let earliest = earliest.min(latest);
        let next_at = self.next_at.map_or(now, |at| at + interval).max(now + earliest);
        let wait = next_at.saturating_duration_since(now);
        if wait >= latest {
            let half = latest / 2;
            return half.max(earliest) + (latest - half.max(earliest)).mul_f64(rng.random::<f64>());
        }
        self.next_at = Some(next_at);
        wait + interval.min(latest).mul_f64(rng.random::<f64>())
    }
}
