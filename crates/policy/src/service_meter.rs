//! How fast requests of a service are served.

use std::time::Duration;

/// The share of a new sample in the moving averages.
const SAMPLE_SHARE: f64 = 0.02;

/// Cost of the request that stands in for samples at first.
const INITIAL_COST: f64 = 500.0;

/// Moving averages over the requests of a service that ended.
#[derive(Clone, Debug)]
pub(crate) struct ServiceMeter {
    /// Mean estimated cost, in tokens.
    mean_cost: f64,

    /// Mean time in service, in seconds.
    mean_time: f64,
}

impl ServiceMeter {
    /// A meter that expects `tokens_per_second` from each running request.
    pub(crate) fn new(tokens_per_second: f64) -> Self {
        Self { mean_cost: INITIAL_COST, mean_time: INITIAL_COST / tokens_per_second }
    }

    /// A request of estimated `cost` was served within `time`.
    pub(crate) fn record(&mut self, cost: f64, time: Duration) {
        self.mean_cost += SAMPLE_SHARE * (cost - self.mean_cost);
        self.mean_time += SAMPLE_SHARE * (time.as_secs_f64() - self.mean_time);
    }

    /// Expected time in service of a request, in seconds.
    pub(crate) fn service_time(&self, cost: f64) -> f64 {
        cost * self.mean_time / self.mean_cost.max(1.0)
    }

    /// Expected time in which `slots` requests at a time work off `cost`, in seconds.
    pub(crate) fn drain_time(&self, cost: f64, slots: u32) -> f64 {
        self.service_time(cost) / f64::from(slots.max(1))
    }

    /// Expected time between two ends of requests, in seconds.
    pub(crate) fn end_interval(&self, slots: u32) -> f64 {
        self.mean_time / f64::from(slots.max(1))
    }
}
