//! Measures the rate of events.

use std::time::{Duration, Instant};

/// Measures the rate of events with an exponentially decaying average.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalMeter {
    /// Time in which the weight of an event decays by the factor e.
    time_constant: Duration,

    /// Sum of the weights of all events at `updated_at`.
    weight: f64,
    updated_at: Option<Instant>,
}

impl ArrivalMeter {
    /// Creates a meter without events.
    pub fn new(time_constant: Duration) -> Self {
        Self { time_constant, weight: 0.0, updated_at: None }
    }

    /// Counts an event.
    pub fn record(&mut self, now: Instant) {
        self.weight = self.weight_at(now) + 1.0;
        self.updated_at = Some(now);
    }

    /// The rate in events per second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.weight_at(now) / self.time_constant.as_secs_f64()
    }

    fn weight_at(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else { return 0.0 };
        let elapsed = now.saturating_duration_since(updated_at);
        self.weight * (-elapsed.as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }
}
