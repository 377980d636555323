//! Which servers fell silent in the middle of their streams.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::ServerLife;

/// What is known of one server's streams.
#[derive(Clone, Copy, Debug, Default)]
struct ServerPulse {
    /// When one of its streams last brought an event to this node.
    heard_at: Option<Instant>,

    /// When one of its streams last brought an event to another node.
    heard_elsewhere_at: Option<Instant>,

    /// When a stream was given up for its silence, here or at another node.
    stalled_at: Option<Instant>,

    /// The same, at this node only.
    own_stall_at: Option<Instant>,
}

/// Remembers servers that fell silent, and forgets it when they are heard of.
#[derive(Debug, Default)]
pub struct StallBook {
    pulses: HashMap<ServerLife, ServerPulse>,
}

impl StallBook {
    /// Notes that a stream of the server brought something.
    pub fn hear(&mut self, now: Instant, life: &ServerLife) {
        self.pulses.entry(life.clone()).or_default().heard_at = Some(now);
    }

    /// Notes that a stream of the server was silent from `silent_since` until `now`.
    pub fn stall(&mut self, now: Instant, life: &ServerLife) {
        let pulse = self.pulses.entry(life.clone()).or_default();
        pulse.stalled_at = Some(now);
        pulse.own_stall_at = Some(now);
    }

    /// Takes in that another node saw a stall. Something heard here within `fresh` says otherwise.
    pub fn stall_elsewhere(&mut self, now: Instant, life: &ServerLife, fresh: Duration) {
        let pulse = self.pulses.entry(life.clone()).or_default();
        let heard = pulse.heard_at.is_some_and(|at| now.saturating_duration_since(at) < fresh);
        if !heard {
            pulse.stalled_at = Some(now);
        }
    }

    /// Takes in that another node heard of the server.
    pub fn hear_elsewhere(&mut self, at: Instant, life: &ServerLife) {
        let pulse = self.pulses.entry(life.clone()).or_default();
        pulse.heard_elsewhere_at = pulse.heard_elsewhere_at.max(Some(at));
    }

    /// How long ago this node heard of the server.
    pub fn heard_age(&self, now: Instant, life: &ServerLife) -> Option<Duration> {
        let heard_at = self.pulses.get(life)?.heard_at?;
        Some(now.saturating_duration_since(heard_at))
    }

    /// Whether any node heard of the server within `fresh`.
    pub fn is_heard(&self, now: Instant, life: &ServerLife, fresh: Duration) -> bool {
        let Some(pulse) = self.pulses.get(life) else { return false };
        let heard_at = pulse.heard_at.max(pulse.heard_elsewhere_at);
        heard_at.is_some_and(|at| now.saturating_duration_since(at) < fresh)
    }

    /// Whether the server was silent within `memory`, and was not heard of since.
    pub fn is_stalled(&self, now: Instant, life: &ServerLife, memory: Duration) -> bool {
        self.pulses.get(life).is_some_and(|pulse| pulse.is_stalled(now, memory))
    }

    /// All servers that are stalled, here or elsewhere.
    pub fn stalled(&self, now: Instant, memory: Duration) -> Vec<ServerLife> {
        let stalled = self.pulses.iter().filter(|(_, pulse)| pulse.is_stalled(now, memory));
        stalled.map(|(life, _)| life.clone()).collect()
    }

    /// Servers that fell silent at this node.
    pub fn own_stalls(&self, now: Instant, memory: Duration) -> Vec<ServerLife> {
        let recent = |pulse: &ServerPulse| {
            let at = pulse.own_stall_at;
            at.is_some_and(|at| now.saturating_duration_since(at) < memory)
        };
        let own =
            self.pulses.iter().filter(|(_, pulse)| pulse.is_stalled(now, memory) && recent(pulse));
        own.map(|(life, _)| life.clone()).collect()
    }

    /// Forgets servers that are not in the list any more.
    pub fn retain(&mut self, keep: impl Fn(&ServerLife) -> bool) {
        self.pulses.retain(|life, _| keep(life));
    }
}

impl ServerPulse {
    fn is_stalled(&self, now: Instant, memory: Duration) -> bool {
        let Some(at) = self.stalled_at else { return false };
        let recent = now.saturating_duration_since(at) < memory;
        recent && self.heard_at.is_none_or(|heard| heard <= at)
    }
}
