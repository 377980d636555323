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
    pub fn has_room(&self, candidate: &HeadCandidate) -> bool {
        let slots = f64::from(candidate.slots);
        f64::from(candidate.running) < (slots * (1.0 + self.settings.queue_share)).ceil()
    }

    /// The best candidate with room, or the best one of all for an urgent request. `draw`, from 0
    /// up to 1, breaks ties, so that nodes with the same knowledge do not all choose the same
    /// server.
    pub fn pick<'a>(
        &self,
        candidates: &'a [HeadCandidate],
        draw: f64,
        urgent: bool,
    ) -> Option<&'a HeadCandidate> {
        let room = candidates.iter().filter(|candidate| urgent || self.has_room(candidate));
        let costs: Vec<_> = room.map(|candidate| (self.cost(candidate), candidate)).collect();
        let least = costs.iter().map(|(cost, _)| *cost).min_by(f64::total_cmp)?;
        let best: Vec<_> = costs.iter().filter(|(cost, _)| *cost <= least).collect();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "draw is below 1 and the number of candidates is small"
        )]
        let index = (draw * best.len() as f64) as usize;
        best.get(index.min(best.len() - 1)).map(|(_, candidate)| *candidate)
    }

    /// Load in units of a full server, and the distance on top.
    fn cost(&self, candidate: &HeadCandidate) -> f64 {
        let distance = candidate.distance.as_secs_f64() * self.settings.requests_per_second;
        (f64::from(candidate.running) + distance) / f64::from(candidate.slots)
    }
}
