//! Groups that are excluded because they are slow or fail, and the probes that readmit them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::GroupId;

/// Settings of the detection and exclusion of stragglers.
#[derive(Clone, Debug)]
pub struct StragglerSettings {
    /// A straggler's first-token latency is at least this many times the median of the groups.
    pub latency_ratio: f64,

    /// A straggler's first-token latency is above the median by at least this much.
    pub latency_floor: Duration,

    /// First tokens that are needed before a group's latency is compared with the median.
    pub min_samples: u32,

    /// First tokens that the moving average covers.
    pub max_samples: u32,

    /// Consecutive failures after which a group is excluded.
    pub max_failures: u32,

    /// How long a group is excluded before its first probe.
    pub exclusion_time: Duration,

    /// The longest time that a group is excluded before it is probed again. The time doubles with
    /// each slow or failed probe.
    pub max_exclusion_time: Duration,

    /// Largest share of the groups that may be excluded for high latency. Groups that fail are
    /// excluded regardless of this share.
    pub max_excluded_share: f64,
}

impl Default for StragglerSettings {
    fn default() -> Self {
        Self {
            latency_ratio: 3.0,
            latency_floor: Duration::from_millis(200),
            min_samples: 8,
            max_samples: 16,
            max_failures: 3,
            exclusion_time: Duration::from_secs(5),
            max_exclusion_time: Duration::from_secs(60),
            max_excluded_share: 0.34,
        }
    }
}

/// The exclusion of one group.
#[derive(Debug)]
struct ExclusionEntry {
    /// The earliest time of the next probe.
    until: Instant,

    /// How long the group stays excluded after the next slow or failed probe.
    next_duration: Duration,

    /// When the probe in progress was sent.
    probe_at: Option<Instant>,
}

/// The excluded groups.
///
/// A group is readmitted only after a successful probe: one request that is sent to it after its
/// exclusion time, and whose first token is not late.
#[derive(Debug)]
pub(crate) struct StragglerTable {
    pub settings: StragglerSettings,
    excluded: HashMap<GroupId, ExclusionEntry>,
}

impl StragglerTable {
    pub(crate) fn new(settings: StragglerSettings) -> Self {
        Self { settings, excluded: HashMap::new() }
    }

    #[inline]
    pub(crate) fn is_excluded(&self, group: &GroupId) -> bool {
        !self.excluded.is_empty() && self.excluded.contains_key(group)
    }

    /// Whether a group is excluded, its exclusion time is over, and no probe is in progress.
    pub(crate) fn probe_due(&self, now: Instant, group: &GroupId) -> bool {
        self.excluded.get(group).is_some_and(|entry| entry.until <= now && entry.probe_at.is_none())
    }

    /// The latency in seconds above which a group is a straggler.
    pub(crate) fn threshold(&self, median: f64) -> f64 {
        let by_ratio = median * self.settings.latency_ratio;
        by_ratio.max(median + self.settings.latency_floor.as_secs_f64())
    }

    /// Whether one more of `total` groups may be excluded for high latency.
    pub(crate) fn may_exclude(&self, excluded: usize, total: usize) -> bool {
        (excluded + 1) as f64 <= self.settings.max_excluded_share * total as f64
    }

    /// Excludes a group.
    pub(crate) fn exclude(&mut self, now: Instant, group: &GroupId) {
        let time = self.settings.exclusion_time;
        let entry = ExclusionEntry { until: now + time, next_duration: time * 2, probe_at: None };
        self.excluded.insert(group.clone(), entry);
    }

    /// Records that an attempt was sent to a group; it becomes the probe if one is due.
    pub(crate) fn started(&mut self, now: Instant, group: &GroupId) {
        let due = self.probe_due(now, group);
        if let Some(entry) = self.excluded.get_mut(group).filter(|_| due) {
            entry.probe_at = Some(now);
        }
    }

    /// Whether an attempt that started at `started_at` is the probe.
    pub(crate) fn is_probe(&self, group: &GroupId, started_at: Instant) -> bool {
        let probe_at = self.excluded.get(group).and_then(|entry| entry.probe_at);
        probe_at.is_some_and(|probe_at| probe_at <= started_at)
    }

    /// Whether the probe has been in progress for longer than `limit`.
    pub(crate) fn probe_overdue(&self, now: Instant, group: &GroupId, limit: Duration) -> bool {
        let probe_at = self.excluded.get(group).and_then(|entry| entry.probe_at);
        probe_at.is_some_and(|probe_at| now.saturating_duration_since(probe_at) > limit)
    }

    /// Extends the exclusion of a group after a slow or failed probe.
    pub(crate) fn extend(&mut self, now: Instant, group: &GroupId) {
        let max_time = self.settings.max_exclusion_time;
        let Some(entry) = self.excluded.get_mut(group) else { return };
        entry.until = now + entry.next_duration;
        entry.next_duration = (entry.next_duration * 2).min(max_time);
        entry.probe_at = None;
    }

    /// Records a failed attempt at a group. It has no effect while no probe is in progress.
    pub(crate) fn attempt_failed(&mut self, now: Instant, group: &GroupId) {
        if self.excluded.get(group).is_some_and(|entry| entry.probe_at.is_some()) {
            self.extend(now, group);
        }
    }

    /// Ends the exclusion of a group.
    pub(crate) fn restore(&mut self, group: &GroupId) {
        self.excluded.remove(group);
    }
}
