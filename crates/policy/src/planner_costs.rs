//! Expected costs of a planner's choices.

use std::time::Duration;

use comfreyturn_types::{ModelVersion, PlannerWeights};

use crate::WeightedPlannerSettings;

/// The properties of a group that does not serve on which its costs depend.
#[derive(Clone, Copy, Debug)]
pub struct BrokenGroup<'a> {
    /// The version that it runs.
    pub version: &'a ModelVersion,

    /// Accelerators on its remaining members.
    pub held: f64,

    /// Accelerators of the whole group.
    pub full: f64,

    /// The longest time for which a lost member has been absent.
    pub absent_for: Duration,
}

/// Weighs group downtime against stranded accelerators. The unit of costs is that of
/// [`PlannerWeights`], times seconds.
#[derive(Clone, Copy, Debug)]
pub struct PlannerCosts<'a> {
    settings: &'a WeightedPlannerSettings,
    weights: PlannerWeights,
}

impl<'a> PlannerCosts<'a> {
    /// Costs under these weights.
    pub fn new(settings: &'a WeightedPlannerSettings, weights: PlannerWeights) -> Self {
        Self { settings, weights }
    }

    /// Seconds in which one VM loads its weights while no other VM loads.
    pub fn vm_load_secs(&self, version: &ModelVersion) -> f64 {
        version.weight_bytes as f64 / self.settings.vm_bytes_per_second.max(1) as f64
    }

    /// Seconds in which a whole group loads while `loading` other VMs load as well.
    pub fn group_load_secs(&self, version: &ModelVersion, loading: usize) -> f64 {
        let bytes =
            version.weight_bytes as f64 * (f64::from(version.vms_per_group) + loading as f64);
        let shared = bytes / self.settings.store_bytes_per_second.max(1) as f64;
        shared.max(self.vm_load_secs(version))
    }

    /// How long a member may be unresponsive before it counts as lost.
    ///
    /// This is the ski rental problem: waiting for a pause to end is renting, loading another VM is
    /// buying. The wait is at most as long as the load takes, and at most as long as a pause is
    /// expected to last, but never shorter than the configured minimum.
    pub fn loss_timeout(&self, version: &ModelVersion) -> Duration {
        let load = secs(self.vm_load_secs(version));
        load.min(self.settings.expected_pause).max(self.settings.min_loss_timeout)
    }

    /// Seconds until a member that has been absent for this long is expected to return.
    pub fn return_secs(&self, absent_for: Duration) -> f64 {
        let restart = self.settings.expected_restart;
        if absent_for < restart * RESTART_TIMEOUT_FACTOR {
            restart.as_secs_f64()
        } else {
            self.settings.expected_repair.as_secs_f64()
        }
    }

    /// Cost of holding a group until its lost members have returned and loaded.
    pub fn hold_cost(&self, group: &BrokenGroup<'_>) -> f64 {
        let wait = self.return_secs(group.absent_for) + self.vm_load_secs(group.version);
        self.rate(group.held) * wait
    }

    /// Cost of replacing the lost members by available VMs.
    pub fn replace_cost(&self, group: &BrokenGroup<'_>) -> f64 {
        self.rate(group.full) * self.vm_load_secs(group.version)
    }

    /// Cost of rebuilding a group elsewhere, while `loading` other VMs load.
    pub fn rebuild_cost(&self, group: &BrokenGroup<'_>, loading: usize) -> f64 {
        self.rate(group.full) * self.group_load_secs(group.version, loading)
    }

    /// Cost of dissolving a group now and forming it again when its lost members have returned,
    /// while `loading` other VMs load.
    pub fn retire_cost(&self, group: &BrokenGroup<'_>, loading: usize) -> f64 {
        let wait = self.return_secs(group.absent_for) + self.settings.quiet_period.as_secs_f64();
        self.weights.group_downtime * wait + self.rebuild_cost(group, loading)
    }

    /// Whether a group that can't be repaired, and that has been held for `held_for`, should still
    /// be held: as long as holding is expected to cost no more than dissolving it, and has cost
    /// less than loading the whole group.
    pub fn should_hold(&self, group: &BrokenGroup<'_>, held_for: Duration, loading: usize) -> bool {
        self.hold_cost(group) <= self.retire_cost(group, loading)
            && held_for < self.hold_limit(group)
    }

    /// How long a group is held at most: until its stranded accelerators have cost as much as
    /// loading the whole group again would, but no longer than the configured maximum.
    pub fn hold_limit(&self, group: &BrokenGroup<'_>) -> Duration {
        let rate = self.weights.stranded_accelerator * group.held;
        let limit = self.rebuild_cost(group, 0) / rate.max(f64::MIN_POSITIVE);
        secs(limit).min(self.settings.max_hold)
    }

    /// Whether a group of a lower-ranked service should be dissolved to repair `group`.
    ///
    /// The dissolved group is down for as long as `group` would have been, but its downtime counts
    /// less, and its accelerators are not held meanwhile.
    pub fn should_preempt(&self, group: &BrokenGroup<'_>) -> bool {
        let retire = self.retire_cost(group, 0);
        let donor_cost = self.settings.rank_factor * retire;
        let quiet_cost = self.rate(group.held) * self.settings.quiet_period.as_secs_f64();
        donor_cost + quiet_cost + self.replace_cost(group) < self.hold_cost(group).min(retire)
    }

    /// Whether the last spare of a fabric domain with `vms` VMs in groups should stay a spare
    /// instead of completing a group that ranks below those that the spare protects. `group` is one
    /// of the protected groups with one member lost.
    pub fn should_keep_spare(&self, group: &BrokenGroup<'_>, vms: usize) -> bool {
        let without = self.hold_cost(group).min(self.retire_cost(group, 0));
        let saved = (without - self.replace_cost(group)).max(0.0);
        let losses_per_sec = self.settings.losses_per_vm_day * vms as f64 / SECS_PER_DAY;
        saved * losses_per_sec > self.weights.group_downtime * self.settings.rank_factor
    }

    /// Cost of one second in which a group does not serve and holds these accelerators.
    fn rate(&self, accelerators: f64) -> f64 {
        self.weights.group_downtime + self.weights.stranded_accelerator * accelerators
    }
}

/// A VM that is absent for longer than this multiple of the expected restart time counts as failed.
const RESTART_TIMEOUT_FACTOR: u32 = 2;

const SECS_PER_DAY: f64 = 86_400.0;

fn secs(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}
