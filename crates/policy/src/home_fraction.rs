//! The fraction of a customer's limit that a node holds by being one of its homes.

use std::time::{Duration, Instant};

/// A fraction that falls at once and rises only after a wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct HomeFraction {
    current: f64,

    /// A larger fraction, and from when on it holds. Invariant: larger than `current`.
    pending: Option<(Instant, f64)>,
}

impl HomeFraction {
    /// The fraction that may be used now.
    pub(crate) fn at(&mut self, now: Instant) -> f64 {
        if let Some((from, fraction)) = self.pending.filter(|(from, _)| *from <= now) {
            debug_assert!(from <= now);
            self.current = fraction;
            self.pending = None;
        }
        self.current
    }

    /// Takes in the fraction by the newest configuration.
    pub(crate) fn set(&mut self, now: Instant, target: f64, wait: Duration) {
        if target <= self.at(now) {
            self.current = target;
            self.pending = None;
            return;
        }
        self.pending = match self.pending {
            Some((from, pending)) if target <= pending => Some((from, target)),
            _ => Some((now + wait, target)),
        };
    }

    /// Gives the fraction up, as after versions of the configuration that were not seen.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
