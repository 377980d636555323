//! Measures the service time of a service's requests.

use std::time::Duration;

/// The weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Initial mean cost in tokens, until requests have been measured.
const INITIAL_COST: f64 = 500.0;

/// Moving averages over the finished requests of a service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceMeter {
    /// Mean estimated cost, in tokens.
    mean_cost: f64,

    /// Mean service time, in seconds.
    mean_time: f64,
}

impl ServiceMeter {
    /// Creates a meter that expects `tokens_per_second` of each running request.
    pub(crate) fn new(tokens_per_second: f64) -> Self {
        Self { mean_cost: INITIAL_COST, mean_time: INITIAL_COST / tokens_per_second }
    }

    /// Records a request of estimated `cost` that was served within `time`.
    pub(crate) fn record(&mut self, cost: f64, time: Duration) {
        self.mean_cost += SAMPLE_WEIGHT * (cost - self.mean_cost);
        self.mean_time += SAMPLE_WEIGHT * (time.as_secs_f64() - self.mean_time);
    }

    /// Expected service time of a request, in seconds.
    pub(crate) fn service_time(&self, cost: f64) -> f64 {
        cost * self.mean_time / self.mean_cost.max(1.0)
    }

    /// Expected time to serve a total of `cost` with `slots` concurrent requests, in seconds.
    pub(crate) fn drain_time(&self, cost: f64, slots: u32) -> f64 {
        self.service_time(cost) / f64::from(slots.max(1))
    }

    /// Expected interval between two completions of requests, in seconds.
    pub(crate) fn completion_interval(&self, slots: u32) -> f64 {
        self.mean_time / f64::from(slots.max(1))
    }
}
