//! Choice of the backend server, or head of a group, that takes a request.

use std::time::Duration;

use comfreyturn_types::ServerLife;

/// A backend server that could take a request, with its known load.
#[derive(Clone, Debug, PartialEq)]
pub struct HeadCandidate {
    /// The server; for a group, its head.
    pub life: ServerLife,

    /// Requests in flight there, from all nodes.
    pub running: u32,

    /// Requests that it runs concurrently. Invariant: at least one.
    pub slots: u32,

    /// One-way delay to it.
    pub distance: Duration,

    /// Whether it has a rate limit, of which this node holds a part that it has not used yet.
    pub has_quota: bool,
}

/// Settings of a [`HeadPicker`].
#[derive(Clone, Copy, Debug)]
pub struct HeadPickerSettings {
    /// Requests that may queue at a server, as a fraction of its slots.
    pub queue_share: f64,

    /// Cost of distance: the number of requests in flight that weigh as much as one second of
    /// delay.
    pub requests_per_second: f64,
}

impl Default for HeadPickerSettings {
    fn default() -> Self {
        Self { queue_share: 0.25, requests_per_second: 200.0 }
    }
}

/// Picks the server with the fewest requests in flight, allowing for requests of other nodes that
/// are not reported yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadPicker {
    settings: HeadPickerSettings,
}

impl HeadPicker {
    /// Creates a picker.
    pub fn new(settings: HeadPickerSettings) -> Self {
        Self { settings }
    }

    /// Whether a server can accept one more request.
    pub fn has_capacity(&self, candidate: &HeadCandidate) -> bool {
        candidate.running < self.places(candidate)
    }

    /// Requests that a server may have: those that it runs, and those that may queue there.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number of slots is small and not negative"
    )]
    pub fn places(&self, candidate: &HeadCandidate) -> u32 {
        (f64::from(candidate.slots) * (1.0 + self.settings.queue_share)).ceil() as u32
    }

    /// Picks a candidate with capacity, or any candidate for an urgent request. `unseen` is the
    /// expected number of requests that other nodes have sent since they reported their counts;
    /// `draw` is a random number from 0 up to 1.
    ///
    /// This is load interpretation: if all nodes chose by the same stale counts, all would send to
    /// the server that looks least loaded. The unseen requests are assumed to have filled the least
    /// loaded servers up to a common level. This request goes to each server with the probability
    /// with which one of the unseen requests went there. With fresh counts that is the least loaded
    /// server.
    ///
    /// A server with a rate limit is picked first, unless it is loaded more than the mean: only a
    /// few nodes send to it, and chance would lead too few of their requests there.
    pub fn pick<'a>(
        &self,
        candidates: &'a [HeadCandidate],
        unseen: f64,
        draw: f64,
        urgent: bool,
    ) -> Option<&'a HeadCandidate> {
        let available =
            candidates.iter().filter(|candidate| urgent || self.has_capacity(candidate));
        let mut costs: Vec<_> =
            available.map(|candidate| (self.cost(candidate), candidate)).collect();
        costs.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        let mean = costs.iter().map(|(cost, _)| cost).sum::<f64>() / costs.len().max(1) as f64;
        let limited = costs.iter().find(|(_, candidate)| candidate.has_quota);
        if let Some((_, candidate)) = limited.filter(|(cost, _)| *cost <= mean) {
            return Some(candidate);
        }
        let level = fill_level(&costs, unseen.max(MIN_UNSEEN))?;
        let share = |(cost, candidate): &(f64, &HeadCandidate)| {
            (level - cost).max(0.0) * f64::from(candidate.slots)
        };
        let mut rest = draw * costs.iter().map(share).sum::<f64>();
        let drawn = costs.iter().find(|candidate| {
            rest -= share(candidate);
            rest < 0.0
        });
        drawn.or(costs.first()).map(|(_, candidate)| *candidate)
    }

    /// Requests in flight per slot, with the distance converted to requests and added.
    fn cost(&self, candidate: &HeadCandidate) -> f64 {
        let distance = candidate.distance.as_secs_f64() * self.settings.requests_per_second;
        (f64::from(candidate.running) + distance) / f64::from(candidate.slots)
    }
}

/// Lower bound on the number of unseen requests, so that the draw decides among servers with equal
/// load.
const MIN_UNSEEN: f64 = 1e-6;

/// The load level that servers reach when `requests` are distributed to the least loaded ones
/// first. `costs` must be in ascending order.
fn fill_level(costs: &[(f64, &HeadCandidate)], requests: f64) -> Option<f64> {
    let (mut slots, mut filled) = (0.0, 0.0);
    let mut level = None;
    for (cost, candidate) in costs {
        if level.is_some_and(|level| level <= *cost) {
            break;
        }
        slots += f64::from(candidate.slots);
        filled += cost * f64::from(candidate.slots);
        level = Some((filled + requests) / slots);
    }
    level
}
