//! How long requests take, for the decision whether one more can be done in time.

use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

/// Settings of [`RunTimes`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunTimeSettings {
    /// Requests are remembered for at least this time after their end, and at most twice as long.
    pub window: Duration,

    /// With fewer requests of a kind than this, nothing is said about others.
    pub least_requests: u32,

    /// A request may take this many times as long as the longest one that was seen.
    pub margin: f64,
}

impl Default for RunTimeSettings {
    fn default() -> Self {
        Self { window: Duration::from_secs(30), least_requests: 20, margin: 1.5 }
    }
}

/// Requests of one kind that ended within a span of time.
#[derive(Clone, Copy, Debug, Default)]
struct RunSpan {
    requests: u32,
    longest: Duration,
}

/// Requests of one kind.
#[derive(Clone, Copy, Debug)]
struct KindRuns {
    /// When the current span began.
    since: Instant,
    current: RunSpan,
    previous: RunSpan,
}

impl KindRuns {
    /// The same requests, without those of spans that are over by now. Spans follow each other
    /// without a gap, so that a request is never remembered for more than two of them.
    fn at(self, now: Instant, window: Duration) -> Self {
        let age = now.saturating_duration_since(self.since);
        if age < window {
            return self;
        }
        let next = self.since + window;
        let (since, previous) =
            if age < window * 2 { (next, self.current) } else { (now, RunSpan::default()) };
        Self { since, current: RunSpan::default(), previous }
    }
}

/// The longest times that requests took lately, by their kind: a route or a service. The longest
/// counts, not a mean: whoever relies on a bound promises to finish.
#[derive(Debug)]
pub struct RunTimes<K> {
    settings: RunTimeSettings,
    kinds: HashMap<K, KindRuns>,
}

impl<K: Clone + Eq + Hash> RunTimes<K> {
    /// Creates a record without requests.
    pub fn new(settings: RunTimeSettings) -> Self {
        Self { settings, kinds: HashMap::new() }
    }

    /// Records a request that was served within `time`.
    pub fn record(&mut self, now: Instant, kind: &K, time: Duration) {
        let runs = self.current(now, kind);
        runs.requests = runs.requests.saturating_add(1);
        runs.longest = runs.longest.max(time);
    }

    /// Records a request that failed or was given up after `time`. It might have taken longer, and
    /// says nothing about how quick others are.
    pub fn record_unserved(&mut self, now: Instant, kind: &K, time: Duration) {
        let runs = self.current(now, kind);
        runs.longest = runs.longest.max(time);
    }

    /// Forgets the requests of a kind: those that come now may take longer.
    pub fn forget(&mut self, kind: &K) {
        self.kinds.remove(kind);
    }

    /// The current span of a kind.
    fn current(&mut self, now: Instant, kind: &K) -> &mut RunSpan {
        let window = self.settings.window;
        let empty =
            || KindRuns { since: now, current: RunSpan::default(), previous: RunSpan::default() };
        let runs = self.kinds.entry(kind.clone()).or_insert_with(empty);
        *runs = runs.at(now, window);
        &mut runs.current
    }

    /// The longest time that a request of a kind should take; `None` if too few are known.
    /// `running` is the age of the oldest one that has not ended.
    pub fn bound(&self, now: Instant, kind: &K, running: Duration) -> Option<Duration> {
        let KindRuns { current, previous, .. } =
            self.kinds.get(kind)?.at(now, self.settings.window);
        let requests = current.requests.saturating_add(previous.requests);
        let longest = current.longest.max(previous.longest).max(running);
        (requests >= self.settings.least_requests).then(|| longest.mul_f64(self.settings.margin))
    }

    /// The time that a request of a kind may need if its caller waits for `limit`: all of it if too
    /// few requests are known.
    pub fn needed(&self, now: Instant, kind: &K, running: Duration, limit: Duration) -> Duration {
        self.bound(now, kind, running).map_or(limit, |bound| bound.min(limit))
    }
}
