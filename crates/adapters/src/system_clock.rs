//! The operating system's clock that also counts time in suspension.

use std::{
    sync::OnceLock,
    time::{Duration, Instant},
};

use comfreyturn_ports::Clock;
use futures_util::future::LocalBoxFuture;
use rustix::time::{ClockId, clock_gettime};

/// A time of the monotonic clock, and the time since boot at that time.
static ANCHOR: OnceLock<(Instant, Duration)> = OnceLock::new();

/// The time since boot, and the timers of the compio runtime.
///
/// The monotonic clock may exclude the time for which a VM was suspended. Ages of evidence must
/// include it, so this clock keeps counting during a suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        let (anchor, anchor_uptime) = ANCHOR.get_or_init(|| (Instant::now(), since_boot()));
        *anchor + since_boot().saturating_sub(*anchor_uptime)
    }

    fn sleep(&self, duration: Duration) -> LocalBoxFuture<'static, ()> {
        Box::pin(compio::time::sleep(duration))
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
