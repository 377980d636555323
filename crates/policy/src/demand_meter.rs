//! The recent demand of one customer at one node.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::CustomerShare;

/// Number of slots into which the window is divided.
const SLOTS: u32 = 8;

/// Demand in one slot of the window.
#[derive(Clone, Copy, Debug)]
struct DemandSlot {
    started_at: Instant,
    requests: f64,
    tokens: f64,
}

/// Measures demand over a sliding window, including refused requests.
#[derive(Clone, Debug)]
pub(crate) struct DemandMeter {
    window: Duration,

    /// Oldest first. Invariant: at most `SLOTS + 1` entries.
    slots: VecDeque<DemandSlot>,
}

impl DemandMeter {
    pub(crate) fn new(window: Duration) -> Self {
        Self { window, slots: VecDeque::new() }
    }

    pub(crate) fn record(&mut self, now: Instant, tokens: f64) {
        self.remove_expired(now);
        let width = self.window / SLOTS;
        match self.slots.back_mut() {
            Some(slot) if now.saturating_duration_since(slot.started_at) < width => {
                slot.requests += 1.0;
                slot.tokens += tokens;
            }
            _ => self.slots.push_back(DemandSlot { started_at: now, requests: 1.0, tokens }),
        }
    }

    /// Demand as a fraction of `limit`, of requests or of tokens, whichever is larger.
    pub(crate) fn fraction(&mut self, now: Instant, limit: CustomerShare) -> f64 {
        self.remove_expired(now);
        let requests: f64 = self.slots.iter().map(|slot| slot.requests).sum();
        let tokens: f64 = self.slots.iter().map(|slot| slot.tokens).sum();
        let seconds = self.window.as_secs_f64();
        let by_requests = requests / (limit.requests_per_second * seconds).max(f64::MIN_POSITIVE);
        let by_tokens = tokens / (limit.tokens_per_second * seconds).max(f64::MIN_POSITIVE);
        by_requests.max(by_tokens)
    }

    fn remove_expired(&mut self, now: Instant) {
        let window = self.window;
        self.slots.retain(|slot| now.saturating_duration_since(slot.started_at) < window);
    }
}
