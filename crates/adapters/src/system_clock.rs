//! The monotonic clock of the operating system.

use std::time::{Duration, Instant};

use comfreyturn_ports::Clock;
use futures_util::future::LocalBoxFuture;

/// The operating system's monotonic clock, with the timers of the compio runtime.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()> {
        Box::pin(compio::time::sleep(duration))
    }
}
