//! The planner that weighs group downtime against stranded accelerators.

use std::time::Duration;

use crate::{
    GroupPlanner, IsolationDetector, IsolationSettings, PlannerAction, PlannerCosts, PlannerInput,
    planner_memory::PlannerMemory, planner_view::PlannerView, weighted_draft::WeightedDraft,
};

/// How [`WeightedPlanner`] decides. What the two measures cost is part of the configuration, see
/// [`comfreyturn_types::PlannerWeights`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedPlannerSettings {
    /// Bytes a second that the weight store serves in all. Invariant: above zero.
    pub store_bytes_per_second: u64,

    /// Bytes a second that one VM loads at most. Invariant: above zero.
    pub vm_bytes_per_second: u64,

    /// How long a VM pauses that comes back as if nothing happened.
    pub expected_pause: Duration,

    /// How long a restart takes.
    pub expected_restart: Duration,

    /// How long a failed VM is away.
    pub expected_repair: Duration,

    /// Losses that a VM suffers a day: failures and restarts.
    pub losses_per_vm_day: f64,

    /// What one second of downtime counts for a lower-ranked service, relative to the service that
    /// ranks above it. Invariant: above zero and at most one.
    pub rank_factor: f64,

    /// The shortest silence that can count as a loss.
    pub min_silence: Duration,

    /// The longest time for which a group that lost members is held.
    pub max_hold: Duration,

    /// How long a released VM stays idle before it may be given away.
    pub quiet_period: Duration,

    /// How long a released VM is waited for.
    pub max_release: Duration,

    /// How long a service must have been short before a change of its version or adapters may
    /// take a whole group from it nevertheless.
    pub max_shortage: Duration,

    /// A longer time without a plan makes the planner forget since when things are as they are.
    pub max_plan_gap: Duration,

    /// When the planner takes itself for cut off.
    pub guard: IsolationSettings,
}

impl Default for WeightedPlannerSettings {
    fn default() -> Self {
        Self {
            store_bytes_per_second: 32_000_000_000,
            vm_bytes_per_second: 1_000_000_000,
            expected_pause: Duration::from_secs(8),
            expected_restart: Duration::from_secs(300),
            expected_repair: Duration::from_secs(4 * 3600),
            losses_per_vm_day: 0.36,
            rank_factor: 0.75,
            min_silence: Duration::from_secs(5),
            max_hold: Duration::from_secs(3600),
            quiet_period: Duration::from_secs(5),
            max_release: Duration::from_secs(30),
            max_shortage: Duration::from_secs(600),
            max_plan_gap: Duration::from_secs(15),
            guard: IsolationSettings::default(),
        }
    }
}

impl WeightedPlannerSettings {
    /// VMs that may load at once so that each loads at full speed. At least one.
    pub fn load_slots(&self) -> usize {
        let slots = self.store_bytes_per_second / self.vm_bytes_per_second.max(1);
        usize::try_from(slots).unwrap_or(usize::MAX).max(1)
    }
}

/// Decides by expected cost.
///
/// A lost member is replaced by a VM of its fabric domain. Where none is available, the group is
/// completed out of another broken group, built anew elsewhere, completed out of a lower-ranked
/// group, held, or retired, whatever costs least under the weights. Loads pass the weight store's
/// rate limit in order of downtime saved for each byte.
#[derive(Clone, Debug)]
pub struct WeightedPlanner {
    settings: WeightedPlannerSettings,
    guard: IsolationDetector,
    memory: PlannerMemory,
}

impl WeightedPlanner {
    /// A planner that saw nothing yet.
    pub fn new(settings: WeightedPlannerSettings) -> Self {
        let guard = IsolationDetector::new(settings.guard);
        Self { settings, guard, memory: PlannerMemory::default() }
    }
}

impl Default for WeightedPlanner {
    fn default() -> Self {
        Self::new(WeightedPlannerSettings::default())
    }
}

impl GroupPlanner for WeightedPlanner {
    fn plan(&mut self, input: &PlannerInput) -> Vec<PlannerAction> {
        self.memory.begin(input.now, self.settings.max_plan_gap);
        if self.guard.should_wait(input) {
            return Vec::new();
        }
        let costs = PlannerCosts::new(&self.settings, input.weights);
        let mut view = PlannerView::new(input, &costs, &self.memory);
        self.memory.remember(&mut view, self.settings.max_release);
        WeightedDraft::new(view, costs, &self.settings, &self.memory).plan()
    }
}
