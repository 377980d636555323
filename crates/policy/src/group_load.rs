//! The load and latency of one group as observed by one node.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use comfreyturn_types::GroupGeneration;

use crate::WholeGroup;

/// How long the history of the node's own attempts is kept. Older reports are discounted to
/// nearly zero.
const HISTORY_RETENTION: Duration = Duration::from_secs(15);

/// Maximum number of entries in the history of the node's own attempts.
const MAX_HISTORY: usize = 4096;

/// A node's own attempts at one group, and their first-token latency.
#[derive(Debug)]
pub(crate) struct GroupLoad {
    /// The generation of the group in which the latencies were measured.
    pub generation: GroupGeneration,

    /// Attempts of this node that have not ended.
    pub in_flight: u32,

    /// Moving average of the first-token latency, in seconds.
    pub latency: f64,

    /// Number of samples in `latency`, capped at the length of the moving average.
    pub samples: u32,

    /// Failed attempts since the last success.
    pub failures: u32,

    /// When the group was last offered to the router.
    pub offered_at: Instant,

    /// Start times of the attempts without a first token, oldest first.
    /// Invariant: not longer than `in_flight`.
    awaiting: VecDeque<Instant>,

    /// Number of attempts in flight after each change, oldest first.
    history: VecDeque<(Instant, u32)>,
}

impl GroupLoad {
    pub(crate) fn new(now: Instant, generation: GroupGeneration) -> Self {
        Self {
            generation,
            in_flight: 0,
            latency: 0.0,
            samples: 0,
            failures: 0,
            offered_at: now,
            awaiting: VecDeque::new(),
            history: VecDeque::new(),
        }
    }

    /// Discards the latencies, failures and awaited first tokens of an earlier generation. Attempts
    /// in flight are still counted until they end.
    pub(crate) fn reset(&mut self, generation: GroupGeneration) {
        self.generation = generation;
        self.awaiting.clear();
        self.reset_latency();
    }

    /// Discards the latency samples and the failure count.
    pub(crate) fn reset_latency(&mut self) {
        self.latency = 0.0;
        self.samples = 0;
        self.failures = 0;
    }

    pub(crate) fn started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.awaiting.push_back(now);
        self.record_in_flight(now);
    }

    /// Records a first token that arrived `elapsed` after its attempt was sent.
    pub(crate) fn first_token(&mut self, now: Instant, elapsed: Duration, max_samples: u32) {
        self.remove_awaiting(now.checked_sub(elapsed).unwrap_or(now));
        self.samples = (self.samples + 1).min(max_samples.max(1));
        let share = 1.0 / f64::from(self.samples);
        self.latency += share * (elapsed.as_secs_f64() - self.latency);
    }

    pub(crate) fn ended(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        while self.awaiting.len() > self.in_flight as usize {
            self.awaiting.pop_front();
        }
        self.record_in_flight(now);
    }

    /// How long the oldest attempt without a first token has waited.
    pub(crate) fn longest_wait(&self, now: Instant) -> Duration {
        self.awaiting.front().map_or(Duration::ZERO, |at| now.saturating_duration_since(*at))
    }

    /// Requests of other nodes at the group when its load was measured.
    pub(crate) fn others_at_report(&self, group: &WholeGroup) -> f64 {
        let reported = f64::from(group.load.running.saturating_add(group.load.queued));
        (reported - f64::from(self.in_flight_at(group.load_at))).max(0.0)
    }

    fn in_flight_at(&self, at: Instant) -> u32 {
        let after = self.history.partition_point(|(changed_at, _)| *changed_at <= at);
        match after.checked_sub(1) {
            Some(index) => self.history[index].1,
            None => 0,
        }
    }

    /// Removes the first attempt that started at `started_at` or later, else the latest one.
    fn remove_awaiting(&mut self, started_at: Instant) {
        let after = self.awaiting.partition_point(|at| *at < started_at);
        if after < self.awaiting.len() {
            self.awaiting.remove(after);
        } else {
            self.awaiting.pop_back();
        }
    }

    fn record_in_flight(&mut self, now: Instant) {
        self.history.push_back((now, self.in_flight));
        // The newest entry before the retention time is kept: it is valid until the next entry.
        while self.history.len() > 1
            && now.saturating_duration_since(self.history[1].0) > HISTORY_RETENTION
        {
            self.history.pop_front();
        }
        while self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }
}
