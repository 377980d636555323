//! What one node knows of the load and the latency of one group.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use comfreyturn_types::GroupGeneration;

use crate::WholeGroup;

/// How far back the number of own attempts is remembered. Reports that are older are discounted to
/// nothing anyway.
const HISTORY_RETENTION: Duration = Duration::from_secs(15);

/// Entries of the history of own attempts at most.
const MAX_HISTORY: usize = 4096;

/// What one node knows of one group: its own attempts there, and their first-token latency.
#[derive(Debug)]
pub(crate) struct GroupLoad {
    /// The membership that the latencies belong to.
    pub generation: GroupGeneration,

    /// Own attempts that have not ended.
    pub in_flight: u32,

    /// Moving average of the first-token latency, in seconds.
    pub latency: f64,

    /// Samples in `latency`, up to a bound.
    pub samples: u32,

    /// Failed attempts since the last success.
    pub failures: u32,

    /// When the group was last offered to the router.
    pub seen_at: Instant,

    /// When attempts without a first token started, oldest first.
    /// Invariant: not longer than `in_flight`.
    awaiting: VecDeque<Instant>,

    /// Own attempts in progress after each change, oldest first.
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
            seen_at: now,
            awaiting: VecDeque::new(),
            history: VecDeque::new(),
        }
    }

    /// Forgets how earlier members of the group behaved.
    pub(crate) fn reset(&mut self, generation: GroupGeneration) {
        self.generation = generation;
        self.awaiting.clear();
        self.forget_latency();
    }

    /// Judges the group anew.
    pub(crate) fn forget_latency(&mut self) {
        self.latency = 0.0;
        self.samples = 0;
        self.failures = 0;
    }

    pub(crate) fn started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.awaiting.push_back(now);
        self.remember(now);
    }

    /// Takes in a first token that came `elapsed` after its attempt was sent.
    pub(crate) fn first_token(&mut self, now: Instant, elapsed: Duration, max_samples: u32) {
        self.forget_awaiting(now.checked_sub(elapsed).unwrap_or(now));
        self.samples = (self.samples + 1).min(max_samples.max(1));
        let share = 1.0 / f64::from(self.samples);
        self.latency += share * (elapsed.as_secs_f64() - self.latency);
    }

    pub(crate) fn ended(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        while self.awaiting.len() > self.in_flight as usize {
            self.awaiting.pop_front();
        }
        self.remember(now);
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

    /// Removes the attempt that started closest to `started_at`.
    fn forget_awaiting(&mut self, started_at: Instant) {
        let after = self.awaiting.partition_point(|at| *at < started_at);
        if after < self.awaiting.len() {
            self.awaiting.remove(after);
        } else {
            self.awaiting.pop_back();
        }
    }

    fn remember(&mut self, now: Instant) {
        self.history.push_back((now, self.in_flight));
        // The newest entry before the retention time still says how many were in flight since.
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
