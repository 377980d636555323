//! State that a planner keeps between plans.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use comfreyturn_types::{GroupId, ServiceName, VmId};

use crate::planner_view::{GroupView, PlannerView};

/// Tracks how long conditions have held. It is cleared after a gap between plans, so that changes
/// during the gap are not counted as long absences.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlannerMemory {
    /// When the last plan began.
    planned_at: Option<Instant>,

    /// When the first plan after the last gap began.
    resumed_at: Option<Instant>,

    /// Groups with lost members.
    pub(crate) broken: SinceMap<GroupId>,

    /// VMs that are about to become available.
    pub(crate) upcoming: SinceMap<VmId>,

    /// Services with fewer serving groups than declared.
    pub(crate) short: SinceMap<ServiceName>,
}

impl PlannerMemory {
    /// Begins a plan. Clears the memory if more than `max_gap` has passed since the last one.
    pub(crate) fn begin(&mut self, now: Instant, max_gap: Duration) {
        let in_time = |at: Instant| now.saturating_duration_since(at) <= max_gap;
        if !self.planned_at.is_some_and(in_time) {
            *self = Self { resumed_at: Some(now), ..Self::default() };
        }
        self.planned_at = Some(now);
    }

    /// Updates the tracked conditions from the view, and counts in the view the VMs that are about
    /// to become available, except those that have been upcoming for longer than `max_release`.
    pub(crate) fn update(&mut self, view: &mut PlannerView<'_>, max_release: Duration) {
        let now = view.input.now;
        let broken = view.groups.iter().filter(|group| group.is_broken());
        self.broken.update(now, broken.map(GroupView::name));
        self.upcoming.update(now, view.upcoming.iter().map(|vm| &vm.record.vm));
        let short = view.input.services.iter().filter(|wanted| view.is_short(wanted));
        self.short.update(now, short.map(|wanted| &wanted.service));
        view.count_upcoming(|vm| self.upcoming.age(now, vm) > max_release);
    }

    /// The part of a VM's unresponsive time that this planner has observed.
    pub(crate) fn observed(&self, now: Instant, unresponsive_for: Duration) -> Duration {
        let resumed_at = self.resumed_at.unwrap_or(now);
        unresponsive_for.min(now.saturating_duration_since(resumed_at))
    }
}

/// For each key, the time at which its condition began to hold without interruption.
#[derive(Clone, Debug)]
pub(crate) struct SinceMap<K> {
    since: BTreeMap<K, Instant>,
}

impl<K> Default for SinceMap<K> {
    fn default() -> Self {
        Self { since: BTreeMap::new() }
    }
}

impl<K: Clone + Ord> SinceMap<K> {
    /// Sets the keys for which the condition holds now, and removes all others.
    pub(crate) fn update<'a>(&mut self, now: Instant, keys: impl IntoIterator<Item = &'a K>)
    where
        K: 'a,
    {
        let keys = keys.into_iter();
        self.since = keys.map(|key| (key.clone(), self.since_or(key, now))).collect();
    }

    /// How long the condition has held for a key; zero if it does not.
    pub(crate) fn age(&self, now: Instant, key: &K) -> Duration {
        now.saturating_duration_since(self.since_or(key, now))
    }

    fn since_or(&self, key: &K, now: Instant) -> Instant {
        self.since.get(key).copied().unwrap_or(now)
    }
}
