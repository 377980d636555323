//! The weight store, whose rate is shared by all engines that load from it.

use std::time::{Duration, Instant};

/// The weight store, whose rate is shared by all engines that load from it.
#[derive(Debug)]
pub(crate) struct WeightStore {
    bytes_per_second: u64,

    /// When all bytes requested so far have been sent.
    busy_until: Instant,

    /// Bytes requested so far.
    bytes: u64,
}

impl WeightStore {
    /// An idle store. A rate of zero means no limit.
    pub(crate) fn new(now: Instant, bytes_per_second: u64) -> Self {
        Self { bytes_per_second, busy_until: now, bytes: 0 }
    }

    /// Reserves time at the store's rate for `bytes`, and returns when they have been sent.
    pub(crate) fn reserve(&mut self, now: Instant, bytes: u64) -> Instant {
        self.bytes += bytes;
        if self.bytes_per_second == 0 {
            return now;
        }
        let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64);
        self.busy_until = self.busy_until.max(now) + duration;
        self.busy_until
    }

    /// Bytes requested so far.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }
}
