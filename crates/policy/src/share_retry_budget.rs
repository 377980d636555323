//! A retry budget that is a share of recent requests.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{RetryBudget, request_history::RequestHistory};

/// Settings of a [`ShareRetryBudget`].
#[derive(Clone, Debug)]
pub struct RetryBudgetSettings {
    /// Retries allowed for each request within the window.
    pub share: f64,

    /// Retries allowed within the window regardless of the number of requests, so that a single
    /// failure on an idle node can be retried.
    pub floor: u32,

    /// Length of the sliding window over requests and retries.
    pub window: Duration,

    /// Number of slots of the window in which requests are counted. A request counts for up to one
    /// slot less than the window. Invariant: at least one.
    pub slots: u32,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { share: 0.1, floor: 2, window: Duration::from_secs(10), slots: 10 }
    }
}

/// Allows retries up to a share of the requests within a sliding window, at each node by itself.
/// [`crate::FleetRetryBudget`] bounds the sum over all nodes.
#[derive(Debug)]
pub struct ShareRetryBudget {
    settings: RetryBudgetSettings,
    requests: RequestHistory,

    /// The retries within the window, oldest first. Invariant: at each time, no more than the
    /// share of the requests within the window, or the floor.
    retries: VecDeque<Instant>,
}

impl ShareRetryBudget {
    /// Creates a budget without any recorded requests.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        let requests = RequestHistory::new(settings.window, settings.slots);
        Self { settings, requests, retries: VecDeque::new() }
    }
}

impl Default for ShareRetryBudget {
    fn default() -> Self {
        Self::new(RetryBudgetSettings::default())
    }
}

impl RetryBudget for ShareRetryBudget {
    fn record_request(&mut self, now: Instant) {
        self.requests.record(now);
    }

    #[expect(clippy::cast_precision_loss, reason = "counts of one window")]
    fn try_retry(&mut self, now: Instant) -> bool {
        let window = self.settings.window;
        let is_past = |at: &Instant| now.saturating_duration_since(*at) >= window;
        while self.retries.front().is_some_and(is_past) {
            self.retries.pop_front();
        }
        let requests = self.requests.total() - self.requests.until(now, window);
        let allowed = requests as f64 * self.settings.share;
        let next = self.retries.len() + 1;
        if next as f64 > allowed.max(f64::from(self.settings.floor)) {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}
