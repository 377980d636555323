//! Measured speed of servers, relative to the stated timing of their engines.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::ServerLife;

/// The smallest measured pace. A pause may be too short because the event before was late.
pub const LEAST_PACE: f64 = 0.5;

/// The largest measured pace. A longer pause is a stall rather than the speed of the server.
pub const MOST_PACE: f64 = 20.0;

/// Settings of a [`PaceMeter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceMeterSettings {
    /// Time in which a measurement loses most of its weight (by a factor of e).
    pub decay_time: Duration,

    /// Upper bound on the weight of all measurements together, in measurements. Without it a server
    /// that was measured often would keep its pace for long after the last measurement.
    pub most_weight: f64,

    /// Weight of the stated timing, in measurements.
    pub stated_weight: f64,
}

impl Default for PaceMeterSettings {
    fn default() -> Self {
        Self { decay_time: Duration::from_secs(1), most_weight: 20.0, stated_weight: 1.0 }
    }
}

/// The weighted mean of the measurements of one server.
#[derive(Clone, Copy, Debug)]
struct MeasuredPace {
    mean: f64,

    /// The sum of the weights at time `at`.
    weight: f64,
    at: Instant,
}

/// Measures by which factor servers are slower than stated, by the times between events. A
/// measurement loses weight with its age, so that a server without new ones returns to pace 1 within
/// some seconds and is tried again.
#[derive(Clone, Debug)]
pub struct PaceMeter {
    settings: PaceMeterSettings,
    paces: HashMap<ServerLife, MeasuredPace>,
}

/// Measurements with less weight than this are forgotten.
const FORGOTTEN_WEIGHT: f64 = 0.01;

impl PaceMeter {
    /// Creates a meter without measurements.
    pub fn new(settings: PaceMeterSettings) -> Self {
        Self { settings, paces: HashMap::new() }
    }

    /// Records the time between two events of a stream and the one expected by the stated timing.
    pub fn record(
        &mut self,
        now: Instant,
        life: &ServerLife,
        measured: Duration,
        expected: Duration,
    ) {
        if expected.is_zero() {
            return;
        }
        let pace = (measured.as_secs_f64() / expected.as_secs_f64()).clamp(LEAST_PACE, MOST_PACE);
        let Some(known) = self.paces.get(life).copied() else {
            self.paces.insert(life.clone(), MeasuredPace { mean: pace, weight: 1.0, at: now });
            return;
        };
        let old = self.weight(now, &known);
        let mean = (known.mean * old + pace) / (old + 1.0);
        let weight = (old + 1.0).min(self.settings.most_weight);
        self.paces.insert(life.clone(), MeasuredPace { mean, weight, at: now });
    }

    /// The pace of a server; `None` if it was not measured lately.
    pub fn pace(&self, now: Instant, life: &ServerLife) -> Option<f64> {
        self.current(now, self.paces.get(life)?)
    }

    /// The paces of all servers that were measured lately. Forgets the others.
    pub fn recent(&mut self, now: Instant) -> HashMap<ServerLife, f64> {
        let decay = self.settings.decay_time;
        self.paces.retain(|_, pace| decayed_weight(now, pace, decay) >= FORGOTTEN_WEIGHT);
        let paces = self.paces.iter();
        paces.filter_map(|(life, pace)| Some((life.clone(), self.current(now, pace)?))).collect()
    }

    fn current(&self, now: Instant, pace: &MeasuredPace) -> Option<f64> {
        let stated = self.settings.stated_weight;
        let weight = self.weight(now, pace);
        (weight >= FORGOTTEN_WEIGHT).then(|| (pace.mean * weight + stated) / (weight + stated))
    }

    fn weight(&self, now: Instant, pace: &MeasuredPace) -> f64 {
        decayed_weight(now, pace, self.settings.decay_time)
    }
}

impl Default for PaceMeter {
    fn default() -> Self {
        Self::new(PaceMeterSettings::default())
    }
}

fn decayed_weight(now: Instant, pace: &MeasuredPace, decay_time: Duration) -> f64 {
    let age = now.saturating_duration_since(pace.at).as_secs_f64();
    pace.weight * (-age / decay_time.as_secs_f64()).exp()
}
