//! Detection of servers that stopped sending in the middle of a stream.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::ServerLife;

/// When a server's streams last delivered data or stalled.
#[derive(Clone, Copy, Debug, Default)]
struct StreamActivity {
    /// When one of its streams last delivered data to this node.
    last_seen_at: Option<Instant>,

    /// The same, of data that came without a silence before.
    last_prompt_at: Option<Instant>,

    /// When one of its streams last delivered data to another node.
    peer_last_seen_at: Option<Instant>,

    /// When a request was last given up because the server sent nothing, at this or another node.
    stalled_at: Option<Instant>,

    /// The same, at this node only.
    own_stall_at: Option<Instant>,
}

/// Tracks stalled servers. A stall ends when the server delivers data again without a silence before.
#[derive(Debug, Default)]
pub struct StallTracker {
    activities: HashMap<ServerLife, StreamActivity>,
}

impl StallTracker {
    /// Records that a stream of the server delivered data.
    pub fn record_seen(&mut self, now: Instant, life: &ServerLife) {
        let activity = self.activities.entry(life.clone()).or_default();
        activity.last_seen_at = Some(now);
        activity.last_prompt_at = Some(now);
    }

    /// Records that a stream of the server delivered data after a silence. A server that is slow
    /// does that all the time, so its stall goes on.
    pub fn record_seen_late(&mut self, now: Instant, life: &ServerLife) {
        self.activities.entry(life.clone()).or_default().last_seen_at = Some(now);
    }

    /// Records that a request was given up because the server sent nothing in time.
    pub fn record_stall(&mut self, now: Instant, life: &ServerLife) {
        let activity = self.activities.entry(life.clone()).or_default();
        activity.stalled_at = Some(now);
        activity.own_stall_at = Some(now);
    }

    /// Forgets the stalls that this node observed.
    pub fn forget_own_stalls(&mut self) {
        for activity in self.activities.values_mut() {
            if activity.own_stall_at.take().is_some() {
                activity.stalled_at = None;
            }
        }
    }

    /// Records a stall reported by another node, unless this node received data from the server
    /// within `max_age`.
    pub fn record_peer_stall(&mut self, now: Instant, life: &ServerLife, max_age: Duration) {
        let activity = self.activities.entry(life.clone()).or_default();
        let seen =
            activity.last_seen_at.is_some_and(|at| now.saturating_duration_since(at) < max_age);
        if !seen {
            activity.stalled_at = Some(now);
        }
    }

    /// Records that another node received data from the server.
    pub fn record_peer_seen(&mut self, at: Instant, life: &ServerLife) {
        let activity = self.activities.entry(life.clone()).or_default();
        activity.peer_last_seen_at = activity.peer_last_seen_at.max(Some(at));
    }

    /// When another node last received data from the server.
    pub fn peer_seen_at(&self, life: &ServerLife) -> Option<Instant> {
        self.activities.get(life)?.peer_last_seen_at
    }

    /// When any node last received data from the server.
    pub fn seen_at(&self, life: &ServerLife) -> Option<Instant> {
        let activity = self.activities.get(life)?;
        activity.last_seen_at.max(activity.peer_last_seen_at)
    }

    /// When this node's streams last received data, by server, if that is at most `max_age` ago.
    pub fn own_seen(&self, now: Instant, max_age: Duration) -> HashMap<ServerLife, Instant> {
        let seen = self.activities.iter().filter_map(|(life, activity)| {
            let at = activity.last_seen_at?;
            let is_recent = now.saturating_duration_since(at) < max_age;
            is_recent.then(|| (life.clone(), at))
        });
        seen.collect()
    }

    /// How long ago this node received data from a stream of the server.
    pub fn last_seen_age(&self, now: Instant, life: &ServerLife) -> Option<Duration> {
        let last_seen_at = self.activities.get(life)?.last_seen_at?;
        Some(now.saturating_duration_since(last_seen_at))
    }

    /// Whether any node received data from the server within `max_age`.
    pub fn was_seen(&self, now: Instant, life: &ServerLife, max_age: Duration) -> bool {
        self.seen_at(life).is_some_and(|at| now.saturating_duration_since(at) < max_age)
    }

    /// Whether the server stalled within `retention`, and nothing came from it since but after
    /// silences.
    pub fn is_stalled(&self, now: Instant, life: &ServerLife, retention: Duration) -> bool {
        self.activities.get(life).is_some_and(|activity| activity.is_stalled(now, retention))
    }

    /// When the server last stalled, if no node has received data from it since.
    pub fn unheard_stall(&self, life: &ServerLife) -> Option<Instant> {
        let stalled_at = self.activities.get(life)?.stalled_at?;
        self.seen_at(life).is_none_or(|seen| seen <= stalled_at).then_some(stalled_at)
    }

    /// All servers that are stalled, as seen by any node.
    pub fn stalled(&self, now: Instant, retention: Duration) -> Vec<ServerLife> {
        let stalled =
            self.activities.iter().filter(|(_, activity)| activity.is_stalled(now, retention));
        stalled.map(|(life, _)| life.clone()).collect()
    }

    /// Stalled servers whose stall was observed by this node.
    pub fn own_stalls(&self, now: Instant, retention: Duration) -> Vec<ServerLife> {
        let recent = |activity: &StreamActivity| {
            let at = activity.own_stall_at;
            at.is_some_and(|at| now.saturating_duration_since(at) < retention)
        };
        let own = self
            .activities
            .iter()
            .filter(|(_, activity)| activity.is_stalled(now, retention) && recent(activity));
        own.map(|(life, _)| life.clone()).collect()
    }

    /// Keeps only the servers for which `keep` is true.
    pub fn retain(&mut self, keep: impl Fn(&ServerLife) -> bool) {
        self.activities.retain(|life, _| keep(life));
    }
}

impl StreamActivity {
    fn is_stalled(&self, now: Instant, retention: Duration) -> bool {
        let Some(at) = self.stalled_at else { return false };
        let recent = now.saturating_duration_since(at) < retention;
        recent && self.last_prompt_at.is_none_or(|prompt| prompt <= at)
    }
}
