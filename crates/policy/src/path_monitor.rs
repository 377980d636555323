//! Whether a node's own paths to the servers work.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::ServerLife;

/// Settings of a [`PathMonitor`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathSettings {
    /// Servers that this node didn't reach and others did, from which on the node's own paths count
    /// as lost.
    pub lost_servers: usize,

    /// Failures longer ago than this don't count.
    pub window: Duration,
}

impl Default for PathSettings {
    fn default() -> Self {
        Self { lost_servers: 3, window: Duration::from_secs(2) }
    }
}

/// Tells a node that lost its paths to all servers from servers that failed.
///
/// A server that this node doesn't reach has failed, unless it answers other nodes afterwards. If
/// that holds for several servers, and this node reached none in between, its own paths are at
/// fault, and what it sees of servers says nothing about them.
#[derive(Clone, Debug)]
pub struct PathMonitor {
    settings: PathSettings,

    /// When servers weren't reached. Invariant: no new connection reached a server since the first
    /// of these, and none of these servers was heard since.
    failures: HashMap<ServerLife, Instant>,
    is_lost: bool,
}

impl PathMonitor {
    /// A monitor of paths that work.
    pub fn new(settings: PathSettings) -> Self {
        Self { settings, failures: HashMap::new(), is_lost: false }
    }

    /// Records that a new connection reached a server. Returns whether the paths counted as lost.
    pub fn record_reached(&mut self) -> bool {
        self.failures.clear();
        std::mem::take(&mut self.is_lost)
    }

    /// Records that a server wasn't reached, was silent, or broke off.
    pub fn record_unreached(&mut self, now: Instant, life: &ServerLife) {
        self.failures.entry(life.clone()).or_insert(now);
    }

    /// Records that a server that was silent goes on, over a connection of this node.
    pub fn record_heard(&mut self, life: &ServerLife) {
        self.failures.remove(life);
    }

    /// Decides whether the paths count as lost. `answered_since` tells whether a server answered
    /// another node after some time. Returns whether they count as lost from now on.
    pub fn update(
        &mut self,
        now: Instant,
        answered_since: impl Fn(&ServerLife, Instant) -> bool,
    ) -> bool {
        if self.is_lost {
            return false;
        }
        let window = self.settings.window;
        self.failures.retain(|_, at| now.saturating_duration_since(*at) < window);
        let proofs = self.failures.iter().filter(|(life, at)| answered_since(life, **at));
        self.is_lost = proofs.count() >= self.settings.lost_servers;
        self.is_lost
    }

    /// Whether the paths to all servers count as lost.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }
}
