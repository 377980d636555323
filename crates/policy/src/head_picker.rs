//! Choice of the backend server, or head of a group, that takes a request.

use std::time::Duration;

use comfreyturn_types::ServerLife;

use crate::FirstEventEstimate;

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

    /// The predicted time to the request's first event; `None` if the timing of the engine is not
    /// known.
    pub estimate: Option<FirstEventEstimate>,
}

/// Settings of a [`HeadPicker`].
#[derive(Clone, Copy, Debug)]
pub struct HeadPickerSettings {
    /// Requests that may queue at a server, as a fraction of its slots.
    pub queue_share: f64,

    /// Cost of distance: the number of requests in flight that weigh as much as one second of
    /// delay.
    pub requests_per_second: f64,

    /// Cost of a pause that exceeds the longest one of the streams at a server, relative to a delay
    /// of the request itself. Above one, because the pause delays several streams.
    pub pause_weight: f64,
}

impl Default for HeadPickerSettings {
    fn default() -> Self {
        Self { queue_share: 0.25, requests_per_second: 200.0, pause_weight: 4.0 }
    }
}

/// Picks the server that is predicted to answer first, or has the fewest requests in flight if no
/// prediction exists. Allows for requests of other nodes that are not reported yet.
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
        let available: Vec<_> = available.collect();
        // Times and counts can't be compared.
        let by_time = available.iter().all(|candidate| candidate.estimate.is_some());
        let mut curves: Vec<_> =
            available.into_iter().map(|candidate| self.curve(candidate, by_time)).collect();
        curves.sort_by(|one, other| one.cost.total_cmp(&other.cost));
        let mean = curves.iter().map(|curve| curve.cost).sum::<f64>() / curves.len().max(1) as f64;
        let limited = curves.iter().find(|curve| curve.candidate.has_quota);
        if let Some(curve) = limited.filter(|curve| curve.cost <= mean) {
            return Some(curve.candidate);
        }
        let level = fill_level(&curves, unseen.max(MIN_UNSEEN));
        let mut rest = draw * curves.iter().map(|curve| curve.taken(level)).sum::<f64>();
        let drawn = curves.iter().find(|curve| {
            rest -= curve.taken(level);
            rest < 0.0
        });
        drawn.or(curves.first()).map(|curve| curve.candidate)
    }

    fn curve<'a>(&self, candidate: &'a HeadCandidate, by_time: bool) -> CostCurve<'a> {
        let estimate = candidate.estimate.as_ref().filter(|_| by_time);
        let slots = f64::from(candidate.slots);
        let Some(estimate) = estimate else {
            let cost = self.count_cost(candidate);
            return CostCurve {
                candidate,
                cost,
                width: slots,
                bend: f64::INFINITY,
                end_width: 0.0,
            };
        };
        let cost = estimate.time.as_secs_f64()
            + estimate.excess_pause.as_secs_f64() * self.settings.pause_weight;
        let width = |delay: Duration| 1.0 / delay.max(MIN_DELAY).as_secs_f64();
        let room = (slots - f64::from(candidate.running)).max(0.0);
        let bend = cost + room / width(estimate.delay_per_request);
        let end_width = width(estimate.delay_per_queued);
        CostCurve { candidate, cost, width: width(estimate.delay_per_request), bend, end_width }
    }

    /// Requests in flight per slot, with the distance converted to requests and added.
    fn count_cost(&self, candidate: &HeadCandidate) -> f64 {
        let distance = candidate.distance.as_secs_f64() * self.settings.requests_per_second;
        (f64::from(candidate.running) + distance) / f64::from(candidate.slots)
    }
}

/// Lower bound on the number of unseen requests, so that the draw decides among servers with equal
/// load.
const MIN_UNSEEN: f64 = 1e-6;

/// Lower bound on the delay that a request causes, so that a server takes a finite number of
/// requests up to a common level.
const MIN_DELAY: Duration = Duration::from_micros(1);

/// The cost of a candidate by the number of requests that are added to it: it rises linearly, and at
/// another rate once its slots are taken.
struct CostCurve<'a> {
    candidate: &'a HeadCandidate,

    /// The cost without further requests.
    cost: f64,

    /// Requests that raise the cost by one while slots are free. Invariant: positive.
    width: f64,

    /// The cost at which all slots are taken.
    bend: f64,

    /// Requests that raise the cost by one above `bend`.
    end_width: f64,
}

impl CostCurve<'_> {
    /// Requests that raise the cost to a level; none if it is higher already.
    fn taken(&self, level: f64) -> f64 {
        let first = (level.min(self.bend) - self.cost).max(0.0) * self.width;
        let rest = if level > self.bend { (level - self.bend) * self.end_width } else { 0.0 };
        first + rest
    }
}

/// The cost that servers reach when `requests` are distributed to the cheapest ones first.
fn fill_level(curves: &[CostCurve<'_>], requests: f64) -> f64 {
    let starts = curves.iter().map(|curve| (curve.cost, curve.width));
    let bends = curves.iter().map(|curve| (curve.bend, curve.end_width - curve.width));
    let mut changes: Vec<(f64, f64)> =
        starts.chain(bends.filter(|(bend, _)| bend.is_finite())).collect();
    changes.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let (mut level, mut width, mut rest) = (0.0, 0.0, requests);
    for (cost, change) in changes {
        let taken = (cost - level) * width;
        if taken >= rest && width > 0.0 {
            break;
        }
        rest -= taken;
        level = cost;
        width += change;
    }
    level + rest / width
}
