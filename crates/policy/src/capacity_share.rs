//! How many requests of a service one node may run at once.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::WholeGroup;

/// Settings of a [`CapacityShare`].
#[derive(Clone, Debug)]
pub struct CapacityShareSettings {
    /// Part of the groups' slots that is filled. The rest evens out what late reports hide.
    pub fill: f64,

    /// Part of an even split that a node may always use, so that a node that was idle can start.
    pub floor: f64,

    /// Part of what it runs that a node gives up for all to share, so that nodes with the same
    /// demand come to hold the same.
    pub cede: f64,

    /// Requests that a group holds at once if it does not say.
    pub default_capacity: u32,

    /// How far back the node's own requests are remembered. Longer than reports are late.
    pub history: Duration,
}

impl Default for CapacityShareSettings {
    fn default() -> Self {
        Self {
            fill: 0.75,
            floor: 0.25,
            cede: 0.05,
            default_capacity: 16,
            history: Duration::from_secs(15),
        }
    }
}

/// Splits the slots of a service's groups over the nodes, by demand and without messages.
///
/// A node may run most of what it ran when the reported load was measured, and an even part of what
/// was free then and of what all nodes give up. Since each node takes only its part, the sum stays
/// within the slots however late reports are; since a node that has less to do leaves slots free for
/// all, they move to where the demand is.
#[derive(Debug)]
pub struct CapacityShare {
    settings: CapacityShareSettings,

    /// Own running requests, oldest first.
    history: VecDeque<(Instant, u32)>,
}

impl CapacityShare {
    /// A node that runs nothing.
    pub fn new(settings: CapacityShareSettings) -> Self {
        Self { settings, history: VecDeque::new() }
    }

    /// Requests that this node may run at once at `groups`, while it runs `running` and the cell has
    /// `nodes` nodes. Called at least once for each report.
    pub fn capacity(
        &mut self,
        now: Instant,
        groups: &[WholeGroup],
        running: u32,
        nodes: usize,
    ) -> u32 {
        self.remember(now, running);
        let Some(reported_at) = groups.iter().map(|group| group.load_at).min() else { return 0 };
        let slots = self.settings.fill * groups.iter().map(|group| self.slots(group)).sum::<f64>();
        let load: f64 = groups
            .iter()
            .map(|group| f64::from(group.load.running.saturating_add(group.load.queued)))
            .sum();
        let even = slots / nodes.max(1) as f64;
        let own = f64::from(self.running_at(reported_at));
        let part = if load > slots {
            own * slots / load
        } else {
            let shared = slots - load + self.settings.cede * load;
            own * (1.0 - self.settings.cede) + shared / nodes.max(1) as f64
        };
        ceil(part.max(self.settings.floor * even).min(slots))
    }

    /// The node runs `running` requests from now on. Called whenever one starts or ends; then
    /// [`Self::capacity`] knows what ran when a load was measured.
    pub fn record(&mut self, now: Instant, running: u32) {
        self.remember(now, running);
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

    fn remember(&mut self, now: Instant, running: u32) {
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
