//! Detection of groups whose first tokens are late compared with those of the other groups.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use comfreyturn_types::GroupId;

use crate::{WholeGroup, group_load::GroupLoad, straggler_table::StragglerTable};

/// A group counts as late, whatever its average latency, once a request has waited for its first
/// token for this many times the straggler threshold.
const HANG_FACTOR: u32 = 2;

/// Interval between two comparisons of the groups' latencies.
const STRAGGLER_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Compares the latencies of groups at intervals, and excludes those that are late.
#[derive(Debug)]
pub(crate) struct StragglerDetector {
    checked_at: Option<Instant>,

    /// The straggler threshold: first tokens that take longer are late.
    late_threshold: Duration,
}

impl StragglerDetector {
    pub(crate) fn new() -> Self {
        Self { checked_at: None, late_threshold: Duration::MAX }
    }

    /// Whether a first token that arrived `elapsed` after its attempt was sent is late.
    pub(crate) fn is_late(&self, elapsed: Duration) -> bool {
        elapsed > self.late_threshold
    }

    /// Excludes groups whose first-token latency is high compared with the median, and extends the
    /// exclusion of groups whose probe is overdue.
    pub(crate) fn detect(
        &mut self,
        now: Instant,
        groups: &[WholeGroup],
        loads: &HashMap<GroupId, GroupLoad>,
        stragglers: &mut StragglerTable,
    ) {
        let since_check = self.checked_at.map(|at| now.saturating_duration_since(at));
        if since_check.is_some_and(|age| age < STRAGGLER_CHECK_PERIOD) {
            return;
        }
        self.checked_at = Some(now);
        let min_samples = stragglers.settings.min_samples;
        let median = median_latency(groups, loads, min_samples);
        let threshold = median.map(|median| stragglers.threshold(median));
        self.late_threshold = threshold.map_or(Duration::MAX, Duration::from_secs_f64);
        let ids = || groups.iter().map(|group| &group.assignment.group);
        let mut excluded = ids().filter(|id| stragglers.is_excluded(id)).count();
        let is_late =
            |id| loads.get(id).is_some_and(|load| self.is_group_late(now, load, min_samples));
        for id in ids() {
            if stragglers.is_excluded(id) {
                if stragglers.probe_overdue(now, id, self.late_threshold) {
                    stragglers.extend(now, id);
                }
            } else if is_late(id) && stragglers.may_exclude(excluded, groups.len()) {
                stragglers.exclude(now, id);
                excluded += 1;
            }
        }
    }

    /// Whether the first tokens of a group are late on average, or one has not arrived for long.
    fn is_group_late(&self, now: Instant, load: &GroupLoad, min_samples: u32) -> bool {
        let has_samples = load.samples >= min_samples;
        let late = has_samples && load.latency > self.late_threshold.as_secs_f64();
        late || load.longest_wait(now) > self.late_threshold.saturating_mul(HANG_FACTOR)
    }
}

fn median_latency(
    groups: &[WholeGroup],
    loads: &HashMap<GroupId, GroupLoad>,
    min_samples: u32,
) -> Option<f64> {
    let mut latencies: Vec<f64> = groups
        .iter()
        .filter_map(|group| loads.get(&group.assignment.group))
        .filter(|load| load.samples >= min_samples)
        .map(|load| load.latency)
        .collect();
    if latencies.is_empty() {
        return None;
    }
    latencies.sort_unstable_by(f64::total_cmp);
    Some(latencies[(latencies.len() - 1) / 2])
}
