//! How many requests came until a time in the recent past.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Counts requests in slots, so that memory does not grow with their number.
#[derive(Clone, Debug)]
pub(crate) struct RequestHistory {
    /// For how long slots are kept.
    retention: Duration,

    /// The time that a slot spans.
    slot_width: Duration,

    /// Oldest first.
    slots: VecDeque<HistorySlot>,

    /// All requests ever counted.
    total: u64,
}

#[derive(Clone, Copy, Debug)]
struct HistorySlot {
    started_at: Instant,

    /// Requests before the slot.
    before: u64,
}

impl RequestHistory {
    /// Creates an empty history that reaches back for `retention`. A slot spans one of `slots`
    /// parts of it.
    pub(crate) fn new(retention: Duration, slots: u32) -> Self {
        let slot_width = retention / slots.max(1);
        Self { retention, slot_width, slots: VecDeque::new(), total: 0 }
    }

    /// Counts a request.
    pub(crate) fn record(&mut self, now: Instant) {
        let age = |slot: &HistorySlot| now.saturating_duration_since(slot.started_at);
        while self.slots.front().is_some_and(|slot| age(slot) >= self.retention) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| age(slot) >= self.slot_width) {
            self.slots.push_back(HistorySlot { started_at: now, before: self.total });
        }
        self.total += 1;
    }

    /// All requests ever counted.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// The requests until `age` before `now`, and those after it that fall into the same slot: at
    /// least as many as came until then. `age` is at most the retention.
    pub(crate) fn until(&self, now: Instant, age: Duration) -> u64 {
        let is_after = |slot: &&HistorySlot| now.saturating_duration_since(slot.started_at) < age;
        self.slots.iter().find(is_after).map_or(self.total, |slot| slot.before)
    }
}
