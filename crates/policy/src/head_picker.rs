//! Which backend server, or head of a group, takes a request.

use std::time::Duration;

use comfreyturn_types::ServerLife;

/// A backend server that could take a request, with what is known of its load.
#[derive(Clone, Debug, PartialEq)]
pub struct HeadCandidate {
    /// The server, for a group its head.
    pub life: ServerLife,

    /// Requests under way there, from all nodes.
    pub running: u32,

    /// Requests that it runs at once. Invariant: at least one.
    pub slots: u32,

    /// One-way delay to it.
    pub distance: Duration,
}

/// Settings of a [`HeadPicker`].
#[derive(Clone, Copy, Debug)]
pub struct HeadPickerSettings {
    /// Requests that may wait at a server, as a part of its slots.
    pub queue_share: f64,

    /// Cost of distance: how many requests under way weigh as much as one second of delay.
    pub requests_per_second: f64,
}

impl Default for HeadPickerSettings {
    fn default() -> Self {
        Self { queue_share: 0.25, requests_per_second: 200.0 }
    }
}

/// Picks the server with the least work under way.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadPicker {
    settings: HeadPickerSettings,
}

impl HeadPicker {
    /// A picker.
    pub fn new(settings: HeadPickerSettings) -> Self {
        Self { settings }
    }

    /// Whether a server can take one more request.
    pub fn has_capacity(&self, candidate: &HeadCandidate) -> bool {
        let slots = f64::from(candidate.slots);
        f64::from(candidate.running) < (slots * (1.0 + self.settings.queue_share)).ceil()
    }

    /// A candidate with room, or any one for an urgent request. `unseen` is the number of requests
    /// that other nodes are likely to have sent since they told their counts; `draw` is random,
    /// from 0 up to 1.
    ///
    /// This is load interpretation: with old counts, the server that looks best is about to get
    /// the requests of everybody. The requests that were not seen are taken to have filled up the
    /// servers with the least work to one level, and this one goes to each with the probability
    /// with which one of those went there. With fresh counts that is the server with least work.
    pub fn pick<'a>(
        &self,
        candidates: &'a [HeadCandidate],
        unseen: f64,
        draw: f64,
        urgent: bool,
    ) -> Option<&'a HeadCandidate> {
        let room = candidates.iter().filter(|candidate| urgent || self.has_capacity(candidate));
        let mut costs: Vec<_> = room.map(|candidate| (self.cost(candidate), candidate)).collect();
        costs.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        let level = fill_level(&costs, unseen.max(LEAST_UNSEEN))?;
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

    /// Load in units of a full server, and the distance on top.
    fn cost(&self, candidate: &HeadCandidate) -> f64 {
        let distance = candidate.distance.as_secs_f64() * self.settings.requests_per_second;
        (f64::from(candidate.running) + distance) / f64::from(candidate.slots)
    }
}

/// Requests that are taken to be unseen at least, so that among servers with the same work the
/// draw decides.
const LEAST_UNSEEN: f64 = 1e-6;

/// The load up to which servers are filled by so many requests, those with the least load first.
/// `costs` are in order.
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
