//! The planner that weighs group downtime against stranded accelerators.

use std::time::Duration;

use crate::{
    GroupPlanner, IsolationDetector, IsolationSettings, PlannerAction, PlannerCosts, PlannerInput,
    planner_memory::PlannerMemory, planner_view::PlannerView, weighted_draft::WeightedDraft,
};

/// Settings of a [`WeightedPlanner`]. The weights of downtime and of stranded accelerators are part
/// of the configuration, see [`comfreyturn_types::PlannerWeights`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedPlannerSettings {
    /// Bytes per second that the weight store serves in total. Invariant: above zero.
    pub store_bytes_per_second: u64,

    /// Bytes per second that one VM loads at most. Invariant: above zero.
    pub vm_bytes_per_second: u64,

    /// Expected length of a pause after which a VM resumes with its state.
    pub expected_pause: Duration,

    /// Expected time of a restart.
    pub expected_restart: Duration,

    /// Expected time until a failed VM returns.
    pub expected_repair: Duration,

    /// Expected losses per VM and day, including failures and restarts.
    pub losses_per_vm_day: f64,

    /// Weight of one second of downtime of a lower-ranked service, relative to the service that
    /// ranks above it. Invariant: above zero and at most one.
    pub rank_factor: f64,

    /// The shortest unresponsive time after which a member can count as lost.
    pub min_loss_timeout: Duration,

    /// The longest time for which a group that lost members is held.
    pub max_hold: Duration,

    /// How long a released VM stays idle before it may be assigned again.
    pub quiet_period: Duration,

    /// How long groups wait for a released VM to become available.
    pub max_release: Duration,

    /// After a service has had too few serving groups for this long, a change of its version or
    /// adapters may interrupt a serving group in spite of the shortage.
    pub max_shortage: Duration,

    /// After a gap between plans that is longer than this, the planner discards what it recorded
    /// about how long conditions have held.
    pub max_plan_gap: Duration,

    /// When the planner assumes that its own node is isolated.
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
            min_loss_timeout: Duration::from_secs(5),
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
    /// Number of VMs that can load concurrently at full speed, at least one.
    pub fn load_slots(&self) -> usize {
        let slots = self.store_bytes_per_second / self.vm_bytes_per_second.max(1);
        usize::try_from(slots).unwrap_or(usize::MAX).max(1)
    }
}

/// Plans by expected cost.
///
/// A lost member is replaced by a VM of its fabric domain. If none is available, the group is
/// repaired with members of another broken group, rebuilt elsewhere, repaired with members of a
/// lower-ranked group, held, or retired, whichever costs least under the weights. Loads are limited
/// to the weight store's rate; those that save the most downtime per byte go first.
#[derive(Clone, Debug)]
pub struct WeightedPlanner {
    settings: WeightedPlannerSettings,
    isolation_detector: IsolationDetector,
    memory: PlannerMemory,
}

impl WeightedPlanner {
    /// Creates a planner without state from earlier plans.
    pub fn new(settings: WeightedPlannerSettings) -> Self {
        let isolation_detector = IsolationDetector::new(settings.guard);
        Self { settings, isolation_detector, memory: PlannerMemory::default() }
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
        if self.isolation_detector.should_wait(input) {
            return Vec::new();
        }
        let costs = PlannerCosts::new(&self.settings, input.weights);
        let mut view = PlannerView::new(input, &costs, &self.memory);
        self.memory.update(&mut view, self.settings.max_release);
        WeightedDraft::new(view, costs, &self.settings, &self.memory).plan()
    }
}
