//! The fraction of a customer's limit that a node holds as one of the customer's home nodes.

use std::time::{Duration, Instant};

/// A fraction that decreases at once and increases only after a wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct HomeFraction {
    current: f64,

    /// A larger fraction and the time from which it applies. Invariant: larger than `current`.
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

    /// Sets the fraction given by the newest configuration. An increase applies after `wait`.
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

    /// Resets the fraction to zero, as after missed versions of the configuration.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
