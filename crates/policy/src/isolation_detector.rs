//! Distinguishes a planner that is isolated from the network from VMs that are lost.

use std::time::{Duration, Instant};

use crate::PlannerInput;

/// Settings of an [`IsolationDetector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IsolationSettings {
    /// A VM counts as unresponsive if its `unresponsive_for` exceeds this.
    pub min_unresponsive_time: Duration,

    /// VMs that became unresponsive within this time of each other count as having done so
    /// together.
    pub window: Duration,

    /// The longest time for which the planner waits during one isolation.
    pub max_wait: Duration,
}

impl Default for IsolationSettings {
    fn default() -> Self {
        Self {
            min_unresponsive_time: Duration::from_secs(4),
            window: Duration::from_secs(10),
            max_wait: Duration::from_secs(300),
        }
    }
}

/// Makes a planner wait when more than half of all VMs became unresponsive together: then the
/// planner's node is more likely isolated than the VMs lost.
#[derive(Clone, Debug)]
pub struct IsolationDetector {
    settings: IsolationSettings,

    /// When the current isolation was detected; `None` while there is none.
    isolated_since: Option<Instant>,
}

impl IsolationDetector {
    /// Creates a detector in its initial state.
    pub fn new(settings: IsolationSettings) -> Self {
        Self { settings, isolated_since: None }
    }

    /// Whether the planner should wait.
    pub fn should_wait(&mut self, input: &PlannerInput) -> bool {
        if !self.is_isolated(input) {
            self.isolated_since = None;
            return false;
        }
        let since = *self.isolated_since.get_or_insert(input.now);
        input.now.saturating_duration_since(since) < self.settings.max_wait
    }

    fn is_isolated(&self, input: &PlannerInput) -> bool {
        let ages = input.vms.values().map(|vm| vm.unresponsive_for);
        let mut ages: Vec<Duration> =
            ages.filter(|age| *age > self.settings.min_unresponsive_time).collect();
        if ages.len() * 2 <= input.vms.len() {
            return false;
        }
        ages.sort_unstable();
        let majority = input.vms.len() / 2 + 1;
        ages.windows(majority).any(|span| match (span.first(), span.last()) {
            (Some(first), Some(last)) => last.saturating_sub(*first) <= self.settings.window,
            _ => false,
        })
    }
}
