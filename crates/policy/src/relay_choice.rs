//! A member's choice of its relay.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::NodeId;

/// Settings of a [`RelayChoice`].
#[derive(Clone, Copy, Debug)]
pub struct RelayChoiceSettings {
    /// A relay without a digest for this time is replaced.
    pub silence_limit: Duration,

    /// A silent relay is not tried again within this time if another one can be tried.
    pub avoid_time: Duration,

    /// A relay that answers is kept for at least this time, then replaced if another one is
    /// preferred. Members that chose while they knew few nodes spread evenly again.
    pub keep_time: Duration,
}

impl Default for RelayChoiceSettings {
    fn default() -> Self {
        Self {
            silence_limit: Duration::from_millis(300),
            avoid_time: Duration::from_secs(2),
            keep_time: Duration::from_secs(3),
        }
    }
}

/// The relay of one node.
#[derive(Clone, Debug, Default)]
pub struct RelayChoice {
    settings: RelayChoiceSettings,
    relay: Option<NodeId>,

    /// When the relay was chosen.
    chosen_at: Option<Instant>,

    /// When the relay was chosen or last answered.
    heard_at: Option<Instant>,

    /// When each silent relay was given up.
    silent: HashMap<NodeId, Instant>,
}

impl RelayChoice {
    /// Creates a choice without a relay.
    pub fn new(settings: RelayChoiceSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// The relay to report to, given the relays in the order of preference.
    pub fn choose(&mut self, now: Instant, preference: &[NodeId]) -> Option<&NodeId> {
        let Self { settings, relay, chosen_at, heard_at, silent } = self;
        silent.retain(|_, at| now.saturating_duration_since(*at) < settings.avoid_time);
        if let Some(current) = relay.take() {
            let is_heard = heard_at
                .is_some_and(|at| now.saturating_duration_since(at) < settings.silence_limit);
            let is_kept =
                chosen_at.is_some_and(|at| now.saturating_duration_since(at) < settings.keep_time);
            let first = preference.iter().find(|node| !silent.contains_key(*node));
            let is_preferred = is_kept || first == Some(&current);
            if is_heard && is_preferred && preference.contains(&current) {
                *relay = Some(current);
                return relay.as_ref();
            }
            if !is_heard {
                silent.insert(current, now);
            }
        }
        let untried = preference.iter().find(|node| !silent.contains_key(*node));
        let next = untried.or_else(|| preference.iter().min_by_key(|node| silent.get(*node)));
        *relay = next.cloned();
        *chosen_at = Some(now);
        *heard_at = Some(now);
        relay.as_ref()
    }

    /// Records a digest; returns whether it is from the current relay.
    pub fn record_digest(&mut self, now: Instant, node: &NodeId) -> bool {
        let is_current = self.relay.as_ref() == Some(node);
        if is_current {
            self.heard_at = Some(now);
        }
        is_current
    }
}
