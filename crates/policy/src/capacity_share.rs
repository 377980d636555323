//! Computes how many requests of a service one node may run concurrently.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::WholeGroup;

/// Settings of a [`CapacityShare`].
#[derive(Clone, Debug)]
pub struct CapacityShareSettings {
    /// Part of the groups' slots that may be used. The rest compensates for the delay of the
    /// reports.
    pub target_utilization: f64,

    /// Part of an even split that a node may always use, so that a node that was idle can start
    /// requests.
    pub floor: f64,

    /// Part of the slots of its running requests that a node cedes to all nodes, so that nodes with
    /// the same demand converge to the same capacity.
    pub ceded_share: f64,

    /// Concurrent requests of a group that reports no capacity.
    pub default_capacity: u32,

    /// How long the history of the node's running requests is kept. Longer than the delay of the
    /// reports.
    pub history: Duration,
}

impl Default for CapacityShareSettings {
    fn default() -> Self {
        Self {
            target_utilization: 0.75,
            floor: 0.25,
            ceded_share: 0.05,
            default_capacity: 16,
            history: Duration::from_secs(15),
        }
    }
}

/// Splits the slots of a service's groups over the nodes, by demand and without messages between
/// the nodes.
///
/// A node may use most of the slots that it used when the reported load was measured, and an even
/// part of the slots that were free then and of those that all nodes cede. Since each node takes
/// only its part, the sum stays within the slots, however late the reports are. A node with less
/// demand leaves slots free for all, so capacity moves to the nodes with demand.
#[derive(Debug)]
pub struct CapacityShare {
    settings: CapacityShareSettings,

    /// Number of requests that this node runs after each change, oldest first.
    history: VecDeque<(Instant, u32)>,
}

impl CapacityShare {
    /// Creates the state of a node without running requests.
    pub fn new(settings: CapacityShareSettings) -> Self {
        Self { settings, history: VecDeque::new() }
    }

    /// Number of requests that this node may run concurrently at `groups`, while it runs `running`
    /// and the cell has `nodes` nodes. Called at least once for each report.
    pub fn capacity(
        &mut self,
        now: Instant,
        groups: &[WholeGroup],
        running: u32,
        nodes: usize,
    ) -> u32 {
        self.push_history(now, running);
        let Some(reported_at) = groups.iter().map(|group| group.load_at).min() else { return 0 };
        let slots = self.settings.target_utilization
            * groups.iter().map(|group| self.slots(group)).sum::<f64>();
        let load: f64 = groups
            .iter()
            .map(|group| f64::from(group.load.running.saturating_add(group.load.queued)))
            .sum();
        let even = slots / nodes.max(1) as f64;
        let own = f64::from(self.running_at(reported_at));
        let part = if load > slots {
            own * slots / load
        } else {
            let shared = slots - load + self.settings.ceded_share * load;
            own * (1.0 - self.settings.ceded_share) + shared / nodes.max(1) as f64
        };
        ceil(part.max(self.settings.floor * even).min(slots))
    }

    /// Records that the node runs `running` requests from now on. Called whenever one starts or
    /// ends, so that [`Self::capacity`] can look up how many ran when a load was measured.
    pub fn record(&mut self, now: Instant, running: u32) {
        self.push_history(now, running);
    }

    fn slots(&self, group: &WholeGroup) -> f64 {
        let reported = group.load.capacity;
        f64::from(if reported == 0 { self.settings.default_capacity } else { reported })
    }

    fn running_at(&self, at: Instant) -> u32 {
        let after = self.history.partition_point(|(found, _)| *found <= at);
        match after.checked_sub(1) {
            Some(index) => self.history[index].1,
            None => 0,
        }
    }

    fn push_history(&mut self, now: Instant, running: u32) {
        if self.history.back().is_some_and(|(_, last)| *last == running) {
            return;
        }
        self.history.push_back((now, running));
        let history = self.settings.history;
        while self.history.len() > 1 && now.saturating_duration_since(self.history[1].0) > history {
            self.history.pop_front();
        }
    }
}

impl Default for CapacityShare {
    fn default() -> Self {
        Self::new(CapacityShareSettings::default())
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bounded by a sum of slots, and the cast saturates"
)]
fn ceil(value: f64) -> u32 {
    value.ceil() as u32
}
