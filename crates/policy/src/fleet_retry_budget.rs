//! One node's part of a fleet's retry budget.

use std::{
    collections::VecDeque,
    num::NonZeroUsize,
    time::{Duration, Instant},
};

use crate::{RetryBudget, request_history::RequestHistory};

/// Slots of the window in which requests are counted.
const SLOTS: u32 = 40;

/// Settings of a [`FleetRetryBudget`], which are the same on all nodes.
#[derive(Clone, Debug)]
pub struct FleetRetrySettings {
    /// Retries allowed for each request within the window.
    pub share: f64,

    /// Retries that all nodes together may make within the window in addition to the share.
    pub slack: f64,

    /// Length of the sliding window over requests and retries.
    pub window: Duration,
}

impl Default for FleetRetrySettings {
    fn default() -> Self {
        Self { share: 0.1, slack: 0.0, window: Duration::from_secs(10) }
    }
}

/// One node's part of a fleet's retry budget.
///
/// In each window, wherever it begins, all nodes together make no more retries than the slack and
/// the share of their requests in that window or in the one before, whichever has more. Nothing is
/// told to other nodes, and it holds also when nodes are killed, start again, and take over each
/// other's callers:
///
/// - The retries since any moment of the window are bounded by the share of the mean of the requests
///   since that moment and those in the window before it. Such means of the nodes add up to the same
///   mean of the fleet, which is below the larger of both. A maximum at each node would not add up.
/// - A process that has just started knows nothing of its predecessor, which may have used its whole
///   part of the slack. It uses none of it until one window has passed, nor before it knows how many
///   nodes there are.
#[derive(Debug)]
pub struct FleetRetryBudget {
    settings: FleetRetrySettings,

    /// From when on the process uses its part of the slack.
    slack_from: Instant,

    /// Nodes that divide the slack among themselves; `None` while that is not known.
    nodes: Option<NonZeroUsize>,
    requests: RequestHistory,

    /// Oldest first. Invariant: they span the window, and at most one slot more.
    slots: VecDeque<BudgetSlot>,
}

/// A part of the window.
#[derive(Clone, Copy, Debug)]
struct BudgetSlot {
    started_at: Instant,
    retries: u32,

    /// Requests until one window before the newest moment of the slot.
    earlier_requests: u64,
}

impl FleetRetryBudget {
    /// Creates the budget of a process that uses its part of the slack from `slack_from` on: one
    /// window after its start, or earlier if it has no predecessor.
    pub fn new(settings: FleetRetrySettings, slack_from: Instant) -> Self {
        Self {
            requests: RequestHistory::new(settings.window, SLOTS),
            settings,
            slack_from,
            nodes: None,
            slots: VecDeque::new(),
        }
    }

    /// Sets the number of nodes that divide the slack among themselves, this one included; `None`
    /// while it is not known.
    pub fn set_nodes(&mut self, nodes: Option<NonZeroUsize>) {
        self.nodes = nodes;
    }

    /// This node's part of the slack.
    #[expect(clippy::cast_precision_loss, reason = "nodes are few")]
    pub fn slack(&self, now: Instant) -> f64 {
        let nodes = self.nodes.filter(|_| now >= self.slack_from);
        nodes.map_or(0.0, |nodes| self.settings.slack / nodes.get() as f64)
    }

    fn current_slot(&mut self, now: Instant) -> &mut BudgetSlot {
        let window = self.settings.window;
        let age = |slot: &BudgetSlot| now.saturating_duration_since(slot.started_at);
        // A slot ends where the next one begins.
        while self.slots.get(1).is_some_and(|next| age(next) >= window) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| age(slot) >= window / SLOTS) {
            self.slots.push_back(BudgetSlot { started_at: now, retries: 0, earlier_requests: 0 });
        }
        let slot = self.slots.back_mut().expect("a slot was pushed if there was none");
        slot.earlier_requests = self.requests.until(now, window);
        slot
    }

    /// Whether the retries since any moment of the window, and one more, are allowed.
    #[expect(clippy::cast_precision_loss, reason = "counts of two windows")]
    fn is_allowed(&self, now: Instant) -> bool {
        let slack = self.slack(now);
        let mut retries = 1;
        self.slots.iter().rev().all(|slot| {
            retries += slot.retries;
            let requests = (self.requests.total() - slot.earlier_requests) as f64;
            f64::from(retries) <= requests / 2.0 * self.settings.share + slack
        })
    }
}

impl RetryBudget for FleetRetryBudget {
    fn record_request(&mut self, now: Instant) {
        self.current_slot(now);
        self.requests.record(now);
    }

    fn try_retry(&mut self, now: Instant) -> bool {
        self.current_slot(now);
        let is_allowed = self.is_allowed(now);
        if is_allowed {
            self.current_slot(now).retries += 1;
        }
        is_allowed
    }
}
