//! A retry budget that is a share of recent requests.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::RetryBudget;

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

    /// Number of slots that the window is divided into. Invariant: at least one.
    pub slots: u32,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { share: 0.1, floor: 2, window: Duration::from_secs(10), slots: 10 }
    }
}

/// Counts of one slot of the window.
#[derive(Clone, Copy, Debug)]
struct BudgetSlot {
    started_at: Instant,
    requests: u32,
    retries: u32,
}

/// Allows retries up to a share of the requests within a sliding window.
#[derive(Debug)]
pub struct ShareRetryBudget {
    settings: RetryBudgetSettings,

    /// Oldest first. Invariant: at most `settings.slots + 1` entries.
    slots: VecDeque<BudgetSlot>,

    /// Retries allowed within the window in addition to the share.
    slack: f64,
}

impl ShareRetryBudget {
    /// Creates a budget without any recorded requests.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self { settings, slots: VecDeque::new(), slack: 0.0 }
    }

    /// Sets how many retries are allowed within the window in addition to the share of requests.
    /// Nodes that divide a common slack among them stay within it together, whether or not they
    /// reach each other.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    fn current_slot(&mut self, now: Instant) -> &mut BudgetSlot {
        let window = self.settings.window;
        while self
            .slots
            .front()
            .is_some_and(|slot| now.saturating_duration_since(slot.started_at) >= window)
        {
            self.slots.pop_front();
        }
        let width = window / self.settings.slots.max(1);
        let fits = self
            .slots
            .back()
            .is_some_and(|slot| now.saturating_duration_since(slot.started_at) < width);
        if !fits {
            self.slots.push_back(BudgetSlot { started_at: now, requests: 0, retries: 0 });
        }
        self.slots.back_mut().expect("a slot was pushed if there was none")
    }
}

impl Default for ShareRetryBudget {
    fn default() -> Self {
        Self::new(RetryBudgetSettings::default())
    }
}

impl RetryBudget for ShareRetryBudget {
    fn record_request(&mut self, now: Instant) {
        let slot = self.current_slot(now);
        slot.requests = slot.requests.saturating_add(1);
    }

    fn try_retry(&mut self, now: Instant) -> bool {
        self.current_slot(now);
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let retries: u32 = self.slots.iter().map(|slot| slot.retries).sum();
        let allowed = f64::from(requests) * self.settings.share + self.slack;
        if f64::from(retries) + 1.0 > allowed.max(f64::from(self.settings.floor)) {
            return false;
        }
        self.current_slot(now).retries += 1;
        true
    }
}
