//! How often something happens.

use std::time::{Duration, Instant};

/// Measures how often something happens, newer events weighing more.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalMeter {
    /// Time in which the weight of an event falls to a third or so (by the factor e).
    memory: Duration,

    /// Events, each by its weight at `updated_at`.
    weight: f64,
    updated_at: Option<Instant>,
}

impl ArrivalMeter {
    /// A meter that has counted nothing.
    pub fn new(memory: Duration) -> Self {
        Self { memory, weight: 0.0, updated_at: None }
    }

    /// Counts an event.
    pub fn record(&mut self, now: Instant) {
        self.weight = self.weight_at(now) + 1.0;
        self.updated_at = Some(now);
    }

    /// Events a second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.weight_at(now) / self.memory.as_secs_f64()
    }

    fn weight_at(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else { return 0.0 };
        let elapsed = now.saturating_duration_since(updated_at);
        self.weight * (-elapsed.as_secs_f64() / self.memory.as_secs_f64()).exp()
    }
}
