//! Limits how many attempts beyond the first are allowed.

use std::time::Instant;

/// Limits retries, so that an outage does not cause a retry storm.
pub trait RetryBudget {
    /// Records the first attempt of a request.
    fn record_request(&mut self, now: Instant);

    /// Takes one retry out of the budget; returns false if the budget is used up.
    fn try_retry(&mut self, now: Instant) -> bool;
}
