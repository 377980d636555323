//! What a planner remembers between its plans.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use comfreyturn_types::{GroupId, ServiceName, VmId};

use crate::planner_view::{GroupView, PlannerView};

/// Since when things have been as they are. After a gap in the plans it starts anew, so that what
/// happened unseen is not taken for a long silence.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlannerMemory {
    planned_at: Option<Instant>,

    resumed_at: Option<Instant>,

    /// Groups that lost members.
    pub(crate) broken: SinceMap<GroupId>,

    /// VMs that are about to become available.
    pub(crate) coming: SinceMap<VmId>,

    /// Services with fewer whole groups than declared.
    pub(crate) short: SinceMap<ServiceName>,
}

impl PlannerMemory {
    /// A plan begins; a gap of more than `max_gap` since the last one clears the memory.
    pub(crate) fn begin(&mut self, now: Instant, max_gap: Duration) {
        let in_time = |at: Instant| now.saturating_duration_since(at) <= max_gap;
        if !self.planned_at.is_some_and(in_time) {
            *self = Self { resumed_at: Some(now), ..Self::default() };
        }
        self.planned_at = Some(now);
    }

    /// Takes in since when things are as they are, and counts the VMs that are about to become
    /// available, but for those that take longer than `max_release` over it.
    pub(crate) fn remember(&mut self, view: &mut PlannerView<'_>, max_release: Duration) {
        let now = view.input.now;
        let broken = view.groups.iter().filter(|group| group.is_broken());
        self.broken.update(now, broken.map(GroupView::name));
        self.coming.update(now, view.coming.iter().map(|vm| &vm.record.vm));
        let short = view.input.services.iter().filter(|wanted| view.is_short(wanted));
        self.short.update(now, short.map(|wanted| &wanted.service));
        view.count_coming(|vm| self.coming.age(now, vm) > max_release);
    }

    /// The part of a VM's silence that this planner was there to notice.
    pub(crate) fn noticed(&self, now: Instant, unresponsive_for: Duration) -> Duration {
        let resumed_at = self.resumed_at.unwrap_or(now);
        unresponsive_for.min(now.saturating_duration_since(resumed_at))
    }
}

/// Since when each of some things has held without a break.
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
    /// Takes in all keys for which it holds now; the others are forgotten.
    pub(crate) fn update<'a>(&mut self, now: Instant, keys: impl IntoIterator<Item = &'a K>)
    where
        K: 'a,
    {
        let keys = keys.into_iter();
        self.since = keys.map(|key| (key.clone(), self.since_or(key, now))).collect();
    }

    /// For how long it has held.
    pub(crate) fn age(&self, now: Instant, key: &K) -> Duration {
        now.saturating_duration_since(self.since_or(key, now))
    }

    fn since_or(&self, key: &K, now: Instant) -> Instant {
        self.since.get(key).copied().unwrap_or(now)
    }
}
