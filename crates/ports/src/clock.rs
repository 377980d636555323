//! Time and timers.

use std::time::{Duration, Instant};

use futures_util::future::LocalBoxFuture;

/// A monotonic clock with timers. Wall clocks are not used: no process passes wall time to another.
pub trait Clock {
    /// The current time.
    fn now(&self) -> Instant;

    /// Completes once `duration` has passed.
    fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()>;
}
