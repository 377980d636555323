//! Which groups are put aside because they are slow or fail, and how they are let back.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::GroupId;

/// Settings of how stragglers are put aside.
#[derive(Clone, Debug)]
pub struct StragglerSettings {
    /// A straggler's first-token latency is at least this many times the median of the groups.
    pub latency_ratio: f64,

    /// A straggler's first-token latency is above the median by at least this much.
    pub latency_floor: Duration,

    /// First tokens that are needed before a group is judged.
    pub min_samples: u32,

    /// First tokens that the moving average reaches back.
    pub max_samples: u32,

    /// Failures in a row that put a group aside.
    pub max_failures: u32,

    /// How long a group is first put aside before it is probed.
    pub exclusion_time: Duration,

    /// How long it is put aside at most. The time doubles with each probe that was slow.
    pub max_exclusion_time: Duration,

    /// Share of the groups that may be aside before no more are put aside for being late. Groups
    /// that fail are put aside in any case.
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

/// Why and until when one group is aside.
#[derive(Debug)]
struct AsideEntry {
    /// When the group may be probed.
    until: Instant,

    /// How long it is aside after the next slow probe.
    next_time: Duration,

    /// When the probe in progress was sent.
    probe_at: Option<Instant>,
}

/// Keeps the groups that are aside.
///
/// A group comes back only through a probe: one request that is sent to it after its time, and
/// whose first token is not late.
#[derive(Debug)]
pub(crate) struct StragglerWatch {
    pub settings: StragglerSettings,
    aside: HashMap<GroupId, AsideEntry>,
}

impl StragglerWatch {
    pub(crate) fn new(settings: StragglerSettings) -> Self {
        Self { settings, aside: HashMap::new() }
    }

    #[inline]
    pub(crate) fn is_excluded(&self, group: &GroupId) -> bool {
        !self.aside.is_empty() && self.aside.contains_key(group)
    }

    /// Whether a group is aside, its time is over, and no probe is in progress.
    pub(crate) fn wants_probe(&self, now: Instant, group: &GroupId) -> bool {
        self.aside.get(group).is_some_and(|entry| entry.until <= now && entry.probe_at.is_none())
    }

    /// The latency in seconds above which a group is a straggler.
    pub(crate) fn threshold(&self, median: f64) -> f64 {
        let by_ratio = median * self.settings.latency_ratio;
        by_ratio.max(median + self.settings.latency_floor.as_secs_f64())
    }

    /// Whether one more of `total` groups may be put aside for being late.
    pub(crate) fn may_add(&self, aside: usize, total: usize) -> bool {
        (aside + 1) as f64 <= self.settings.max_excluded_share * total as f64
    }

    /// Puts a group aside.
    pub(crate) fn put_aside(&mut self, now: Instant, group: &GroupId) {
        let time = self.settings.exclusion_time;
        let entry = AsideEntry { until: now + time, next_time: time * 2, probe_at: None };
        self.aside.insert(group.clone(), entry);
    }

    /// An attempt was sent; it is the probe if the group waited for one.
    pub(crate) fn started(&mut self, now: Instant, group: &GroupId) {
        let wanted = self.wants_probe(now, group);
        if let Some(entry) = self.aside.get_mut(group).filter(|_| wanted) {
            entry.probe_at = Some(now);
        }
    }

    /// Whether an attempt that started at `started_at` is the probe.
    pub(crate) fn is_probe(&self, group: &GroupId, started_at: Instant) -> bool {
        let probe_at = self.aside.get(group).and_then(|entry| entry.probe_at);
        probe_at.is_some_and(|probe_at| probe_at <= started_at)
    }

    /// Whether the probe has waited for longer than `limit`.
    pub(crate) fn probe_overdue(&self, now: Instant, group: &GroupId, limit: Duration) -> bool {
        let probe_at = self.aside.get(group).and_then(|entry| entry.probe_at);
        probe_at.is_some_and(|probe_at| now.saturating_duration_since(probe_at) > limit)
    }

    /// The probe was slow or failed: the group stays aside for longer.
    pub(crate) fn extend(&mut self, now: Instant, group: &GroupId) {
        let max_time = self.settings.max_exclusion_time;
        let Some(entry) = self.aside.get_mut(group) else { return };
        entry.until = now + entry.next_time;
        entry.next_time = (entry.next_time * 2).min(max_time);
        entry.probe_at = None;
    }

    /// An attempt failed at the group. Attempts from before the probe change nothing.
    pub(crate) fn probe_failed(&mut self, now: Instant, group: &GroupId) {
        if self.aside.get(group).is_some_and(|entry| entry.probe_at.is_some()) {
            self.extend(now, group);
        }
    }

    /// Takes a group back.
    pub(crate) fn restore(&mut self, group: &GroupId) {
        self.aside.remove(group);
    }
}
