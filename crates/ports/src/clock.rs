//! Time, as a node sees it.

use std::time::{Duration, Instant};

use futures_util::future::LocalBoxFuture;

/// A monotonic clock that can also wait. Wall clocks are not used: no wall time crosses the
/// border of a process.
pub trait Clock {
    /// The present time.
    fn now(&self) -> Instant;

    /// Completes once `duration` has passed.
    fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()>;
}
