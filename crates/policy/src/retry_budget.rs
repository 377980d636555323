//! How many attempts beyond the first are allowed.

use std::time::Instant;

/// Allows repeated attempts as a share of requests, so that an outage causes no storm.
pub trait RetryBudget {
    /// A request's first attempt was made.
    fn record_request(&mut self, now: Instant);

    /// Takes one repeated attempt out of the budget, if there is one.
    fn try_retry(&mut self, now: Instant) -> bool;
}
